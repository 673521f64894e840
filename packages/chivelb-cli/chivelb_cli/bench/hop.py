"""Cost of the hop through an instance.

Baselines are direct requests to the target and a minimal reverse proxy
(``forwarder`` in commands and results).
"""

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
WARMUP_CALLS = 100
CONCURRENT_CALLS = 32
CONCURRENT_STREAMS = 400
STREAM_TOKENS = 150
STREAM_TOKENS_PER_S = 62.5


class PathMetrics(msgspec.Struct):
    """Latency and throughput of one path to the target.

    Attributes:
        first_token_p50_s: Median time to first token in seconds, with one
            call at a time.
        requests_per_s: Requests per second with concurrent calls.
        requests_per_cpu_s: Requests per second of CPU time of the hop; 0 for
            direct requests.
    """

    first_token_p50_s: float
    requests_per_s: float
    requests_per_cpu_s: float


class StreamMetrics(msgspec.Struct):
    """Throughput of concurrent streams through one instance.

    Attributes:
        wanted_per_s: Tokens per second that the targets generate.
        tokens_per_s: Tokens per second that callers receive.
        cpu_share: CPU time of the instance as a share of one core.
        gap_p95_s: 95th percentile of the time between two received chunks,
            in seconds.
    """

    wanted_per_s: float
    tokens_per_s: float
    cpu_share: float
    gap_p95_s: float


