"""Voter services that exchange messages in memory, with files on disk."""

import asyncio
import contextlib
import errno
import random

import builders
from chivelb_core.consensus import messages as consensus_messages
from chivelb_node.control import voter_service
from chivelb_node.storage import journal as journal_lib
import pytest
import replicas

SEEDS = ["v1", "v2", "v3"]
WAIT_S = 30.0


class ControlGroup:
    """Voter services by name, and their network."""

    def __init__(self, directory):
        self.directory = directory
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


@contextlib.asynccontextmanager
async def running_group(directory):
    group = ControlGroup(directory)
    for name in SEEDS:
        await group.start(name, start="found")
    await group.wait_until(group.leader)
    try:
        yield group
    finally:
        for name in list(group.services):
            await group.stop(name)


# Guards against a control group that keeps an instance as a voter which was
# replaced at another address, and is lost with the next loss.
@pytest.mark.parametrize("planned", [True, False])
def test_a_successor_takes_the_vote_of_a_replaced_instance(tmp_path, planned):
    async def run():
        async with running_group(tmp_path) as group:
            if planned:
                await group.start("v4", start="join")
            await group.stop("v1")
            if not planned:
                await group.start("v4", start="join")
            await group.wait_until(
                lambda: group.voter_names() == {"v2", "v3", "v4"}
            )
            await group.stop("v2")
            await group.commit()

    asyncio.run(run())


# Guards against an instance that runs without a vote for ever, because it was
# replaced while it was down.
def test_an_instance_that_returns_after_its_replacement_joins_again(tmp_path):
    async def run():
        async with running_group(tmp_path) as group:
            await group.start("v4", start="join")
            await group.stop("v1")
            await group.wait_until(
                lambda: group.voter_names() == {"v2", "v3", "v4"}
            )
            await group.start("v1", start="found")
            await group.stop("v2")
            await group.wait_until(
                lambda: group.voter_names() == {"v1", "v3", "v4"}
            )

    asyncio.run(run())


@pytest.fixture
def failing_folders(monkeypatch):
    """Folders whose files refuse each write."""
    folders = set()
    write = journal_lib.Journal._write
    replace_file = journal_lib.replace_file

    def check(path):
        if any(path.is_relative_to(folder) for folder in folders):
            raise OSError(errno.ENOSPC, "No space left on device")

    def checked_write(journal, data):
        check(journal.path)
        write(journal, data)

    def checked_replace(path, data):
        check(path)
        replace_file(path, data)

    monkeypatch.setattr(journal_lib.Journal, "_write", checked_write)
    monkeypatch.setattr(journal_lib, "replace_file", checked_replace)
    return folders


# Guards against a voter that ends for good as its disk fails for a while, while
# its process goes on: after two such failures nobody leads.
def test_a_voter_votes_again_once_its_disk_works_again(
    tmp_path, monkeypatch, failing_folders
):
    monkeypatch.setattr(voter_service, "DISK_RETRY_S", 0.05, raising=False)

    async def run():
        async with running_group(tmp_path) as group:
            for name in SEEDS:
                await group.commit()
                failing_folders.add(tmp_path / name)
                service = group.services[name]
                changes = asyncio.create_task(group.commit_again_and_again())
                await group.wait_until(lambda s=service: s.failure)
                failing_folders.clear()
                await group.wait_until(
                    lambda s=service: s.voter is not None and not s.failure
                )
                changes.cancel()
                assert service.voter.member_id == f"{name}/1"
            await group.commit()

    asyncio.run(run())


# Guards against a peer whose messages are taken although it was not noted, so
# that its first start could not be told from one after a disk loss.
def test_a_peer_that_cannot_be_noted_on_the_disk_is_not_heard(
    tmp_path, failing_folders
):
    async def run():
        async with running_group(tmp_path) as group:
            service = group.services["v1"]
            failing_folders.add(tmp_path / "v1")
            message = consensus_messages.AppendReply(
                "v1/1", "v9/1", 1, True, 0, 0
            )
            for _ in range(2):
                service._on_message("v9", message)
            assert "v9" not in service._seen_voters
            failing_folders.clear()
            service._on_message("v9", message)
            assert "v9" in service._files.read_seen_voters()

    asyncio.run(run())


# Guards against a voter that can't start for good because its files are
# damaged, although a majority has all that it held.
def test_a_voter_with_damaged_files_joins_as_a_new_member(tmp_path):
    async def run():
        async with running_group(tmp_path) as group:
            for _ in range(3):
                await group.commit()
            await group.stop("v1")
            path = tmp_path / "v1" / "voter" / "log.journal"
            data = bytearray(path.read_bytes())
            data[journal_lib.HEADER_BYTES] ^= 1
            path.write_bytes(data)
            await group.start("v1", start="found")
            await group.wait_until(
                lambda: (
                    group.voter_names() == {"v1", "v2", "v3"}
                    and group.services["v1"].voter is not None
                )
            )
            assert group.services["v1"].voter.member_id != "v1/1"

    asyncio.run(run())
