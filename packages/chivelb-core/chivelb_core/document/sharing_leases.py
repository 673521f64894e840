"""Leases on the sharing epoch.

An instance caches prompts under the shared scope only while it holds a lease,
which a majority of the voters has granted for its document version. A voter
grants none once its log has a later change of which workspaces are isolated.
Since majorities overlap, no lease is granted for an older version after such a
change was committed: once the leases granted before have ended, no instance
shares what it reads or caches with a workspace that the change isolates.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

# Counted by the holder from before it asked for the lease.
LEASE_S = 2.2
# Covers clocks that run at different rates, and the time between the choice of
# a scope and the start of its request.
MARGIN_S = 0.3
# Counted by a voter from its grant, or from when it applied a change.
EXPIRY_S = LEASE_S + MARGIN_S


@dataclasses.dataclass(slots=True)
class SharingLease:
    """Permission of one instance to use the shared scope.

    Attributes:
        is_required: Whether sharing needs a lease; not so without voters, as
            documents then don't change.
        epoch: Sharing epoch that the lease is for.
        ends_at: Time of CLOCK_BOOTTIME at which the lease ends, in seconds.
    """

    is_required: bool = False
    epoch: str = ""
    ends_at: float = -math.inf

    def permits(self, epoch: str, now: float) -> bool:
        """Returns whether the shared scope of an epoch may be used.

        Args:
            epoch: Sharing epoch of the document in force.
            now: Time of CLOCK_BOOTTIME in seconds.
        """
        if not self.is_required:
            return True
        return epoch == self.epoch and now < self.ends_at

    def renew(self, epoch: str, requested_at: float) -> None:
        """Takes a lease that a majority of the voters granted.

        Args:
            epoch: Sharing epoch of the document for which it was requested.
            requested_at: Time of CLOCK_BOOTTIME before the request was sent,
                in seconds.
        """
        self.epoch = epoch
        self.ends_at = requested_at + LEASE_S


def is_majority(agreed: Iterable[tuple[str, frozenset[str]]]) -> bool:
    """Returns whether some voters are a majority of one group.

    Groups of different age are told apart by their voters. Those of
    neighbouring groups have overlapping majorities.

    Args:
        agreed: Member id of each voter, and the ids of all voters of the
            newest group in its log.
    """
    members_by_group = collections.defaultdict(set)
    for member_id, voters in agreed:
        if member_id in voters:
            members_by_group[voters].add(member_id)
    return any(
        len(members) > len(voters) // 2
        for voters, members in members_by_group.items()
    )


@dataclasses.dataclass(slots=True)
class Holder:
    """An instance that a voter granted leases to.

    Attributes:
        version: Document version of its newest request.
        ends_at: Monotonic time at which the newest lease has ended for
            certain, in seconds.
    """

    version: int
    ends_at: float = -math.inf


class LeaseGrants:
    """The leases that one voter has granted.

    Times are monotonic, in seconds.

    Attributes:
        holders: Instances that asked for leases, by name.
        changes: When changes of isolation were applied, by the document version
            that they created; those whose earlier leases have ended are
            removed.
        complete_from: Time from which no lease is left that the voter granted
            before it restarted, or in another group.
        voters: Voters of the group as last observed.
        min_version: Document version below which no lease is granted.
    """

    __slots__ = (
        "holders",
        "changes",
        "complete_from",
        "voters",
        "min_version",
    )

    def __init__(self, now: float) -> None:
        """Creates the grants of a voter that starts."""
        self.holders: dict[str, Holder] = {}
        self.changes: dict[int, float] = {}
        self.complete_from = now + EXPIRY_S
        self.voters: frozenset[str] | None = None
        self.min_version = 0

    def record_request(
        self, name: str, version: int, now: float, *, granted: bool
    ) -> None:
        """Records what an instance asked for.

        Args:
            name: Name of the instance.
            version: Document version by which it serves since.
            now: Time of the request.
            granted: Whether this voter grants the lease.
        """
        holder = self.holders.setdefault(name, Holder(version))
        holder.version = version
        if granted:
            holder.ends_at = now + EXPIRY_S

    def record_change(self, version: int, now: float) -> None:
        """Records that a change of isolation was applied.

        Args:
            version: Document version that it created.
            now: Time at which it was applied.
        """
        self.changes[version] = now

    def observe_voters(self, voters: frozenset[str], now: float) -> None:
        """Records the voters of the group.

        Majorities of groups that are more than one change apart need not
        overlap.
        """
        if self.voters not in (None, voters):
            self.complete_from = now + EXPIRY_S
        self.voters = voters

    def have_expired(self, version: int, now: float) -> bool:
        """Returns whether all leases of older epochs have ended by time.

        Args:
            version: Newest document version whose changes count.
            now: Present time.
        """
        self.changes = {
            at_version: applied_at
            for at_version, applied_at in self.changes.items()
            if applied_at + EXPIRY_S > now
        }
        return not any(at_version <= version for at_version in self.changes)

    def end_before(self, version: int, now: float) -> bool:
        """Grants no lease below a version, and returns whether none is left.

        Args:
            version: Document version; instances that serve by an older one
                are to hold no lease.
            now: Present time.
        """
        self.min_version = max(self.min_version, version)
        if now < self.complete_from:
            return False
        self.holders = {
            name: holder
            for name, holder in self.holders.items()
            if holder.ends_at > now
        }
        return all(
            holder.version >= version for holder in self.holders.values()
        )
