"""Choice of the peers that send requests to targets for this instance."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math
import random

# A peer that reaches no target of a service is not asked again for this long.
UNREACHING_S = 2.0
# A peer that refused for another reason, or could not be asked.
REFUSED_S = 0.3


@dataclasses.dataclass(slots=True)
class PeerState:
    """What an instance knows of a peer as a sender of its requests.

    Attributes:
        in_progress: Number of requests that the peer has in progress.
        refused_until: Monotonic time until which it is not asked, in seconds.
        unreaching_until: The same, by service of which it reaches no target.
    """

    in_progress: int = 0
    refused_until: float = -math.inf
    unreaching_until: dict[str, float] = dataclasses.field(default_factory=dict)

    def may_be_asked(self, service: str, now: float) -> bool:
        """Returns whether the peer may send requests to a service."""
        until = self.unreaching_until.get(service, -math.inf)
        return now >= max(until, self.refused_until)


class RelayPeers:
    """Peers by name, and which of them to ask.

    Attributes:
        peers: State of each peer that was asked.
    """

    __slots__ = ("peers",)

    def __init__(self) -> None:
        """Creates a table without peers."""
        self.peers: dict[str, PeerState] = {}

    def state(self, peer: str) -> PeerState:
        """Returns the state of a peer, creating it on first use."""
        return self.peers.setdefault(peer, PeerState())

    def may_be_asked(self, peer: str, service: str, now: float) -> bool:
        """Returns whether a peer may send requests to a service."""
        state = self.peers.get(peer)
        return state is None or state.may_be_asked(service, now)

    def in_order(
        self,
        zones: Sequence[Sequence[str]],
        service: str,
        now: float,
        rng: random.Random,
    ) -> Iterator[str]:
        """Yields the peers to ask, the best one first.

        Args:
            zones: Names of the live peers of each zone, the nearest first.
            service: Service of the target.
            now: Monotonic time in seconds.
            rng: Breaks ties, so that instances do not all ask the same peer.
        """
        for names in zones:
            usable = [n for n in names if self.may_be_asked(n, service, now)]
            yield from sorted(
                usable,
                key=lambda name: (self.state(name).in_progress, rng.random()),
            )

    def record_refusal(self, peer: str, now: float) -> None:
        """Records that a peer makes no attempts now, or could not be asked."""
        self.state(peer).refused_until = now + REFUSED_S

    def record_unreaching(self, peer: str, service: str, now: float) -> None:
        """Records that a peer reaches no target of a service."""
        self.state(peer).unreaching_until[service] = now + UNREACHING_S

    def remove_missing(self, live: set[str]) -> None:
        """Removes peers that are no longer live."""
        for name in self.peers.keys() - live:
            if not self.peers[name].in_progress:
                del self.peers[name]
