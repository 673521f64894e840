"""Slopes of each role's cost, measured over several sizes.

Core aggregates are driven directly, a handful of figures at a time; the
codec is included where messages are counted in bytes.
"""

import asyncio
import gc
import pathlib
import random
import statistics
import tempfile
import time
import tracemalloc

from chivelb_core import claims
from chivelb_core import document
from chivelb_core import kept
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.claims import messages as claim_messages
from chivelb_core.document import register as register_lib
from chivelb_core.kept import directory as directory_lib
from chivelb_core.kept import returns
from chivelb_core.routing import cost as cost_lib
from chivelb_core.routing import policies
from chivelb_core.testing import swim_group
from chivelb_node.storage import journal
from chivelb_node.wire import codec
from chivelb_node.wire import messages
import msgspec

from chivelb_cli.bench import slopes_forwarding

REPEATS = 3
SEAL_BYTES = 48


class Point(msgspec.Struct):
    """One size's figures: minimum, median and maximum of the repeats.

    Attributes:
        size: The size.
        values: The figures by name, as minimum, median and maximum.
    """

    size: int
    values: dict[str, tuple[float, float, float]]


class Slope(msgspec.Struct):
    """Figures over several sizes.

    Attributes:
        name: What was measured.
        unit: What the size counts.
        points: The figures.
    """

    name: str
    unit: str
    points: list[Point]


def _spread(values: list[float]) -> tuple[float, float, float]:
    return min(values), statistics.median(values), max(values)


def _measure(name: str, unit: str, sizes: list[int], once) -> Slope:
    points = []
    for size in sizes:
        runs = [once(size, seed) for seed in range(REPEATS)]
        values = {key: _spread([run[key] for run in runs]) for key in runs[0]}
        points.append(Point(size, values))
    return Slope(name, unit, points)


def measure_membership() -> Slope:
    """Bytes and processor time a second of one node by group size."""

    def once(size: int, seed: int) -> dict[str, float]:
        names = [f"node-{number:05}" for number in range(size)]
        group = swim_group.SwimGroup({"r": names}, seed=seed)
        group.run(3.0)
        sent: list[int] = []
        watched = names[0]

        def on_send(sender, message):
            if sender == watched:
                data = codec.encode(codec.Envelope(message))
                sent.append(len(data) + SEAL_BYTES)

        group.on_send = on_send
        started = time.process_time()
        group.run(20.0)
        used = time.process_time() - started
        # One instance fails: its word spreads on top.
        sent_quiet = sum(sent) / 20.0
        sent.clear()
        group.crash(names[-1])
        group.run(10.0)
        return {
            "bytes_per_s": sent_quiet,
            "bytes_per_s_in_failure": sum(sent) / 10.0,
            "core_share": used / 20.0 / size,
        }

    return _measure("membership", "instances", [3, 9, 27, 81, 200], once)


def _memory_of(build) -> tuple[object, int]:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, after - before


def _fill_directory(prompts: int, blocks: int) -> kept.Directory:
    directory = kept.Directory()
    for number in range(prompts):
        keys = [f"{number:016x}{b:016x}" for b in range(blocks)]
        event = directory_lib.CacheEvent(1, "stored", keys[0], keys)
        directory.apply_events(f"runner-{number % 50}", 1, [event])
    return directory


def measure_directory() -> Slope:
    """Bytes an entry and time of a lookup by entries of the directory."""
    blocks = 20

    def once(size: int, seed: int) -> dict[str, float]:
        prompts = size // blocks
        directory, used = _memory_of(lambda: _fill_directory(prompts, blocks))
        rng = random.Random(seed)
        wanted = [
            [f"{n:016x}{b:016x}" for b in range(blocks)]
            for n in rng.choices(range(prompts), k=500)
        ]
        started = time.perf_counter()
        for keys in wanted:
            directory.lookup(keys)
        elapsed = time.perf_counter() - started
        return {
            "bytes_per_entry": used / (prompts * blocks),
            "lookup_us": elapsed / len(wanted) * 1e6,
        }

    return _measure(
        "directory", "entries", [1_000, 10_000, 100_000, 400_000], once
    )


