"""Pings of another writer come after the final fault."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet as fleet_lib  # noqa: E402
import http1  # noqa: E402
import runners as runners_lib  # noqa: E402

HOST = "portal.example"
MANIFEST = {
    "Version": 7,
    "Routes": [
        {
            "Name": "job-status",
            "Host": HOST,
            "PathPrefix": "/jobs/",
            "Kind": "safe",
            "TimeoutMs": 2500,
            "TargetLatencyMs": 200,
            "Priority": 2,
            "Service": "portal",
            "MaxAttempts": 1,
            "Public": True,
        }
    ],
    "Services": [
        {
            "Name": "portal",
            "HealthPath": "/healthz",
            "MaxConnections": 110,
            "Protocol": "h1",
            "Tls": False,
        }
    ],
}
DOWN_S = 1.0
RECOVER_S = 12.0
WATCHED_S = 8.0
PERIOD_S = 0.1


async def write_pings(fleet, runners) -> None:
    """Sends pings of another writer, each with an Id of its own.

    They name a service that the manifest doesn't have.
    """
    for runner in runners:
        ping = {
            **runner.ping(),
            "Service": "not-in-the-manifest",
            "born": int(time.time() * 1000),
        }
        machine = fleet.controls[0]
        answer = await http1.request(
            machine.control,
            "POST",
            f"/instances/other-{runner.identity}/heartbeat",
            headers=[("Host", machine.control)],
            body=json.dumps(ping).encode(),
        )
        fleet.record.write(
            f"another writer's ping for {runner.address}: {answer.status}"
        )


async def send_for(fleet, requester, duration_s: float) -> float:
    """Sends requests to all entry machines; returns the share served."""
    before = len(requester.answers)
    tasks = []
    ends_at = fleet.record.now() + duration_s
    while fleet.record.now() < ends_at:
        machine = fleet.entries[len(tasks) % len(fleet.entries)]
        tasks.append(asyncio.create_task(requester.send(machine)))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)
    answers = requester.answers[before:]
    served = sum(status == 200 for _, _, status in answers) / len(answers)
    fleet.record.write(f"served {served:.2f} of {len(answers)}")
    return served


async def case(record, has_trouble) -> list[str]:
    """Returns what broke the rule: the share served before and after."""
    fleet = fleet_lib.Fleet(record, controls=3, entries=3)
    runners = [
        runners_lib.Runner(fleet, f"i-{index}", "portal", zone)
        for index, zone in enumerate(fleet_lib.ZONES)
    ]
    requester = runners_lib.Requester(fleet, HOST, "/jobs/status")
    try:
        await fleet.start()
        await fleet.operate("/configuration/replace", MANIFEST)
        for runner in runners:
            await runner.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(4.0)
        before = await send_for(fleet, requester, 4.0)
        newer = {**MANIFEST, "Version": MANIFEST["Version"] + 1}
        await fleet.operate("/configuration/replace", newer)
        if has_trouble:
            for machine in fleet.machines:
                await machine.kill()
            await asyncio.sleep(DOWN_S)
            for machine in fleet.machines:
                await machine.start()
        await fleet.wait_until_ready()
        back_at = record.now()
        await asyncio.sleep(4.0)
        if has_trouble:
            await write_pings(fleet, runners)
        await asyncio.sleep(back_at + RECOVER_S + 0.5 - record.now())
        after = await send_for(fleet, requester, WATCHED_S)
        broken = fleet.check_alive()
        if before >= 0.25 and after < 0.25:
            broken.append(f"served {after:.2f} after {before:.2f}")
        return broken
    finally:
        for runner in runners:
            await runner.stop()
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(case, FOLDER))
