"""Scaling benchmarks: resource cost of each component by size.

The components of the core package are driven directly, without processes or
sockets. Sizes of messages include the encoding by the wire codec.
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
from chivelb_core import kv_cache
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.claims import messages as claim_messages
from chivelb_core.document import state as state_lib
from chivelb_core.kv_cache import directory as directory_lib
from chivelb_core.kv_cache import reuse
from chivelb_core.routing import cost as cost_lib
from chivelb_core.routing import policies
from chivelb_core.testing import swim_group
from chivelb_node.storage import journal
from chivelb_node.wire import codec
from chivelb_node.wire import messages
import msgspec

from chivelb_cli.bench import scaling_forwarding

REPEATS = 3
# Bytes counted per datagram for the header and MAC that authenticate it.
AUTHENTICATION_BYTES = 48


class ScalingPoint(msgspec.Struct):
    """Measurements at one size.

    Attributes:
        size: Problem size, in the unit of the curve.
        values: Minimum, median and maximum over the repeats, by name of the
            metric.
    """

    size: int
    values: dict[str, tuple[float, float, float]]


class ScalingCurve(msgspec.Struct):
    """Measurements over several sizes.

    Attributes:
        name: Name of the benchmark.
        unit: What the size counts.
        points: Measurements in ascending order of size.
    """

    name: str
    unit: str
    points: list[ScalingPoint]


def _min_median_max(values: list[float]) -> tuple[float, float, float]:
    return min(values), statistics.median(values), max(values)


def _measure(name: str, unit: str, sizes: list[int], run_once) -> ScalingCurve:
    points = []
    for size in sizes:
        runs = [run_once(size, seed) for seed in range(REPEATS)]
        values = {
            key: _min_median_max([run[key] for run in runs]) for key in runs[0]
        }
        points.append(ScalingPoint(size, values))
    return ScalingCurve(name, unit, points)


def measure_membership() -> ScalingCurve:
    """Measures traffic and CPU time of one instance by size of the group.

    ``core_share`` is the CPU time of one simulated instance as a share of one
    CPU core.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
        names = [f"node-{number:05}" for number in range(size)]
        # All instances in one region.
        group = swim_group.SwimSimulation({"r": names}, seed=seed)
        group.run(3.0)
        sent_sizes: list[int] = []
        measured_instance = names[0]

        def on_send(sender, message):
            if sender == measured_instance:
                encoded = codec.encode(codec.Envelope(message))
                sent_sizes.append(len(encoded) + AUTHENTICATION_BYTES)

        group.on_send = on_send
        start_time = time.process_time()
        group.run(20.0)
        cpu_s = time.process_time() - start_time
        # One instance fails: the messages about it add to the steady traffic.
        steady_bytes_per_s = sum(sent_sizes) / 20.0
        sent_sizes.clear()
        group.crash(names[-1])
        group.run(10.0)
        return {
            "bytes_per_s": steady_bytes_per_s,
            "bytes_per_s_in_failure": sum(sent_sizes) / 10.0,
            "core_share": cpu_s / 20.0 / size,
        }

    return _measure("membership", "instances", [3, 9, 27, 81, 200], run_once)


def _measure_memory(build) -> tuple[object, int]:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, after - before


def _fill_directory(prompts: int, blocks: int) -> kv_cache.Directory:
    directory = kv_cache.Directory()
    for number in range(prompts):
        keys = [f"{number:016x}{b:016x}" for b in range(blocks)]
        event = directory_lib.CacheEvent(1, "stored", keys[0], keys)
        directory.apply_events(f"runner-{number % 50}", 1, [event])
    return directory


def measure_directory() -> ScalingCurve:
    """Measures memory per entry and time per lookup by directory size."""
    blocks = 20

    def run_once(size: int, seed: int) -> dict[str, float]:
        prompts = size // blocks
        directory, used_bytes = _measure_memory(
            lambda: _fill_directory(prompts, blocks)
        )
        rng = random.Random(seed)
        lookups = [
            [f"{n:016x}{b:016x}" for b in range(blocks)]
            for n in rng.choices(range(prompts), k=500)
        ]
        start_time = time.perf_counter()
        for keys in lookups:
            directory.lookup(keys)
        elapsed_s = time.perf_counter() - start_time
        return {
            "bytes_per_entry": used_bytes / (prompts * blocks),
            "lookup_us": elapsed_s / len(lookups) * 1e6,
        }

    return _measure(
        "directory", "entries", [1_000, 10_000, 100_000, 400_000], run_once
    )


