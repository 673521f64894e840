"""One answer of a runner goes on with status lines instead of its body."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import fleet as fleet_lib  # noqa: E402
import http1  # noqa: E402
import runners as runners_lib  # noqa: E402

HOST = "portal.example"
TIMEOUT_MS = 2500
# The time after the timeout within which the rule wants a final answer.
GRACE_S = 0.5
MANIFEST = {
    "Version": 7,
    "Routes": [
        {
            "Name": "quote-pdf",
            "Host": HOST,
            "PathPrefix": "/quotes/",
            "Kind": "unsafe",
            "TimeoutMs": TIMEOUT_MS,
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
PERIOD_S = 0.05
# Sound answers of the runner before the spoiled one: a share of 0.02.
SOUND_ANSWERS = 50
SPOILED_BODY = b"HTTP/1.1 200" * 100_000


class SpoilingRunner(runners_lib.Runner):
    """A runner that may spoil one answer.

    Attributes:
        is_to_spoil: Whether the next answer is spoiled.
    """

    is_to_spoil = False

    async def run(self, request, writer, source) -> None:
        """Answers, or writes a head without a length and then status lines."""
        if not self.is_to_spoil:
            await super().run(request, writer, source)
            return
        self.is_to_spoil = False
        self.note_run(request, source)
        self.record.write(f"{self.identity} spoils its answer")
        headers = [
            *self.headers(request),
            ("X-Response-Seal", f"seal.{self.identity}"),
            ("Connection", "close"),
        ]
        head = http1.encode("HTTP/1.1 200 OK", headers, has_length=False)
        writer.write(head + SPOILED_BODY)
        await writer.drain()
        writer.close()


async def send(record, machine, request_id: str, unanswered: list[str]) -> None:
    """Sends one request and waits longer than its time."""
    started_at = time.monotonic()
    limit_s = TIMEOUT_MS / 1000 + GRACE_S
    try:
        answer = await http1.request(
            machine.front,
            "POST",
            "/quotes/one",
            headers=[
                ("Host", HOST),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", str(2 * TIMEOUT_MS)),
            ],
            body=b"{}",
            timeout_s=limit_s,
        )
        result = str(answer.status)
    except (OSError, TimeoutError, http1.BrokenError) as error:
        result = type(error).__name__
    took_s = time.monotonic() - started_at
    if took_s >= limit_s:
        unanswered.append(request_id)
    record.write(f"{request_id} {machine.name}: {result} after {took_s:.3f} s")


async def case(record, has_trouble) -> list[str]:
    """Returns the requests without a final answer in time."""
    fleet = fleet_lib.Fleet(record, controls=3, entries=3)
    # One of three runners: within a share of 0.35.
    spoiling = SpoilingRunner(fleet, "i-0", "portal", "zone-a", slots=64)
    runners = [spoiling] + [
        runners_lib.Runner(fleet, f"i-{index}", "portal", "zone-b", slots=64)
        for index in (1, 2)
    ]
    machine = fleet.entries[0]
    unanswered: list[str] = []
    tasks = []
    try:
        await fleet.start()
        await fleet.operate("/configuration/replace", MANIFEST)
        for runner in runners:
            await runner.start()
        await fleet.wait_until_ready()
        await asyncio.sleep(4.0)
        is_spoiled = False
        ends_at = record.now() + 30.0
        spoiled_at = ends_at
        while record.now() < min(ends_at, spoiled_at + 12.0):
            if not is_spoiled and len(spoiling.runs) >= SOUND_ANSWERS:
                is_spoiled = True
                spoiled_at = record.now()
                spoiling.is_to_spoil = has_trouble
            name = f"q{len(tasks):05d}"
            tasks.append(
                asyncio.create_task(send(record, machine, name, unanswered))
            )
            await asyncio.sleep(PERIOD_S)
        if not is_spoiled:
            raise fleet_lib.CannotRunError("the runner got too few requests")
        await asyncio.gather(*tasks)
        record.write(f"without an answer: {len(unanswered)} of {len(tasks)}")
        broken = fleet.check_alive()
        # None that is sound lasts as long as the timeout, so that all of these
        # are over a quarter of those that do.
        if len(unanswered) >= 8:
            broken.append(
                f"{len(unanswered)} requests had no final answer "
                f"{GRACE_S} s after the timeout of their route"
            )
        return broken
    finally:
        for task in tasks:
            task.cancel()
        for runner in runners:
            await runner.stop()
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(fleet_lib.run_case(case, FOLDER))
