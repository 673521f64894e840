"""Requests with a part that crashes targets stop; sound ones go on.

The bounds, in ``crash_days``, are those that callers are promised:
``CONTACT_S`` after the fifth crash under a part, at most
``MAX_LATER_ARRIVALS`` requests with it reach targets, and from twice that time
on sound requests with the same workspace or first part begin at least half as
often as before.
"""

import asyncio

import builders
import crash_days
import crashing_fleet
import pytest
import simulated_runners

SEEDS = (1, 2, 3)
BAD = "bad"


def run_fleet(monkeypatch, make_day, **options):
    """Runs a day of a fleet in virtual time and returns the fleet."""

    async def run():
        fleet = crashing_fleet.Fleet(**options)
        await make_day(fleet)
        return fleet

    return simulated_runners.run_in_virtual_time(run, monkeypatch)


def send_after(fleet, at, *parts):
    """Returns a sender of requests with the parts from a time on."""

    def send_one():
        if fleet.now() > at:
            fleet.send(f"first-{fleet.rng.randrange(2)}", *parts)

    return send_one


def send_bad(fleet, *parts):
    """Returns a sender of requests with parts that crash targets."""
    return send_after(fleet, crash_days.BEGIN_S, *parts)


def refused_without(fleet, part):
    """Returns the refused calls whose prompts do not have a part."""
    return [c for _, c in fleet.refused if part not in c.shared_part_ids]


async def crash_by_one_part(fleet):
    fleet.crashing_parts = {BAD}
    await fleet.run_traffic(
        crash_days.END_S, also=[(3.0, send_bad(fleet, BAD))]
    )


def assert_stopped(fleet, part=BAD):
    assert len(fleet.crashes[part]) >= 3
    if len(fleet.crashes[part]) < crash_days.CRASHES:
        return
    in_force_at = (
        fleet.crashes[part][crash_days.CRASHES - 1] + crash_days.CONTACT_S
    )
    later = fleet.arrivals_after(part, in_force_at)
    assert len(later) <= crash_days.MAX_LATER_ARRIVALS


def assert_sound_requests_go_on(fleet, part=BAD):
    crashes = fleet.crashes[part][: crash_days.CRASHES]
    start = crashes[-1] + 2 * crash_days.CONTACT_S
    for name in (None, "first-0", "first-1"):
        before = fleet.begun_between(1.0, crash_days.BEGIN_S, name) / (
            crash_days.BEGIN_S - 1.0
        )
        after = fleet.begun_between(start, crash_days.END_S, name) / (
            crash_days.END_S - start
        )
        assert after >= crash_days.MIN_BEGUN_RATIO * before


# Guards against requests that have only a part in common and crash target after
# target, since each of them is judged by itself, and against sound requests
# that are refused with them for their workspace or first part.
@pytest.mark.parametrize("seed", SEEDS)
def test_requests_with_a_part_that_crashes_targets_stop(seed, monkeypatch):
    fleet = run_fleet(monkeypatch, crash_by_one_part, seed=seed)
    assert_stopped(fleet)
    assert_sound_requests_go_on(fleet)
    assert not refused_without(fleet, BAD)


# Guards against the same where two parts crash targets at the same time.
def test_two_parts_that_crash_targets_at_once_stop(monkeypatch):
    other = "bad-2"

    async def make_day(fleet):
        fleet.crashing_parts = {BAD, other}
        senders = [(2.0, send_bad(fleet, part)) for part in (BAD, other)]
        await fleet.run_traffic(crash_days.END_S, also=senders)

    fleet = run_fleet(monkeypatch, make_day)
    assert_stopped(fleet, BAD)
    assert_stopped(fleet, other)
    assert_sound_requests_go_on(fleet, other)


# Guards against a sound part that is refused for good because it came with the
# crashing one in all of its requests so far.
def test_a_sound_part_that_always_came_with_a_crashing_one_is_served(
    monkeypatch,
):
    companion = "companion"

    async def make_day(fleet):
        fleet.crashing_parts = {BAD}
        await fleet.run_traffic(
            crash_days.END_S,
            also=[
                (3.0, send_bad(fleet, companion, BAD)),
                (1.0, send_after(fleet, 12.0, companion)),
            ],
        )

    fleet = run_fleet(monkeypatch, make_day)
    assert_stopped(fleet)
    sent = [p for p in fleet.sent if p.at > 14.0 and p.has(companion, BAD)]
    assert fleet.begun_between(
        14.0, crash_days.END_S + 5.0, companion
    ) >= 0.9 * len(sent)


