"""``chivelb demo``: a small site that serves repeated prompts.

A site is one whole deployment: here three instances in three availability
zones, two runners, a target of a plain (non-model) service and a KV cache
store, all as local processes.
"""

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
from chivelb_cli.lab import expected_output

ZONES = ["curepe", "arima", "chaguanas"]
WORKSPACES = ["joinery", "kitchens"]
PROMPT_COUNT = 12
CALLS_PER_PROMPT = 5
MAX_TOKENS = 12
CONCURRENT_CALLS = 4


@dataclasses.dataclass(slots=True)
class CallResult:
    """Result of one call.

    Attributes:
        first_token_s: Time to first token in seconds.
        correct: Whether the response was complete and correct.
        cached_tokens: Prompt tokens reused from the KV cache.
        prompt_tokens: Prompt tokens in total.
        status: HTTP status.
    """

    first_token_s: float
    correct: bool
    cached_tokens: int
    prompt_tokens: int
    status: int


def add_parser(commands) -> None:
    """Adds the subcommand."""
    parser = commands.add_parser(
        "demo", help="run a small local site under load"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Runs the demonstration and stops all processes that it started."""
    with tempfile.TemporaryDirectory(prefix="chivelb-demo-") as folder:
        return asyncio.run(_demo(pathlib.Path(folder), arguments.seed))


async def _demo(folder: pathlib.Path, seed: int) -> int:
    document = samples.sample_document(workspaces=WORKSPACES)
    fleet = fleet_lib.Fleet(folder, document)
    fleet.configure_instances(ZONES, 1, voters=3)
    try:
        _start(fleet)
        async with aiohttp.ClientSession() as session:
            await fleet.wait_ready(session)
            await fleet.wait_targets(session, 4)
            print("started three instances in three zones, two runners, one")
            print("plain target and one store; sending repeated prompts:")
            results = await _send_prompts(session, fleet, seed)
            execution_counts = await _send_check_in(session, fleet)
            return await _print_report(
                session, fleet, results, execution_counts
            )
    finally:
        fleet.stop()
        print("all processes stopped")


def _start(fleet: fleet_lib.Fleet) -> None:
    for name in fleet.instances:
        fleet.start_instance(name)
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


async def _send_prompts(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet, seed: int
) -> list[CallResult]:
    rng = random.Random(seed)
    prompts = [
        (rng.choice(WORKSPACES), samples.make_prompt(rng, 400))
        for _ in range(PROMPT_COUNT)
    ]
    plan = [
        p
        for _ in range(CALLS_PER_PROMPT)
        for p in rng.sample(prompts, PROMPT_COUNT)
    ]
    semaphore = asyncio.Semaphore(CONCURRENT_CALLS)
    instances = list(fleet.instances.values())

    async def send_limited(
        number: int, workspace: str, prompt: str
    ) -> CallResult:
        async with semaphore:
            url = instances[number % len(instances)].url
            return await _send_prompt(session, url, workspace, prompt)

    return await asyncio.gather(
        *(send_limited(number, *call) for number, call in enumerate(plan))
    )


async def _send_prompt(
    session: aiohttp.ClientSession, url: str, workspace: str, prompt: str
) -> CallResult:
    started_at = time.monotonic()
    first_token_s = 0.0
    texts = []
    cached_tokens = 0
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
            first_token_s = first_token_s or time.monotonic() - started_at
            event = msgspec.json.decode(line[6:])
            if "choices" not in event:
                continue
            texts.append(event["choices"][0]["text"])
            cached_tokens = event.get("usage", {}).get(
                "cached_tokens", cached_tokens
            )
    salt = samples.workspace_salt(workspace, "estimator-lm")
    expected = expected_output.expected_text(
        salt, "v1", prompt.encode(), MAX_TOKENS
    )
    # A token is estimated as four bytes, rounded up.
    return CallResult(
        first_token_s,
        "".join(texts) == expected,
        cached_tokens,
        -(-len(prompt) // 4),
        response.status,
    )


async def _send_check_in(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet
) -> list[int]:
    """Sends one request to all instances with the same idempotency key.

    Returns:
        Executions of the service so far, as reported by each response; -1
        where a response reports none.
    """
    executed = []
    for instance in fleet.instances.values():
        async with session.post(
            f"{instance.url}/s/fitter-portal/checkin",
            data=b"meter 17",
            headers={
                "Authorization": f"Bearer {samples.workspace_key('joinery')}",
                "Idempotency-Key": "meter-17-evening",
            },
        ) as response:
            reply = msgspec.json.decode(await response.read())
            executed.append(reply.get("executed", -1))
    return executed


async def _print_report(
    session: aiohttp.ClientSession,
    fleet: fleet_lib.Fleet,
    results: list[CallResult],
    execution_counts: list[int],
) -> int:
    first_calls = results[:PROMPT_COUNT]
    repeat_calls = results[PROMPT_COUNT:]
    correct = sum(result.correct for result in results)
    print(f"  complete and correct        {correct} of {len(results)}")
    for name, group in (
        ("first calls", first_calls),
        ("repeat calls", repeat_calls),
    ):
        times = sorted(result.first_token_s * 1000 for result in group)
        uncached_tokens = sum(
            result.prompt_tokens - result.cached_tokens for result in group
        )
        share = uncached_tokens / sum(result.prompt_tokens for result in group)
        print(
            f"  {name:<14} time to first token p50 "
            f"{statistics.median(times):.0f} ms, p95 "
            f"{times[int(len(times) * 0.95)]:.0f} ms; "
            f"not cached {share:.0%}"
        )
    executions = await fleet_lib.operator_get(
        session, fleet.targets["portal-1"].url, "/admin/executions"
    )
    print(
        f"  one check-in sent to {len(execution_counts)} instances was "
        f"executed {len(executions)} time(s)"
    )
    passed = correct == len(results) and len(executions) == 1
    print("demo passed" if passed else "demo FAILED")
    return 0 if passed else 1
