"""Aggregate of the targets' load: late reports corrected by known sends."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

PEER_FRESH_S = 2.0
SENDS_KEPT_S = 5.0


@dataclasses.dataclass(slots=True)
class PeerShare:
    """What one peer has in progress at a target.

    Attributes:
        heard_at: Monotonic time of its word, in seconds.
        running: Requests in progress.
        pending: Prompt tokens awaiting a first token.
        tokens: KV tokens that they may fill.
        suspects: Requests that may crash the target.
    """

    heard_at: float
    running: int
    pending: int
    tokens: int
    suspects: int = 0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of one target.

    Attributes:
        running: Requests in progress by the last report.
        pending_tokens: Prompt tokens not prefilled by the last report.
        measured_at: Monotonic time the report speaks of, in seconds.
        own_running: Requests of this instance in progress.
        own_pending: Prompt tokens of this instance awaiting a first token.
        own_tokens: KV tokens that requests of this instance may fill.
        own_suspects: Requests of this instance that may crash the target.
        sends: Time and prompt tokens of this instance's sends since the
            report.
        sent_tokens: Sum of their prompt tokens.
        peers: What peers have in progress, by peer.
    """

    running: int = 0
    pending_tokens: int = 0
    measured_at: float = float("-inf")
    own_running: int = 0
    own_pending: int = 0
    own_tokens: int = 0
    own_suspects: int = 0
    sends: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    sent_tokens: int = 0
    peers: dict[str, PeerShare] = dataclasses.field(default_factory=dict)


class LoadView:
    """Load of all targets as one entry instance sees it.

    The estimate is the larger of two: what all known senders have in
    progress, and the late report plus what this instance sent since.

    Attributes:
        loads: Load by target identity.
        on_change: Called when the load that this instance causes changes.
    """

    __slots__ = ("loads", "on_change")

    def __init__(self) -> None:
        """Creates a view without targets."""
        self.loads: dict[str, TargetLoad] = {}
        self.on_change: Callable[[], None] = _ignore

    def load(self, identity: str) -> TargetLoad:
        """Returns a target's load, created when it is new."""
        load = self.loads.get(identity)
        if load is None:
            load = self.loads[identity] = TargetLoad()
        return load

    def take_report(
        self, identity: str, running: int, pending: int, measured_at: float
    ) -> None:
        """Takes a target's report of load measured at a past time."""
        load = self.load(identity)
        if measured_at < load.measured_at:
            return
        load.running = running
        load.pending_tokens = pending
        load.measured_at = measured_at
        _forget_sends(load, measured_at)

    def take_peer(self, peer: str, identity: str, share: PeerShare) -> None:
        """Takes a peer's word on what it has in progress at a target."""
        self.load(identity).peers[peer] = share

    def note_send(
        self, identity: str, now: float, prompt: int, total: int
    ) -> None:
        """Counts a dispatch of this instance.

        Args:
            identity: The target.
            now: Monotonic time in seconds.
            prompt: Prompt tokens that the target must prefill.
            total: KV tokens that the request may fill.
        """
        load = self.load(identity)
        load.own_running += 1
        load.own_pending += prompt
        load.own_tokens += total
        load.sends.append((now, prompt))
        load.sent_tokens += prompt
        _forget_sends(load, now - SENDS_KEPT_S)
        self.on_change()

    def note_first_token(self, identity: str, prompt: int) -> None:
        """Counts the prefill of a request of this instance as over."""
        self.load(identity).own_pending -= prompt
        self.on_change()

    def note_end(self, identity: str, total: int) -> None:
        """Counts a request of this instance as ended."""
        load = self.load(identity)
        load.own_running -= 1
        load.own_tokens -= total
        assert load.own_running >= 0, "more ends than sends"
        self.on_change()

    def running(self, identity: str, now: float) -> int:
        """Returns the estimated number of requests in progress."""
        load = self.load(identity)
        known = load.own_running
        for peer in self._fresh(load, now):
            known += peer.running
        if now - load.measured_at > PEER_FRESH_S:
            return known
        return max(known, load.running + len(load.sends))

    def pending(self, identity: str, now: float) -> int:
        """Returns the estimated prompt tokens not yet prefilled."""
        load = self.load(identity)
        known = load.own_pending
        for peer in self._fresh(load, now):
            known += peer.pending
        if now - load.measured_at > PEER_FRESH_S:
            return known
        # A late report may speak of work that is done: what senders know
        # bounds it from above as well.
        reported = load.pending_tokens + load.sent_tokens
        return max(known, min(reported, 4 * known + load.sent_tokens))

    def filled(self, identity: str, now: float) -> int:
        """Returns the KV tokens that requests in progress may fill."""
        load = self.load(identity)
        return load.own_tokens + sum(
            peer.tokens for peer in self._fresh(load, now)
        )

    def suspects(self, identity: str, now: float) -> int:
        """Returns how many requests in progress may crash the target."""
        load = self.load(identity)
        return load.own_suspects + sum(
            peer.suspects for peer in self._fresh(load, now)
        )

    def own_share(self, identity: str) -> tuple[int, int, int, int]:
        """Returns what peers are told, in the order of ``PeerShare``."""
        load = self.load(identity)
        return (
            load.own_running,
            load.own_pending,
            load.own_tokens,
            load.own_suspects,
        )

    def _fresh(self, load: TargetLoad, now: float) -> Iterable[PeerShare]:
        if not load.peers:
            return ()
        return [
            peer
            for peer in load.peers.values()
            if now - peer.heard_at < PEER_FRESH_S
        ]


def _ignore() -> None:
    """Takes a change that nobody asked to hear of."""


def _forget_sends(load: TargetLoad, until: float) -> None:
    while load.sends and load.sends[0][0] <= until:
        _, tokens = load.sends.popleft()
        load.sent_tokens -= tokens
