"""Attempts that a peer makes, over real channels between two instances."""

import asyncio
import contextlib
import random

import builders
from chivelb_core import calls
from chivelb_core import codes
from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import relay_server
from chivelb_node.forwarding import target_paths
from chivelb_node.links import hub as hub_lib
from chivelb_node.wire import authentication
from chivelb_node.wire import relay_messages
import fake_ports
import pytest

STEP_TIMEOUT_S = 10.0
ADDRESS = "127.0.0.1:9000"


class Instance:
    """An instance with a hub and paths to targets.

    Attributes:
        context: Its state; it knows the target ``a``.
        targets: What it reaches by itself.
        relays: Makes attempts for peers.
        paths: Sends attempts.
        peers: Names of its peers.
    """

    def __init__(self, name, *replies, ring=None):
        self.context = builders.make_context(
            a={"service": "lm", "address": ADDRESS}
        )
        self.context.settings.instance.name = name
        self.context.settings.peers.listen = "127.0.0.1:0"
        self.hub = hub_lib.Hub(
            self.context, ring or authentication.KeyRing(None)
        )
        self.targets = fake_ports.FakeTargets(*replies)
        self.relays = relay_server.RelayServer(
            self.context,
            self.targets,
            check_reachability=lambda record: None,
        )
        self.hub.register_channel_handler(self.relays.serve)
        self.peers = []
        self.paths = target_paths.TargetPaths(
            self.context,
            self.targets,
            open_channel=self.hub.open_channel,
            peers_by_zone=lambda: [self.peers],
        )

    @property
    def record(self):
        return self.context.targets.entries["a"].record

    def know(self, other):
        port = other.hub._server.sockets[0].getsockname()[1]
        name = other.context.settings.instance.name
        self.hub.addresses[name] = (f"127.0.0.1:{port}", "z1")
        self.peers.append(name)

    async def send(self, body=b"body", target="/x/", **options):
        now = context_lib.monotonic()
        call = builders.make_call(
            builders.make_routed_document().routes["quote"],
            arrived_at=now,
            deadline=now + 5.0,
            **options,
        )
        message = ports.Message("POST", target, [(b"X-Odd", b"\xff\x00")], body)
        assignment = ports.Assignment(
            self.record, remaining_s=5.0, salt="s", fetch_addresses=["", "b:1"]
        )
        return await self.paths.send(call, message, assignment)


@contextlib.asynccontextmanager
async def instances(*others, **options):
    """Starts an instance without a path to its target, and its peers."""
    cut = Instance("cut", **options)
    cut.context.targets.record_unreachable("a")
    started = [cut, *others]
    for instance in started:
        await instance.hub.start()
    for other in others:
        cut.know(other)
    try:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            yield cut
    finally:
        for instance in started:
            await instance.hub.stop()


async def body_of(reply):
    chunks = [chunk async for chunk in reply.chunks()]
    reply.close()
    return b"".join(chunks)


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def outcome_of(*replies, prepare=lambda peer: None):
    """Returns the outcome of an attempt that fails at the peer."""

    async def run():
        peer = Instance("peer", *replies)
        prepare(peer)
        async with instances(peer) as cut:
            with pytest.raises(calls.AttemptError) as caught:
                await body_of(await cut.send())
            return caught.value.outcome

    return asyncio.run(run())


# Guards against requests or responses that change on their way.
def test_request_and_response_are_passed_on_as_they_are():
    body = bytes(range(256)) * 4_000
    reply = fake_ports.FakeReply(
        body[:7], body[7:], status=201, headers=[(b"X-Seal", b"\xfe")]
    )

    async def run():
        peer = Instance("peer", reply)
        sent = []
        send = peer.targets.send

        async def record(call, message, assignment):
            sent.append((call, message, assignment))
            return await send(call, message, assignment)

        peer.targets.send = record
        async with instances(peer) as cut:
            got = await cut.send(body, "/x/\udcff?q", workspace="w")
            return sent, got, await body_of(got)

    ((call, message, assignment),), got, received = asyncio.run(run())
    assert (got.status, got.headers) == (201, [(b"X-Seal", b"\xfe")])
    assert received == body
    assert message.body == body
    assert message.target == "/x/\udcff?q"
    assert message.headers == [(b"X-Odd", b"\xff\x00")]
    assert (call.request_id, call.workspace) == ("r-1", "w")
    assert (assignment.salt, assignment.fetch_addresses) == ("s", ["", "b:1"])
    assert assignment.record.identity == "a"


