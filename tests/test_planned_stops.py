"""Planned stops: what a request is owed that comes while an instance stops.

It is answered whole, or it was never sent to a target.
"""

import asyncio
import contextlib
import json
import signal

import aiohttp
import test_programs
import timed_targets

GRACE_S = 4
# How long targets take for the requests that come throughout the stop.
DURATIONS_S = (0.02, 0.3, 0.9, 1.7)
CONNECTIONS = 8
# New requests are refused by then.
LATE_S = 2.6
# Longer than any grace period here.
LONG_S = 30.0
MAY_HAVE_RUN = {502, 504}
DOCUMENT = {
    "Version": 1,
    "Routes": [
        {
            "Name": "u",
            "Host": "h.example",
            "PathPrefix": "/u/",
            "Kind": "unsafe",
            "TimeoutMs": 60_000,
            "Service": "s",
        }
    ],
    "Services": [{"Name": "s", "MaxConnections": 99}],
}


async def start_serving(pair, target):
    """Puts the document in force and announces the target."""
    control = f"http://{pair.seed}"
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=5)
    ) as session:
        await test_programs.request_until(
            session,
            "POST",
            f"{control}/configuration/replace",
            200,
            data=json.dumps(DOCUMENT).encode(),
        )
        await test_programs.request_until(
            session,
            "POST",
            f"{control}/instances/i-1/heartbeat",
            200,
            data=target.heartbeat("s", 1),
        )
        await test_programs.request_until(
            session,
            "POST",
            f"http://{test_programs.ENTRY_IP}:{pair.front}/u/?after=0",
            200,
            headers={"Host": "h.example"},
        )


async def call_until_gone(connect, name, answers):
    """Sends one request after another until the process is gone."""
    number = 0
    while True:
        try:
            caller = await connect()
        except OSError:
            return
        with contextlib.closing(caller):
            is_open = True
            while is_open:
                duration_s = DURATIONS_S[number % len(DURATIONS_S)]
                answer = await caller.send(f"{name}-{number}", duration_s)
                answers.append(answer)
                number += 1
                is_open = answer.status is not None and not answer.closes
                if answer.status == 503:
                    await asyncio.sleep(0.02)


async def use_idle_connection(caller, name, after_s, answers):
    """Uses a connection once that was idle since before the stop."""
    await asyncio.sleep(after_s)
    answers.append(await caller.send(name, LONG_S))


def run_planned_stop(tmp_path, scenario):
    """Runs a scenario with an entry instance whose grace is ``GRACE_S``."""

    async def run():
        pair = test_programs.InstancePair(tmp_path)
        pair.bounds = {"GraceS": GRACE_S}
        target = timed_targets.TimedTarget()

        async def connect():
            return await timed_targets.TimedCaller.connect(
                test_programs.ENTRY_IP, pair.front
            )

        async with (
            target.serve(),
            pair.running() as (_, entry),
            asyncio.timeout(60),
        ):
            await start_serving(pair, target)
            answers = []
            await scenario(entry, connect, answers)
            return target, answers

    return asyncio.run(run())


async def stop_process(entry):
    """Stops a process as the platform does; it is killed after its grace."""
    entry.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await entry.wait()
    except TimeoutError:
        entry.kill()


def lost(target, answers):
    """Returns the requests that were sent to a target and not answered."""
    return [
        answer
        for answer in answers
        if answer.status is None and answer.request_id in target.seen
    ]


# Guards against requests that are read during a planned stop, sent to a target
# and then cut without an answer.
def test_requests_that_come_throughout_a_stop_are_answered_whole(tmp_path):
    async def scenario(entry, connect, answers):
        idle = [await connect() for _ in range(12)]
        for number, caller in enumerate(idle):
            assert (await caller.send(f"warm-{number}", 0)).status == 200
        async with asyncio.TaskGroup() as group:
            for number in range(CONNECTIONS):
                group.create_task(
                    call_until_gone(connect, f"kept-{number}", answers)
                )
            await asyncio.sleep(0.5)
            group.create_task(stop_process(entry))
            for number, caller in enumerate(idle):
                # From 2.6 s after the signal until the end of the grace.
                group.create_task(
                    use_idle_connection(
                        caller, f"idle-{number}", LATE_S + 0.1 * number, answers
                    )
                )

    target, answers = run_planned_stop(tmp_path, scenario)
    assert not lost(target, answers)
    late = [a for a in answers if a.request_id.startswith("idle")]
    assert not {a.request_id for a in late} & target.seen
    assert {a.status for a in late} <= {503, None}
    assert 503 in {a.status for a in late}
    for answer in answers:
        if answer.status == 503:
            assert answer.closes
            assert answer.request_id not in target.seen


# Guards against a request that is passed on late in a stop because its head
# came early and its body late.
def test_a_request_whose_body_comes_late_in_a_stop_is_not_sent(tmp_path):
    async def scenario(entry, connect, answers):
        caller = await connect()
        call = asyncio.create_task(
            caller.send("slow-body", LONG_S, pause_s=LATE_S + 0.3)
        )
        await asyncio.sleep(0.1)
        await stop_process(entry)
        answers.append(await call)

    target, answers = run_planned_stop(tmp_path, scenario)
    assert "slow-body" not in target.seen
    assert [(a.status, a.closes) for a in answers] == [(503, True)]


# Guards against a request that may not be repeated and is cut without an answer
# at the end of the grace period, while its target is at work.
def test_a_request_still_at_work_at_the_end_of_a_stop_is_answered(tmp_path):
    async def scenario(entry, connect, answers):
        callers = [await connect(), await connect()]
        calls = [asyncio.create_task(callers[0].send("before", LONG_S))]
        await asyncio.sleep(0.1)
        stop = asyncio.create_task(stop_process(entry))
        await asyncio.sleep(1.0)
        calls.append(asyncio.create_task(callers[1].send("after", LONG_S)))
        started_at = asyncio.get_running_loop().time() - 1.0
        answers.extend([await call for call in calls])
        await stop
        for answer in answers:
            # A target's silence is no reason to end an answer sooner.
            assert answer.ended_at - started_at > GRACE_S * 5 / 6

    target, answers = run_planned_stop(tmp_path, scenario)
    assert {"before", "after"} <= target.seen
    assert {a.status for a in answers} <= MAY_HAVE_RUN
