"""Merging of cache events before they are sent to peers."""

from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node.links import part_batches
from chivelb_node.wire import messages
import hypothesis
from hypothesis import strategies as st

SOURCES = ["s1", "s2"]
EVENTS = st.lists(
    st.builds(
        parts_lib.PartUpdate,
        key=st.sampled_from("abcd"),
        tokens=st.integers(min_value=0, max_value=3),
    ),
    max_size=4,
)


@st.composite
def sequences(draw):
    """Returns updates of two sources with gaps, restarts and listings."""
    position = dict.fromkeys(SOURCES, (1, 0))
    updates = []
    for _ in range(draw(st.integers(min_value=0, max_value=12))):
        source = draw(st.sampled_from(SOURCES))
        kind = draw(st.sampled_from(["next", "next", "gap", "new", "listing"]))
        epoch, since = position[source]
        if kind == "new":
            epoch, since = epoch + 1, 0
        events = draw(EVENTS)
        until = since + len(events) + (3 if kind == "gap" else 0)
        start = since + (3 if kind == "gap" else 0)
        listing = kind == "listing"
        updates.append(
            messages.PartUpdates(
                source, epoch, 0 if listing else start, until, events, listing
            )
        )
        position[source] = (epoch, until)
    return updates


def apply(updates):
    directory = parts_lib.PartDirectory()
    complete = dict.fromkeys(SOURCES, True)
    for update in updates:
        values = {"epoch": update.epoch, "until": update.until, "now": 0.0}
        if update.listing:
            directory.apply_listing(update.source, held=update.events, **values)
            complete[update.source] = True
            continue
        contiguous = directory.apply_events(
            update.source, since=update.since, events=update.events, **values
        )
        complete[update.source] = complete[update.source] and contiguous
    directory.check_invariants()
    return (
        {name: source.parts for name, source in directory.sources.items()},
        {name: source.next for name, source in directory.sources.items()},
        complete,
    )


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(sequences())
def test_merged_updates_have_the_same_effect(updates):
    merged = list(part_batches.merge_updates(updates))
    assert len(merged) <= len(updates)
    assert apply(merged) == apply(updates)


def test_repeated_events_of_a_part_become_one():
    updates = [
        messages.PartUpdates(
            "s1", 1, n, n + 1, [parts_lib.PartUpdate("a", n)], False
        )
        for n in range(5)
    ]
    (merged,) = part_batches.merge_updates(updates)
    assert (merged.since, merged.until) == (0, 5)
    assert merged.events == [parts_lib.PartUpdate("a", 4)]
