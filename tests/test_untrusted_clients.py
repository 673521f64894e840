"""Crowds of clients outside the limits leave a process alive and serving.

Each test starts the system's own processes on loopback addresses, lets a small
crowd do its worst, and checks what does not depend on the machine's speed: the
process lives, its memory and descriptors stay within those of its machine, and
one ordinary request is answered while the crowd is still connected.

The sizes of the crowds and the bounds are fixed: they are kept as they are when
the limits of the product change.
"""

import asyncio
import contextlib
import hashlib
import json
import resource
import time

import aiohttp
from chivelb_cli import samples
import crowds
import pytest
import sites
import test_programs

pytestmark = pytest.mark.xdist_group("untrusted")

# The machine of a process, as the platform describes it to the process.
MEMORY_MB, MAX_FDS = 128, 256
# The machine of a ``chivelbd``, which is not told of it.
DAEMON_MEMORY_MB = 192
ANSWER_TIMEOUT_S = 60.0
FRONT_IP, CONTROL_IP = test_programs.ENTRY_IP, test_programs.CONTROL_IP
KIB, MIB = crowds.KIB, crowds.MIB


def make_route(name, service):
    return {
        "Name": name,
        "Host": "h.example",
        "PathPrefix": f"/{name}/",
        "Kind": "unsafe",
        "TimeoutMs": 60_000,
        "Service": service,
        "Public": True,
    }


DOCUMENT = {
    "Version": 1,
    "Routes": [make_route(name, name) for name in ("a", "stuck", "large")],
    "Services": [
        {"Name": name, "MaxConnections": 1_000}
        for name in ("a", "stuck", "large")
    ],
    # The time limits must not be what bounds the memory.
    "Limits": {"HeaderTimeoutMs": 60_000, "IdleTimeoutMs": 60_000},
}


