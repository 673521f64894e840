"""Block keys, block directory, store tables and reuse statistics.

A block is a part of fixed size of a prompt's KV cache. The anchor is the key
that selects the directory shard and the store of a prompt. A store leases a
block to readers only after the block was sealed, with its checksum.
"""

import builders
from chivelb_core import kv_cache
from chivelb_core.kv_cache import directory as directory_lib
from chivelb_core.kv_cache import keys as keys_lib
from chivelb_core.kv_cache import messages
from chivelb_core.kv_cache import reuse
from chivelb_core.kv_cache import store_table
from hypothesis import given
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

KEYS = [f"k{number}" for number in range(8)]
SECRETS = ["00" * 16, "11" * 16]


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    strategies.binary(min_size=256, max_size=600),
    strategies.binary(min_size=256, max_size=600),
)
def test_no_key_is_shared_between_workspaces_or_versions(one, other):
    seen = {}
    for secret in SECRETS:
        for version in ("v1", "v2"):
            salt = kv_cache.cache_salt(secret, "lm")
            for key in kv_cache.block_keys(salt, version, one):
                assert seen.setdefault(key, (secret, version)) == (
                    secret,
                    version,
                )
            for key in kv_cache.block_keys(salt, version, other):
                assert seen.setdefault(key, (secret, version)) == (
                    secret,
                    version,
                )


def test_key_depends_on_all_preceding_blocks():
    salt = kv_cache.cache_salt(SECRETS[0], "lm")
    block = keys_lib.BLOCK_BYTES
    one = kv_cache.block_keys(salt, "v1", b"a" * block + b"c" * block)
    other = kv_cache.block_keys(salt, "v1", b"b" * block + b"c" * block)
    assert not set(one) & set(other)


def test_appending_to_a_prompt_keeps_its_keys_and_anchor():
    salt = kv_cache.cache_salt(SECRETS[0], "lm")
    prompt = bytes(range(256)) * 20
    short = kv_cache.block_keys(salt, "v1", prompt)
    grown = kv_cache.block_keys(salt, "v1", prompt + b"more" * 200)
    assert grown[: len(short)] == short
    assert kv_cache.anchor_key(grown) == kv_cache.anchor_key(short)


def event(sequence, kind, *keys):
    return directory_lib.CacheEvent(sequence, kind, "anchor", list(keys))


def test_gap_in_events_requires_a_listing():
    feed = directory_lib.EventFeed(1)
    listing = directory_lib.Listing(4, [])
    assert feed.needs_listing
    assert feed.apply_listing(listing) and not feed.needs_listing
    assert len(feed.accept_events([event(5, "stored", "k")])) == 1
    assert not feed.needs_listing
    fresh = feed.accept_events([event(8, "stored", "k"), event(5, "stored")])
    assert [e.sequence for e in fresh] == [8]
    assert feed.needs_listing
    assert not feed.apply_listing(listing)


def test_lookup_returns_the_longest_prefix_of_each_target():
    directory = kv_cache.Directory()
    directory.apply_events("r1", 1, [event(1, "stored", *KEYS[:3])])
    directory.apply_events("r2", 1, [event(1, "stored", *KEYS[:6])])
    assert directory.lookup(KEYS) == {"r1": 3, "r2": 6}
    assert directory.lookup(["other"]) == {}


def test_new_incarnation_of_a_target_holds_no_blocks():
    directory = kv_cache.Directory()
    directory.apply_events("r1", 1, [event(1, "stored", *KEYS)])
    directory.apply_events("r1", 2, [])
    assert directory.lookup(KEYS) == {}
    directory.apply_events("r1", 1, [event(9, "stored", *KEYS)])
    assert directory.lookup(KEYS) == {}
    directory.check_invariants()


