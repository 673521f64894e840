"""Load estimates of targets: delayed reports corrected by known sends."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

LOAD_MAX_AGE_S = 2.0
SEND_RETENTION_S = 5.0


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """Load that one peer instance causes at a target.

    Attributes:
        last_message_at: Monotonic time when the peer reported it, in seconds.
        running: Number of the peer's requests in progress.
        pending: Prompt tokens of requests without a first token.
        tokens: KV cache tokens that the requests may occupy.
        suspects: Number of requests suspected of crashing the target.
    """

    last_message_at: float
    running: int
    pending: int
    tokens: int
    suspects: int = 0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of one target.

    Attributes:
        running: Requests in progress according to the last report.
        pending_tokens: Prompt tokens awaiting prefill according to the last
            report.
        measured_at: Monotonic time of the reported measurement, in seconds.
        own_running: This instance's requests in progress.
        own_pending_tokens: Prompt tokens of this instance's requests without
            a first token.
        own_kv_tokens: KV cache tokens that this instance's requests may
            occupy.
        own_suspects: This instance's requests suspected of crashing the
            target.
        sends: Time and prompt tokens of this instance's sends since the
            report.
        sent_tokens: Sum of the prompt tokens in ``sends``.
        peers: Load caused by peer instances, by peer.
    """

    running: int = 0
    pending_tokens: int = 0
    measured_at: float = float("-inf")
    own_running: int = 0
    own_pending_tokens: int = 0
    own_kv_tokens: int = 0
    own_suspects: int = 0
    sends: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    sent_tokens: int = 0
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)


class LoadView:
    """Load of all targets as estimated by one instance.

    An estimate is the larger of two figures: the sum of what all known
    senders have in progress, and the target's last report plus what this
    instance has sent since.

    Attributes:
        loads: Load by target identity.
        on_change: Called when the load caused by this instance changes.
    """

    __slots__ = ("loads", "on_change")

    def __init__(self) -> None:
        """Creates a view without targets."""
        self.loads: dict[str, TargetLoad] = {}
        self.on_change: Callable[[], None] = _do_nothing

    def load(self, identity: str) -> TargetLoad:
        """Returns a target's load, creating it if needed."""
        load = self.loads.get(identity)
        if load is None:
            load = self.loads[identity] = TargetLoad()
        return load

    def apply_report(
        self, identity: str, running: int, pending: int, measured_at: float
    ) -> None:
        """Applies a target's load report, unless a newer one is known.

        Args:
            identity: Identity of the target.
            running: Number of requests in progress.
            pending: Prompt tokens that await prefill.
            measured_at: Monotonic time of the measurement, in seconds.
        """
        load = self.load(identity)
        if measured_at < load.measured_at:
            return
        load.running = running
        load.pending_tokens = pending
        load.measured_at = measured_at
        _discard_sends(load, measured_at)

    def apply_peer_load(
        self, peer: str, identity: str, peer_load: PeerLoad
    ) -> None:
        """Records the load that a peer instance causes at a target."""
        self.load(identity).peers[peer] = peer_load

    def record_send(
        self, identity: str, now: float, prompt: int, total: int
    ) -> None:
        """Counts a request sent by this instance.

        Args:
            identity: Identity of the target.
            now: Monotonic time in seconds.
            prompt: Prompt tokens that the target must prefill.
            total: KV cache tokens that the request may occupy.
        """
        load = self.load(identity)
        load.own_running += 1
        load.own_pending_tokens += prompt
        load.own_kv_tokens += total
        load.sends.append((now, prompt))
        load.sent_tokens += prompt
        _discard_sends(load, now - SEND_RETENTION_S)
        self.on_change()

    def record_first_token(self, identity: str, prompt: int) -> None:
        """Counts the prefill of a request of this instance as completed."""
        self.load(identity).own_pending_tokens -= prompt
        self.on_change()

    def record_end(self, identity: str, total: int) -> None:
        """Counts a request of this instance as finished."""
        load = self.load(identity)
        load.own_running -= 1
        load.own_kv_tokens -= total
        assert load.own_running >= 0, "more ends than sends"
        self.on_change()

    def running(self, identity: str, now: float) -> int:
        """Returns the estimated number of requests in progress."""
        load = self.load(identity)
        known = load.own_running
        for peer in self._live_peers(load, now):
            known += peer.running
        if now - load.measured_at > LOAD_MAX_AGE_S:
            return known
        return max(known, load.running + len(load.sends))

    def pending(self, identity: str, now: float) -> int:
        """Returns the estimated number of prompt tokens awaiting prefill."""
        load = self.load(identity)
        known = load.own_pending_tokens
        for peer in self._live_peers(load, now):
            known += peer.pending
        if now - load.measured_at > LOAD_MAX_AGE_S:
            return known
        # A delayed report may include work that is already done, so the
        # figure known from the senders also limits it from above.
        reported = load.pending_tokens + load.sent_tokens
        return max(known, min(reported, 4 * known + load.sent_tokens))

    def used_kv_tokens(self, identity: str, now: float) -> int:
        """Returns the KV cache tokens that running requests may occupy."""
        load = self.load(identity)
        return load.own_kv_tokens + sum(
            peer.tokens for peer in self._live_peers(load, now)
        )

    def suspects(self, identity: str, now: float) -> int:
        """Returns the number of running requests suspected of crashes."""
        load = self.load(identity)
        return load.own_suspects + sum(
            peer.suspects for peer in self._live_peers(load, now)
        )

    def own_load(self, identity: str) -> tuple[int, int, int, int]:
        """Returns this instance's load, in the field order of ``PeerLoad``.

        The first field, ``last_message_at``, is left out.
        """
        load = self.load(identity)
        return (
            load.own_running,
            load.own_pending_tokens,
            load.own_kv_tokens,
            load.own_suspects,
        )

    def _live_peers(self, load: TargetLoad, now: float) -> Iterable[PeerLoad]:
        if not load.peers:
            return ()
        return [
            peer
            for peer in load.peers.values()
            if now - peer.last_message_at < LOAD_MAX_AGE_S
        ]


def _do_nothing() -> None:
    """Default of ``LoadView.on_change``."""


def _discard_sends(load: TargetLoad, until: float) -> None:
    while load.sends and load.sends[0][0] <= until:
        _, tokens = load.sends.popleft()
        load.sent_tokens -= tokens
