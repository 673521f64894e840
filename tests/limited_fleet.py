"""Instances and targets in virtual time; some targets name request limits.

A limited target answers as before, and names in each answer how many requests
it takes in a second from all instances together. No sockets are opened.
"""

import asyncio
import collections
import dataclasses
import random

import builders
from chivelb_core import codes
from chivelb_core import document
from chivelb_node import context as context_lib
from chivelb_node.forwarding import admission as admission_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import limit_sharing
import fake_ports
import replicas

SERVICE = "lm"
WORK_S = (0.05, 0.2)
LATENCY_S = 0.002
CALLER_TIMEOUT_S = 5.0
CONTACT_S = 3.0
WINDOW_S = 4.0
TOLD_AFTER_S = 0.5
SLACK_REQUESTS = 5
TOLERANCE = 1.5


@dataclasses.dataclass(slots=True)
class SimulatedTarget:
    """A target and the limits that it names.

    Attributes:
        identity: Its identity.
        limits: Time and value of each change of its limit; None without one.
        arrivals: Time and sender of each request that reached it.
        told: First answer with a limit that each instance passed on.
    """

    identity: str
    limits: list[tuple[float, float | None]] = dataclasses.field(
        default_factory=list
    )
    arrivals: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    told: dict[str, float] = dataclasses.field(default_factory=dict)

    def limit(self, now):
        """Returns the limit that it names at a time."""
        current = None
        for at, limit in self.limits:
            if at <= now:
                current = limit
        return current

    def most_allowed(self, start, end):
        """Returns how many requests it takes in a window by its limits.

        Returns None if it had no limit at some time in the window. Instances
        may obey an earlier limit for as long as they may not have been told.
        """
        times = [start - TOLD_AFTER_S, *(at for at, _ in self.limits), end]
        inside = [at for at in times if start - TOLD_AFTER_S <= at <= end]
        limits = [self.limit(at) for at in inside]
        if any(limit is None for limit in limits):
            return None
        return TOLERANCE * max(limits) * WINDOW_S + SLACK_REQUESTS


class Reply:
    """Answer of a simulated target; implements ``ports.Reply``."""

    def __init__(self):
        self.status = 200
        self.is_stream = False
        self.headers = []
        self.length = 2
        self.framing = ports.Framing.LENGTH

    async def chunks(self):
        yield b"ok"

    def close(self):
        pass


