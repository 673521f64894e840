"""Directory of prompt parts, and planning of their transfers.

A part is a section of a prompt that the client declares; the blocks of
``test_kv_cache`` have a fixed size and hashed keys. The salt is the sharing
scope of a call; parts with different scopes have different keys.
"""

import random

import builders
from chivelb_core import forwarding
from chivelb_core.forwarding import choice
from chivelb_core.forwarding import fetch_plan
from chivelb_core.kv_cache import parts as parts_lib
from hypothesis import given
from hypothesis import strategies
import pytest
import sharing_fleet

SALT = "1:shared"


def key(number):
    return parts_lib.part_key(SALT, f"p{number}")


def make_directory(**held):
    """Returns a directory; each source maps part numbers to held tokens."""
    directory = parts_lib.PartDirectory()
    for address, parts in held.items():
        events = [parts_lib.PartUpdate(key(n), t) for n, t in parts.items()]
        apply_events(directory, address, events)
    return directory


def apply_events(directory, address, events, epoch=1, since=0, now=0.0):
    is_contiguous = directory.apply_events(
        address,
        epoch=epoch,
        since=since,
        until=since + len(events),
        events=events,
        now=now,
    )
    directory.check_invariants()
    return is_contiguous


def event(number, tokens):
    return parts_lib.PartUpdate(key(number), tokens)


def test_only_leading_parts_count():
    prompt = builders.make_prompt(100, 200, 300)
    directory = make_directory(a={0: 100, 2: 300}, b={0: 100, 1: 150})
    assert directory.held_prefix("a", SALT, prompt, 0.0) == (1, 100)
    assert directory.held_prefix("b", SALT, prompt, 0.0) == (1, 250)
    assert directory.held_prefix("c", SALT, prompt, 0.0) == (0, 0)
    assert directory.held_prefix("a", "2:shared", prompt, 0.0) == (0, 0)


def test_dropped_part_is_no_longer_listed():
    directory = make_directory(a={0: 100})
    apply_events(directory, "a", [event(0, 0)], since=1)
    assert directory.complete_sources(key(0), 100) == []


def test_new_epoch_of_a_source_discards_its_parts():
    directory = make_directory(a={0: 100, 1: 200})
    assert apply_events(directory, "a", [event(5, 10)], epoch=2)
    assert directory.complete_sources(key(0), 100) == []
    assert directory.complete_sources(key(5), 10) == ["a"]


def test_gap_in_events_is_reported_and_repaired_by_a_listing():
    directory = make_directory(a={0: 100})
    assert not apply_events(directory, "a", [event(2, 10)], since=5)
    directory.apply_listing("a", epoch=1, until=6, held=[event(2, 10)], now=0.0)
    directory.check_invariants()
    assert directory.complete_sources(key(0), 100) == []
    assert directory.complete_sources(key(2), 10) == ["a"]


def test_an_old_listing_does_not_undo_newer_events():
    directory = make_directory(a={0: 100, 1: 200})
    directory.apply_listing("a", epoch=1, until=1, held=[], now=0.0)
    assert directory.complete_sources(key(1), 200) == ["a"]


def test_expected_part_counts_as_held_until_it_expires():
    prompt = builders.make_prompt(100, 200)
    directory = make_directory(a={})
    directory.add_expected("a", key(0), expires_at=2.0)
    assert directory.held_prefix("a", SALT, prompt, 1.0) == (1, 100)
    assert directory.held_prefix("a", SALT, prompt, 2.5) == (0, 0)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("ab"),
            strategies.integers(1, 3),
            strategies.integers(0, 4),
            strategies.integers(0, 3),
        ),
        max_size=40,
    )
)
def test_directory_stays_consistent_under_any_events(steps):
    directory = parts_lib.PartDirectory()
    for address, epoch, number, tokens in steps:
        since = directory.source(address).next
        apply_events(
            directory,
            address,
            [event(number, tokens)],
            epoch=epoch,
            since=since,
        )
    directory.forget("a")
    directory.check_invariants()


def link(address, zone="z1", rate=1e9, setup_s=0.0, is_store=False):
    return fetch_plan.Link(address, zone, rate, setup_s, is_store)


def plan(prompt, directory, links, address="r1"):
    return fetch_plan.plan_fetches(
        prompt,
        SALT,
        address=address,
        zone="z1",
        engine=builders.make_engine(),
        directory=directory,
        links={link.address: link for link in links},
        now=0.0,
    )


def test_missing_parts_are_fetched_from_the_nearest_source():
    prompt = builders.make_prompt(100, 200, 50)
    directory = make_directory(r1={0: 100}, near={1: 200}, far={1: 200})
    links = [link("far", zone="z2"), link("near", setup_s=0.01)]
    planned = plan(prompt, directory, links)
    assert planned.fetches == ["", "near", ""]
    assert (
        planned.held_tokens,
        planned.fetch_tokens,
        planned.tokens_to_prefill,
    ) == (
        100,
        200,
        50,
    )
    # 200 tokens of 1,000 bytes at 1 GB/s, after 10 ms.
    assert planned.fetch_s == pytest.approx(0.0102)
    assert planned.cross_zone_tokens == 0


