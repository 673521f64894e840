"""A continuously batching engine with prefill and decode cost."""

import asyncio
import collections
import dataclasses
import time

from chivelb_core import kept
from chivelb_core.kept import keys as keys_lib

from chivelb_cli.lab import answers
from chivelb_cli.lab import prefix_cache

STEP_S = 0.005
MAX_STEP_S = 0.05
SLOWDOWN_PER_SEQUENCE = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """A request inside the engine.

    Attributes:
        attempt_id: Id of the attempt.
        request_id: Id of the request, for the answer's JSON.
        salt: Cache salt.
        version: Weight version; a swap does not change it.
        prompt: UTF-8 prompt.
        max_tokens: Tokens to generate.
        offset: Position of the first token to generate.
        priority: Lower runs first.
        chat: Whether events have the chat shape.
        tokens: Texts generated so far.
        state: ``waiting``, ``prefill``, ``decode``, ``done`` or ``failed``.
        left: Prompt tokens still to compute.
        cached_tokens: Prompt tokens that were reused.
        violation: Whether a block had wrong content.
        arrived: Order of arrival.
        credit: Share of a token that is computed.
        changed: Set when tokens or the state changed.
        ended_at: Monotonic time of the end, in seconds.
        readers: Number of streams that are being read.
    """

    attempt_id: str
    request_id: str
    salt: str
    version: str
    prompt: bytes
    max_tokens: int
    offset: int = 0
    priority: int = 0
    chat: bool = False
    tokens: list[str] = dataclasses.field(default_factory=list)
    state: str = "waiting"
    left: float = 0.0
    cached_tokens: int = 0
    violation: bool = False
    arrived: int = 0
    credit: float = 0.0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended_at: float = 0.0
    readers: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt."""
        return keys_lib.count_tokens(self.prompt)

    def notify(self) -> None:
        """Wakes those who read the sequence."""
        self.changed.set()

    def finish(self, state: str) -> None:
        """Ends the sequence."""
        self.state = state
        self.ended_at = time.monotonic()
        self.notify()


class Engine:
    """Batches sequences.

    Attributes:
        cache: The prefix cache.
        slots: Most sequences at once.
        prefill_rate: Prompt tokens a second.
        decode_rate: Tokens a second of a sequence that runs alone.
        waiting: Sequences not started.
        running: Sequences in prefill or decode.
        computed_tokens: Prompt tokens computed so far.
        reused_tokens: Prompt tokens reused so far.
    """

    def __init__(
        self,
        cache: prefix_cache.PrefixCache,
        *,
        slots: int,
        prefill_rate: float,
        decode_rate: float,
        load_lag_s: float,
    ) -> None:
        """Creates an idle engine."""
        self.cache = cache
        self.slots = slots
        self.prefill_rate = prefill_rate
        self.decode_rate = decode_rate
        self.load_lag_s = load_lag_s
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.computed_tokens = 0
        self.reused_tokens = 0
        self._arrivals = 0
        self._wake = asyncio.Event()
        self._history: collections.deque = collections.deque()

    def submit(self, sequence: Sequence) -> None:
        """Queues a sequence."""
        self._arrivals += 1
        sequence.arrived = self._arrivals
        self.waiting.append(sequence)
        self._wake.set()

    def cancel(self, sequence: Sequence) -> None:
        """Stops a sequence."""
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.running:
            self.running.remove(sequence)
        if sequence.state not in ("done", "failed"):
            sequence.finish("failed")

    def pending_tokens(self) -> int:
        """Returns the prompt tokens not computed yet."""
        waiting = sum(s.prompt_tokens for s in self.waiting)
        started = sum(s.left for s in self.running if s.state == "prefill")
        return int(waiting + started)

    def lagged_load(self) -> tuple[int, int, float]:
        """Returns running, pending tokens and their age in seconds."""
        now = time.monotonic()
        current = (
            now,
            len(self.running) + len(self.waiting),
            self.pending_tokens(),
        )
        self._history.append(current)
        while (
            len(self._history) > 1
            and self._history[1][0] <= now - self.load_lag_s
        ):
            self._history.popleft()
        at, running, pending = self._history[0]
        return running, pending, now - at

    async def run(self) -> None:
        """Steps for ever; sleeps while there is nothing to do."""
        before = time.monotonic()
        while True:
            if not self.waiting and not self.running:
                self._wake.clear()
                await self._wake.wait()
                before = time.monotonic()
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            self._step(min(now - before, MAX_STEP_S))
            before = now

    def _step(self, elapsed_s: float) -> None:
        self._start()
        self._prefill(elapsed_s)
        self._decode(elapsed_s)

    def _start(self) -> None:
        self.waiting.sort(key=lambda s: (s.priority, s.arrived))
        while self.waiting and len(self.running) < self.slots:
            sequence = self.waiting.pop(0)
            keys = self._keys(sequence)
            held = self.cache.held(keys)
            if not self.cache.is_whole(keys[:held]):
                sequence.violation = True
            self.cache.use(keys[:held])
            reused = held * keys_lib.BLOCK_TOKENS
            sequence.cached_tokens = reused
            sequence.left = max(1.0, sequence.prompt_tokens - reused)
            self.reused_tokens += reused
            self.computed_tokens += sequence.prompt_tokens - reused
            sequence.state = "prefill"
            self.running.append(sequence)

    def _keys(self, sequence: Sequence) -> list[str]:
        return kept.block_keys(sequence.salt, sequence.version, sequence.prompt)

    def _prefill(self, elapsed_s: float) -> None:
        budget = self.prefill_rate * elapsed_s
        queue = [s for s in self.running if s.state == "prefill"]
        queue.sort(key=lambda s: (s.priority, s.arrived))
        for sequence in queue:
            if budget <= 0:
                return
            spent = min(budget, sequence.left)
            sequence.left -= spent
            budget -= spent
            if sequence.left <= 1e-9:
                keys = self._keys(sequence)
                if keys:
                    self.cache.insert(
                        kept.anchor_key(keys),
                        [(key, answers.block_content(key)) for key in keys],
                    )
                sequence.state = "decode"
                # The prefill's last step yields the first token.
                sequence.credit = 1.0

    def _decode(self, elapsed_s: float) -> None:
        decoding = [s for s in self.running if s.state == "decode"]
        slowdown = 1 + SLOWDOWN_PER_SEQUENCE * max(0, len(decoding) - 1)
        gain = self.decode_rate * elapsed_s / slowdown
        for sequence in decoding:
            end = sequence.max_tokens - sequence.offset
            before = len(sequence.tokens)
            while sequence.credit >= 1.0 and len(sequence.tokens) < end:
                sequence.credit -= 1.0
                sequence.tokens.append(self._token(sequence))
            sequence.credit += gain
            if len(sequence.tokens) >= end:
                self.running.remove(sequence)
                sequence.finish("done")
            elif len(sequence.tokens) > before:
                sequence.notify()

    def _token(self, sequence: Sequence) -> str:
        if sequence.violation:
            return f" {answers.VIOLATION}"
        return answers.token_text(
            sequence.salt,
            sequence.version,
            sequence.prompt,
            sequence.offset + len(sequence.tokens),
        )
