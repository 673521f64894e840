"""Replicates the document: push, pull and initial load."""

import asyncio
from collections.abc import Iterator
import functools
import pathlib

from chivelb_core import document
from chivelb_core.document import changes as changes_lib
from chivelb_core.document import deltas as deltas_lib
from chivelb_core.document import distribution
from chivelb_core.document import model as model_lib
from chivelb_core.document import regions as regions_lib
from chivelb_core.document import sharing
from chivelb_core.document import state as state_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node import hedging
from chivelb_node import timeouts
from chivelb_node.control import voter_client as voter_client_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import codec
from chivelb_node.wire import messages

PULL_PERIOD_S = 0.2
# Version of a pull that asks for the version of the receiver alone.
NO_VERSION_IS_NEWER = 2**62
PULL_TIMEOUT_S = 2.0
# A pull that has no reply after this time is repeated at another peer.
PULL_HEDGE_DELAY_S = 0.2
MAX_CONCURRENT_PULLS = 3
# Payload of the reply to a pull; its encoding may be a quarter larger.
MAX_PULLED_BYTES = codec.MAX_MESSAGE_BYTES * 3 // 4
# A version is often announced shortly before a provider's copy arrives.
PULL_DELAY_S = 0.05
# Period of the checks for the first document after the start.
APPLIED_CHECK_PERIOD_S = 0.02
FIRST_PULL_TIMEOUT_S = 1.0
# Peers asked for their version at the start, besides the control instances.
MAX_OTHERS_ASKED = 12
FIRST_CHANGE_ID = "first-document"
# Characters of an error in a log line.
MAX_DETAIL_LENGTH = 200
_log = logs.get_logger("replica")