async def ask_until(session, method, url, status, **options):
    """Repeats a request until its response has the given status."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with session.request(method, url, **options) as response:
                    await response.read()
                    if response.status == status:
                        return
            await asyncio.sleep(0.05)


def make_session():
    """Returns a client session that connects anew for each request."""
    return aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=10),
        connector=aiohttp.TCPConnector(force_close=True),
    )


class Platform:
    """An entry and a control instance with three targets.

    Attributes:
        front, ready, control, entry_metrics, control_metrics: Host and port of
            what they serve.
        limits: The machine of a process.
    """

    limits = {"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}

    def __init__(self, folder):
        self.pair = test_programs.InstancePair(folder)
        self.front = (FRONT_IP, self.pair.front)
        self.ready = (FRONT_IP, self.pair.ready)
        self.control = (CONTROL_IP, self.pair.control)
        self.entry_metrics = (FRONT_IP, self.pair.metrics)
        self.control_metrics = (CONTROL_IP, self.pair.metrics)
        write = self.pair.settings

        def write_with_limits(ip, listen, **fields):
            return write(ip, listen, Limits=self.limits, **fields)

        self.pair.settings = write_with_limits

    @contextlib.asynccontextmanager
    async def running(self):
        """Yields the processes by role, and a session, once they serve."""
        url = f"http://{self.pair.seed}"
        async with contextlib.AsyncExitStack() as stack:
            control, entry = await stack.enter_async_context(
                self.pair.running()
            )
            session = await stack.enter_async_context(make_session())
            for name, target in (
                ("a", crowds.StubTarget()),
                ("stuck", crowds.StubTarget(reads=False)),
                ("large", crowds.StubTarget(body_bytes=8 * MIB)),
            ):
                address = await stack.enter_async_context(
                    target.serve(FRONT_IP)
                )
                beat = {
                    "Service": name,
                    "Address": address,
                    "Zone": "z1",
                    "Slots": 1_000,
                    "State": "ready",
                    "Version": "v1",
                    "Sequence": 1,
                }
                await ask_until(
                    session,
                    "POST",
                    f"{url}/instances/{name}/heartbeat",
                    200,
                    json=beat,
                )
            await ask_until(
                session,
                "POST",
                f"{url}/configuration/replace",
                200,
                data=json.dumps(DOCUMENT).encode(),
            )
            await self.ask_entry(session)
            yield {"control": control, "entry": entry}, session

    async def ask_entry(self, session):
        """Sends one ordinary request of a caller."""
        url = f"http://{FRONT_IP}:{self.pair.front}/a/x"
        headers = {"Host": "h.example", "X-Request-Id": f"r{time.time_ns()}"}
        await ask_until(
            session, "POST", url, 200, data=b"hello", headers=headers
        )
        ready = f"http://{FRONT_IP}:{self.pair.ready}/readyz"
        await ask_until(session, "GET", ready, 200)

    async def ask_control(self, session):
        """Sends one ordinary request of an operator, and one of a target."""
        url = f"http://{self.pair.seed}"
        await ask_until(session, "GET", f"{url}/configuration/describe", 200)
        leaving = f"{url}/instances/none/deregister"
        await ask_until(session, "POST", leaving, 200)


def run_platform(folder, role, make_clients, check=lambda clients: None):
    """Runs a crowd against a process of the platform and checks the process."""

    async def scenario():
        platform = Platform(folder)
        async with platform.running() as (processes, session):
            process = processes[role]
            watch = crowds.Watch(process.pid)
            ask = getattr(platform, f"ask_{role}")
            async with watch, crowds.Crowd(make_clients(platform)) as crowd:
                check(crowd.clients)
                await ask(session)
            assert watch.is_alive
            assert process.returncode is None
            print(f"peak {watch.peak_mb():.0f} MB, {watch.peak_fds} fds")
            assert watch.peak_mb() < MEMORY_MB
            assert watch.peak_fds < MAX_FDS

    asyncio.run(scenario())


def clients_of(address, count, make_pieces, **options):
    return [
        crowds.Client(address, make_pieces(), **options) for _ in range(count)
    ]


def check_all_ended(clients):
    """Checks that no client could send all of what has no end."""
    assert not any(client.has_sent_all for client in clients)


# Guards against heads without a limit on their sum of bytes: the parser limits
# single lines and their number only, so that one head may have 8 MB.
def test_unfinished_heads_of_callers_are_not_kept(tmp_path):
    run_platform(
        tmp_path,
        "entry",
        lambda p: clients_of(
            p.front, 24, lambda: crowds.unfinished_head(60_000, 100)
        ),
    )


# Guards against heads that the parser gathers behind a request in progress.
def test_unfinished_heads_behind_a_request_are_not_kept(tmp_path):
    first = crowds.post_head(b"/stuck/x", b"Content-Length: 0")

    def pieces():
        yield first
        yield from crowds.unfinished_head(60_000, 100)

    run_platform(tmp_path, "entry", lambda p: clients_of(p.front, 24, pieces))


# Guards against servers beside that of callers that have no such limit.
@pytest.mark.parametrize(
    ("role", "port"),
    [
        ("entry", "ready"),
        ("entry", "entry_metrics"),
        ("control", "control"),
        ("control", "control_metrics"),
    ],
)
def test_unfinished_heads_at_other_ports_are_not_kept(tmp_path, role, port):
    run_platform(
        tmp_path,
        role,
        lambda p: clients_of(
            getattr(p, port), 120, lambda: crowds.unfinished_head(8_000, 120)
        ),
    )


# Guards against empty lines, which are part of no head, being read for ever.
@pytest.mark.parametrize(
    ("role", "port"),
    [
        ("entry", "front"),
        ("entry", "ready"),
        ("entry", "entry_metrics"),
        ("control", "control"),
    ],
)
def test_empty_lines_without_end_end_their_connection(tmp_path, role, port):
    run_platform(
        tmp_path,
        role,
        lambda p: clients_of(
            getattr(p, port), 8, lambda: crowds.endless(b"\r\n", 16 * MIB)
        ),
        check_all_ended,
    )


# Guards against bodies that are kept while the rest of them does not come.
@pytest.mark.parametrize("chunk_bytes", [2, 16 * KIB])
def test_unfinished_bodies_of_callers_have_a_budget(tmp_path, chunk_bytes):
    count, body_bytes = (48, 4 * MIB) if chunk_bytes > 2 else (64, MIB // 2)
    head = crowds.post_head(b"/a/x")
    run_platform(
        tmp_path,
        "entry",
        lambda p: (
            clients_of(
                p.front,
                count,
                lambda: crowds.unfinished_chunks(head, body_bytes, chunk_bytes),
            )
            + clients_of(
                p.front, 8, lambda: crowds.unfinished_body(head, 4 * MIB)
            )
        ),
    )


# Guards against bodies that are read on far beyond their limit.
def test_oversized_bodies_are_not_kept(tmp_path):
    head = crowds.post_head(b"/a/x")
    run_platform(
        tmp_path,
        "entry",
        lambda p: (
            clients_of(
                p.front, 8, lambda: crowds.oversized_body(head, 16 * MIB)
            )
            + clients_of(
                p.front, 8, lambda: crowds.endless_chunks(head, 16 * MIB)
            )
        ),
    )


# Guards against documents and heartbeats of any sender, of which each may have
# many times the memory that is left.
@pytest.mark.parametrize(
    "path",
    [b"/configuration/replace", b"/version-put", b"/instances/x/heartbeat"],
)
def test_unfinished_bodies_at_control_have_a_budget(tmp_path, path):
    head = crowds.post_head(path)
    run_platform(
        tmp_path,
        "control",
        lambda p: (
            clients_of(
                p.control, 4, lambda: crowds.unfinished_body(head, 31 * MIB)
            )
            + clients_of(
                p.control,
                4,
                lambda: crowds.unfinished_chunks(head, 31 * MIB, 16 * KIB),
            )
        ),
    )


# Guards against connections that use up the descriptors of a process.
@pytest.mark.parametrize(
    ("role", "port"),
    [
        ("entry", "front"),
        ("entry", "ready"),
        ("entry", "entry_metrics"),
        ("control", "control"),
    ],
)
def test_silent_connections_are_limited(tmp_path, role, port):
    run_platform(
        tmp_path,
        role,
        lambda p: clients_of(getattr(p, port), 400, lambda: [b""]),
    )


# Guards against bodies that are kept, and copied to be sent, while a target
# does not read them.
def test_bodies_that_a_target_does_not_read_have_a_budget(tmp_path):
    head = crowds.post_head(b"/stuck/x")
    run_platform(
        tmp_path,
        "entry",
        lambda p: clients_of(
            p.front, 32, lambda: crowds.complete_body(head, 4 * MIB)
        ),
    )


# Guards against answers that are read ahead of callers that do not read them.
# Without an id, a large answer is taken for one to another request; it must not
# be gathered without end either.
@pytest.mark.parametrize("headers", [[b"X-Request-Id: r1"], []])
def test_answers_that_callers_do_not_read_have_a_budget(tmp_path, headers):
    request = crowds.post_head(b"/large/x", b"Content-Length: 0", *headers)
    run_platform(
        tmp_path,
        "entry",
        lambda p: clients_of(p.front, 100, lambda: [request], reads=False),
    )


@contextlib.contextmanager
def few_descriptors():
    """Gives processes that are started within it few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def run_daemon(folder, make_clients, check=lambda clients: None):
    """Runs a crowd against a ``chivelbd`` and checks the process."""

    async def scenario():
        fleet = sites.make_fleet(
            folder,
            zones=["z1"],
            voters=1,
            limits={"header_timeout_s": 60.0, "max_body_bytes": 4 * MIB},
            http={"body_timeout_s": 10.0},
        )
        async with sites.client_session(fleet):
            with few_descriptors():
                sites.start_instances(fleet)
            sites.start_portal(fleet, "portal-1", "z1")
            instance = fleet.instances["z1-1"]
            async with make_session() as session:
                await fleet.wait_ready(session)
                await ask_daemon(session, instance)
                watch = crowds.Watch(instance.process.pid)
                address = ("127.0.0.1", instance.http_port)
                async with watch, crowds.Crowd(make_clients(address)) as crowd:
                    check(crowd.clients)
                    await ask_daemon(session, instance)
                assert watch.is_alive
                assert instance.process.poll() is None
                print(f"peak {watch.peak_mb():.0f} MB, {watch.peak_fds} fds")
                assert watch.peak_mb() < DAEMON_MEMORY_MB
                assert watch.peak_fds < MAX_FDS

    asyncio.run(scenario())


