"""Aggregate of targets, each under the lease of its announcement."""

from collections.abc import Iterator
import dataclasses
import math

import msgspec

from chivelb_core.targets import record as record_lib

FORGET_AFTER_S = 300.0


@dataclasses.dataclass(slots=True)
class TargetEntry:
    """A target as this instance knows it.

    Attributes:
        record: Its newest announcement.
        heard_at: Monotonic time of the announcement, in seconds.
        expires_at: Monotonic time when the lease lapses, in seconds.
        left: Whether its incarnation has announced that it is leaving.
        failed_at: When this instance saw it fail, or None.
        replaced: Whether another target has announced itself at its address
            since.
        held_until: Monotonic time until which it takes no new work because
            its weights change, in seconds.
    """

    record: record_lib.TargetRecord
    heard_at: float
    expires_at: float
    left: bool = False
    failed_at: float | None = None
    replaced: bool = False
    held_until: float = -math.inf


class TargetTable:
    """Targets by identity.

    Rules: an announcement replaces only an older one; leaving is final for
    an incarnation; a lapsed lease takes no new work.

    Attributes:
        entries: Known targets by identity.
    """

    __slots__ = ("entries", "max_entries")

    def __init__(self, max_entries: int = 20_000) -> None:
        """Creates an empty table with a bound on its size."""
        self.entries: dict[str, TargetEntry] = {}
        self.max_entries = max_entries

    def announce(self, record: record_lib.TargetRecord, now: float) -> bool:
        """Takes an announcement.

        Args:
            record: The announcement.
            now: Monotonic time in seconds.

        Returns:
            True when it was news, and must be spread further.
        """
        known = self.entries.get(record.identity)
        if known is None and len(self.entries) >= self.max_entries:
            return False
        if known is not None and record.order <= known.record.order:
            return False
        expires_at = now + record.lease_s if record.lease_s else math.inf
        left = record.state == "leaving"
        entry = TargetEntry(record, now, expires_at, left)
        if known and known.record.incarnation == record.incarnation:
            entry.left = left or known.left
            entry.failed_at = known.failed_at
            entry.held_until = known.held_until
        self.entries[record.identity] = entry
        self._replace_at(entry)
        return True

    def _replace_at(self, entry: TargetEntry) -> None:
        """Lets one target have an address: the one that announced last.

        Late words of a target that is gone may come after those of its
        successor, which takes the address back with its next one. Where both
        tell their starts, the younger one has it.
        """
        record = entry.record
        for other in self.entries.values():
            if other is entry or other.record.address != record.address:
                continue
            if other.record.incarnation > record.incarnation > 0:
                entry.replaced = True
            else:
                other.replaced = True

    def take_leaving(self, identity: str, incarnation: int) -> bool:
        """Notes that a target's incarnation is leaving; True when news."""
        known = self.entries.get(identity)
        if known is None or known.record.incarnation != incarnation:
            return False
        news = not known.left
        known.left = True
        return news

    def hold(self, identity: str, incarnation: int, until: float) -> None:
        """Stops new work to a target until a time; an early one ends it."""
        known = self.entries.get(identity)
        if known is not None and known.record.incarnation == incarnation:
            known.held_until = until

    def note_version(self, identity: str, incarnation: int, version: str):
        """Takes the word that a target's weights have another version."""
        known = self.entries.get(identity)
        if known is not None and known.record.incarnation == incarnation:
            known.record = msgspec.structs.replace(
                known.record, weight_version=version
            )

    def is_eligible(self, identity: str, now: float) -> bool:
        """Tells whether a target may receive new work at this moment."""
        known = self.entries.get(identity)
        return (
            known is not None
            and not known.left
            and not known.replaced
            and known.record.state == "ready"
            and known.held_until <= now < known.expires_at
        )

    def eligible(
        self, service: str, now: float, role: str = "runner"
    ) -> Iterator[record_lib.TargetRecord]:
        """Yields the records of the targets that may receive new work."""
        for identity, entry in self.entries.items():
            record = entry.record
            if record.service != service or record.role != role:
                continue
            if self.is_eligible(identity, now):
                yield record

    def newest_failures(self, now: float, within_s: float) -> Iterator[str]:
        """Yields identities that this instance saw fail lately."""
        for identity, entry in self.entries.items():
            failed_at = entry.failed_at
            if failed_at is not None and now - failed_at < within_s:
                yield identity

    def note_failure(self, identity: str, now: float) -> None:
        """Records that an exchange with a target failed."""
        if identity in self.entries:
            self.entries[identity].failed_at = now

    def note_success(self, identity: str) -> None:
        """Clears a recorded failure."""
        if identity in self.entries:
            self.entries[identity].failed_at = None

    def forget_lapsed(self, now: float) -> list[str]:
        """Drops targets long past their lease and returns their identities."""
        gone = [
            identity
            for identity, entry in self.entries.items()
            if now - entry.expires_at > FORGET_AFTER_S
        ]
        for identity in gone:
            del self.entries[identity]
        return gone
