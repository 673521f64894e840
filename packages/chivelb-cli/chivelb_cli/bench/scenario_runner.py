"""Execution of a scenario: processes, workload, faults and result."""

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
from chivelb_cli.bench import scenario_cluster
from chivelb_cli.bench import workloads

# Wait between the last response and the final query of the targets' counters.
COUNTER_DELAY_S = 0.5


async def run_scenario(
    scenario: scenario_lib.Scenario,
    *,
    folder: pathlib.Path | None = None,
) -> tuple[records.Result, list[str]]:
    """Runs a scenario and stops all processes that it started.

    Args:
        scenario: The scenario.
        folder: Directory of logs and data; a temporary one by default.

    Returns:
        The result, and a log line for each executed step of the fault
        schedule.
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
            cluster = scenario_cluster.ScenarioCluster(
                scenario, folder, session
            )
            try:
                await cluster.start()
                return await _run_workload(cluster)
            finally:
                cluster.fleet.stop()


def plan_workload_calls(
    scenario: scenario_lib.Scenario,
) -> list[workloads.PlannedCall]:
    """Returns the calls of a scenario in the order of sending."""
    params = workloads.WORKLOAD_PARAMS[scenario.workload]
    params = dataclasses.replace(
        params, rate_per_s=params.rate_per_s * scenario.load
    )
    calls = workloads.plan_calls(
        scenario.site,
        params,
        seed=scenario.seed,
        duration_s=scenario.duration_s,
    )
    workspace = next(iter(scenario.site.workspaces))
    calls += [
        workloads.PlannedCall(at_s, workspace, scenario.poison, 4)
        for at_s in scenario.poison_times
    ]
    return sorted(calls, key=lambda call: call.at_s)


async def _run_workload(
    cluster: scenario_cluster.ScenarioCluster,
) -> tuple[records.Result, list[str]]:
    scenario = cluster.scenario
    calls = plan_workload_calls(scenario)
    client = client_lib.VerifyingClient(
        cluster.session,
        [],
        service=scenario.site.model_service,
        plain_service=scenario.site.plain_service,
        versions=scenario.versions,
        seed=scenario.seed,
    )
    states_before = await cluster.read_target_states()
    start_time = time.monotonic()
    schedule_task = asyncio.create_task(cluster.run_fault_schedule(start_time))
    call_tasks = []
    for call in calls:
        await asyncio.sleep(max(0.0, start_time + call.at_s - time.monotonic()))
        client.urls = cluster.urls()
        at_s = time.monotonic() - start_time
        call_tasks.append(asyncio.create_task(client.send(call, at_s)))
    call_records = await asyncio.gather(*call_tasks)
    duration_s = time.monotonic() - start_time
    await schedule_task
    await asyncio.sleep(COUNTER_DELAY_S)
    states_after = await cluster.read_target_states()
    summary = records.summarize(
        list(call_records),
        warm_s=scenario.warm_s,
        duration_s=duration_s,
        link_bytes=_link_bytes(states_before, states_after),
        doubled=_count_duplicates(await cluster.read_executions()),
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
        calls=list(call_records),
    )
    return result, cluster.step_log


def _link_bytes(states_before: dict, states_after: dict) -> int:
    return sum(
        state["link_bytes"] - states_before.get(name, {}).get("link_bytes", 0)
        for name, state in states_after.items()
        if "link_bytes" in state
    )


def _count_duplicates(executions: list[str]) -> int:
    counts = collections.Counter(executions)
    return sum(count - 1 for count in counts.values())


def current_commit() -> str:
    """Returns the ``git describe`` of the checkout, or empty outside one."""
    try:
        completed = subprocess.run(
            ["git", "describe", "--always", "--dirty"],
            capture_output=True,
            text=True,
            check=True,
            cwd=pathlib.Path(__file__).parent,
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return completed.stdout.strip()


def write_result(result: records.Result, path: pathlib.Path) -> None:
    """Writes a result as JSON and creates missing parent directories."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.encode(result))


def read_result(path: pathlib.Path) -> records.Result:
    """Reads a result.

    Raises:
        OSError: The file can't be read.
        msgspec.MsgspecError: The file isn't a valid result.
    """
    return msgspec.json.decode(path.read_bytes(), type=records.Result)
