"""A runner sends a part of a refusal behind a complete answer."""

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet  # noqa: E402

# The dose: one runner of three, 2 in 100 of its answers, for 5 seconds, twice.
SPOILED_EVERY = 50
TROUBLE_S = 5.0
PAUSE_S = 3.0
TIMES = 2
CALLERS = 6
# What a refusal begins with; the connection carries nothing behind it.
SURPLUS = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1"


class SurplusRunner(fleet.Runner):
    """Adds the beginning of a refusal to some of its answers."""

    is_faulty = False

    async def answer(self, writer, run):
        """Writes the answer, and at times more bytes behind it."""
        data = self.encode_answer(run)
        if self.is_faulty and self.answers % SPOILED_EVERY == 0:
            self.record.write(f"surplus behind the answer to {run.request_id}")
            data += SURPLUS
        writer.write(data)
        await writer.drain()
        return True


async def keep_calling(deployment, stopped, answers):
    """Sends one request after the other, each on a new connection."""
    while not stopped.is_set():
        machine = random.choice(deployment.fronts)
        answers.append(await fleet.send(deployment, machine, "/pdf/a"))
        await asyncio.sleep(0.01)


async def case(deployment, trouble):
    """Returns whether a request that isn't idempotent ran twice."""
    manifest = fleet.manifest(
        1,
        routes=[fleet.route("quote-pdf", "/pdf/", "portal", attempts=2)],
        services=[fleet.plain_service("portal")],
    )
    assert await deployment.apply(manifest) == 200
    runners = await fleet.start_runners(
        deployment,
        lambda d, zone, address: SurplusRunner(
            d, "portal", zone, address, slots=6
        ),
    )
    assert await deployment.wait_ready()
    await asyncio.sleep(4.0)
    answers = []
    stopped = asyncio.Event()
    callers = [
        asyncio.create_task(keep_calling(deployment, stopped, answers))
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(PAUSE_S)
    for _ in range(TIMES):
        runners[0].is_faulty = trouble
        await asyncio.sleep(TROUBLE_S)
        runners[0].is_faulty = False
        await asyncio.sleep(PAUSE_S)
    stopped.set()
    await asyncio.gather(*callers)
    await asyncio.sleep(1.0)
    counts = collections.Counter(
        run.request_id for runner in runners for run in runner.runs
    )
    twice = [request for request, count in counts.items() if count > 1]
    for request in twice:
        deployment.record.write(f"TWICE  {request} ran {counts[request]} times")
    good = sum(answer.status == 200 for answer in answers)
    deployment.record.write(
        f"requests {len(answers)}, answered 200 {good}, run twice {len(twice)}"
    )
    assert good > 100, "too few requests were served"
    for runner in runners:
        await runner.stop()
    return bool(twice)


if __name__ == "__main__":
    fleet.run_case(FOLDER, case)
