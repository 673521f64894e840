"""Voter services that exchange messages in memory, with files on disk."""

import asyncio
import errno
import shutil

from chivelb_core.consensus import messages as consensus_messages
from chivelb_core.consensus import states
from chivelb_node.control import voter_service
from chivelb_node.storage import journal as journal_lib
import control_groups
import pytest

SEEDS = control_groups.SEEDS


# Guards against a control group that keeps an instance as a voter which was
# replaced at another address, and is lost with the next loss.
@pytest.mark.parametrize("planned", [True, False])
def test_a_successor_takes_the_vote_of_a_replaced_instance(tmp_path, planned):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
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
        async with control_groups.running_group(tmp_path) as group:
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


# Guards against a group that can't elect a leader any more (review/6): two of
# five voters are stopped, and two others lose their disks.
def test_a_group_of_five_bears_two_lost_disks_after_two_stops(tmp_path):
    async def run():
        async with control_groups.running_group(
            tmp_path, fault_tolerance=2
        ) as group:
            for name in ("v4", "v5"):
                await group.start(name, start="join")
            await group.wait_until(lambda: len(group.voter_names()) == 5)
            for name in ("v4", "v5"):
                await group.stop(name)
            await asyncio.sleep(2 * states.Timing().replace_after_s)
            await group.commit()
            for name in ("v1", "v2"):
                await group.stop(name)
                shutil.rmtree(tmp_path / name)
            for name in ("v1", "v2", "v4", "v5"):
                await group.start(name, start="join")
            await group.commit()

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
        async with control_groups.running_group(tmp_path) as group:
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
        async with control_groups.running_group(tmp_path) as group:
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
        async with control_groups.running_group(tmp_path) as group:
            member_id = await control_groups.return_with_damaged_files(
                group, "v1"
            )
            assert member_id != "v1/1"

    asyncio.run(run())
