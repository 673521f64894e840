"""Instances in virtual time, some of which lose their paths to all targets.

Callers, peers and control instances still reach them. No sockets are opened.
"""

import asyncio
import collections
import dataclasses
import enum
import random

import builders
from chivelb_core import codes
from chivelb_core import document
from chivelb_node import context as context_lib
from chivelb_node.forwarding import admission as admission_lib
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import relay_server
from chivelb_node.forwarding import target_paths
from chivelb_node.links import http_pool
from chivelb_node.links import reachability
import fake_ports
import memory_channels
import replicas

SERVICES = ("lm", "web")
WORK_S = (0.05, 0.3)
CONNECT_S = 0.001
CONNECT_TIMEOUT_S = 0.3
SILENCE_TIMEOUT_S = 2.5
IDLE_TIMEOUT_S = 0.5
CALLER_TIMEOUT_S = 4.0
CONTACT_S = 3.0


class Cut(enum.Enum):
    """What a cut does to connections: to new ones, and to open ones."""

    HANGING = "all hang"
    RESET = "all are reset"
    OLD_LIVE_ON = "new ones hang, open ones live on"


def _count_of(share, total):
    """Returns how many are a share of a total; all only for a share of 1."""
    return total if share == 1 else min(total - 1, round(share * total))


@dataclasses.dataclass(slots=True)
class Reply:
    """Response of a simulated target; implements ``ports.Reply``."""

    on_close: object
    status: int = 200
    is_stream: bool = False
    headers: list = dataclasses.field(default_factory=list)
    length: int | None = 2
    framing: ports.Framing = ports.Framing.LENGTH

    async def chunks(self):
        yield b"ok"

    def close(self):
        self.on_close()


