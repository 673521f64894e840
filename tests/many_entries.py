"""Many instances before a few runners, in virtual time.

A runner reads one prompt after the other and generates beside that; requests
that find it busy wait in its own queue. No sockets are opened.
"""

import asyncio
import dataclasses
import random

import builders
from chivelb_core import document
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node.forwarding import admission as admission_lib
from chivelb_node.forwarding import placement as placement_lib
from chivelb_node.links import load_owners
from chivelb_node.links import load_sharing
import replicas

SERVICE = "lm"
SLOTS = 16
KV_TOKENS = 106_000
READ_TOKENS_PER_S = 50_000.0
GENERATION_S = 0.12
LATENCY_S = 0.001
CALLS_PER_RUNNER_S = 10.0
# Tokens of the prompts and share of the calls that have them.
PROMPTS = ((6_000, 0.24), (800, 0.23), (1_800, 0.53))


@dataclasses.dataclass(slots=True)
class Runner:
    """A runner.

    Attributes:
        identity: Its identity.
        free_at: When it has read all prompts that wait, in seconds.
        running: Number of requests in progress, those that wait included.
    """

    identity: str
    free_at: float = 0.0
    running: int = 0


@dataclasses.dataclass(slots=True)
class Sent:
    """A request that was sent to a runner.

    Attributes:
        at: Time in seconds.
        waited_s: Seconds from the arrival of the call until it was sent.
        queued_s: Seconds that it waited in the queue of the runner.
        first_token_s: Seconds from the arrival to the first token.
        believed: Number of requests that its instance believed in progress
            at the runner.
        running: Number of requests that were.
    """

    at: float
    waited_s: float
    queued_s: float
    first_token_s: float
    believed: int
    running: int


class Instance:
    """One instance: admission queue, placement and shared loads.

    Attributes:
        context: Shared state.
        owners: What asks the owners of targets; None to tell all peers.
        queue: Admission queue.
        services: Services to start.
    """

    def __init__(self, fleet, member, *, asks_owners):
        engine = builders.make_engine(slots=SLOTS, kv_tokens=KV_TOKENS)
        routed = builders.make_routed_document(
            services={SERVICE: document.Service(kind="model", engine=engine)}
        )
        self.context = builders.make_context(
            routed,
            **{
                runner.identity: {
                    "service": SERVICE,
                    "address": f"{runner.identity}:80",
                    "zone": zone,
                    "slots": SLOTS,
                    "weight_version": "1",
                }
                for runner, zone in fleet.runners.values()
            },
        )
        instance = self.context.settings.instance
        instance.name = member.name
        instance.region = replicas.REGION
        instance.zone = member.zone
        self.context.rng = random.Random(member.name)
        hub = replicas.MemoryHub(member.name, fleet.network)
        gossip = replicas.StaticGossip(
            fleet.members, member.name, self.context.rng
        )
        self.owners = None
        if asks_owners:
            self.owners = load_owners.LoadOwners(self.context, hub, gossip)
        loads = load_sharing.LoadReporting(
            self.context, hub, gossip, owners=self.owners
        )
        policy = placement_lib.PlacementPolicy(
            self.context,
            parts_lib.PartDirectory(),
            count_zone_instances=lambda: len(gossip.zone_members(member.zone)),
        )
        self.queue = admission_lib.AdmissionQueue(
            self.context,
            policy,
            is_refused=lambda call, now: False,
            owners=self.owners,
        )
        optional = [loads, self.owners, self.queue]
        self.services = [s for s in optional if s is not None]


