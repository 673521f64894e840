"""Instances and targets in virtual time; some parts of prompts crash targets.

A target that begins to write an answer on such a part crashes, with all that
it runs, and comes back with a new identity at the same address. No sockets are
opened, and the processes' clock is that of ``simulated_runners``.
"""

import asyncio
import collections
import dataclasses
import random

import builders
from chivelb_core import codes
from chivelb_core import document
from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import suspect_sharing
import fake_ports
import replicas

SERVICE = "lm"
PREFILL_S = 0.1
EVENT_INTERVAL_S = 0.1
EVENTS_OF_AN_ANSWER = 4
RESTART_S = 3.0
DETECTION_S = 0.005
FIRST_PARTS = 4
SECOND_PARTS = 60
CLEARINGS_PER_SHARE = (
    suspect_sharing.SHARE_DELAY_S / suspect_sharing.MAX_CLEARING_DELAY_S
)


@dataclasses.dataclass(slots=True)
class SimulatedTarget:
    """One lifetime of a target.

    Attributes:
        identity: Its identity.
        address: Its address, which the next lifetime takes over.
        crashed: Set when it has crashed.
    """

    identity: str
    address: str
    crashed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a target.

    Attributes:
        at: Virtual time in seconds.
        sender: Name of the instance that sent it.
        parts: Ids of the parts of its prompt.
        fingerprint: Fingerprint of the request.
    """

    at: float
    sender: str
    parts: tuple[str, ...]
    fingerprint: str


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request that a caller sent.

    Attributes:
        at: Virtual time in seconds.
        parts: Ids of the shared parts of its prompt.
    """

    at: float
    parts: tuple[str, ...]

    def has(self, part, without):
        """Whether it has a part and does not have another one."""
        return part in self.parts and without not in self.parts


class StreamReply:
    """Stream of a simulated target; implements ``ports.Reply``."""

    def __init__(self, fleet, target, call):
        self.fleet = fleet
        self.target = target
        self.call = call
        self.status = 200
        self.is_stream = True
        self.headers = []
        self.length = None
        self.framing = ports.Framing.CHUNKED

    async def chunks(self):
        await self._work(PREFILL_S)
        if self.fleet.is_crashing(self.call):
            self.fleet.crash(self.target)
        for number in range(EVENTS_OF_AN_ANSWER):
            if self.fleet.rng.random() < self.fleet.reset_ratio:
                raise fake_ports.unknown()
            await self._work(EVENT_INTERVAL_S if number else 0.0)
            if number == 0:
                self.fleet.begun.append((self.fleet.now(), self.call))
            yield b"id: %d\ndata: x\n\n" % number

    async def _work(self, duration_s):
        try:
            async with asyncio.timeout(duration_s):
                await self.target.crashed.wait()
        except TimeoutError:
            pass
        if self.target.crashed.is_set():
            raise fake_ports.unknown()

    def close(self):
        pass


