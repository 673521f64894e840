"""Origins of streams: the service and software version that began them.

What two software versions write does not fit together in one stream, so that a
stream that broke off may go on only at the version that began it. Instances
share the origins of their streams, since a caller may take up its stream at any
of them.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import hashlib

from chivelb_core.forwarding import choice
from chivelb_core.targets import entry as entry_lib

KEY_BYTES = 8
MAX_ORIGINS = 50_000
KEEPER_COUNT = 2
CONTROL_KEEPER_COUNT = 1


@dataclasses.dataclass(slots=True, frozen=True)
class StreamOrigin:
    """What began a stream.

    Attributes:
        service: Service of the target.
        software_version: Version of the target's software; empty if unknown.
    """

    service: str
    software_version: str


@dataclasses.dataclass(slots=True, frozen=True)
class RecordedOrigin:
    """Origin of one stream.

    Attributes:
        key: Key of the stream, from ``origin_key``.
        origin: The origin.
        expires_at: Monotonic time from which the stream is not taken up any
            more, in seconds.
        is_own: Whether this instance placed the stream; otherwise it keeps
            the origin for another one.
    """

    key: bytes
    origin: StreamOrigin
    expires_at: float
    is_own: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """Answer to the question what began a stream.

    Attributes:
        origin: The origin, or None if it is unknown.
        source: How it was found: ``own``, ``peer``, ``only version`` or
            ``unknown``.
    """

    origin: StreamOrigin | None
    source: str


def origin_key(workspace: str, request_id: str) -> bytes:
    """Returns the key of the stream that a request began.

    Args:
        workspace: Workspace of the caller; streams of other workspaces have
            other keys.
        request_id: Id of the request that brought the first event.

    Returns:
        Digest of ``KEY_BYTES`` bytes.
    """
    text = f"{workspace}\0{request_id}"
    # An id may hold bytes that are no UTF-8.
    data = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=KEY_BYTES).digest()


class OriginTable:
    """Origins of the streams that may still be taken up.

    Invariant: at most ``MAX_ORIGINS``; the oldest make room for new ones.

    Attributes:
        recorded: Origins by key, oldest first.
    """

    __slots__ = ("recorded",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self.recorded: dict[bytes, RecordedOrigin] = {}

    def add(self, recorded: RecordedOrigin, now: float) -> None:
        """Adds an origin and removes the oldest ones that have expired."""
        self.recorded.pop(recorded.key, None)
        self.recorded[recorded.key] = recorded
        while self.recorded:
            oldest = next(iter(self.recorded.values()))
            is_full = len(self.recorded) > MAX_ORIGINS
            if oldest.expires_at > now and not is_full:
                return
            del self.recorded[oldest.key]

    def find(self, key: bytes, now: float) -> StreamOrigin | None:
        """Returns the origin of a stream, or None if it is not known."""
        recorded = self.recorded.get(key)
        if recorded is None or recorded.expires_at <= now:
            return None
        return recorded.origin

    def own_of_service(
        self, service: str, now: float
    ) -> Iterator[RecordedOrigin]:
        """Yields a service's origins that this instance placed, if current."""
        for recorded in self.recorded.values():
            is_of_service = recorded.origin.service == service
            if recorded.is_own and is_of_service and recorded.expires_at > now:
                yield recorded


class ServingVersions:
    """Software versions that serve, or served until recently, by service.

    Attributes:
        last_seen: Monotonic time at which a version last served, in seconds,
            by service and version.
    """

    __slots__ = ("last_seen",)

    def __init__(self) -> None:
        """Creates an empty record."""
        self.last_seen: dict[str, dict[str, float]] = {}

    def observe(
        self, entries: Iterable[entry_lib.TargetEntry], now: float
    ) -> None:
        """Records the versions of the known targets."""
        for entry in entries:
            record = entry.record
            has_ended = (
                entry.is_leaving or entry.is_replaced or entry.is_unreachable
            )
            self.note(
                StreamOrigin(record.service, record.software_version),
                entry.announced_at if has_ended else now,
            )

    def note(self, origin: StreamOrigin, at: float) -> None:
        """Records that a version of a service served at a monotonic time."""
        versions = self.last_seen.setdefault(origin.service, {})
        version = origin.software_version
        versions[version] = max(versions.get(version, at), at)

    def extend(self, earliest: float, now: float) -> None:
        """Records that what served since a time may have served until now.

        Args:
            earliest: Monotonic time from which nothing was observed, in
                seconds.
            now: Monotonic time in seconds.
        """
        for versions in self.last_seen.values():
            for version, at in versions.items():
                if at >= earliest:
                    versions[version] = now

    def since(self, service: str, earliest: float) -> list[str]:
        """Returns the versions that served a service since a time, sorted."""
        versions = self.last_seen.get(service, {})
        return sorted(
            version for version, at in versions.items() if at >= earliest
        )


def keepers(
    name: str, zone: str, entries_by_zone: Mapping[str, Sequence[str]]
) -> list[str]:
    """Returns the instances that keep the origins of an instance's streams.

    One is in its own zone and one in another, so that the loss of a zone, or a
    cut between zones, leaves a copy to those that the callers reach. In zones
    of one size every instance keeps those of two others.

    Args:
        name: Name of the instance that forwards the streams.
        zone: Its zone.
        entries_by_zone: Names of the other entry instances, by zone.
    """
    own_zone = sorted([name, *entries_by_zone.get(zone, ())])
    position = own_zone.index(name)
    found = [own_zone[(position + 1) % len(own_zone)]]
    zones = sorted({zone, *entries_by_zone})
    following = zones.index(zone) + 1
    for other_zone in (*zones[following:], *zones[: following - 1]):
        others = sorted(entries_by_zone[other_zone])
        found.append(others[position % len(others)])
    return [each for each in found if each != name][:KEEPER_COUNT]


def control_keepers(name: str, control_instances: Sequence[str]) -> list[str]:
    """Returns the control instance that keeps the origins of an instance.

    It outlives a kill of all entry instances.

    Args:
        name: Name of the instance that forwards the streams.
        control_instances: Names of the live control instances.
    """
    ranked = choice.rank_by_rendezvous(name, control_instances)
    return ranked[:CONTROL_KEEPER_COUNT]
