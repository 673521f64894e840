"""Free loopback ports, without conflicts between concurrent processes."""

from collections.abc import Iterator
import contextlib
import fcntl
import pathlib
import socket
import tempfile

FIRST_PORT = 10_000
PORT_RANGE_COUNT = 110
PORTS_PER_RANGE = 200


def _iterate_ports() -> Iterator[int]:
    """Yields candidate ports below the ephemeral range of the system.

    Each process reserves a port range for as long as it runs, so that fleets
    in concurrent processes never compete for the same ports. The ports of the
    range are repeated endlessly.
    """
    with _reserve_port_range() as start:
        while True:
            yield from range(start, start + PORTS_PER_RANGE)


@contextlib.contextmanager
def _reserve_port_range() -> Iterator[int]:
    """Reserves a port range by a lock on a file that names it.

    Yields:
        The first port of the range.

    Raises:
        RuntimeError: Other processes have reserved all ranges.
    """
    for number in range(PORT_RANGE_COUNT):
        start = FIRST_PORT + number * PORTS_PER_RANGE
        path = pathlib.Path(tempfile.gettempdir(), f"chivelb-ports-{start}")
        with path.open("w") as file:
            try:
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                continue
            yield start
            return
    raise RuntimeError(f"all {PORT_RANGE_COUNT} port ranges are reserved")


_port_candidates = _iterate_ports()


def free_port() -> int:
    """Returns a loopback port that is free for both TCP and UDP."""
    for port in _port_candidates:
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
        ):
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError(f"no free loopback port, last tried {port}")
