"""Messages between the members of the control group."""

import msgspec

from chivelb_core.consensus import log as log_lib


class VoteRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks for a vote, or whether one would be given (``pre``)."""

    to_member: str
    from_member: str
    term: int
    last_index: int
    last_term: int
    pre: bool


class VoteReply(msgspec.Struct, rename="camel", frozen=True):
    """Answers a vote request."""

    to_member: str
    from_member: str
    term: int
    granted: bool
    pre: bool


class Append(msgspec.Struct, rename="camel", frozen=True):
    """Entries, or a heartbeat without any, from the leader.

    Attributes:
        round: Number of the heartbeat round, echoed by the reply, by which
            the leader proves that it still leads.
    """

    to_member: str
    from_member: str
    term: int
    prev_index: int
    prev_term: int
    entries: list[log_lib.Entry]
    commit: int
    round: int


class AppendReply(msgspec.Struct, rename="camel", frozen=True):
    """Answers an append.

    Attributes:
        match_index: Highest synced index known to equal the leader's; when
            not ok, a hint where to go on.
    """

    to_member: str
    from_member: str
    term: int
    ok: bool
    match_index: int
    round: int


class SnapshotPart(msgspec.Struct, rename="camel", frozen=True):
    """A piece of a snapshot for a member too far behind."""

    to_member: str
    from_member: str
    term: int
    index: int
    index_term: int
    offset: int
    total: int
    data: bytes


class SnapshotReply(msgspec.Struct, rename="camel", frozen=True):
    """Acknowledges the pieces up to an offset."""

    to_member: str
    from_member: str
    term: int
    index: int
    offset: int


class Disown(msgspec.Struct, rename="camel", frozen=True):
    """Tells a member that it lost entries that it had acknowledged."""

    to_member: str
    from_member: str
    term: int


Message = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotPart
    | SnapshotReply
    | Disown
)
