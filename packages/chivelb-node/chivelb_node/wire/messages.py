"""Messages between instances that belong to no aggregate of the core."""

from chivelb_core import targets
from chivelb_core.calls import suspects
from chivelb_core.kept import parts
import msgspec


class VersionNews(msgspec.Struct, rename="camel", frozen=True):
    """The sender serves this document version."""

    version: int


class Pull(msgspec.Struct, rename="camel", frozen=True):
    """Asks for what leads from a version to the sender's newest."""

    have: int


class Deltas(msgspec.Struct, rename="camel", frozen=True):
    """Links of the version chain, encoded; they follow ``base``."""

    base: int
    payload: bytes


class FullDocument(msgspec.Struct, rename="camel", frozen=True):
    """A whole register for one whose gap is too large for deltas."""

    version: int
    payload: bytes


class ChangeRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a voter to accept a change."""

    payload: bytes


class ChangeReply(msgspec.Struct, rename="camel", frozen=True):
    """A voter's answer to a change.

    Attributes:
        code: Number of the result code.
        version: Version that the change made, or the current one.
        leader: Name of the leading instance if the asked one does not lead.
        payload: The encoded answer, if there is one.
        appended: Whether the change may have reached the log.
    """

    code: int
    version: int
    leader: str
    payload: bytes
    appended: bool


class CommandRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a voter to append an idempotent command.

    Attributes:
        kind: Kind of the entry: ``replace`` or ``weights``.
        payload: The encoded command.
    """

    kind: str
    payload: bytes


class CommandReply(msgspec.Struct, rename="camel", frozen=True):
    """A voter's answer to a command.

    Attributes:
        applied: Whether it was committed and applied.
        version: Version of the register after it.
        leader: Name of the leading instance if the asked one does not lead.
    """

    applied: bool
    version: int
    leader: str


class LeaseRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks for a named lease under a new fencing token.

    Attributes:
        lease: Name of the lease.
        holder: Instance that asks.
        expected: Token of the lease that the asker saw lapse; 0 for none.
        request_id: Id of the request; a resend gets the same token.
    """

    lease: str
    holder: str
    expected: int
    request_id: str


class LeaseReply(msgspec.Struct, rename="camel", frozen=True):
    """A voter's answer: the token, or 0 when it was not granted."""

    token: int
    leader: str


class ReadRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks the leader for the newest version, proved current."""

    nothing: bool = True


class ReadReply(msgspec.Struct, rename="camel", frozen=True):
    """The newest version, or the leader to ask instead."""

    current: bool
    version: int
    leader: str


class TargetNews(msgspec.Struct, rename="camel", frozen=True):
    """Announcements for the zone."""

    records: list[targets.TargetRecord]


class TargetDigest(msgspec.Struct, rename="camel", frozen=True):
    """Asks for all targets if the receiver knows others than the sender."""

    digest: int


class TargetHold(msgspec.Struct, rename="camel", frozen=True):
    """No new work goes to a target while its weights change.

    Attributes:
        identity: The target.
        incarnation: Its life.
        hold_s: Seconds that the hold lasts; 0 ends it.
        version: Version of its weights when the hold ends; empty before.
    """

    identity: str
    incarnation: int
    hold_s: float
    version: str


class Confirmed(msgspec.Struct, rename="camel", frozen=True):
    """Answers a word that the receiver acts on from now on."""

    nothing: bool = True


class TargetLeaving(msgspec.Struct, rename="camel", frozen=True):
    """A target is leaving; goes ahead of all else."""

    identity: str
    incarnation: int


class SendEntry(msgspec.Struct, rename="camel", frozen=True):
    """What the sender has in progress at a target."""

    identity: str
    running: int
    pending: int
    tokens: int
    suspects: int


class Sends(msgspec.Struct, rename="camel", frozen=True):
    """What the sender has in progress at the targets."""

    entries: list[SendEntry]


class PartNews(msgspec.Struct, rename="camel", frozen=True):
    """What a follower heard of a source of cached parts.

    Attributes:
        source: Address of the source.
        epoch: Its life.
        since: Number of the first event.
        until: Number after the last one.
        events: The events, in order.
        listing: Whether they are all that the source holds.
    """

    source: str
    epoch: int
    since: int
    until: int
    events: list[parts.PartEvent]
    listing: bool


class PartSilence(msgspec.Struct, rename="camel", frozen=True):
    """A source can't be reached by who follows it."""

    source: str


class PartPull(msgspec.Struct, rename="camel", frozen=True):
    """Asks for all that is known of a source."""

    source: str


class SightingNews(msgspec.Struct, rename="camel", frozen=True):
    """Sightings of suspects for all instances."""

    sightings: list[suspects.Sighting]


class StatusRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks an instance for its status."""

    nothing: bool = True


class StatusReply(msgspec.Struct, rename="camel", frozen=True):
    """Status of an instance, as JSON."""

    payload: bytes


class VoterHello(msgspec.Struct, rename="camel", frozen=True):
    """An instance that should vote asks what others know of the group."""

    name: str
    member_id: str


class VoterState(msgspec.Struct, rename="camel", frozen=True):
    """Answers a voter's hello.

    Attributes:
        name: Name of the answering instance.
        member_id: Its member id, or empty before it has one.
        witnessed: Names of the instances that it has seen voting.
        group: The encoded group, or empty.
        leader: Name of the leading instance, or empty.
    """

    name: str
    member_id: str
    witnessed: list[str]
    group: bytes
    leader: str


class JoinRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks the leader to take a member under a new id."""

    name: str
    member_id: str


class JoinReply(msgspec.Struct, rename="camel", frozen=True):
    """The leader's answer; the group if it was taken."""

    accepted: bool
    leader: str
    group: bytes


class Refusal(msgspec.Struct, rename="camel", frozen=True):
    """Answers a request that could not be served."""

    reason: str
