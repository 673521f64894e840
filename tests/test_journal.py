"""Journal files, voter files and restoring a voter from a snapshot."""

import asyncio

import builders
from chivelb_core.consensus import log as log_lib
from chivelb_core.consensus import snapshots
from chivelb_core.consensus import states
from chivelb_core.document import state as state_lib
from chivelb_node.storage import journal
from chivelb_node.storage import restore
from chivelb_node.storage import voter_files
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest


def write(path, payloads):
    """Writes records each of which is synced before the next is written."""

    async def run():
        journal_file = journal.Journal(path)
        journal_file.open()
        for payload in payloads:
            await journal_file.append([payload])
        journal_file.close()

    asyncio.run(run())


def read(path):
    journal_file = journal.Journal(path)
    payloads = journal_file.open()
    journal_file.close()
    return payloads


def test_records_survive_in_order(tmp_path):
    payloads = [bytes([n]) * n for n in range(50)]
    write(tmp_path / "j", payloads)
    assert read(tmp_path / "j") == payloads


def test_records_that_share_a_write_survive_in_order(tmp_path):
    payloads = [bytes([n]) * n for n in range(50)]
    batch_bytes(tmp_path, [payloads])
    assert read(tmp_path / "j") == payloads


@pytest.mark.parametrize("cut", range(1, 20))
def test_a_torn_tail_is_truncated(tmp_path, cut):
    write(tmp_path / "j", [b"first", b"second", b"third record"])
    data = (tmp_path / "j").read_bytes()
    (tmp_path / "j").write_bytes(data[:-cut])
    assert read(tmp_path / "j") == [b"first", b"second"]
    write(tmp_path / "j", [b"new"])
    assert read(tmp_path / "j") == [b"first", b"second", b"new"]


def test_damage_before_whole_records_is_refused(tmp_path):
    write(tmp_path / "j", [b"first", b"second", b"third"])
    data = bytearray((tmp_path / "j").read_bytes())
    data[journal.HEADER_BYTES] ^= 1
    (tmp_path / "j").write_bytes(data)
    with pytest.raises(
        journal.JournalError, match="damaged at byte 0 before valid records"
    ):
        read(tmp_path / "j")


@settings(max_examples=200, derandomize=True, deadline=None)
@given(strategies.binary(max_size=200))
def test_any_file_opens_or_is_refused(tmp_path_factory, data):
    path = tmp_path_factory.mktemp("j") / "j"
    path.write_bytes(data)
    try:
        read(path)
    except journal.JournalError:
        pass


def test_rewriting_keeps_what_is_given(tmp_path):
    async def run():
        journal_file = journal.Journal(tmp_path / "j")
        journal_file.open()
        await journal_file.append([b"a", b"b"])
        await journal_file.rewrite([b"c"])
        await journal_file.append([b"d"])
        journal_file.close()

    asyncio.run(run())
    assert read(tmp_path / "j") == [b"c", b"d"]


def make_effects(**options):
    return states.Effects(**options)


def entry(index, term, data=b""):
    return log_lib.Entry(index, term, "change", data)


def test_voter_files_recover_truncations_and_votes(tmp_path):
    async def run():
        files = voter_files.VoterFiles(tmp_path / "voter")
        files.create("a/1")
        files.recover()
        await files.store(
            make_effects(
                hard_state=states.HardState(3, "b/1"),
                entries=[entry(1, 1, b"x"), entry(2, 1, b"y")],
            )
        )
        await files.store(
            make_effects(truncate_from=2, entries=[entry(2, 3, b"z")])
        )

    asyncio.run(run())
    recovered = voter_files.VoterFiles(tmp_path / "voter").recover()
    assert recovered.member_id == "a/1"
    assert recovered.hard_state == states.HardState(3, "b/1")
    assert [e.data for e in recovered.log.entries] == [b"x", b"z"]


def test_a_damaged_snapshot_is_refused(tmp_path):
    files = voter_files.VoterFiles(tmp_path / "voter")
    files.create("a/1")
    files.write_snapshot(4, 2, b"state")
    path = tmp_path / "voter" / "snapshot"
    path.write_bytes(path.read_bytes()[:-1] + b"?")
    with pytest.raises(journal.JournalError, match="snapshot is damaged"):
        files.recover()


def test_a_restored_voter_is_the_only_member_above_the_given_version(tmp_path):
    document_state = builders.make_document_state()
    data = state_lib.encode_document_state(document_state)
    version = restore.restore_voter(data, tmp_path, name="a", above=500)
    assert version > 500
    recovered = voter_files.VoterFiles(tmp_path / "voter").recover()
    snapshot = snapshots.decode_snapshot(recovered.snapshot)
    assert [m.name for m in snapshot.group.members.values()] == ["a"]
    restored = state_lib.decode_document_state(snapshot.state)
    assert restored.document == document_state.document
    with pytest.raises(ValueError, match="already contains a voter"):
        restore.restore_voter(data, tmp_path, name="a", above=0)
    with pytest.raises(ValueError, match="not a saved document state"):
        restore.restore_voter(b"?", tmp_path / "b", name="a", above=0)


def batch_bytes(tmp_path, batches):
    """Returns the file after each batch, which is one write."""
    path = tmp_path / "j"
    states_of_file = [b""]

    async def run():
        journal_file = journal.Journal(path)
        journal_file.open()
        for batch in batches:
            # Appends that arrive together share one write.
            await asyncio.gather(
                *(journal_file.append([payload]) for payload in batch)
            )
            states_of_file.append(path.read_bytes())
        journal_file.close()

    asyncio.run(run())
    return states_of_file


# Guards against a voter that refuses to start after a loss of power because a
# later part of its last write reached the disk and an earlier one did not.
@pytest.mark.parametrize("lost", range(0, 60, 4))
def test_a_last_write_that_reached_the_disk_in_part_is_discarded(
    tmp_path, lost
):
    first = [b"first", b"second"]
    last = [b"third record", b"fourth record", b"fifth record"]
    before, after = batch_bytes(tmp_path, [first, last])[1:]
    data = bytearray(after)
    start = len(before) + min(lost, len(after) - len(before) - 8)
    data[start : start + 4] = bytes(4)
    (tmp_path / "j").write_bytes(data)
    assert read(tmp_path / "j") == first


def test_records_of_an_earlier_version_are_read(tmp_path):
    payloads = [b"\x93one", b"\x93two"]
    (tmp_path / "j").write_bytes(
        b"".join(journal.encode_record(payload) for payload in payloads)
    )
    assert read(tmp_path / "j") == payloads
    write(tmp_path / "j", [b"\x93three"])
    assert read(tmp_path / "j") == [*payloads, b"\x93three"]


# Guards against a voter that ends at its start because its journal still has
# entries from before a snapshot of the leader replaced its log.
@pytest.mark.parametrize("crashed_between", [False, True])
def test_entries_from_before_an_installed_snapshot_are_dropped(
    tmp_path, crashed_between
):
    folder = tmp_path / "voter"

    async def run():
        files = voter_files.VoterFiles(folder)
        files.create("a/1")
        files.recover()
        await files.store(
            make_effects(
                hard_state=states.HardState(1, ""),
                entries=[entry(index, 1) for index in range(1, 9)],
            )
        )
        stored = files.journal.path.read_bytes()
        await files.store(
            make_effects(
                hard_state=states.HardState(7, "b/1"), snapshot=(5, 7, b"s")
            )
        )
        if crashed_between:
            files.journal.path.write_bytes(stored)

    asyncio.run(run())
    recovered = voter_files.VoterFiles(folder).recover()
    assert recovered.log.base_index == 5
    assert recovered.log.entries == []
