"""No instance shares what a workspace caches once it is isolated.

Load pattern: a workspace becomes isolated while its requests, and those of the
others, go on at all instances, some of which can't learn of the change.
"""

import asyncio
import itertools

from chivelb_core.document import sharing_leases
from chivelb_node import context as context_lib
from chivelb_node.wire import messages
import control_groups
import pytest
import sharing_fleet

SHARED = {"a": False, "b": False}
A_ISOLATED = {"a": True, "b": False}
# What a change may take at most, by the operators' pages, in seconds.
ACK_S = 4.0
OLD_GROUP = frozenset({"v1/1", "v2/1", "v3/1"})
NEW_GROUP = frozenset({"v2/1", "v3/1", "v4/1"})


async def timed(coroutine):
    """Returns the result of a coroutine and the seconds that it took."""
    started_at = context_lib.boottime()
    result = await coroutine
    return result, context_lib.boottime() - started_at


def scope(context, workspace):
    """Returns the scope that a request of a workspace would use now."""
    context.targets.announce(
        sharing_fleet.builders.make_record(
            "r1", lease_s=0.0, service="lm", weight_version="1", model="m"
        ),
        context_lib.monotonic(),
    )
    return sharing_fleet.place(
        context, sharing_fleet.make_call(context, workspace)
    )


# Guards against workspaces that share at an instance which doesn't know yet of
# an isolation that was acknowledged: it went on with the old shared scope.
@pytest.mark.parametrize("voters_stopped", [0, 1])
def test_isolation_is_acknowledged_when_no_instance_shares(
    tmp_path, voters_stopped
):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            assert await control_groups.replace_document(group, SHARED)
            async with control_groups.running_entry(group) as entry:
                shared_scope = scope(entry.context, "a")
                assert shared_scope == scope(entry.context, "b")
                entry.cut_off()
                followers = [
                    s for s in group.services.values() if not s.is_leader
                ]
                for follower in followers[:voters_stopped]:
                    await group.stop(follower.name)
                acknowledged, seconds = await timed(
                    control_groups.replace_document(group, A_ISOLATED)
                )
                assert acknowledged and seconds < ACK_S
                # It serves by the old document, without sharing.
                assert scope(entry.context, "a") != shared_scope
                assert scope(entry.context, "b") != shared_scope
                assert scope(entry.context, "a") != scope(entry.context, "b")

    asyncio.run(run())


