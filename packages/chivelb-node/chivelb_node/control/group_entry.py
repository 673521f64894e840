"""First membership of an instance that has no voter state on its disk.

The instance founds a new group together with the other configured voters, or
joins the existing group.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import secrets

from chivelb_core.consensus import group as group_lib
from chivelb_core.consensus import snapshots
import mode

from chivelb_node import hedging
from chivelb_node import settings as settings_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

HELLO_PERIOD_S = 0.3
HELLO_TIMEOUT_S = 0.5
JOIN_PERIOD_S = 0.5
JOIN_HEDGE_DELAY_S = 0.1
_log = logs.get_logger("voter")


@dataclasses.dataclass(slots=True)
class Membership:
    """Member id of an instance, and the group that it starts with.

    Attributes:
        member_id: Id in the Raft group.
        group: The new group, or an empty one if the instance joins: then the
            group is learned from the replicated log alone.
    """

    member_id: str
    group: group_lib.Group


async def find_membership(
    service: mode.Service,
    hub: hub_lib.Hub,
    settings: settings_lib.Settings,
    control_instances: Callable[[], list[str]],
) -> Membership | None:
    """Decides whether to found a group or to join one, and joins it.

    Args:
        service: The service that waits for the decision.
        hub: Links to peers.
        settings: Settings of the instance.
        control_instances: Returns the names of the known control instances.

    Returns:
        The membership, or None if the service stops first.
    """
    name = settings.instance.name
    names = settings.control.voters or [name]
    if settings.control.start == "join":
        return await join_group(service, hub, name, control_instances)
    founded = Membership(
        group_lib.original_member_id(name), group_lib.initial_group(names)
    )
    if names == [name] or settings.control.start == "found":
        return founded
    others = [other for other in names if other != name]
    while not service.should_stop:
        voter_states = await _query_voters(hub, name, others)
        joined = [s for s in voter_states if s.member_id]
        if any(_is_rejoining(name, s) for s in joined):
            # This instance voted before and lost its disk, or the group
            # was restored from a snapshot without it.
            return await join_group(service, hub, name, control_instances)
        if len(voter_states) == len(names) - 1:
            return founded
        await service.sleep(HELLO_PERIOD_S)
    return None


def _is_rejoining(name: str, state: messages.VoterState) -> bool:
    """Returns whether a peer reports that this is not a first start."""
    group = snapshots.decode_group(state.group)
    original_id = group_lib.original_member_id(name)
    return name in state.witnessed or original_id not in group.members


async def _query_voters(
    hub: hub_lib.Hub, name: str, others: list[str]
) -> list[messages.VoterState]:
    hello = messages.VoterHello(name, "")
    replies = await asyncio.gather(
        *(hub.request(other, hello, HELLO_TIMEOUT_S) for other in others)
    )
    return [r for r in replies if isinstance(r, messages.VoterState)]


async def join_group(
    service: mode.Service,
    hub: hub_lib.Hub,
    name: str,
    control_instances: Callable[[], list[str]],
) -> Membership | None:
    """Joins an existing group under a new member id.

    Args:
        service: The service that waits for the admission.
        hub: Links to peers.
        name: Name of this instance.
        control_instances: Returns the names of the known control instances;
            one of them may be the leader.
    """
    member_id = f"{name}/{secrets.token_hex(4)}"
    _log.warning(
        "no usable state on disk; joining as a new member", member=member_id
    )
    while not service.should_stop:
        request = messages.JoinRequest(name, member_id)
        if await request_admission(hub, request, control_instances()):
            return Membership(member_id, group_lib.Group())
        await service.sleep(JOIN_PERIOD_S)
    return None


async def request_admission(
    hub: hub_lib.Hub, request: messages.JoinRequest, names: list[str]
) -> bool:
    """Asks instances in turn to admit a member, until the leader has done so.

    Args:
        hub: Links to peers.
        request: Names the member.
        names: Names of the instances, one of which may be the leader.
    """
    reply = await hedging.first_accepted(
        (
            functools.partial(hub.request, name, request, HELLO_TIMEOUT_S)
            for name in names
        ),
        delay_s=JOIN_HEDGE_DELAY_S,
        accept=lambda reply: (
            isinstance(reply, messages.JoinReply) and reply.accepted
        ),
    )
    return reply is not None
