"""Instances that replicate targets in memory, with a clock of their own."""

import asyncio
import random

import builders
from chivelb_core import document
from chivelb_node import context as context_lib
from chivelb_node.links import target_replication
import replicas

HEARTBEAT_S = 1.2
ADDRESS = "127.0.0.1:9000"


def make_served_document(*services):
    """Returns a document with a plain service for each name, and one model."""
    plain = {name: document.Service(kind="plain") for name in services}
    engine = builders.make_engine(models=["m"])
    return document.Document(
        services={
            **plain,
            "lm": document.Service(kind="model", engine=engine),
        }
    )


def name_services(context, *services):
    """Puts the next document in force, with these services and ``lm``."""
    context.apply_document_state(
        document.DocumentState(
            document=make_served_document(*services),
            version=context.version + 1,
        )
    )


def make_target(identity="sound", **options):
    """Returns a record as a heartbeat of a plain service makes it."""
    values = {
        "service": "web",
        "model": "",
        "weight_version": "",
        "software_version": "v1",
        "address": ADDRESS,
        "lease_s": 0.0,
        "incarnation": 100,
    }
    return builders.make_record(identity, **{**values, **options})


class TargetGroup:
    """Two control instances and one entry, or more.

    Attributes:
        network: Their network.
        now: Monotonic time in seconds.
        instances: Replication of each instance, by name.
    """

    def __init__(self, monkeypatch, *, controls=2, entries=1):
        """Creates instances that know a document with the service ``web``."""
        self.network = replicas.MemoryNetwork()
        self.now = 1_000.0
        self.members = replicas.make_members(controls, entries)
        self.instances = {}
        for member in self.members:
            self.start(member.name)
        monkeypatch.setattr(context_lib, "monotonic", lambda: self.now)

    def start(self, name):
        """Starts an instance, or starts it again with nothing known."""
        context = builders.make_context()
        context.settings.instance.name = name
        context.check_targets_by_document()
        name_services(context, "web")
        self.instances[name] = target_replication.TargetReplication(
            context,
            replicas.MemoryHub(name, self.network),
            replicas.StaticGossip(self.members, name, random.Random(1)),
        )

    def table(self, name):
        return self.instances[name].context.targets

    def served(self, name, service="web"):
        """Returns the targets that an instance may send requests to."""
        listed = self.table(name).eligible(service, self.now)
        return sorted(record.identity for record in listed)

    def announce(self, name, record):
        """Gives an instance a heartbeat, and delivers all that follows."""

        async def run():
            await self.instances[name].apply_announcement(record)
            await settle()

        asyncio.run(run())

    def repair(self, name, peer):
        asyncio.run(self.instances[name]._repair_from(peer))

    def repair_all(self):
        """Lets each instance repair its targets from all others."""
        for name in self.instances:
            for peer in self.instances:
                if peer != name:
                    self.repair(name, peer)

    def beat(self, name, record, duration_s):
        """Sends heartbeats of a target for some time.

        Returns:
            The next record.
        """
        ends_at = self.now + duration_s
        while self.now < ends_at:
            self.announce(name, record)
            record = next_beat(record)
            self.now += HEARTBEAT_S
        return record

    def digests(self):
        return {each._digest() for each in self.instances.values()}


def next_beat(record, **options):
    return make_target(
        record.identity,
        **{
            name: getattr(record, name)
            for name in (
                "incarnation",
                "address",
                "service",
                "model",
                "weight_version",
                "software_version",
                "state",
            )
        }
        | {"sequence": record.sequence + 1}
        | options,
    )


async def settle():
    """Lets the messages that were sent arrive."""
    for _ in range(20):
        await asyncio.sleep(0)
