"""A heartbeat of another writer, then new weights."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet  # noqa: E402
import model_runner  # noqa: E402

VERSION_S = fleet.BOUNDS["VersionMs"] / 1000
# Requests go on for this long after the new weights were acknowledged.
CALLS_S = 34.0


async def ping(deployment, runner):
    """Sends one heartbeat of another writer to a core machine.

    All fields are those of a sound runner, but for the address: a host without
    a port.
    """
    body = {
        **runner.heartbeat_body(),
        "Address": f"{deployment.subnet}.90",
        "Sequence": 1,
    }
    machine = deployment.core[0]
    answer = await fleet.call(
        f"{machine.ip}:{deployment.control}",
        "POST",
        "/instances/i-7f3a91c2/heartbeat",
        json.dumps(body).encode(),
    )
    deployment.record.write(
        f"ping of another writer, Address {body['Address']!r}: {answer.status}"
    )


async def name_weights(deployment, version):
    """Names new weights; returns the status of the acknowledgement."""
    body = json.dumps({"Model": fleet.MODEL, "Version": version}).encode()
    answer = await deployment.operate("POST", "/version-put", body)
    deployment.record.write(f"weights {version} named: {answer.status}")
    return answer.status


async def case(deployment, trouble):
    """Returns whether a request began on the old weights too late."""
    record = deployment.record
    manifest = fleet.manifest(
        1,
        routes=[model_runner.route("full-quote", "/quote/", "estimator-lm")],
        services=[fleet.model_service("estimator-lm")],
    )
    assert await deployment.apply(manifest) == 200
    runners = await fleet.start_runners(
        deployment,
        lambda d, zone, address: model_runner.ModelRunner(
            d, "estimator-lm", zone, address, slots=64
        ),
    )
    assert await deployment.wait_ready()
    await asyncio.sleep(5.0)
    if trouble:
        await ping(deployment, runners[0])
    await asyncio.sleep(4.0)
    assert await name_weights(deployment, 2) == 200
    loop = asyncio.get_running_loop()
    acknowledged_at = loop.time()
    answers, late = 0, []
    while (elapsed_s := loop.time() - acknowledged_at) < CALLS_S:
        machine = deployment.fronts[answers % len(deployment.fronts)]
        shared = fleet.new_request_id()[:8]
        answer = await fleet.send(
            deployment,
            machine,
            "/quote/a",
            headers=model_runner.prompt_headers(shared),
        )
        answers += 1
        weights = answer.headers.get("x-weight-versions")
        if elapsed_s > VERSION_S and answer.status == 200 and weights == "1":
            late.append(answer.request_id)
        await asyncio.sleep(0.2)
    ended = {machine.ip: len(machine.exits) for machine in deployment.core}
    record.write(
        f"requests {answers}, begun on weights 1 later than {VERSION_S} s "
        f"after weights 2 were acknowledged: {len(late)}"
    )
    record.write(f"weights of the runners: {[r.version for r in runners]}")
    record.write(f"core processes that ended by themselves: {ended}")
    for runner in runners:
        await runner.stop()
    return bool(late)


if __name__ == "__main__":
    fleet.run_case(FOLDER, case)
