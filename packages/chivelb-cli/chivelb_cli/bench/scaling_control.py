"""Scaling benchmarks of the control plane: membership, claims, document."""

import asyncio
import pathlib
import statistics
import tempfile
import time

from chivelb_core import claims
from chivelb_core import document
from chivelb_core.claims import messages as claim_messages
from chivelb_core.document import results as results_lib
from chivelb_core.document import state as state_lib
from chivelb_core.testing import swim_group
from chivelb_node.storage import journal
from chivelb_node.wire import codec
import msgspec

from chivelb_cli.bench import scaling_curves

# Bytes counted per datagram for the header and MAC that authenticate it.
AUTHENTICATION_BYTES = 48
# Simulated times: before the measurement, in steady state, and after one
# instance has failed.
WARM_UP_S = 3.0
STEADY_S = 20.0
FAILURE_S = 10.0
# Changes that are timed one by one where they are accepted, and together where
# they are followed.
CHANGE_COUNT = 5


def measure_membership() -> scaling_curves.ScalingCurve:
    """Measures traffic and CPU time of one instance by size of the group.

    ``core_share`` is the CPU time of one simulated instance as a share of one
    CPU core.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
        names = [f"node-{number:05}" for number in range(size)]
        # All instances in one region.
        group = swim_group.SwimSimulation({"r": names}, seed=seed)
        group.run(WARM_UP_S)
        sent_sizes: list[int] = []
        measured_instance = names[0]

        def on_send(sender, message):
            if sender == measured_instance:
                encoded = codec.encode(codec.Envelope(message))
                sent_sizes.append(len(encoded) + AUTHENTICATION_BYTES)

        group.on_send = on_send
        start_time = time.process_time()
        group.run(STEADY_S)
        cpu_s = time.process_time() - start_time
        # One instance fails: the messages about it add to the steady traffic.
        steady_bytes_per_s = sum(sent_sizes) / STEADY_S
        sent_sizes.clear()
        group.crash(names[-1])
        group.run(FAILURE_S)
        return {
            "bytes_per_s": steady_bytes_per_s,
            "bytes_per_s_in_failure": sum(sent_sizes) / FAILURE_S,
            "core_share": cpu_s / STEADY_S / size,
        }

    return scaling_curves.measure(
        "membership", "instances", [3, 9, 27, 81, 200], run_once
    )


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


def measure_claims() -> scaling_curves.ScalingCurve:
    """Measures memory, disk space and durable claims per second of one keeper.

    A keeper is one replica of the idempotency claims. The size is the number
    of claims that it already stores. A claim is durable once its record is
    synced to the local disk. ``claims_per_s`` has 32 claims in flight,
    ``claims_per_s_alone`` one at a time.
    """

    def run_once(size: int, seed: int) -> dict[str, float]:
        keeper, used_bytes = scaling_curves.measure_memory(
            lambda: _fill_keeper(size)
        )
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

    return scaling_curves.measure(
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


def measure_document() -> scaling_curves.ScalingCurve:
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

        document_state, used_bytes = scaling_curves.measure_memory(build)
        durations_s = []
        for number in range(CHANGE_COUNT):
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
        # The changes lead on from version 1, so this is the last delta alone.
        encoded_deltas = msgspec.msgpack.encode(
            document_state.deltas_since(CHANGE_COUNT)
        )
        replica = build()
        start_time = time.process_time()
        for delta in document_state.deltas_since(1):
            replica = replica.apply_deltas([delta])
        # Mean time in which a replica applies the delta of one change.
        apply_deltas_s = (time.process_time() - start_time) / CHANGE_COUNT
        return {
            "memory_mb": used_bytes / 1e6,
            "change_ms": statistics.median(durations_s) * 1e3,
            "follow_ms": apply_deltas_s * 1e3,
            "snapshot_mb": len(state_lib.encode_document_state(document_state))
            / 1e6,
            "delta_bytes": len(encoded_deltas),
        }

    return scaling_curves.measure(
        "document", "workspaces", [10, 1_000, 4_000, 13_000], run_once
    )


def measure_change_ids() -> scaling_curves.ScalingCurve:
    """Measures the memory of stored change ids."""

    def run_once(size: int, seed: int) -> dict[str, float]:
        def build() -> dict:
            return {
                f"{number:024x}": results_lib.ChangeResult(
                    0, number, f"{number:032x}"
                )
                for number in range(size)
            }

        _, used_bytes = scaling_curves.measure_memory(build)
        return {"bytes_per_id": used_bytes / size}

    return scaling_curves.measure(
        "change_ids", "change ids", [1_000, 10_000, 50_000, 200_000], run_once
    )
