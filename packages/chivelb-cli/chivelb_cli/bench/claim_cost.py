"""What a claim adds to a call that may not be repeated."""

import asyncio
import pathlib
import statistics
import tempfile
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples
from chivelb_cli.bench import records

SERVICE = "fitter-portal"
ZONES = ["z1", "z2", "z3"]
IN_FLIGHT = 16


class ClaimCost(msgspec.Struct):
    """Figures of claimed and unclaimed calls.

    Attributes:
        plain_p50_s: Median of a call without a key.
        plain_p95_s: 95th percentile of it.
        claimed_p50_s: Median of a call with a key.
        claimed_p95_s: 95th percentile of it.
        claimed_per_s: Claimed calls a second through three instances.
    """

    plain_p50_s: float
    plain_p95_s: float
    claimed_p50_s: float
    claimed_p95_s: float
    claimed_per_s: float


async def run(*, calls: int) -> ClaimCost:
    """Measures calls one at a time, and claimed calls in parallel.

    Args:
        calls: Calls of each kind.
    """
    with tempfile.TemporaryDirectory(prefix="chivelb-claims-") as folder:
        fleet = fleet_lib.Fleet(
            pathlib.Path(folder),
            samples.sample_document(workspaces=["joinery"]),
        )
        fleet.plan_entries(ZONES, 1, voters=3)
        try:
            for name in fleet.entries:
                fleet.start_entry(name)
            fleet.start_target(
                "service", "portal-1", "z1", service=SERVICE, work_s=0.0
            )
            async with aiohttp.ClientSession() as session:
                await fleet.wait_ready(session)
                await fleet.wait_targets(session, 1)
                await fleet_lib.wait_for(
                    lambda: _keepers_serve(session, fleet), "the keepers"
                )
                return await _measure(session, fleet, calls)
        finally:
            fleet.stop()


async def _keepers_serve(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet
) -> bool:
    status = await fleet_lib.operator_get(
        session, fleet.entries["z1-1"].url, "/operator/status"
    )
    return [i["keeper"] for i in status["instances"]] == ["serving"] * 3


async def _call(session: aiohttp.ClientSession, url: str, key: str) -> float:
    headers = {"Authorization": f"Bearer {samples.workspace_key('joinery')}"}
    if key:
        headers["Idempotency-Key"] = key
    started = time.perf_counter()
    async with session.post(
        f"{url}/s/{SERVICE}/checkin", data=b"meter", headers=headers
    ) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")
    return time.perf_counter() - started


async def _measure(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, calls: int
) -> ClaimCost:
    url = fleet.entries["z1-1"].url
    urls = [entry.url for entry in fleet.entries.values()]
    for number in range(20):
        await _call(session, url, f"warm-{number}")
    plain, claimed = [], []
    for number in range(calls):
        plain.append(await _call(session, url, ""))
        claimed.append(await _call(session, url, f"one-{number}"))
    numbers = iter(range(calls * 2))

    async def worker() -> None:
        for number in numbers:
            await _call(session, urls[number % 3], f"many-{number}")

    started = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(IN_FLIGHT)))
    elapsed = time.perf_counter() - started
    return ClaimCost(
        statistics.median(plain),
        records.percentile(plain, 0.95),
        statistics.median(claimed),
        records.percentile(claimed, 0.95),
        calls * 2 / elapsed,
    )
