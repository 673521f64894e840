"""Runs a voter: its files, its messages and its proposals."""

import asyncio
from collections.abc import Callable
import pathlib
import random
from typing import Any

from chivelb_core import codes
from chivelb_core import consensus
from chivelb_core import document
from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import messages as consensus_messages
from chivelb_core.consensus import replacement as replacement_lib
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states
from chivelb_core.document import results as results_lib
from chivelb_core.document import state as state_lib
import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.control import commands
from chivelb_node.control import group_entry
from chivelb_node.control import group_log
from chivelb_node.control import log_entries
from chivelb_node.control import sharing_grantor
from chivelb_node.links import hub as hub_lib
from chivelb_node.storage import journal
from chivelb_node.storage import voter_files
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

TICK_S = 0.03
# Pause before the files are read again after a write has failed.
DISK_RETRY_S = 1.0
APPLY_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 1.0
# Kinds of log entries that a ``CommandRequest`` may propose, all of them
# idempotent. Changes and leases have requests of their own.
COMMAND_KINDS = frozenset({"replace", "weights", commands.EVACUATION_KIND})
HELLO_PERIOD_S = group_entry.HELLO_PERIOD_S
HELLO_TIMEOUT_S = group_entry.HELLO_TIMEOUT_S
JOIN_PERIOD_S = group_entry.JOIN_PERIOD_S
_log = logs.get_logger("voter")
_CONSENSUS_MESSAGES = (
    consensus_messages.VoteRequest,
    consensus_messages.VoteReply,
    consensus_messages.Append,
    consensus_messages.AppendReply,
    consensus_messages.SnapshotPart,
    consensus_messages.SnapshotReply,
    consensus_messages.Disown,
)


