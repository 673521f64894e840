"""Helpers for tests that run a fleet of real processes.

A site (``test_site_*``) is the fleet of one test: its instances and targets in
all availability zones.
"""

import asyncio
import contextlib
import functools

import aiohttp
from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples
from chivelb_cli.lab import expected_output
import msgspec

ZONES = ["z1", "z2", "z3"]
WORKSPACES = ["joinery", "kitchens"]
SERVICE = "estimator-lm"
PORTAL = "fitter-portal"
PROMPT = "measure the oak worktop " * 60


def make_fleet(
    folder, *, per_zone=1, voters=3, zones=None, http=None, **options
):
    document = samples.sample_document(
        workspaces=WORKSPACES, versions=("v1", "v2"), **options
    )
    document["models"]["lm"]["loads_at_once"] = 1
    fleet = fleet_lib.Fleet(folder, document)
    fleet.configure_instances(
        zones or ZONES,
        per_zone,
        voters=voters,
        options={"http": {"body_timeout_s": 1.0, **(http or {})}},
    )
    return fleet


def start_instances(fleet, names=None):
    for name in names or list(fleet.instances):
        fleet.start_instance(name)


def start_runner(fleet, identity, zone, **options):
    return fleet.start_target(
        "runner", identity, zone, service=SERVICE, **options
    )


def start_portal(fleet, identity, zone, **options):
    return fleet.start_target(
        "service", identity, zone, service=PORTAL, **options
    )


@contextlib.asynccontextmanager
async def client_session(fleet):
    """Opens a client session, and stops the fleet on exit."""
    timeout = aiohttp.ClientTimeout(total=60)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            yield session
    finally:
        fleet.stop()


def run_scenario(tmp_path, scenario, **options):
    """Runs a scenario on a new fleet once instances and claim keepers serve."""
    fleet = make_fleet(tmp_path, **options)

    async def main():
        async with client_session(fleet) as session:
            start_instances(fleet)
            await fleet.wait_ready(session)
            await wait_keepers(session, fleet)
            await scenario(session, fleet)

    asyncio.run(main())


def headers(workspace="joinery", **more):
    key = samples.workspace_key(workspace)
    return {"Authorization": f"Bearer {key}", **more}


def expected_answer(prompt=PROMPT, tokens=8, workspace="joinery", version="v1"):
    salt = samples.workspace_salt(workspace, SERVICE)
    return expected_output.expected_text(salt, version, prompt.encode(), tokens)


def body_of(prompt=PROMPT, tokens=8, **more):
    return {"model": SERVICE, "prompt": prompt, "max_tokens": tokens, **more}


async def complete(session, url, *, workspace="joinery", more=None, **body):
    """Posts a completion and returns the status, decoded reply and headers."""
    async with session.post(
        f"{url}/v1/completions",
        json=body_of(**body),
        headers=headers(workspace, **(more or {})),
    ) as response:
        reply = msgspec.json.decode(await response.read())
        return response.status, reply, response.headers


def text_of(reply):
    return reply["choices"][0]["text"]


async def check_in(session, url, key, body="meter 1", workspace="joinery"):
    async with session.post(
        f"{url}/s/{PORTAL}/checkin",
        data=body.encode(),
        headers=headers(workspace, **{"Idempotency-Key": key}),
    ) as response:
        return response.status, msgspec.json.decode(await response.read())


async def executions(session, fleet, identity="portal-1"):
    url = fleet.targets[identity].url
    async with session.get(f"{url}/admin/executions") as response:
        return msgspec.json.decode(await response.read())


async def set_faults(session, fleet, identity, **faults):
    url = fleet.targets[identity].url
    async with session.post(f"{url}/admin/faults", json=faults) as response:
        assert response.status == 200, await response.text()


async def admin(session, fleet, identity, action):
    url = fleet.targets[identity].url
    async with session.post(f"{url}/admin/{action}") as response:
        assert response.status == 200


async def state_of(session, fleet, identity):
    url = fleet.targets[identity].url
    async with session.get(f"{url}/admin/state") as response:
        return msgspec.json.decode(await response.read())


async def status_of(session, fleet, name):
    return await fleet_lib.operator_get(
        session, fleet.instances[name].url, "/operator/status"
    )


async def version_of(session, fleet, name):
    shown = await fleet_lib.operator_get(
        session, fleet.instances[name].url, "/operator/document"
    )
    return shown["version"] if shown else -1


async def change_limits(session, fleet, name, change_id, base, queue):
    """Changes the limit ``max_queue`` and returns the status and reply."""
    change = {
        "change_id": change_id,
        "base_version": base,
        "operations": [{"path": "limits", "value": {"max_queue": queue}}],
    }
    return await fleet_lib.operator_post(
        session, fleet.instances[name].url, "/operator/changes", change
    )


async def wait_version(session, fleet, names, version, timeout_s=15.0):
    for name in names:

        async def reached(name=name):
            return await version_of(session, fleet, name) >= version

        await fleet_lib.wait_for(
            reached, f"{name} at version {version}", timeout_s
        )


async def wait_leader(session, fleet, names):
    async def find():
        for name in names:
            status = await status_of(session, fleet, name)
            if status and status["here"]["role"] == "leader":
                return name
        return None

    return await fleet_lib.wait_for(find, "a leader")


async def wait_keepers(session, fleet):
    """Waits until all claim keepers are serving.

    Claim keepers are the instances that store idempotency claims.
    """
    wanted = sum(
        bool(instance.data_dir) for instance in fleet.instances.values()
    )
    name = next(iter(fleet.instances))

    async def serving():
        status = await status_of(session, fleet, name)
        keepers = [i["keeper"] for i in status["instances"]]
        return keepers.count("serving") == wanted

    await fleet_lib.wait_for(serving, "all claim keepers")


async def partition_zone(session, fleet, zone):
    """Partitions a zone off and waits until it can't reach other zones.

    Until then, the other side of the partition may still answer requests.
    """
    fleet.partition_zone(zone)
    inside = [i.name for i in fleet.instances.values() if i.zone == zone]
    outside = {i.name for i in fleet.instances.values() if i.zone != zone}

    async def partitioned():
        for name in inside:
            status = await status_of(session, fleet, name)
            if not outside <= set(status["unreachable"]):
                return False
        return True

    await fleet_lib.wait_for(partitioned, f"{zone} to be partitioned off")


wait_for = fleet_lib.wait_for
partial = functools.partial