class InstanceTargets:
    """Targets as one instance reaches them; implements ``TargetPort``."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def send(self, call, message, assignment):
        return await self.fleet.receive(self.name, call, assignment)


class Fleet:
    """Instances, targets and what happened to their requests.

    Attributes:
        rng: Source of randomness.
        crashing_parts: Ids of the parts that crash targets.
        crashing_requests: Fingerprints of the requests that crash targets.
        slots: Requests that a target runs at a time.
        reset_ratio: Share of the events before which the connection breaks
            although the target goes on.
        targets: Living targets by identity.
        sent: Requests of callers, oldest first.
        arrivals: Requests that reached targets, oldest first.
        begun: Time and call of each answer that began.
        crashes: Times of the crashes by the part that caused them.
        network: Links between the instances.
        instances: Forwarding harness of each instance, by name.
        refused: Calls that were refused as suspects, with their times.
    """

    def __init__(self, *, seed=1, instance_count=4, target_count=12, slots=64):
        self.rng = random.Random(seed)
        self.slots = slots
        self.sent = []
        self.crashing_parts = set()
        self.crashing_requests = set()
        self.reset_ratio = 0.0
        self.targets = {}
        self.arrivals = []
        self.begun = []
        self.crashes = collections.defaultdict(list)
        self.refused = []
        self.network = replicas.MemoryNetwork()
        self.members = replicas.make_members(3, instance_count)
        self.instances = {}
        self._sharing_tasks = {}
        self._numbers = iter(range(10**6))
        self._tasks = set()
        for number in range(target_count):
            self._start_target(f"10.0.0.{number}:80")
        for member in self.members:
            self.start_instance(member)

    def now(self):
        return context_lib.monotonic()

    # Instances.

    def start_instance(self, member):
        """Starts an instance, or starts it again with nothing known."""
        engine = builders.make_engine(slots=self.slots, kv_tokens=1_000_000)
        routed = builders.make_routed_document(
            services={SERVICE: document.Service(kind="model", engine=engine)}
        )
        context = builders.make_context(routed)
        instance = context.settings.instance
        instance.name = member.name
        instance.region = replicas.REGION
        instance.zone = member.zone
        context.rng = random.Random(f"{member.name}/{self.rng.random()}")
        hub = replicas.MemoryHub(member.name, self.network)
        gossip = replicas.StaticGossip(self.members, member.name, context.rng)
        sharing = suspect_sharing.SuspectSharing(context, hub, gossip)
        self._run_sharing(member.name, sharing)
        for target in self.targets.values():
            self._announce(context, target)
        if member.anchor:
            return
        harness = fake_ports.ForwardingHarness(context)
        harness.forwarder.target_port = InstanceTargets(self, member.name)
        harness.crash_policy.broadcast_observation = (
            sharing.broadcast_observation
        )
        harness.crash_policy.broadcast_evidence = sharing.broadcast_evidence
        self.instances[member.name] = harness

    def _run_sharing(self, name, sharing):
        """Runs what a started service does, instead of an earlier one."""
        if name in self._sharing_tasks:
            self._sharing_tasks[name].cancel()

        async def share():
            while True:
                await sharing.repair_once()
                next_repair_at = self.now() + sharing.repair_period_s()
                while self.now() < next_repair_at:
                    await asyncio.sleep(suspect_sharing.SHARE_DELAY_S)
                    sharing.send_crashes()
                    if sharing.context.rng.random() < CLEARINGS_PER_SHARE:
                        sharing.send_clearing()

        self._sharing_tasks[name] = asyncio.create_task(share())

    def cut(self, name, *, heal=False):
        """Cuts the links of an instance in both directions, or heals them."""
        for other in self.network.hubs:
            for link in ((name, other), (other, name)):
                if heal:
                    self.network.cut.discard(link)
                elif other != name:
                    self.network.cut.add(link)

    # Targets.

    def _start_target(self, address):
        target = SimulatedTarget(f"t-{next(self._numbers)}", address)
        self.targets[target.identity] = target
        for harness in self.instances.values():
            self._announce(harness.context, target)

    def _announce(self, context, target):
        record = builders.make_record(
            target.identity,
            address=target.address,
            service=SERVICE,
            weight_version="1",
            lease_s=0.0,
            slots=self.slots,
        )
        context.targets.announce(record, self.now())

    def crash(self, target):
        """Ends a lifetime; the next one begins after ``RESTART_S``."""
        if target.crashed.is_set():
            return
        del self.targets[target.identity]
        target.crashed.set()
        asyncio.get_running_loop().call_later(
            RESTART_S, self._start_target, target.address
        )

    def crash_some(self, share):
        """Ends a share of the lifetimes, for no reason of a request."""
        count = round(share * len(self.targets))
        for target in self.rng.sample(list(self.targets.values()), count):
            self.crash(target)

    def is_crashing(self, call):
        """Records and returns whether a call's answer crashes its target."""
        crashing = self.crashing_parts & set(part_ids(call))
        for part in crashing:
            self.crashes[part].append(self.now())
        return bool(crashing) or call.fingerprint in self.crashing_requests

    async def receive(self, sender, call, assignment):
        """Takes a request of an instance, as ``TargetPort.send``."""
        await asyncio.sleep(DETECTION_S)
        target = self.targets.get(assignment.record.identity)
        if target is None:
            raise fake_ports.not_run(target_crashed=True)
        self.arrivals.append(
            Arrival(self.now(), sender, part_ids(call), call.fingerprint)
        )
        return StreamReply(self, target, call)

    # Callers.

    def send(
        self, *parts, name=None, workspace="w", route=None, fingerprint=""
    ):
        """Sends a request with shared parts and one of its own."""
        name = name or self.rng.choice(sorted(self.instances))
        harness = self.instances[name]
        number = next(self._numbers)
        now = self.now()
        call = builders.make_call(
            route or builders.make_route(max_attempts=1),
            request_id=f"r-{number}",
            workspace=workspace,
            prompt=builders.make_prompt_of(*parts, f"own-{number}"),
            arrived_at=now,
            deadline=now + 5.0,
            fingerprint=fingerprint or f"f-{number}",
        )
        self.sent.append(SentRequest(now, part_ids(call)))
        task = asyncio.create_task(self._serve(harness, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return call

    async def _serve(self, harness, call):
        caller = await harness.serve(call)
        error_detail = caller.error_detail
        if error_detail is not None and error_detail.code is codes.SUSPECT:
            self.refused.append((self.now(), call))

    def send_sound(self):
        """Sends a sound request with two shared parts that others use."""
        return self.send(
            f"first-{self.rng.randrange(FIRST_PARTS)}",
            f"second-{self.rng.randrange(SECOND_PARTS)}",
        )

    async def run_traffic(self, until_s, *, per_s=40.0, also=()):
        """Sends sound requests until a time.

        Args:
            until_s: Virtual time in seconds.
            per_s: Sound requests a second.
            also: Further senders: requests a second, and the function that
                sends one.
        """
        senders = [(per_s, self.send_sound), *also]
        async with asyncio.TaskGroup() as group:
            for rate, send_one in senders:
                group.create_task(self._send_steadily(until_s, rate, send_one))
        while self._tasks:
            await asyncio.sleep(0.1)
        for task in self._sharing_tasks.values():
            task.cancel()

    async def _send_steadily(self, until_s, per_s, send_one):
        while self.now() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            send_one()

    # What happened.

    def arrivals_after(self, part, at, *, senders=None):
        """Returns the requests with a part that reached targets later."""
        return [
            arrival
            for arrival in self.arrivals
            if arrival.at > at
            and part in arrival.parts
            and (senders is None or arrival.sender in senders)
        ]

    def begun_between(self, start, end, part=None):
        """Returns how many answers began, with a part or all."""
        return sum(
            start <= at < end and (part is None or part in part_ids(call))
            for at, call in self.begun
        )


def part_ids(call):
    """Returns the ids of the shared parts of a call."""
    return tuple(call.shared_part_ids)