def test_events_of_a_stream_arrive_as_they_come():
    async def run():
        reply = fake_ports.FakeReply(b"data: 1\n\n", 3_600.0, is_stream=True)
        async with instances(Instance("peer", reply)) as cut:
            got = await cut.send()
            chunks = got.chunks()
            first = await anext(chunks)
            got.close()
            return got.is_stream, first

    assert asyncio.run(run()) == (True, b"data: 1\n\n")


# Guards against targets that work on for a caller who has left.
@pytest.mark.parametrize("has_begun", [False, True])
def test_a_caller_that_leaves_ends_the_attempt_at_the_peer(has_begun):
    reply = fake_ports.FakeReply(b"x", 3_600.0)

    async def run():
        peer = Instance("peer", reply)
        cancelled = []

        async def never(*_):
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.append(True)

        if not has_begun:
            peer.targets.send = never
        async with instances(peer) as cut:
            task = asyncio.create_task(cut.send())
            if has_begun:
                got = await task
                await anext(got.chunks())
                got.close()
            else:
                await until(lambda: peer.relays.in_progress)
                await asyncio.sleep(0.02)
                task.cancel()
            await until(lambda: not peer.relays.in_progress)
            assert cut.paths.peers.state("peer").in_progress == 0
            return reply.closed or bool(cancelled), peer.context.in_progress

    assert asyncio.run(run()) == (True, 0)


# Guards against responses that pile up in the memory of the peer.
def test_a_caller_that_reads_slowly_slows_the_target_down():
    # Zeros would be packed on their way.
    chunk = random.Random(1).randbytes(262_144)
    reply = fake_ports.FakeReply(*[chunk] * 400)
    pulled = []
    chunks = reply.chunks

    async def count():
        async for data in chunks():
            pulled.append(len(data))
            yield data

    reply.chunks = count

    async def run():
        async with instances(Instance("peer", reply)) as cut:
            got = await cut.send()
            count = -1
            while count != len(pulled):
                count = len(pulled)
                await asyncio.sleep(0.2)
            got.close()
            return count

    assert asyncio.run(run()) < 100


@pytest.mark.parametrize(
    "prepare",
    [
        lambda peer: setattr(peer.context, "draining", True),
        lambda peer: peer.context.targets.entries.clear(),
        lambda peer: peer.context.document.routes.clear(),
        lambda peer: peer.context.reach.record_failure(
            "lm", "a", context_lib.monotonic()
        ),
        lambda peer: setattr(peer.relays, "in_progress", 10**6),
        lambda peer: peer.context.buffers.add(10**9),
    ],
    ids=[
        "stopping",
        "unknown target",
        "unknown route",
        "cut off",
        "full",
        "buffers full",
    ],
)
def test_a_peer_that_refuses_is_followed_by_another_one(prepare):
    async def run():
        refusing = Instance("refusing")
        prepare(refusing)
        serving = Instance("serving", fake_ports.FakeReply(b"ok"))
        async with instances(refusing, serving) as cut:
            cut.paths.peers.state("serving").in_progress = 1
            body = await body_of(await cut.send())
            return body, refusing.targets.sent

    assert asyncio.run(run()) == (b"ok", [])


# Guards against bodies from peers that are part of no budget.
def test_a_relayed_body_is_part_of_the_budget_until_its_attempt_ends():
    async def run():
        peer = Instance("peer", fake_ports.FakeReply(b"ok", 0.2, b"end"))
        buffers = peer.context.buffers
        async with instances(peer) as cut:
            reply = await cut.send(body=b"b" * 1_000_000)
            assert buffers.used_bytes >= 1_000_000
            assert await body_of(reply) == b"okend"
            await until(lambda: buffers.used_bytes == 0)

    asyncio.run(run())


def test_without_a_willing_peer_the_request_provably_did_not_run():
    outcome = outcome_of(
        prepare=lambda peer: setattr(peer.context, "draining", True)
    )
    assert outcome.kind is calls.OutcomeKind.NOT_RUN
    assert outcome.code is codes.TARGET_UNREACHABLE


@pytest.mark.parametrize("crashed", [False, True])
def test_the_outcome_at_the_target_is_that_of_the_attempt(crashed):
    outcome = outcome_of(fake_ports.unknown(target_crashed=crashed))
    assert outcome.kind is calls.OutcomeKind.UNKNOWN
    assert outcome.code is codes.OUTCOME_UNKNOWN
    assert outcome.target_crashed is crashed
    outcome = outcome_of(fake_ports.not_run(codes.TARGET_REPLACED))
    assert outcome.kind is calls.OutcomeKind.NOT_RUN
    assert outcome.code is codes.TARGET_REPLACED


