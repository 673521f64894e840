"""Table of the known targets and the leases of their announcements."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math

import msgspec

from chivelb_core.targets import record as record_lib

FORGET_AFTER_S = 300.0
# Time after a rest in which a target gets no more requests than it has slots:
# those that waited for the end of the rest would come all at once.
CAREFUL_AFTER_S = 3.0
# A reported end of the cold time that differs by less than this is the same.
COLD_TOLERANCE_S = 0.25


@dataclasses.dataclass(slots=True)
class TargetEntry:
    """State of one target as known to this instance.

    Attributes:
        record: Newest announcement.
        announced_at: Monotonic time when that announcement was applied, in
            seconds.
        expires_at: Monotonic time when the lease expires, in seconds.
        is_leaving: Whether this incarnation has announced that it is leaving.
        failed_at: Monotonic time of the last failure that this instance
            observed, in seconds; None without one, or after a success.
        is_unreachable: Whether this instance could not open a connection to it
            and has opened none since.
        no_path_until: Monotonic time until which peers are not asked to send
            requests to it, because none of them reached it either, in seconds.
        is_replaced: Whether another target has since announced itself at the
            same address.
        paused_until: Monotonic time until which the target receives no new
            requests because its weights are being changed, in seconds.
        resting_until: Monotonic time until which it receives none of this
            instance because it had no room for one, in seconds.
        is_brittle: Whether it says that it stops if it has to turn away many
            requests for want of room.
        cold_until: Monotonic time until which it is cold, in seconds.
        cold_learned_at: Monotonic time at which that was learned, in seconds.
        is_cold_presumed: Whether it has reported no cold time yet, so that
            ``cold_until`` follows from what its service declares.
    """

    record: record_lib.TargetRecord
    announced_at: float
    expires_at: float
    is_leaving: bool = False
    failed_at: float | None = None
    is_unreachable: bool = False
    no_path_until: float = -math.inf
    is_replaced: bool = False
    paused_until: float = -math.inf
    resting_until: float = -math.inf
    is_brittle: bool = False
    cold_until: float = -math.inf
    cold_learned_at: float = -math.inf
    is_cold_presumed: bool = False

    def needs_room(self, now: float) -> bool:
        """Returns whether requests must not be turned away there.

        Args:
            now: Monotonic time in seconds.
        """
        return self.is_brittle or now - self.resting_until < CAREFUL_AFTER_S


class TargetTable:
    """Targets by identity.

    Invariants: an announcement only replaces an older one; leaving is final
    for an incarnation; a target with an expired lease receives no new
    requests; nor does one in an evacuated availability zone.

    Attributes:
        entries: Known targets by identity.
        max_entries: Maximum number of entries.
        evacuated_zones: Availability zones whose targets get no new requests.
        cold_start_s: Returns for how long the targets of a service are cold
            after a start, in seconds; 0 if that is not known.
        next_cold_send_at: Returns the monotonic time from which this instance
            may send a request to a cold target, in seconds.
        on_cold: Called with a target that has turned cold.
        on_restart: Called with the previous record of a target that has started
            again under its identity.
    """

    __slots__ = (
        "entries",
        "max_entries",
        "evacuated_zones",
        "cold_start_s",
        "next_cold_send_at",
        "on_cold",
        "on_restart",
    )

    def __init__(self, max_entries: int = 20_000) -> None:
        """Creates an empty table with a maximum number of entries."""
        self.entries: dict[str, TargetEntry] = {}
        self.max_entries = max_entries
        self.evacuated_zones: frozenset[str] = frozenset()
        self.cold_start_s: Callable[[str], float] = lambda service: 0.0
        self.next_cold_send_at: Callable[
            [record_lib.TargetRecord, float], float
        ] = lambda record, now: -math.inf
        self.on_cold: Callable[[record_lib.TargetRecord], None] = (
            lambda record: None
        )
        self.on_restart: Callable[[record_lib.TargetRecord], None] = (
            lambda record: None
        )

    def announce(
        self,
        record: record_lib.TargetRecord,
        now: float,
        *,
        may_end_cold: bool = True,
    ) -> bool:
        """Applies an announcement.

        Args:
            record: The announcement.
            now: Monotonic time in seconds.
            may_end_cold: Whether it can end a cold time early; an announcement
                that was kept for some time may be older than what is known.

        Returns:
            True if it was new and must be propagated to other instances.
        """
        known = self.entries.get(record.identity)
        if known is None and len(self.entries) >= self.max_entries:
            return False
        if known is not None and record.order <= known.record.order:
            return False
        expires_at = now + record.lease_s if record.lease_s else math.inf
        is_leaving = record.state == "leaving"
        entry = TargetEntry(record, now, expires_at, is_leaving)
        if known and known.record.incarnation == record.incarnation:
            entry.is_leaving = is_leaving or known.is_leaving
            entry.failed_at = known.failed_at
            entry.is_unreachable = known.is_unreachable
            entry.no_path_until = known.no_path_until
            entry.paused_until = known.paused_until
            entry.resting_until = known.resting_until
            entry.is_brittle = known.is_brittle
            entry.cold_until = known.cold_until
            entry.cold_learned_at = known.cold_learned_at
            entry.is_cold_presumed = known.is_cold_presumed
            cold_s = record.cold_s if record.tells_cold else None
        else:
            cold_s = record.cold_s
            if not record.tells_cold:
                cold_s = self.cold_start_s(record.service)
        self.entries[record.identity] = entry
        self._claim_address(entry)
        if known and known.record.incarnation != record.incarnation:
            self.on_restart(known.record)
        if cold_s is not None:
            if not may_end_cold:
                cold_s = max(cold_s, entry.cold_until - now)
            self.set_cold(record.identity, record.incarnation, cold_s, now)
            entry.is_cold_presumed = not record.tells_cold
        return True

    def set_cold(
        self,
        identity: str,
        incarnation: int,
        cold_s: float,
        now: float,
        *,
        sent_at: float = math.inf,
    ) -> bool:
        """Records for how long a target stays cold.

        Args:
            identity: The target.
            incarnation: Its incarnation.
            cold_s: Time in seconds; 0 if it is warm.
            now: Monotonic time in seconds.
            sent_at: Monotonic time at which the request was sent whose response
                reports this, in seconds. A response that was overtaken does
                not end a cold time.

        Returns:
            Whether the target has turned cold or warm, or stays cold for
            longer than was known.
        """
        known = self.entries.get(identity)
        if known is None or known.record.incarnation != incarnation:
            return False
        was_cold = known.cold_until > now
        if not cold_s and sent_at <= known.cold_learned_at:
            return False
        until = now + cold_s if cold_s else -math.inf
        lasts_longer = until > known.cold_until + COLD_TOLERANCE_S
        known.cold_until = until
        known.cold_learned_at = now
        known.is_cold_presumed = False
        if cold_s and not was_cold:
            self.on_cold(known.record)
        return was_cold != (cold_s > 0.0) or (cold_s > 0.0 and lasts_longer)

    def cold_s(self, identity: str, now: float) -> float:
        """Returns how long a target stays cold, in seconds; 0 if it is warm."""
        entry = self.entries.get(identity)
        return 0.0 if entry is None else max(0.0, entry.cold_until - now)

    def _claim_address(self, entry: TargetEntry) -> None:
        """Assigns an address to the target that announced it last.

        A delayed announcement of a stopped target may arrive after those of
        its successor at the address; the successor's next announcement
        reclaims it. If both incarnations are known, that is, above 0, the
        greater one owns the address.
        """
        record = entry.record
        for other in self.entries.values():
            if other is entry or other.record.address != record.address:
                continue
            if other.record.incarnation > record.incarnation > 0:
                entry.is_replaced = True
            else:
                other.is_replaced = True

    def mark_leaving(self, identity: str, incarnation: int) -> bool:
        """Records that an incarnation is leaving; returns True if new."""
        known = self.entries.get(identity)
        if known is None or known.record.incarnation != incarnation:
            return False
        is_new = not known.is_leaving
        known.is_leaving = True
        return is_new

    def pause(self, identity: str, incarnation: int, until: float) -> None:
        """Pauses new requests to a target until a monotonic time.

        A time in the past ends the pause.
        """
        known = self.entries.get(identity)
        if known is not None and known.record.incarnation == incarnation:
            known.paused_until = until

    def rest(self, identity: str, incarnation: int, until: float) -> bool:
        """Lets a target rest until a monotonic time, unless it rests longer.

        Returns:
            True if the end of its rest has changed.
        """
        known = self.entries.get(identity)
        if known is None or known.record.incarnation != incarnation:
            return False
        if until <= known.resting_until:
            return False
        known.resting_until = until
        return True

    def set_brittle(
        self, identity: str, incarnation: int, *, is_brittle: bool
    ) -> bool:
        """Records whether a target is brittle; returns True if it changed."""
        known = self.entries.get(identity)
        if known is None or known.record.incarnation != incarnation:
            return False
        changed = known.is_brittle != is_brittle
        known.is_brittle = is_brittle
        return changed

    def rest_ends_at(
        self,
        service: str,
        now: float,
        *,
        is_allowed: Callable[[str], bool] = lambda zone: True,
    ) -> float:
        """Returns when the first resting target of a service may get requests.

        Args:
            service: Name of the service.
            now: Monotonic time in seconds.
            is_allowed: Returns whether targets of a zone count.

        Returns:
            Monotonic time in seconds; infinite if none is only resting.
        """
        return min(
            (
                entry.resting_until
                for entry in self.entries.values()
                if entry.record.service == service
                and entry.resting_until > now
                and is_allowed(entry.record.zone)
                and self._may_serve(entry, now)
            ),
            default=math.inf,
        )

    def count_cold(self, now: float) -> int:
        """Returns the number of cold targets that may be used."""
        return sum(
            entry.cold_until > now and self._may_serve(entry, now)
            for entry in self.entries.values()
        )

    def opens_at(self, entry: TargetEntry, now: float) -> float:
        """Returns when a target takes a request of this instance if it is cold.

        Returns:
            Monotonic time in seconds, which may be past.
        """
        if entry.cold_until <= now:
            return -math.inf
        return min(entry.cold_until, self.next_cold_send_at(entry.record, now))

    def cold_opens_at(
        self,
        service: str,
        now: float,
        *,
        is_usable: Callable[[record_lib.TargetRecord], bool] = lambda record: (
            True
        ),
    ) -> float:
        """Returns when the first cold target of a service may get a request.

        Args:
            service: The service.
            now: Monotonic time in seconds.
            is_usable: Returns whether a target counts.

        Returns:
            Monotonic time in seconds; infinite if no target gets none only
            because it is cold.
        """
        opening = (
            self.opens_at(entry, now)
            for entry in self.entries.values()
            if entry.record.service == service
            and entry.cold_until > now
            and entry.resting_until <= now
            and self._may_serve(entry, now)
            and is_usable(entry.record)
        )
        return min((at for at in opening if at > now), default=math.inf)

    def cold_entries(self, service: str, now: float) -> list[TargetEntry]:
        """Returns the targets of a service that are cold and otherwise usable.

        Args:
            service: The service.
            now: Monotonic time in seconds.

        Returns:
            The targets; empty if one is usable and not cold.
        """
        found = []
        for entry in self.entries.values():
            if (
                entry.record.service == service
                and entry.resting_until <= now
                and self._may_serve(entry, now)
            ):
                if entry.cold_until <= now:
                    return []
                found.append(entry)
        return found

    def needs_room(self, identity: str, now: float) -> bool:
        """Returns whether requests must not be turned away at a target."""
        entry = self.entries.get(identity)
        return entry is not None and entry.needs_room(now)

    def set_weight_version(self, identity: str, incarnation: int, version: str):
        """Updates the weight version of a target's incarnation."""
        known = self.entries.get(identity)
        if known is not None and known.record.incarnation == incarnation:
            known.record = msgspec.structs.replace(
                known.record, weight_version=version
            )

    def is_eligible(
        self, identity: str, now: float, *, ignores_cold: bool = False
    ) -> bool:
        """Returns whether a target may receive new requests now.

        Args:
            identity: The target.
            now: Monotonic time in seconds.
            ignores_cold: Whether a cold target counts as a warm one, because
                another instance has decided to send the request.
        """
        known = self.entries.get(identity)
        return known is not None and self._is_eligible(known, now, ignores_cold)

    def _is_eligible(
        self, entry: TargetEntry, now: float, ignores_cold: bool
    ) -> bool:
        return (
            entry.resting_until <= now
            and self._may_serve(entry, now)
            and (
                entry.cold_until <= now
                or ignores_cold
                or self.opens_at(entry, now) <= now
            )
        )

    def _may_serve(self, entry: TargetEntry, now: float) -> bool:
        return (
            entry.record.zone not in self.evacuated_zones
            and self._may_serve_unless_evacuated(entry, now)
        )

    def _may_serve_unless_evacuated(
        self, entry: TargetEntry, now: float
    ) -> bool:
        return (
            not entry.is_leaving
            and not entry.is_replaced
            and entry.record.state == "ready"
            and entry.paused_until <= now < entry.expires_at
        )

    def eligible(
        self,
        service: str,
        now: float,
        role: str = "runner",
        *,
        ignores_cold: bool = False,
    ) -> Iterator[record_lib.TargetRecord]:
        """Yields the records of the targets that may receive new requests.

        Each placement lists them, so the conditions of ``is_eligible`` that
        hold for most targets are checked here without further calls.
        """
        evacuated_zones = self.evacuated_zones
        for entry in self.entries.values():
            record = entry.record
            if (
                record.service == service
                and record.role == role
                and entry.resting_until <= now
                and not entry.is_leaving
                and not entry.is_replaced
                and record.state == "ready"
                and entry.paused_until <= now < entry.expires_at
                and record.zone not in evacuated_zones
                and (
                    entry.cold_until <= now
                    or ignores_cold
                    or self.opens_at(entry, now) <= now
                )
            ):
                yield record

    def count_in_zone(self, zone: str) -> int:
        """Returns the number of known targets in an availability zone."""
        return sum(entry.record.zone == zone for entry in self.entries.values())

    def has_target(
        self, service: str, is_allowed: Callable[[str], bool]
    ) -> bool:
        """Returns whether a service has a target in some zones.

        Args:
            service: Name of the service.
            is_allowed: Returns whether targets of a zone count.
        """
        return any(
            entry.record.service == service
            and not entry.is_leaving
            and not entry.is_replaced
            and is_allowed(entry.record.zone)
            for entry in self.entries.values()
        )

    def is_evacuated(
        self,
        service: str,
        now: float,
        *,
        is_allowed: Callable[[str], bool] = lambda zone: True,
    ) -> bool:
        """Returns whether a service has targets in evacuated zones alone.

        Targets that would get no requests in any case don't count.

        Args:
            service: Name of the service.
            now: Monotonic time in seconds.
            is_allowed: Returns whether targets of a zone count.
        """
        if not self.evacuated_zones:
            return False
        zones = {
            entry.record.zone
            for entry in self.entries.values()
            if entry.record.service == service
            and is_allowed(entry.record.zone)
            and self._may_serve_unless_evacuated(entry, now)
        }
        return bool(zones) and zones <= self.evacuated_zones

    def recent_failures(self, now: float, within_s: float) -> Iterator[str]:
        """Yields the identities of targets that failed recently.

        Targets that are unreachable are included, however old the failure.

        Args:
            now: Monotonic time in seconds.
            within_s: Maximum age of the failure, in seconds.
        """
        for identity, entry in self.entries.items():
            failed_at = entry.failed_at
            if entry.is_unreachable or (
                failed_at is not None and now - failed_at < within_s
            ):
                yield identity

    def failed_since(self, at: float) -> Iterator[str]:
        """Yields the identities of targets that failed a request since a time.

        Args:
            at: Monotonic time in seconds.
        """
        for identity, entry in self.entries.items():
            if entry.failed_at is not None and entry.failed_at > at:
                yield identity

    def _is_current(self, identity: str, incarnation: int | None) -> bool:
        """Returns whether an incarnation is the known one; None for any."""
        entry = self.entries.get(identity)
        return entry is not None and incarnation in (
            None,
            entry.record.incarnation,
        )

    def record_failure(
        self, identity: str, now: float, *, incarnation: int | None = None
    ) -> None:
        """Records that a request to a target failed.

        Args:
            identity: The target.
            now: Monotonic time in seconds.
            incarnation: Incarnation that it was sent to; None for the known
                one.
        """
        if self._is_current(identity, incarnation):
            self.entries[identity].failed_at = now

    def record_success(self, identity: str) -> None:
        """Clears a recorded failure of a request."""
        if identity in self.entries:
            self.entries[identity].failed_at = None

    def record_reached(self, identity: str) -> None:
        """Records that a connection to a target was opened."""
        if identity in self.entries:
            self.entries[identity].failed_at = None
            self.entries[identity].is_unreachable = False
            self.entries[identity].no_path_until = -math.inf

    def is_unreachable(self, identity: str) -> bool:
        """Returns whether this instance could open no connection to it."""
        entry = self.entries.get(identity)
        return entry is not None and entry.is_unreachable

    def record_no_path(self, identity: str, until: float) -> None:
        """Records that no peer reached a target, for requests until a time."""
        if identity in self.entries:
            self.entries[identity].no_path_until = until

    def has_path(self, identity: str, now: float) -> bool:
        """Returns whether peers are asked to send requests to a target."""
        entry = self.entries.get(identity)
        return entry is not None and entry.no_path_until <= now

    def record_unreachable(
        self, identity: str, *, incarnation: int | None = None
    ) -> bool:
        """Records that no connection could be opened.

        Args:
            identity: The target.
            incarnation: Incarnation that was not reached; None for the known
                one.

        Returns:
            True if the target was not known to be unreachable.
        """
        if not self._is_current(identity, incarnation):
            return False
        entry = self.entries[identity]
        if entry.is_unreachable:
            return False
        entry.is_unreachable = True
        return True

    def remove_expired(self, now: float) -> list[str]:
        """Removes targets ``FORGET_AFTER_S`` past their lease expiry.

        Returns:
            The identities of the removed targets.
        """
        expired = [
            identity
            for identity, entry in self.entries.items()
            if now - entry.expires_at > FORGET_AFTER_S
        ]
        for identity in expired:
            del self.entries[identity]
        return expired
