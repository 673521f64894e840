"""Latency that an idempotency claim adds to a non-idempotent call."""

import asyncio
import statistics
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples
from chivelb_cli.bench import records

SERVICE = "fitter-portal"
ZONES = ["z1", "z2", "z3"]
CONCURRENT_CALLS = 16


class ClaimCost(msgspec.Struct):
    """Latency with and without a claim, and throughput with claims.

    Metrics of calls without an idempotency key begin with ``plain``.

    Attributes:
        plain_p50_s: Median latency in seconds without an idempotency key.
        plain_p95_s: 95th percentile of the latency in seconds without a key.
        claimed_p50_s: Median latency in seconds with an idempotency key.
        claimed_p95_s: 95th percentile of the latency in seconds with a key.
        claimed_per_s: Calls with a key per second through three instances.
    """

    plain_p50_s: float
    plain_p95_s: float
    claimed_p50_s: float
    claimed_p95_s: float
    claimed_per_s: float


async def run(*, calls: int) -> ClaimCost:
    """Measures sequential calls of both kinds, then parallel claimed calls.

    Args:
        calls: Number of sequential calls of each kind; twice as many are
            sent in parallel.

    Returns:
        Latencies and throughput.
    """
    document = samples.sample_document(workspaces=["joinery"])
    with fleet_lib.temporary_fleet("chivelb-claims-", document) as fleet:
        fleet.configure_instances(ZONES, 1, voters=3)
        for name in fleet.instances:
            fleet.start_instance(name)
        fleet.start_target(
            "service", "portal-1", "z1", service=SERVICE, work_s=0.0
        )
        async with aiohttp.ClientSession() as session:
            await fleet.wait_ready(session)
            await fleet.wait_targets(session, 1)
            await fleet_lib.wait_for(
                lambda: _claims_available(session, fleet),
                "all instances to accept idempotency claims",
            )
            return await _measure(session, fleet, calls)


async def _claims_available(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet
) -> bool:
    # ``keeper`` is the state of the instance's replica of the claims.
    status = await fleet_lib.operator_get(
        session, fleet.instances["z1-1"].url, "/operator/status"
    )
    return [i["keeper"] for i in status["instances"]] == ["serving"] * 3


async def _call(session: aiohttp.ClientSession, url: str, key: str) -> float:
    headers = {"Authorization": f"Bearer {samples.workspace_key('joinery')}"}
    if key:
        headers["Idempotency-Key"] = key
    start_time = time.perf_counter()
    async with session.post(
        f"{url}/s/{SERVICE}/checkin", data=b"meter", headers=headers
    ) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(
                f"{response.url}: call failed with status {response.status}"
            )
    return time.perf_counter() - start_time


async def _measure(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, calls: int
) -> ClaimCost:
    url = fleet.instances["z1-1"].url
    urls = [instance.url for instance in fleet.instances.values()]
    for number in range(20):
        await _call(session, url, f"warm-{number}")
    unclaimed_s, claimed_s = [], []
    for number in range(calls):
        unclaimed_s.append(await _call(session, url, ""))
        claimed_s.append(await _call(session, url, f"one-{number}"))
    call_numbers = iter(range(calls * 2))

    async def worker() -> None:
        for number in call_numbers:
            await _call(session, urls[number % 3], f"many-{number}")

    start_time = time.perf_counter()
    await asyncio.gather(*(worker() for _ in range(CONCURRENT_CALLS)))
    elapsed_s = time.perf_counter() - start_time
    return ClaimCost(
        statistics.median(unclaimed_s),
        records.percentile(unclaimed_s, 0.95),
        statistics.median(claimed_s),
        records.percentile(claimed_s, 0.95),
        calls * 2 / elapsed_s,
    )
