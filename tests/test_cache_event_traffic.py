"""What instances of a zone tell each other of cached parts.

Load pattern: 20 entry instances in a zone, which serve 590 prompts a second in
a region with 56 runners and 20 stores; their links carry 5 Mbit/s, and the
requests need 45 KB/s of that.
"""

import asyncio
import math
import random

import builders
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node.links import part_events
from chivelb_node.wire import codec

ENTRIES = [f"front-{number}" for number in range(20)]
SOURCES = [f"10.1.64.{number}:8588" for number in range(76)]
# Events of all sources in a second, as seen on such a site.
EVENTS_PER_S = 4_400
REQUEST_BYTES_PER_S = 45_000


class CountingHub:
    """Counts the encoded bytes sent to peers."""

    def __init__(self):
        self.sent_bytes = 0

    def register_handler(self, message_type, handler):
        pass

    def broadcast(self, peers, message):
        size = len(codec.encode(codec.Envelope(message)))
        self.sent_bytes += size * len(peers)


class ZoneGossip:
    """A zone in which all entry instances are alive."""

    def zone_members(self, zone):
        return ENTRIES

    def is_control_instance(self, name):
        return False


def make_follower(name, hub):
    context = builders.make_context()
    context.settings.instance.name = name
    return part_events.CacheEventFollower(context, hub, ZoneGossip(), None)


def make_events(rng, count):
    return [
        parts_lib.PartUpdate(
            f"1:shared/{rng.getrandbits(32):08x}",
            rng.choice([0, 0, 351, 2870, 16 * rng.randint(1, 128)]),
        )
        for _ in range(count)
    ]


# Guards against cache events that fill the links of entry instances, so that
# documents and requests wait behind them.
def test_cache_events_take_no_more_of_a_link_than_requests():
    rng = random.Random(1)
    hub = CountingHub()
    follower = make_follower(ENTRIES[0], hub)
    source_count = math.ceil(len(SOURCES) / len(ENTRIES))
    events_per_s = EVENTS_PER_S / len(ENTRIES)
    seconds = 20
    # The pace of the reports: three a second to each of 19 peers.
    rounds = seconds * 3
    events_per_page = int(events_per_s / 3 / source_count)
    for number in range(rounds):
        now = number / 3
        for address in SOURCES[:source_count]:
            since = number * events_per_page
            page = part_events.EventPage(
                1,
                since + events_per_page,
                False,
                make_events(rng, events_per_page),
            )
            follower._apply_page(address, page, since, now)
        follower._flush_updates()
    assert hub.sent_bytes / seconds <= REQUEST_BYTES_PER_S


# Guards against an instance that follows three times as many sources as others
# and sends the events of all of them over its own link.
def test_sources_are_spread_evenly_over_the_instances_of_a_zone():
    async def run():
        counts = []
        for name in ENTRIES:
            follower = make_follower(name, CountingHub())
            follower._follow = lambda address: asyncio.Event().wait()
            follower._assign(SOURCES)
            counts.append(set(follower.following))
            await follower.on_stop()
        return counts

    followed = asyncio.run(run())
    assert set().union(*followed) == set(SOURCES)
    assert sum(map(len, followed)) == len(SOURCES)
    assert max(map(len, followed)) <= math.ceil(len(SOURCES) / len(ENTRIES))
