"""Status of an instance and of all instances that it can reach."""

import asyncio

import msgspec

from chivelb_node import context as context_lib
from chivelb_node.control import claim_client
from chivelb_node.control import replica as replica_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.wire import messages

STATUS_TIMEOUT_S = 1.0


class TargetStatus(msgspec.Struct):
    """A target as seen by one instance.

    Attributes:
        identity: Identity of the target.
        role: Role of the target.
        service: Name of its service.
        zone: Availability zone of the target.
        state: State that the target announced, or ``leaving`` if it announced
            that or an operator drained it; it then gets no new requests.
        weight_version: Weight version that it serves.
        eligible: Whether the instance may send requests to it.
        running: Number of requests that run on it.
    """

    identity: str
    role: str
    service: str
    zone: str
    state: str
    weight_version: str
    eligible: bool
    running: int


class InstanceStatus(msgspec.Struct):
    """Status of one instance.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        version: Document version in force.
        ready: Whether it serves requests.
        draining: Whether the instance is shutting down.
        in_progress: Number of requests in progress.
        member_id: Its id in the control group, if it is a voter.
        role: Its role in the control group, or ``waiting`` while it has no
            running voter; ``faults`` has the error if the voter stopped.
        leader: Name of the leader that it knows.
        log_index: Last index of its replicated log.
        keeper: State of its claim keeper: ``serving``, or ``waiting`` if it is
            recovering its claims or has stopped.
        faults: Errors that keep its voter or claim keeper from working.
        targets: Targets that it knows.
        members: Membership status of the other instances, by name.
        evacuated_zones: Evacuated availability zones, each with the document
            version since which its targets get no requests of the instance.
    """

    name: str
    zone: str
    version: int
    ready: bool
    draining: bool
    in_progress: int
    member_id: str = ""
    role: str = ""
    leader: str = ""
    log_index: int = 0
    keeper: str = ""
    faults: list[str] = []
    targets: list[TargetStatus] = []
    members: dict[str, str] = {}
    evacuated_zones: dict[str, int] = {}


class ClusterStatus(msgspec.Struct):
    """Status of all instances that one instance can reach.

    Attributes:
        here: Status of the instance that was queried.
        instances: Status of all instances that responded, including this one.
        unreachable: Names of the instances that did not respond.
        newest: Highest document version in force among them.
        lagging: Names of the instances with a lower version.
    """

    here: InstanceStatus
    instances: list[InstanceStatus]
    unreachable: list[str]
    newest: int
    lagging: list[str]


class StatusReporter:
    """Reports the status of this instance and collects that of its peers.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Cluster membership.
        replica: Local replica of the document; refers to the voter of this
            instance.
        claims: Client of the claim keepers.
        claim_keeper_service: Claim keeper of this instance, or None.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        replica: replica_lib.ReplicaService,
        claims: claim_client.ClaimClient,
        claim_keeper_service,
    ) -> None:
        """Creates the reporter."""
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.replica = replica
        self.claims = claims
        self.claim_keeper_service = claim_keeper_service
        hub.register_handler(messages.StatusRequest, self._on_status_request)

    def describe(self) -> InstanceStatus:
        """Returns the status of this instance."""
        context = self.context
        instance = context.settings.instance
        status = InstanceStatus(
            name=instance.name,
            zone=instance.zone,
            version=context.version,
            ready=context.ready,
            draining=context.draining,
            in_progress=context.in_progress,
            targets=self._targets(),
            members={
                name: member.member.status
                for name, member in self.gossip.swim.members.items()
            },
            evacuated_zones=dict(context.document_state.evacuated_zones),
        )
        self._add_voter(status)
        if self.claim_keeper_service is not None:
            status.keeper = (
                "serving" if self.claim_keeper_service.serving else "waiting"
            )
            if self.claim_keeper_service.failure:
                status.faults.append(
                    f"keeper: {self.claim_keeper_service.failure}"
                )
        return status

    def _add_voter(self, status: InstanceStatus) -> None:
        voter_service = self.replica.voter_client.voter_service
        if voter_service is None:
            return
        if voter_service.failure:
            status.faults.append(f"voter: {voter_service.failure}")
        if voter_service.voter is not None:
            status.member_id = voter_service.voter.member_id
            status.role = voter_service.voter.role.value
            status.leader = voter_service.leader_name()
            status.log_index = voter_service.voter.log.last_index
        else:
            status.role = "waiting"

    def _targets(self) -> list[TargetStatus]:
        now = context_lib.monotonic()
        table = self.context.targets
        return [
            TargetStatus(
                identity,
                entry.record.role,
                entry.record.service,
                entry.record.zone,
                "leaving" if entry.is_leaving else entry.record.state,
                entry.record.weight_version,
                table.is_eligible(identity, now),
                self.context.load.running(identity, now),
            )
            for identity, entry in sorted(table.entries.items())
        ]

    def _on_status_request(
        self, peer: str, request: messages.StatusRequest
    ) -> messages.StatusReply:
        return messages.StatusReply(msgspec.json.encode(self.describe()))

    async def describe_cluster(self) -> ClusterStatus:
        """Queries all peers and returns the status of the cluster."""
        here = self.describe()
        names = sorted(self.hub.addresses)
        replies = await asyncio.gather(
            *(
                self.hub.request(
                    name, messages.StatusRequest(), STATUS_TIMEOUT_S
                )
                for name in names
            )
        )
        instances = [here]
        unreachable = []
        for name, reply in zip(names, replies, strict=True):
            if isinstance(reply, messages.StatusReply):
                instances.append(
                    msgspec.json.decode(reply.payload, type=InstanceStatus)
                )
            else:
                unreachable.append(name)
        newest = max(status.version for status in instances)
        lagging = [s.name for s in instances if s.version < newest]
        return ClusterStatus(here, instances, unreachable, newest, lagging)