class StoreMachine(stateful.RuleBasedStateMachine):
    """Store table under leases, delayed frees and changes of owner.

    Attributes:
        now: Simulated time in seconds.
        table: The table under test.
        stored: Generation and sealed flag of the store's blocks, by key.
        readers: Time of the lease and leased blocks, by reader.
        used_generations: All generations that were reserved.
        reader_number: Number of readers so far.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.table = self.new_table()
        self.stored = {}
        self.readers = {}
        self.used_generations = []
        self.reader_number = 0

    def new_table(self):
        return store_table.StoreTable(
            60, store_table.score_by_recency, now=self.now
        )

    @stateful.rule(
        start=strategies.integers(0, 5), count=strategies.integers(1, 4)
    )
    def reserve(self, start, count):
        wanted = builders.make_reserve(KEYS[start : start + count])
        for ref in self.table.reserve(wanted, self.now):
            assert ref.generation not in self.used_generations
            self.used_generations.append(ref.generation)
            self.stored[ref.key] = (ref.generation, False)

    @stateful.rule(key=strategies.sampled_from(KEYS))
    def seal(self, key):
        if key in self.stored:
            generation, _ = self.stored[key]
            if self.table.seal(key, generation, f"sum{generation}"):
                self.stored[key] = (generation, True)

    @stateful.rule(count=strategies.integers(1, 5))
    def lease(self, count):
        self.reader_number += 1
        reader = f"reader{self.reader_number}"
        refs = self.table.lease(
            builders.make_lease(KEYS[:count], reader), self.now
        )
        for ref in refs:
            # Only sealed blocks of the current generation are leased.
            assert self.stored[ref.key] == (ref.generation, True)
        if refs:
            self.readers[reader] = (self.now, refs)

    @stateful.rule()
    def release(self):
        if self.readers:
            self.table.release(self.readers.popitem()[0])

    @stateful.rule()
    def free(self):
        for key, generation in list(self.table.freeing):
            for leased_at, refs in self.readers.values():
                held = any(ref.generation == generation for ref in refs)
                expired = self.now - leased_at >= store_table.LEASE_S
                assert expired or not held, "a leased block is freed"
            if self.stored.get(key, (0, False))[0] == generation:
                del self.stored[key]
            self.table.confirm_freed(key, generation)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 3.0, 11.0]))
    def wait(self, seconds):
        self.now += seconds
        self.table.expire(self.now)
        self.table.free_to_low_watermark(self.now)

    @stateful.rule()
    def change_owner(self):
        refs = [
            messages.BlockRef(key, generation, f"sum{generation}", 10)
            for key, (generation, sealed) in self.stored.items()
            if sealed
        ]
        self.stored = {k: v for k, v in self.stored.items() if v[1]}
        self.table = store_table.StoreTable(
            60,
            store_table.score_by_recency,
            now=self.now,
            frees_allowed_at=self.now + store_table.LEASE_S,
        )
        newest = max(self.used_generations, default=0)
        self.table.rebuild(refs, newest, self.now)

    @stateful.invariant()
    def check(self):
        self.table.check_invariants()


StoreMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, derandomize=True, deadline=None
)
TestStore = StoreMachine.TestCase


def make_full_table(**options):
    """Returns a full table of six sealed blocks, two of them leased."""
    table = store_table.StoreTable(60, store_table.score_by_recency, **options)
    for ref in table.reserve(builders.make_reserve(KEYS[:6]), 0.0):
        table.seal(ref.key, ref.generation, "sum")
    table.lease(builders.make_lease(KEYS[:2]), 0.0)
    return table


def test_leased_blocks_are_not_freed_before_their_lease_expires():
    table = make_full_table()
    table.reserve(builders.make_reserve(["a", "b", "c", "d", "e", "f"]), 5.0)
    assert {key for key, _ in table.freeing} == set(KEYS[2:6])
    table.expire(store_table.LEASE_S)
    table.reserve(builders.make_reserve(["a", "b", "c", "d", "e", "f"]), 11.0)
    assert {key for key, _ in table.freeing} == set(KEYS[:6])


def test_a_new_owner_frees_nothing_while_old_leases_may_be_in_use():
    table = make_full_table(frees_allowed_at=10.0)
    table.reserve(builders.make_reserve(["a"]), 5.0)
    assert not table.freeing
    table.reserve(builders.make_reserve(["a"]), 10.0)
    assert table.freeing


def test_value_scorer_keeps_blocks_likely_to_be_reused():
    model = reuse.ReuseModel()
    for number in range(200):
        model.visit("returning", [f"a{number}"], float(number))
        model.visit("returning", [f"a{number}"], number + 5.0)
        model.visit("once", [f"b{number}"], float(number))
    scorer = store_table.make_value_scorer(model.reuse_probability)
    table = store_table.StoreTable(40, scorer, now=0.0)
    table.reserve(builders.make_reserve(["x1"], "returning"), 300.0)
    for number in range(3):
        name = f"y{number}"
        table.reserve(builders.make_reserve([name], "once"), 301.0 + number)
    for key in ("x1", "y0", "y1", "y2"):
        table.seal(key, table.blocks[key].generation, "sum")
    table.reserve(builders.make_reserve(["z1"], "returning"), 305.0)
    assert "x1" in table.blocks
    assert {k for k, _ in table.freeing} == {"y0"}


def test_a_repeated_prefix_is_recognized_in_a_longer_prompt():
    model = reuse.ReuseModel()
    assert model.visit("w", ["a", "b", "c"], 1.0) is None
    assert model.visit("w", ["a", "b", "c", "d"], 9.0) == 8.0
    assert model.visit("w", ["a", "x", "y", "z"], 10.0) is None
    assert model.reuse_probability("w") > model.reuse_probability("w", 16.0)


def test_anchor_lies_after_the_shared_prefix():
    keys = [str(number) for number in range(20)]
    assert kv_cache.anchor_key(keys) == keys[keys_lib.ANCHOR_BLOCK_NUMBER - 1]
    assert kv_cache.anchor_key(keys[:2]) == keys[1]
