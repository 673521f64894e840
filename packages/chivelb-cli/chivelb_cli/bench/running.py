"""Runs a scenario from start to result."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import subprocess
import sys
import tempfile
import time

import aiohttp
import msgspec

from chivelb_cli.bench import client as client_lib
from chivelb_cli.bench import records
from chivelb_cli.bench import scenario as scenario_lib
from chivelb_cli.bench import site as site_lib
from chivelb_cli.bench import workloads

SETTLE_S = 0.5


async def run_scenario(
    scenario: scenario_lib.Scenario,
    *,
    folder: pathlib.Path | None = None,
) -> tuple[records.Result, list[str]]:
    """Runs a scenario and stops everything that it started.

    Args:
        scenario: The scenario.
        folder: Folder for logs and data; a temporary one by default.

    Returns:
        The result, and notes on what the timetable did.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = pathlib.Path(
                stack.enter_context(
                    tempfile.TemporaryDirectory(prefix="chivelb-bench-")
                )
            )
        timeout = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            site = site_lib.Site(scenario, folder, session)
            try:
                await site.start()
                return await _drive(site)
            finally:
                site.fleet.stop()


def plan(scenario: scenario_lib.Scenario) -> list[workloads.PlannedCall]:
    """Returns the calls of a scenario's workload."""
    shape = workloads.SHAPES[scenario.workload]
    shape = dataclasses.replace(shape, rate=shape.rate * scenario.load)
    calls = workloads.plan_calls(
        scenario.site,
        shape,
        seed=scenario.seed,
        duration_s=scenario.duration_s,
    )
    workspace = next(iter(scenario.site.workspaces))
    calls += [
        workloads.PlannedCall(at_s, workspace, scenario.poison, 4)
        for at_s in scenario.poison_times
    ]
    return sorted(calls, key=lambda call: call.at_s)


async def _drive(
    site: site_lib.Site,
) -> tuple[records.Result, list[str]]:
    scenario = site.scenario
    calls = plan(scenario)
    client = client_lib.CheckingClient(
        site.session,
        [],
        service=scenario.site.model_service,
        plain_service=scenario.site.plain_service,
        versions=scenario.versions,
        seed=scenario.seed,
    )
    before = await site.read_states()
    started = time.monotonic()
    timetable = asyncio.create_task(site.run_timetable(started))
    tasks = []
    for call in calls:
        await asyncio.sleep(max(0.0, started + call.at_s - time.monotonic()))
        client.urls = site.urls()
        at_s = time.monotonic() - started
        tasks.append(asyncio.create_task(client.send(call, at_s)))
    done = await asyncio.gather(*tasks)
    duration_s = time.monotonic() - started
    await timetable
    await asyncio.sleep(SETTLE_S)
    after = await site.read_states()
    summary = records.summarize(
        list(done),
        warm_s=scenario.warm_s,
        duration_s=duration_s,
        link_bytes=_link_bytes(before, after),
        doubled=_doubled(await site.read_executions()),
    )
    result = records.Result(
        name=scenario.name,
        command=" ".join(["chivelb", *sys.argv[1:]]),
        seed=scenario.seed,
        commit=current_commit(),
        settings={
            "workload": scenario.workload,
            "policy": scenario.policy,
            "keeping": scenario.keeping,
            "load": scenario.load,
            "duration_s": scenario.duration_s,
        },
        summary=summary,
        violations=records.find_violations(summary),
        calls=list(done),
    )
    return result, site.notes


def _link_bytes(before: dict, after: dict) -> int:
    return sum(
        state["link_bytes"] - before.get(name, {}).get("link_bytes", 0)
        for name, state in after.items()
        if "link_bytes" in state
    )


def _doubled(executions: list[str]) -> int:
    counts = collections.Counter(executions)
    return sum(count - 1 for count in counts.values())


def current_commit() -> str:
    """Returns the commit of the checkout, or empty outside of one."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty"],
            capture_output=True,
            text=True,
            check=True,
            cwd=pathlib.Path(__file__).parent,
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return found.stdout.strip()


def write_result(result: records.Result, path: pathlib.Path) -> None:
    """Writes a result as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.encode(result))


def read_result(path: pathlib.Path) -> records.Result:
    """Reads a result."""
    return msgspec.json.decode(path.read_bytes(), type=records.Result)
