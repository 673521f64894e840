"""Limits that targets name on the requests that they take in a second.

A limit holds for all instances together. Each limited target has one instance,
its owner, that grants the others when they may send a request to it; see
docs/design/admission.md. An instance keeps the limits that it knows of and the
grants that it holds.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import math
import random
import re

from chivelb_core import targets

# A target with a lower limit, or none at all, still gets a request now and
# then: its answer tells whether the limit has changed.
MIN_RATE_PER_S = 0.2
# Time for which a grant can be used. It adds to what reaches a target within a
# window, so that it is short.
GRANT_TTL_S = 0.5
# A request is granted at most this long before it may be sent; longer waits
# are refused.
MAX_GRANT_DELAY_S = 1.0
# An instance that is refused asks again within this time.
MAX_ASK_DELAY_S = 6.0
# Time for which the end of a limit is remembered, against older news of it.
ENDED_RETENTION_S = 30.0
MAX_VALUE_LENGTH = 20
_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class LimitError(ValueError):
    """A limit that a target named can't be understood."""


def parse_limit(values: Sequence[str]) -> float | None:
    """Returns the requests a second that an answer names.

    Args:
        values: All values of the header that names a limit.

    Returns:
        The limit; 0 for a target that takes none. None if no limit is named.

    Raises:
        LimitError: The limit is named more than once, or is no decimal number.
    """
    if not values:
        return None
    if len(values) > 1:
        raise LimitError(f"limit named {len(values)} times")
    text = values[0].strip()
    if len(text) > MAX_VALUE_LENGTH or not _DECIMAL.fullmatch(text):
        raise LimitError(
            f"{text[:MAX_VALUE_LENGTH]!r} is no decimal number of at most "
            f"{MAX_VALUE_LENGTH} characters"
        )
    return float(text)


@dataclasses.dataclass(slots=True)
class RequestLimit:
    """What is known of the limit of one target.

    Attributes:
        rate_per_s: Requests that it takes in a second from all instances
            together; None since it named no limit any more.
        learned_at: Monotonic time of the answer that told, in seconds.
    """

    rate_per_s: float | None
    learned_at: float


@dataclasses.dataclass(slots=True)
class Grant:
    """Permission to send one request to a target.

    Attributes:
        valid_from: Monotonic time from which it may be sent, in seconds.
        expires_at: Monotonic time from which it may not be sent any more.
    """

    valid_from: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class Demand:
    """What this instance does to send requests to a limited target.

    Attributes:
        grant: A grant that was not used yet; it may have expired.
        is_wanted: Whether a call could be sent if there were a grant.
        refused_until: Monotonic time until which no grant is expected, as the
            owner said, in seconds.
    """

    grant: Grant | None = None
    is_wanted: bool = False
    refused_until: float = -math.inf

    def has_grant(self, now: float) -> bool:
        """Returns whether a grant is held, for now or for later."""
        return self.grant is not None and now < self.grant.expires_at

    def may_send(self, now: float) -> bool:
        """Returns whether a grant can be used now."""
        return self.has_grant(now) and self.grant.valid_from <= now


