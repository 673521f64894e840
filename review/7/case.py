"""Hundreds of changes of a manifest with some hundred routes."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))
import harness  # noqa: E402

# big_config: the site's largest dose.
ROUTES = 350
# config_storm: 0.08 s apart for 2 s, the shortest gap of the site files, more
# than once: "hundreds of changes".
STORMS = 22 if harness.has_trouble else 1
CHANGES = 25
GAP_S = 0.08
PAUSE_S = 1.0
MIB = 1_048_576
WATCH_PERIOD_S = 0.1
RESTART_S = 0.5
# RecoverS, and as much again to be on the safe side.
RECOVER_S = 24.0
READ_S = 3.0
SERVICES = [harness.plain_service("portal")]


def make_manifest(version):
    """Returns a manifest in which every version changes all time-outs."""
    routes = [
        harness.route(
            f"r-{number}",
            f"/x{number}/",
            "safe",
            "portal",
            TimeoutMs=2_000 + version,
        )
        for number in range(ROUTES)
    ]
    return harness.manifest(version, routes, SERVICES)


def used_bytes(machine):
    """Returns the memory of a process without the files that it maps."""
    try:
        text = pathlib.Path(f"/proc/{machine.process.pid}/status").read_text()
    except OSError:
        return 0
    if "RssAnon:" not in text:
        return 0
    return int(text.split("RssAnon:")[1].split()[0]) * 1024


class Platform:
    """Kills a process that uses more than MemoryMb, and starts it again."""

    def __init__(self, fleet, record):
        """Starts to count; nothing is watched yet."""
        self.fleet, self.record = fleet, record
        self.ends = {m.name: 0 for m in fleet.machines.values()}
        self.most = dict.fromkeys(self.ends, 0)

    async def watch(self, machine):
        """Watches the memory of one machine until it is cancelled."""
        limit = machine.memory_mb * MIB
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            size = used_bytes(machine)
            self.most[machine.name] = max(self.most[machine.name], size)
            if size <= limit and self.fleet.is_running(machine):
                continue
            self.ends[machine.name] += 1
            self.record(
                f"{machine.name}: {size // MIB} MiB, over its "
                f"{machine.memory_mb}: killed by the platform"
            )
            await self.fleet.kill(machine)
            await asyncio.sleep(RESTART_S)
            await self.fleet.start(machine)


async def scenario(fleet, record):
    """Plays the case and returns its result."""
    await fleet.start_all()
    operator = harness.Operator(fleet, record)
    version = 1
    if not await operator.order(
        "/configuration/replace", make_manifest(version)
    ):
        raise harness.CaseError("the first manifest was not acknowledged")
    platform = Platform(fleet, record)
    watches = [
        asyncio.create_task(platform.watch(m)) for m in fleet.machines.values()
    ]
    newest = 1
    for _ in range(STORMS):
        for _ in range(CHANGES):
            if sum(platform.ends.values()):
                break
            started_at = time.monotonic()
            version += 1
            if await operator.order(
                "/configuration/replace",
                make_manifest(version),
                within_s=2.0,
                quiet=True,
            ):
                newest = version
            await asyncio.sleep(max(0.0, started_at + GAP_S - time.monotonic()))
        sizes = {n: s // MIB for n, s in platform.most.items()}
        record(f"version {version} sent, {newest} acknowledged; most {sizes}")
        if sum(platform.ends.values()):
            break
        await asyncio.sleep(PAUSE_S)
    record("no further changes are sent")
    await asyncio.sleep(RECOVER_S)
    found = set()
    deadline = time.monotonic() + READ_S
    while time.monotonic() < deadline:
        for machine in fleet.controls():
            found.add((await operator.read(machine))[0])
        await asyncio.sleep(0.2)
    record(f"read back for {READ_S} s: {found}; acknowledged {newest}")
    record(f"processes killed for their memory: {platform.ends}")
    for watch in watches:
        watch.cancel()
    is_read_back = newest in found or version in found
    return harness.HELD if is_read_back else harness.BROKEN


harness.run_case(FOLDER, scenario, controls=3, entries=1)