class Fleet:
    """Instances, runners and the requests that were sent.

    Attributes:
        runners: Runners with their zones, by identity.
        members: The instances as members.
        network: Links between the instances.
        instances: The instances, in the order of the members.
        receivers: Instances that receive calls, each as often as it is listed.
        sent: The requests, in the order of their first tokens.
        refused: Number of calls that were refused.
    """

    def __init__(self, *, instance_count, runner_count, asks_owners, seed=1):
        self.rng = random.Random(seed)
        self.runners = {}
        for number in range(runner_count):
            zone = replicas.ZONES[number % len(replicas.ZONES)]
            runner = Runner(f"runner-{number}")
            self.runners[runner.identity] = (runner, zone)
        self.network = replicas.MemoryNetwork()
        self.members = replicas.make_members(0, instance_count)
        self.instances = [
            Instance(self, member, asks_owners=asks_owners)
            for member in self.members
        ]
        self.receivers = list(self.instances)
        self.sent = []
        self.refused = 0
        self._tasks = set()

    async def run(self, seconds):
        """Sends calls for some time, and waits until all have ended."""
        for instance in self.instances:
            for service in instance.services:
                await service.start()
        rate_per_s = CALLS_PER_RUNNER_S * len(self.runners)
        while context_lib.monotonic() < seconds:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            self.send(self.rng.choice(self.receivers))
        while self._tasks:
            await asyncio.sleep(0.1)
        for instance in self.instances:
            for service in instance.services:
                await service.stop()
        return self

    def send(self, instance):
        """Sends a call with a new prompt to an instance."""
        sizes, weights = zip(*PROMPTS, strict=True)
        (tokens,) = self.rng.choices(sizes, weights)
        now = context_lib.monotonic()
        call = builders.make_call(
            builders.make_route(timeout_s=12.0, target_latency_s=0.4),
            request_id=f"r-{now}",
            prompt=builders.make_prompt(tokens),
            arrived_at=now,
            deadline=now + 12.0,
        )
        task = asyncio.create_task(self._serve(instance, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, instance, call):
        try:
            reservation = await instance.queue.reserve(call)
        except admission_lib.responses.RequestError:
            self.refused += 1
            return
        sent_at = context_lib.monotonic()
        runner, _ = self.runners[reservation.record.identity]
        believed = reservation.placement.candidate.running
        running = runner.running
        runner.running += 1
        await asyncio.sleep(LATENCY_S)
        now = context_lib.monotonic()
        begins_at = max(now, runner.free_at)
        read_s = call.prompt.tokens / READ_TOKENS_PER_S
        runner.free_at = begins_at + read_s
        await asyncio.sleep(runner.free_at - now)
        instance.queue.record_first_event(reservation)
        self.sent.append(
            Sent(
                at=sent_at,
                waited_s=sent_at - call.arrived_at,
                queued_s=begins_at - now,
                first_token_s=context_lib.monotonic() - call.arrived_at,
                believed=believed,
                running=running,
            )
        )
        await asyncio.sleep(GENERATION_S)
        runner.running -= 1
        instance.queue.release(reservation, call.service)

    # What happened.

    def first_token_s(self, share, *, since=0.0):
        """Returns the time to first token below which a share of calls is."""
        times = sorted(s.first_token_s for s in self.sent if s.at >= since)
        return times[int(share * (len(times) - 1))]

    def mean_error(self, *, since=0.0):
        """Returns by how many requests the believed load is wrong, mean."""
        errors = [
            abs(s.running - s.believed) for s in self.sent if s.at >= since
        ]
        return sum(errors) / len(errors)

    def messages_per_s(self, seconds):
        """Returns the messages that an instance sends in a second, mean."""
        count = self.network.message_count + 2 * len(self.network.requests)
        return count / seconds / len(self.instances)


def run_fleet(monkeypatch, simulated, *, seconds=8.0, **options):
    """Runs a fleet in virtual time and returns it.

    Args:
        monkeypatch: The fixture.
        simulated: Module that runs coroutines in virtual time.
        seconds: Seconds for which calls are sent.
        **options: Options of ``Fleet``.
    """

    async def run():
        return await Fleet(**options).run(seconds)

    return simulated.run_in_virtual_time(run, monkeypatch)
