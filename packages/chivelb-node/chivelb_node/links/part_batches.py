"""Batches of cache events of several sources."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from chivelb_node.wire import messages


def merge_updates(
    updates: Iterable[messages.PartUpdates],
) -> Iterator[messages.PartUpdates]:
    """Merges the consecutive updates of each source into one.

    Of several events of a part only the newest is kept: a runner reports a
    part again and again while it computes or evicts it.

    Args:
        updates: Updates of any sources, those of a source in order.

    Yields:
        Updates with the same effect. Those of a source are in order; an update
        that does not follow the previous one directly is not merged.
    """
    merged: dict[str, messages.PartUpdates] = {}
    for update in updates:
        previous = merged.pop(update.source, None)
        if previous is not None and _follows(previous, update):
            update = _join(previous, update)
        elif previous is not None:
            yield previous
        merged[update.source] = update
    yield from merged.values()


def _follows(
    previous: messages.PartUpdates, update: messages.PartUpdates
) -> bool:
    return (
        update.epoch == previous.epoch
        and update.since == previous.until
        and not update.listing
    )


def _join(
    previous: messages.PartUpdates, update: messages.PartUpdates
) -> messages.PartUpdates:
    newest = {event.key: event for event in previous.events}
    newest.update((event.key, event) for event in update.events)
    return msgspec.structs.replace(
        previous, until=update.until, events=list(newest.values())
    )
