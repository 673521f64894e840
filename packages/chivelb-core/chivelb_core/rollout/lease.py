"""Aggregate of the controller's lease, as one candidate sees it.

The holder stops by its own clock before any other candidate may start, so
that targets which ignore fencing tokens get no order from two controllers.
"""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class LeaseTiming:
    """Periods of a controller's lease, in seconds.

    Attributes:
        window_s: Time after its request in which a holder may order.
        gap_s: Time without any order between two holders.
        renew_s: Time after which a holder renews.
    """

    window_s: float = 2.5
    gap_s: float = 2.0
    renew_s: float = 1.2


class ControllerLease:
    """The lease named in the log.

    Rule: the holder counts from the moment before it asked, all others
    from the moment they saw the grant, which is later.

    Attributes:
        me: Holder string of this candidate, unique to its process.
        token: Newest fencing token seen.
        holder: Who holds it.
    """

    __slots__ = ("me", "token", "holder", "timing", "_seen_at", "_asked_at")

    def __init__(
        self, me: str, now: float, timing: LeaseTiming | None = None
    ) -> None:
        """Creates a candidate that assumes a lease in force until proved.

        Args:
            me: Holder string of this candidate.
            now: Time in seconds, by a clock that counts a suspension of the
                machine as well.
            timing: Periods, the same for all candidates.
        """
        self.timing = timing or LeaseTiming()
        self.me = me
        self.token = 0
        self.holder = ""
        self._seen_at = now
        self._asked_at = float("-inf")

    def observe(self, holder: str, token: int, now: float) -> None:
        """Takes the newest grant that the log shows."""
        if token > self.token:
            self.token = token
            self.holder = holder
            self._seen_at = now

    def may_ask(self, now: float) -> bool:
        """Tells whether this candidate may ask for the lease now."""
        if self.holder == self.me:
            return now >= self._asked_at + self.timing.renew_s
        lapses_s = self.timing.window_s + self.timing.gap_s
        return now >= self._seen_at + lapses_s

    def note_granted(self, token: int, asked_at: float) -> None:
        """Takes a grant.

        Args:
            token: The fencing token.
            asked_at: Monotonic time just before it was asked for.
        """
        assert token > self.token or self.holder == self.me
        self.token = max(self.token, token)
        self.holder = self.me
        self._asked_at = asked_at

    def may_order(self, now: float) -> bool:
        """Tells whether an order may be sent at this moment."""
        held = self.holder == self.me
        return held and now < self._asked_at + self.timing.window_s
