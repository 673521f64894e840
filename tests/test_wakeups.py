"""Wake-ups of an instance that has nothing to do.

Load pattern: hundreds of instances, most of them idle at any moment. What
costs processor time then is that they wake up.
"""

import asyncio

import builders
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import load_owners
from chivelb_node.links import load_sharing
from chivelb_node.links import part_events
from chivelb_node.links import suspect_sharing
from chivelb_node.wire import authentication
import simulated_runners

SECONDS = 20.0


# Guards against timers that take several turns of the event loop each, as
# waits with a time-out do that are tasks of their own.
def test_a_period_of_an_idle_instance_is_one_wakeup(monkeypatch):
    selector = simulated_runners.JumpingSelector()

    async def run():
        context = builders.make_context()
        hub = hub_lib.Hub(context, authentication.KeyRing(None))
        gossip = gossip_lib.Gossip(context, hub)
        gossip._transport = object()
        owners = load_owners.LoadOwners(context, hub, gossip)
        services = [
            hub,
            gossip,
            owners,
            load_sharing.LoadReporting(context, hub, gossip, owners=owners),
            part_events.CacheEventFollower(context, hub, gossip, None),
            suspect_sharing.SuspectSharing(context, hub, gossip),
        ]
        for service in services:
            await service.start()
        await asyncio.sleep(1.0)
        before = selector.wakeups
        await asyncio.sleep(SECONDS)
        wakeups = selector.wakeups - before
        gossip._transport = None
        for service in services:
            await service.stop()
        return wakeups

    wakeups = simulated_runners.run_in_virtual_time(
        run, monkeypatch, selector=selector
    )
    periods_s = (
        gossip_lib.TICK_S,
        hub_lib.CHECK_PERIOD_S,
        load_owners.CHECK_PERIOD_S,
        # Reports to the own zone and to the others.
        load_sharing.RESEND_PERIOD_S,
        load_sharing.RESEND_PERIOD_S,
        part_events.ASSIGN_PERIOD_S,
    )
    # A wait for an event takes three turns more when it times out.
    allowed = sum(SECONDS / period_s for period_s in periods_s)
    allowed += 2 * 3 * SECONDS / load_sharing.RESEND_PERIOD_S
    assert wakeups <= 1.2 * allowed