def test_part_after_a_missing_part_is_not_fetched():
    prompt = builders.make_prompt(100, 200, 50)
    directory = make_directory(near={1: 200})
    planned = plan(prompt, directory, [link("near")])
    assert planned.fetches == ["", "", ""]
    assert planned.tokens_to_prefill == 350


def test_source_without_a_link_is_not_used():
    prompt = builders.make_prompt(100, 200)
    directory = make_directory(near={0: 100})
    assert plan(prompt, directory, []).fetch_tokens == 0


def test_cross_zone_transfer_takes_twice_as_long():
    prompt = builders.make_prompt(1_000, 10)
    directory = make_directory(far={0: 1_000})
    planned = plan(prompt, directory, [link("far", zone="z2")])
    assert planned.fetch_s == pytest.approx(0.002)
    assert planned.cross_zone_tokens == 1_000


def test_shared_part_is_saved_once_in_a_store_with_capacity():
    prompt = builders.make_prompt(100, 200, 300)
    directory = make_directory(s1={0: 100})
    stores = [
        link("s1", zone="z2", is_store=True),
        link("s2", zone="z1", is_store=True),
    ]
    free_tokens = {"s1": 1_000, "s2": 150}

    def saves():
        return fetch_plan.plan_storage(
            prompt,
            SALT,
            directory=directory,
            stores=stores,
            free_tokens=free_tokens.__getitem__,
            zone="z1",
        )

    assert saves() == ["", "s1", ""]
    free_tokens["s2"] = 200
    assert saves() == ["", "s2", ""]
    free_tokens.update(s1=0, s2=0)
    assert saves() == ["", "", ""]


def choose_stores(free_tokens, part_count):
    """Returns the store of each of many parts of 100 tokens."""
    stores = [link(name, is_store=True) for name in free_tokens]
    chosen = []
    for number in range(part_count):
        parts = (
            forwarding.Part(f"shared{number}", 100),
            forwarding.Part("own", 10),
        )
        chosen += fetch_plan.plan_storage(
            forwarding.Prompt("m", parts, 110, 100),
            SALT,
            directory=make_directory(),
            stores=stores,
            free_tokens=free_tokens.__getitem__,
            zone="z1",
        )[:1]
    return chosen


def test_parts_are_spread_over_stores_by_their_free_capacity():
    # Load pattern: many large shared parts that are all new at the same time.
    chosen = choose_stores({"s1": 10_000, "s2": 10_000, "s3": 40_000}, 600)
    counts = [chosen.count(name) for name in ("s1", "s2", "s3")]
    assert 60 < counts[0] < 140
    assert 60 < counts[1] < 140
    assert 340 < counts[2] < 460


def test_instances_that_store_a_part_at_the_same_time_choose_the_same_store():
    free_tokens = {f"s{number}": 50_000 for number in range(20)}
    # Their knowledge of the free capacity differs a little.
    other = {name: free - 100 * len(name) for name, free in free_tokens.items()}
    first = choose_stores(free_tokens, 200)
    second = choose_stores(other, 200)
    differing = sum(a != b for a, b in zip(first, second, strict=True))
    assert differing <= 4


def test_weight_versions_and_isolated_workspaces_have_separate_scopes():
    (state,) = sharing_fleet.make_states([{"w": False, "x": True, "y": True}])
    shared = builders.make_call()
    scopes = {
        forwarding.sharing_scope("1", shared, state),
        forwarding.sharing_scope("2", shared, state),
        forwarding.sharing_scope("1", builders.make_call(workspace="x"), state),
        forwarding.sharing_scope("1", builders.make_call(workspace="y"), state),
    }
    assert len(scopes) == 4


def test_store_is_the_fallback_for_held_parts():
    prompt = builders.make_prompt(100, 200, 50)
    directory = make_directory(r1={0: 100}, s={0: 100, 1: 200}, r2={0: 100})
    links = [link("s", is_store=True), link("r2")]
    planned = plan(prompt, directory, links)
    assert planned.fetches == ["s", "s", ""]
    assert planned.fetch_tokens == 200
    # Another runner may evict the part as well, so it is no fallback.
    assert plan(prompt, directory, [link("r2")]).fetches == ["", "", ""]


def test_number_of_evaluated_holders_is_bounded():
    # When hundreds of runners hold a part, the cost of a decision must not
    # grow with the size of the fleet.
    records = [
        builders.make_record(f"r{n}", address=f"127.0.0.1:{n}")
        for n in range(300)
    ]
    holders = {record.address for record in records[:200]}
    chosen = choice.sample_runners(
        records,
        preferred={record.identity for record in records},
        holders=holders,
        candidate_with_capacity=choice.TargetCandidate,
        rng=random.Random(1),
    )
    holding = [
        candidate for candidate in chosen if candidate.record.address in holders
    ]
    assert len(chosen) <= choice.SAMPLE_SIZE + choice.HOLDER_SAMPLE_SIZE
    assert len(holding) >= choice.HOLDER_SAMPLE_SIZE
    assert len({candidate.record.identity for candidate in chosen}) == len(
        chosen
    )
