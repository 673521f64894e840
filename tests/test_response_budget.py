"""What responses and cache directories may buffer, all together."""

import asyncio

from chivelb_core import response_budget
from chivelb_core.kv_cache import parts
from chivelb_node.links import part_events
import endless_targets
import hypothesis
from hypothesis import strategies as st
import scripted

LIMIT_BYTES = 100_000
MOST, LEAST = 60_000, 1_000


def make_buffers(count):
    budget = response_budget.ResponseBudget(LIMIT_BYTES)
    budget.in_progress = count
    return [response_budget.BufferedBytes(budget) for _ in range(count)]


# Guards against a sum of many responses, each within its own limit, that is
# more than a process has.
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    st.integers(1, 60),
    st.lists(
        st.tuples(st.integers(0, 59), st.integers(0, 2_000)), max_size=600
    ),
)
def test_all_together_stay_near_the_limit(count, growths):
    buffers = make_buffers(count)
    for position, size in growths:
        buffered = buffers[position % count]
        buffered.set(buffered.size + size)
        if buffered.exceeds(MOST, LEAST):
            buffered.set(0)
    used = sum(buffered.size for buffered in buffers)
    assert used == buffers[0].budget.used_bytes
    assert used <= 1.5 * LIMIT_BYTES + MOST + count * LEAST


# Guards against a large response that is refused although nothing else needs
# the memory, and against a small one that is refused because of large ones.
def test_a_single_large_response_and_any_small_one_have_room():
    large, small, other = make_buffers(3)
    large.set(MOST)
    assert not large.exceeds(MOST, LEAST)
    small.set(LEAST)
    assert not small.exceeds(MOST, LEAST)
    large.set(LIMIT_BYTES)
    assert large.exceeds(MOST, LEAST)
    other.set(MOST)
    assert other.exceeds(MOST, LEAST)


# Guards against bytes that stay counted after their connection is closed.
def test_nothing_is_counted_once_a_response_has_ended():
    answer = scripted.answer(b"a" * 50_000, X_Request_Id="mine")
    target = scripted.ScriptedTarget(
        [answer], [scripted.answer(b"", X_Request_Id="other"), b"HTTP"]
    )

    async def scenario(pool):
        for is_whole in (True, False):
            exchange = await pool.send(
                target.address, b"GET / HTTP/1.1\r\nHost: t\r\n\r\n"
            )
            assert pool.budget.in_progress == 1
            if is_whole:
                await exchange.start(lambda head: True)
                while await exchange.read():
                    pass
            else:
                await asyncio.sleep(0.05)
                assert pool.budget.used_bytes > 0
            exchange.close()
            await asyncio.sleep(0.05)
            assert pool.budget.in_progress == 0
            assert pool.budget.used_bytes == 0

    endless_targets.run_with_pool(target, scenario)


def make_updates(count, start=0, key_length=20):
    return [
        parts.PartUpdate(f"{number:0{key_length}}", 100)
        for number in range(start, start + count)
    ]


# Guards against a source that reports so many parts that the directory takes
# all memory, or that those of other sources are forgotten in their place.
def test_the_parts_of_all_sources_are_bounded_and_the_largest_gives_way():
    directory = parts.PartDirectory(max_bytes=300_000)
    directory.apply_listing(
        "sound:1", epoch=1, until=9, held=make_updates(100), now=1.0
    )
    for since in range(0, 20_000, 1_000):
        directory.apply_events(
            "faulty:1",
            epoch=1,
            since=since,
            until=since + 1_000,
            events=make_updates(1_000, start=since),
            now=1.0,
        )
        directory.check_invariants()
        assert directory.size_bytes <= 300_000
    assert len(directory.source("sound:1").parts) == 100
    newest = make_updates(1, start=19_999)[0]
    assert newest.key in directory.source("faulty:1").parts


# Guards against parts that are few but have names without end.
def test_a_page_with_a_key_that_is_too_long_is_malformed():
    for length, is_valid in ((512, True), (513, False)):
        page = part_events.EventPage(
            1, 2, False, make_updates(1, key_length=length)
        )
        assert part_events.is_valid_page(page) == is_valid
