"""Ports of fleets that run at the same time on one machine."""

import subprocess
import sys

from chivelb_cli import fleet

PRINT_PORT = (
    "import sys; from chivelb_cli import fleet; "
    "print(fleet.free_port(), flush=True); sys.stdin.read()"
)


def test_processes_at_the_same_time_get_different_port_ranges():
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PRINT_PORT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(4)
    ]
    try:
        ports = [int(process.stdout.readline()) for process in processes]
    finally:
        for process in processes:
            process.communicate("")
    starts = {port // fleet.PORTS_PER_RANGE for port in ports}
    assert len(starts) == len(processes)
