"""Asks voters a question that a majority of them has to agree on."""

import asyncio
from collections.abc import Iterable
from typing import Any

from chivelb_core.document import sharing_leases

from chivelb_node.links import hub as hub_lib
from chivelb_node.wire import messages


async def has_majority(
    hub: hub_lib.Hub, names: Iterable[str], request: Any, timeout_s: float
) -> bool:
    """Returns whether a majority of a group's voters agrees.

    All are asked at once; the result is known with the last reply that is
    needed, whatever the others do.

    Args:
        hub: Links to peers.
        names: Names of the instances to ask; those without a voter don't
            count.
        request: The question, which voters answer with a ``VoterAgreement``.
        timeout_s: Time for a reply, in seconds.
    """
    tasks = [
        asyncio.create_task(hub.request(name, request, timeout_s))
        for name in names
    ]
    agreed = []
    try:
        for reply in asyncio.as_completed(tasks):
            match await reply:
                case messages.VoterAgreement(True, member_id, voters):
                    agreed.append((member_id, frozenset(voters)))
            if sharing_leases.is_majority(agreed):
                return True
        return False
    finally:
        for task in tasks:
            task.cancel()
