"""``chivelb demo``: a small site whose callers return."""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import statistics
import tempfile
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples
from chivelb_cli.lab import answers

ZONES = ["curepe", "arima", "chaguanas"]
WORKSPACES = ["joinery", "kitchens"]
PROMPTS = 12
VISITS = 5
MAX_TOKENS = 12
CALLERS = 4


@dataclasses.dataclass(slots=True)
class Visit:
    """One call of the demonstration.

    Attributes:
        first_token_s: Seconds to the first token.
        right: Whether the whole right answer came.
        cached: Prompt tokens that were reused.
        prompt: Prompt tokens.
        status: HTTP status.
    """

    first_token_s: float
    right: bool
    cached: int
    prompt: int
    status: int


def add_parser(commands) -> None:
    """Adds the subcommand."""
    parser = commands.add_parser("demo", help="run a small site and its load")
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Runs the demonstration and stops everything that it started."""
    with tempfile.TemporaryDirectory(prefix="chivelb-demo-") as folder:
        return asyncio.run(_demo(pathlib.Path(folder), arguments.seed))


async def _demo(folder: pathlib.Path, seed: int) -> int:
    document = samples.sample_document(workspaces=WORKSPACES)
    fleet = fleet_lib.Fleet(folder, document)
    fleet.plan_entries(ZONES, 1, voters=3)
    try:
        _start(fleet)
        async with aiohttp.ClientSession() as session:
            await fleet.wait_ready(session)
            await fleet.wait_targets(session, 4)
            print("three instances in three zones, two runners, a plain")
            print("service and a store are up; prompts return:")
            visits = await _visit_all(session, fleet, seed)
            checkins = await _check_in(session, fleet)
            return await _report(session, fleet, visits, checkins)
    finally:
        fleet.stop()
        print("everything that was started is stopped")


def _start(fleet: fleet_lib.Fleet) -> None:
    for name in fleet.entries:
        fleet.start_entry(name)
    for number, zone in enumerate(ZONES[:2]):
        fleet.start_target(
            "runner",
            f"runner-{number + 1}",
            zone,
            service="estimator-lm",
            cache_blocks=64,
        )
    fleet.start_target("service", "portal-1", ZONES[0], service="fitter-portal")
    fleet.start_target("store", "store-1", ZONES[1], capacity=64_000_000)


async def _visit_all(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, seed: int
) -> list[Visit]:
    rng = random.Random(seed)
    prompts = [
        (rng.choice(WORKSPACES), samples.make_prompt(rng, 400))
        for _ in range(PROMPTS)
    ]
    plan = [p for _ in range(VISITS) for p in rng.sample(prompts, PROMPTS)]
    gate = asyncio.Semaphore(CALLERS)
    entries = list(fleet.entries.values())

    async def one(number: int, workspace: str, prompt: str) -> Visit:
        async with gate:
            url = entries[number % len(entries)].url
            return await _visit(session, url, workspace, prompt)

    return await asyncio.gather(
        *(one(number, *item) for number, item in enumerate(plan))
    )


async def _visit(
    session: aiohttp.ClientSession, url: str, workspace: str, prompt: str
) -> Visit:
    started = time.monotonic()
    first = 0.0
    texts = []
    cached = 0
    async with session.post(
        f"{url}/v1/completions",
        json={
            "model": "estimator-lm",
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": True,
        },
        headers={"Authorization": f"Bearer {samples.workspace_key(workspace)}"},
    ) as response:
        async for line in response.content:
            if not line.startswith(b"data: {"):
                continue
            first = first or time.monotonic() - started
            event = msgspec.json.decode(line[6:])
            if "choices" not in event:
                continue
            texts.append(event["choices"][0]["text"])
            cached = event.get("usage", {}).get("cached_tokens", cached)
    salt = samples.workspace_salt(workspace, "estimator-lm")
    wanted = answers.answer_text(salt, "v1", prompt.encode(), MAX_TOKENS)
    return Visit(
        first,
        "".join(texts) == wanted,
        cached,
        -(-len(prompt) // 4),
        response.status,
    )


async def _check_in(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet
) -> list[int]:
    """Sends one check-in through all instances, as a caller resends it."""
    executed = []
    for entry in fleet.entries.values():
        async with session.post(
            f"{entry.url}/s/fitter-portal/checkin",
            data=b"meter 17",
            headers={
                "Authorization": f"Bearer {samples.workspace_key('joinery')}",
                "Idempotency-Key": "meter-17-evening",
            },
        ) as response:
            reply = msgspec.json.decode(await response.read())
            executed.append(reply.get("executed", -1))
    return executed


async def _report(
    session: aiohttp.ClientSession,
    fleet: fleet_lib.Fleet,
    visits: list[Visit],
    checkins: list[int],
) -> int:
    first = visits[:PROMPTS]
    later = visits[PROMPTS:]
    right = sum(visit.right for visit in visits)
    print(f"  answered whole and right    {right} of {len(visits)}")
    for name, group in (("first visits", first), ("returns", later)):
        times = sorted(v.first_token_s * 1000 for v in group)
        computed = sum(v.prompt - v.cached for v in group)
        share = computed / sum(v.prompt for v in group)
        print(
            f"  {name:<14} time to first token p50 "
            f"{statistics.median(times):.0f} ms, p95 "
            f"{times[int(len(times) * 0.95)]:.0f} ms; "
            f"recomputed {share:.0%}"
        )
    runs = await fleet_lib.operator_get(
        session, fleet.targets["portal-1"].url, "/admin/executions"
    )
    print(
        f"  one check-in sent to {len(checkins)} instances ran "
        f"{len(runs)} time(s)"
    )
    good = right == len(visits) and len(runs) == 1
    print("all good" if good else "SOMETHING IS WRONG")
    return 0 if good else 1
