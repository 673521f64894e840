"""Load estimates of targets: delayed reports corrected by known sends.

A send is one attempt of a call, sent to a target; here it is a request.
"""

import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterator
import dataclasses

LOAD_MAX_AGE_S = 2.0
SEND_RETENTION_S = 5.0


@dataclasses.dataclass(slots=True)
class PeerLoad:
    """Load that one peer instance causes at a target.

    Attributes:
        reported_at: Monotonic time when the peer reported it, in seconds.
        running: Number of the peer's requests in progress.
        pending_tokens: Prompt tokens that await prefill: those of the peer's
            requests without a first token.
        kv_tokens: KV cache tokens that its requests may occupy.
        suspect_requests: Number of requests suspected of crashing the target.
    """

    reported_at: float
    running: int
    pending_tokens: int
    kv_tokens: int
    suspect_requests: int = 0


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of one target.

    Attributes:
        running: Requests in progress according to the last report.
        pending_tokens: Prompt tokens awaiting prefill according to the last
            report.
        measured_at: Monotonic time of the reported measurement, in seconds.
        own_running: This instance's requests in progress.
        own_pending_tokens: Prompt tokens that await prefill: those of this
            instance's requests without a first token.
        own_kv_tokens: KV cache tokens that this instance's requests may
            occupy.
        own_suspect_requests: This instance's requests suspected of crashing
            the target.
        sends: Time and prompt tokens of this instance's sends since the
            report.
        sent_tokens: Sum of the prompt tokens in ``sends``.
        peers: Load caused by peer instances that is not zero, by peer; the
            one reported longest ago comes first.
        peer_sum: Sum of the loads in ``peers``; ``reported_at`` is not used.
        told: Load that all other instances cause together, as the owner of
            the target told it; None if it never did.
    """

    running: int = 0
    pending_tokens: int = 0
    measured_at: float = float("-inf")
    own_running: int = 0
    own_pending_tokens: int = 0
    own_kv_tokens: int = 0
    own_suspect_requests: int = 0
    sends: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    sent_tokens: int = 0
    peers: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    peer_sum: PeerLoad = dataclasses.field(
        default_factory=lambda: PeerLoad(0.0, 0, 0, 0)
    )
    told: PeerLoad | None = None

    def set_peer(self, peer: str, peer_load: PeerLoad) -> None:
        """Replaces the load caused by a peer."""
        self.remove_peer(peer)
        if not any(_amounts(peer_load)):
            return
        self.peers[peer] = peer_load
        self._add_to_sum(peer_load, 1)

    def remove_peer(self, peer: str) -> None:
        """Removes the load caused by a peer, if any is known."""
        previous = self.peers.pop(peer, None)
        if previous is not None:
            self._add_to_sum(previous, -1)

    def _add_to_sum(self, peer_load: PeerLoad, sign: int) -> None:
        total = self.peer_sum
        total.running += sign * peer_load.running
        total.pending_tokens += sign * peer_load.pending_tokens
        total.kv_tokens += sign * peer_load.kv_tokens
        total.suspect_requests += sign * peer_load.suspect_requests

    def live_peer_sum(self, now: float) -> PeerLoad:
        """Returns the sum over the peers that reported recently.

        Reports arrive in order of time, so the expired ones come first: the
        cost does not grow with the number of peers.
        """
        while self.peers:
            peer, oldest = next(iter(self.peers.items()))
            if now - oldest.reported_at < LOAD_MAX_AGE_S:
                break
            self.remove_peer(peer)
        return self.peer_sum

    def others(self, now: float) -> PeerLoad:
        """Returns the load that all other instances are known to cause.

        Peers report to the owner of a target, whose sum replaces what they
        told this instance itself. Both may be known while owners change, or
        while instances of the previous release report to all.
        """
        known = self.live_peer_sum(now)
        told = self.told
        if told is None or now - told.reported_at >= LOAD_MAX_AGE_S:
            return known
        if not self.peers:
            return told
        amounts = map(max, _amounts(known), _amounts(told))
        return PeerLoad(told.reported_at, *amounts)

    def told_age_s(self, now: float) -> float:
        """Returns the age of what the owner told, in seconds."""
        if self.told is None:
            return float("inf")
        return now - self.told.reported_at


class LoadView:
    """Load of all targets as estimated by one instance.

    An estimate is the larger of two figures: the sum of what all known
    senders have in progress, and the target's last report plus what this
    instance has sent since.

    Attributes:
        loads: Load by target identity.
        on_change: Called with the identity of a target when the load that
            this instance causes there changes.
    """

    __slots__ = ("loads", "on_change")

    def __init__(self) -> None:
        """Creates a view without targets."""
        self.loads: dict[str, TargetLoad] = {}
        self.on_change: Callable[[str], None] = _do_nothing

    def load(self, identity: str) -> TargetLoad:
        """Returns a target's load, creating it if needed."""
        load = self.loads.get(identity)
        if load is None:
            load = self.loads[identity] = TargetLoad()
        return load

    def apply_report(
        self,
        identity: str,
        running: int,
        pending_tokens: int,
        measured_at: float,
    ) -> None:
        """Applies a target's load report, unless a newer one is known.

        Args:
            identity: Identity of the target.
            running: Number of requests in progress.
            pending_tokens: Prompt tokens that await prefill.
            measured_at: Monotonic time of the measurement, in seconds.
        """
        load = self.load(identity)
        if measured_at < load.measured_at:
            return
        load.running = running
        load.pending_tokens = pending_tokens
        load.measured_at = measured_at
        _discard_sends(load, measured_at)

    def apply_peer_load(
        self, peer: str, identity: str, peer_load: PeerLoad
    ) -> None:
        """Records the load that a peer instance causes at a target."""
        self.load(identity).set_peer(peer, peer_load)

    def apply_told_load(self, identity: str, told: PeerLoad) -> None:
        """Records the load of all others, as told by the owner of a target."""
        self.load(identity).told = told

    def load_of_others(
        self, identity: str, asking: str, now: float
    ) -> tuple[int, int, int, int]:
        """Returns the load that all instances but one cause at a target.

        Args:
            identity: Identity of the target.
            asking: Name of the peer whose own load is left out.
            now: Monotonic time in seconds.

        Returns:
            The load in the field order of ``PeerLoad``, without
            ``reported_at``.
        """
        load = self.load(identity)
        total = _amounts(load.live_peer_sum(now))
        own = self.own_load(identity)
        asking_load = load.peers.get(asking)
        left_out = (
            (0, 0, 0, 0) if asking_load is None else _amounts(asking_load)
        )
        return tuple(
            known + mine - theirs
            for known, mine, theirs in zip(total, own, left_out, strict=True)
        )

    def record_send(
        self, identity: str, now: float, pending_tokens: int, kv_tokens: int
    ) -> TargetLoad:
        """Counts a request sent by this instance.

        Args:
            identity: Identity of the target.
            now: Monotonic time in seconds.
            pending_tokens: Prompt tokens that the target must prefill.
            kv_tokens: KV cache tokens that the request may occupy.

        Returns:
            The load that counts it; a restart of the target discards it.
        """
        load = self.load(identity)
        load.own_running += 1
        load.own_pending_tokens += pending_tokens
        load.own_kv_tokens += kv_tokens
        load.sends.append((now, pending_tokens))
        load.sent_tokens += pending_tokens
        _discard_sends(load, now - SEND_RETENTION_S)
        self.on_change(identity)
        return load

    def discard(self, identity: str) -> None:
        """Discards the load of a target that has started again."""
        if self.loads.pop(identity, None) is not None:
            self.on_change(identity)

    def _counts(self, identity: str, counted_in: TargetLoad | None) -> bool:
        """Returns whether a request was sent since the start of its target."""
        return counted_in is None or self.loads.get(identity) is counted_in

    def record_first_token(
        self,
        identity: str,
        pending_tokens: int,
        *,
        counted_in: TargetLoad | None = None,
    ) -> None:
        """Counts the prefill of a request of this instance as completed.

        Args:
            identity: Identity of the target.
            pending_tokens: Prompt tokens that it had to prefill.
            counted_in: What ``record_send`` returned; None for the load of now.
        """
        if not self._counts(identity, counted_in):
            return
        self.load(identity).own_pending_tokens -= pending_tokens
        self.on_change(identity)

    def record_end(
        self,
        identity: str,
        kv_tokens: int,
        *,
        counted_in: TargetLoad | None = None,
    ) -> None:
        """Counts a request of this instance as finished.

        Args:
            identity: Identity of the target.
            kv_tokens: KV cache tokens that it may have occupied.
            counted_in: What ``record_send`` returned; None for the load of now.
        """
        if not self._counts(identity, counted_in):
            return
        load = self.load(identity)
        load.own_running -= 1
        load.own_kv_tokens -= kv_tokens
        assert load.own_running >= 0, (
            f"{identity}: more requests ended than sent ({load.own_running})"
        )
        self.on_change(identity)

    def running(self, identity: str, now: float) -> int:
        """Returns the estimated number of requests in progress."""
        load = self.load(identity)
        known = load.own_running + load.others(now).running
        if now - load.measured_at > LOAD_MAX_AGE_S:
            return known
        return max(known, load.running + len(load.sends))

    def pending(self, identity: str, now: float) -> int:
        """Returns the estimated number of prompt tokens awaiting prefill."""
        load = self.load(identity)
        known = load.own_pending_tokens + load.others(now).pending_tokens
        if now - load.measured_at > LOAD_MAX_AGE_S:
            return known
        # A delayed report may include work that is already done, so the result
        # is at most four times the figure known from the senders, plus what
        # this instance has sent since the report.
        reported = load.pending_tokens + load.sent_tokens
        return max(known, min(reported, 4 * known + load.sent_tokens))

    def used_kv_tokens(self, identity: str, now: float) -> int:
        """Returns the KV cache tokens that running requests may occupy."""
        load = self.load(identity)
        return load.own_kv_tokens + load.others(now).kv_tokens

    def suspect_requests(self, identity: str, now: float) -> int:
        """Returns the number of running requests suspected of crashes."""
        load = self.load(identity)
        others = load.others(now)
        return load.own_suspect_requests + others.suspect_requests

    def own_load(self, identity: str) -> tuple[int, int, int, int]:
        """Returns this instance's load, in the field order of ``PeerLoad``.

        The first field, ``reported_at``, is left out.
        """
        load = self.load(identity)
        return (
            load.own_running,
            load.own_pending_tokens,
            load.own_kv_tokens,
            load.own_suspect_requests,
        )

    def joint_loads(
        self, peers: Container[str], now: float
    ) -> Iterator[tuple[str, tuple[int, int, int, int]]]:
        """Yields the load that this instance and some peers cause together.

        Args:
            peers: Names of the peers.
            now: Monotonic time in seconds.

        Yields:
            Each target with a load, and the load in the field order of
            ``PeerLoad`` without ``reported_at``.
        """
        for identity, load in self.loads.items():
            load.live_peer_sum(now)
            parts = [
                _amounts(peer_load)
                for name, peer_load in load.peers.items()
                if name in peers
            ]
            parts.append(self.own_load(identity))
            amounts = tuple(map(sum, zip(*parts, strict=True)))
            if any(amounts):
                yield identity, amounts

    def check_invariants(self) -> None:
        """Asserts that the sums agree with the loads that they are made of."""
        for identity, load in self.loads.items():
            amounts = [_amounts(peer) for peer in load.peers.values()]
            expected = tuple(map(sum, zip((0, 0, 0, 0), *amounts, strict=True)))
            assert _amounts(load.peer_sum) == expected, (
                f"{identity}: sum {_amounts(load.peer_sum)} of peer loads, "
                f"expected {expected}"
            )


def _amounts(peer_load: PeerLoad) -> tuple[int, int, int, int]:
    return (
        peer_load.running,
        peer_load.pending_tokens,
        peer_load.kv_tokens,
        peer_load.suspect_requests,
    )


def _do_nothing(identity: str) -> None:
    """Default of ``LoadView.on_change``."""


def _discard_sends(load: TargetLoad, until: float) -> None:
    while load.sends and load.sends[0][0] <= until:
        _, tokens = load.sends.popleft()
        load.sent_tokens -= tokens