def measure_decision() -> ScalingCurve:
    """Measures the median time of a routing decision by number of runners.

    The decision is that of ``chivelb_core.routing``, which estimates costs from
    the directory of KV cache blocks. ``measure_placement`` covers the one of
    ``chivelb_core.forwarding``, from the directory of prompt parts.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
        rng = random.Random(seed)
        directory = _fill_directory(5_000, 20)
        load_view = routing.LoadView()
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
            load_view.apply_report(
                name, rng.randrange(8), rng.randrange(9_000), 0.0
            )
        goal = cost_lib.GOAL_WEIGHTS["latency"]
        durations_s = []
        for number in range(400):
            keys = [f"{number:016x}{b:016x}" for b in range(20)]
            start_time = time.perf_counter()
            cached_blocks = directory.lookup(keys)
            sampled_records = policies.sample_targets(
                records, cached_blocks, rng
            )
            candidates = [
                cost_lib.Candidate(
                    record.identity,
                    pending_tokens=load_view.pending(record.identity, 1.0),
                    running=load_view.running(record.identity, 1.0),
                    # A block has 64 tokens (``BLOCK_TOKENS``).
                    held_tokens=cached_blocks.get(record.identity, 0) * 64,
                )
                for record in sampled_records
            ]
            policies.expected_cost(candidates, 1_500, keys[0], goal, rng)
            durations_s.append(time.perf_counter() - start_time)
        return {"decision_us": statistics.median(durations_s) * 1e6}

    return _measure("decision", "runners", [9, 36, 90, 360, 1_000], run_once)


def measure_announcements() -> ScalingCurve:
    """Measures size and codec CPU time of one batch of announcements.

    Instances exchange the target records in ``TargetUpdates`` messages
    (``TargetNews`` in the schema). ``LoadUpdate`` messages (``Sends`` in the
    schema) hold the load that the sender itself causes at each target: requests
    in progress, prompt tokens that await a first token, KV cache tokens that
    the requests may fill, and requests that may crash the target.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
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
        envelope = codec.Envelope(messages.TargetUpdates(records))
        encoded = codec.encode(envelope)
        start_time = time.process_time()
        for _ in range(5):
            codec.decode(encoded)
        decode_s = (time.process_time() - start_time) / 5
        start_time = time.process_time()
        for _ in range(5):
            codec.encode(envelope)
        encode_s = (time.process_time() - start_time) / 5
        load_update = messages.LoadUpdate(
            [
                messages.SendEntry(record.identity, 3, 1_500, 4_000, 0)
                for record in records
            ]
        )
        sends_bytes = len(codec.encode(codec.Envelope(load_update)))
        return {
            "bytes_per_record": len(encoded) / size,
            "decode_us_per_record": decode_s / size * 1e6,
            "encode_us_per_record": encode_s / size * 1e6,
            "sends_bytes_per_target": sends_bytes / size,
        }

    return _measure("announcements", "targets", [1, 9, 90, 360], run_once)


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
    keeper.take_unsynced_records()
    return keeper


def measure_claims() -> ScalingCurve:
    """Measures memory, disk space and durable claims per second of one keeper.

    A keeper is one replica of the idempotency claims. The size is the number
    of claims that it already stores. A claim is durable once its record is
    synced to the local disk. ``claims_per_s`` has 32 claims in flight,
    ``claims_per_s_alone`` one at a time.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
        keeper, used_bytes = _measure_memory(lambda: _fill_keeper(size))
        stored_records = keeper.compacted_records()[:1_000]
        # Each record has a journal header of 8 bytes.
        record_bytes = sum(
            len(msgspec.msgpack.encode(s)) + 8 for s in stored_records
        )
        return {
            "bytes_in_memory": used_bytes / size,
            "bytes_on_disk": 2 * record_bytes / len(stored_records),
            "claims_per_s": asyncio.run(
                _measure_claims_per_s(keeper, in_flight=32)
            ),
            "claims_per_s_alone": asyncio.run(
                _measure_claims_per_s(keeper, in_flight=1)
            ),
        }

    return _measure(
        "claims", "claims", [1_000, 5_000, 20_000, 80_000], run_once
    )


async def _measure_claims_per_s(
    keeper: claims.Keeper, *, in_flight: int
) -> float:
    with tempfile.TemporaryDirectory() as folder:
        claim_journal = journal.Journal(pathlib.Path(folder) / "j")
        claim_journal.open()
        claim_count = 400
        claim_numbers = iter(range(claim_count))

        async def worker() -> None:
            for number in claim_numbers:
                key = f"rate-{in_flight}-{number}-{id(claim_journal)}"
                keeper.claim(claim_messages.ClaimRequest(key, key, key), 0.0)
                writes = keeper.take_unsynced_records()
                await claim_journal.append(
                    [msgspec.msgpack.encode(w) for w in writes]
                )

        start_time = time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(in_flight)))
        elapsed_s = time.perf_counter() - start_time
        claim_journal.close()
        return claim_count / elapsed_s


def measure_document() -> ScalingCurve:
    """Measures document size and cost of a change by number of workspaces.

    ``change_ms`` is the time to validate and apply a change where it is
    accepted, ``follow_ms`` the time to apply its delta on a replica.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
        def build() -> document.DocumentState:
            workspaces = {
                f"w-{number}": document.Workspace(
                    key_hashes=[f"{number:064x}"],
                    cache_secret=f"{number:032x}",
                    services=["lm"],
                )
                for number in range(size)
            }
            return document.DocumentState(
                document=document.Document(
                    services={"lm": document.Service(model="lm")},
                    workspaces=workspaces,
                    models={
                        "lm": document.Model(versions=["v1"], current="v1")
                    },
                ),
                version=1,
            )

        document_state, used_bytes = _measure_memory(build)
        durations_s = []
        for number in range(5):
            change = document.Change(
                change_id=f"c{number}",
                base_version=document_state.version,
                operations=[
                    document.Operation("limits", {"max_queue": number + 1})
                ],
            )
            start_time = time.process_time()
            answer = document_state.apply_change(change)
            durations_s.append(time.process_time() - start_time)
            assert answer.code == 0
        # The changes lead from version 1 to 6, so this is the last delta alone.
        encoded_deltas = msgspec.msgpack.encode(document_state.deltas_since(5))
        replica = build()
        start_time = time.process_time()
        for delta in document_state.deltas_since(1):
            replica = replica.apply_deltas([delta])
        # Mean time in which a replica applies the delta of one change.
        apply_deltas_s = (time.process_time() - start_time) / 5
        return {
            "memory_mb": used_bytes / 1e6,
            "change_ms": statistics.median(durations_s) * 1e3,
            "follow_ms": apply_deltas_s * 1e3,
            "snapshot_mb": len(state_lib.encode_document_state(document_state))
            / 1e6,
            "delta_bytes": len(encoded_deltas),
        }

    return _measure(
        "document", "workspaces", [10, 1_000, 4_000, 13_000], run_once
    )