def measure_decision() -> Slope:
    """Median time of one routing decision by number of runners."""

    def once(size: int, seed: int) -> dict[str, float]:
        rng = random.Random(seed)
        directory = _fill_directory(5_000, 20)
        view = routing.LoadView()
        records = []
        for number in range(size):
            name = f"runner-{number}"
            records.append(
                targets.TargetRecord(
                    identity=name,
                    incarnation=1,
                    address="127.0.0.1:1",
                    zone="z",
                    service="lm",
                )
            )
            view.take_report(name, rng.randrange(8), rng.randrange(9_000), 0.0)
        goal = cost_lib.GOALS["latency"]
        times = []
        for number in range(400):
            keys = [f"{number:016x}{b:016x}" for b in range(20)]
            started = time.perf_counter()
            held = directory.lookup(keys)
            pool = policies.sample_records(records, held, rng)
            candidates = [
                cost_lib.Candidate(
                    record.identity,
                    pending_tokens=view.pending(record.identity, 1.0),
                    running=view.running(record.identity, 1.0),
                    held_tokens=held.get(record.identity, 0) * 64,
                )
                for record in pool
            ]
            policies.expected_cost(candidates, 1_500, keys[0], goal, rng)
            times.append(time.perf_counter() - started)
        return {"decision_us": statistics.median(times) * 1e6}

    return _measure("decision", "runners", [9, 36, 90, 360, 1_000], once)


def measure_announcements() -> Slope:
    """Bytes and processor time of one spread of announcements."""

    def once(size: int, seed: int) -> dict[str, float]:
        records = [
            targets.TargetRecord(
                identity=f"runner-{number:05}",
                incarnation=1_800_000_000_000,
                sequence=number,
                address="10.10.10.10:8000",
                zone="curepe",
                service="estimator-lm",
                model="lm",
                weight_version="v1",
                running=3,
                pending_tokens=1_500,
            )
            for number in range(size)
        ]
        body = codec.Envelope(messages.TargetNews(records))
        data = codec.encode(body)
        started = time.process_time()
        for _ in range(5):
            codec.decode(data)
        decode_s = (time.process_time() - started) / 5
        started = time.process_time()
        for _ in range(5):
            codec.encode(body)
        encode_s = (time.process_time() - started) / 5
        sends = messages.Sends(
            [
                messages.SendEntry(record.identity, 3, 1_500, 4_000, 0)
                for record in records
            ]
        )
        sends_bytes = len(codec.encode(codec.Envelope(sends)))
        return {
            "bytes_per_record": len(data) / size,
            "decode_us_per_record": decode_s / size * 1e6,
            "encode_us_per_record": encode_s / size * 1e6,
            "sends_bytes_per_target": sends_bytes / size,
        }

    return _measure("announcements", "targets", [1, 9, 90, 360], once)


def _fill_keeper(count: int) -> claims.Keeper:
    keeper = claims.Keeper("x")
    for number in range(count):
        key = f"{number:040x}"
        keeper.claim(
            claim_messages.ClaimRequest(key, key, f"{number:024x}"), 0.0
        )
        keeper.settle(
            claim_messages.ClaimSettle(key, f"{number:024x}", b"x" * 200), 0.0
        )
    keeper.take_writes()
    return keeper


def measure_claims() -> Slope:
    """Bytes and synced claims a second of one keeper by claims held."""

    def once(size: int, seed: int) -> dict[str, float]:
        keeper, used = _memory_of(lambda: _fill_keeper(size))
        stored = keeper.stored_form()[:1_000]
        written = sum(len(msgspec.msgpack.encode(s)) + 8 for s in stored)
        return {
            "bytes_in_memory": used / size,
            "bytes_on_disk": 2 * written / len(stored),
            "claims_per_s": asyncio.run(_claim_rate(keeper, in_flight=32)),
            "claims_per_s_alone": asyncio.run(_claim_rate(keeper, in_flight=1)),
        }

    return _measure("claims", "claims", [1_000, 5_000, 20_000, 80_000], once)


async def _claim_rate(keeper: claims.Keeper, *, in_flight: int) -> float:
    with tempfile.TemporaryDirectory() as folder:
        book = journal.Journal(pathlib.Path(folder) / "j")
        book.open()
        total = 400
        numbers = iter(range(total))

        async def worker() -> None:
            for number in numbers:
                key = f"rate-{in_flight}-{number}-{id(book)}"
                keeper.claim(claim_messages.ClaimRequest(key, key, key), 0.0)
                writes = keeper.take_writes()
                await book.append([msgspec.msgpack.encode(w) for w in writes])

        started = time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(in_flight)))
        elapsed = time.perf_counter() - started
        book.close()
        return total / elapsed


