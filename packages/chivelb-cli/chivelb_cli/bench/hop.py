"""Cost of the entry hop, beside the target itself and a bare forwarder."""

import asyncio
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import aiohttp
import msgspec

from chivelb_cli import fleet as fleet_lib
from chivelb_cli import samples

SERVICE = "estimator-lm"
PROMPT = "measure the oak worktop " * 20
WARM_CALLS = 100
IN_FLIGHT = 32
STREAMS = 400
STREAM_TOKENS = 150
STREAM_RATE = 62.5


class WayFigures(msgspec.Struct):
    """Figures of one way to the target.

    Attributes:
        first_token_p50_s: Median time to first token, one call at a time.
        requests_per_s: Requests a second with many in flight.
        requests_per_cpu_s: Requests for each second of the hop's processor
            time; 0 for the target itself.
    """

    first_token_p50_s: float
    requests_per_s: float
    requests_per_cpu_s: float


class StreamFigures(msgspec.Struct):
    """Figures of many streams through one instance.

    Attributes:
        wanted_per_s: Tokens a second that the target generates.
        tokens_per_s: Tokens a second that callers received.
        cpu_share: Processor time of the instance as a share of a core.
        gap_p95_s: 95th percentile of the gaps between tokens.
    """

    wanted_per_s: float
    tokens_per_s: float
    cpu_share: float
    gap_p95_s: float


class HopResult(msgspec.Struct):
    """All figures of a run."""

    direct: WayFigures
    forwarder: WayFigures
    entry: WayFigures
    streams: StreamFigures


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = fields.split()
    used = int(ticks[11]) + int(ticks[12])
    return used / os.sysconf("SC_CLK_TCK")


class _Way:
    """One way to the target: URL, body, headers and the hop's process."""

    def __init__(
        self, url: str, body: dict, headers: dict, pid: int | None
    ) -> None:
        self.url = url
        self.body = msgspec.json.encode(body)
        self.headers = {"Content-Type": "application/json", **headers}
        self.pid = pid
        self.number = 0

    async def call(self, session: aiohttp.ClientSession) -> float:
        self.number += 1
        headers = dict(self.headers)
        if "X-Attempt-Id" in headers:
            headers["X-Attempt-Id"] += f"-{self.number}"
        started = time.perf_counter()
        first = 0.0
        async with session.post(
            self.url, data=self.body, headers=headers
        ) as response:
            async for chunk in response.content.iter_any():
                if not first and b"data:" in chunk:
                    first = time.perf_counter() - started
        if not first:
            raise RuntimeError(f"status {response.status} from {self.url}")
        return first


