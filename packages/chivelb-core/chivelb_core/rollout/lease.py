"""The controller's lease, as seen by one candidate.

The holder's lease expires by its own clock before any other candidate may
request it, so that targets which do not check fencing tokens never get orders
from two controllers at the same time.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Timing of a controller's lease, in seconds.

    Attributes:
        window_s: Duration of the lease, counted from the holder's request.
        gap_s: Safety margin between the expiry of a lease and the next
            holder, in which no orders are sent.
        renew_s: Time after its request at which the holder renews the lease.
    """

    window_s: float = 2.5
    gap_s: float = 2.0
    renew_s: float = 1.2


class ControllerLease:
    """One candidate's view of the lease that is granted in the log.

    Invariant: the holder counts the duration from the moment before its
    request, all other candidates from the moment at which they observed the
    grant, which is later.

    Attributes:
        me: Holder id of this candidate, unique to its process.
        token: Newest fencing token observed.
        holder: Holder id of the newest grant.
        timing: Timing of the lease.
    """

    __slots__ = (
        "me",
        "token",
        "holder",
        "timing",
        "_grant_seen_at",
        "_requested_at",
    )

    def __init__(
        self, me: str, now: float, timing: LeaseTiming | None = None
    ) -> None:
        """Creates a candidate that assumes another holder's lease is valid.

        Args:
            me: Holder id of this candidate.
            now: Time in seconds, by a clock that also advances while the
                machine is suspended.
            timing: Timing of the lease; must be equal for all candidates.
        """
        self.timing = timing or LeaseTiming()
        self.me = me
        self.token = 0
        self.holder = ""
        self._grant_seen_at = now
        self._requested_at = float("-inf")

    def observe(self, holder: str, token: int, now: float) -> None:
        """Records the newest grant in the log."""
        if token > self.token:
            self.token = token
            self.holder = holder
            self._grant_seen_at = now

    def may_ask(self, now: float) -> bool:
        """Whether this candidate may request or renew the lease now."""
        if self.holder == self.me:
            return now >= self._requested_at + self.timing.renew_s
        expiry_s = self.timing.window_s + self.timing.gap_s
        return now >= self._grant_seen_at + expiry_s

    def note_granted(self, token: int, requested_at: float) -> None:
        """Records a grant to this candidate.

        Args:
            token: Fencing token of the grant.
            requested_at: Time in seconds just before the lease was requested.
        """
        assert token > self.token or self.holder == self.me
        self.token = max(self.token, token)
        self.holder = self.me
        self._requested_at = requested_at

    def may_order(self, now: float) -> bool:
        """Whether this candidate holds the lease and may send orders now."""
        is_holder = self.holder == self.me
        return is_holder and now < self._requested_at + self.timing.window_s
