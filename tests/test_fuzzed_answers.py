"""Generated answers of runners and heartbeats end nothing.

The number of inputs is ``CHIVELB_FUZZ_EXAMPLES`` for each test.
"""

import asyncio
import json
import os
import random

import builders
from chivelb_core import targets
from chivelb_core.forwarding import request_limits
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_core.rollout import polled_rollout
from chivelb_node.links import http_connection
from chivelb_node.links import part_events
from chivelb_node.links import target_replication
from chivelb_node.wire import codec
from chivelb_node.wire import messages
from chivelb_platform import cache_event_client
from chivelb_platform import control_api
from chivelb_platform import headers
from chivelb_platform import runner_client
import fake_ports
import hypothesis
from hypothesis import strategies as st
import replicas
import test_part_events

EXAMPLES = int(os.environ.get("CHIVELB_FUZZ_EXAMPLES", "300"))
EDGES = [0, 1, -1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1, 2**64, 2**128]
integers = st.one_of(st.integers(), st.sampled_from(EDGES), st.integers(0, 20))
texts = st.one_of(
    st.text(max_size=8),
    st.sampled_from(["", "h:1", "h", "h:\u00b2", "\x00:1", "x" * 2_000]),
)
values = st.recursive(
    st.one_of(st.none(), st.booleans(), integers, st.floats(), texts),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(texts, inner, max_size=3),
    ),
    max_leaves=4,
)


def encode(value):
    return json.dumps(value).encode("utf-8", "surrogatepass")


def bodies(sound):
    """Returns sound bodies with some fields replaced or left out, and bytes."""

    def mutate(changes):
        body = {**sound, **changes}
        return encode({k: v for k, v in body.items() if v != "left out"})

    value = st.one_of(st.just("left out"), integers, texts, values)
    return st.one_of(
        st.dictionaries(
            st.sampled_from(sorted(sound)), value, min_size=1, max_size=3
        ).map(mutate),
        values.map(encode),
        st.binary(max_size=40),
        st.just(encode(sound)),
        st.just(b'{"x":' + b"[" * 100_000),
    )


