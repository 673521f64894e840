"""Two disks are lost while three other machines of the core are down."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import harness  # noqa: E402

# Bounds of the grown deployments: six core machines, two losses to be borne.
BOUNDS = {
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 6,
    "ConfigApplyMs": 2500,
    "OuterMs": 6000,
    "RecoverS": 15,
    "DrainMs": 2500,
}
TRAFFIC_STARTS_S = 16.0
DOWN_S = 8.0
# Time that the system has after all machines are back: RecoverS, and as much
# again and more to be on the safe side.
RECOVER_S = 40.0
READ_S = 4.0
ROUTES = [harness.route("r-a", "/full/", "streaming", "lm")]
SERVICES = [harness.lm_service("lm")]


async def scenario(fleet, record):
    """Plays the case and returns its result."""
    operator = harness.Operator(fleet, record)
    started_at = time.monotonic()
    await fleet.start_all()
    if not await operator.order(
        "/configuration/replace", harness.manifest(7, ROUTES, SERVICES)
    ):
        raise harness.CaseError("the first manifest was not acknowledged")
    await asyncio.sleep(started_at + TRAFFIC_STARTS_S - time.monotonic())
    seeds, others = fleet.controls()[:3], fleet.controls()[3:]
    if harness.has_trouble:
        for machine in others:
            await fleet.kill(machine)
    await asyncio.sleep(DOWN_S)
    acknowledged = await operator.order(
        "/configuration/replace", harness.manifest(8, ROUTES, SERVICES)
    )
    if not acknowledged:
        raise harness.CaseError("version 8 was not acknowledged")
    if harness.has_trouble:
        for machine in seeds[:2]:
            await fleet.kill(machine, wipe=True)
        await asyncio.sleep(1.0)
        for machine in (*seeds[:2], *others):
            await fleet.start(machine)
    back_at = time.monotonic()
    record("all machines are back")
    while time.monotonic() < back_at + RECOVER_S:
        await asyncio.sleep(1.0)
        versions = {
            machine.name: await read(operator, machine)
            for machine in fleet.controls()
        }
        if 8 in versions.values():
            break
    record(
        f"{time.monotonic() - back_at:.1f} s after they are back: {versions}"
    )
    # The read at the end of the day, and one more change.
    deadline = time.monotonic() + READ_S
    found = set()
    while time.monotonic() < deadline:
        for machine in fleet.controls():
            found.add(await read(operator, machine))
        await asyncio.sleep(0.5)
    record(f"read back within {READ_S} s at all machines: {found}")
    changed = await operator.order(
        "/configuration/replace",
        harness.manifest(9, ROUTES, SERVICES),
        within_s=10.0,
    )
    record(f"a further change is acknowledged: {changed}")
    older = {version for version in found if isinstance(version, int)}
    is_lost = 8 not in found or min(older) < 8
    return harness.BROKEN if is_lost else harness.HELD


async def read(operator, machine):
    """Returns the version that is read back, or the status without one."""
    version, response = await operator.read(machine)
    return f"{response}" if version is None else version


harness.run_case(
    FOLDER, scenario, controls=6, entries=1, bounds=BOUNDS, tolerance=2
)
