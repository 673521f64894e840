"""Commands to the control group, whoever leads it.

Fault pattern: the group has grown beyond the configured voters, and after the
loss of the leader one of the instances that joined later leads it.
"""

import asyncio
import types

import builders
from chivelb_node.control import replica as replica_lib
from chivelb_node.wire import messages
import pytest

CONFIGURED = ["v1", "v2", "v3"]


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


def make_replica(leader, group=()):
    context = builders.make_context()
    context.settings.control.voters = CONFIGURED
    hub = FakeHub(leader)
    replica = replica_lib.ReplicaService(context, hub, None)
    if group:
        replica.voter_service = types.SimpleNamespace(
            voter_names=lambda: list(group)
        )
    return replica, hub


@pytest.mark.parametrize("leader", ["v2", "v5"])
def test_a_command_reaches_the_leader_that_the_voters_name(leader):
    replica, hub = make_replica(leader)
    assert asyncio.run(replica.submit_command("replace", b"", 2.0))
    assert hub.asked[-1] == leader
    hub.asked.clear()
    assert asyncio.run(replica.submit_command("replace", b"", 2.0))
    assert hub.asked == [leader]


def test_a_read_reaches_a_leader_that_joined_later():
    replica, _ = make_replica("v5", group=("v4", "v5", "v1"))
    assert asyncio.run(replica.read_linearizable_version()) == 7


def test_voters_of_the_group_are_asked_if_no_configured_one_is_left():
    replica, hub = make_replica("v6", group=("v6", "v7"))
    assert asyncio.run(replica.submit_command("weights", b"", 2.0))
    assert hub.asked == ["v6"]


class SilentLeaderHub(FakeHub):
    """One instance accepts requests and never replies."""

    silent = "v1"

    async def request(self, peer, body, timeout_s):
        if peer == self.silent:
            self.asked.append(peer)
            await asyncio.Event().wait()
        if isinstance(body, messages.LeaseRequest):
            self.asked.append(peer)
            token = 9 if peer == self.leader else 0
            return messages.LeaseReply(token, self.leader)
        return await super().request(peer, body, timeout_s)


def make_replica_with_silent_leader():
    replica, _ = make_replica("v2")
    replica.hub = SilentLeaderHub("v2")
    replica._known_leader = SilentLeaderHub.silent
    return replica


def run_within_limit(request):
    async def run():
        async with asyncio.timeout(5):
            return await request

    return asyncio.run(run())


# Guards against operators who get no acknowledgement, and readers who get no
# document, because the instance that they ask waits for a leader that was
# replaced.
def test_a_silent_former_leader_does_not_delay_commands_leases_and_reads():
    replica = make_replica_with_silent_leader()
    assert run_within_limit(replica.submit_command("replace", b"", 3_600.0))
    replica = make_replica_with_silent_leader()
    assert run_within_limit(replica.read_linearizable_version()) == 7
    replica = make_replica_with_silent_leader()
    assert run_within_limit(replica.acquire_lease("l", "r", 0)) == 9


def test_the_leader_that_replied_is_asked_first_the_next_time():
    replica = make_replica_with_silent_leader()
    assert run_within_limit(replica.submit_command("replace", b"", 3_600.0))
    replica.hub.asked.clear()
    assert run_within_limit(replica.submit_command("replace", b"", 3_600.0))
    assert replica.hub.asked == ["v2"]


def test_without_any_reply_a_command_ends_at_its_timeout():
    replica, _ = make_replica("nobody")
    assert not run_within_limit(replica.submit_command("replace", b"", 0.05))