class InstancePaths:
    """Connections of one instance to targets.

    Implements ``ports.TargetPort`` and what ``ReachabilityChecks`` needs of an
    ``HttpPool``.

    Attributes:
        fleet: The fleet.
        name: Name of the instance.
        idle: Times at which idle connections expire, by address.
        cut: What befalls the paths of the instance to ``cut_targets``; None
            while there is no cut.
        cut_targets: Identities of the targets that it does not reach.
        opened: Number of connections opened, or tried to open.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.idle = collections.defaultdict(list)
        self.cut = None
        self.cut_targets = frozenset()
        self.opened = 0

    def _is_cut(self, identity):
        return self.cut is not None and identity in self.cut_targets

    async def _open(self, identity):
        self.opened += 1
        if not self._is_cut(identity):
            await asyncio.sleep(CONNECT_S)
            return
        if self.cut is not Cut.RESET:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
        raise http_pool.NotSentError(identity)

    async def open_idle(self, address):
        identity = address.partition(":")[0]
        await self._open(identity)
        self._keep(identity)

    def _keep(self, identity):
        self.idle[identity].append(context_lib.monotonic() + IDLE_TIMEOUT_S)

    def _take_idle(self, identity):
        now = context_lib.monotonic()
        while self.idle[identity]:
            if self.idle[identity].pop() > now:
                return True
        return False

    async def send(self, call, message, assignment):
        identity = assignment.record.identity
        if not self._take_idle(identity):
            try:
                await self._open(identity)
            except http_pool.NotSentError:
                raise fake_ports.not_run(
                    codes.TARGET_UNREACHABLE, target_crashed=True
                ) from None
        await self._pass(identity)
        await self.fleet.receive(self.name, identity, call)
        await self._pass(identity)
        return Reply(on_close=lambda: self._keep(identity))

    async def _pass(self, identity):
        """Passes bytes on an open connection, or finds that it is dead."""
        if not self._is_cut(identity) or self.cut is Cut.OLD_LIVE_ON:
            return
        if self.cut is Cut.HANGING:
            await asyncio.sleep(SILENCE_TIMEOUT_S)
        raise fake_ports.unknown()


@dataclasses.dataclass(slots=True)
class Try:
    """The first try of a request.

    Attributes:
        name: Instance that took it.
        at: Time of its arrival, in seconds.
        served: Whether it got a whole answer.
        code: Number of the error that it got; 0 for none.
        took_s: Time from its arrival to its end, in seconds.
    """

    name: str
    at: float
    served: bool
    code: int
    took_s: float


class Fleet:
    """Instances, targets, and what happened to the calls.

    Attributes:
        rng: Source of randomness.
        targets: Identities of the targets by service.
        network: Links between the instances.
        instances: Forwarding harness of each instance, by name.
        paths: Connections to targets of each instance, by name.
        relays: What makes attempts for peers at each instance, by name.
        tries: First tries of all requests.
        arrivals: Request id, time and sender of what reached targets.
        relayed: Time and sender of each channel that was opened.
        routes: Name of the route of each request.
    """

    def __init__(self, *, seed=1, instance_count=9, target_count=9):
        self.rng = random.Random(seed)
        self.targets = {
            "lm": [f"lm-{number}" for number in range(target_count)],
            "web": [f"web-{number}" for number in range(3)],
        }
        self.network = replicas.MemoryNetwork()
        self.members = replicas.make_members(0, instance_count)
        self.instances = {}
        self.paths = {}
        self.relays = {}
        self.services = []
        self.tries = []
        self.arrivals = []
        self.relayed = []
        self.routes = {}
        self._numbers = iter(range(10**6))
        self._tasks = set()
        for member in self.members:
            self._start_instance(member)

    def now(self):
        return context_lib.monotonic()

    @property
    def all_targets(self):
        return frozenset(sum(self.targets.values(), []))

    def _start_instance(self, member):
        context = self._make_context(member)
        paths = InstancePaths(self, member.name)
        checks = reachability.ReachabilityChecks(context, paths)
        harness = fake_ports.ForwardingHarness(context)
        self.relays[member.name] = relay_server.RelayServer(
            context, paths, check_reachability=checks.start_checking
        )
        harness.forwarder.target_port = target_paths.TargetPaths(
            context,
            paths,
            open_channel=lambda peer: self._open_channel(member.name, peer),
            peers_by_zone=lambda: self._peers_by_zone(member),
        )
        harness.forwarder.check_reachability = checks.start_checking
        self.instances[member.name] = harness
        self.paths[member.name] = paths
        self.services.append(checks)

    async def _open_channel(self, name, peer):
        await asyncio.sleep(CONNECT_S)
        self.relayed.append((self.now(), name))
        here, there = memory_channels.make_pair(name, peer)
        self._start(self.relays[peer].serve(there))
        return here

    def _peers_by_zone(self, member):
        zones = {member.zone: []}
        for other in self.members:
            if other.name != member.name:
                zones.setdefault(other.zone, []).append(other.name)
        return list(zones.values())

    def _make_context(self, member):
        engine = builders.make_engine(slots=64, kv_tokens=1_000_000)
        context = builders.make_context(
            builders.make_routed_document(
                services={
                    "lm": document.Service(kind="model", engine=engine),
                    "web": document.Service(kind="plain"),
                }
            )
        )
        instance = context.settings.instance
        instance.name = member.name
        instance.region = replicas.REGION
        instance.zone = member.zone
        context.rng = random.Random(f"{member.name}/{self.rng.random()}")
        for service, identities in self.targets.items():
            for number, identity in enumerate(identities):
                record = builders.make_record(
                    identity,
                    address=f"{identity}:80",
                    zone=replicas.ZONES[number % len(replicas.ZONES)],
                    service=service,
                    weight_version="1" if service == "lm" else "",
                    lease_s=0.0,
                    slots=64,
                )
                context.targets.announce(record, self.now())
        return context

    def cut(self, names, how, *, share=1.0):
        """Cuts instances off from a share of the targets of each service."""
        for name in names:
            paths = self.paths[name]
            paths.cut = how
            paths.cut_targets = frozenset(
                identity
                for identities in self.targets.values()
                for identity in self.rng.sample(
                    identities, _count_of(share, len(identities))
                )
            )

    def heal(self):
        """Ends all cuts."""
        for paths in self.paths.values():
            paths.cut = None

    async def receive(self, sender, identity, call):
        """Takes a request at a target and works on it."""
        self.arrivals.append((call.request_id, self.now(), sender))
        await asyncio.sleep(self.rng.uniform(*WORK_S))

    def send(self):
        """Sends the first try of a request to a random instance."""
        name = self.rng.choice(sorted(self.instances))
        route_name = self.rng.choice(("quote", "once", "pdf", "status"))
        now = self.now()
        number = next(self._numbers)
        self.routes[f"r-{number}"] = route_name
        route = builders.make_routed_document().routes[route_name]
        call = builders.make_call(
            route,
            request_id=f"r-{number}",
            route_name=route_name,
            prompt=builders.make_prompt_of("shared", f"own-{number}")
            if route.split[0].service == "lm"
            else None,
            arrived_at=now,
            deadline=now + CALLER_TIMEOUT_S,
            fingerprint=f"f-{number}",
        )
        self._start(self._serve(name, call))

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, name, call):
        caller = await self.instances[name].serve(call)
        error = caller.error_detail
        code = 0 if error is None else error.code.number
        served = caller.end == "finished"
        took_s = self.now() - call.arrived_at
        self.tries.append(Try(name, call.arrived_at, served, code, took_s))

    async def run_traffic(self, until_s, *, per_s):
        """Sends calls until a time, and waits until all have ended."""
        for service in self.services:
            await service.start()
        updates = asyncio.create_task(self._update_queues())
        while self.now() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            self.send()
        while self._tasks:
            await asyncio.sleep(0.1)
        updates.cancel()
        for service in self.services:
            await service.stop()

    async def _update_queues(self):
        while True:
            await asyncio.sleep(admission_lib.DISPATCH_PERIOD_S)
            for harness in self.instances.values():
                harness.admission_queue.update_queues()

    # What happened.

    def served_share(self, names, start, end):
        """Returns the first tries in a time, and the share that was served."""
        tries = [t for t in self.tries if t.name in names]
        tries = [t for t in tries if start <= t.at < end]
        return len(tries), sum(t.served for t in tries) / max(1, len(tries))

    def unequal(self, cut_names, start, end):
        """Yields in which way tries at cut-off instances fared worse.

        The bounds are those of the users: two thirds of the share elsewhere,
        unless no more than 10 + 1 in 50 of all first tries failed there.
        """
        others = set(self.instances) - set(cut_names)
        there, share = self.served_share(cut_names, start, end)
        elsewhere, others_share = self.served_share(others, start, end)
        failed = round(there * (1 - share))
        allowed = 10 + (there + elsewhere) / 50
        if share < others_share * 2 / 3 and failed > allowed:
            yield (
                f"{share:.2f} of {there} first tries served by instances "
                f"without targets, {others_share:.2f} of {elsewhere} by others"
            )
