"""Documents that change again and again, and the memory that they take.

Run as a program, it is a control instance whose memory is measured: it makes
as many changes as told, and prints the peak in bytes.
"""

import asyncio
import contextlib
import pathlib
import sys

import builders
from chivelb_core import document
from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import snapshots
from chivelb_core.document import deltas
from chivelb_core.document import state as state_lib
from chivelb_node.control import commands
from chivelb_node.storage import voter_files
import control_groups

DIRECTORY = pathlib.Path(__file__).parent
ROUTES = 350
KIB = 1_024
NAME = "v1"


def make_routes(number, *, changed, renamed=False):
    """Returns routes of which the first ``changed`` differ by the number."""
    return {
        f"r-{index}-{number}" if renamed else f"r-{index}": builders.make_route(
            path_prefix=f"/x{index}/",
            timeout_s=2.0 + (number / 1_000 if index < changed else 0.0),
        )
        for index in range(ROUTES)
    }


def make_replacement(number, **options):
    routes = make_routes(number, **options)
    return builders.make_replacement(
        number, builders.make_routed_document(routes=routes)
    )


def make_state(changes, **options):
    """Returns the state of a voter after some replacements."""
    state = document.DocumentState()
    for number in range(1, changes + 1):
        assert state.replace(make_replacement(number, **options))
    return state


def write_long_history(directory, *, versions):
    """Writes the files of a voter whose history holds all of its versions."""
    state = document.DocumentState()
    history = []
    for number in range(1, versions + 1):
        state.replace(make_replacement(number, changed=ROUTES))
        history.append(state.history[-1])
    state.history = history
    data = state_lib.encode_document_state(state)
    assert len(data) > versions * deltas.MAX_HISTORY_BYTES / 50
    snapshot = snapshots.encode_snapshot(group_lib.initial_group([NAME]), data)
    files = voter_files.VoterFiles(directory / NAME / "voter")
    files.create(group_lib.original_member_id(NAME), (versions, 1, snapshot))


@contextlib.asynccontextmanager
async def running_voter(directory):
    """Runs a control instance of its own group, with its files."""
    control_groups.SEEDS[:] = [NAME]
    group = control_groups.ControlGroup(pathlib.Path(directory))
    await group.start(NAME, start="found")
    await group.wait_until(group.leader)
    yield group
    await group.stop(NAME)


async def change(directory, changes, changed):
    async with running_voter(directory) as group:
        service = group.leader()
        for number in range(1, changes + 1):
            replacement = make_replacement(number, changed=changed)
            await service.propose("replace", commands.encode(replacement))
        assert service.document_state.number == changes


async def start(directory):
    async with running_voter(directory) as group:
        await group.commit()
        assert group.leader().document_state.number > 0


def print_peak():
    """Prints the peak of the resident memory, which begins with the program.

    The peak that ``getrusage`` tells includes that of the parent process.
    """
    status = pathlib.Path("/proc/self/status").read_text()
    print(int(status.split("VmHWM:")[1].split()[0]) * KIB)


def start_and_print_peak(directory):
    asyncio.run(start(directory))
    print_peak()


if __name__ == "__main__":
    asyncio.run(change(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
    print_peak()
