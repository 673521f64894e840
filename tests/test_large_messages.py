"""Messages that grow with what they carry, and services that crash.

Fault pattern: the leader sends a new member all that it lacks in one message,
which is larger than a message may be. Its voter ends for good while the rest
of its process goes on, so that the control group has no leader any more.
"""

import asyncio
import random

import builders
from chivelb_core.document import deltas as deltas_lib
from chivelb_core.document import state as state_lib
from chivelb_core.testing import control_group
from chivelb_node.control import commands
from chivelb_node.control import voter_client as voter_client_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.wire import authentication
from chivelb_node.wire import codec
from chivelb_node.wire import messages
from chivelb_platform import boot as boot_lib
from chivelb_platform import cli
import mode
import pytest
import replicas

PEERS = ("a", "b", "c")
ENTRY_BYTES = 22_000
TOO_LARGE = bytes(random.Random(1).randbytes(codec.MAX_MESSAGE_BYTES + 1))


class EncodedGroup(control_group.ControlGroupSimulation):
    """Control group whose messages are encoded as they are on the wire."""

    def _send(self, name, message):
        codec.encode(codec.Envelope(message))
        super()._send(name, message)


def propose_entries(group, count, size):
    for _ in range(count):
        assert group.propose(group.converge(), group.rng.randbytes(size))


# Guards against a leader that fails for good as a member without a log joins,
# because the entries that it lacks are more than one message may hold.
@pytest.mark.parametrize("entry_bytes", [ENTRY_BYTES, 900_000])
def test_a_member_that_lost_its_disk_catches_up_with_a_large_log(entry_bytes):
    group = EncodedGroup(seed=21, names=PEERS)
    propose_entries(group, 6_000_000 // entry_bytes, entry_bytes)
    group.lose_disk("b")
    leader = group.converge()
    assert (
        group.voters["b"].log.last_index == group.voters[leader].log.last_index
    )


# Guards against one peer's message that ends the loop that serves all peers.
def test_a_message_that_is_too_large_is_dropped_and_its_sender_goes_on():
    async def run():
        hub = make_hub()
        hub.links["peer"] = None
        body = messages.FullDocument(1, TOO_LARGE)
        hub.send("peer", body)
        hub.broadcast(["peer"], body)
        async with asyncio.timeout(10):
            reply = await hub.request("peer", body, 3_600.0)
        counted = hub.context.metrics.peer_frames.labels("too_large")
        return reply, counted._value.get()

    assert asyncio.run(run()) == (None, 3.0)


def make_hub():
    return hub_lib.Hub(builders.make_context(), authentication.KeyRing(None))


class RecordingLink:
    """Link whose frames are kept instead of written."""

    peer = "peer"


# Guards against a peer that waits for its time-out, and a link that is closed
# and opened again and again, because the reply is too large.
def test_a_reply_that_is_too_large_becomes_a_refusal(monkeypatch):
    hub = make_hub()
    sent = []
    monkeypatch.setattr(
        hub, "_send_encoded", lambda peer, data: sent.append(data)
    )
    hub.links["peer"] = RecordingLink()
    request = codec.Envelope(messages.Pull(1), request_id=7)
    hub._reply(RecordingLink(), request, messages.FullDocument(1, TOO_LARGE))
    (envelope,) = map(codec.decode, sent)
    assert envelope.reply_to == 7
    assert isinstance(envelope.body, messages.Refusal)


class CrashingService(mode.Service):
    """Crashes as soon as it runs."""

    @mode.Service.task
    async def _crash(self):
        raise ValueError("service under test crashed")


# Guards against a program that goes on without one of its services, so that
# its supervisor never starts it again.
def test_the_platforms_program_ends_when_one_of_its_services_crashes(
    monkeypatch,
):
    context = builders.make_context()
    gossip = gossip_lib.Gossip(context, make_hub())
    monkeypatch.setattr(
        cli, "make_services", lambda *_: (context, [gossip, CrashingService()])
    )
    boot = boot_lib.PlatformSettings(
        node_name="n1",
        ip="127.0.0.1",
        zone="z1",
        region="r",
        listen=boot_lib.Listen(),
        internal_ports=(1, 2),
        seeds=[],
    )

    async def run():
        async with asyncio.timeout(10):
            return await cli.serve(boot)

    assert asyncio.run(run()) == cli.EXIT_CRASH


class UnusedHub:
    """Fails if anything is sent."""

    def register_handler(self, message_type, handler):
        pass

    async def connect(self, peer):
        raise AssertionError(f"connects to {peer}")

    request = connect


# Guards against a change that no message may carry and that is therefore
# neither accepted nor refused, or that stops the log for all that follow it.
def test_a_command_that_no_message_may_carry_is_refused_at_once():
    context = builders.make_context()
    context.settings.control.voters = ["v1"]
    client = voter_client_lib.VoterClient(context, UnusedHub())
    change = builders.make_change(author="x" * commands.MAX_COMMAND_BYTES)
    result = asyncio.run(client.submit_change(change))
    assert result.code.name == "change_too_large"
    assert str(commands.MAX_COMMAND_BYTES) in result.detail
    with pytest.raises(commands.CommandTooLargeError):
        asyncio.run(client.submit_command("replace", TOO_LARGE, 5.0))


# Guards against a limit on commands that an encoded append still exceeds.
def test_the_largest_command_fits_into_a_message():
    alternating = (b"\xff" * 8 + b"\xff" * 7 + b"\0") * (
        commands.MAX_COMMAND_BYTES // 16
    )
    entry = control_group.log_lib.Entry(1, 1, "replace", alternating)
    append = control_group.consensus.messages.Append(
        "a/1", "b/1", 1, 0, 0, [entry], 0, 1
    )
    codec.encode(codec.Envelope(append))


def make_replica_with_large_history():
    """Returns a replica whose history exceeds what a message may hold."""
    by_name, _ = replicas.make_replicas(replicas.make_members(1, 1))
    replica = by_name["core-0"]
    rng = random.Random(2)
    state = builders.make_document_state()
    state.version = 301
    state.history = [
        deltas_lib.encode_delta(
            deltas_lib.DocumentDelta(version, f"c{version}", author, [])
        )
        for version in range(2, state.version + 1)
        for author in [rng.randbytes(10_000).hex()]
    ]
    replica.context.apply_document_state(state)
    return replica


# Guards against an instance that never gets a document, because the history
# that is sent with it is more than a message may hold.
@pytest.mark.parametrize("have", [0, 2])
def test_a_document_is_sent_with_as_much_history_as_a_message_may_hold(have):
    replica = make_replica_with_large_history()
    reply = replica._on_pull("front-0", messages.Pull(have))
    assert len(codec.encode(codec.Envelope(reply))) < codec.MAX_MESSAGE_BYTES
    assert isinstance(reply, messages.FullDocument)
    state = state_lib.decode_document_state(reply.payload)
    assert state.version == replica.context.version
    assert state.history[-1] == replica.context.document_state.history[-1]