def measure_change_ids() -> ScalingCurve:
    """Measures the memory of stored change ids."""

    def run_once(size: int, seed: int) -> dict[str, float]:
        def build() -> dict:
            return {
                f"{number:024x}": state_lib.ChangeResult(
                    0, number, f"{number:032x}"
                )
                for number in range(size)
            }

        _, used_bytes = _measure_memory(build)
        return {"bytes_per_id": used_bytes / size}

    return _measure(
        "change_ids", "change ids", [1_000, 10_000, 50_000, 200_000], run_once
    )


def measure_returns() -> ScalingCurve:
    """Measures memory and update time of the prompt reuse model by prompts.

    The model estimates from the intervals between visits whether a prompt
    returns, that is whether it is requested again. A visit is one request.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
        def build() -> reuse.ReuseModel:
            model = reuse.ReuseModel(max_prompts=size)
            for number in range(size):
                model.visit(f"w{number % 100}", [f"{number:032x}"], 1.0)
            return model

        model, used_bytes = _measure_memory(build)
        start_time = time.perf_counter()
        for number in range(1_000):
            model.visit("w1", [f"{number:032x}"], 2.0)
        elapsed_s = time.perf_counter() - start_time
        return {
            "bytes_per_prompt": used_bytes / size,
            "visit_us": elapsed_s / 1_000 * 1e6,
        }

    return _measure(
        "returns", "prompts", [1_000, 5_000, 20_000, 50_000], run_once
    )


def measure_waiting() -> ScalingCurve:
    """Measures the time of one pass over the waiting calls of an instance."""
    sizes = [10, 100, 1_000]
    return _measure(
        "waiting", "waiting calls", sizes, scaling_forwarding.time_waiting
    )


def measure_placement() -> ScalingCurve:
    """Measures the time of a placement by number of runners of a service.

    A placement is the choice of a target for a call by
    ``chivelb_core.forwarding``.
    """
    sizes = [9, 30, 100, 300, 1_000]
    return _measure(
        "placement", "runners", sizes, scaling_forwarding.time_placement
    )


def measure_placement_by_peers() -> ScalingCurve:
    """Measures the time of a placement by number of reporting peers."""
    return _measure(
        "placement_by_peers",
        "peers",
        [8, 56, 194],
        scaling_forwarding.time_placement_by_peers,
    )


SCALING_BENCHMARKS = {
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
    "placement_by_peers": measure_placement_by_peers,
}


def format_markdown(curve: ScalingCurve) -> str:
    """Formats a scaling curve as a Markdown table.

    Each cell holds the median and, in parentheses, minimum and maximum.
    """
    names = list(curve.points[0].values)
    header_row = f"| {curve.unit} | " + " | ".join(names) + " |"
    separator_row = "| ---: |" + " ---: |" * len(names)
    lines = [
        f"**{curve.name}** (median, minimum to maximum of {REPEATS} runs)",
        "",
    ]
    lines += [header_row, separator_row]
    for point in curve.points:
        cells = [
            f"{median:.3g} ({minimum:.3g} to {maximum:.3g})"
            for minimum, median, maximum in point.values.values()
        ]
        lines.append(f"| {point.size} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"