fuzz = hypothesis.settings(
    derandomize=True,
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
HEARTBEAT = {
    "Service": "s",
    "Address": "10.1.0.9:5",
    "Zone": "z1",
    "Slots": 4,
    "State": "ready",
    "Sequence": 7,
    "Version": "v1",
    "born": 11,
    "Models": [{"Name": "lm", "Version": 2}],
}
models = st.fixed_dictionaries({"Name": texts, "Version": integers})
(MEMBER,) = replicas.make_members(1, 0)


def make_replication():
    context = builders.make_context(sound={"weight_version": "1"})
    return target_replication.TargetReplication(
        context,
        replicas.MemoryHub(MEMBER.name, replicas.MemoryNetwork()),
        replicas.StaticGossip([MEMBER], MEMBER.name, random.Random(1)),
    )


# Guards against a heartbeat that ends a process that lists, sends or orders.
@fuzz
@hypothesis.given(
    st.text(max_size=12),
    st.one_of(
        bodies(HEARTBEAT),
        st.lists(models, max_size=2).map(
            lambda listed: encode({**HEARTBEAT, "Models": listed})
        ),
    ),
)
def test_no_heartbeat_ends_what_lists_it(identity, body):
    try:
        record = control_api.decode_heartbeat(identity, body)
    except control_api.HeartbeatError:
        return
    replication = make_replication()
    asyncio.run(replication.apply_announcement(record))
    asyncio.run(replication.mark_leaving(record.identity))
    listed = replication._on_digest("peer", messages.TargetDigest(0))
    decoded = codec.decode(codec.encode(codec.Envelope(listed))).body
    make_replication()._on_target_updates("peer", decoded)
    table = replication.context.targets
    assert not any(map(targets.validate_listed_record, decoded.records))
    assert "sound" in table.entries
    assert table.is_eligible("sound", 1e9)
    state = polled_rollout.PolledRollout("lm")
    state.observe([e.record for e in table.entries.values()], 2)


class Client(cache_event_client.CacheEventClient):
    """Takes its responses from lists in place of sources."""

    def __init__(self, pages, listing):
        super().__init__(None)
        self.pages = list(pages)
        self.listing = listing
        self.done = asyncio.Event()

    async def _get(self, address, path, header_lines, timeout_s):
        if path == "/kv-list":
            return 200, self.listing
        if not self.pages:
            self.done.set()
            await asyncio.Event().wait()
        return 200, self.pages.pop(0)


PAGE = {"Epoch": 7, "Next": 2, "Lost": False, "Events": []}
LISTING = {"Epoch": 7, "Next": 9, "Held": [["s", "p", 4, "m"]]}
events = st.lists(
    st.tuples(integers, texts, texts, texts, integers, texts), max_size=3
).map(lambda listed: encode({**PAGE, "Events": listed}))
held = st.lists(st.tuples(texts, texts, integers, texts), max_size=3).map(
    lambda listed: encode({**LISTING, "Held": listed})
)


# Guards against a page or a listing that ends the process that follows it.
@fuzz
@hypothesis.given(
    st.lists(st.one_of(bodies(PAGE), events), min_size=1, max_size=4),
    st.one_of(bodies(LISTING), held),
)
def test_no_page_ends_what_follows_it(pages, listing):
    async def run():
        hub, client = test_part_events.FakeHub(), Client(pages, listing)
        follower, peer = (
            part_events.CacheEventFollower(
                builders.make_context(), hub, test_part_events.FakeGossip(), c
            )
            for c in (client, None)
        )
        follower.directory.apply_listing(
            "sound:1",
            epoch=1,
            until=1,
            held=[parts_lib.PartUpdate("a", 5)],
            now=0.0,
        )
        task = asyncio.create_task(follower._follow("h:1"))
        done = asyncio.create_task(client.done.wait())
        await asyncio.wait([task, done], return_when="FIRST_COMPLETED")
        assert not task.done(), task.exception()
        task.cancel()
        follower._flush_updates()
        for message in hub.sent:
            body = codec.decode(codec.encode(codec.Envelope(message))).body
            if isinstance(body, messages.PartUpdateBatch):
                peer.add_future = lambda coroutine: coroutine.close()
                peer._on_batch("i2", body)
        for directory in (follower.directory, peer.directory):
            directory.check_invariants()
        assert follower.directory.complete_sources("a", 5) == ["sound:1"]
        for address in list(follower.directory.sources):
            follower.directory._clear(follower.directory.source(address))

    part_events.RETRY_DELAY_S, before_s = 0.0, part_events.RETRY_DELAY_S
    part_events.POLL_DELAY_S, poll_s = 0.0, part_events.POLL_DELAY_S
    try:
        asyncio.run(run())
    finally:
        part_events.RETRY_DELAY_S = before_s
        part_events.POLL_DELAY_S = poll_s


REPORT = {
    "Models": [{"Name": "lm", "Version": 1}],
    "Busy": False,
    "Sequence": 1,
    "Running": 0,
    "Queued": 0,
}
reports = st.one_of(
    bodies(REPORT),
    st.lists(models, max_size=2).map(
        lambda listed: encode({**REPORT, "Models": listed})
    ),
)


class Runner(runner_client.RunnerClient):
    """Takes the answers to its requests from a body in place of a runner."""

    def __init__(self, body):
        super().__init__(None, "i1")
        self.body = body

    async def _call(self, record, method, path, body):
        return 200, self.body


# Guards against a report that ends the controller that orders by it.
@fuzz
@hypothesis.given(reports)
def test_no_report_ends_the_controller(body):
    async def run():
        client, record = Runner(body), builders.make_record("r")
        report = await client.get_report(record, "lm")
        if report is None:
            return
        order = polled_rollout.LoadOrder("r", 2, report.accepted_orders)
        assert await client.send_order(record, "lm", order, 1) == "200"
        hold = messages.TargetHold("r", 1, 0.0, str(report.version))
        make_replication()._on_hold("peer", hold)
        codec.encode(codec.Envelope(hold))

    asyncio.run(run())


names = st.sampled_from(
    [b"Server-Limit", b"Server-Brittle", b"Retry-After", b"Server-Leaving"]
)
header_values = st.one_of(
    st.binary(max_size=24),
    integers.map(lambda number: str(number).encode()),
    st.floats().map(lambda number: repr(number).encode()),
    st.sampled_from([b"\xb2", b"9" * 20, b"9" * 5_000, b".", b"1e400", b""]),
)


# Guards against a signal of a target that ends what obeys it.
@fuzz
@hypothesis.given(
    st.lists(st.tuples(names, header_values), max_size=4),
    st.sampled_from([200, 429, 503]),
)
def test_no_signal_ends_what_obeys_it(raw_headers, status):
    head = http_connection.Head(status, tuple(raw_headers), False, 1.0)
    signals = headers.decode_signals(head)
    for values in (signals.limits, signals.brittle):
        try:
            rate_per_s = request_limits.parse_limit(values)
        except request_limits.LimitError:
            continue
        assert rate_per_s is None or 0 <= rate_per_s < 1e21
    context = builders.make_context(r={}, sound={"address": "h:2"})
    record = context.targets.entries["r"].record
    fake_ports.make_signals(context).record_answer(record, signals, 0.0)
    assert context.targets.entries["r"].resting_until < 1e9
    assert "sound" in context.targets.entries
    for _, value in raw_headers:
        http_connection._parse_idle_timeout(b"timeout=" + value)
