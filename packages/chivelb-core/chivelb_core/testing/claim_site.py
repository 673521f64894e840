"""Claim keepers and callers with lost, late and repeated messages."""

import dataclasses
import random
from typing import Any

import msgspec

from chivelb_core import claims
from chivelb_core.claims import keeper as keeper_lib
from chivelb_core.claims import messages


@dataclasses.dataclass(slots=True)
class Caller:
    """One arrival of a request at an entry instance.

    Attributes:
        round: Its round of claiming.
        dispatched: Whether its call was dispatched.
        ended: Whether nothing more will come of it.
    """

    round: claims.ClaimRound
    dispatched: bool = False
    ended: bool = False


@dataclasses.dataclass(slots=True)
class Letter:
    """A message on its way to or from a keeper."""

    keeper: str
    body: Any
    caller: str


class ClaimSite:
    """Keepers with modelled disks, and callers that race for keys.

    ``check`` asserts that no key is dispatched twice, and that a settled
    outcome stays what it is.

    Attributes:
        keepers: Running keepers by name.
        disks: Synced records by name of the keeper.
        callers: Arrivals by claim id.
        in_flight: Messages on their way.
        runs: Claim id that was dispatched, by key.
        wall: Unix time in seconds.
    """

    def __init__(self, names: tuple[str, ...] = ("x", "y", "z")) -> None:
        """Creates keepers that serve from the start."""
        self.names = names
        self.wall = 1_000.0
        self.keepers: dict[str, claims.Keeper] = {}
        self.disks: dict[str, list] = {name: [] for name in names}
        self.serving: set[str] = set(names)
        self.callers: dict[str, Caller] = {}
        self.in_flight: list[Letter] = []
        self.runs: dict[str, str] = {}
        self.outcomes: dict[str, bytes] = {}
        self.steps = 0
        self._numbers = 0
        self._rounds_before_loss: list[str] = []
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a keeper from its disk."""
        if name in self.keepers:
            return
        keeper = claims.Keeper(name)
        for stored in self.disks[name]:
            keeper.replay(
                msgspec.convert(msgspec.to_builtins(stored), keeper_lib.Stored)
            )
        self.keepers[name] = keeper

    def crash(self, name: str) -> None:
        """Ends a keeper."""
        self.keepers.pop(name, None)

    def lose_disk(self, name: str) -> None:
        """Loses a keeper's disk; it serves again only after a full copy.

        A second disk is lost only after the first one is repaired.
        """
        if self.serving != set(self.names):
            return
        self.crash(name)
        self._rounds_before_loss = list(self.callers)
        self.disks[name] = []
        self.serving.discard(name)
        self.start(name)

    def copy_claims(self, name: str) -> None:
        """Copies the claims of all other keepers, if all are up."""
        others = [n for n in self.names if n != name]
        if name in self.serving or name not in self.keepers:
            return
        if not all(n in self.keepers and n in self.serving for n in others):
            return
        # The keeper has waited: rounds that began before are over.
        for claim_id in self._rounds_before_loss:
            self.give_up(claim_id)
        keeper = self.keepers[name]
        for other in others:
            records, more = self.keepers[other].page("")
            assert not more
            keeper.take_listing(records)
        self.disks[name] += keeper.take_writes()
        self.serving.add(name)

    def arrive(self, key: str, digest: str = "d") -> None:
        """A request arrives at an instance and asks for its key."""
        self._numbers += 1
        claim_id = f"claim-{self._numbers}"
        request = messages.ClaimRequest(key, digest, claim_id)
        self.callers[claim_id] = Caller(
            claims.ClaimRound(request, frozenset(self.names))
        )
        for name in self.names:
            self.in_flight.append(Letter(name, request, claim_id))

    def deliver(self, position: int, *, again: bool = False) -> None:
        """Delivers a message; a keeper syncs before it replies."""
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        letter = self.in_flight[position]
        if not again:
            del self.in_flight[position]
        if isinstance(letter.body, messages.ClaimReply):
            self._take_reply(letter)
        else:
            self._serve(letter)
        self.check()

    def _serve(self, letter: Letter) -> None:
        keeper = self.keepers.get(letter.keeper)
        if keeper is None or letter.keeper not in self.serving:
            return
        match letter.body:
            case messages.ClaimRequest():
                reply = keeper.claim(letter.body, self.wall)
                self.in_flight.append(
                    Letter(letter.keeper, reply, letter.caller)
                )
            case messages.ClaimRelease():
                keeper.release(letter.body, self.wall)
            case messages.ClaimSettle():
                keeper.settle(letter.body, self.wall)
        self.disks[letter.keeper] += keeper.take_writes()

    def _take_reply(self, letter: Letter) -> None:
        caller = self.callers[letter.caller]
        if caller.ended:
            return
        caller.round.take(letter.body)
        match caller.round.verdict():
            case claims.Verdict.PENDING:
                return
            case claims.Verdict.GRANTED:
                self._dispatch(letter.caller, caller)
            case claims.Verdict.SETTLED:
                found = caller.round.settled().outcome
                key = caller.round.request.key
                assert found == self.outcomes[key], "another outcome"
                caller.ended = True
            case _:
                self.give_up(letter.caller)

    def _dispatch(self, claim_id: str, caller: Caller) -> None:
        key = caller.round.request.key
        assert key not in self.runs, f"{key} is dispatched twice"
        self.runs[key] = claim_id
        caller.dispatched = True
        caller.ended = True

    def give_up(self, claim_id: str) -> None:
        """An instance stops waiting for keepers and frees what it got."""
        caller = self.callers[claim_id]
        if caller.ended:
            return
        caller.ended = True
        request = caller.round.request
        release = messages.ClaimRelease(request.key, claim_id)
        for name in self.names:
            self.in_flight.append(Letter(name, release, claim_id))

    def give_up_oldest(self) -> None:
        """The oldest waiting arrival times out."""
        for claim_id, caller in self.callers.items():
            if not caller.ended:
                self.give_up(claim_id)
                return

    def kill_caller(self) -> None:
        """An instance dies in the middle of a round."""
        for caller in self.callers.values():
            if not caller.ended:
                caller.ended = True
                return

    def settle(self, key: str) -> None:
        """The instance that ran a key's call records its outcome."""
        claim_id = self.runs.get(key)
        if claim_id is None:
            return
        outcome = self.outcomes.setdefault(key, claim_id.encode())
        body = messages.ClaimSettle(key, claim_id, outcome)
        for name in self.names:
            self.in_flight.append(Letter(name, body, claim_id))

    def drop(self, position: int) -> None:
        """Loses a message."""
        if self.in_flight:
            del self.in_flight[position % len(self.in_flight)]

    def expire(self, seconds: float) -> None:
        """Lets time pass at the keepers, less than a claim lives."""
        self.wall += seconds
        for keeper in self.keepers.values():
            keeper.expire(self.wall)

    def check(self) -> None:
        """Asserts what must hold after each step."""
        self.steps += 1
        for keeper in self.keepers.values():
            for record in keeper.records.values():
                if record.state is keeper_lib.ClaimState.SETTLED:
                    assert record.outcome == self.outcomes[record.key]


def take_random_step(site: ClaimSite, rng: random.Random) -> None:
    """Takes one random step; long runs by seed are made of these."""
    name = rng.choice(site.names)
    key = f"key-{max(0, site.steps // 40 - rng.randrange(4))}"
    steps = [
        (30, lambda: site.deliver(rng.randrange(1 << 16))),
        (10, lambda: site.deliver(0)),
        (3, lambda: site.deliver(rng.randrange(1 << 16), again=True)),
        (2, lambda: site.drop(rng.randrange(1 << 16))),
        (6, lambda: site.arrive(key)),
        (2, site.give_up_oldest),
        (1, site.kill_caller),
        (2, lambda: site.settle(key)),
        (2, lambda: site.crash(name)),
        (4, lambda: site.start(name)),
        (0.3, lambda: site.lose_disk(name)),
        (4, lambda: site.copy_claims(name)),
        (1, lambda: site.expire(1.0)),
    ]
    weights = [weight for weight, _ in steps]
    rng.choices([step for _, step in steps], weights)[0]()
