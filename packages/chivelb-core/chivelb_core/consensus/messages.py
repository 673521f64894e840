"""Messages between members of the control group."""

import msgspec

from chivelb_core.consensus import log as log_lib


class VoteRequest(msgspec.Struct, rename="camel", frozen=True):
    """Requests a vote, or a pre-vote if ``pre`` is set."""

    to_member: str
    from_member: str
    term: int
    last_index: int
    last_term: int
    pre: bool


class VoteReply(msgspec.Struct, rename="camel", frozen=True):
    """Reply to a vote request."""

    to_member: str
    from_member: str
    term: int
    granted: bool
    pre: bool


class Append(msgspec.Struct, rename="camel", frozen=True):
    """Log entries from the leader; a heartbeat if there are none.

    Attributes:
        prev_index: Index of the entry before ``entries``.
        prev_term: Term of the entry before ``entries``.
        commit: Commit index of the leader.
        round: Round number of the leader (``Member.round_number``) when it
            sent the append. The reply repeats it, so that the leader can
            confirm its leadership for reads and detect a rolled-back disk.
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
    """Reply to an append.

    Attributes:
        ok: Whether the previous entry matched.
        match_index: Index up to which the log matches the leader's, synced
            before the reply is sent. If not ``ok``, the index after which the
            leader should retry, that is the highest ``prev_index`` of its next
            append; without meaning if ``term`` is newer than the append's.
    """

    to_member: str
    from_member: str
    term: int
    ok: bool
    match_index: int
    round: int


class SnapshotPart(msgspec.Struct, rename="camel", frozen=True):
    """Part of a snapshot, for a member whose next entry is compacted.

    Attributes:
        index: Last index that the snapshot covers.
        index_term: Term of the entry at ``index``.
        offset: Position of ``data`` in the snapshot, in bytes.
        total: Size of the snapshot in bytes.
    """

    to_member: str
    from_member: str
    term: int
    index: int
    index_term: int
    offset: int
    total: int
    data: bytes


class SnapshotReply(msgspec.Struct, rename="camel", frozen=True):
    """Acknowledges the parts of a snapshot up to an offset in bytes."""

    to_member: str
    from_member: str
    term: int
    index: int
    offset: int


class Disown(msgspec.Struct, rename="camel", frozen=True):
    """Tells a member that it lost acknowledged entries and must rejoin."""

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
