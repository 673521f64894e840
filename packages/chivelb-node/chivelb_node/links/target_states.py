"""What peers must learn of targets; a repair of missed changes compares it.

Two instances have the same states exactly if neither has anything to tell the
other. Who holds an address follows from the states, except among targets whose
incarnation is not known: the last one that announced itself does. Targets that
the document doesn't name are no part of them.
"""

from collections.abc import Iterator

from chivelb_core import targets
from chivelb_core.targets import entry as entry_lib
import msgspec

from chivelb_node.wire import messages

State = tuple
NOTHING_REFUTED = (-1, -1)


def named_entries(
    table: targets.TargetTable,
) -> Iterator[entry_lib.TargetEntry]:
    """Yields the targets that the document names."""
    return (entry for entry in table.entries.values() if not entry.problem)


def states_by_identity(table: targets.TargetTable) -> dict[str, State]:
    """Returns the state of each target."""
    return {
        entry.record.identity: state_of(entry) for entry in named_entries(table)
    }


def state_of(entry: entry_lib.TargetEntry) -> State:
    """Returns the state of a target."""
    state = "leaving" if entry.is_leaving else entry.record.state
    return _make_state(
        entry.record, state, entry.refuted, is_replaced=loses_address(entry)
    )


def loses_address(entry: entry_lib.TargetEntry) -> bool:
    """Returns whether a later target of unknown start has its address."""
    return entry.is_replaced and not entry.record.incarnation


def _make_state(
    record: targets.TargetRecord,
    state: str,
    refuted: tuple[int, int],
    *,
    is_replaced: bool,
) -> State:
    return (
        record.identity,
        record.incarnation,
        state,
        record.address,
        record.zone,
        record.service,
        record.slots,
        record.weight_version,
        record.software_version,
        refuted,
        is_replaced,
    )


def to_record(entry: entry_lib.TargetEntry, now: float) -> targets.TargetRecord:
    """Returns the record that tells a peer all of a target.

    A cold time that is only presumed here, as after a restart of this instance,
    is not told: peers may know the target for longer. A target that a response
    said is leaving has the next sequence, for older instances, which know no
    other order.

    Args:
        entry: The target.
        now: Monotonic time in seconds.
    """
    cold_s = max(0.0, entry.cold_until - now)
    is_told = not (cold_s and entry.is_cold_presumed)
    record = msgspec.structs.replace(
        entry.record, cold_s=cold_s if is_told else 0.0, tells_cold=is_told
    )
    if entry.is_leaving and record.state != "leaving":
        return msgspec.structs.replace(
            record, state="leaving", sequence=record.sequence + 1
        )
    return record


class PeerStates:
    """States of targets that a peer has told in a repair.

    Attributes:
        records: Its records, by identity.
        refuted: What it knows to be refuted, by identity.
        replaced: Targets of unknown start that lost their address.
        ended: Targets that it knows to have left, by identity.
    """

    __slots__ = ("records", "refuted", "replaced", "ended")

    def __init__(self) -> None:
        """Creates the states of a peer that has told nothing."""
        self.records: dict[str, targets.TargetRecord] = {}
        self.refuted: dict[str, tuple[int, int]] = {}
        self.replaced: set[str] = set()
        self.ended: dict[str, int] = {}

    def add(self, updates: messages.TargetUpdates) -> None:
        """Adds a page."""
        self.records.update((each.identity, each) for each in updates.records)
        self.refuted.update(
            (each.identity, (each.incarnation, each.sequence))
            for each in updates.refutations
        )
        self.replaced.update(updates.replaced)
        self.ended.update(
            (each.identity, each.started_by) for each in updates.ended
        )

    def lacks(self, table: targets.TargetTable) -> list[entry_lib.TargetEntry]:
        """Returns the targets of which the peer lacks something."""
        return [
            entry
            for entry in named_entries(table)
            if state_of(entry) != self._state_of(entry.record.identity)
        ]

    def knows_ended(self, table: targets.TargetTable) -> bool:
        """Returns whether the peer knows all that left of unknown start."""
        return table.ended.items() <= self.ended.items()

    def _state_of(self, identity: str) -> State | None:
        record = self.records.get(identity)
        if record is None:
            return None
        refuted = self.refuted.get(identity, NOTHING_REFUTED)
        return _make_state(
            record,
            record.state,
            refuted,
            is_replaced=identity in self.replaced,
        )
