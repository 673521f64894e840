"""Scaling benchmarks of forwarding: waiting list and placement."""

from collections.abc import Callable
from collections.abc import Iterator
import random
import time

from chivelb_core import document
from chivelb_core import forwarding
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.forwarding import choice
from chivelb_core.forwarding import fetch_plan
from chivelb_core.forwarding import waiting
from chivelb_core.kv_cache import parts as parts_lib

ENGINE = document.EngineConfig(
    slots=64,
    kv_tokens=160_000,
    bytes_per_token=1_000,
    link_bytes_per_s=1e9,
    models=["m"],
)
# Sharing scope of the prompt parts, as ``forwarding.cache_salt`` returns it for
# weight version 1 and a workspace that is not isolated.
SALT = "1:shared"
PARTS_PER_RUNNER = 200
CALLS_PER_RUN = 300
RUNNER_COUNT = 45

Snapshot = Callable[[targets.TargetRecord], choice.TargetCandidate]


def _make_call(rng: random.Random, number: int) -> forwarding.Call:
    route = document.Route(
        host="h",
        path_prefix="/a/",
        split=[document.WeightedService("lm")],
        kind="streaming",
        timeout_s=15.0,
        # Callers disconnect after this time without an event.
        patience_s=2.4,
    )
    # A part is a contiguous section of a prompt that other prompts may share:
    # here two of 1,000 tokens from a common pool, and one that is unique.
    parts = tuple(
        forwarding.Part(f"p{rng.randrange(2_000)}", 1_000) for _ in range(2)
    )
    unique_part = forwarding.Part(f"own{number}", 200)
    return forwarding.Call(
        request_id=str(number),
        route_name="r",
        route=route,
        service="lm",
        workspace="w",
        priority=rng.randrange(3),
        prompt=forwarding.Prompt("m", (*parts, unique_part), 2_200, 100),
        arrived_at=rng.random(),
        deadline=15.0,
    )


def time_waiting(size: int, seed: int) -> dict[str, float]:
    """Measures the mean time of one pass over a list of waiting calls.

    Args:
        size: Number of waiting calls.
        seed: Seed of the calls.

    Returns:
        The time in microseconds, by name of the metric.
    """
    rng = random.Random(seed)
    waiting_list = waiting.WaitingList()
    for number in range(size):
        call = _make_call(rng, number)
        waiting_list.join(call, wait_started_at=call.arrived_at, item=None)
    for number in range(20):
        waiting_list.record_start(0.9 + number / 200)
    start_time = time.perf_counter()
    for _ in range(50):
        list(waiting_list.review(1.0))
    return {"pass_us": (time.perf_counter() - start_time) / 50 * 1e6}


def _make_records(size: int) -> Iterator[targets.TargetRecord]:
    for number in range(size):
        yield targets.TargetRecord(
            identity=f"runner-{number}",
            incarnation=1,
            address=f"127.0.0.1:{number}",
            zone=f"z{number % 3}",
            service="lm",
        )


def _fill_directory(
    directory: parts_lib.PartDirectory, address: str, rng: random.Random
) -> None:
    keys = {f"p{rng.randrange(2_000)}" for _ in range(PARTS_PER_RUNNER)}
    directory.apply_events(
        address,
        epoch=1,
        since=0,
        until=len(keys),
        events=[
            parts_lib.PartUpdate(parts_lib.part_key(SALT, key), 1_000)
            for key in keys
        ],
        now=0.0,
    )


def time_placement(size: int, seed: int) -> dict[str, float]:
    """Measures the mean time of one placement.

    Args:
        size: Number of runners.
        seed: Seed of the calls and of the cached prompt parts.

    Returns:
        The time in microseconds, by name of the metric.
    """

    def snapshot(record: targets.TargetRecord) -> choice.TargetCandidate:
        # 3 requests in progress, which occupy 60,000 KV cache tokens, and 500
        # prompt tokens that await prefill.
        return choice.TargetCandidate(record, 3, 60_000, 500)

    return _time_placements(size, seed, snapshot)


def time_placement_by_peers(size: int, seed: int) -> dict[str, float]:
    """Measures the mean time of one placement among ``RUNNER_COUNT`` runners.

    Args:
        size: Number of peers, each of which reports a load at every runner.
        seed: Seed of the calls and of the cached prompt parts.

    Returns:
        The time in microseconds, by name of the metric.
    """
    load = routing.LoadView()
    for record in _make_records(RUNNER_COUNT):
        for number in range(size):
            load.apply_peer_load(
                f"peer-{number}",
                record.identity,
                routing.PeerLoad(1.0, 0, 10, 100),
            )

    def snapshot(record: targets.TargetRecord) -> choice.TargetCandidate:
        identity = record.identity
        return choice.TargetCandidate(
            record,
            load.running(identity, 1.0),
            load.used_kv_tokens(identity, 1.0),
            load.pending(identity, 1.0),
        )

    return _time_placements(RUNNER_COUNT, seed, snapshot)


def _time_placements(
    runner_count: int, seed: int, snapshot: Snapshot
) -> dict[str, float]:
    rng = random.Random(seed)
    records = list(_make_records(runner_count))
    directory = parts_lib.PartDirectory()
    links = {}
    for record in records:
        _fill_directory(directory, record.address, rng)
        # A runner with 1 GB/s and no setup latency.
        links[record.address] = fetch_plan.Link(
            record.address, record.zone, 1e9, 0.0, False
        )
    calls = [_make_call(rng, number) for number in range(CALLS_PER_RUN)]
    start_time = time.perf_counter()
    for call in calls:
        _place(call, records, directory, links, rng, snapshot)
    return {
        "placement_us": (time.perf_counter() - start_time) / CALLS_PER_RUN * 1e6
    }


def _place(
    call: forwarding.Call,
    records: list[targets.TargetRecord],
    directory: parts_lib.PartDirectory,
    links: dict[str, fetch_plan.Link],
    rng: random.Random,
    snapshot: Snapshot,
) -> float:
    def candidate_with_capacity(record: targets.TargetRecord):
        candidate = snapshot(record)
        return (
            candidate if choice.has_capacity(call, candidate, ENGINE) else None
        )

    key = parts_lib.part_key(SALT, call.prompt.parts[0].part_id)
    costs = []
    rankings: fetch_plan.Rankings = {}
    for candidate in choice.sample_runners(
        records,
        preferred={record.identity for record in records},
        holders=directory.tokens_by_source.get(key, ()),
        candidate_with_capacity=candidate_with_capacity,
        rng=rng,
    ):
        plan = fetch_plan.plan_fetches(
            call.prompt,
            SALT,
            address=candidate.record.address,
            zone=candidate.record.zone,
            engine=ENGINE,
            directory=directory,
            links=links,
            now=1.0,
            rankings=rankings,
        )
        placement = choice.Placement(candidate, plan, SALT)
        costs.append(choice.placement_cost(placement, zone="z0", engine=ENGINE))
    return min(costs)
