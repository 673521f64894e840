"""Streams begin at a new software version once it is known to a majority.

Load pattern: a release while some instances are cut from others; targets of the
new version reach the smaller side alone.
"""

import asyncio

from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node.forwarding import placement as placement_lib
from chivelb_node.links import stream_origins
from chivelb_node.links import version_confirmation
import origin_groups
import pytest

CUT_CONTROL = ("core-1", "core-2")
FIRST = "front-0"
SETTLED_S = 5 * stream_origins.OBSERVATION_PERIOD_S


async def versions_for_new_call(group, **options):
    """Returns the versions at which an instance may begin a call."""
    context = group.instances[FIRST].context
    policy = placement_lib.PlacementPolicy(context, parts_lib.PartDirectory())
    call = origin_groups.make_call("r-1", **options)
    records = policy.eligible(call, context_lib.monotonic())
    return sorted({record.software_version for record in records})


async def on_smaller_side(group):
    """Lets a new version join at the first instance and one control instance.

    The others know nothing of it.

    Returns:
        The service of the first instance that asks about versions, started.
    """
    first = group.instances[FIRST]
    service = version_confirmation.VersionConfirmation(
        first.context, first.hub, first.gossip
    )
    await service.start()
    await asyncio.sleep(SETTLED_S)
    group.cut(FIRST, *CUT_CONTROL)
    others = {*group.names(), *CUT_CONTROL} - {FIRST}
    group.release("v2", unknown_to=others)
    await asyncio.sleep(SETTLED_S)
    return service


# Guards against streams begun at a version that a majority does not know, which
# takes a stream without a record for one of the only version that it knows.
def test_no_stream_begins_at_a_version_that_only_a_minority_knows():
    async def run():
        group = origin_groups.Group(versions=("v1",))
        service = await on_smaller_side(group)
        during_cut = await versions_for_new_call(group)
        group.network.cut.clear()
        group.release("v2")
        await asyncio.sleep(SETTLED_S + stream_origins.REQUEST_TIMEOUT_S)
        after = await versions_for_new_call(group)
        await service.stop()
        return during_cut, after

    assert asyncio.run(run()) == (["v1"], ["v1", "v2"])


# Guards against calls refused where no target of a known version is left, and
# against streams of a new version that find no target.
@pytest.mark.parametrize(
    ("ended", "software_version", "expected"),
    [(True, None, ["v2"]), (False, "v2", ["v2"])],
)
def test_targets_of_a_new_version_serve_what_no_other_can(
    ended, software_version, expected
):
    async def run():
        group = origin_groups.Group(versions=("v1",))
        service = await on_smaller_side(group)
        if ended:
            origin_groups.replace_targets(group.instances[FIRST], "v2")
            entries = group.instances[FIRST].context.targets.entries
            entries["later-v2"].is_leaving = False
        found = await versions_for_new_call(
            group, software_version=software_version
        )
        await service.stop()
        return found

    assert asyncio.run(run()) == expected
