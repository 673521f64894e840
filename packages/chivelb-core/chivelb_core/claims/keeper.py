"""State machine of a keeper: one replica of the claim register.

The register maps each claimed key to its holder, the claim that the key is
granted to. A claim belongs to the entry instance that requested it, its owner.
"""

import enum

import msgspec

from chivelb_core.claims import messages

DEFAULT_TTL_S = 86_400.0
UNSETTLED_TTL_S = 7 * 86_400.0
RELEASED_TTL_S = 3_600.0
LISTING_PAGE_RECORDS = 2_000


class ClaimState(enum.Enum):
    """State of a key's claim on one keeper.

    ``CONTESTED`` results from merging the copies of several keepers. It is a
    stored state, unlike the result ``SPLIT`` of a single claim round.
    """

    GRANTED = "granted"
    SETTLED = "settled"
    CONTESTED = "contested"


class ClaimRecord(msgspec.Struct, array_like=True):
    """Claim of a key.

    Attributes:
        key: Digest of workspace and idempotency key.
        claim_id: Id of the claim that holds the key.
        digest: Digest of the request.
        state: State of the claim. It is contested if keepers that it was
            copied from named different holders; then no claim is granted
            the key.
        outcome: Encoded outcome of a settled claim, else empty.
        written_at: Unix time of the newest write, in seconds.
    """

    key: str
    claim_id: str
    digest: str
    state: ClaimState
    outcome: bytes
    written_at: float


class ReleaseRecord(msgspec.Struct, array_like=True, tag="released"):
    """A claim that its owner released; it must never be granted again.

    Attributes:
        key: Key that the claim requested; empty in a compacted journal, which
            no longer contains the claim that the release removed.
        claim_id: Id of the released claim.
        written_at: Unix time of the release, in seconds.
    """

    key: str
    claim_id: str
    written_at: float


class ObservedKeeperRecord(msgspec.Struct, array_like=True, tag="witness"):
    """Another keeper that was observed serving.

    It is stored so that this keeper can tell a peer without claims that
    recovers from a lost disk from one that has never served.

    Attributes:
        keeper: Name of the observed keeper.
        life: Id of the observed keeper's disk; changes after the disk is lost.
        sequence: Number of records that it had written, as it announced.
    """

    keeper: str
    life: str
    sequence: int


class StoredClaim(msgspec.Struct, array_like=True, tag="claim"):
    """Journal record of a claim."""

    record: ClaimRecord


JournalRecord = StoredClaim | ReleaseRecord | ObservedKeeperRecord


def _merge_records(known: ClaimRecord, other: ClaimRecord) -> ClaimRecord:
    """Merges the claims of the same key from two keepers."""
    if known.state is ClaimState.SETTLED:
        return known
    if other.state is ClaimState.SETTLED:
        return other
    if known.state is ClaimState.CONTESTED:
        return known
    if known.claim_id == other.claim_id and (other.state is ClaimState.GRANTED):
        return known
    return msgspec.structs.replace(known, state=ClaimState.CONTESTED)