class LimitTable:
    """Limits of targets as one instance knows them, and its grants.

    Invariants: news that is older than what is known changes nothing; a target
    without a known limit needs no grant; a grant is used once.

    Attributes:
        limits: Known limits, and ended ones for a while, by target identity.
        demands: Demand for limited targets by identity.
        on_want: Called with the identity of a target of which a grant is
            wanted.
    """

    __slots__ = ("limits", "demands", "on_want")

    def __init__(self) -> None:
        """Creates a table without limits."""
        self.limits: dict[str, RequestLimit] = {}
        self.demands: dict[str, Demand] = {}
        self.on_want: Callable[[str], None] = lambda identity: None

    # What targets tell.

    def record_answer(
        self,
        identity: str,
        rate_per_s: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records what an answer of a target says of its limit.

        An answer without a limit ends one only if its request was sent after
        the limit had become known: answers may overtake each other.

        Args:
            identity: The target.
            rate_per_s: The limit that it names, or None.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.

        Returns:
            Whether the limit has changed.
        """
        known = self.limits.get(identity)
        if rate_per_s is None:
            if known is None or known.rate_per_s is None:
                return False
            if sent_at <= known.learned_at:
                return False
        return self.apply(identity, RequestLimit(rate_per_s, now))

    def apply(self, identity: str, limit: RequestLimit) -> bool:
        """Applies news of a limit; returns whether the limit has changed."""
        known = self.limits.get(identity)
        if known is not None and limit.learned_at <= known.learned_at:
            return False
        self.limits[identity] = limit
        before = None if known is None else known.rate_per_s
        if limit.rate_per_s == before:
            return False
        # Grants and refusals by the limit before are void.
        self.demands.pop(identity, None)
        return True

    def rate_per_s(self, identity: str) -> float | None:
        """Returns the limit of a target, or None without one."""
        known = self.limits.get(identity)
        return None if known is None else known.rate_per_s

    def forget(self, gone: Iterable[str], now: float) -> None:
        """Removes targets that are gone, and limits that ended long ago."""
        ended = [
            identity
            for identity, limit in self.limits.items()
            if limit.rate_per_s is None
            and now - limit.learned_at > ENDED_RETENTION_S
        ]
        for identity in [*gone, *ended]:
            self.limits.pop(identity, None)
            self.demands.pop(identity, None)

    # Grants of this instance.

    def may_send(self, identity: str, now: float) -> bool:
        """Returns whether a request may be sent to a target now."""
        if self.rate_per_s(identity) is None:
            return True
        demand = self.demands.get(identity)
        return demand is not None and demand.may_send(now)

    def partition(
        self, records: Iterable[targets.TargetRecord], now: float
    ) -> tuple[
        list[targets.TargetRecord], list[targets.TargetRecord], list[str]
    ]:
        """Separates targets by whether a request may be sent to them now.

        Returns:
            Those without a limit, those with a grant, and the identities of
            those that would need a grant.
        """
        if not self.limits:
            return list(records), [], []
        free, granted, limited = [], [], []
        for record in records:
            if self.rate_per_s(record.identity) is None:
                free.append(record)
            elif self.may_send(record.identity, now):
                granted.append(record)
            else:
                limited.append(record.identity)
        return free, granted, limited

    def spend(self, identity: str) -> None:
        """Uses the grant for a request that is sent to a target now."""
        demand = self.demands.get(identity)
        if demand is not None:
            demand.grant = None

    def want(
        self,
        identities: Sequence[str],
        *,
        calls: int,
        now: float,
        rng: random.Random,
    ) -> None:
        """Notes that calls could be sent to any of some limited targets.

        No more grants are wanted at a time than the calls can use: others would
        be missing at other instances.

        Args:
            identities: The targets, none of which has a grant for now.
            calls: Number of calls.
            now: Monotonic time in seconds.
            rng: Random number generator that chooses among the targets.
        """
        open_targets = []
        for identity in identities:
            demand = self.demands.setdefault(identity, Demand())
            if demand.is_wanted or demand.has_grant(now):
                calls -= 1
            elif demand.refused_until <= now:
                open_targets.append(identity)
        chosen = rng.sample(open_targets, min(max(0, calls), len(open_targets)))
        for identity in chosen:
            self.demands[identity].is_wanted = True
            self.on_want(identity)

    def add_grant(self, identity: str, grant: Grant) -> None:
        """Adds a grant that the owner of a target gave."""
        self._answered(identity).grant = grant

    def refuse(self, identity: str, until: float) -> None:
        """Records that the owner of a target grants nothing until a time."""
        self._answered(identity).refused_until = until

    def _answered(self, identity: str) -> Demand:
        demand = self.demands.setdefault(identity, Demand())
        demand.is_wanted = False
        return demand

    def expected_wait(
        self, identities: Sequence[str], now: float
    ) -> tuple[float, float]:
        """Returns what the limits of all targets of a service imply.

        Args:
            identities: All targets that calls may go to.
            now: Monotonic time in seconds.

        Returns:
            Expected time until a request may be sent to any of them, and the
            interval between requests to all of them together, in seconds;
            zeros if one has no limit.
        """
        rates = [self.rate_per_s(identity) for identity in identities]
        if not rates or None in rates:
            return 0.0, 0.0
        total_per_s = sum(max(rate, MIN_RATE_PER_S) for rate in rates)
        first_s = min(
            self.expected_wait_s(identity, now) for identity in identities
        )
        return first_s, 1.0 / total_per_s

    def expected_wait_s(self, identity: str, now: float) -> float:
        """Returns the time until a request may be sent to a target, if known.

        It is 0 without a limit, and while nothing is known of the wait.
        """
        demand = self.demands.get(identity)
        if self.rate_per_s(identity) is None or demand is None:
            return 0.0
        if demand.has_grant(now):
            return max(0.0, demand.grant.valid_from - now)
        return max(0.0, demand.refused_until - now)


class GrantSchedule:
    """Times at which the owner of a target lets requests reach it.

    Invariant: the grants are as far apart as the limit asks.

    Attributes:
        last_at: Monotonic time from which the newest grant may be used, in
            seconds.
        announced_at: Monotonic time of the newest grant that an instance was
            told to ask for later, in seconds.
    """

    __slots__ = ("last_at", "announced_at")

    def __init__(self) -> None:
        """Creates a schedule without grants."""
        self.last_at = -math.inf
        self.announced_at = -math.inf

    def grant(self, rate_per_s: float, now: float) -> tuple[bool, float]:
        """Grants one request if it may be sent soon.

        Args:
            rate_per_s: Limit of the target.
            now: Monotonic time in seconds.

        Returns:
            Whether the request is granted, and the delay in seconds after which
            it may be sent; else that after which to ask again.
        """
        interval_s = 1.0 / max(rate_per_s, MIN_RATE_PER_S)
        delay_s = max(0.0, self.last_at + interval_s - now)
        if delay_s <= MAX_GRANT_DELAY_S:
            self.last_at = now + delay_s
            return True, delay_s
        # Instances that are refused come back one after the other.
        later = max(self.announced_at, self.last_at) + interval_s
        self.announced_at = min(later, now + MAX_ASK_DELAY_S)
        return False, self.announced_at - now - MAX_GRANT_DELAY_S
