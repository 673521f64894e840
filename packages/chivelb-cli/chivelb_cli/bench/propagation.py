"""Propagation time of configuration changes to all instances of a site.

A change is in force on an instance once the instance serves by a document
version that contains it.
"""

import asyncio
import statistics
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples

ZONES = ["z1", "z2", "z3"]
POLL_INTERVAL_S = 0.005
APPLY_TIMEOUT_S = 10.0


class PropagationResult(msgspec.Struct):
    """Propagation times of configuration changes.

    Times start with the submission that is accepted. An instance on which a
    change is not in force within ``APPLY_TIMEOUT_S`` counts with the time
    waited.

    Attributes:
        accepted_p50_s: Median time in seconds until a change was accepted.
        median_p50_s: Median time in seconds until a change was in force on
            more than half of the instances.
        last_p50_s: Median time in seconds until a change was in force on all
            instances.
        last_worst_s: Longest time in seconds until a change was in force on
            all instances.
    """

    accepted_p50_s: float
    median_p50_s: float
    last_p50_s: float
    last_worst_s: float


async def run(*, changes: int, dead_voters: int) -> PropagationResult:
    """Measures the propagation of changes on nine instances.

    Args:
        changes: Number of changes.
        dead_voters: Number of voters to kill before the measurement,
            beginning with the leader.

    Returns:
        The propagation times.
    """
    document = samples.sample_document(workspaces=["joinery"])
    with fleet_lib.temporary_fleet("chivelb-spread-", document) as fleet:
        fleet.configure_instances(ZONES, 3, voters=3)
        for name in fleet.instances:
            fleet.start_instance(name)
        async with aiohttp.ClientSession() as session:
            await fleet.wait_ready(session)
            running_names = await _kill_voters(session, fleet, dead_voters)
            return await _measure(session, fleet, running_names, changes)


async def _kill_voters(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, count: int
) -> list[str]:
    status = await fleet_lib.operator_get(
        session, fleet.instances["z1-1"].url, "/operator/status"
    )
    voters = [i for i in status["instances"] if i["role"]]
    voters.sort(key=lambda i: i["role"] != "leader")
    for voter in voters[:count]:
        fleet.kill(voter["name"])
    killed = {voter["name"] for voter in voters[:count]}
    return [name for name in fleet.instances if name not in killed]


async def _measure(
    session: aiohttp.ClientSession,
    fleet: fleet_lib.Fleet,
    names: list[str],
    changes: int,
) -> PropagationResult:
    version = 1
    accepted_s, half_in_force_s, all_in_force_s = [], [], []
    for number in range(changes):
        url = fleet.instances[names[number % len(names)]].url
        start_time = time.monotonic()
        while True:
            status, reply = await fleet_lib.operator_post(
                session,
                url,
                "/operator/changes",
                {
                    "change_id": f"spread-{number}",
                    "base_version": version,
                    "operations": [
                        {"path": "limits", "value": {"max_queue": number + 9}}
                    ],
                },
            )
            if status == 200:
                break
            start_time = time.monotonic()
        version = reply["version"]
        accepted_s.append(time.monotonic() - start_time)
        times_until_in_force = sorted(
            await asyncio.gather(
                *(
                    _wait_for_version(
                        session, fleet.instances[name].url, version, start_time
                    )
                    for name in names
                )
            )
        )
        # The first element that covers more than half of the instances.
        half_in_force_s.append(
            times_until_in_force[len(times_until_in_force) // 2]
        )
        all_in_force_s.append(times_until_in_force[-1])
    return PropagationResult(
        statistics.median(accepted_s),
        statistics.median(half_in_force_s),
        statistics.median(all_in_force_s),
        max(all_in_force_s),
    )


async def _wait_for_version(
    session: aiohttp.ClientSession, url: str, version: int, start_time: float
) -> float:
    while time.monotonic() - start_time < APPLY_TIMEOUT_S:
        reply = await fleet_lib.operator_get(session, url, "/operator/document")
        if reply and reply["version"] >= version:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - start_time
