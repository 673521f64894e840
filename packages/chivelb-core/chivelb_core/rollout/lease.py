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
        lease_duration_s: Duration of the lease, counted from the holder's
            request.
        safety_margin_s: Time between the expiry of a lease and the next
            holder, in which no orders are sent.
        renew_after_s: Time after its request at which the holder renews the
            lease.
    """

    lease_duration_s: float = 2.5
    safety_margin_s: float = 2.0
    renew_after_s: float = 1.2


class ControllerLease:
    """One candidate's view of the lease that is granted in the log.

    Invariant: the holder counts the duration from the moment before its
    request, all other candidates from the moment at which they observed the
    grant, which is later.

    Attributes:
        candidate_id: Holder id of this candidate, unique to its process.
        token: Newest fencing token observed.
        holder: Holder id of the newest grant.
        timing: Timing of the lease.
    """

    __slots__ = (
        "candidate_id",
        "token",
        "holder",
        "timing",
        "_grant_seen_at",
        "_requested_at",
    )

    def __init__(
        self, candidate_id: str, now: float, timing: LeaseTiming | None = None
    ) -> None:
        """Creates a candidate that assumes another holder's lease is valid.

        Args:
            candidate_id: Holder id of this candidate.
            now: Time in seconds, by a clock that also advances while the
                machine is suspended.
            timing: Timing of the lease; must be equal for all candidates.
        """
        self.timing = timing or LeaseTiming()
        self.candidate_id = candidate_id
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

    def may_request(self, now: float) -> bool:
        """Whether this candidate may request or renew the lease now."""
        if self.holder == self.candidate_id:
            return now >= self._requested_at + self.timing.renew_after_s
        expiry_s = self.timing.lease_duration_s + self.timing.safety_margin_s
        return now >= self._grant_seen_at + expiry_s

    def record_grant(self, token: int, requested_at: float) -> None:
        """Records a grant to this candidate.

        Args:
            token: Fencing token of the grant.
            requested_at: Time in seconds just before the lease was requested,
                by the clock of ``now`` in the other methods.
        """
        assert token > self.token or self.holder == self.candidate_id, (
            f"lease granted to {self.candidate_id} under token {token}, but "
            f"{self.holder!r} holds token {self.token}"
        )
        self.token = max(self.token, token)
        self.holder = self.candidate_id
        self._requested_at = requested_at

    def may_send_orders(self, now: float) -> bool:
        """Whether this candidate holds the lease and may send orders now."""
        is_holder = self.holder == self.candidate_id
        return (
            is_holder
            and now < self._requested_at + self.timing.lease_duration_s
        )
