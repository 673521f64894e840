"""How fast an accepted change is in force on all instances of a site."""

import asyncio
import pathlib
import statistics
import tempfile
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples

ZONES = ["z1", "z2", "z3"]
POLL_S = 0.005
GIVE_UP_S = 10.0


class SpreadResult(msgspec.Struct):
    """Seconds until a change was in force.

    Attributes:
        accepted_p50_s: Median until the change was accepted.
        median_p50_s: Median until it was in force on half the instances.
        last_p50_s: Median until it was in force on the last one.
        last_worst_s: Worst of that.
    """

    accepted_p50_s: float
    median_p50_s: float
    last_p50_s: float
    last_worst_s: float


async def run(*, changes: int, dead_voters: int) -> SpreadResult:
    """Measures changes on nine instances, with some voters dead.

    Args:
        changes: Number of changes.
        dead_voters: Voters that are killed first; the leader among them.
    """
    with tempfile.TemporaryDirectory(prefix="chivelb-spread-") as folder:
        fleet = fleet_lib.Fleet(
            pathlib.Path(folder),
            samples.sample_document(workspaces=["joinery"]),
        )
        fleet.plan_entries(ZONES, 3, voters=3)
        try:
            for name in fleet.entries:
                fleet.start_entry(name)
            async with aiohttp.ClientSession() as session:
                await fleet.wait_ready(session)
                alive = await _kill_voters(session, fleet, dead_voters)
                return await _measure(session, fleet, alive, changes)
        finally:
            fleet.stop()


async def _kill_voters(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, count: int
) -> list[str]:
    status = await fleet_lib.operator_get(
        session, fleet.entries["z1-1"].url, "/operator/status"
    )
    voters = [i for i in status["instances"] if i["role"]]
    voters.sort(key=lambda i: i["role"] != "leader")
    for voter in voters[:count]:
        fleet.kill(voter["name"])
    dead = {voter["name"] for voter in voters[:count]}
    return [name for name in fleet.entries if name not in dead]


async def _measure(
    session: aiohttp.ClientSession,
    fleet: fleet_lib.Fleet,
    names: list[str],
    changes: int,
) -> SpreadResult:
    version = 1
    accepted, medians, lasts = [], [], []
    for number in range(changes):
        url = fleet.entries[names[number % len(names)]].url
        started = time.monotonic()
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
            started = time.monotonic()
        version = reply["version"]
        accepted.append(time.monotonic() - started)
        times = sorted(
            await asyncio.gather(
                *(
                    _wait(session, fleet.entries[name].url, version, started)
                    for name in names
                )
            )
        )
        medians.append(times[len(times) // 2])
        lasts.append(times[-1])
    return SpreadResult(
        statistics.median(accepted),
        statistics.median(medians),
        statistics.median(lasts),
        max(lasts),
    )


async def _wait(
    session: aiohttp.ClientSession, url: str, version: int, started: float
) -> float:
    while time.monotonic() - started < GIVE_UP_S:
        shown = await fleet_lib.operator_get(session, url, "/operator/document")
        if shown and shown["version"] >= version:
            break
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started