# Guards against changes of isolation that take the length of a lease although
# all instances have left the old scope.
def test_isolation_is_acknowledged_soon_once_all_instances_know_it(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            assert await control_groups.replace_document(group, SHARED)
            # The leases that the voters may have granted before they started.
            await asyncio.sleep(sharing_leases.EXPIRY_S)
            async with control_groups.running_entry(group) as entry:
                change = asyncio.create_task(
                    timed(control_groups.replace_document(group, A_ISOLATED))
                )
                while entry.context.document_state.number < 2:
                    await asyncio.sleep(0.01)
                    entry.learn_document()
                acknowledged, seconds = await change
                assert acknowledged and seconds < sharing_leases.EXPIRY_S
                await group.wait_until(entry.context.may_share)

    asyncio.run(run())


# Guards against a second sending of the change that is acknowledged at once,
# while the first one still waits.
def test_a_change_that_is_sent_again_waits_as_well(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            assert await control_groups.replace_document(group, SHARED)
            async with control_groups.running_entry(group) as entry:
                entry.cut_off()
                first = asyncio.create_task(
                    control_groups.replace_document(group, A_ISOLATED)
                )
                await group.wait_until(
                    lambda: group.leader().document_state.number == 2
                )
                assert await control_groups.replace_document(
                    group, A_ISOLATED, number=2
                )
                assert not entry.context.may_share()
                assert await first

    asyncio.run(run())


# Guards against a wait for changes that isolate nobody.
def test_other_changes_are_acknowledged_at_once(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            assert await control_groups.replace_document(group, SHARED)
            async with control_groups.running_entry(group) as entry:
                entry.cut_off()
                _, seconds = await timed(
                    control_groups.replace_document(group, SHARED)
                )
                assert seconds < sharing_leases.EXPIRY_S

    asyncio.run(run())


# Guards against an instance that goes on sharing while it reaches no majority,
# and against one that doesn't share again afterwards.
def test_sharing_ends_without_a_majority_and_begins_again(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            assert await control_groups.replace_document(group, SHARED)
            async with control_groups.running_entry(group) as entry:
                shared_scope = scope(entry.context, "a")
                entry.cut_off()
                await asyncio.sleep(sharing_leases.LEASE_S)
                assert scope(entry.context, "a") != shared_scope
                group.network.cut.clear()
                await group.wait_until(entry.context.may_share)
                assert scope(entry.context, "a") == shared_scope

    asyncio.run(run())


# Guards against calls that wait for a lease for good, or not at all, at the
# start of an instance.
def test_the_first_lease_ends_the_wait_at_the_start(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            entry = control_groups.Entry("e1", group)
            assert not entry.context.sharing_known.is_set()
            assert not await entry.holder.renew()
            assert await control_groups.replace_document(group, SHARED)
            entry.learn_document()
            await entry.holder.start()
            await group.wait_until(entry.context.sharing_known.is_set)
            assert entry.context.may_share()
            await entry.holder.stop()

    asyncio.run(run())


# Guards against a voter that grants a lease while its log has a change of
# isolation that it has not applied yet: a majority may have committed it.
def test_a_voter_with_a_pending_isolation_grants_nothing(tmp_path):
    async def run():
        async with control_groups.running_group(tmp_path) as group:
            assert await control_groups.replace_document(group, SHARED)
            leader = group.leader()
            for name in control_groups.SEEDS:
                if name != leader.name:
                    group.network.silent.add(name)
            request = messages.SharingLeaseRequest(
                leader.document_state.version
            )
            assert leader._sharing._on_request("e1", request).agreed
            pending = asyncio.create_task(
                control_groups.replace_document(group, A_ISOLATED)
            )
            await group.wait_until(
                lambda: (
                    not leader.is_leader
                    or leader.voter.log.last_index
                    > leader._sharing.applied_index
                )
            )
            assert not leader._sharing._on_request("e1", request).agreed
            pending.cancel()

    asyncio.run(run())


def test_a_majority_counts_voters_of_one_group_alone():
    assert sharing_leases.is_majority(
        [("v1/1", OLD_GROUP), ("v2/1", OLD_GROUP)]
    )
    assert not sharing_leases.is_majority(
        [("v1/1", OLD_GROUP), ("v1/1", OLD_GROUP)]
    )
    # One of them was removed and doesn't know it.
    assert not sharing_leases.is_majority(
        [("v1/1", OLD_GROUP), ("v2/1", NEW_GROUP)]
    )
    assert not sharing_leases.is_majority(
        [("v4/1", OLD_GROUP), ("v5/1", OLD_GROUP)]
    )


def test_a_lease_is_for_one_epoch_and_ends():
    lease = sharing_leases.SharingLease()
    assert lease.permits("1.1", 0.0)
    lease.is_required = True
    assert not lease.permits("1.1", 0.0)
    lease.renew("1.1", 10.0)
    assert lease.permits("1.1", 10.0 + sharing_leases.LEASE_S - 0.01)
    assert not lease.permits("2.2", 10.0)
    assert not lease.permits("1.1", 10.0 + sharing_leases.LEASE_S)


# Guards against voters that forget whom they granted leases to, and against a
# lease that is granted to an old version after none was said to be left.
def test_what_a_voter_says_of_leases_that_have_ended():
    times = itertools.count(100.0, 0.1)
    grants = sharing_leases.LeaseGrants(0.0)
    assert not grants.end_before(2, 0.1)  # It may have restarted.
    grants.record_request("e1", 1, next(times), granted=True)
    assert not grants.end_before(2, next(times))
    assert grants.min_version == 2
    grants.record_request("e1", 2, next(times), granted=False)
    assert grants.end_before(2, next(times))
    grants.record_request("e2", 1, next(times), granted=True)
    assert not grants.end_before(2, next(times))
    assert grants.end_before(2, next(times) + sharing_leases.EXPIRY_S)
    grants.observe_voters(OLD_GROUP, 200.0)
    assert grants.end_before(2, 200.0)
    grants.observe_voters(NEW_GROUP, 200.1)
    assert not grants.end_before(2, 200.2)
