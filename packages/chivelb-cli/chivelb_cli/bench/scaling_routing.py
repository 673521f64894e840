"""Scaling benchmarks of routing: directory, decisions, announcements, reuse.

The waiting list and the placement of ``chivelb_core.forwarding`` are timed by
``scaling_forwarding``.
"""

import random
import statistics
import time

from chivelb_core import kv_cache
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.kv_cache import directory as directory_lib
from chivelb_core.kv_cache import keys as keys_lib
from chivelb_core.kv_cache import reuse
from chivelb_core.routing import cost as cost_lib
from chivelb_core.routing import policies
from chivelb_node.wire import codec
from chivelb_node.wire import messages

from chivelb_cli.bench import scaling_curves
from chivelb_cli.bench import scaling_forwarding

# Decodings and encodings of one message that are timed together.
CODEC_REPEATS = 5


def _fill_directory(prompts: int, blocks: int) -> kv_cache.Directory:
    directory = kv_cache.Directory()
    for number in range(prompts):
        keys = [f"{number:016x}{b:016x}" for b in range(blocks)]
        event = directory_lib.CacheEvent(1, "stored", keys[0], keys)
        directory.apply_events(f"runner-{number % 50}", 1, [event])
    return directory


def measure_directory() -> scaling_curves.ScalingCurve:
    """Measures memory per entry and time per lookup by directory size."""
    blocks = 20

    def run_once(size: int, seed: int) -> dict[str, float]:
        prompts = size // blocks
        directory, used_bytes = scaling_curves.measure_memory(
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

    return scaling_curves.measure(
        "directory", "entries", [1_000, 10_000, 100_000, 400_000], run_once
    )


def measure_decision() -> scaling_curves.ScalingCurve:
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
                    held_tokens=cached_blocks.get(record.identity, 0)
                    * keys_lib.BLOCK_TOKENS,
                )
                for record in sampled_records
            ]
            policies.expected_cost(candidates, 1_500, keys[0], goal, rng)
            durations_s.append(time.perf_counter() - start_time)
        return {"decision_us": statistics.median(durations_s) * 1e6}

    return scaling_curves.measure(
        "decision", "runners", [9, 36, 90, 360, 1_000], run_once
    )


def measure_announcements() -> scaling_curves.ScalingCurve:
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
        for _ in range(CODEC_REPEATS):
            codec.decode(encoded)
        decode_s = (time.process_time() - start_time) / CODEC_REPEATS
        start_time = time.process_time()
        for _ in range(CODEC_REPEATS):
            codec.encode(envelope)
        encode_s = (time.process_time() - start_time) / CODEC_REPEATS
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

    return scaling_curves.measure(
        "announcements", "targets", [1, 9, 90, 360], run_once
    )


def measure_returns() -> scaling_curves.ScalingCurve:
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

        model, used_bytes = scaling_curves.measure_memory(build)
        start_time = time.perf_counter()
        for number in range(1_000):
            model.visit("w1", [f"{number:032x}"], 2.0)
        elapsed_s = time.perf_counter() - start_time
        return {
            "bytes_per_prompt": used_bytes / size,
            "visit_us": elapsed_s / 1_000 * 1e6,
        }

    return scaling_curves.measure(
        "returns", "prompts", [1_000, 5_000, 20_000, 50_000], run_once
    )


def measure_waiting() -> scaling_curves.ScalingCurve:
    """Measures the time of one pass over the waiting calls of an instance."""
    sizes = [10, 100, 1_000]
    return scaling_curves.measure(
        "waiting", "waiting calls", sizes, scaling_forwarding.time_waiting
    )


def measure_placement() -> scaling_curves.ScalingCurve:
    """Measures the time of a placement by number of runners of a service.

    A placement is the choice of a target for a call by
    ``chivelb_core.forwarding``.
    """
    sizes = [9, 30, 100, 300, 1_000]
    return scaling_curves.measure(
        "placement", "runners", sizes, scaling_forwarding.time_placement
    )


def measure_placement_by_peers() -> scaling_curves.ScalingCurve:
    """Measures the time of a placement by number of reporting peers."""
    return scaling_curves.measure(
        "placement_by_peers",
        "peers",
        [8, 56, 194],
        scaling_forwarding.time_placement_by_peers,
    )
