"""Many answers without end at once leave an entry alive and serving.

Each test starts the programs of the platform, on a small machine, and a target
that sends without end on hundreds of connections. The verdict is what does not
depend on the machine's speed: the process lives within the memory of its
machine, and an ordinary call to a sound target is answered meanwhile.
"""

import asyncio
import contextlib
import json

import crowds
import endless_crowds
import pytest
import test_untrusted_clients

pytestmark = pytest.mark.xdist_group("untrusted")

# The machine of the entry, as the platform describes it to the process: the
# smallest of the deployments.
MEMORY_MB, MAX_FDS = 128, 4_100
CALLS = 300
SOURCES = 40
FRONT_IP = test_untrusted_clients.FRONT_IP
SERVICES = [
    {"Name": "a", "MaxConnections": 1_000},
    {"Name": "endless", "MaxConnections": 1_000},
    {
        "Name": "lm",
        "MaxConnections": 1_000,
        "Engine": {
            "Slots": 8,
            "KvCapacity": 100_000,
            "KvTokenBytes": 35_136,
            "LinkMbps": 100_000.0,
            "Models": [{"Name": "m"}],
        },
    },
]


def make_document(kind):
    routes = [
        {
            **test_untrusted_clients.make_route(service["Name"], "a"),
            "Service": service["Name"],
            "Kind": kind if service["Name"] == "endless" else "unsafe",
        }
        for service in SERVICES
    ]
    limits = {"HeaderTimeoutMs": 60_000, "IdleTimeoutMs": 60_000}
    return {
        "Version": 1,
        "Routes": routes,
        "Services": SERVICES,
        "Limits": limits,
    }


class Platform(test_untrusted_clients.Platform):
    """An entry and a control instance on machines of many descriptors."""

    limits = {"MemoryMb": MEMORY_MB, "MaxFds": MAX_FDS}

    async def announce(self, session, service, identity, address):
        beat = {
            "Service": service,
            "Address": address,
            "Zone": "z1",
            "Slots": 1_000,
            "State": "ready",
            "Version": "v1",
            "Sequence": 1,
        }
        url = f"http://{self.pair.seed}/instances/{identity}/heartbeat"
        await test_untrusted_clients.ask_until(
            session, "POST", url, 200, json=beat
        )

    @contextlib.asynccontextmanager
    async def running_with(self, targets, kind):
        """Yields the entry and a session, with targets by service."""
        url = f"http://{self.pair.seed}"
        async with contextlib.AsyncExitStack() as stack:
            _, entry = await stack.enter_async_context(self.pair.running())
            session = await stack.enter_async_context(
                test_untrusted_clients.make_session()
            )
            for number, (service, target) in enumerate(targets):
                address = await stack.enter_async_context(
                    target.serve(FRONT_IP)
                )
                await self.announce(
                    session, service, f"{service}-{number}", address
                )
            await test_untrusted_clients.ask_until(
                session,
                "POST",
                f"{url}/configuration/replace",
                200,
                data=json.dumps(make_document(kind)).encode(),
            )
            await self.ask_entry(session)
            yield entry, session


def run(folder, targets, *, kind="streaming", calls=CALLS, reads=True):
    """Runs calls to a target without end, and checks the entry."""

    async def scenario():
        platform = Platform(folder)
        sound = ("a", crowds.StubTarget())
        async with platform.running_with([sound, *targets], kind) as (
            entry,
            session,
        ):
            watch = crowds.Watch(entry.pid)
            clients = [
                crowds.Client(
                    platform.front,
                    [
                        crowds.post_head(
                            b"/endless/x",
                            b"Content-Length: 0",
                            b"X-Request-Id: r-%d" % number,
                        )
                    ],
                    reads=reads,
                )
                for number in range(calls)
            ]
            async with watch, crowds.Crowd(clients):
                for _ in range(10):
                    await platform.ask_entry(session)
                    await asyncio.sleep(0.3)
            assert watch.is_alive
            assert entry.returncode is None
            print(f"peak {watch.peak_mb():.0f} MB, {watch.peak_fds} fds")
            assert watch.peak_mb() < MEMORY_MB

    asyncio.run(scenario())


# Guards against what one attempt may keep, times the attempts at a faulty
# target: heads, responses to other requests, an event, buffers of bodies.
@pytest.mark.parametrize(
    "pieces",
    [
        endless_crowds.head_without_end,
        endless_crowds.interim_responses,
        endless_crowds.responses_to_others,
        endless_crowds.held_responses_to_others,
        endless_crowds.held_head,
        endless_crowds.event_without_end,
        endless_crowds.held_event,
    ],
    ids=lambda pieces: pieces.__name__,
)
def test_answers_without_end_on_many_connections(tmp_path, pieces):
    run(tmp_path, [("endless", endless_crowds.EndlessTarget(pieces))])


# Guards against what is read ahead for callers that do not read.
@pytest.mark.parametrize(
    ("kind", "pieces"),
    [
        ("streaming", endless_crowds.events_without_end),
        ("streaming", endless_crowds.event_without_end),
        ("safe", endless_crowds.body_without_end),
        ("unsafe", endless_crowds.body_without_end),
    ],
)
def test_bodies_without_end_for_callers_that_do_not_read(
    tmp_path, kind, pieces
):
    target = endless_crowds.EndlessTarget(pieces)
    run(tmp_path, [("endless", target)], kind=kind, reads=False)


# Guards against pages of cache events that many targets send at once, decoded
# beside their bytes: one page may have many times the memory that is left.
@pytest.mark.parametrize("size", [None, 0.2, 0.4, 0.8, 1.7, 15])
def test_pages_of_cache_events_of_many_targets(tmp_path, size):
    page = None
    if size is not None:
        page = endless_crowds.encode_page(int(size * crowds.MIB))
    targets = [
        ("lm", endless_crowds.EndlessTarget(None, page=page))
        for _ in range(SOURCES)
    ]
    run(tmp_path, targets, calls=0)
