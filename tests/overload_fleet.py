"""A fleet with three kinds of calls at once, in virtual time.

It is the fleet of ``many_entries`` with a schedule of large, ordinary and
urgent calls. KV cache and slots of a runner are not simulated: prefill is what
runs short.
"""

import asyncio
import dataclasses

import builders
from chivelb_core import forwarding
from chivelb_node import context as context_lib
import many_entries

READ_TOKENS_PER_S = 68_200.0


@dataclasses.dataclass(slots=True, frozen=True)
class Kind:
    """Calls of one kind.

    Attributes:
        name: Name of their route.
        tokens: Tokens of a prompt.
        per_s: Calls a second for each runner of the fleet.
        priority: Their priority.
        objective_s: Latency objective.
    """

    name: str
    tokens: int
    per_s: float
    priority: int
    objective_s: float


URGENT = Kind("urgent", 827, 124 / 70, 0, 0.4)
ORDINARY = Kind("ordinary", 2_368, 166 / 70, 1, 0.5)
LARGE = Kind("large", 12_000, 104 / 70, 2, 1.5)


class OverloadFleet(many_entries.Fleet):
    """Instances, runners and what became of the calls.

    Attributes:
        rate_factor: Function from a kind and a time to the factor of its rate.
        waits: Times to the first token, or None for refused calls, by kind and
            time of arrival.
    """

    def __init__(self, *, rate_factor, decisions=None, **options):
        super().__init__(**options)
        self.rate_factor = rate_factor
        self.waits = {kind.name: [] for kind in (URGENT, ORDINARY, LARGE)}
        for instance in self.instances:
            policy = instance.queue.placement_policy
            policy.count_instances = lambda: len(self.instances)
            policy.prefill_tokens_per_s = lambda service: READ_TOKENS_PER_S
            if decisions is not None:
                instance.context.settings.decisions = decisions

    async def run(self, seconds):
        for instance in self.instances:
            for service in instance.services:
                await service.start()
        await asyncio.gather(
            *(self._send(kind, seconds) for kind in (URGENT, ORDINARY, LARGE))
        )
        while self._tasks:
            await asyncio.sleep(0.1)
        for instance in self.instances:
            for service in instance.services:
                await service.stop()
        return self

    async def _send(self, kind, seconds):
        while (now := context_lib.monotonic()) < seconds:
            per_s = kind.per_s * self.rate_factor(kind, now)
            await asyncio.sleep(self.rng.expovariate(per_s * len(self.runners)))
            now = context_lib.monotonic()
            call = builders.make_call(
                builders.make_route(
                    timeout_s=6.0, target_latency_s=kind.objective_s
                ),
                request_id=f"{kind.name}-{now}",
                route_name=kind.name,
                priority=kind.priority,
                prompt=forwarding.Prompt(
                    "m",
                    (forwarding.Part(f"{kind.name}-{now}", kind.tokens),),
                    kind.tokens,
                    100,
                ),
                arrived_at=now,
                deadline=now + 6.0,
            )
            instance = self.rng.choice(self.receivers)
            task = asyncio.create_task(self._measure(instance, call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _measure(self, instance, call):
        entry = [call.arrived_at, None]
        self.waits[call.route_name].append(entry)

        def record_first_event(reservation):
            entry[1] = context_lib.monotonic() - call.arrived_at
            instance.queue.record_first_event(reservation)

        await self._serve(_Observed(instance, record_first_event), call)

    def in_time(self, kind, *, since, until):
        """Returns the share of calls with a first token in time."""
        waits = [w for at, w in self.waits[kind.name] if since <= at < until]
        met = sum(w is not None and w <= kind.objective_s for w in waits)
        return met / len(waits)


class _Observed:
    """An instance whose first events are recorded by a function."""

    def __init__(self, instance, record_first_event):
        self.queue = _ObservedQueue(instance.queue, record_first_event)


class _ObservedQueue:
    def __init__(self, queue, record_first_event):
        self.reserve = queue.reserve
        self.release = queue.release
        self.record_first_event = record_first_event


def run_fleet(monkeypatch, simulated, *, seconds, **options):
    """Runs a fleet in virtual time and returns it."""
    monkeypatch.setattr(many_entries, "READ_TOKENS_PER_S", READ_TOKENS_PER_S)
    monkeypatch.setattr(many_entries, "KV_TOKENS", 96_403)
    monkeypatch.setattr(many_entries, "GENERATION_S", 0.3)

    async def run():
        return await OverloadFleet(**options).run(seconds)

    return simulated.run_in_virtual_time(run, monkeypatch)
