"""Announcements of targets, called records."""

from collections.abc import Iterator
import re
from typing import Literal

import msgspec


class TargetRecord(msgspec.Struct, kw_only=True, rename="camel"):
    """Announcement of a target.

    It grants the target a lease: until the lease expires, the target may
    receive requests.

    Attributes:
        identity: Stable name of the target.
        incarnation: Number that increases with each start of the process at
            its address; 0 if unknown.
        sequence: Number that increases with each announcement of an
            incarnation.
        address: ``host:port`` of its HTTP server.
        zone: Availability zone.
        role: ``runner`` serves a model, ``store`` holds KV cache, and ``plain``
            handles ordinary HTTP requests.
        service: Service that it belongs to.
        model: Model that a runner serves; empty for other roles.
        weight_version: Weight version that a runner serves; empty for other
            roles.
        state: ``ready``, ``loading`` or ``leaving``.
        slots: Maximum number of concurrent requests.
        room_tokens: KV cache capacity for running requests, in tokens.
        running: Requests in progress when the load was measured.
        pending_tokens: Prompt tokens that awaited prefill at that time.
        load_age_s: Age of the load figures at the announcement, in seconds.
        prefill_rate: Prefill throughput, in tokens per second.
        link_rate: Bandwidth for transfers of stored KV cache, in bytes per
            second.
        bytes_per_token: KV cache size per token, in bytes.
        checks_fencing: Whether it rejects outdated fencing tokens.
        lease_s: Seconds until the announcement expires; 0 if it is valid
            until the target leaves or another target takes over its address.
            A target's own announcement must have a lease, as
            ``validate_record`` requires; records that an instance derives from
            heartbeats have 0.
        software_version: Version of the target's software, which stays the
            same for an identity; empty if unknown. What two versions write
            does not fit together in one stream.
        cold_s: Seconds for which it stays cold: it has just started, handles
            few requests and has nothing cached. 0 if it is warm.
        tells_cold: Whether ``cold_s`` is reported. Otherwise it stays as it is
            known, or is cold for the time that its service declares if its
            incarnation is not known.
    """

    identity: str
    incarnation: int
    sequence: int = 0
    address: str
    zone: str
    role: Literal["runner", "store", "plain"] = "runner"
    service: str = ""
    model: str = ""
    weight_version: str = ""
    state: Literal["ready", "loading", "leaving"] = "ready"
    slots: int = 8
    room_tokens: int = 65_536
    running: int = 0
    pending_tokens: int = 0
    load_age_s: float = 0.0
    prefill_rate: float = 8_000.0
    link_rate: float = 100e6
    bytes_per_token: int = 1_024
    checks_fencing: bool = True
    lease_s: float = 5.0
    software_version: str = ""
    cold_s: float = 0.0
    tells_cold: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of the announcements of one identity, oldest first."""
        return (self.incarnation, self.sequence)


MIN_LEASE_S = 0.5
MAX_LEASE_S = 60.0
# Characters of a name in an announcement.
MAX_NAME_LENGTH = 128
# Characters of a name in a listed record, whose service an operator names.
MAX_LISTED_NAME_LENGTH = 1_024
# Largest number that messages carry.
MAX_INTEGER = 2**63 - 1
# Requests, tokens or bytes.
MAX_SIZE = 2**40 - 1
# Tokens or bytes per second.
MAX_RATE_PER_S = 1e15
MAX_LOAD_AGE_S = 3_600.0
MAX_COLD_S = 3_600.0
MAX_PORT = 65_535
_ADDRESS = re.compile(r"[0-9A-Za-z._:%\[\]-]{1,253}:([0-9]{1,5})")
_NUMBER = re.compile(r"[0-9]{1,19}")


def is_address(text: str) -> bool:
    """Returns whether a text has the form ``host:port``."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= MAX_PORT


def is_weight_number(text: str) -> bool:
    """Returns whether a text is a numbered weight version, or empty."""
    return not text or (
        _NUMBER.fullmatch(text) is not None and int(text) <= MAX_INTEGER
    )


def is_identity(text: str) -> bool:
    """Returns whether a text may be the identity of a listed target."""
    return 0 < len(text) <= MAX_LISTED_NAME_LENGTH and _is_printable(text)


def _is_printable(identity: str) -> bool:
    # The identity is sent in a header.
    return identity.isprintable() and " " not in identity


def validate_record(record: TargetRecord) -> list[str]:
    """Returns the validation errors of an announcement; empty if valid."""
    problems = [*_find_wrong_names(record, MAX_NAME_LENGTH)]
    if not MIN_LEASE_S <= record.lease_s <= MAX_LEASE_S:
        problems.append(f"leaseS: must be from {MIN_LEASE_S} to {MAX_LEASE_S}")
    return [*problems, *_find_wrong_numbers(record)]


def validate_listed_record(record: TargetRecord) -> list[str]:
    """Returns the validation errors of a listed record; empty if valid.

    A listed record may have no lease. Its weight versions are numbered.
    """
    problems = [*_find_wrong_names(record, MAX_LISTED_NAME_LENGTH)]
    if record.identity and not _is_printable(record.identity):
        problems.append("identity: must have printable characters only")
    for name in ("model", "software_version"):
        if len(getattr(record, name)) > MAX_LISTED_NAME_LENGTH:
            problems.append(
                f"{name}: must have at most {MAX_LISTED_NAME_LENGTH} characters"
            )
    if not is_weight_number(record.weight_version):
        problems.append(f"weight_version: must be from 0 to {MAX_INTEGER}")
    if not 0 <= record.lease_s <= MAX_LEASE_S:
        problems.append(f"leaseS: must be from 0 to {MAX_LEASE_S}")
    return [*problems, *_find_wrong_numbers(record)]


def without_invalid_cold_time(record: TargetRecord) -> TargetRecord:
    """Returns a record that reports no cold time if its value is invalid."""
    if 0.0 <= record.cold_s <= MAX_COLD_S:
        return record
    return msgspec.structs.replace(record, cold_s=0.0, tells_cold=False)


def _find_wrong_names(record: TargetRecord, max_length: int) -> Iterator[str]:
    for name in ("identity", "address", "zone", "service"):
        if not 0 < len(getattr(record, name)) <= max_length:
            yield f"{name}: must have 1 to {max_length} characters"
    if not is_address(record.address):
        yield f"address: {record.address[:max_length]!r} is not host:port"


def _find_wrong_numbers(record: TargetRecord) -> Iterator[str]:
    for name in ("incarnation", "sequence", "running", "pending_tokens"):
        if not 0 <= getattr(record, name) <= MAX_INTEGER:
            yield f"{name}: must be from 0 to {MAX_INTEGER}"
    for name in ("slots", "room_tokens", "bytes_per_token"):
        if not 0 < getattr(record, name) <= MAX_SIZE:
            yield f"{name}: must be from 1 to {MAX_SIZE}"
    for name in ("prefill_rate", "link_rate"):
        if not 0 < getattr(record, name) < MAX_RATE_PER_S:
            yield f"{name}: must be above 0 and below {MAX_RATE_PER_S:g}"
    if not 0 <= record.load_age_s < MAX_LOAD_AGE_S:
        yield f"loadAgeS: must be from 0 to below {MAX_LOAD_AGE_S:g}"