# Guards against a second run of a request, and against sound requests that are
# suspected, when a peer is killed.
@pytest.mark.parametrize("has_head", [False, True])
def test_a_peer_that_dies_leaves_the_outcome_unknown(has_head):
    async def run():
        reply = fake_ports.FakeReply(b"x", 3_600.0)
        peer = Instance("peer", reply)
        if not has_head:
            peer.targets.send = lambda *_: asyncio.Event().wait()
        async with instances(peer) as cut:
            task = asyncio.create_task(cut.send())
            await until(lambda: peer.relays.in_progress)
            if has_head:
                got = await task
                task = asyncio.create_task(body_of(got))
            await asyncio.sleep(0.02)
            await peer.hub.stop()
            with pytest.raises(calls.AttemptError) as caught:
                await task
            return caught.value.outcome

    outcome = asyncio.run(run())
    assert outcome.kind is calls.OutcomeKind.UNKNOWN
    assert not outcome.target_crashed


# Guards against hops from peer to peer.
def test_a_peer_without_a_connection_to_the_target_asks_nobody_else():
    def mark(peer):
        peer.context.targets.record_unreachable("a")

    outcome = outcome_of(fake_ports.FakeReply(b"never"), prepare=mark)
    assert outcome.kind is calls.OutcomeKind.NOT_RUN
    assert outcome.code is codes.TARGET_UNREACHABLE


# Guards against calls that are passed from peer to peer for a target that has
# stopped: it looks idle while the others are full.
def test_a_target_that_no_peer_reached_is_not_asked_for_at_once():
    async def run():
        peer = Instance("peer")
        peer.context.targets.record_unreachable("a")
        async with instances(peer) as cut:
            opened = []
            open_channel = cut.paths.open_channel
            cut.paths.open_channel = lambda name: (
                opened.append(name) or open_channel(name)
            )
            for _ in range(2):
                with pytest.raises(calls.AttemptError) as caught:
                    await cut.send()
            assert caught.value.outcome.kind is calls.OutcomeKind.NOT_RUN
            table = cut.context.targets
            now = context_lib.monotonic()
            later = now + target_paths.NO_PATH_RETRY_S
            return opened, table.has_path("a", now), table.has_path("a", later)

    assert asyncio.run(run()) == (["peer"], False, True)


# Guards against a target that stays without a path because a peer could make no
# attempts for another reason.
def test_a_peer_that_is_stopping_tells_nothing_of_the_target():
    async def run():
        peer = Instance("peer")
        peer.context.draining = True
        async with instances(peer) as cut:
            with pytest.raises(calls.AttemptError):
                await cut.send()
            return cut.context.targets.has_path("a", context_lib.monotonic())

    assert asyncio.run(run())


def test_a_channel_with_another_key_is_refused(tmp_path):
    key_file = tmp_path / "keys"
    key_file.write_text(f"open = {'ab' * 16}\n")

    async def run():
        peer = Instance("peer", fake_ports.FakeReply(b"never"))
        ring = authentication.KeyRing(key_file)
        async with instances(peer, ring=ring) as cut:
            channel = await cut.hub.open_channel("peer")
            return channel, peer.targets.sent

    assert asyncio.run(run()) == (None, [])


def test_what_is_reached_is_sent_directly():
    async def run():
        peer = Instance("peer")
        async with instances(peer) as cut:
            cut.context.targets.record_reached("a")
            cut.targets.replies.append(fake_ports.FakeReply(b"ok"))
            return await body_of(await cut.send())

    assert asyncio.run(run()) == b"ok"


# Guards against an instance that can't stop because a peer has opened a channel
# and is silent, or sends half a request.
@pytest.mark.parametrize("body_bytes", [None, 10])
def test_a_peer_that_sends_no_whole_request_is_dropped(body_bytes, monkeypatch):
    monkeypatch.setattr(relay_server, "REQUEST_TIMEOUT_S", 0.05)

    async def run():
        peer = Instance("peer", fake_ports.FakeReply(b"never"))
        async with instances(peer) as cut:
            channel = await cut.hub.open_channel("peer")
            if body_bytes is not None:
                await channel.send(make_request(body_bytes))
            ended = await channel.receive()
            return ended, peer.context.in_progress, peer.targets.sent

    assert asyncio.run(run()) == (None, 0, [])


def make_request(body_bytes):
    return relay_messages.RelayRequest(
        request_id="r-1",
        route="quote",
        workspace="w",
        has_workspace=True,
        priority=0,
        has_prompt=False,
        identity="a",
        incarnation=1,
        remaining_s=5.0,
        weight_version=0,
        salt="",
        fetch_addresses=[],
        save_addresses=[],
        resume_after="",
        method="POST",
        request_target=b"/x/",
        headers=[],
        body_bytes=body_bytes,
    )
