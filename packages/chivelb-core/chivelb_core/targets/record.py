"""What a target announces of itself."""

from typing import Literal

import msgspec


class TargetRecord(msgspec.Struct, kw_only=True, rename="camel"):
    """An announcement: a lease on being routed to.

    Attributes:
        identity: Stable name of the target.
        incarnation: Grows with each start of the process at its address.
        sequence: Grows with each announcement of an incarnation.
        address: ``host:port`` that it serves HTTP on.
        zone: Availability zone.
        role: ``runner``, ``store`` or ``plain``.
        service: Service that it belongs to.
        model: Model that a runner serves; empty otherwise.
        weight_version: Weight version in force; empty otherwise.
        state: ``ready``, ``loading`` or ``leaving``.
        slots: Requests that it runs at once.
        room_tokens: Tokens of KV cache that running requests may fill.
        running: Requests in progress when the load was measured.
        pending_tokens: Prompt tokens not yet prefilled at that time.
        load_age_s: Age of the load figures when announced, in seconds.
        prefill_rate: Prompt tokens a second.
        link_rate: Bytes a second over its link for kept cache.
        bytes_per_token: Size of one token's KV cache.
        checks_fencing: Whether it refuses old fencing tokens.
        lease_s: Seconds until the announcement lapses; 0 when it holds until
            the target leaves or another one has its address.
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

    @property
    def order(self) -> tuple[int, int]:
        """Orders announcements of one identity."""
        return (self.incarnation, self.sequence)


MIN_LEASE_S = 0.5
MAX_LEASE_S = 60.0
MAX_NAME_LENGTH = 128


def find_record_faults(record: TargetRecord) -> list[str]:
    """Returns what is wrong with an announcement; empty when it is valid."""
    faults = []
    for name in ("identity", "address", "zone", "service"):
        value = getattr(record, name)
        if not 0 < len(value) <= MAX_NAME_LENGTH:
            faults.append(f"{name}: must have 1 to {MAX_NAME_LENGTH} letters")
    host, _, port = record.address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        faults.append(f"address: {record.address!r} is not host:port")
    if not MIN_LEASE_S <= record.lease_s <= MAX_LEASE_S:
        faults.append(f"leaseS: must be from {MIN_LEASE_S} to {MAX_LEASE_S}")
    for name in ("incarnation", "sequence", "running", "pending_tokens"):
        if not 0 <= getattr(record, name) < 2**63:
            faults.append(f"{name}: must be from 0 to 2**63 - 1")
    for name in ("slots", "room_tokens", "bytes_per_token"):
        if not 0 < getattr(record, name) < 2**40:
            faults.append(f"{name}: must be above 0")
    for name in ("prefill_rate", "link_rate"):
        if not 0 < getattr(record, name) < 1e15:
            faults.append(f"{name}: must be above 0")
    if not 0 <= record.load_age_s < 3600:
        faults.append("loadAgeS: must be from 0 to 3600")
    return faults
