"""Origins of streams at several instances, linked in memory."""

import asyncio

import builders
from chivelb_core.forwarding import stream_origins as origins_lib
from chivelb_node import context as context_lib
from chivelb_node.links import stream_origins
from chivelb_node.wire import messages
import replicas

V1 = origins_lib.StreamOrigin("lm", "v1")
V2 = origins_lib.StreamOrigin("lm", "v2")
MIXED = ("v1", "v2")


class Group:
    """The origins of several instances, linked in memory.

    All have been running for some time.

    Attributes:
        members: All instances.
        network: Links between the instances.
        instances: Origins by name of the entry instance.
        control: Origins by name of the control instance.
    """

    def __init__(self, entry_count=9, versions=MIXED):
        self.members = replicas.make_members(3, entry_count)
        self.network = replicas.MemoryNetwork()
        self.instances = {}
        self.control = {}
        for member in self.members:
            instances = self.control if member.anchor else self.instances
            instance = self.make_instance(member, self.members, versions)
            instance.watches_from = float("-inf")
            instances[member.name] = instance

    def kill_entries(self, versions=MIXED):
        """Kills all entry instances and starts them again."""
        for member in self.members:
            if not member.anchor:
                self.instances[member.name] = self.make_instance(
                    member, self.members, versions
                )

    def serve(self, *versions):
        """Lets targets of these versions serve, as control instances see it."""
        for instance in self.control.values():
            end_targets(instance)
            for version in versions:
                announce(instance, version)

    def release(self, version, *, unknown_to=()):
        """Lets a target of a version join, unknown to some instances."""
        for name, instance in (self.instances | self.control).items():
            if name not in unknown_to:
                announce(instance, version)

    def cut(self, name, *peers):
        """Cuts an instance from these peers, or from all."""
        for peer in peers or (self.instances | self.control):
            self.network.cut.update({(name, peer), (peer, name)})

    def make_instance(self, member, members, versions):
        context = builders.make_context(
            **{
                f"{member.name}-{version}": {
                    "service": "lm",
                    "software_version": version,
                    "address": f"127.0.0.1:{9000 + number}",
                }
                for number, version in enumerate(versions)
            }
        )
        settings = context.settings.instance
        settings.name = member.name
        settings.region = replicas.REGION
        settings.zone = member.zone
        return stream_origins.StreamOrigins(
            context,
            replicas.MemoryHub(member.name, self.network),
            replicas.StaticGossip(members, member.name, context.rng),
        )

    def names(self):
        return list(self.instances)

    def sent_bytes(self):
        return sum(
            sizes[messages.StreamStarts]
            for sizes in self.network.received.values()
        )

    async def begin(self, name, *request_ids, origin=V1):
        """Begins streams at an instance and lets it share them."""
        for request_id in request_ids:
            self.instances[name].record(make_call(request_id), origin)
        self.instances[name].send_collected()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def find(self, name, resumes, **options):
        call = make_call(
            "r-next", last_event_id="1", resumes=resumes, **options
        )
        return await self.instances[name].find(call)


def make_call(request_id, **options):
    now = context_lib.monotonic()
    route = builders.make_routed_document().routes["quote"]
    return builders.make_call(
        route,
        request_id=request_id,
        arrived_at=now,
        deadline=now + 5.0,
        **options,
    )


def announce(instance, version):
    """Lets a target of a version join, as one instance sees it."""
    record = builders.make_record(
        f"later-{version}",
        service="lm",
        software_version=version,
        address="127.0.0.1:9019",
        lease_s=0.0,
    )
    now = context_lib.monotonic()
    instance.context.targets.announce(record, now)
    instance._observed_at = float("-inf")


def end_targets(instance):
    """Lets all targets leave, as one instance sees it."""
    for entry in instance.context.targets.entries.values():
        entry.is_leaving = True
    instance._observed_at = float("-inf")


def replace_targets(instance, version):
    """Lets the targets of another version take the place of all others.

    Unlike with ``announce``, the instance does not look at them at once.
    """
    observed_at = instance._observed_at
    end_targets(instance)
    announce(instance, version)
    instance._observed_at = observed_at
