"""Messages between instances that no module of the core defines.

The document is the configuration document of the site; its versions are
committed by the voters. The voters form the control group: the Raft group of
the instances that hold the durable state.
"""

import typing

from chivelb_core import targets
from chivelb_core.calls import part_suspects
from chivelb_core.calls import suspects
from chivelb_core.kv_cache import parts
import msgspec


class VersionAnnouncement(msgspec.Struct, rename="camel", frozen=True):
    """Announces the document version that the sender serves."""

    SCHEMA_NAME: typing.ClassVar[str] = "VersionNews"

    version: int


class Pull(msgspec.Struct, rename="camel", frozen=True):
    """Asks for the changes from a version to the receiver's newest one.

    Attributes:
        have: Document version of the sender.
    """

    have: int


class Deltas(msgspec.Struct, rename="camel", frozen=True):
    """Consecutive changes of the document.

    Attributes:
        base: Document version that the changes apply to.
        payload: The encoded changes.
    """

    base: int
    payload: bytes


class FullDocument(msgspec.Struct, rename="camel", frozen=True):
    """The complete document, if the receiver is too far behind for deltas.

    Attributes:
        version: Version of the document.
        payload: The encoded document state.
    """

    version: int
    payload: bytes


class ChangeRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a voter to accept a change.

    Attributes:
        payload: The encoded change.
    """

    payload: bytes


class ChangeReply(msgspec.Struct, rename="camel", frozen=True):
    """A voter's reply to a change.

    Attributes:
        code: Number of the result code.
        version: Version that the change created, or the current one.
        leader: Name of the leader if the receiver of the request is not it.
        payload: The encoded result, if there is one.
        appended: Whether the change may have been appended to the log.
    """

    code: int
    version: int
    leader: str
    payload: bytes
    appended: bool


class CommandRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a voter to append an idempotent command.

    Attributes:
        kind: Kind of the log entry: ``replace`` replaces the whole document,
            ``weights`` sets the weight version of a model, ``evacuation``
            evacuates an availability zone or ends that.
        payload: The encoded command.
    """

    kind: str
    payload: bytes


class CommandReply(msgspec.Struct, rename="camel", frozen=True):
    """A voter's reply to a command.

    Attributes:
        applied: Whether the command was committed and applied.
        version: Version of the document state after the command.
        leader: Name of the leader if the receiver of the request is not it.
        superseded: Whether the command was committed, but has no effect
            because of a newer one.
    """

    applied: bool
    version: int
    leader: str
    superseded: bool = False


class LeaseRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks for a named lease under a new fencing token; no longer sent.

    Attributes:
        lease: Name of the lease.
        holder: Instance that requests the lease.
        expected: Fencing token of the lease that the requester saw expire; 0
            for none.
        request_id: Idempotency id; a repeated request gets the same token.
    """

    lease: str
    holder: str
    expected: int
    request_id: str


class LeaseReply(msgspec.Struct, rename="camel", frozen=True):
    """A voter's reply to a lease request; no longer sent.

    Attributes:
        token: Fencing token; 0 if the lease was not granted.
        leader: Name of the leader, or empty.
    """

    token: int
    leader: str


class ReadRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks the leader for the newest version by a linearizable read.

    Attributes:
        nothing: Unused.
    """

    nothing: bool = True


class SharingLeaseRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a voter for a lease on the sharing epoch of a document version.

    Attributes:
        version: Document version by which the sender serves.
    """

    version: int


class SharingEndRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a voter whether no lease of an older sharing epoch is left.

    Attributes:
        version: Document version that begins a sharing epoch. The receiver
            grants no leases for older ones from now on.
    """

    version: int


class VoterAgreement(msgspec.Struct, rename="camel", frozen=True):
    """A voter's reply to a question that a majority has to agree on.

    Attributes:
        agreed: Whether the voter agrees.
        member_id: Member id of the voter; empty if there is none.
        voters: Member ids of all voters of the newest group in its log.
    """

    agreed: bool
    member_id: str
    voters: list[str]