async def ask_daemon(session, instance):
    """Sends one ordinary request of a caller, and one of a load balancer."""
    key = hashlib.sha256(str(time.time_ns()).encode()).hexdigest()
    await ask_until(
        session,
        "POST",
        f"{instance.url}/s/{sites.PORTAL}/look",
        200,
        data=b"meter 1",
        headers=sites.headers(**{"Idempotency-Key": key}),
    )
    await ask_until(session, "GET", f"{instance.url}/ready", 200)


def daemon_head(path):
    key = samples.workspace_key("joinery").encode()
    return crowds.post_head(path, b"Authorization: Bearer " + key)


# Guards against heads without a limit on their sum of bytes at ``chivelbd``.
def test_unfinished_heads_at_a_daemon_are_not_kept(tmp_path):
    run_daemon(
        tmp_path,
        lambda address: clients_of(
            address, 180, lambda: crowds.unfinished_head(8_000, 120)
        ),
    )


# Guards against empty lines being read for ever at ``chivelbd``.
def test_empty_lines_at_a_daemon_end_their_connection(tmp_path):
    run_daemon(
        tmp_path,
        lambda address: clients_of(
            address, 8, lambda: crowds.endless(b"\r\n", 16 * MIB)
        ),
        check_all_ended,
    )


# Guards against bodies of callers, of targets without a key and of operators
# that are kept while the rest of them does not come.
@pytest.mark.parametrize(
    ("path", "count", "body_bytes"),
    [
        (b"/s/fitter-portal/look", 60, 4 * MIB),
        (b"/v1/completions", 60, 4 * MIB),
        (b"/targets/announce", 24, 8 * MIB),
    ],
)
def test_unfinished_bodies_at_a_daemon_have_a_budget(
    tmp_path, path, count, body_bytes
):
    head = daemon_head(path)
    run_daemon(
        tmp_path,
        lambda address: clients_of(
            address,
            count,
            lambda: crowds.unfinished_chunks(head, body_bytes, 16 * KIB),
        ),
    )


# Guards against connections that use up the descriptors of ``chivelbd``.
def test_silent_connections_at_a_daemon_are_limited(tmp_path):
    run_daemon(
        tmp_path, lambda address: clients_of(address, 400, lambda: [b""])
    )
