"""A runner deregisters at a control machine that got few of its pings."""

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
# Within the largest dose of herd_kill.
DOWN_S = 2.0
CONTACT_S = 3.0
DRAIN_S = 2.0
# The runner goes on serving for DrainMs "and a little longer (at times many
# seconds)".
SERVES_ON_S = 10.0


async def case(record, has_trouble) -> list[str]:
    """Returns the requests that the runner got too late."""
    fleet = fleet_lib.Fleet(record, controls=3, entries=6)
    # Each call of a runner goes to the next control machine.
    stays = runners.Runner(fleet, "i-stays", "portal", "zone-a", in_turn=True)
    leaves = runners.Runner(fleet, "i-leaves", "portal", "zone-b", in_turn=True)
    requester = runners.Requester(fleet, HOST, "/jobs/status")
    # Half of the entry machines, one in each zone.
    killed = fleet.entries[3:]
    try:
        await fleet.start()
        await fleet.operate("/configuration/replace", MANIFEST)
        for runner in (stays, leaves):
            await runner.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(7.0)
        if has_trouble:
            for machine in killed:
                await machine.kill()
        await asyncio.sleep(DOWN_S)
        # The runner is asked to leave as the machines come back, just after
        # one of its pings: it deregisters in place of its next one.
        sequence = leaves.sequence
        while leaves.sequence == sequence:
            await asyncio.sleep(0.02)
        record.write(f"i-leaves is asked to leave, ping {leaves.sequence}")
        leaves.is_asked_to_leave = True
        started_at = record.now()
        if has_trouble:
            for machine in killed:
                await machine.start()
        while not leaves.deregistered_at:
            await asyncio.sleep(0.02)
        acknowledged_at = leaves.deregistered_at
        # All machines are in touch ContactMs after the start.
        await fleet.wait_until_ready()
        late_from = max(acknowledged_at + DRAIN_S, started_at + CONTACT_S) + 0.5
        await asyncio.sleep(late_from - record.now())
        await asyncio.gather(
            *(
                requester.send(machine, name="late")
                for machine in fleet.entries
                for _ in range(4)
            )
        )
        if record.now() > acknowledged_at + SERVES_ON_S:
            raise fleet_lib.CannotRunError("the runner has ended by now")
        ended = fleet.check_alive()
        return [
            f"request {request_id} was sent to a runner "
            f"{at - acknowledged_at:.2f} s after it was acknowledged that the "
            f"runner is gone"
            for at, request_id, _ in leaves.runs
            if request_id.startswith("late")
        ] + ended
    finally:
        for runner in (stays, leaves):
            await runner.stop()
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(case, FOLDER))
