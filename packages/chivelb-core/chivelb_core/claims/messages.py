"""Messages between entry instances and keepers, and among keepers.

The entry instance is the instance that received the caller's request. It owns
the claims that it requests for the request's idempotency key.
"""

import msgspec


class ClaimRequest(msgspec.Struct, rename="camel", frozen=True):
    """Requests a claim on a key.

    Attributes:
        key: Digest of workspace and idempotency key.
        digest: Digest of the request, to detect a key that is reused for
            another request.
        claim_id: Unique id of the claim; a retry of the request gets a new
            one.
    """

    key: str
    digest: str
    claim_id: str


class ClaimReply(msgspec.Struct, rename="camel", frozen=True):
    """Reply to a claim request, sent only after the claim is synced.

    Attributes:
        keeper: Name of the keeper.
        granted: Whether the requesting claim holds the key on this keeper.
        holder: Id of the claim that holds the key on this keeper.
        digest: Digest of the holder's request.
        settled: Whether the outcome of the holder is recorded.
        outcome: Encoded outcome, or empty.
        refused: Reason why the keeper refused the request, or empty.
    """

    keeper: str
    granted: bool = False
    holder: str = ""
    digest: str = ""
    settled: bool = False
    outcome: bytes = b""
    refused: str = ""


class ClaimRelease(msgspec.Struct, rename="camel", frozen=True):
    """Releases a claim whose request is not and never will be dispatched."""

    key: str
    claim_id: str


class ClaimSettle(msgspec.Struct, rename="camel", frozen=True):
    """Records the outcome of a claim, sent by the instance that owns it."""

    key: str
    claim_id: str
    outcome: bytes


class ClaimAck(msgspec.Struct, rename="camel", frozen=True):
    """Acknowledges that a release or an outcome is synced."""

    keeper: str


class ListingRequest(msgspec.Struct, rename="camel", frozen=True):
    """Requests a page of claims, to restore a keeper that lost its disk.

    Attributes:
        keeper: Name of the requesting keeper.
        after: Key after which the page starts.
    """

    keeper: str
    after: str


class ListingReply(msgspec.Struct, rename="camel", frozen=True):
    """Page of claims in key order.

    Attributes:
        keeper: Name of the replying keeper.
        serving: Whether its disk is intact, so that it serves claims.
        witnessed: Names of keepers that it has observed serving.
        records: Encoded claim records of the page.
        more: Whether another page follows.
    """

    keeper: str
    serving: bool
    witnessed: list[str]
    records: bytes
    more: bool


class KeeperHello(msgspec.Struct, rename="camel", frozen=True):
    """Periodic announcement of a serving keeper to the others.

    Attributes:
        keeper: Name of the sending keeper.
        life: Id of its disk; changes after the disk is lost.
        sequence: Number of records that it has written.
        seen_life: Id of the receiver's disk as last observed by the sender.
        seen: Highest ``sequence`` that the sender has observed of that disk;
            a receiver with fewer records has a rolled-back disk.
    """

    keeper: str
    life: str
    sequence: int
    seen_life: str
    seen: int
