"""Decides which of the targets that announce one address holds it.

An address belongs to one process at a time. Of two incarnations, the one that
started later holds it, so that a late announcement of a crashed target changes
nothing. One whose incarnation is not known (0) goes behind the others; of two
such, the one that announced itself last holds the address.

A single announcement settles this only for a while: if its target falls silent
while the other one goes on announcing itself, that announcement is refuted,
until the next one. The same holds for two incarnations of one identity. What is
refuted is shared with the peers; who holds the address is computed from it.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from chivelb_core.targets import entry as entry_lib
from chivelb_core.targets import record as record_lib

# Time for which a target has to announce itself, while the one that holds its
# address is silent, to get it back: several heartbeats.
REFUTE_AFTER_S = 5.0
# Targets known at one address; those that were silent longest go first.
MAX_CLAIMANTS = 32


class AddressIndex:
    """Targets by the address that they announce, and who holds it."""

    __slots__ = ("_by_address",)

    def __init__(self) -> None:
        """Creates an empty index."""
        self._by_address: dict[str, dict[str, entry_lib.TargetEntry]] = {}

    def add(self, entry: entry_lib.TargetEntry) -> None:
        """Adds a target, in place of an earlier state of it."""
        record = entry.record
        claimants = self._by_address.setdefault(record.address, {})
        claimants[record.identity] = entry

    def remove(self, entry: entry_lib.TargetEntry) -> None:
        """Ends the claim of a target to its address."""
        record = entry.record
        claimants = self._by_address.get(record.address, {})
        claimants.pop(record.identity, None)
        if not claimants:
            self._by_address.pop(record.address, None)
        update_holders(list(claimants.values()))

    def claimants(self, address: str) -> list[entry_lib.TargetEntry]:
        """Returns the targets that announce an address."""
        return list(self._by_address.get(address, {}).values())

    def update(self) -> None:
        """Updates who holds each address."""
        for claimants in self._by_address.values():
            update_holders(list(claimants.values()))


def update_holders(claimants: Sequence[entry_lib.TargetEntry]) -> None:
    """Records for the targets of one address whether another one holds it."""
    for entry in claimants:
        entry.is_replaced = any(
            _prevails(other, entry) for other in claimants if other is not entry
        )


def _prevails(
    other: entry_lib.TargetEntry, entry: entry_lib.TargetEntry
) -> bool:
    """Returns whether another target's claim goes before that of a target."""
    if other.problem or other.is_refuted:
        return False
    if entry.is_refuted:
        return True
    if other.record.incarnation != entry.record.incarnation:
        return other.record.incarnation > entry.record.incarnation
    return other.claim_number > entry.claim_number


def refute_silent(
    entry: entry_lib.TargetEntry,
    claimants: Iterable[entry_lib.TargetEntry],
    now: float,
    after_s: float,
) -> list[entry_lib.TargetEntry]:
    """Refutes the claims of silent targets to the address of a target.

    Args:
        entry: The target, which has just announced itself.
        claimants: All targets of the address.
        now: Monotonic time in seconds.
        after_s: Time for which it has to have announced itself since theirs,
            in seconds.

    Returns:
        The targets whose claims are refuted now.
    """
    refuted = [
        other
        for other in claimants
        if other is not entry
        and _prevails(other, entry)
        and now - max(entry.heard_since, other.announced_at) >= after_s
    ]
    for other in refuted:
        refute(other)
    return refuted


def refute(entry: entry_lib.TargetEntry) -> None:
    """Declares the announcements of a target void, up to the newest one."""
    entry.refuted = entry.record.order


def is_challenged(
    entry: entry_lib.TargetEntry,
    record: record_lib.TargetRecord,
    now: float,
    after_s: float,
) -> bool:
    """Returns whether an earlier incarnation of a target has come back.

    A late announcement shows nothing, nor do some of them: the earlier one has
    to announce itself for some time while the known one is silent.

    Args:
        entry: The target.
        record: Announcement of an earlier incarnation.
        now: Monotonic time in seconds.
        after_s: That time, in seconds.
    """
    known = entry.challenge
    is_same = known is not None and known.incarnation == record.incarnation
    if is_same and record.sequence <= known.sequence:
        return False
    since = now
    if is_same and now - known.heard_at < after_s:
        since = known.heard_since
    entry.challenge = entry_lib.Challenge(
        record.incarnation, record.sequence, since, now
    )
    return now - max(since, entry.announced_at) >= after_s


def is_contested(
    entry: entry_lib.TargetEntry,
    claimants: Iterable[entry_lib.TargetEntry],
    now: float,
    within_s: float,
) -> bool:
    """Returns whether another target has announced the address recently.

    Args:
        entry: The target.
        claimants: All targets of the address.
        now: Monotonic time in seconds.
        within_s: Time since the announcement, in seconds.
    """
    return any(
        not other.problem
        and not other.is_refuted
        and now - other.announced_at < within_s
        for other in claimants
        if other is not entry
    )


def surplus(
    claimants: Sequence[entry_lib.TargetEntry],
) -> Iterator[entry_lib.TargetEntry]:
    """Yields the targets of an address that are too many, silent ones first."""
    by_silence = sorted(claimants, key=lambda each: each.claim_number)
    yield from by_silence[: max(0, len(claimants) - MAX_CLAIMANTS)]
