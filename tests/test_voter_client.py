"""Commands to the control group, whoever leads it.

Fault pattern: the group has grown beyond the configured voters, and after the
loss of the leader one of the instances that joined later leads it.
"""

import asyncio
import types

import builders
from chivelb_core import codes
from chivelb_core.document import results as results_lib
from chivelb_node.control import voter_client as voter_client_lib
from chivelb_node.wire import messages
import msgspec
import pytest

CONFIGURED = ["v1", "v2", "v3"]
RESULT = msgspec.msgpack.encode(results_lib.ChangeResult(0, 7, "digest"))


class FakeHub:
    """Reaches all instances; only the leader applies commands."""

    def __init__(self, leader):
        self.leader = leader
        self.asked = []

    def register_handler(self, message_type, handler):
        pass

    async def connect(self, peer):
        return True

    async def request(self, peer, body, timeout_s):
        self.asked.append(peer)
        if isinstance(body, messages.ReadRequest):
            return messages.ReadReply(peer == self.leader, 7, self.leader)
        return messages.CommandReply(peer == self.leader, 7, self.leader)


def make_client(leader, group=()):
    context = builders.make_context()
    context.settings.control.voters = CONFIGURED
    hub = FakeHub(leader)
    client = voter_client_lib.VoterClient(context, hub)
    if group:
        client.voter_service = types.SimpleNamespace(
            voter_names=lambda: list(group)
        )
    return client, hub


@pytest.mark.parametrize("leader", ["v2", "v5"])
def test_a_command_reaches_the_leader_that_the_voters_name(leader):
    client, hub = make_client(leader)
    assert asyncio.run(client.submit_command("replace", b"", 2.0))
    assert hub.asked[-1] == leader
    hub.asked.clear()
    assert asyncio.run(client.submit_command("replace", b"", 2.0))
    assert hub.asked == [leader]


def test_a_read_reaches_a_leader_that_joined_later():
    client, _ = make_client("v5", group=("v4", "v5", "v1"))
    assert asyncio.run(client.read_linearizable_version()) == 7


def test_voters_of_the_group_are_asked_if_no_configured_one_is_left():
    client, hub = make_client("v6", group=("v6", "v7"))
    assert asyncio.run(client.submit_command("weights", b"", 2.0))
    assert hub.asked == ["v6"]


class SilentLeaderHub(FakeHub):
    """One instance accepts requests and never replies."""

    silent = "v1"

    async def request(self, peer, body, timeout_s):
        if peer == self.silent:
            self.asked.append(peer)
            await asyncio.Event().wait()
        if isinstance(body, messages.ChangeRequest):
            self.asked.append(peer)
            is_leader = peer == self.leader
            payload = RESULT if is_leader else b""
            return messages.ChangeReply(0, 7, self.leader, payload, is_leader)
        return await super().request(peer, body, timeout_s)


def make_client_with_silent_leader():
    client, _ = make_client("v2")
    client.hub = SilentLeaderHub("v2")
    client._known_leader = SilentLeaderHub.silent
    return client


def run_within_limit(request):
    async def run():
        async with asyncio.timeout(5):
            return await request

    return asyncio.run(run())


# Guards against operators who get no acknowledgement, and readers who get no
# document, because the instance that they ask waits for a leader that was
# replaced.
def test_a_silent_former_leader_does_not_delay_commands_changes_and_reads():
    client = make_client_with_silent_leader()
    assert run_within_limit(client.submit_command("replace", b"", 3_600.0))
    client = make_client_with_silent_leader()
    assert run_within_limit(client.read_linearizable_version()) == 7
    client = make_client_with_silent_leader()
    result = run_within_limit(client.submit_change(builders.make_change()))
    assert result.version == 7


def test_the_leader_that_replied_is_asked_first_the_next_time():
    client = make_client_with_silent_leader()
    assert run_within_limit(client.submit_command("replace", b"", 3_600.0))
    client.hub.asked.clear()
    assert run_within_limit(client.submit_command("replace", b"", 3_600.0))
    assert client.hub.asked == ["v2"]


def test_without_any_reply_a_command_ends_at_its_timeout():
    client, _ = make_client("nobody")
    assert not run_within_limit(client.submit_command("replace", b"", 0.05))


@pytest.mark.parametrize(
    ("appended", "expected"),
    [(True, codes.CHANGE_UNKNOWN), (False, codes.NO_QUORUM)],
)
def test_a_change_without_result_is_unknown_only_if_it_may_be_in_the_log(
    appended, expected, monkeypatch
):
    monkeypatch.setattr(voter_client_lib, "CHANGE_TIMEOUT_S", 0.02)
    client, hub = make_client("v1")

    async def request(peer, body, timeout_s):
        return messages.ChangeReply(0, 7, "v1", b"", appended)

    hub.request = request
    outcome = run_within_limit(client.submit_change(builders.make_change()))
    assert outcome.code is expected