class ReplicaService(mode.Service):
    """Applies document versions and distributes them to peers.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Cluster membership.
        voter_client: Submits commands to the voters.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.voter_client = voter_client_lib.VoterClient(context, hub)
        self._behind_since: float | None = None
        self._newer_version_known = asyncio.Event()
        # Highest version that could not be applied, and whether its whole
        # document is to be pulled instead of its deltas.
        self._refused_version = 0
        self._pulls_whole = False
        hub.register_handler(
            messages.VersionAnnouncement, self._on_version_announcement
        )
        hub.register_handler(messages.Pull, self._on_pull)
        hub.register_handler(messages.Deltas, self._on_deltas)
        hub.register_handler(messages.FullDocument, self._on_full)

    # Startup.

    @mode.Service.task
    async def _start(self) -> None:
        await self._pull_highest()
        if self.context.version < 0 and not self.voter_client.voters():
            self._load_file()
        while not self.should_stop and self.context.version < 1:
            if self.voter_client.is_leader:
                await self._propose_file()
            await self._pull_until_applied()
        if self.context.version >= 1:
            self.context.readiness.set()
            _log.info("ready", version=self.context.version)

    async def _pull_until_applied(self) -> None:
        """Pulls once, unless a peer pushes the first document before."""
        pull = asyncio.create_task(self._pull_highest())
        deadline = context_lib.monotonic() + PULL_PERIOD_S
        while self.context.version < 1 and not (
            pull.done() and context_lib.monotonic() >= deadline
        ):
            await self.sleep(APPLIED_CHECK_PERIOD_S)
        if not pull.done():
            pull.cancel()

    async def _pull_highest(self) -> None:
        """Asks some peers for their versions, and pulls the highest one."""
        peers = self._peers_to_ask()
        question = messages.Pull(NO_VERSION_IS_NEWER)
        replies = await asyncio.gather(
            *(
                self.hub.request(peer, question, FIRST_PULL_TIMEOUT_S)
                for peer in peers
            )
        )
        versions = {
            peer: reply.version
            for peer, reply in zip(peers, replies, strict=True)
            if isinstance(reply, messages.VersionAnnouncement)
        }
        highest = max(versions.values(), default=0)
        if highest > max(self.context.version, 0):
            names = [name for name in peers if versions.get(name) == highest]
            await self._pull_from_first(self._control_instances_first(names))

    def _peers_to_ask(self) -> list[str]:
        """Returns all control instances and some of the other peers.

        If all peers were asked, instances that start together would open links
        between any two of them before they serve.
        """
        control, others = [], []
        for name in self.hub.addresses:
            is_control = self.gossip.is_control_instance(name)
            (control if is_control else others).append(name)
        count = min(MAX_OTHERS_ASKED, len(others))
        return control + self.context.rng.sample(others, count)

    def _control_instances_first(self, names: list[str]) -> list[str]:
        """Returns instances in random order, those without callers first."""
        return sorted(
            names,
            key=lambda name: (
                not self.gossip.is_control_instance(name),
                self.context.rng.random(),
            ),
        )

    def _load_file(self) -> None:
        loaded = self._read_file()
        if loaded is not None:
            document_state = document.DocumentState(
                document=loaded,
                version=1,
                sharing_epoch=sharing.digest_epoch(loaded),
            )
            self.context.apply_document_state(document_state)

    def _read_file(self) -> document.Document | None:
        path = self.context.settings.document.file
        if not path:
            return None
        loaded = model_lib.decode_document(pathlib.Path(path).read_bytes())
        known_regions = set(self.context.zone_regions.values())
        problems = [
            *document.validate_document(loaded),
            *regions_lib.validate_regions(loaded, known_regions),
        ]
        for problem in problems:
            _log.error(
                "invalid document file",
                path=problem.path,
                detail=problem.message,
            )
        return None if problems else loaded

    async def _propose_file(self) -> None:
        loaded = self._read_file()
        if loaded is None:
            return
        operations = changes_lib.diff_documents(document.Document(), loaded)
        # Every voter proposes the same change id: only one is accepted.
        await self.voter_client.submit_change(
            document.Change(
                FIRST_CHANGE_ID, 0, operations, whole=True, author="file"
            )
        )

    # Distribution.

    def push_latest(self) -> None:
        """Sends the newest delta to the receivers of this control instance.

        Sends the version alone if the delta is not in the history.
        """
        version = self.context.version
        payload = self.context.document_state.encode_deltas_since(version - 1)
        body: object = messages.VersionAnnouncement(version)
        if payload is not None:
            body = messages.Deltas(version - 1, payload)
        self.hub.broadcast(self._receivers(), body)
        self._announce()

    def _receivers(self) -> list[str]:
        """Returns the peers that this control instance sends versions to.

        They are entry instances of the region, and the delegates of the other
        regions: the few instances of a region that exchange messages with
        other regions.
        """
        swim = self.gossip.swim
        name = swim.local_member.name
        control = [distribution.Peer(name, swim.local_member.zone)]
        entries = []
        for peer in self._live_peers_of_region():
            is_control = self.gossip.is_control_instance(peer.name)
            (control if is_control else entries).append(peer)
        names = distribution.receivers(name, control, entries)
        regions = {state.member.region for state in swim.members.values()}
        for region in sorted(regions - {swim.local_member.region}):
            names += swim.delegates(region)
        return names

    def _live_peers_of_region(self) -> Iterator[distribution.Peer]:
        members = self.gossip.swim.members
        for name in self.gossip.peers_in_region():
            yield distribution.Peer(name, members[name].member.zone)

    def _announce(self, except_for: str = "") -> None:
        """Announces the version in force to a few peers."""
        announcement = messages.VersionAnnouncement(self.context.version)
        announced = distribution.choose_announced(
            self._announcement_candidates(),
            self.context.rng,
            except_for=except_for,
        )
        self.hub.broadcast(announced, announcement)

    def _announcement_candidates(self) -> list[str]:
        """Returns the peers of the region; for delegates, those of others too.

        A delegate thereby also tells the delegates of other regions.
        """
        swim = self.gossip.swim
        names = list(self.gossip.peers_in_region())
        if swim.is_delegate:
            regions = {s.member.region for s in swim.members.values()}
            for region in sorted(regions - {swim.local_member.region}):
                names += swim.delegates(region)
        return names

    def _on_version_announcement(
        self, peer: str, announcement: messages.VersionAnnouncement
    ) -> None:
        self._note_newer_version(peer, announcement.version)

    def _on_pull(self, peer: str, pull: messages.Pull) -> object:
        version = self.context.version
        if version <= pull.have:
            return messages.VersionAnnouncement(max(version, 0))
        payload = self.context.document_state.encode_deltas_since(pull.have)
        is_usable = pull.have > 0 and payload is not None
        if is_usable and len(payload) <= MAX_PULLED_BYTES:
            return messages.Deltas(pull.have, payload)
        payload = state_lib.encode_replica(
            self.context.document_state, MAX_PULLED_BYTES
        )
        return messages.FullDocument(version, payload)

    def _on_deltas(self, peer: str, deltas: messages.Deltas) -> None:
        self._apply_update(peer, deltas)

    def _on_full(self, peer: str, full: messages.FullDocument) -> None:
        self._apply_update(peer, full)

    def _apply_update(self, peer: str, body: object) -> None:
        try:
            document_state = self._decode_update(peer, body)
        except (deltas_lib.DeltaError, deltas_lib.StateError) as error:
            self._refuse_update(peer, body, error)
            return
        if document_state is not None and self.context.apply_document_state(
            document_state
        ):
            self._pulls_whole = False
            self._log_applied(peer, document_state)
            self._pass_on(peer)

    def _decode_update(
        self, peer: str, body: object
    ) -> document.DocumentState | None:
        """Returns the newer state that a message leads to, or None.

        Raises:
            deltas_lib.DeltaError: A delta can't be applied.
            deltas_lib.StateError: The payload can't be decoded.
        """
        match body:
            case messages.FullDocument(version, payload):
                if version > self.context.version:
                    return state_lib.decode_document_state(payload)
            case messages.Deltas(payload=payload):
                deltas = deltas_lib.decode_deltas(payload)
                return self._apply_deltas(peer, deltas)
        return None

    def _refuse_update(
        self, peer: str, body: object, error: ValueError
    ) -> None:
        """Has the whole document pulled instead of an update.

        Logs the first refusal of each version alone, since pulls repeat.
        """
        version = self.context.version
        self._pulls_whole = True
        if isinstance(body, messages.Deltas):
            self._note_newer_version(peer, body.base + 1)
        if self._refused_version > version:
            return
        self._refused_version = version + 1
        _log.error(
            "document update refused",
            peer=peer,
            kind=type(body).__name__,
            version=version,
            detail=str(error)[:MAX_DETAIL_LENGTH],
        )

    def _pass_on(self, received_from: str) -> None:
        """Passes on a version that a peer sent."""
        if self.voter_client.voter_service is not None:
            # Its voter, which commits the version as well, is slower.
            self.push_latest()
        else:
            self._announce(except_for=received_from)

    def _apply_deltas(
        self, peer: str, deltas: list[deltas_lib.DocumentDelta]
    ) -> document.DocumentState | None:
        """Returns the newer state, or None if there is none or a gap."""
        current = self.context.version
        newer = [delta for delta in deltas if delta.version > current]
        if not newer:
            return None
        if newer[0].version != current + 1:
            self._note_newer_version(peer, newer[-1].version)
            return None
        return self.context.document_state.apply_deltas(newer)

    def _note_newer_version(self, peer: str, version: int) -> None:
        """Records the version of a peer, and pulls it if it is newer."""
        self.gossip.swim.record_version(peer, version)
        if version > self.context.version:
            self._note_behind()
            self._newer_version_known.set()

    def _note_behind(self) -> None:
        """Records when it was first known that a newer version exists."""
        if self._behind_since is None:
            self._behind_since = context_lib.monotonic()

    def _log_applied(
        self, peer: str, document_state: document.DocumentState
    ) -> None:
        # ``behind_ms`` is the time for which this instance knew of a newer
        # version without having it; 0 if the version came unannounced.
        behind_s = 0.0
        if self._behind_since is not None:
            behind_s = context_lib.monotonic() - self._behind_since
            self._behind_since = None
        _log.info(
            "document version applied",
            version=document_state.version,
            number=document_state.number,
            received_from=peer,
            behind_ms=round(behind_s * 1000),
        )

    async def _pull_from(self, peer: str) -> None:
        # A pull from version 0 is answered with the whole document.
        have = 0 if self._pulls_whole else max(self.context.version, 0)
        reply = await self.hub.request(
            peer, messages.Pull(have), PULL_TIMEOUT_S
        )
        if reply is not None:
            self._apply_update(peer, reply)

    @mode.Service.task
    async def _anti_entropy(self) -> None:
        """Pulls newer versions that were announced or that gossip tells of."""
        while not self.should_stop:
            known = self._newer_version_known
            if await timeouts.wait_for_event(known, PULL_PERIOD_S):
                await self.sleep(PULL_DELAY_S)
            known.clear()
            peers = self._peers_ahead()
            if peers:
                self._note_behind()
                await self._pull_from_first(peers)

    def _peers_ahead(self) -> list[str]:
        swim = self.gossip.swim
        if swim.highest_version() <= max(self.context.version, 0):
            return []
        peers = (
            distribution.Peer(
                name,
                state.member.zone,
                state.version,
                state.member.status in ("alive", "suspect"),
            )
            for name, state in swim.members.items()
        )
        return distribution.pull_order(
            peers,
            max(self.context.version, 0),
            swim.local_member.zone,
            self.context.rng,
        )

    async def _pull_from_first(self, peers: list[str]) -> None:
        """Pulls from the peers in turn until one has sent a newer version."""
        version = self.context.version
        await hedging.first_accepted(
            (
                functools.partial(self._pull_from, peer)
                for peer in peers[:MAX_CONCURRENT_PULLS]
            ),
            delay_s=PULL_HEDGE_DELAY_S,
            accept=lambda _: self.context.version > version,
        )
