"""Simulation of keepers with lost, delayed and duplicated messages.

The claims come from entry instances, the instances that received the callers'
requests. The simulated entry instances compete for keys.
"""

import dataclasses
import random
from typing import Any

import msgspec

from chivelb_core import claims
from chivelb_core.claims import keeper as keeper_lib
from chivelb_core.claims import messages
from chivelb_core.testing import steps as steps_lib

# Invariant checks after which a random run begins to use a new key.
CHECKS_PER_KEY = 40
# Newest keys that a random run uses.
KEYS_IN_USE = 4
EXPIRY_STEP_S = 1.0


@dataclasses.dataclass(slots=True)
class EntryInstance:
    """An entry instance, limited to one request, whose key it claims.

    Attributes:
        round: Claim round of the request.
        dispatched: Whether the request was dispatched.
        finished: Whether the round is over.
    """

    round: claims.ClaimRound
    dispatched: bool = False
    finished: bool = False


@dataclasses.dataclass(slots=True)
class Packet:
    """A message in flight to or from a keeper."""

    keeper: str
    message: Any
    entry_instance: str


class ClaimSimulation:
    """Keepers with modelled disks, and entry instances that compete for keys.

    Asserts that no key is dispatched twice, and that a settled outcome never
    changes.

    Attributes:
        keepers: Running keepers by name.
        disks: Synced records by name of the keeper.
        serving: Names of keepers whose claims are complete.
        entry_instances: Entry instances by claim id.
        in_flight: Messages in flight, oldest first.
        dispatched_claims: Id of the dispatched claim by key.
        outcomes: Recorded outcome by key.
        unix_time_s: Simulated Unix time in seconds.
        check_count: Number of invariant checks so far.
    """

    def __init__(self, names: tuple[str, ...] = ("x", "y", "z")) -> None:
        """Creates and starts the keepers, with empty disks."""
        self.names = names
        self.unix_time_s = 1_000.0
        self.keepers: dict[str, claims.Keeper] = {}
        self.disks: dict[str, list] = {name: [] for name in names}
        self.serving: set[str] = set(names)
        self.entry_instances: dict[str, EntryInstance] = {}
        self.in_flight: list[Packet] = []
        self.dispatched_claims: dict[str, str] = {}
        self.outcomes: dict[str, bytes] = {}
        self.check_count = 0
        self._claim_count = 0
        self._rounds_before_loss: list[str] = []
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a keeper from its disk, unless it is running."""
        if name in self.keepers:
            return
        keeper = claims.Keeper(name)
        for stored in self.disks[name]:
            keeper.replay(
                msgspec.convert(
                    msgspec.to_builtins(stored), keeper_lib.JournalRecord
                )
            )
        self.keepers[name] = keeper

    def crash(self, name: str) -> None:
        """Stops a keeper; records that were not synced are lost."""
        self.keepers.pop(name, None)

    def lose_disk(self, name: str) -> None:
        """Erases a keeper's disk; it serves again only after a full copy.

        Does nothing while the claims of another keeper are incomplete.
        """
        if self.serving != set(self.names):
            return
        self.crash(name)
        self._rounds_before_loss = list(self.entry_instances)
        self.disks[name] = []
        self.serving.discard(name)
        self.start(name)

    def copy_claims(self, name: str) -> None:
        """Restores a keeper from all others, if all of them are serving."""
        others = [n for n in self.names if n != name]
        if name in self.serving or name not in self.keepers:
            return
        if not all(n in self.keepers and n in self.serving for n in others):
            return
        # A keeper waits for longer than ``ROUND_TIMEOUT_S``, so that all rounds
        # that started before the disk was lost are over.
        for claim_id in self._rounds_before_loss:
            self.abandon_claim(claim_id)
        keeper = self.keepers[name]
        for other in others:
            records, more = self.keepers[other].list_claims("")
            assert not more, (
                f"{other} lists more than one page of claims, "
                f"{len(records)} on the first"
            )
            keeper.merge_claims(records)
        self.disks[name] += keeper.take_unsynced_records()
        self.serving.add(name)

    def arrive(self, key: str, digest: str = "d") -> None:
        """A request arrives at an entry instance, which claims its key."""
        self._claim_count += 1
        claim_id = f"claim-{self._claim_count}"
        request = messages.ClaimRequest(key, digest, claim_id)
        self.entry_instances[claim_id] = EntryInstance(
            claims.ClaimRound(request, frozenset(self.names))
        )
        for name in self.names:
            self.in_flight.append(Packet(name, request, claim_id))

    def deliver(self, position: int, *, duplicate: bool = False) -> None:
        """Delivers a message in flight; a keeper syncs before it replies.

        Args:
            position: Position in ``in_flight``, modulo its length.
            duplicate: Whether a copy stays in flight.
        """
        packet = steps_lib.take_packet(
            self.in_flight, position, duplicate=duplicate
        )
        if packet is None:
            return
        if isinstance(packet.message, messages.ClaimReply):
            self._handle_reply(packet)
        else:
            self._handle_request(packet)
        self.check()

    def _handle_request(self, packet: Packet) -> None:
        keeper = self.keepers.get(packet.keeper)
        if keeper is None or packet.keeper not in self.serving:
            return
        match packet.message:
            case messages.ClaimRequest():
                reply = keeper.claim(packet.message, self.unix_time_s)
                self.in_flight.append(
                    Packet(packet.keeper, reply, packet.entry_instance)
                )
            case messages.ClaimRelease():
                keeper.release(packet.message, self.unix_time_s)
            case messages.ClaimSettle():
                keeper.settle(packet.message, self.unix_time_s)
        self.disks[packet.keeper] += keeper.take_unsynced_records()

    def _handle_reply(self, packet: Packet) -> None:
        entry_instance = self.entry_instances[packet.entry_instance]
        if entry_instance.finished:
            return
        entry_instance.round.add_reply(packet.message)
        match entry_instance.round.result():
            case claims.RoundResult.PENDING:
                return
            case claims.RoundResult.GRANTED:
                self._dispatch(packet.entry_instance, entry_instance)
            case claims.RoundResult.SETTLED:
                outcome = entry_instance.round.find_settled_reply().outcome
                key = entry_instance.round.request.key
                assert outcome == self.outcomes[key], (
                    f"outcome of {key} changed from {self.outcomes[key]!r} to "
                    f"{outcome!r}"
                )
                entry_instance.finished = True
            case _:
                self.abandon_claim(packet.entry_instance)

    def _dispatch(self, claim_id: str, entry_instance: EntryInstance) -> None:
        key = entry_instance.round.request.key
        assert key not in self.dispatched_claims, f"{key} was dispatched twice"
        self.dispatched_claims[key] = claim_id
        entry_instance.dispatched = True
        entry_instance.finished = True

    def abandon_claim(self, claim_id: str) -> None:
        """An entry instance ends its round early and releases its claim."""
        entry_instance = self.entry_instances[claim_id]
        if entry_instance.finished:
            return
        entry_instance.finished = True
        request = entry_instance.round.request
        release = messages.ClaimRelease(request.key, claim_id)
        for name in self.names:
            self.in_flight.append(Packet(name, release, claim_id))

    def time_out_oldest(self) -> None:
        """The oldest unfinished claim round times out."""
        for claim_id, entry_instance in self.entry_instances.items():
            if not entry_instance.finished:
                self.abandon_claim(claim_id)
                return

    def crash_entry_instance(self) -> None:
        """An entry instance crashes during its claim round."""
        for entry_instance in self.entry_instances.values():
            if not entry_instance.finished:
                entry_instance.finished = True
                return

    def settle(self, key: str) -> None:
        """The entry instance that dispatched a key records its outcome."""
        claim_id = self.dispatched_claims.get(key)
        if claim_id is None:
            return
        outcome = self.outcomes.setdefault(key, claim_id.encode())
        message = messages.ClaimSettle(key, claim_id, outcome)
        for name in self.names:
            self.in_flight.append(Packet(name, message, claim_id))

    def drop(self, position: int) -> None:
        """Drops a message in flight."""
        steps_lib.drop_packet(self.in_flight, position)

    def expire(self, seconds: float) -> None:
        """Advances the time and removes expired claims.

        Args:
            seconds: Time to advance, less than the retention of a claim.
        """
        self.unix_time_s += seconds
        for keeper in self.keepers.values():
            keeper.expire(self.unix_time_s)

    def check(self) -> None:
        """Asserts the invariants that must hold after each step."""
        self.check_count += 1
        for keeper in self.keepers.values():
            for record in keeper.records.values():
                if record.state is keeper_lib.ClaimState.SETTLED:
                    assert record.outcome == self.outcomes[record.key], (
                        f"{keeper.name} has outcome {record.outcome!r} of "
                        f"{record.key}, not {self.outcomes[record.key]!r}"
                    )


def take_random_step(simulation: ClaimSimulation, rng: random.Random) -> None:
    """Runs one random step, chosen by weight."""
    name = rng.choice(simulation.names)
    # Each step picks one of the newest keys, so that requests compete for a key
    # and old keys are left.
    newest = simulation.check_count // CHECKS_PER_KEY
    key = f"key-{max(0, newest - rng.randrange(KEYS_IN_USE))}"
    steps = [
        (30, lambda: simulation.deliver(steps_lib.random_position(rng))),
        (10, lambda: simulation.deliver(0)),
        (
            3,
            lambda: simulation.deliver(
                steps_lib.random_position(rng), duplicate=True
            ),
        ),
        (2, lambda: simulation.drop(steps_lib.random_position(rng))),
        (6, lambda: simulation.arrive(key)),
        (2, simulation.time_out_oldest),
        (1, simulation.crash_entry_instance),
        (2, lambda: simulation.settle(key)),
        (2, lambda: simulation.crash(name)),
        (4, lambda: simulation.start(name)),
        (0.3, lambda: simulation.lose_disk(name)),
        (4, lambda: simulation.copy_claims(name)),
        (1, lambda: simulation.expire(EXPIRY_STEP_S)),
    ]
    steps_lib.run_weighted_step(steps, rng)