class VoterService(mode.Service):
    """A voter of the control group, on an instance with a data directory.

    The control group is the Raft group of the instances that hold the durable
    state. A voter's member id is ``NAME/1`` in a new group. A voter that lost
    its disk joins as a learner under a new id, ``NAME/`` and random hex digits,
    and replaces its old member once it has caught up with the log. So does the
    successor of an instance, which has another name, once the leader has not
    heard of a voter for some time; see ``consensus.replacement``.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        on_applied: Called after a new document version was published.
        control_instances: Returns the names of the known control instances.
        voter: Consensus state machine, or None before the group is known.
        document_state: Document state that committed entries are applied to.
        failure: Reason why the voter does not run, or empty.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        on_applied,
        control_instances: Callable[[], list[str]],
    ) -> None:
        """Creates the service.

        Args:
            context: Shared state of the instance.
            hub: Links to peers.
            on_applied: Called after a new document version was published.
            control_instances: Returns the names of the known control
                instances.
        """
        super().__init__()
        self.context = context
        self.hub = hub
        self.on_applied = on_applied
        self.control_instances = control_instances
        self.voter: consensus.Voter | None = None
        self.document_state = document.DocumentState()
        self.failure = ""
        self._files = voter_files.VoterFiles(
            pathlib.Path(context.settings.instance.data_dir) / "voter"
        )
        self._inbox: asyncio.Queue = asyncio.Queue()
        self._pending_proposals: dict[tuple[int, int], asyncio.Future] = {}
        self._seen_voters: set[str] = set()
        self._group_log = group_log.GroupLog(context.metrics)
        self._state_was_read = False
        # Whether it has been a member: it must not found the group again.
        self._was_member = False
        self._sharing = sharing_grantor.SharingGrantor(
            hub,
            get_voter=lambda: self.voter,
            get_state=lambda: self.document_state,
        )
        for message_type in _CONSENSUS_MESSAGES:
            hub.register_handler(message_type, self._on_message)
        hub.register_handler(messages.VoterHello, self._on_hello)
        hub.register_handler(messages.JoinRequest, self._on_join)
        hub.register_handler(messages.ChangeRequest, self._on_change)
        hub.register_handler(messages.CommandRequest, self._on_command)
        hub.register_handler(messages.ReadRequest, self._on_read)

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.context.settings.instance.name

    @property
    def is_leader(self) -> bool:
        """Whether this voter is the leader of the group."""
        return self.voter is not None and self.voter.role is states.Role.LEADER

    def leader_name(self) -> str:
        """Returns the name of the leader's instance, or empty."""
        if self.voter is None or not self.voter.leader:
            return ""
        member = self.voter.group.members.get(self.voter.leader)
        return member.name if member is not None else ""

    def voter_names(self) -> list[str]:
        """Returns the names of the group's voters, the leader's first."""
        if self.voter is None:
            return []
        group = self.voter.group
        names = [group.members[voter].name for voter in sorted(group.voters)]
        return sorted(names, key=lambda name: name != self.leader_name())

    # Startup: recover, or enter a group without state on the disk.

    @mode.Service.task
    async def _main(self) -> None:
        while not self.should_stop:
            try:
                await self._initialize_voter()
                await self._run_voter()
                return
            except OSError as error:
                self._stop_voter(f"disk: {error}")
            await self.sleep(DISK_RETRY_S)

    def _stop_voter(self, failure: str) -> None:
        if failure != self.failure:
            _log.error("voter stopped", detail=failure)
        self.failure = failure
        self.voter = None
        self._files.close()
        # Whether their entries are committed is not known here any more.
        for future in self._pending_proposals.values():
            if not future.done():
                future.set_result(None)

    async def _initialize_voter(self) -> None:
        if self._files.read_identity():
            self._was_member = True
            await self._recover_or_rejoin()
            return
        self._state_was_read = True
        if self._was_member:
            await self._rejoin()
            return
        membership = await group_entry.find_membership(
            self, self.hub, self.context.settings, self.control_instances
        )
        if membership is not None:
            self._create(membership)

    async def _rejoin(self) -> None:
        """Joins the group as a new member."""
        membership = await group_entry.join_group(
            self, self.hub, self.name, self.control_instances
        )
        if membership is not None:
            self._create(membership)

    async def _recover_or_rejoin(self) -> None:
        """Recovers the voter; joins as a new member if files are damaged.

        Damaged files are kept until a leader has admitted the new member, so
        that nothing is erased as long as no majority has all that they held.
        """
        try:
            self._recover()
        except journal.JournalError as error:
            self._stop_voter(f"files: {error}")
        self._state_was_read = True
        if self.voter is None:
            await self._rejoin()

    def _on_hello(
        self, peer: str, hello: messages.VoterHello
    ) -> messages.VoterState | None:
        if not self._state_was_read:
            # A reply now could miss a member id that is stored on the disk.
            return None
        group = b""
        member_id = ""
        if self.voter is not None:
            group = snapshots.encode_group(self.voter.group)
            member_id = self.voter.member_id
        return messages.VoterState(
            self.name,
            member_id,
            sorted(self._seen_voters),
            group,
            self.leader_name(),
        )

    def _create(self, membership: group_entry.Membership) -> None:
        snapshot = None
        if membership.group.members:
            data = snapshots.encode_snapshot(
                membership.group,
                state_lib.encode_document_state(document.DocumentState()),
            )
            snapshot = (0, 0, data)
        self._files.create(membership.member_id, snapshot)
        self._recover()

    def _recover(self) -> None:
        recovered = self._files.recover()
        self._was_member = True
        self.failure = ""
        self.document_state = document.DocumentState()
        self._seen_voters = self._files.read_seen_voters()
        group = group_lib.Group()
        if recovered.snapshot:
            snapshot = snapshots.decode_snapshot(recovered.snapshot)
            group = snapshot.group
            self.document_state = state_lib.decode_document_state(
                snapshot.state
            )
        control = self.context.settings.control
        self.voter = consensus.Voter(
            recovered.member_id,
            group,
            timing=states.Timing(
                control.election_timeout_s, control.heartbeat_s
            ),
            rng=random.Random(self.context.rng.random()),
            now=context_lib.monotonic(),
            hard_state=recovered.hard_state,
            log=recovered.log,
            snapshot_data=recovered.snapshot,
        )
        self._sharing.reset(recovered.log.base_index)
        self._publish()
        _log.info(
            "voter started",
            member=recovered.member_id,
            last_index=recovered.log.last_index,
            term=recovered.hard_state.term,
        )

    # Main loop; only it passes messages and ticks to the voter.

    async def _run_voter(self) -> None:
        # A leader disowns a voter that lost acknowledged entries: its disk was
        # rolled back, so its votes can't be trusted.
        while self.voter is not None and not self.voter.disowned:
            if self.should_stop:
                return
            await self._wait_for_input()
            now = context_lib.monotonic()
            while not self._inbox.empty():
                self.voter.receive(self._inbox.get_nowait(), now)
            self.voter.tick(now)
            await self._execute_effects()
            self._group_log.observe(self.voter, self.leader_name())
            self._change_group(now)
        if self.voter is not None:
            self._stop_voter(
                "stored state was rolled back to an older one; "
                "empty the data directory"
            )

    async def _wait_for_input(self) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                message = await self._inbox.get()
            self._inbox.put_nowait(message)
        except TimeoutError:
            pass

    async def _execute_effects(self) -> None:
        # Proposals may arrive during a sync. Their entries are part of the
        # next effects, which must be synced as well.
        while not (effects := self.voter.take_effects()).is_empty:
            if effects.snapshot is not None:
                index, _, data = effects.snapshot
                self._install_snapshot(index, data)
            if effects.needs_sync:
                await self._files.store(effects)
            if effects.entries:
                self.voter.record_synced(
                    effects.entries[-1].index, context_lib.monotonic()
                )
            for message in effects.outgoing:
                self._send(message)
            self._apply(effects.committed)
        await self._compact()

    def _send(self, message: consensus_messages.Message) -> None:
        receiver = message.to_member
        member = self.voter.group.members.get(receiver)
        name = member.name if member else group_lib.instance_name(receiver)
        self.hub.send(name, message)

    def _on_message(self, peer: str, message: Any) -> None:
        sender = group_lib.instance_name(message.from_member)
        if self.voter is None or sender != peer:
            return
        if peer in self._seen_voters or self._note_seen(peer):
            self._inbox.put_nowait(message)

    def _note_seen(self, peer: str) -> bool:
        """Notes durably that a peer takes part; returns False on failure.

        Synced before the vote of the peer can count. This tells a later start
        of the peer after a disk loss from its first start.
        """
        names = {*self._seen_voters, peer}
        try:
            self._files.write_seen_voters(names)
        except OSError as error:
            _log.warning("message of peer dropped", peer=peer, error=str(error))
            return False
        self._seen_voters = names
        return True

    def _install_snapshot(self, index: int, data: bytes) -> None:
        epoch = self.document_state.sharing_epoch
        snapshot = snapshots.decode_snapshot(data)
        self.document_state = state_lib.decode_document_state(snapshot.state)
        self._sharing.record_applied(index, epoch)
        self._publish()

    def _apply(self, entries: list) -> None:
        before = self.document_state.version
        for entry in entries:
            epoch = self.document_state.sharing_epoch
            result = log_entries.apply_entry(self.document_state, entry)
            self._sharing.record_applied(entry.index, epoch)
            future = self._pending_proposals.pop(
                (entry.index, entry.term), None
            )
            if future is not None and not future.done():
                future.set_result(result)
        if self.document_state.version != before:
            self._publish()

    def _publish(self) -> None:
        if self.document_state.version > self.context.version:
            self.context.apply_document_state(self.document_state.to_replica())
            self.on_applied()

    async def _compact(self) -> None:
        voter = self.voter
        if not voter.is_snapshot_due():
            return
        data = snapshots.encode_snapshot(
            voter.committed_group(),
            state_lib.encode_document_state(self.document_state),
        )
        index = voter.applied_index
        await self._files.compact(voter, index, data)
        voter.compact(index, data)

    # Proposals.

    async def propose(self, kind: str, data: bytes) -> tuple[bool, Any]:
        """Proposes a log entry and waits until it is applied.

        Args:
            kind: Kind of the entry.
            data: Encoded command.

        Returns:
            Whether the entry may be in the log, and its result if known.
        """
        position = None
        if self.voter is not None and len(data) <= commands.MAX_COMMAND_BYTES:
            position = self.voter.propose(kind, data, context_lib.monotonic())
        if position is None:
            return False, None
        future = asyncio.get_running_loop().create_future()
        self._pending_proposals[position] = future
        # Wakes the main loop. The voter ignores the message, which is
        # addressed to no member id.
        self._inbox.put_nowait(
            consensus_messages.VoteReply("", "", 0, False, True)
        )
        try:
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                return True, await future
        except TimeoutError:
            return True, None
        finally:
            self._pending_proposals.pop(position, None)

    async def _on_change(
        self, peer: str, request: messages.ChangeRequest
    ) -> messages.ChangeReply:
        change = commands.decode_change(request.payload)
        if not self.is_leader:
            return self._change_reply(codes.NO_QUORUM, None, appended=False)
        appended, result = await self.propose("change", request.payload)
        if result is None:
            code = codes.CHANGE_UNKNOWN if appended else codes.NO_QUORUM
            return self._change_reply(code, None, appended=appended)
        assert change.change_id in self.document_state.answers
        await self._sharing.wait_until_ended(result.version)
        return self._change_reply(codes.DONE, result, appended=True)

    def _change_reply(
        self,
        code: codes.ResultCode,
        result: results_lib.ChangeResult | None,
        *,
        appended: bool,
    ) -> messages.ChangeReply:
        number = code.number if result is None else result.code
        payload = b"" if result is None else msgspec.msgpack.encode(result)
        version = result.version if result else self.document_state.version
        return messages.ChangeReply(
            number, version, self.leader_name(), payload, appended
        )

    async def _on_command(
        self, peer: str, request: messages.CommandRequest
    ) -> messages.CommandReply:
        applied = None
        if self.is_leader and request.kind in COMMAND_KINDS:
            _, applied = await self.propose(request.kind, request.payload)
            if applied is not None and request.kind == "replace":
                # Also for one that was sent again: what it begins may last.
                await self._sharing.wait_until_ended(
                    self.document_state.version
                )
        # An older replacement or weight version counts as applied; an order
        # that a newer one has superseded does not.
        is_superseded = (
            request.kind == commands.EVACUATION_KIND and applied is False
        )
        return messages.CommandReply(
            applied is not None and not is_superseded,
            self.document_state.version,
            self.leader_name(),
            is_superseded,
        )

    async def _on_read(
        self, peer: str, request: messages.ReadRequest
    ) -> messages.ReadReply:
        stale = messages.ReadReply(False, 0, self.leader_name())
        if not self.is_leader:
            return stale
        round_number = self.voter.start_read(context_lib.monotonic())
        if round_number is None:
            return stale
        index = self.voter.commit_index
        deadline = context_lib.monotonic() + READ_TIMEOUT_S
        while context_lib.monotonic() < deadline:
            await asyncio.sleep(TICK_S / 3)
            if not self.is_leader:
                return stale
            confirmed = self.voter.is_read_confirmed(round_number)
            if confirmed and self.voter.applied_index >= index:
                return messages.ReadReply(
                    True, self.document_state.version, self.name
                )
        return stale

    # Members that join, and changes of the group.

    def _on_join(
        self, peer: str, request: messages.JoinRequest
    ) -> messages.JoinReply:
        refused = messages.JoinReply(False, self.leader_name(), b"")
        if not self.is_leader or request.name != peer:
            return refused
        group = self.voter.group
        if request.member_id not in group.members:
            position = self.voter.propose_group(
                replacement_lib.admit_learner(group, request.member_id, peer),
                context_lib.monotonic(),
            )
            if isinstance(position, codes.ErrorDetail):
                return refused
        return messages.JoinReply(
            True, self.name, snapshots.encode_group(self.voter.group)
        )

    def _change_group(self, now: float) -> None:
        """Proposes the next change of the group's members, if one is due."""
        if not self.is_leader:
            return
        step = replacement_lib.plan_membership_change(
            self.voter,
            now,
            fault_tolerance=self.context.settings.control.fault_tolerance,
        )
        if step is not None:
            self.voter.propose_group(step, now)

    @mode.Service.task
    async def _stay_member(self) -> None:
        """Asks to join again while the leader seems not to know this member."""
        while not self.should_stop:
            await self.sleep(JOIN_PERIOD_S)
            voter = self.voter
            if voter is not None and voter.needs_admission(
                context_lib.monotonic()
            ):
                request = messages.JoinRequest(self.name, voter.member_id)
                await group_entry.request_admission(
                    self.hub, request, self.control_instances()
                )