async def _measure_way(
    session: aiohttp.ClientSession, way: _Way, *, calls: int
) -> WayFigures:
    for _ in range(WARM_CALLS):
        await way.call(session)
    times = [await way.call(session) for _ in range(calls)]
    used_before = cpu_seconds(way.pid) if way.pid else 0.0
    started = time.perf_counter()

    async def worker() -> None:
        for _ in range(calls // 8):
            await way.call(session)

    await asyncio.gather(*(worker() for _ in range(IN_FLIGHT)))
    elapsed = time.perf_counter() - started
    done = calls // 8 * IN_FLIGHT
    per_cpu = 0.0
    if way.pid:
        per_cpu = done / (cpu_seconds(way.pid) - used_before)
    return WayFigures(statistics.median(times), done / elapsed, per_cpu)


def _direct_body(tokens: int) -> dict:
    return {
        "request_id": "hop",
        "model": "lm",
        "version": "v1",
        "prompt": PROMPT,
        "max_tokens": tokens,
        "cache_salt": samples.workspace_salt("joinery", SERVICE),
    }


async def run(*, calls: int) -> HopResult:
    """Measures all ways in turn, and streams through one instance.

    Args:
        calls: Calls one at a time for each way.
    """
    with tempfile.TemporaryDirectory(prefix="chivelb-hop-") as folder:
        fleet = fleet_lib.Fleet(
            pathlib.Path(folder),
            samples.sample_document(workspaces=["joinery"]),
        )
        fleet.plan_entries(["z1"], 1, voters=0)
        forwarder = None
        try:
            fleet.start_entry("z1-1")
            # Several runners, so that the hop and not the target is full.
            for number in range(4):
                fleet.start_target(
                    "runner",
                    f"runner-{number}",
                    "z1",
                    service=SERVICE,
                    slots=256,
                    max_waiting=1_000,
                    room_tokens=10_000_000,
                    prefill_rate=1e9,
                    decode_rate=1e6,
                )
            port = fleet_lib.free_port()
            target = fleet.targets["runner-0"]
            forwarder = subprocess.Popen(
                [sys.executable, "-m", "chivelb_cli.main", "bench"]
                + ["forwarder", "--port", str(port)]
                + ["--upstream", target.url],
                stdout=subprocess.DEVNULL,
            )
            timeout = aiohttp.ClientTimeout(total=60)
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(
                timeout=timeout, connector=connector
            ) as session:
                await fleet.wait_ready(session)
                await fleet.wait_targets(session, 4)
                return await _measure(
                    session, fleet, port, forwarder.pid, calls
                )
        finally:
            fleet.stop()
            if forwarder is not None:
                forwarder.terminate()
                forwarder.wait()


async def _measure(
    session: aiohttp.ClientSession,
    fleet: fleet_lib.Fleet,
    port: int,
    forwarder_pid: int,
    calls: int,
) -> HopResult:
    direct_headers = {"X-Attempt-Id": "direct"}
    target = fleet.targets["runner-0"]
    entry = fleet.entries["z1-1"]
    body = {
        "model": SERVICE,
        "prompt": PROMPT,
        "max_tokens": 16,
        "stream": True,
    }
    key = samples.workspace_key("joinery")
    ways = {
        "direct": _Way(
            f"{target.url}/v1/attempts", _direct_body(16), direct_headers, None
        ),
        "forwarder": _Way(
            f"http://127.0.0.1:{port}/v1/attempts",
            _direct_body(16),
            {"X-Attempt-Id": "forwarded"},
            forwarder_pid,
        ),
        "entry": _Way(
            f"{entry.url}/v1/completions",
            body,
            {"Authorization": f"Bearer {key}"},
            entry.process.pid,
        ),
    }
    figures = {}
    for name, way in ways.items():
        figures[name] = await _measure_way(session, way, calls=calls)
    streams = await _measure_streams(session, fleet)
    return HopResult(**figures, streams=streams)


async def _measure_streams(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet
) -> StreamFigures:
    entry = fleet.entries["z1-1"]
    for number in range(4):
        fleet.kill(f"runner-{number}")
    for number in range(4):
        fleet.start_target(
            "runner",
            f"paced-{number}",
            "z1",
            service=SERVICE,
            slots=512,
            max_waiting=1_000,
            room_tokens=10_000_000,
            prefill_rate=1e9,
            # The stand-in slows down by its batch; this undoes it.
            decode_rate=STREAM_RATE * (1 + 0.02 * (STREAMS / 4)),
        )

    async def settled() -> bool:
        status = await fleet_lib.operator_get(
            session, entry.url, "/operator/status"
        )
        targets = status["here"]["targets"]
        in_use = [t["identity"] for t in targets if t["eligible"]]
        return len(in_use) == 4 and all("paced" in name for name in in_use)

    await fleet_lib.wait_for(settled, "the paced runners")
    gaps: list[float] = []
    counts: list[int] = []
    used_before = cpu_seconds(entry.process.pid)
    started = time.perf_counter()
    ends = await asyncio.gather(
        *(
            _read_stream(session, entry.url, number, gaps, counts)
            for number in range(STREAMS)
        )
    )
    elapsed = max(ends) - started
    gaps.sort()
    return StreamFigures(
        wanted_per_s=STREAMS * STREAM_RATE,
        tokens_per_s=sum(counts) / elapsed,
        cpu_share=(cpu_seconds(entry.process.pid) - used_before) / elapsed,
        gap_p95_s=gaps[int(len(gaps) * 0.95)],
    )


async def _read_stream(
    session: aiohttp.ClientSession,
    url: str,
    number: int,
    gaps: list[float],
    counts: list[int],
) -> float:
    key = samples.workspace_key("joinery")
    tokens = 0
    last = 0.0
    async with session.post(
        f"{url}/v1/completions",
        json={
            "model": SERVICE,
            "prompt": f"{number}",
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        },
        headers={"Authorization": f"Bearer {key}"},
    ) as response:
        async for chunk in response.content.iter_any():
            now = time.perf_counter()
            if last:
                gaps.append(now - last)
            last = now
            tokens += chunk.count(b"id: ")
    counts.append(tokens)
    return time.perf_counter()