class Keeper:
    """Replica of the claim register.

    Invariants: the holder of a key changes only after the owner of the claim
    has released it, or the claim has expired; a settled outcome never
    changes; a reply is sent only after its writes are synced (the caller first
    syncs ``take_unsynced_records``).

    Attributes:
        name: Name of the keeper.
        records: Claims by key.
        released: Unix time of release by claim id, in seconds.
        observed_keepers: Disk id and highest announced number of records of the
            other keepers that were observed serving, by name. A keeper that
            announces fewer records of its own than its peers have observed
            has a rolled-back disk.
        written_records: Number of records written to the journal so far,
            announced to the other keepers.
        ttl_s: Retention of a settled claim in seconds.
    """

    __slots__ = (
        "name",
        "records",
        "released",
        "observed_keepers",
        "written_records",
        "ttl_s",
        "_writes",
    )

    def __init__(self, name: str, ttl_s: float = DEFAULT_TTL_S) -> None:
        """Creates a keeper without claims.

        Args:
            name: Name of the keeper.
            ttl_s: Retention of a settled claim in seconds.
        """
        self.name = name
        self.records: dict[str, ClaimRecord] = {}
        self.released: dict[str, float] = {}
        self.observed_keepers: dict[str, tuple[str, int]] = {}
        self.written_records = 0
        self.ttl_s = ttl_s
        self._writes: list[JournalRecord] = []

    def take_unsynced_records(self) -> list[JournalRecord]:
        """Returns and clears the records to sync before replies are sent."""
        writes = self._writes
        self._writes = []
        return writes

    def claim(
        self, request: messages.ClaimRequest, unix_time_s: float
    ) -> messages.ClaimReply:
        """Grants an unclaimed key, or returns its holder.

        Args:
            request: The request.
            unix_time_s: Unix time in seconds.

        Returns:
            The reply, to be sent only after the writes are synced.
        """
        if request.claim_id in self.released:
            return messages.ClaimReply(self.name, refused="released")
        record = self.records.get(request.key)
        if record is None:
            record = ClaimRecord(
                request.key,
                request.claim_id,
                request.digest,
                ClaimState.GRANTED,
                b"",
                unix_time_s,
            )
            self.records[request.key] = record
            self._write(StoredClaim(record))
        return messages.ClaimReply(
            keeper=self.name,
            granted=(
                record.claim_id == request.claim_id
                and record.state is not ClaimState.CONTESTED
            ),
            holder=record.claim_id,
            digest=record.digest,
            settled=record.state is ClaimState.SETTLED,
            outcome=record.outcome,
        )

    def release(
        self, request: messages.ClaimRelease, unix_time_s: float
    ) -> None:
        """Releases a claim whose owner did not and will not dispatch it."""
        record = self.records.get(request.key)
        is_holder = record is not None and record.claim_id == request.claim_id
        if is_holder and record.state is not ClaimState.CONTESTED:
            assert record.state is ClaimState.GRANTED, (
                f"cannot release claim {record.claim_id}: it is "
                f"{record.state.value}"
            )
            del self.records[request.key]
        self.released[request.claim_id] = unix_time_s
        self._write(ReleaseRecord(request.key, request.claim_id, unix_time_s))

    def settle(self, request: messages.ClaimSettle, unix_time_s: float) -> None:
        """Records the outcome of a claim; the first outcome is kept."""
        record = self.records.get(request.key)
        if record is not None and record.claim_id != request.claim_id:
            return
        if record is not None and record.state is ClaimState.SETTLED:
            return
        digest = record.digest if record is not None else ""
        settled = ClaimRecord(
            request.key,
            request.claim_id,
            digest,
            ClaimState.SETTLED,
            request.outcome,
            unix_time_s,
        )
        self.records[request.key] = settled
        self._write(StoredClaim(settled))

    def observe_keeper(self, keeper: str, disk_id: str, sequence: int) -> None:
        """Records that another keeper serves; stored if its disk id is new.

        Args:
            keeper: Name of the other keeper.
            disk_id: Id of its disk.
            sequence: Number of records that it has written, as announced.
        """
        known_disk_id, known_sequence = self.observed_keepers.get(
            keeper, ("", 0)
        )
        if known_disk_id != disk_id:
            self._write(ObservedKeeperRecord(keeper, disk_id, sequence))
            known_sequence = 0
        self.observed_keepers[keeper] = (disk_id, max(known_sequence, sequence))

    def _write(self, stored: JournalRecord) -> None:
        self.written_records += 1
        self._writes.append(stored)

    def replay(self, stored: JournalRecord) -> None:
        """Applies a record read from the journal."""
        self.written_records += 1
        match stored:
            case StoredClaim(record):
                self.records[record.key] = record
            case ReleaseRecord(key, claim_id, written_at):
                record = self.records.get(key)
                if (
                    record is not None
                    and record.claim_id == claim_id
                    and record.state is ClaimState.GRANTED
                ):
                    del self.records[key]
                self.released[claim_id] = written_at
            case ObservedKeeperRecord(keeper, disk_id, sequence):
                self.observed_keepers[keeper] = (disk_id, sequence)

    def merge_claims(self, records: list[ClaimRecord]) -> None:
        """Merges claims copied from another keeper after a lost disk.

        If two keepers name different holders, the lost replica may have given
        either of them its majority. The key is then contested and granted to
        no claim.
        """
        for record in records:
            known = self.records.get(record.key)
            merged = record if known is None else _merge_records(known, record)
            if merged is not known:
                self.records[record.key] = merged
                self._write(StoredClaim(merged))

    def list_claims(self, after: str) -> tuple[list[ClaimRecord], bool]:
        """Returns a page of claims in key order.

        Args:
            after: Key after which the page starts.

        Returns:
            The claims, and whether more follow.
        """
        keys = sorted(key for key in self.records if key > after)
        page = keys[:LISTING_PAGE_RECORDS]
        return [self.records[key] for key in page], len(keys) > len(page)

    def expire(self, unix_time_s: float) -> int:
        """Removes expired claims and returns their number.

        A claim without an outcome is kept far longer than the longest
        possible call, so that a key in use is never granted again.
        """
        expired_keys = [
            record.key
            for record in self.records.values()
            if unix_time_s - record.written_at > self._ttl(record)
        ]
        for key in expired_keys:
            del self.records[key]
        self.released = {
            claim_id: at
            for claim_id, at in self.released.items()
            if unix_time_s - at <= RELEASED_TTL_S
        }
        return len(expired_keys)

    def _ttl(self, record: ClaimRecord) -> float:
        if record.state is ClaimState.SETTLED:
            return self.ttl_s
        return max(self.ttl_s, UNSETTLED_TTL_S)

    def compacted_records(self) -> list[JournalRecord]:
        """Returns the records of a compacted journal."""
        return [
            *(StoredClaim(record) for record in self.records.values()),
            *(
                ReleaseRecord("", claim_id, at)
                for claim_id, at in self.released.items()
            ),
            *(
                ObservedKeeperRecord(name, disk_id, sequence)
                for name, (disk_id, sequence) in self.observed_keepers.items()
            ),
        ]
