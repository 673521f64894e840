"""Aggregate of one claim keeper: a register written once for each key."""

import enum

import msgspec

from chivelb_core.claims import messages

DEFAULT_TTL_S = 86_400.0
UNSETTLED_TTL_S = 7 * 86_400.0
RELEASED_TTL_S = 3_600.0
LISTING_PAGE = 2_000


class ClaimState(enum.Enum):
    """What a keeper knows of a claim."""

    GRANTED = "granted"
    SETTLED = "settled"
    CONTESTED = "contested"


class ClaimRecord(msgspec.Struct, array_like=True):
    """One key's claim.

    Attributes:
        key: Digest of workspace and request key.
        claim_id: The claim that holds it.
        digest: Digest of the request.
        state: Granted, settled, or contested: copied from keepers that name
            different holders, so that it is granted to nobody.
        outcome: Encoded outcome of a settled claim.
        written_at: Unix time of the newest write, in seconds.
    """

    key: str
    claim_id: str
    digest: str
    state: ClaimState
    outcome: bytes
    written_at: float


class ReleaseRecord(msgspec.Struct, array_like=True, tag="released"):
    """A claim that its owner gave up; it must never be granted again."""

    key: str
    claim_id: str
    written_at: float


class WitnessRecord(msgspec.Struct, array_like=True, tag="witness"):
    """Another keeper that was seen serving."""

    keeper: str
    life: str
    sequence: int


class StoredClaim(msgspec.Struct, array_like=True, tag="claim"):
    """Journal form of a claim."""

    record: ClaimRecord


Stored = StoredClaim | ReleaseRecord | WitnessRecord


def _merge(known: ClaimRecord, other: ClaimRecord) -> ClaimRecord:
    """Returns what two keepers' words on a key come to."""
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
    """Claims by key.

    Rules: a key's holder changes only after the holder's own release; a
    settled outcome never changes; nothing is answered before it is synced
    (the caller syncs what ``take_writes`` returns before it replies).

    Attributes:
        name: Name of the keeper.
        records: Claims by key.
        released: Time of release by claim id.
        witnessed: Disk and highest sequence seen of other keepers.
        sequence: Number of records written.
    """

    __slots__ = (
        "name",
        "records",
        "released",
        "witnessed",
        "sequence",
        "ttl_s",
        "_writes",
    )

    def __init__(self, name: str, ttl_s: float = DEFAULT_TTL_S) -> None:
        """Creates a keeper without claims.

        Args:
            name: Its name.
            ttl_s: Seconds that a settled claim is kept.
        """
        self.name = name
        self.records: dict[str, ClaimRecord] = {}
        self.released: dict[str, float] = {}
        self.witnessed: dict[str, tuple[str, int]] = {}
        self.sequence = 0
        self.ttl_s = ttl_s
        self._writes: list[Stored] = []

    def take_writes(self) -> list[Stored]:
        """Returns and clears what must be synced before replies go out."""
        writes = self._writes
        self._writes = []
        return writes

    def claim(
        self, request: messages.ClaimRequest, wall: float
    ) -> messages.ClaimReply:
        """Grants a free key, or tells who holds it.

        Args:
            request: The request.
            wall: Unix time in seconds.

        Returns:
            The reply, to be sent after the sync.
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
                wall,
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

    def release(self, request: messages.ClaimRelease, wall: float) -> None:
        """Frees a key that its owner never dispatched."""
        record = self.records.get(request.key)
        holds = record is not None and record.claim_id == request.claim_id
        if holds and record.state is not ClaimState.CONTESTED:
            assert record.state is ClaimState.GRANTED, (
                "a settled claim can't be released"
            )
            del self.records[request.key]
        self.released[request.claim_id] = wall
        self._write(ReleaseRecord(request.key, request.claim_id, wall))

    def settle(self, request: messages.ClaimSettle, wall: float) -> None:
        """Records the outcome of a claim."""
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
            wall,
        )
        self.records[request.key] = settled
        self._write(StoredClaim(settled))

    def witness(self, keeper: str, life: str, sequence: int) -> None:
        """Notes that another keeper serves; stored when its disk is new."""
        known_life, known = self.witnessed.get(keeper, ("", 0))
        if known_life != life:
            self._write(WitnessRecord(keeper, life, sequence))
            known = 0
        self.witnessed[keeper] = (life, max(known, sequence))

    def _write(self, stored: Stored) -> None:
        self.sequence += 1
        self._writes.append(stored)

    def replay(self, stored: Stored) -> None:
        """Takes a record back from the journal."""
        self.sequence += 1
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
            case WitnessRecord(keeper, life, sequence):
                self.witnessed[keeper] = (life, sequence)

    def take_listing(self, records: list[ClaimRecord]) -> None:
        """Takes claims of another keeper after a lost disk.

        Where two keepers name different holders, the lost disk may have
        made either of them the majority's: nobody is granted the key.
        """
        for record in records:
            known = self.records.get(record.key)
            merged = record if known is None else _merge(known, record)
            if merged is not known:
                self.records[record.key] = merged
                self._write(StoredClaim(merged))

    def page(self, after: str) -> tuple[list[ClaimRecord], bool]:
        """Returns the claims whose keys follow ``after``, and if more do."""
        keys = sorted(key for key in self.records if key > after)
        page = keys[:LISTING_PAGE]
        return [self.records[key] for key in page], len(keys) > len(page)

    def expire(self, wall: float) -> int:
        """Drops claims past their time and returns how many.

        A claim without an outcome is kept far longer than any call may
        last, so that no key in use is reopened.
        """
        late = [
            record.key
            for record in self.records.values()
            if wall - record.written_at > self._ttl(record)
        ]
        for key in late:
            del self.records[key]
        self.released = {
            claim_id: at
            for claim_id, at in self.released.items()
            if wall - at <= RELEASED_TTL_S
        }
        return len(late)

    def _ttl(self, record: ClaimRecord) -> float:
        if record.state is ClaimState.SETTLED:
            return self.ttl_s
        return max(self.ttl_s, UNSETTLED_TTL_S)

    def stored_form(self) -> list[Stored]:
        """Returns records that rebuild the keeper, for a compact journal."""
        return [
            *(StoredClaim(record) for record in self.records.values()),
            *(
                ReleaseRecord("", claim_id, at)
                for claim_id, at in self.released.items()
            ),
            *(
                WitnessRecord(name, life, sequence)
                for name, (life, sequence) in self.witnessed.items()
            ),
        ]
