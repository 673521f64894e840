"""Replicas of the document that exchange messages in memory."""

import asyncio
import collections
import random

import builders
from chivelb_core import membership
from chivelb_core.membership import messages as membership_messages
from chivelb_node.control import replica as replica_lib
from chivelb_node.wire import codec

REGION = "r1"
ZONES = ("z1", "z2", "z3")


class MemoryHub:
    """Links of one instance; ``network`` holds those of all instances."""

    def __init__(self, name, network):
        self.local_name = name
        self.network = network
        self.handlers = {}
        self.addresses = {}
        network.hubs[name] = self

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, peer, body):
        self.broadcast([peer], body)

    def broadcast(self, peers, body):
        size = len(codec.encode(codec.Envelope(body)))
        for peer in peers:
            self.network.deliver(self.local_name, peer, body, size)

    async def request(self, peer, body, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self.network.request(self.local_name, peer, body)
        except TimeoutError:
            return None


class MemoryNetwork:
    """Delivers messages at once, and counts the bytes that arrive.

    Attributes:
        hubs: Hub of each instance, by name.
        silent: Names of instances that receive messages and never reply.
        lost: Senders and receivers whose messages are lost, other than
            requests.
        cut: Senders and receivers between which nothing arrives.
        received: Bytes received, by instance and type of message.
        requests: Sender, receiver and request of all requests, in order.
        message_count: Number of messages sent, other than requests.
    """

    def __init__(self):
        self.hubs = {}
        self.silent = set()
        self.lost = set()
        self.cut = set()
        self.received = collections.defaultdict(collections.Counter)
        self.requests = []
        self.message_count = 0

    def deliver(self, sender, receiver, body, size):
        link = (sender, receiver)
        self.message_count += 1
        if receiver in self.silent or link in self.lost | self.cut:
            return
        self.received[receiver][type(body)] += size
        handler = self.hubs[receiver].handlers[type(body)]
        asyncio.get_running_loop().call_soon(handler, sender, body)

    async def request(self, sender, receiver, body):
        self.requests.append((sender, receiver, body))
        await asyncio.sleep(0)
        if receiver in self.silent or (sender, receiver) in self.cut:
            await asyncio.Event().wait()
        reply = self.hubs[receiver].handlers[type(body)](sender, body)
        if asyncio.iscoroutine(reply):
            reply = await reply
        size = len(codec.encode(codec.Envelope(reply)))
        self.received[sender][type(reply)] += size
        return reply


class StaticGossip:
    """Membership in which all given members are alive."""

    def __init__(self, members, name, rng):
        local_member = next(m for m in members if m.name == name)
        self.swim = membership.Swim(local_member, rng, 0.0)
        for member in members:
            self.swim.add_seed(member, 0.0)

    def peers_in_region(self):
        return self.swim.live_members(REGION)

    def region_members(self):
        return sorted([*self.peers_in_region(), self.swim.local_member.name])

    def region_member_zones(self):
        local_member = self.swim.local_member
        yield local_member.name, local_member.zone
        for name in self.peers_in_region():
            yield name, self.swim.members[name].member.zone

    def zone_members(self, zone):
        names = self.swim.live_members(REGION, zone)
        if zone == self.swim.local_member.zone:
            names = sorted([*names, self.swim.local_member.name])
        return names

    def is_control_instance(self, name):
        return name.startswith("core-")


def make_members(control_count, entry_count):
    """Returns control and entry instances, spread over the zones."""
    names = [f"core-{i}" for i in range(control_count)]
    names += [f"front-{i}" for i in range(entry_count)]
    return [
        membership_messages.Member(
            name,
            REGION,
            ZONES[index % len(ZONES)],
            f"{name}:1",
            1,
            anchor=name.startswith("core-"),
        )
        for index, name in enumerate(names)
    ]


def make_replicas(members):
    """Returns a replica for each member, by name, and their network."""
    network = MemoryNetwork()
    replicas = {}
    for index, member in enumerate(members):
        context = builders.make_context()
        context.settings.instance.name = member.name
        context.settings.instance.region = REGION
        context.settings.instance.zone = member.zone
        rng = random.Random(index)
        context.rng = rng
        hub = MemoryHub(member.name, network)
        gossip = StaticGossip(members, member.name, rng)
        replica = replica_lib.ReplicaService(context, hub, gossip)
        if member.anchor:
            replica.voter_client.voter_service = object()
        replicas[member.name] = replica
    return replicas, network
