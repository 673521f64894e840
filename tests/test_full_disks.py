"""Disks that are full, or fail, for a while.

Load pattern: the disks of the control instances fill up one after the other,
never two at once, while changes go on.
"""

import asyncio
import contextlib
import errno
import itertools

from chivelb_node import context as context_lib
from chivelb_node.control import voter_service
from chivelb_node.storage import journal
from chivelb_node.storage import voter_files
import control_groups
import full_disks
import pytest

# What a change may take at most, by the operators' pages, in seconds.
ACK_S = 4.0
FULL_S = 0.4
CHANGES_AFTERWARDS = 10
SHARED = {"a": False}


async def change(group, numbers, acknowledged):
    """Sends the next document until it is acknowledged."""
    number = next(numbers)
    while not await control_groups.replace_document(
        group, SHARED, number=number
    ):
        await asyncio.sleep(0.02)
    acknowledged.append(number)


async def change_again_and_again(group, numbers, acknowledged):
    while True:
        await change(group, numbers, acknowledged)
        await asyncio.sleep(0.02)


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    monkeypatch.setattr(voter_service, "DISK_RETRY_S", 0.05)


# Guards against a voter that ends for good as its disk is full for a while: its
# journal raised the error again when it was closed. After two, nobody leads.
def test_voters_vote_again_after_each_of_their_disks_was_full(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            numbers, acknowledged = itertools.count(1), []
            changes = asyncio.create_task(
                change_again_and_again(group, numbers, acknowledged)
            )
            for name in control_groups.SEEDS * 2:
                service = group.services[name]
                async with full_disks.full(tmp_path / name):
                    await group.wait_until(lambda s=service: s.failure)
                    await asyncio.sleep(FULL_S)
                await group.wait_until(
                    lambda s=service: s.voter is not None and not s.failure
                )
                assert service.voter.member_id == f"{name}/1"
            changes.cancel()
            await asyncio.gather(changes, return_exceptions=True)
            assert acknowledged
            for _ in range(CHANGES_AFTERWARDS):
                started_at = context_lib.boottime()
                await change(group, numbers, acknowledged)
                assert context_lib.boottime() - started_at < ACK_S
            newest = acknowledged[-1]
            await group.wait_until(
                lambda: all(
                    service.document_state.number == newest
                    for service in group.services.values()
                )
            )

    asyncio.run(run())


# Guards against a group that stays without a leader after all disks were full.
def test_changes_are_taken_again_after_all_disks_were_full(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            numbers, acknowledged = itertools.count(1), []
            await change(group, numbers, acknowledged)
            async with contextlib.AsyncExitStack() as stack:
                for name in control_groups.SEEDS:
                    await stack.enter_async_context(
                        full_disks.full(tmp_path / name)
                    )
                refused = asyncio.create_task(
                    change(group, numbers, acknowledged)
                )
                await asyncio.sleep(3 * FULL_S)
                assert acknowledged == [1]
            started_at = context_lib.boottime()
            await refused
            assert context_lib.boottime() - started_at < ACK_S
            await group.wait_until(
                lambda: all(
                    service.document_state.number == 2
                    for service in group.services.values()
                )
            )

    asyncio.run(run())


def open_journal(path):
    journal_file = journal.Journal(path)
    journal_file.open()
    return journal_file


async def append(journal_file, *payloads):
    """Appends each payload with a call of its own; returns their results."""
    return await asyncio.gather(
        *(journal_file.append([payload]) for payload in payloads),
        return_exceptions=True,
    )


# Guards against a record that is synced behind one that was taken in part, and
# against a part that is read as damage.
@pytest.mark.parametrize("room", range(0, 40, 3))
def test_nothing_follows_a_record_that_the_disk_took_in_part(
    tmp_path, monkeypatch, room
):
    disk = full_disks.Disk(monkeypatch)

    async def run():
        journal_file = open_journal(tmp_path / "j")
        assert await append(journal_file, b"first") == [None]
        disk.room = room
        (error,) = await append(journal_file, b"x" * 40)
        assert isinstance(error, OSError)
        disk.room = 10**6
        # The disk has room again, but the journal was not opened again.
        for payloads in ((b"second",), ()):
            with pytest.raises(OSError):
                await journal_file.append(list(payloads))
        journal_file.close()
        assert journal_file.open() == [b"first"]
        assert await append(journal_file, b"third") == [None]
        journal_file.close()

    asyncio.run(run())
    assert open_journal(tmp_path / "j").read() == [b"first", b"third"]


# Guards against a record that was not synced and is read back as if it were:
# after a failed sync, a later one may succeed without having written it.
def test_a_record_whose_sync_failed_is_not_read_back(tmp_path, monkeypatch):
    disk = full_disks.Disk(monkeypatch)

    async def run():
        journal_file = open_journal(tmp_path / "j")
        assert await append(journal_file, b"first") == [None]
        disk.failing_sync = True
        results = await append(journal_file, b"second", b"third")
        assert all(isinstance(result, OSError) for result in results)
        disk.failing_sync = False
        assert journal_file.open() == [b"first"]

    asyncio.run(run())


# Guards against a disk whose last room is taken by files that nobody reads.
def test_a_file_that_cannot_be_replaced_stays_and_leaves_nothing(
    tmp_path, monkeypatch
):
    path = tmp_path / "snapshot"
    journal.replace_file(path, b"old")
    full_disks.Disk(monkeypatch).room = 2
    with pytest.raises(OSError):
        journal.replace_file(path, b"newer")
    assert [each.name for each in tmp_path.iterdir()] == ["snapshot"]
    assert path.read_bytes() == b"old"


# Guards against a compaction that fails and leaves a voter without its log.
def test_a_journal_is_whole_after_a_failed_compaction(tmp_path, monkeypatch):
    disk = full_disks.Disk(monkeypatch)

    async def run():
        journal_file = open_journal(tmp_path / "j")
        assert await append(journal_file, b"first", b"second") == [None] * 2
        disk.room = 3
        with pytest.raises(OSError):
            await journal_file.rewrite([b"compacted"])
        disk.room = 10**6
        assert journal_file.open() == [b"first", b"second"]
        assert await append(journal_file, b"third") == [None]

    asyncio.run(run())


# Guards against a voter that founds the group again, under the member id whose
# log it lost, because the disk was full as it took a new one.
def test_a_voter_that_could_not_write_its_new_id_joins(tmp_path, monkeypatch):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            create = voter_files.VoterFiles.create

            def create_without_identity(files, member_id, snapshot=None):
                monkeypatch.setattr(voter_files.VoterFiles, "create", create)
                create(files, member_id, snapshot)
                (files.folder / "identity").unlink()
                raise OSError(errno.ENOSPC, "No space left on device")

            monkeypatch.setattr(
                voter_files.VoterFiles, "create", create_without_identity
            )
            member_id = await control_groups.return_with_damaged_files(
                group, "v1"
            )
            assert member_id != "v1/1"

    asyncio.run(run())


# Guards against a change that waits for a leader whose voter has stopped: its
# sender asks another one only afterwards.
def test_a_change_at_a_leader_with_a_full_disk_is_answered_at_once(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            await group.commit()
            leader = group.leader()
            full_disks.fill(tmp_path / leader.name)
            started_at = context_lib.boottime()
            assert await leader.propose("test", b"") == (True, None)
            waited_s = context_lib.boottime() - started_at
            assert waited_s < voter_service.APPLY_TIMEOUT_S / 2

    asyncio.run(run())


# Guards against a member without a group: its id was written, and then the
# disk was full.
@pytest.mark.parametrize("room", [0, 5, 30])
def test_a_new_member_has_all_its_files_or_no_id(tmp_path, monkeypatch, room):
    disk = full_disks.Disk(monkeypatch)
    files = voter_files.VoterFiles(tmp_path / "voter")
    disk.room = room
    with pytest.raises(OSError):
        files.create("v1/1", (0, 0, b"x" * 30))
    assert not files.read_identity()
    disk.room = 10**6
    files.create("v1/1", (0, 0, b"x" * 30))
    assert files.recover().snapshot == b"x" * 30
