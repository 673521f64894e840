"""A new instance learns the targets of a site with many ended lifetimes."""

import asyncio
import random

import builders
from chivelb_node import context as context_lib
from chivelb_node.links import target_replication
from chivelb_node.wire import messages
import pytest
import replicas

LISTED = {"lease_s": 0.0, "weight_version": "1"}
LIVE = [f"live-{n}" for n in range(3)]
PAGE = target_replication.MAX_RECORDS_PER_MESSAGE


def make_instances():
    """Returns a control instance and a new entry instance."""
    members = replicas.make_members(1, 1)
    network = replicas.MemoryNetwork()
    return [
        target_replication.TargetReplication(
            builders.make_context(),
            replicas.MemoryHub(member.name, network),
            replicas.StaticGossip(members, member.name, random.Random(1)),
        )
        for member in members
    ]


def list_targets(replication, ended_count):
    """Lists ended lifetimes, each at an address of its own, and live ones."""
    table = replication.context.targets
    now = context_lib.monotonic()
    for number in range(ended_count):
        address = f"10.0.{number // 250}.{number % 250 + 1}:80"
        record = builders.make_record(
            f"ended-{number}", address=address, state="leaving", **LISTED
        )
        assert table.announce(record, now)
    for number, identity in enumerate(LIVE):
        record = builders.make_record(
            identity, address=f"10.1.0.{number + 1}:80", **LISTED
        )
        assert table.announce(record, now)


def eligible(replication):
    now = context_lib.monotonic()
    table = replication.context.targets
    return sorted(r.identity for r in table.eligible("estimator-lm", now))


# Guards against a restarted instance that serves nothing, after more than 500
# lifetimes of targets have ended: the repair sent the oldest 500 records.
@pytest.mark.parametrize("ended_count", [0, PAGE - 3, PAGE, 4 * PAGE + 7])
def test_a_new_instance_learns_all_targets_in_one_repair(ended_count):
    control, entry = make_instances()
    list_targets(control, ended_count)
    asyncio.run(entry._repair_from("core-0"))
    assert eligible(entry) == LIVE
    assert entry.is_synced
    assert entry._digest() == control._digest()


def test_the_first_page_has_the_targets_that_serve():
    control, _ = make_instances()
    list_targets(control, 2 * PAGE)
    page = control._on_digest("front-0", messages.TargetDigest(0)).records
    assert sorted(record.identity for record in page)[-3:] == LIVE


# Guards against a repair that asks an older peer again and again.
def test_a_peer_that_knows_no_pages_is_asked_twice_at_most():
    control, entry = make_instances()
    list_targets(control, 2 * PAGE)
    answer = control._on_digest

    def first_page(peer, message):
        return answer(peer, messages.TargetDigest(message.digest))

    control.hub.handlers[messages.TargetDigest] = first_page
    asyncio.run(entry._repair_from("core-0"))
    assert len(control.hub.network.requests) == 2
    assert eligible(entry) == LIVE