class ReadReply(msgspec.Struct, rename="camel", frozen=True):
    """Reply to a read request.

    Attributes:
        current: Whether the version was confirmed to be the newest.
        version: The version.
        leader: Name of the leader, or empty.
    """

    current: bool
    version: int
    leader: str


class Refutation(msgspec.Struct, rename="camel", frozen=True):
    """Announcements of a target that another one has refuted.

    Attributes:
        identity: Identity of the target.
        incarnation: Incarnation that the announcements are of.
        sequence: Sequence of the newest of them.
    """

    identity: str
    incarnation: int
    sequence: int


class EndedTarget(msgspec.Struct, rename="camel", frozen=True):
    """A target that left while its incarnation was not known.

    Attributes:
        identity: Identity of the target.
        started_by: Largest incarnation that it may have.
    """

    identity: str
    started_by: int


class TargetUpdates(msgspec.Struct, rename="camel", frozen=True):
    """Announcements of targets.

    Older instances send and read the records alone.

    Attributes:
        records: The announced records.
        refutations: What is refuted of these targets' announcements.
        replaced: Those of these targets whose incarnation is not known and
            whose address a later one has.
        ended: Targets that left while their incarnation was not known.
        is_repair: Whether the receiver lacks some of it, or is asked by a
            digest that differs. Its records may be old.
    """

    SCHEMA_NAME: typing.ClassVar[str] = "TargetNews"

    records: list[targets.TargetRecord]
    refutations: list[Refutation] = []
    replaced: list[str] = []
    ended: list[EndedTarget] = []
    is_repair: bool = False


class TargetDigest(msgspec.Struct, rename="camel", frozen=True):
    """Asks for a page of all targets unless the receiver's digest is the same.

    The targets that may get requests come first, then all others.

    Attributes:
        digest: Digest of the sender's targets.
        offset: Number of targets on the pages before.
        watched: Targets whose next heartbeat the sender needs at once; with
            any, no page is asked for. Older instances neither send nor read
            them.
    """

    digest: int
    offset: int = 0
    watched: list[str] = []


class TargetHold(msgspec.Struct, rename="camel", frozen=True):
    """Suspends dispatch to a target while its weights are changed.

    Attributes:
        identity: Identity of the target.
        incarnation: Incarnation of the target.
        hold_s: Duration of the suspension in seconds; 0 ends it.
        version: Weight version after the suspension; empty while it lasts.
    """

    identity: str
    incarnation: int
    hold_s: float
    version: str


class Confirmation(msgspec.Struct, rename="camel", frozen=True):
    """Confirms that the receiver has applied a message.

    Attributes:
        nothing: Unused.
    """

    SCHEMA_NAME: typing.ClassVar[str] = "Confirmed"

    nothing: bool = True


class TargetLeaving(msgspec.Struct, rename="camel", frozen=True):
    """Announces that a target is leaving; sent without batching.

    Attributes:
        identity: Identity of the target.
        incarnation: Incarnation of the target.
    """

    identity: str
    incarnation: int


class SendEntry(
    msgspec.Struct, rename="camel", frozen=True, omit_defaults=True
):
    """Load that the sender causes at one target.

    Attributes:
        identity: Identity of the target.
        running: Requests in progress.
        pending: Prompt tokens that await a first token.
        tokens: KV cache tokens that the requests may fill.
        suspects: Requests that may crash the target.
        log_ratio: Logarithm of the ratio of the target's times to those that
            are usual for its service: in a report to its owner the sum over
            new observations, in the reply of the owner the mean.
        observed: Number or weight of these observations; 0 for none.
    """

    identity: str
    running: int
    pending: int
    tokens: int
    suspects: int
    log_ratio: float = 0.0
    observed: float = 0.0


class LoadUpdate(msgspec.Struct, rename="camel", frozen=True):
    """Load that the sender causes at the targets.

    Attributes:
        entries: The load by target.
    """

    SCHEMA_NAME: typing.ClassVar[str] = "Sends"

    entries: list[SendEntry]


class LoadQuery(msgspec.Struct, rename="camel", frozen=True):
    """Asks the owner of targets what load others cause there.

    The reply is a ``LoadUpdate`` with the load of all instances but the one
    that asks.

    Attributes:
        identities: Identities of the targets.
    """

    identities: list[str]


