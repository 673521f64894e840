"""Table of the known targets and the leases of their announcements."""

from collections.abc import Callable
from collections.abc import Iterator
import math

import msgspec

from chivelb_core.targets import claims
from chivelb_core.targets import entry as entry_lib
from chivelb_core.targets import record as record_lib

FORGET_AFTER_S = 300.0
# Targets kept whose announcements name none to use: their service may be named
# by a later document.
MAX_UNNAMED_TARGETS = 1_000
# Targets remembered that left while their incarnation was not known.
MAX_ENDED_TARGETS = 1_000
# A reported end of the cold time that differs by less than this is the same.
COLD_TOLERANCE_S = 0.25


class TargetTable:
    """Targets by identity.

    Invariants: an announcement only replaces an older one, but one that names
    no target never replaces one that does; leaving is final for an incarnation;
    a target with an expired lease receives no new requests; nor does one in an
    evacuated availability zone.

    Attributes:
        entries: Known targets by identity.
        ended: Targets that left while their incarnation was not known, by
            identity, with the largest incarnation that they may have had.
        max_entries: Maximum number of entries. Targets that get no requests
            give way to others that may, those silent longest first.
        refute_after_s: Time for which a target has to announce itself, while
            the one that holds its address is silent, to get it back.
        find_problem: Returns why an announcement names no target to use; empty
            if it does. ``refresh`` is to be called once its results change.
        on_ignored: Called with an announcement and why it was ignored.
        on_refuted: Called with a target whose announcements were refuted.
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
        "ended",
        "max_entries",
        "refute_after_s",
        "find_problem",
        "on_ignored",
        "on_refuted",
        "_addresses",
        "_claim_count",
        "evacuated_zones",
        "cold_start_s",
        "next_cold_send_at",
        "on_cold",
        "on_restart",
    )

    def __init__(self, max_entries: int = 20_000) -> None:
        """Creates an empty table with a maximum number of entries."""
        self.entries: dict[str, entry_lib.TargetEntry] = {}
        self.ended: dict[str, int] = {}
        self.max_entries = max_entries
        self.refute_after_s = claims.REFUTE_AFTER_S
        self.find_problem: Callable[[record_lib.TargetRecord], str] = (
            lambda record: ""
        )
        self.on_ignored: Callable[[record_lib.TargetRecord, str], None] = (
            lambda record, reason: None
        )
        self.on_refuted: Callable[[entry_lib.TargetEntry], None] = (
            lambda entry: None
        )
        self._addresses = claims.AddressIndex()
        self._claim_count = 0
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
        is_fresh: bool = True,
    ) -> bool:
        """Applies an announcement.

        Args:
            record: The announcement.
            now: Monotonic time in seconds.
            is_fresh: Whether the target has just made it. One that was kept for
                some time may be older than what is known: it ends no cold time
                early, and confirms no incarnation.

        Returns:
            True if it was new and must be propagated to other instances.
        """
        known = self.entries.get(record.identity)
        problem = self.find_problem(record)
        if known is not None and not (
            self._is_newer(record, problem, known)
            or self._refutes(record, problem, known, now)
        ):
            return self._merge_leaving(record, problem, known)
        if known is not None and known.problem and not problem:
            # Nothing that names no target tells anything of one that is named.
            self._remove(known)
            known = None
        if known is None and not self._make_room(problem):
            self.on_ignored(record, problem or "no room for another target")
            return False
        entry = self._make_entry(record, problem, now)
        is_known = (
            bool(known) and known.record.incarnation == record.incarnation
        )
        if is_known:
            entry.inherit(known, self.refute_after_s)
            entry.is_unconfirmed = known.is_unconfirmed and not is_fresh
        cold_s = record.cold_s if record.tells_cold else None
        if cold_s is None and not is_known:
            cold_s = self.cold_start_s(record.service)
        if known is not None:
            entry.succeed(known)
            if known.record.address != record.address:
                self._addresses.remove(known)
        self._add(entry, now)
        if known is not None and not is_known:
            self.on_restart(known.record)
        if cold_s is not None:
            if not is_fresh:
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

    def _make_entry(
        self, record: record_lib.TargetRecord, problem: str, now: float
    ) -> entry_lib.TargetEntry:
        """Returns the state of a target of which only a record is known."""
        self._claim_count += 1
        return entry_lib.TargetEntry(
            record,
            announced_at=now,
            expires_at=now + record.lease_s if record.lease_s else math.inf,
            is_leaving=record.state == "leaving"
            or record.incarnation <= self.ended.get(record.identity, -1),
            problem=problem,
            claim_number=self._claim_count,
            heard_since=now,
        )

    def _is_newer(
        self,
        record: record_lib.TargetRecord,
        problem: str,
        known: entry_lib.TargetEntry,
    ) -> bool:
        """Returns whether an announcement replaces that of a known target.

        Args:
            record: The announcement.
            problem: Why it names no target to use, or empty.
            known: The target with its identity.
        """
        if bool(problem) != bool(known.problem):
            if problem:
                self.on_ignored(record, problem)
            return not problem
        if known.voids(record):
            return False
        if known.is_refuted and record.incarnation != known.record.incarnation:
            return True
        return record.order > known.record.order

    def _merge_leaving(
        self,
        record: record_lib.TargetRecord,
        problem: str,
        known: entry_lib.TargetEntry,
    ) -> bool:
        """Records that a target leaves, of which a later record is known.

        Leaving is final for an incarnation, so that it needs no order among
        its records.

        Returns:
            True if that was new.
        """
        return (
            not problem
            and record.state == "leaving"
            and self.mark_leaving(record.identity, record.incarnation)
        )

    def _refutes(
        self,
        record: record_lib.TargetRecord,
        problem: str,
        known: entry_lib.TargetEntry,
        now: float,
    ) -> bool:
        """Returns whether an earlier incarnation refutes the known one."""
        if (
            problem
            or known.voids(record)
            or record.incarnation >= known.record.incarnation
            or not claims.is_challenged(known, record, now, self.refute_after_s)
        ):
            return False
        claims.refute(known)
        self.on_refuted(known)
        return True

    def _make_room(self, problem: str) -> bool:
        """Makes room for another target; returns whether there is some.

        Args:
            problem: Why the target's announcement names none to use, or empty.
        """
        is_full = len(self.entries) >= self.max_entries
        if not problem and not is_full:
            return True
        unnamed = [each for each in self.entries.values() if each.problem]
        if not is_full and len(unnamed) < MAX_UNNAMED_TARGETS:
            return True
        candidates = unnamed
        if not candidates and not problem:
            candidates = [e for e in self.entries.values() if e.is_ended]
        if not candidates:
            return False
        self._remove(min(candidates, key=lambda each: each.claim_number))
        return True

    def _add(self, entry: entry_lib.TargetEntry, now: float) -> None:
        """Adds a target that has just announced itself."""
        address = entry.record.address
        self.entries[entry.record.identity] = entry
        self._addresses.add(entry)
        for other in claims.surplus(self._addresses.claimants(address)):
            self._remove(other)
        claimants = self._addresses.claimants(address)
        if not entry.problem:
            for other in claims.refute_silent(
                entry, claimants, now, self.refute_after_s
            ):
                self.on_refuted(other)
        claims.update_holders(claimants)

    def _remove(self, entry: entry_lib.TargetEntry) -> None:
        del self.entries[entry.record.identity]
        self._addresses.remove(entry)

    def claimants(self, address: str) -> list[entry_lib.TargetEntry]:
        """Returns the targets that announce an address."""
        return self._addresses.claimants(address)

    def refresh(self) -> None:
        """Checks all announcements again, whether they name a target."""
        for entry in self.entries.values():
            entry.problem = self.find_problem(entry.record)
        self._addresses.update()

    def refute(self, identity: str, incarnation: int, sequence: int) -> None:
        """Records that announcements of a target were refuted by another one.

        Args:
            identity: The target.
            incarnation: The incarnation that they were of.
            sequence: Sequence of the newest of them.
        """
        known = self.entries.get(identity)
        if known is None or (incarnation, sequence) <= known.refuted:
            return
        known.refuted = (incarnation, sequence)
        self.on_refuted(known)
        claims.update_holders(self.claimants(known.record.address))

    def is_contested(self, identity: str, now: float) -> bool:
        """Returns whether peers need each announcement of a target.

        Another one has announced its address so recently that its claim may
        still be refuted, or refute that of the target.
        """
        entry = self.entries[identity]
        return not entry.problem and claims.is_contested(
            entry,
            self.claimants(entry.record.address),
            now,
            2 * self.refute_after_s,
        )

    def mark_leaving(self, identity: str, incarnation: int) -> bool:
        """Records that an incarnation is leaving; returns True if new."""
        known = self.entries.get(identity)
        if known is None or known.record.incarnation != incarnation:
            return False
        is_new = not known.is_leaving
        known.is_leaving = True
        return is_new

    def end(self, identity: str, started_by: int) -> bool:
        """Records that a target is leaving whose incarnation is not known.

        Args:
            identity: The target, which need not be known.
            started_by: Largest incarnation that it may have.

        Returns:
            True if that was new.
        """
        if started_by <= self.ended.get(identity, -1):
            return False
        self.ended[identity] = started_by
        if len(self.ended) > MAX_ENDED_TARGETS:
            # The same at all instances, whatever the order of the news.
            del self.ended[min(self.ended, key=lambda i: (self.ended[i], i))]
        known = self.entries.get(identity)
        if known is not None and known.record.incarnation <= started_by:
            known.is_leaving = True
        return identity in self.ended

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

    def opens_at(self, entry: entry_lib.TargetEntry, now: float) -> float:
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

    def cold_entries(
        self, service: str, now: float
    ) -> list[entry_lib.TargetEntry]:
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
        self, entry: entry_lib.TargetEntry, now: float, ignores_cold: bool
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

    def _may_serve(self, entry: entry_lib.TargetEntry, now: float) -> bool:
        return (
            entry.record.zone not in self.evacuated_zones
            and self._may_serve_unless_evacuated(entry, now)
        )

    def _may_serve_unless_evacuated(
        self, entry: entry_lib.TargetEntry, now: float
    ) -> bool:
        return (
            not entry.problem
            and not entry.is_ended
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
                and not entry.problem
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
            and not entry.problem
            and not entry.is_ended
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

    def record_lost(self, identity: str, incarnation: int) -> None:
        """Records that a connection to a target was lost.

        It may have started again since, which only its heartbeats tell. A
        target whose incarnation is not known has a new identity then.

        Args:
            identity: The target.
            incarnation: Incarnation that it was opened to.
        """
        if incarnation and self._is_current(identity, incarnation):
            self.entries[identity].is_unconfirmed = True

    def unconfirmed(self) -> Iterator[str]:
        """Yields the targets that may have started again unnoticed."""
        for identity, entry in self.entries.items():
            if entry.is_unconfirmed and not entry.is_ended:
                yield identity

    def confirmed_version(self, record: record_lib.TargetRecord) -> str | None:
        """Returns the software version that a target has for sure.

        Returns:
            The version; None if the target may have started again since it
            announced one.
        """
        entry = self.entries.get(record.identity)
        if entry is not None and entry.is_unconfirmed:
            return None
        return record.software_version

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
            self._remove(self.entries[identity])
        return expired
