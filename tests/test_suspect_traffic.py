"""What instances tell each other of crashes, in bytes, in a large region."""

import asyncio
import random

import builders
from chivelb_core.calls import part_suspects
from chivelb_node.links import suspect_sharing
from chivelb_node.wire import messages
import replicas
import simulated_runners

REGION_SIZE = 127
CONTROL_BYTES_PER_S = 4_000
# Instances with requests that a target had not begun when it crashed, the
# requests of each, and the shared parts of a prompt.
WITNESSES = 12
REQUESTS_EACH = 3
PARTS_EACH = 2
CRASH_PERIOD_S = 10.0
DAY_S = 30.0
POPULAR = part_suspects.part_keys("w", ["popular"])


class Region:
    """Instances whose links are in memory; ``received`` counts their bytes."""

    def __init__(self, count=REGION_SIZE):
        self.network = replicas.MemoryNetwork()
        members = replicas.make_members(0, count)
        self.sharings = [self._make(member, members) for member in members]
        self.tasks = [asyncio.create_task(s.start()) for s in self.sharings]

    def _make(self, member, members):
        context = builders.make_context()
        context.rng = random.Random(member.name)
        hub = replicas.MemoryHub(member.name, self.network)
        gossip = replicas.StaticGossip(members, member.name, context.rng)
        return suspect_sharing.SuspectSharing(context, hub, gossip)

    def crash(self, number):
        """Lets some instances observe a crash, and then all a sound part."""
        for witness, sharing in enumerate(self.sharings[:WITNESSES]):
            for request in range(REQUESTS_EACH):
                own = part_suspects.part_keys(
                    "w", [f"{number}/{witness}/{request}"]
                )
                crash = part_suspects.PartCrash(
                    f"t{number}/1", [*POPULAR, *own]
                )
                table = sharing.context.part_suspects
                table.add_crash(crash, asyncio.get_running_loop().time())
                sharing.broadcast_evidence(messages.PartEvidence([crash]))
        loop = asyncio.get_running_loop()
        for sharing in self.sharings:
            delay_s = 0.1 + sharing.context.rng.uniform(0.0, 0.2)
            loop.call_later(delay_s, self._observe_sound, sharing)

    def _observe_sound(self, sharing):
        now = asyncio.get_running_loop().time()
        sound = sharing.context.part_suspects.add_sound(POPULAR, now)
        if sound:
            sharing.broadcast_evidence(messages.PartEvidence(sound=sound))

    async def stop(self):
        for sharing in self.sharings:
            await sharing.stop()

    def bytes_per_s(self, duration_s):
        """Returns the bytes that an instance received a second, at most."""
        totals = [sum(c.values()) for c in self.network.received.values()]
        return max(totals) / duration_s


def run_region(monkeypatch, crash_period_s):
    async def run():
        region = Region()
        loop = asyncio.get_running_loop()
        if crash_period_s:
            count = int(DAY_S / crash_period_s)
            for number in range(count):
                loop.call_later(
                    1.0 + number * crash_period_s, region.crash, number
                )
        await asyncio.sleep(DAY_S)
        await region.stop()
        return region.bytes_per_s(DAY_S)

    return simulated_runners.run_in_virtual_time(run, monkeypatch)


# Guards against evidence of crashes that takes more of a node's links than is
# set aside for control: a crash breaks the requests of many instances, and a
# sound part is seen by all.
def test_evidence_of_crashes_fits_what_is_set_aside_for_control(monkeypatch):
    assert run_region(monkeypatch, CRASH_PERIOD_S) <= CONTROL_BYTES_PER_S


def test_the_comparison_of_suspects_fits_as_well(monkeypatch):
    assert run_region(monkeypatch, None) <= CONTROL_BYTES_PER_S


# Guards against instances that wake up often to compare nothing: most of what
# they spend on peers is spent on waking up.
def test_instances_without_suspects_seldom_compare_them(monkeypatch):
    async def run():
        region = Region(count=9)
        await asyncio.sleep(DAY_S)
        await region.stop()
        return len(region.network.requests) / len(region.sharings) / DAY_S

    assert simulated_runners.run_in_virtual_time(run, monkeypatch) <= 0.6
