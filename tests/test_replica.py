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
