"""A runner leaves while an entry machine is down."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet as fleet_lib  # noqa: E402
import runners  # noqa: E402

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
# One of these is killed: within a share of 0.16, and within 3.5 s.
ENTRIES = 7
DOWN_S = 2.0
CONTACT_S = 3.0
DRAIN_S = 2.0
# The runner goes on serving for DrainMs "and a little longer (at times many
# seconds)".
SERVES_ON_S = 10.0


async def case(record, has_trouble) -> list[str]:
    """Returns the requests that the runner got too late."""
    fleet = fleet_lib.Fleet(record, controls=3, entries=ENTRIES)
    stays = runners.Runner(fleet, "i-stays", "portal", "zone-a")
    leaves = runners.Runner(fleet, "i-leaves", "portal", "zone-b")
    requester = runners.Requester(fleet, HOST, "/jobs/status")
    first, second, *_, idle = fleet.entries
    traffic = None
    try:
        await fleet.start()
        await fleet.operate("/configuration/replace", MANIFEST)
        for runner in (stays, leaves):
            await runner.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(4.0)
        traffic = asyncio.create_task(
            runners.send_steadily(requester, [first, second], period_s=0.04)
        )
        await asyncio.sleep(2.0)
        if not leaves.runs or not stays.runs:
            raise fleet_lib.CannotRunError("the runners got no requests")
        if has_trouble:
            await idle.kill()
        # The runner leaves: from now on its answers say so. It deregisters in
        # place of its next ping, and sends no more of them.
        record.write("i-leaves leaves")
        leaves.is_leaving = leaves.is_asked_to_leave = True
        await asyncio.sleep(DOWN_S)
        if has_trouble:
            await idle.start()
        await fleet.wait_until_ready()
        # All machines are in touch after ContactMs.
        await asyncio.sleep(CONTACT_S + 0.5)
        acknowledged_at = leaves.deregistered_at
        late_from = record.now()
        if not acknowledged_at or late_from < acknowledged_at + DRAIN_S:
            raise fleet_lib.CannotRunError("too early")
        await asyncio.gather(
            *(requester.send(idle, name="late") for _ in range(8))
        )
        if record.now() > acknowledged_at + SERVES_ON_S:
            raise fleet_lib.CannotRunError("the runner has ended by now")
        ended = fleet.check_alive()
        return [
            f"request {request_id} was sent to a runner "
            f"{at - acknowledged_at:.2f} s after it was acknowledged that the "
            f"runner is gone"
            for at, request_id, _ in leaves.runs
            if request_id.startswith("late") and at >= late_from
        ] + ended
    finally:
        if traffic is not None:
            traffic.cancel()
        for runner in (stays, leaves):
            await runner.stop()
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(case, FOLDER))
