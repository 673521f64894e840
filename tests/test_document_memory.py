"""Memory of the document's history, however much each change changes.

Fault pattern: the history of changes is bounded in changes. Changes that touch
all parts make it hundreds of megabytes, of which a snapshot, a start and the
copy for other instances hold several times as much.
"""

import subprocess
import sys

import builders
from chivelb_core import document
from chivelb_core.consensus import voter as voter_lib
from chivelb_core.document import changes
from chivelb_core.document import deltas
from chivelb_core.document import part_versions
from chivelb_core.document import results as results_lib
from chivelb_core.document import state as state_lib
import document_memory
import pytest

# ``MemoryMb`` of a small deployment's control instances.
MEMORY_LIMIT_BYTES = 296 * 1_000_000
MESSAGE_BYTES = 3_145_728


def encoded_sizes(state):
    """Returns the bytes of the history, a snapshot and a replica."""
    return (
        sum(len(encoded) for encoded in state.history),
        len(state_lib.encode_document_state(state)),
        len(state_lib.encode_replica(state, MESSAGE_BYTES)),
    )


# Guards against control instances that outgrow their memory with each change
# of many parts (review/7).
@pytest.mark.parametrize("changed", [1, document_memory.ROUTES])
def test_a_history_takes_the_same_bytes_after_any_number_of_changes(changed):
    few = document_memory.make_state(200, changed=changed)
    many = document_memory.make_state(1_000, changed=changed)
    few_sizes, many_sizes = encoded_sizes(few), encoded_sizes(many)
    assert max(few_sizes[0], many_sizes[0]) <= deltas.MAX_HISTORY_BYTES
    document_bytes = len(state_lib.encode_document_state(few)) - few_sizes[0]
    for few_bytes, many_bytes in zip(few_sizes, many_sizes, strict=True):
        assert many_bytes <= few_bytes + deltas.MAX_HISTORY_BYTES
        assert many_bytes <= document_bytes * 2 + deltas.MAX_HISTORY_BYTES


# Guards against a replica that grows where the voters' state does not.
def test_a_replica_that_follows_by_deltas_stays_as_small():
    state = document_memory.make_state(1, changed=0)
    replica = state.to_replica()
    for number in range(2, 300):
        state.replace(
            document_memory.make_replacement(
                number, changed=document_memory.ROUTES
            )
        )
        replica = replica.apply_deltas(state.deltas_since(replica.version))
    assert encoded_sizes(replica)[0] <= deltas.MAX_HISTORY_BYTES
    assert replica.document == state.document


# Guards against versions of removed parts that are kept without end.
def test_parts_that_get_new_names_with_each_change_are_forgotten():
    few = document_memory.make_state(100, changed=0, renamed=True)
    many = document_memory.make_state(300, changed=0, renamed=True)
    limit = part_versions.MAX_REMOVED_PARTS + 2 * document_memory.ROUTES
    assert len(few.part_versions) <= limit
    assert len(many.part_versions) <= limit
    assert len(many.part_versions) >= document_memory.ROUTES
    assert encoded_sizes(many)[1] <= encoded_sizes(few)[1] * 1.5


def make_workspace(**options):
    return document.Workspace(
        key_hashes=["ab" * 32], cache_secret="cd" * 16, services=[], **options
    )


@pytest.fixture
def few_removed_parts(monkeypatch):
    monkeypatch.setattr(part_versions, "MAX_REMOVED_PARTS", 4)


# Guards against a change that overwrites a newer one because the version of a
# part that was removed since is forgotten.
def test_a_change_from_before_a_forgotten_removal_conflicts(few_removed_parts):
    state = builders.make_document_state()
    for number in range(20):
        for operation in (
            changes.Operation(f"services/s{number}", {"kind": "plain"}),
            changes.Operation(f"services/s{number}"),
        ):
            change = document.Change(
                f"c{state.version}", state.version, [operation]
            )
            assert state.apply_change(change).code == 0
    assert "services/s0" not in state.part_versions
    late = document.Change(
        "late", 2, [changes.Operation("services/s0", {"kind": "plain"})]
    )
    assert state.has_conflict(late)
    current = document.Change("current", state.version, late.operations)
    assert state.apply_change(current).code == 0