def measure_document() -> Slope:
    """Size of the document and cost of a change by workspaces."""

    def once(size: int, seed: int) -> dict[str, float]:
        def build() -> document.Register:
            workspaces = {
                f"w-{number}": document.Workspace(
                    key_hashes=[f"{number:064x}"],
                    cache_secret=f"{number:032x}",
                    services=["lm"],
                )
                for number in range(size)
            }
            return document.Register(
                document=document.Document(
                    services={"lm": document.Service(model="lm")},
                    workspaces=workspaces,
                    models={
                        "lm": document.Model(versions=["v1"], current="v1")
                    },
                ),
                version=1,
            )

        register, used = _memory_of(build)
        times = []
        for number in range(5):
            change = document.Change(
                change_id=f"c{number}",
                base_version=register.version,
                operations=[
                    document.Operation("limits", {"max_queue": number + 1})
                ],
            )
            started = time.process_time()
            answer = register.apply_change(change)
            times.append(time.process_time() - started)
            assert answer.code == 0
        payload = msgspec.msgpack.encode(register.deltas_since(5))
        replica = build()
        started = time.process_time()
        for delta in register.deltas_since(1):
            replica = replica.apply_deltas([delta])
        follow_s = (time.process_time() - started) / 5
        return {
            "memory_mb": used / 1e6,
            "change_ms": statistics.median(times) * 1e3,
            "follow_ms": follow_s * 1e3,
            "snapshot_mb": len(register_lib.encode_register(register)) / 1e6,
            "delta_bytes": len(payload),
        }

    return _measure("document", "workspaces", [10, 1_000, 4_000, 13_000], once)


def measure_change_ids() -> Slope:
    """Memory of remembered change ids."""

    def once(size: int, seed: int) -> dict[str, float]:
        def build() -> dict:
            return {
                f"{number:024x}": register_lib.Answer(
                    0, number, f"{number:032x}"
                )
                for number in range(size)
            }

        _, used = _memory_of(build)
        return {"bytes_per_id": used / size}

    return _measure(
        "change_ids", "change ids", [1_000, 10_000, 50_000, 200_000], once
    )


def measure_returns() -> Slope:
    """Memory and time of the model of returns by prompts remembered."""

    def once(size: int, seed: int) -> dict[str, float]:
        def build() -> returns.ReturnModel:
            model = returns.ReturnModel(max_prompts=size)
            for number in range(size):
                model.visit(f"w{number % 100}", [f"{number:032x}"], 1.0)
            return model

        model, used = _memory_of(build)
        started = time.perf_counter()
        for number in range(1_000):
            model.visit("w1", [f"{number:032x}"], 2.0)
        elapsed = time.perf_counter() - started
        return {
            "bytes_per_prompt": used / size,
            "visit_us": elapsed / 1_000 * 1e6,
        }

    return _measure("returns", "prompts", [1_000, 5_000, 20_000, 50_000], once)


def measure_waiting() -> Slope:
    """Time of a pass over the calls that wait at one instance."""
    sizes = [10, 100, 1_000]
    return _measure(
        "waiting", "waiting calls", sizes, slopes_forwarding.time_waiting
    )


def measure_placement() -> Slope:
    """Time of a placement by the runners of a service."""
    sizes = [9, 30, 100, 300, 1_000]
    return _measure(
        "placement", "runners", sizes, slopes_forwarding.time_placement
    )


SLOPES = {
    "membership": measure_membership,
    "directory": measure_directory,
    "decision": measure_decision,
    "announcements": measure_announcements,
    "claims": measure_claims,
    "document": measure_document,
    "change_ids": measure_change_ids,
    "returns": measure_returns,
    "waiting": measure_waiting,
    "placement": measure_placement,
}


def render(slope: Slope) -> str:
    """Returns a slope as a Markdown table with its spread."""
    names = list(slope.points[0].values)
    head = f"| {slope.unit} | " + " | ".join(names) + " |"
    rule = "| ---: |" + " ---: |" * len(names)
    lines = [f"**{slope.name}** (median, least to most of {REPEATS})", ""]
    lines += [head, rule]
    for point in slope.points:
        cells = [
            f"{middle:.3g} ({least:.3g} to {most:.3g})"
            for least, middle, most in point.values.values()
        ]
        lines.append(f"| {point.size} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"