# Guards against an instance that was started again after the crashes, knows of
# none of them, and sends such requests to targets.
def test_an_instance_that_starts_again_knows_the_parts(monkeypatch):
    async def make_day(fleet):
        fleet.crashing_parts = {BAD}
        member = fleet.members[-1]
        asyncio.get_running_loop().call_later(
            14.0, fleet.start_instance, member
        )
        await fleet.run_traffic(
            crash_days.END_S, also=[(3.0, send_bad(fleet, BAD))]
        )

    fleet = run_fleet(monkeypatch, make_day)
    assert_stopped(fleet)
    started_again = fleet.members[-1].name
    assert not fleet.arrivals_after(
        BAD, 14.0 + crash_days.CONTACT_S, senders=[started_again]
    )


# Guards against the same with one request that crashes targets and comes again:
# an instance that has started since sends it on.
def test_an_instance_that_starts_again_knows_the_requests(monkeypatch):
    request = "f-bad"

    async def make_day(fleet):
        fleet.crashing_requests = {request}
        loop = asyncio.get_running_loop()
        for member in fleet.members[-2:]:
            loop.call_later(14.0, fleet.start_instance, member)

        def send_one():
            if not 12.0 < fleet.now() < 14.0 + crash_days.CONTACT_S:
                fleet.send("first-0", fingerprint=request)

        await fleet.run_traffic(crash_days.END_S, also=[(3.0, send_one)])

    fleet = run_fleet(monkeypatch, make_day)
    arrivals = [a for a in fleet.arrivals if a.fingerprint == request]
    assert len(arrivals) >= 2
    assert not [a for a in arrivals if a.at > 14.0 + crash_days.CONTACT_S]


# Guards against an instance that was cut off during the crashes and sends such
# requests to targets once it is in touch again.
def test_an_instance_that_was_cut_off_learns_the_parts(monkeypatch):
    heals_at = 14.0

    async def make_day(fleet):
        fleet.crashing_parts = {BAD}
        cut_off = fleet.members[-1].name
        others = sorted(set(fleet.instances) - {cut_off})
        fleet.cut(cut_off)
        asyncio.get_running_loop().call_later(
            heals_at, lambda: fleet.cut(cut_off, heal=True)
        )

        def send_one():
            if fleet.now() > crash_days.BEGIN_S:
                names = others if fleet.now() < heals_at else [cut_off]
                fleet.send("first-0", BAD, name=fleet.rng.choice(names))

        await fleet.run_traffic(crash_days.END_S, also=[(3.0, send_one)])

    fleet = run_fleet(monkeypatch, make_day)
    later = fleet.arrivals_after(BAD, heals_at + crash_days.CONTACT_S)
    assert len(later) <= crash_days.MAX_LATER_ARRIVALS


# Guards against requests that wait for a target when the crashes come and are
# sent afterwards.
def test_requests_that_wait_are_refused_when_their_part_is(monkeypatch):
    async def make_day(fleet):
        fleet.crashing_parts = {BAD}
        await fleet.run_traffic(
            crash_days.END_S, per_s=60.0, also=[(12.0, send_bad(fleet, BAD))]
        )

    fleet = run_fleet(monkeypatch, make_day, target_count=6, slots=4)
    assert_stopped(fleet)


# Guards against a trial that crashes a second target: its request is sent again
# where the route allows it.
def test_a_request_on_trial_crashes_one_target_at_most(monkeypatch):
    async def make_day(fleet):
        fleet.crashing_parts = {BAD}
        route = builders.make_route(max_attempts=2, resumable=True)
        for number in range(30):
            await asyncio.sleep(1.0)
            fleet.send(f"only-{number}", BAD, route=route)
        await fleet.run_traffic(35.0)

    fleet = run_fleet(monkeypatch, make_day)
    trials = fleet.arrivals_after(BAD, 3.0)
    assert trials
    times = [round(arrival.at) for arrival in trials]
    assert len(set(times)) == len(times)


# Guards against parts that are refused for long because targets crash for
# another reason while requests with them wait for their first event.
@pytest.mark.parametrize("seed", SEEDS)
def test_crashes_for_another_reason_refuse_no_part_for_long(seed, monkeypatch):
    async def make_day(fleet):
        loop = asyncio.get_running_loop()
        for at in (6.0, 6.5, 10.0, 10.5):
            loop.call_later(at, fleet.crash_some, 0.4)
        await fleet.run_traffic(20.0)

    fleet = run_fleet(monkeypatch, make_day, seed=seed)
    assert not [
        at for at, _ in fleet.refused if at > 10.5 + crash_days.CONTACT_S
    ]
    assert len(fleet.refused) <= 0.01 * len(fleet.sent)


# Guards against parts that are refused because connections break although
# their targets go on.
@pytest.mark.parametrize("seed", SEEDS)
def test_broken_connections_refuse_no_part_for_long(seed, monkeypatch):
    async def make_day(fleet):
        fleet.reset_ratio = 0.2
        await fleet.run_traffic(20.0)

    fleet = run_fleet(monkeypatch, make_day, seed=seed)
    assert len(fleet.refused) <= 0.01 * len(fleet.sent)
