"""Control groups: voter services that exchange messages in memory."""

import asyncio
import contextlib
import random

import builders
from chivelb_node.control import commands
from chivelb_node.control import sharing_holder
from chivelb_node.control import voter_service
from chivelb_node.storage import journal as journal_lib
from chivelb_node.wire import messages
import replicas
import sharing_fleet

SEEDS = ["v1", "v2", "v3"]
WAIT_S = 30.0


class ControlGroup:
    """Voter services by name, and their network."""

    def __init__(self, directory, *, fault_tolerance=1):
        self.directory = directory
        self.fault_tolerance = fault_tolerance
        self.network = replicas.MemoryNetwork()
        self.services = {}

    async def start(self, name, *, start):
        context = builders.make_context()
        context.rng = random.Random(name)
        settings = context.settings
        settings.instance.name = name
        settings.instance.data_dir = str(self.directory / name)
        settings.control.voters = SEEDS
        settings.control.start = start
        settings.control.election_timeout_s = 0.3
        settings.control.heartbeat_s = 0.06
        settings.control.fault_tolerance = self.fault_tolerance
        service = voter_service.VoterService(
            context,
            replicas.MemoryHub(name, self.network),
            lambda: None,
            lambda: [other for other in self.network.hubs if other != name],
        )
        self.services[name] = service
        self.network.silent.discard(name)
        await service.start()

    async def stop(self, name):
        """Stops an instance without a word to the others."""
        self.network.silent.add(name)
        await self.services.pop(name).stop()

    def leader(self):
        return next((s for s in self.services.values() if s.is_leader), None)

    def voter_names(self):
        """Returns the names of the voters of the committed group."""
        leader = self.leader()
        if leader is None:
            return set()
        group = leader.voter.committed_group()
        return {group.members[voter].name for voter in group.voters}

    async def wait_until(self, condition):
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def commit(self):
        await self.wait_until(self.leader)
        async with asyncio.timeout(WAIT_S):
            while True:
                leader = self.leader()
                if leader is not None:
                    await leader.propose("test", b"")
                    if leader.voter.commit_index == leader.voter.log.last_index:
                        return
                await asyncio.sleep(0.05)

    async def commit_again_and_again(self):
        while True:
            await self.commit()
            await asyncio.sleep(0.02)


async def return_with_damaged_files(group, name):
    """Damages the journal of an instance that was stopped, and starts it.

    Returns:
        The member id under which it is a voter again.
    """
    for _ in range(3):
        await group.commit()
    await group.stop(name)
    path = group.directory / name / "voter" / "log.journal"
    data = bytearray(path.read_bytes())
    data[journal_lib.HEADER_BYTES] ^= 1
    path.write_bytes(data)
    await group.start(name, start="found")
    await group.wait_until(
        lambda: (
            group.voter_names() == set(SEEDS)
            and group.services[name].voter is not None
        )
    )
    return group.services[name].voter.member_id


@contextlib.asynccontextmanager
async def running_group(directory, *, fault_tolerance=1):
    group = ControlGroup(directory, fault_tolerance=fault_tolerance)
    for name in SEEDS:
        await group.start(name, start="found")
    await group.wait_until(group.leader)
    try:
        yield group
    finally:
        for name in list(group.services):
            await group.stop(name)


class Entry:
    """An entry instance that asks the voters for its sharing lease.

    Attributes:
        context: Its shared state.
        holder: Service that renews the lease.
    """

    def __init__(self, name, group):
        self.name = name
        self.group = group
        self.context = builders.make_context()
        self.context.version = -1
        hub = replicas.MemoryHub(name, group.network)
        self.holder = sharing_holder.SharingLeaseHolder(
            self.context, hub, lambda: SEEDS
        )

    def learn_document(self):
        """Puts the newest document of the control group in force."""
        state = max(
            (
                service.document_state
                for service in self.group.services.values()
            ),
            key=lambda state: state.version,
        )
        self.context.apply_document_state(sharing_fleet.copy_state(state))

    def cut_off(self):
        """Loses all messages to and from the voters."""
        for voter in SEEDS:
            self.group.network.cut |= {(self.name, voter), (voter, self.name)}


@contextlib.asynccontextmanager
async def running_entry(group, name="e1"):
    entry = Entry(name, group)
    entry.learn_document()
    await entry.holder.start()
    try:
        await group.wait_until(entry.context.may_share)
        yield entry
    finally:
        await entry.holder.stop()


async def replace_document(group, isolated_by_name, *, number=None):
    """Sends the operator's next document, or one with a given number.

    Returns:
        Whether the leader acknowledged it.
    """
    await group.wait_until(group.leader)
    leader = group.leader()
    if number is None:
        number = leader.document_state.number + 1
    replacement = builders.make_replacement(
        number, sharing_fleet.make_document(isolated_by_name)
    )
    request = messages.CommandRequest("replace", commands.encode(replacement))
    reply = await leader._on_command("operator", request)
    return reply.applied