class HopResult(msgspec.Struct):
    """Metrics of each path to the target, and of concurrent streams.

    Attributes:
        direct: Direct requests to the target.
        forwarder: Requests through a minimal reverse proxy.
        entry: Requests through an instance, which the users call an entry
            instance.
        streams: Concurrent streams through an instance.
    """

    direct: PathMetrics
    forwarder: PathMetrics
    entry: PathMetrics
    streams: StreamMetrics


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time of a process in seconds (user and system).

    Args:
        pid: Id of the process.
    """
    stat_fields = (
        pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    )
    ticks = stat_fields.split()
    used_ticks = int(ticks[11]) + int(ticks[12])
    return used_ticks / os.sysconf("SC_CLK_TCK")


class _RequestPath:
    """One path to the target: URL, body, headers and process of the hop."""

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
        start_time = time.perf_counter()
        first_token_s = 0.0
        async with session.post(
            self.url, data=self.body, headers=headers
        ) as response:
            async for chunk in response.content.iter_any():
                if not first_token_s and b"data:" in chunk:
                    first_token_s = time.perf_counter() - start_time
        if not first_token_s:
            raise RuntimeError(
                f"no event in response with status {response.status} "
                f"from {self.url}"
            )
        return first_token_s


async def _measure_path(
    session: aiohttp.ClientSession, path: _RequestPath, *, calls: int
) -> PathMetrics:
    for _ in range(WARMUP_CALLS):
        await path.call(session)
    first_token_times = [await path.call(session) for _ in range(calls)]
    cpu_before_s = cpu_seconds(path.pid) if path.pid else 0.0
    start_time = time.perf_counter()

    async def worker() -> None:
        # Over 32 workers, that is four times ``calls``.
        for _ in range(calls // 8):
            await path.call(session)

    await asyncio.gather(*(worker() for _ in range(CONCURRENT_CALLS)))
    elapsed_s = time.perf_counter() - start_time
    completed = calls // 8 * CONCURRENT_CALLS
    requests_per_cpu_s = 0.0
    if path.pid:
        requests_per_cpu_s = completed / (cpu_seconds(path.pid) - cpu_before_s)
    return PathMetrics(
        statistics.median(first_token_times),
        completed / elapsed_s,
        requests_per_cpu_s,
    )


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
    """Measures each path in turn, then streams through one instance.

    Args:
        calls: Number of sequential calls on each path; four times as many
            are sent concurrently.

    Returns:
        Metrics of each path and of the streams.
    """
    with tempfile.TemporaryDirectory(prefix="chivelb-hop-") as folder:
        fleet = fleet_lib.Fleet(
            pathlib.Path(folder),
            samples.sample_document(workspaces=["joinery"]),
        )
        fleet.configure_instances(["z1"], 1, voters=0)
        proxy_process = None
        try:
            fleet.start_instance("z1-1")
            # Several runners, so that the hop is the bottleneck and not the
            # target.
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
            proxy_process = subprocess.Popen(
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
                    session, fleet, port, proxy_process.pid, calls
                )
        finally:
            fleet.stop()
            if proxy_process is not None:
                proxy_process.terminate()
                proxy_process.wait()


async def _measure(
    session: aiohttp.ClientSession,
    fleet: fleet_lib.Fleet,
    port: int,
    proxy_pid: int,
    calls: int,
) -> HopResult:
    direct_headers = {"X-Attempt-Id": "direct"}
    target = fleet.targets["runner-0"]
    instance = fleet.instances["z1-1"]
    body = {
        "model": SERVICE,
        "prompt": PROMPT,
        "max_tokens": 16,
        "stream": True,
    }
    key = samples.workspace_key("joinery")
    paths = {
        "direct": _RequestPath(
            f"{target.url}/v1/attempts", _direct_body(16), direct_headers, None
        ),
        "forwarder": _RequestPath(
            f"http://127.0.0.1:{port}/v1/attempts",
            _direct_body(16),
            {"X-Attempt-Id": "forwarded"},
            proxy_pid,
        ),
        "entry": _RequestPath(
            f"{instance.url}/v1/completions",
            body,
            {"Authorization": f"Bearer {key}"},
            instance.process.pid,
        ),
    }
    metrics = {}
    for name, path in paths.items():
        metrics[name] = await _measure_path(session, path, calls=calls)
    streams = await _measure_streams(session, fleet)
    return HopResult(**metrics, streams=streams)


async def _measure_streams(
    session: aiohttp.ClientSession, fleet: fleet_lib.Fleet
) -> StreamMetrics:
    instance = fleet.instances["z1-1"]
    # The runners of the first measurement generate tokens as fast as they can;
    # those of this one are paced, that is limited to a token rate per stream.
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
            # A simulated runner slows down by 2 % for each further sequence
            # of its batch; the higher rate compensates for that.
            decode_rate=STREAM_TOKENS_PER_S
            * (1 + 0.02 * (CONCURRENT_STREAMS / 4)),
        )

    async def paced_runners_active() -> bool:
        status = await fleet_lib.operator_get(
            session, instance.url, "/operator/status"
        )
        # ``here`` is the status of the instance that replies.
        targets = status["here"]["targets"]
        eligible = [t["identity"] for t in targets if t["eligible"]]
        return len(eligible) == 4 and all("paced" in name for name in eligible)

    await fleet_lib.wait_for(
        paced_runners_active,
        "runners with a limited token rate to replace the first runners",
    )
    gaps_s: list[float] = []
    token_counts: list[int] = []
    cpu_before_s = cpu_seconds(instance.process.pid)
    start_time = time.perf_counter()
    end_times = await asyncio.gather(
        *(
            _read_stream(session, instance.url, number, gaps_s, token_counts)
            for number in range(CONCURRENT_STREAMS)
        )
    )
    elapsed_s = max(end_times) - start_time
    gaps_s.sort()
    return StreamMetrics(
        wanted_per_s=CONCURRENT_STREAMS * STREAM_TOKENS_PER_S,
        tokens_per_s=sum(token_counts) / elapsed_s,
        cpu_share=(cpu_seconds(instance.process.pid) - cpu_before_s)
        / elapsed_s,
        gap_p95_s=gaps_s[int(len(gaps_s) * 0.95)],
    )


async def _read_stream(
    session: aiohttp.ClientSession,
    url: str,
    number: int,
    gaps_s: list[float],
    token_counts: list[int],
) -> float:
    key = samples.workspace_key("joinery")
    tokens = 0
    last_chunk_at = 0.0
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
            if last_chunk_at:
                gaps_s.append(now - last_chunk_at)
            last_chunk_at = now
            tokens += chunk.count(b"id: ")
    token_counts.append(tokens)
    return time.perf_counter()
