"""A stream without a record goes on only where one version is proved.

Load pattern: a release, in which targets of a new software version join while
some instances stand still or are cut from others; streams that these targets
began at other instances break and are taken up at such an instance.
"""

import asyncio
import math

from chivelb_core.forwarding import stream_origins as origins_lib
from chivelb_core.membership import members as members_lib
from chivelb_core.membership import messages as membership_messages
from chivelb_node import context as context_lib
from chivelb_node.links import stream_origins
from chivelb_node.links import version_knowledge
import origin_groups
import pytest

V1 = origin_groups.V1
V2 = origin_groups.V2
LATE = "front-5"
FIRST = "front-0"
CONTROL = ("core-0", "core-1", "core-2")


def one_version():
    return origin_groups.Group(versions=("v1",))


async def begin_during_release(group, *, unknown_to=(LATE,)):
    """Begins a stream of v2 at the first instance, while v2 is new."""
    group.release("v2", unknown_to=unknown_to)
    await group.begin(FIRST, "r-1", origin=V2)


# Guards against a stream joined with another version by an instance that stood
# still, or lost messages, while the targets of its version joined.
def test_an_instance_that_missed_a_release_asks_what_began_a_stream():
    async def run():
        group = one_version()
        await begin_during_release(group)
        return await group.find(LATE, "r-1")

    assert asyncio.run(run()) == origins_lib.Finding(V2, "peer")


# Guards against the same where nobody can tell which version began the stream.
@pytest.mark.parametrize("resumes", ["r-1", "r-unknown", ""])
def test_an_instance_cut_from_all_others_makes_no_guess(resumes):
    async def run():
        group = one_version()
        group.cut(LATE)
        await begin_during_release(group)
        return (await group.find(LATE, resumes)).origin

    assert asyncio.run(run()) is None


# Guards against a guess where the control instances alone are out of reach: the
# instance that began the stream still tells its version.
def test_an_instance_cut_from_the_control_instances_asks_the_others():
    async def run():
        group = one_version()
        group.cut(LATE, *CONTROL)
        await begin_during_release(group)
        known = await group.find(LATE, "r-1")
        unknown = await group.find(LATE, "r-unknown")
        return known.origin, unknown.origin

    assert asyncio.run(run()) == (V2, None)


# Guards against a guess from one control instance, which may be out of step
# itself.
@pytest.mark.parametrize("resumes", ["r-1", ""])
def test_one_control_instance_out_of_step_is_not_believed(resumes):
    async def run():
        group = one_version()
        group.release("v2", unknown_to=(LATE, "core-0"))
        group.cut(LATE, "core-1", "core-2")
        return (await group.find(LATE, resumes)).origin

    assert asyncio.run(run()) is None


# Guards against the streams of a version whose targets have all left, unseen by
# an instance that had no streams for a while or stood still.
def test_a_version_that_left_unseen_is_still_possible():
    async def run():
        group = one_version()
        group.release("v2", unknown_to=(LATE,))
        for instance in group.control.values():
            instance._observe_targets(context_lib.monotonic())
        late = group.instances[LATE]
        origin_groups.end_targets(late)
        for entry in late.context.targets.entries.values():
            entry.announced_at -= 100.0
        origin_groups.announce(late, "v2")
        return (await group.find(LATE, "r-unknown")).origin

    assert asyncio.run(run()) is None


# Guards against streams refused needlessly: one lost instance of the control
# group hinders nobody.
@pytest.mark.parametrize("lost", [None, *CONTROL])
def test_with_one_version_a_stream_goes_on_at_any_instance(lost):
    async def run():
        group = one_version()
        group.network.silent.update({lost} - {None})
        findings = {name: await group.find(name, "") for name in group.names()}
        return {finding.origin for finding in findings.values()}

    assert asyncio.run(run()) == {V1}


# Guards against streams refused because of a short cut.
def test_the_control_instances_are_asked_again_within_the_deadline():
    async def run():
        group = one_version()
        group.cut(LATE)
        finding = asyncio.ensure_future(group.find(LATE, "r-1"))
        await asyncio.sleep(stream_origins.REQUEST_TIMEOUT_S / 2)
        group.network.cut.clear()
        return (await finding).origin

    assert asyncio.run(run()) == V1


# Guards against a deadline that passes while others are asked.
def test_nobody_is_asked_after_the_deadline():
    async def run():
        group = one_version()
        group.cut(LATE)
        call = origin_groups.make_call(
            "r-next", last_event_id="1", resumes="r-1"
        )
        call.deadline = context_lib.monotonic() + 0.1
        finding = await group.instances[LATE].find(call)
        asked = {receiver for _, receiver, _ in group.network.requests}
        return finding.origin, asked

    origin, asked = asyncio.run(run())
    assert origin is None
    # All others would be asked in a second round.
    assert asked <= set(CONTROL)


def swim_with(statuses):
    """Returns the membership of an instance that last heard at 0 s."""
    swim = origin_groups.Group(entry_count=1).instances["front-0"].gossip.swim
    for name, status in statuses.items():
        member = membership_messages.Member(
            name, swim.local_member.region, "z1", f"{name}:1", 1, anchor=True
        )
        swim.members[name] = members_lib.MemberState(
            members_lib.replace_member(member, status=status), 0.0
        )
    return swim


# Guards against a majority of those that an instance still reaches: it can't
# tell a cut from an end of the others.
@pytest.mark.parametrize(
    ("statuses", "at", "needed"),
    [
        ({}, 1.0, 2),
        ({"core-1": "dead", "core-2": "dead"}, 100.0, 2),
        ({"core-0": "dead", "core-1": "dead", "core-2": "dead"}, 1.0, 2),
        ({name: "dead" for name in CONTROL}, 100.0, math.inf),
        ({"core-0": "dead", "core-3": "alive"}, 100.0, 2),
        ({"core-3": "alive", "core-4": "alive"}, 1.0, 3),
        ({"core-3": "dead", "core-4": "alive"}, 1.0, 3),
        ({"core-1": "left", "core-2": "left"}, 1.0, 1),
    ],
)
def test_a_majority_counts_control_instances_that_are_down(
    statuses, at, needed
):
    swim = swim_with(statuses)
    assert version_knowledge.needed_witnesses(swim, CONTROL, at) == needed
