"""Application of committed log entries to the document state."""

from typing import Any

from chivelb_core import consensus
from chivelb_core import document

from chivelb_node.control import commands


def apply_entry(
    document_state: document.DocumentState, entry: consensus.Entry
) -> Any:
    """Applies an entry, which changes the document state in place.

    Returns:
        The result for the proposer; None for the entries that the group itself
        needs, which leave the document state as it is.
    """
    match entry.kind:
        case "change":
            return document_state.apply_change(
                commands.decode_change(entry.data)
            )
        case "lease":
            lease = commands.decode_lease(entry.data)
            return document_state.grant_lease(
                lease.lease, lease.holder, lease.expected
            )
        case "replace":
            return document_state.replace(
                commands.decode_replacement(entry.data)
            )
        case "weights":
            weights = commands.decode_weights(entry.data)
            return document_state.set_weight_version(
                weights.model, weights.version
            )
        case commands.EVACUATION_KIND:
            order = commands.decode_evacuation(entry.data)
            return document_state.order_evacuation(
                order.zone,
                evacuate=order.evacuate,
                known_version=order.known_version,
            )
    return None