class LoadReport(msgspec.Struct, rename="camel", frozen=True):
    """Notification of the load that the sender, or its zone, causes at targets.

    It replaces ``LoadUpdate``, which instances of the previous release send.

    Attributes:
        payload: Loads that changed: a packed list of ``SendEntry`` (see
            ``packing``).
        zone: Availability zone whose instances cause the load together; empty
            if the sender does.
    """

    payload: bytes
    zone: str = ""


class PartUpdates(msgspec.Struct, rename="camel", frozen=True):
    """Cache events that a follower received from a source.

    Attributes:
        source: Address of the source, a runner or store.
        epoch: Incarnation of the source that the events belong to.
        since: Sequence number of the first event.
        until: Sequence number after the last event.
        events: The events, in order.
        listing: Whether the events list everything that the source holds.
    """

    SCHEMA_NAME: typing.ClassVar[str] = "PartNews"

    source: str
    epoch: int
    since: int
    until: int
    events: list[parts.PartUpdate]
    listing: bool


class PartUpdateBatch(msgspec.Struct, rename="camel", frozen=True):
    """Notification of what changed at the sources that the sender follows.

    Attributes:
        payload: Changes of each source, in order of its events: a packed list
            of ``PartUpdates`` (see ``packing``).
    """

    payload: bytes


class SourceUnreachable(msgspec.Struct, rename="camel", frozen=True):
    """Reports that the follower of a source can't reach it.

    Attributes:
        source: Address of the source.
    """

    SCHEMA_NAME: typing.ClassVar[str] = "PartSilence"

    source: str


class PartPull(msgspec.Struct, rename="camel", frozen=True):
    """Asks for everything that the receiver knows about a source.

    Attributes:
        source: Address of the source.
    """

    source: str


class CrashObservations(msgspec.Struct, rename="camel", frozen=True):
    """Observations of prompts that were in flight when a target crashed.

    Attributes:
        sightings: The observations.
    """

    SCHEMA_NAME: typing.ClassVar[str] = "SightingNews"

    sightings: list[suspects.CrashObservation]


class PartEvidence(msgspec.Struct, rename="camel", frozen=True):
    """What the sender observed of parts of prompts that may crash targets.

    Attributes:
        crashes: Parts of requests that targets had not begun when they crashed.
        sound: Keys of suspect parts on which answers went on since.
        trials: Keys of refused parts with which a request was sent on trial.
        living: Identity and incarnation of targets that answered since.
    """

    crashes: list[part_suspects.PartCrash] = []
    sound: list[str] = []
    trials: list[str] = []
    living: list[str] = []


class SuspectsDigest(msgspec.Struct, rename="camel", frozen=True):
    """Asks for the suspects of the receiver if they differ.

    Attributes:
        parts: Digest of the suspect parts of the sender.
        requests: Digest of its suspect requests.
    """

    parts: int
    requests: int


class SuspectsReply(msgspec.Struct, rename="camel", frozen=True):
    """Suspects of the sender.

    Attributes:
        parts: Its suspect parts.
        requests: Crashes of its suspect requests.
        differs: Whether the suspects differ from those of the receiver; if
            not, none are sent.
    """

    parts: list[part_suspects.SuspectState] = []
    requests: list[suspects.CrashObservation] = []
    differs: bool = True


class StreamStart(msgspec.Struct, rename="camel", frozen=True):
    """Streams that targets of one service and software version began.

    Attributes:
        service: The service.
        software_version: The software version; empty if unknown.
        keep_s: Time for which the streams may be taken up, in seconds.
        keys: Keys of the streams, one behind the other; their length is
            ``stream_origins.KEY_BYTES``.
    """

    service: str
    software_version: str
    keep_s: float
    keys: bytes


class StreamStarts(msgspec.Struct, rename="camel", frozen=True):
    """Tells what began streams that the sender forwards.

    Attributes:
        starts: The streams, by service and software version.
    """

    starts: list[StreamStart]


class StreamOriginRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks what began a stream.

    Attributes:
        key: Key of the stream; empty if it is not known.
        services: Services that may have begun it.
        window_s: Time for which such a stream may be taken up, in seconds.
    """

    key: bytes
    services: list[str] = []
    window_s: float = 0.0


class ServiceVersions(msgspec.Struct, rename="camel", frozen=True):
    """Software versions of a service.

    Attributes:
        service: The service.
        versions: Versions that served within a time; empty for unknown.
    """

    service: str
    versions: list[str]


class StreamOriginReply(msgspec.Struct, rename="camel", frozen=True):
    """Reply to the question what began a stream.

    Attributes:
        is_known: Whether the sender knows it.
        service: Service of the target that began it.
        software_version: Software version of that target.
        has_watched: Whether the sender knows all versions that served within
            the time of the request.
        seen: These versions, by service.
    """

    is_known: bool
    service: str
    software_version: str
    has_watched: bool = False
    seen: list[ServiceVersions] = []


class StatusRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks an instance for its status.

    Attributes:
        nothing: Unused.
    """

    nothing: bool = True


class StatusReply(msgspec.Struct, rename="camel", frozen=True):
    """Status of an instance.

    Attributes:
        payload: The status as JSON.
    """

    payload: bytes


class VoterHello(msgspec.Struct, rename="camel", frozen=True):
    """Asks what the receiver knows of the control group.

    Attributes:
        name: Name of the sender, an instance that should be a voter.
        member_id: Member id of the sender, or empty.
    """

    name: str
    member_id: str


class VoterState(msgspec.Struct, rename="camel", frozen=True):
    """Reply to a voter's hello.

    Attributes:
        name: Name of the replying instance.
        member_id: Its member id, or empty if it has none.
        witnessed: Names of the instances that it has seen voting.
        group: The encoded state of the control group, or empty.
        leader: Name of the leader, or empty.
    """

    name: str
    member_id: str
    witnessed: list[str]
    group: bytes
    leader: str


class JoinRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks the leader to add a member under a new id.

    Attributes:
        name: Name of the instance.
        member_id: Its new member id.
    """

    name: str
    member_id: str


class JoinReply(msgspec.Struct, rename="camel", frozen=True):
    """The leader's reply to a join request.

    Attributes:
        accepted: Whether the member was added.
        leader: Name of the leader, or empty.
        group: The encoded control group if the member was added.
    """

    accepted: bool
    leader: str
    group: bytes


class LimitNotice(msgspec.Struct, rename="camel", frozen=True):
    """Tells of the request limit of a target, or that it has none any more.

    Attributes:
        identity: The target.
        is_limited: Whether it has a limit.
        rate_per_s: Requests that it takes in a second from all instances
            together; 0 without a limit.
        age_s: Seconds since the answer that told.
    """

    identity: str
    is_limited: bool
    rate_per_s: float
    age_s: float


class GrantRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks the owner of a limited target whether a request may be sent to it.

    Attributes:
        limit: What the sender knows of the limit.
    """

    limit: LimitNotice


class GrantReply(msgspec.Struct, rename="camel", frozen=True):
    """Reply of the owner of a limited target.

    Attributes:
        limit: What the owner knows of the limit.
        is_granted: Whether one request may be sent.
        delay_s: Seconds after which it may be sent, or after which to ask
            again if it is not granted.
    """

    limit: LimitNotice
    is_granted: bool
    delay_s: float


class TargetFull(msgspec.Struct, rename="camel", frozen=True):
    """Tells that a brittle target has turned a request away.

    Attributes:
        identity: The target.
        incarnation: Lifetime of the target.
    """

    identity: str
    incarnation: int


class TargetCold(msgspec.Struct, rename="camel", frozen=True):
    """Tells for how long a target stays cold, as one of its responses says.

    Attributes:
        identity: The target.
        incarnation: Lifetime of the target.
        cold_s: Time in seconds; 0 if it is warm.
    """

    identity: str
    incarnation: int
    cold_s: float


class Refusal(msgspec.Struct, rename="camel", frozen=True):
    """Reply to a request that could not be served.

    Attributes:
        reason: Why, for logs.
    """

    reason: str
