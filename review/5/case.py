"""A tenant becomes isolated."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet  # noqa: E402
import model_runner  # noqa: E402

SHARED_PART = "5c1e07a2"
# Well beyond ConfigApplyMs.
SETTLED_S = 6.0
REQUESTS = 6
KEYS = {"bozi300": "jnbanfqasnmgkcuyj8pj", "tamu100": "bvk9m68k7b2ex5wa5xwy"}
ISOLATED, OTHER = KEYS


class CachingRunner(model_runner.ModelRunner):
    """Keeps the parts that it reads, under their salt, and who made them."""

    def __init__(self, *arguments, **options):
        """Creates a runner that keeps no part yet."""
        super().__init__(*arguments, **options)
        self.made_by = {}
        self.uses = []

    async def answer(self, writer, run):
        """Notes which parts the run makes or uses, and answers it."""
        salt = run.headers.get("x-cache-salt")
        tenant = run.headers.get("x-tenant-id")
        for entry in run.headers["x-prefix-hash"].split(","):
            part = entry.partition(":")[0]
            maker = self.made_by.setdefault((salt, part), tenant)
            verb = "makes" if maker == tenant else f"uses {maker}'s"
            self.record.write(
                f"{run.request_id} of {tenant} {verb} part {part} under "
                f"{salt!r}"
            )
            if maker != tenant:
                self.uses.append((run.request_id, maker, tenant))
        return await super().answer(writer, run)


def manifest(version, isolated):
    """Returns a manifest in which some tenants are isolated."""
    return fleet.manifest(
        version,
        routes=[
            model_runner.route(
                "full-quote", "/quote/", "estimator-lm", Public=False
            )
        ],
        services=[fleet.model_service("estimator-lm")],
        tenants=[
            {
                "Name": name,
                "ApiKeys": [key],
                "Priority": 1,
                "Isolated": name in isolated,
            }
            for name, key in KEYS.items()
        ],
    )


async def ask(deployment, tenant):
    """Sends some requests of a tenant, all with the same shared part."""
    for index in range(REQUESTS):
        machine = deployment.fronts[index % len(deployment.fronts)]
        answer = await fleet.send(
            deployment,
            machine,
            "/quote/a",
            headers=model_runner.prompt_headers(
                SHARED_PART, **{"X-Key": KEYS[tenant]}
            ),
        )
        assert answer.status == 200, "a request was not served"


async def case(deployment, trouble):
    """Returns whether a request used what an isolated tenant's made."""
    record = deployment.record
    assert await deployment.apply(manifest(1, [])) == 200
    runners = await fleet.start_runners(
        deployment,
        lambda d, zone, address: CachingRunner(
            d, "estimator-lm", zone, address, slots=64
        ),
    )
    assert await deployment.wait_ready()
    await asyncio.sleep(5.0)
    await ask(deployment, ISOLATED)
    isolated = [ISOLATED] if trouble else []
    assert await deployment.apply(manifest(2, isolated)) == 200
    record.write(f"isolated tenants from here on: {isolated}")
    await asyncio.sleep(SETTLED_S)
    for runner in runners:
        runner.uses.clear()
    await ask(deployment, OTHER)
    broken = [
        (request, maker, tenant)
        for runner in runners
        for request, maker, tenant in runner.uses
        if maker in isolated or tenant in isolated
    ]
    for request, maker, tenant in broken:
        record.write(
            f"WALL   {request} of {tenant} used KV cache that a request of "
            f"{maker} made"
        )
    record.write(f"requests that used another's: {len(broken)}")
    for runner in runners:
        await runner.stop()
    return bool(broken)


if __name__ == "__main__":
    fleet.run_case(FOLDER, case)
