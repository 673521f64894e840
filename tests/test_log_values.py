"""Values from outside in log lines, and in the requests that they come from.

Fault pattern: a header may hold any bytes; those that are no UTF-8 can't be
encoded in a log line, and the error ends a request or a periodic task.
"""

import asyncio
import json
import random
import socket

import aiohttp
import builders
from chivelb_core.kv_cache import parts
from chivelb_node import context as context_lib
from chivelb_node.forwarding import admission
from chivelb_node.forwarding import placement
from chivelb_node.telemetry import logs
import crowds
import hypothesis
from hypothesis import strategies as st
import pytest
import test_programs

HEAD_SEED = 60
HEADS = 10_000
HEADS_AT_ONCE = 50
UNANSWERED_S = 0.5
ERROR_EVENTS = {
    "service crashed; exiting",
    "unhandled error in request handler",
    "waiting calls not updated",
}
ANSWER_DELAY_S = 0.003
NAMES = (
    b"X-Request-Id",
    b"Resumes",
    b"Last-Event-ID",
    b"X-Model",
    b"X-Prefix-Hash",
    b"X-Token-Usage",
    b"X-Deadline-Ms",
    b"X-Other",
)
# A route that needs no key, to a target that takes few calls at a time, so that
# others wait.
DOCUMENT = {
    **test_programs.DOCUMENT,
    "Routes": [{**test_programs.DOCUMENT["Routes"][0], "Public": True}],
    "Services": [{"Name": "s", "MaxConnections": 2}],
}
BEAT = {
    "Service": "s",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
}

values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters())
    | st.text(st.characters(categories=["Cs"]), min_size=1)
    | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(st.characters()), inner, max_size=3)
    ),
    max_leaves=5,
)


# Guards against a value that ends whoever logs it (review/8).
@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(st.dictionaries(st.text(st.characters()), values, max_size=4))
def test_any_value_is_a_line_of_bounded_length(event):
    line = logs._render(None, "info", {"event": "e", **event})
    assert json.loads(line)["event"] == event.get("event", "e")
    assert b"\n" not in line
    assert len(line) <= logs.MAX_LINE_BYTES


@pytest.mark.parametrize(
    "value",
    ["\udce9", "a" * 100_000, [["\udce9"]], 10**5_000],
    ids=["odd", "long", "nested", "number"],
)
def test_a_value_that_is_odd_or_long_stays_readable(value):
    event = {"event": "e", "request_id": value, "running": 3}
    line = logs._render(None, "info", event)
    decoded = json.loads(line)
    assert decoded["running"] == 3
    assert decoded["request_id"].startswith(("\\udce9", "aaa", "[[", "0x"))
    assert len(decoded["request_id"]) <= 6 * logs.MAX_VALUE_LENGTH


def make_queue():
    record = {
        "service": "lm",
        "address": "127.0.0.1:9000",
    }
    context = builders.make_context(runner=record)
    policy = placement.PlacementPolicy(context, parts.PartDirectory())
    return admission.AdmissionQueue(
        context, policy, is_refused=lambda call, now: False
    )


# Guards against load that stays counted at a target for a call that has ended
# with an error, so that the target counts as full.
def test_a_reservation_is_released_if_its_placement_cant_be_logged(monkeypatch):
    def fail(*arguments):
        raise ValueError("not to be logged")

    async def run():
        queue = make_queue()
        monkeypatch.setattr(queue, "_log_placement", fail)
        call = builders.make_call(
            builders.make_routed_document().routes["quote"],
            arrived_at=context_lib.monotonic(),
            deadline=context_lib.monotonic() + 5.0,
        )
        with pytest.raises(ValueError, match="not to be logged"):
            await queue.reserve(call)
        loads = [
            queue.context.load.load(identity).own_running
            for identity in queue.context.targets.entries
        ]
        assert loads
        assert not any(loads)

    asyncio.run(run())


# Guards against one bad entry that ends the task for all waiting calls.
def test_a_queue_that_fails_does_not_end_the_others(monkeypatch):
    updated = []

    def update(self, service, waiting_list):
        updated.append(service)
        raise ValueError(service)

    monkeypatch.setattr(admission.AdmissionQueue, "_update_queue", update)
    queue = make_queue()
    for service in ("a", "b"):
        queue._waiting_list(service)
    queue.update_queues()
    assert updated == ["a", "b"]


def make_head(rng):
    """Returns a request whose headers hold bytes of any kind."""
    target = b"/a/" + bytes(
        byte for byte in rng.randbytes(rng.randint(0, 8)) if byte > 0x20
    )
    if rng.random() < 0.8:
        target = b"/a/x"
    host = b"h.example" if rng.random() < 0.9 else rng.randbytes(9)
    lines = [
        rng.choice((b"GET ", b"POST ")) + target + b" HTTP/1.1",
        b"Host: " + host,
    ]
    for name in rng.sample(NAMES, rng.randint(0, 4)):
        size = rng.choice((0, 1, 8, 40, 2_000))
        value = rng.randbytes(size)
        if rng.random() < 0.9:
            value = bytes(byte for byte in value if byte >= 0x20)
        lines.append(name + b": " + value)
    return b"\r\n".join([*lines, b"Content-Length: 0", b"", b""])


async def send_heads(address, heads):
    """Sends each head on a connection of its own."""
    loop = asyncio.get_running_loop()
    for head in heads:
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            try:
                await loop.sock_sendall(sock, head)
                async with asyncio.timeout(UNANSWERED_S):
                    await loop.sock_recv(sock, 65_536)
            except (OSError, TimeoutError):
                pass


async def prepare(pair, session, target):
    """Waits until the entry serves calls by a target."""
    control = f"http://{pair.seed}"
    beat = {**BEAT, "Address": target, "Sequence": 1}
    for path, content in (
        ("/instances/i/heartbeat", beat),
        ("/configuration/replace", DOCUMENT),
    ):
        await test_programs.request_until(
            session, "POST", control + path, 200, json=content
        )
    front = f"http://{test_programs.ENTRY_IP}:{pair.front}/a/x"
    headers = {"Host": "h.example", "X-Request-Id": "first"}
    await test_programs.request_until(
        session, "GET", front, 200, headers=headers
    )


# Guards against a head of any bytes that ends a process, or its own request
# with an error that nobody expects.
@pytest.mark.xdist_group("untrusted")
def test_heads_of_any_bytes_end_no_process(tmp_path):
    rng = random.Random(HEAD_SEED)
    heads = [make_head(rng) for _ in range(HEADS)]

    async def scenario():
        pair = test_programs.InstancePair(tmp_path)
        async with (
            pair.running() as (control, entry),
            crowds.StubTarget(delay_s=ANSWER_DELAY_S).serve(
                test_programs.ENTRY_IP
            ) as target,
            aiohttp.ClientSession() as session,
        ):
            await prepare(pair, session, target)
            addresses = [
                (test_programs.ENTRY_IP, pair.front),
                (test_programs.CONTROL_IP, pair.control),
            ]
            await asyncio.gather(
                *(
                    send_heads(
                        addresses[lane % 2], heads[lane // 2 :: HEADS_AT_ONCE]
                    )
                    for lane in range(2 * HEADS_AT_ONCE)
                )
            )
            assert control.returncode is None
            assert entry.returncode is None
        for ip in (test_programs.ENTRY_IP, test_programs.CONTROL_IP):
            log = (tmp_path / f"{ip}.log").read_text()
            assert log
            assert [event for event in ERROR_EVENTS if event in log] == []

    asyncio.run(scenario())