# Guards against a workspace that comes back with another isolation and shares
# what was cached before, because its removal is forgotten.
def test_a_workspace_that_may_be_forgotten_begins_a_sharing_epoch(
    few_removed_parts,
):
    state = document.DocumentState()
    replica = state.to_replica()
    for number in range(1, 20):
        names = ["kept", f"w{number}", f"v{number}"]
        state.replace(
            builders.make_replacement(
                number,
                builders.make_routed_document(
                    workspaces={name: make_workspace() for name in names}
                ),
            )
        )
        replica = replica.apply_deltas(state.deltas_since(replica.version))
    epoch = state.sharing_epoch
    isolated = {"kept": make_workspace(), "w1": make_workspace(isolated=True)}
    state.replace(
        builders.make_replacement(
            20, builders.make_routed_document(workspaces=isolated)
        )
    )
    replica = replica.apply_deltas(state.deltas_since(replica.version))
    assert state.sharing_epoch != epoch
    assert replica.sharing_epoch == state.sharing_epoch
    assert replica.part_versions == state.part_versions


# Guards against recorded results that are bounded in number alone: each may
# name problems of any length.
def test_results_of_rejected_changes_are_bounded_in_bytes(monkeypatch):
    limit = 1_000_000
    monkeypatch.setattr(results_lib, "MAX_RECORDED_BYTES", limit)
    state = builders.make_document_state()
    for number in range(20):
        operations = [
            changes.Operation(f"nothing/{index}" + "x" * 2_000, {})
            for index in range(2 * results_lib.MAX_PROBLEMS)
        ]
        state.apply_change(
            document.Change(f"c{number}", state.version, operations)
        )
    assert 0 < len(state.answers) < 20
    assert state.answers_bytes <= limit
    assert len(state_lib.encode_document_state(state)) <= 3 * limit
    restored = state_lib.decode_document_state(
        state_lib.encode_document_state(state)
    )
    assert restored.answers_bytes == state.answers_bytes


# Guards against a log that grows with the snapshot, and is held in memory.
def test_a_log_is_compacted_however_large_the_snapshot_is():
    assert voter_lib.MAX_LOG_BYTES < MEMORY_LIMIT_BYTES / 8


def measure_peak(directory, *, changes, changed):
    """Returns the peak of a control instance's resident memory, in bytes."""
    directory.mkdir()
    result = subprocess.run(
        [
            sys.executable,
            document_memory.__file__,
            str(directory),
            str(changes),
            str(changed),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    return int(result.stdout.splitlines()[-1])


# Guards against peaks, as a snapshot is written, that grow with the changes.
@pytest.mark.parametrize("changed", [1, document_memory.ROUTES])
def test_the_peak_of_memory_does_not_grow_with_the_changes(tmp_path, changed):
    few = measure_peak(tmp_path / "few", changes=400, changed=changed)
    many = measure_peak(tmp_path / "many", changes=2_000, changed=changed)
    assert many <= 1.25 * few


# Guards against an instance that can't start again with the files that an
# earlier build left: a history without a limit in bytes.
def test_an_instance_starts_with_the_history_of_an_earlier_build(tmp_path):
    document_memory.write_long_history(tmp_path, versions=400)
    peak = measure_peak_of_start(tmp_path)
    assert peak <= MEMORY_LIMIT_BYTES / 2


def measure_peak_of_start(directory):
    program = (
        "import sys, document_memory; "
        "document_memory.start_and_print_peak(sys.argv[1])"
    )
    result = subprocess.run(
        [sys.executable, "-c", program, str(directory)],
        capture_output=True,
        text=True,
        check=True,
        cwd=document_memory.DIRECTORY,
    )
    return int(result.stdout.splitlines()[-1])
