"""Messages between entry instances and claim keepers."""

import msgspec


class ClaimRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a keeper to grant a key.

    Attributes:
        key: Digest of workspace and request key.
        digest: Digest of the request, to see a reused key.
        claim_id: Unique id of this arrival of the request.
    """

    key: str
    digest: str
    claim_id: str


class ClaimReply(msgspec.Struct, rename="camel", frozen=True):
    """A keeper's answer, given only after it is synced.

    Attributes:
        keeper: Name of the keeper.
        granted: Whether the asking claim holds the key here.
        holder: Claim id that holds the key.
        digest: Digest of the holder's request.
        settled: Whether the holder's outcome is known.
        outcome: The encoded outcome.
        refused: Why the keeper can't take part, or empty.
    """

    keeper: str
    granted: bool = False
    holder: str = ""
    digest: str = ""
    settled: bool = False
    outcome: bytes = b""
    refused: str = ""


class ClaimRelease(msgspec.Struct, rename="camel", frozen=True):
    """The claim's owner states that it never dispatched and never will."""

    key: str
    claim_id: str


class ClaimSettle(msgspec.Struct, rename="camel", frozen=True):
    """The claim's owner states the outcome."""

    key: str
    claim_id: str
    outcome: bytes


class ClaimAck(msgspec.Struct, rename="camel", frozen=True):
    """A keeper has synced a release or an outcome."""

    keeper: str


class ListingRequest(msgspec.Struct, rename="camel", frozen=True):
    """A keeper without a disk asks another for all its claims."""

    keeper: str
    after: str


class ListingReply(msgspec.Struct, rename="camel", frozen=True):
    """A page of claims, in the order of their keys.

    Attributes:
        keeper: Name of the answering keeper.
        serving: Whether it has a disk that it can vouch for.
        witnessed: Names of keepers that it has seen serving.
        records: Encoded records of the page.
        more: Whether another page follows.
    """

    keeper: str
    serving: bool
    witnessed: list[str]
    records: bytes
    more: bool


class KeeperHello(msgspec.Struct, rename="camel", frozen=True):
    """A serving keeper makes itself known to the others.

    Attributes:
        keeper: Its name.
        life: Id of its disk; a new one after a lost disk.
        sequence: Number of records that it has synced.
        seen_life: Disk of the receiver that it has seen.
        seen: Highest sequence that it has seen of that disk.
    """

    keeper: str
    life: str
    sequence: int
    seen_life: str
    seen: int
