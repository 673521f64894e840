"""Simulated inference engine with continuous batching.

Prefill and decode take time according to configured token rates.
"""

import asyncio
import collections
import dataclasses
import time

from chivelb_core import kv_cache
from chivelb_core.kv_cache import keys as keys_lib

from chivelb_cli.lab import expected_output
from chivelb_cli.lab import prefix_cache

STEP_INTERVAL_S = 0.005
MAX_STEP_DURATION_S = 0.05
# Relative slowdown of decoding for each additional sequence.
DECODE_SLOWDOWN_PER_SEQUENCE = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class Sequence:
    """A request in the engine.

    Attributes:
        attempt_id: Id of the attempt.
        request_id: Id of the request, returned in each event.
        salt: Cache salt.
        version: Weight version at submission; a later weight swap does not
            change it.
        prompt: UTF-8 prompt.
        max_tokens: Tokens to generate.
        offset: Position of the first token to generate.
        priority: Lower values run first.
        chat: Whether events use the chat completion format.
        tokens: Text of each token generated so far.
        state: ``waiting``, ``prefill``, ``decode``, ``done`` or ``failed``.
        prefill_tokens_left: Prompt tokens still to compute.
        cached_tokens: Prompt tokens reused from the prefix cache.
        corrupted: Whether a reused block had wrong content.
        arrival_order: Position in the order of submission.
        decode_credit: Decode progress not yet emitted, in tokens.
        changed: Set when tokens are added or the state changes.
        ended_at: Monotonic time of completion or failure, in seconds.
        reader_count: Number of open response streams.
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
    prefill_tokens_left: float = 0.0
    cached_tokens: int = 0
    corrupted: bool = False
    arrival_order: int = 0
    decode_credit: float = 0.0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    ended_at: float = 0.0
    reader_count: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens in the prompt."""
        return keys_lib.count_tokens(self.prompt)

    def notify(self) -> None:
        """Wakes the response streams of the sequence."""
        self.changed.set()

    def finish(self, state: str) -> None:
        """Ends the sequence in state ``done`` or ``failed``."""
        self.state = state
        self.ended_at = time.monotonic()
        self.notify()


class Engine:
    """Simulates continuous batching of sequences.

    Attributes:
        cache: The prefix cache.
        slots: Maximum number of concurrent sequences.
        prefill_rate: Prompt tokens per second over all sequences.
        decode_rate: Tokens per second of a sequence that runs alone.
        load_lag_s: Age in seconds of the load that is reported.
        waiting: Sequences not yet admitted to the batch.
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
        self._arrival_count = 0
        self._wake = asyncio.Event()
        self._load_history: collections.deque = collections.deque()

    def submit(self, sequence: Sequence) -> None:
        """Adds a sequence to the queue."""
        self._arrival_count += 1
        sequence.arrival_order = self._arrival_count
        self.waiting.append(sequence)
        self._wake.set()

    def cancel(self, sequence: Sequence) -> None:
        """Removes a sequence and marks it as failed unless it has ended."""
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.running:
            self.running.remove(sequence)
        if sequence.state not in ("done", "failed"):
            sequence.finish("failed")

    def pending_tokens(self) -> int:
        """Returns the number of prompt tokens not yet computed."""
        waiting = sum(s.prompt_tokens for s in self.waiting)
        started = sum(
            s.prefill_tokens_left for s in self.running if s.state == "prefill"
        )
        return int(waiting + started)

    def lagged_load(self) -> tuple[int, int, float]:
        """Returns the load as it was ``load_lag_s`` ago.

        Returns:
            Number of sequences in the engine, pending prompt tokens, and the
            age of both in seconds.
        """
        now = time.monotonic()
        sample = (
            now,
            len(self.running) + len(self.waiting),
            self.pending_tokens(),
        )
        self._load_history.append(sample)
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now - self.load_lag_s
        ):
            self._load_history.popleft()
        measured_at, running, pending = self._load_history[0]
        return running, pending, now - measured_at

    async def run(self) -> None:
        """Steps the engine until cancelled; sleeps while it is idle."""
        last_step_at = time.monotonic()
        while True:
            if not self.waiting and not self.running:
                self._wake.clear()
                await self._wake.wait()
                last_step_at = time.monotonic()
            await asyncio.sleep(STEP_INTERVAL_S)
            now = time.monotonic()
            self._step(min(now - last_step_at, MAX_STEP_DURATION_S))
            last_step_at = now

    def _step(self, elapsed_s: float) -> None:
        self._admit_waiting()
        self._prefill(elapsed_s)
        self._decode(elapsed_s)

    def _admit_waiting(self) -> None:
        self.waiting.sort(key=lambda s: (s.priority, s.arrival_order))
        while self.waiting and len(self.running) < self.slots:
            sequence = self.waiting.pop(0)
            keys = self.block_keys(sequence)
            cached_blocks = self.cache.count_cached_prefix(keys)
            if not self.cache.has_valid_content(keys[:cached_blocks]):
                sequence.corrupted = True
            self.cache.touch(keys[:cached_blocks])
            reused = cached_blocks * keys_lib.BLOCK_TOKENS
            sequence.cached_tokens = reused
            sequence.prefill_tokens_left = max(
                1.0, sequence.prompt_tokens - reused
            )
            self.reused_tokens += reused
            self.computed_tokens += sequence.prompt_tokens - reused
            sequence.state = "prefill"
            self.running.append(sequence)

    def block_keys(self, sequence: Sequence) -> list[str]:
        """Returns the keys of the blocks of a sequence's prompt."""
        return kv_cache.block_keys(
            sequence.salt, sequence.version, sequence.prompt
        )

    def _prefill(self, elapsed_s: float) -> None:
        budget = self.prefill_rate * elapsed_s
        queue = [s for s in self.running if s.state == "prefill"]
        queue.sort(key=lambda s: (s.priority, s.arrival_order))
        for sequence in queue:
            if budget <= 0:
                return
            computed = min(budget, sequence.prefill_tokens_left)
            sequence.prefill_tokens_left -= computed
            budget -= computed
            if sequence.prefill_tokens_left <= 1e-9:
                keys = self.block_keys(sequence)
                if keys:
                    self.cache.insert(
                        kv_cache.anchor_key(keys),
                        [
                            (key, expected_output.block_content(key))
                            for key in keys
                        ],
                    )
                sequence.state = "decode"
                # The last prefill step also produces the first token.
                sequence.decode_credit = 1.0

    def _decode(self, elapsed_s: float) -> None:
        decoding = [s for s in self.running if s.state == "decode"]
        slowdown = 1 + DECODE_SLOWDOWN_PER_SEQUENCE * max(0, len(decoding) - 1)
        tokens_per_sequence = self.decode_rate * elapsed_s / slowdown
        for sequence in decoding:
            token_limit = sequence.max_tokens - sequence.offset
            previous_count = len(sequence.tokens)
            while (
                sequence.decode_credit >= 1.0
                and len(sequence.tokens) < token_limit
            ):
                sequence.decode_credit -= 1.0
                sequence.tokens.append(self._next_token(sequence))
            sequence.decode_credit += tokens_per_sequence
            if len(sequence.tokens) >= token_limit:
                self.running.remove(sequence)
                sequence.finish("done")
            elif len(sequence.tokens) > previous_count:
                sequence.notify()

    def _next_token(self, sequence: Sequence) -> str:
        if sequence.corrupted:
            return f" {expected_output.VIOLATION_TOKEN}"
        return expected_output.token_text(
            sequence.salt,
            sequence.version,
            sequence.prompt,
            sequence.offset + len(sequence.tokens),
        )
