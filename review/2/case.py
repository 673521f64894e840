"""A valid manifest adds a route whose name has a slash."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet  # noqa: E402

OLD_NAME, NEW_NAME = "full-quote", "quotes/full"
CONFIG_APPLY_S = fleet.BOUNDS["ConfigApplyMs"] / 1000
CALLS_S = 14.0


async def keep_calling(deployment, machine, path, until, answers):
    """Sends one request after the other to a front machine."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        sent_at = loop.time()
        answer = await fleet.send(deployment, machine, path)
        answers.append((sent_at, answer))
        await asyncio.sleep(0.1)


def manifest(version, names):
    """Returns a manifest with routes, given as names and path prefixes."""
    return fleet.manifest(
        version,
        routes=[
            fleet.route(name, f"/{prefix}/", "portal") for name, prefix in names
        ],
        services=[fleet.plain_service("portal")],
    )


async def case(deployment, trouble):
    """Returns whether an acknowledged route was answered 404 too late."""
    record = deployment.record
    first = [(OLD_NAME, "a")]
    assert await deployment.apply(manifest(3, first)) == 200
    runners = await fleet.start_runners(
        deployment,
        lambda d, zone, address: fleet.Runner(
            d, "portal", zone, address, slots=6
        ),
    )
    assert await deployment.wait_ready()
    # Longer than ContactMs: all machines are in touch from here on.
    await asyncio.sleep(5.0)
    name = NEW_NAME if trouble else NEW_NAME.replace("/", "-")
    record.write(f"the manifest adds the route {name!r} at /b/")
    assert await deployment.apply(manifest(5, [*first, (name, "b")])) == 200
    loop = asyncio.get_running_loop()
    acknowledged_at = loop.time()
    until = acknowledged_at + CALLS_S
    answers = []
    await asyncio.gather(
        *(
            keep_calling(deployment, machine, path, until, answers)
            for machine in deployment.fronts
            for path in ("/a/x", "/b/x")
        )
    )
    due_at = acknowledged_at + CONFIG_APPLY_S
    late = [a for sent_at, a in answers if sent_at > due_at]
    refused = [a for a in late if a.status == 404]
    good = [a for a in late if a.status == 200]
    unanswered = [a for a in late if a.status == 0]
    ended = {
        f"{machine.role} {machine.ip}": len(machine.exits)
        for machine in deployment.core + deployment.fronts
        if machine.exits
    }
    record.write(
        f"requests sent later than {CONFIG_APPLY_S} s after the "
        f"acknowledgement: {len(late)}, 200 {len(good)}, 404 on the route "
        f"that is there {len(refused)}, connection refused or closed "
        f"{len(unanswered)}"
    )
    record.write(f"processes that ended by themselves: {ended}")
    assert len(answers) > 100, "too few requests were sent"
    for runner in runners:
        await runner.stop()
    return bool(refused)


if __name__ == "__main__":
    fleet.run_case(FOLDER, case)
