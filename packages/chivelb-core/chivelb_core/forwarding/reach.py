"""Whether an instance reaches the targets of a service by itself."""

from collections.abc import Collection

# An instance that could open a connection to none of this many targets of a
# service in a row is presumed to reach no target of it. Targets that already
# failed when another one was last reached don't count: checks go on to fail for
# each target that has stopped.
ISOLATING_FAILURES = 3
# A failure counts for this long; checks of unreachable targets renew it.
FAILURE_TTL_S = 3.0
# A target that was reached so lately is tried again by itself.
REACHED_TTL_S = 1.0
# Above this number, targets that were not reached lately are removed.
MAX_REACHED = 20_000


class ReachTable:
    """Targets of each service to which no connection opened lately.

    Attributes:
        failures: Monotonic time of the last failure of each target since a
            target of its service was reached, in seconds, by service.
        stopped: Targets that had failed when a target of their service was
            last reached, by service.
        reached_at: Monotonic time at which each target was last reached, in
            seconds.
    """

    __slots__ = ("failures", "stopped", "reached_at")

    def __init__(self) -> None:
        """Creates a table of an instance that reaches all targets."""
        self.failures: dict[str, dict[str, float]] = {}
        self.stopped: dict[str, set[str]] = {}
        self.reached_at: dict[str, float] = {}

    def record_failure(self, service: str, identity: str, now: float) -> None:
        """Records that no connection to a target could be opened."""
        self.reached_at.pop(identity, None)
        if identity not in self.stopped.get(service, ()):
            self.failures.setdefault(service, {})[identity] = now

    def record_reached(self, service: str, identity: str, now: float) -> None:
        """Records that a target was reached."""
        stopped = self.stopped.setdefault(service, set())
        stopped.update(self.failures.pop(service, ()))
        stopped.discard(identity)
        self.reached_at[identity] = now
        if len(self.reached_at) > MAX_REACHED:
            self.reached_at = {
                name: at
                for name, at in self.reached_at.items()
                if now - at < REACHED_TTL_S
            }

    def was_reached(self, identity: str, now: float) -> bool:
        """Returns whether a target was reached lately."""
        at = self.reached_at.get(identity)
        return at is not None and now - at < REACHED_TTL_S

    def is_isolated(
        self, service: str, identities: Collection[str], now: float
    ) -> bool:
        """Returns whether no target of a service is presumed to be reachable.

        Args:
            service: The service.
            identities: Identities of its targets that may receive requests.
            now: Monotonic time in seconds.
        """
        failures = self.failures.get(service)
        if not failures:
            return False
        recent = sum(now - at < FAILURE_TTL_S for at in failures.values())
        stopped = self.stopped.get(service, set())
        # Targets that have left the fleet are no longer among the identities.
        stopped.intersection_update(identities)
        others = len(identities) - len(stopped)
        return recent >= max(1, min(ISOLATING_FAILURES, others))
