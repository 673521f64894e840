"""Announcements of targets, called records."""

from typing import Literal

import msgspec

from chivelb_core import decimals


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

    @property
    def order(self) -> tuple[int, int]:
        """Sort key of the announcements of one identity, oldest first."""
        return (self.incarnation, self.sequence)


MIN_LEASE_S = 0.5
MAX_LEASE_S = 60.0
MAX_NAME_LENGTH = 128


def validate_record(record: TargetRecord) -> list[str]:
    """Returns the validation errors of an announcement; empty if valid."""
    problems = []
    for name in ("identity", "address", "zone", "service"):
        value = getattr(record, name)
        if not 0 < len(value) <= MAX_NAME_LENGTH:
            problems.append(
                f"{name}: must have 1 to {MAX_NAME_LENGTH} characters"
            )
    host, _, port = record.address.rpartition(":")
    if not host or not 0 < (decimals.parse(port) or 0) < 65_536:
        problems.append(f"address: {record.address!r} is not host:port")
    if not MIN_LEASE_S <= record.lease_s <= MAX_LEASE_S:
        problems.append(f"leaseS: must be from {MIN_LEASE_S} to {MAX_LEASE_S}")
    for name in ("incarnation", "sequence", "running", "pending_tokens"):
        if not 0 <= getattr(record, name) < 2**63:
            problems.append(f"{name}: must be from 0 to 2**63 - 1")
    for name in ("slots", "room_tokens", "bytes_per_token"):
        if not 0 < getattr(record, name) < 2**40:
            problems.append(f"{name}: must be above 0 and below 2**40")
    for name in ("prefill_rate", "link_rate"):
        if not 0 < getattr(record, name) < 1e15:
            problems.append(f"{name}: must be above 0 and below 1e15")
    # 3600 itself is rejected, although the message includes it.
    if not 0 <= record.load_age_s < 3600:
        problems.append("loadAgeS: must be from 0 to 3600")
    return problems