class InstanceTargets:
    """Targets as one instance reaches them; implements ``TargetPort``."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    async def send(self, call, message, assignment):
        return await self.fleet.receive(self.name, assignment.record.identity)


class Fleet:
    """Instances, targets and what happened to the calls.

    Attributes:
        rng: Source of randomness.
        targets: Targets by identity.
        network: Links between the instances.
        instances: Forwarding harness of each instance, by name.
        sharing: What shares the limits at each instance, by name.
        weights: Share of the calls that each instance gets.
        disturbances: Times at which an instance was started or cut off.
        sent: Times at which calls were sent.
        served: Arrival of each call that was served.
        refused: Time, waited time in seconds and error of refused calls.
        failed: Arrival of each call that was sent to a target in vain.
    """

    def __init__(self, *, seed=1, instance_count=4, target_count=6, slots=16):
        self.rng = random.Random(seed)
        self.slots = slots
        self.targets = {
            f"t{number}": SimulatedTarget(f"t{number}")
            for number in range(target_count)
        }
        self.network = replicas.MemoryNetwork()
        self.members = replicas.make_members(0, instance_count)
        self.instances = {}
        self.sharing = {}
        self.disturbances = collections.defaultdict(list)
        self.sent = []
        self.served = []
        self.refused = []
        self.failed = []
        self._numbers = iter(range(10**6))
        self._tasks = {}
        for member in self.members:
            self.start_instance(member.name)
        self.weights = {
            name: self.rng.choice((0.2, 1.0, 1.0, 4.0))
            for name in self.instances
        }

    def now(self):
        return context_lib.monotonic()

    def start_instance(self, name):
        """Starts an instance, or starts it again without its calls."""
        for task, sender in self._tasks.items():
            if sender == name:
                task.cancel()
        member = next(m for m in self.members if m.name == name)
        engine = builders.make_engine(slots=self.slots, kv_tokens=1_000_000)
        routed = builders.make_routed_document(
            services={SERVICE: document.Service(kind="model", engine=engine)}
        )
        context = builders.make_context(routed)
        instance = context.settings.instance
        instance.name = name
        instance.region = replicas.REGION
        instance.zone = member.zone
        context.rng = random.Random(f"{name}/{self.rng.random()}")
        for target in self.targets.values():
            record = builders.make_record(
                target.identity,
                address=f"{target.identity}:80",
                service=SERVICE,
                weight_version="1",
                lease_s=0.0,
                slots=self.slots,
            )
            context.targets.announce(record, self.now())
            target.told.pop(name, None)
        hub = replicas.MemoryHub(name, self.network)
        gossip = replicas.StaticGossip(self.members, name, context.rng)
        sharing = limit_sharing.LimitSharing(context, hub, gossip)
        self.sharing[name] = sharing
        harness = fake_ports.ForwardingHarness(context)
        sharing.on_grant = harness.admission_queue.dispatch_target
        harness.forwarder.target_port = InstanceTargets(self, name)
        self.instances[name] = harness
        self.disturbances[name].append(self.now())

    def cut(self, name, *, heal=False):
        """Cuts the links of an instance in both directions, or heals them."""
        self.disturbances[name].append(self.now())
        for other in self.network.hubs:
            for link in ((name, other), (other, name)):
                if heal:
                    self.network.cut.discard(link)
                elif other != name:
                    self.network.cut.add(link)

    async def receive(self, sender, identity):
        """Takes a request of an instance, as ``TargetPort.send``."""
        target = self.targets[identity]
        sent_at = self.now()
        await asyncio.sleep(LATENCY_S)
        target.arrivals.append((self.now(), sender))
        await asyncio.sleep(self.rng.uniform(*WORK_S))
        limit = target.limit(self.now())
        await asyncio.sleep(LATENCY_S)
        values = [] if limit is None else [f"{limit}"]
        self.sharing[sender].record_answer(identity, values, sent_at)
        if limit is not None:
            target.told.setdefault(sender, self.now())
        return Reply()

    def send(self):
        """Sends a call to a random instance."""
        names = list(self.instances)
        weights = [self.weights[name] for name in names]
        (name,) = self.rng.choices(names, weights)
        number = next(self._numbers)
        now = self.now()
        self.sent.append(now)
        call = builders.make_call(
            builders.make_route(max_attempts=2),
            request_id=f"r-{number}",
            prompt=builders.make_prompt_of("shared", f"own-{number}"),
            arrived_at=now,
            deadline=now + CALLER_TIMEOUT_S,
            fingerprint=f"f-{number}",
        )
        task = asyncio.create_task(self._serve(self.instances[name], call))
        self._tasks[task] = name
        task.add_done_callback(self._tasks.pop)

    async def _serve(self, harness, call):
        caller = await harness.serve(call)
        if caller.error_detail is None:
            self.served.append(call.arrived_at)
        elif caller.error_detail.code.ran is not codes.ExecutionStatus.NOT_RUN:
            self.failed.append(call.arrived_at)
        else:
            waited_s = self.now() - call.arrived_at
            self.refused.append((self.now(), waited_s, caller.error_detail))

    async def run_traffic(self, until_s, *, per_s):
        """Sends calls until a time, and waits until all have ended."""
        updates = asyncio.create_task(self._update_queues())
        while self.now() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self.send()
        while self._tasks:
            await asyncio.sleep(0.1)
        updates.cancel()

    async def _update_queues(self):
        while True:
            await asyncio.sleep(admission_lib.DISPATCH_PERIOD_S)
            for harness in self.instances.values():
                harness.admission_queue.update_queues()

    # What happened.

    def excesses(self):
        """Yields each target that got more than it allowed, and the window."""
        for target in self.targets.values():
            named = [at for at, limit in target.limits if limit is not None]
            if not named:
                continue
            counted = [
                at
                for at, sender in target.arrivals
                if self._counts(target, sender, at)
            ]
            for first, start in enumerate(counted):
                end = start + WINDOW_S
                allowed = target.most_allowed(start, end)
                if start < named[0] + CONTACT_S or allowed is None:
                    continue
                count = sum(1 for at in counted[first:] if at <= end)
                if count > allowed:
                    yield f"{target.identity} at {start:.1f}: {count}/{allowed}"

    def _counts(self, target, sender, at):
        told_at = target.told.get(sender)
        is_disturbed = any(
            abs(at - disturbed) < CONTACT_S + WINDOW_S
            for disturbed in self.disturbances[sender][1:]
        )
        return (
            told_at is not None
            and at >= told_at + TOLD_AFTER_S
            and not is_disturbed
        )

    def served_share(self, start, end):
        """Returns which share of the calls sent in a time was served."""
        sent = sum(start <= at < end for at in self.sent)
        served = sum(start <= at < end for at in self.served)
        return served / max(1, sent)

    def arrived_per_s(self, start, end):
        """Returns the requests that reached targets in a second."""
        arrivals = [at for t in self.targets.values() for at, _ in t.arrivals]
        return sum(start <= at < end for at in arrivals) / (end - start)
