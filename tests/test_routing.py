"""Routing policies, cost estimates and load estimates."""

import random

from chivelb_core import routing
from chivelb_core.routing import cost
from chivelb_core.routing import policies

PROMPT = 2_000


def choose(candidates, goal="latency", policy="expected_cost", seed=1):
    return routing.choose(
        policies.make_policies()[policy],
        candidates,
        prompt_tokens=PROMPT,
        anchor="a",
        goal=goal,
        rng=random.Random(seed),
    )


def test_no_choice_without_candidates():
    assert choose([]) is None


def test_prefix_holder_is_chosen_at_equal_load():
    idle = cost.Candidate("idle")
    holder = cost.Candidate("holder", held_tokens=1_900)
    assert choose([idle, holder]).identity == "holder"


def test_busy_prefix_holder_is_not_chosen_if_its_queue_costs_more():
    idle = cost.Candidate("idle")
    holder = cost.Candidate(
        "holder", held_tokens=1_900, pending_tokens=9_000, running=12
    )
    assert choose([idle, holder]).identity == "idle"


def test_reuse_goal_accepts_a_longer_queue_at_the_prefix_holder():
    idle = cost.Candidate("idle")
    holder = cost.Candidate(
        "holder", held_tokens=1_900, pending_tokens=4_000, running=9
    )
    assert choose([idle, holder], "latency").identity == "idle"
    assert choose([idle, holder], "reuse").identity == "holder"


def test_short_prefill_waits_little_behind_long_prompts():
    candidate = cost.Candidate("r", pending_tokens=8_000, running=4)
    assert cost.wait_s(candidate, 100) == 400 / candidate.prefill_rate
    assert cost.wait_s(candidate, 6_000) == 8_000 / candidate.prefill_rate


def test_short_prefills_have_priority_and_batch_comes_last():
    levels = [
        cost.prefill_priority(prefill_tokens, name)
        for name in ("interactive", "batch")
        for prefill_tokens in (64, 1_500, 20_000)
    ]
    assert levels == sorted(levels)
    assert len(set(levels)) == len(levels)


def test_fetching_beats_recomputing_only_over_a_fast_link():
    fast = cost.Candidate("r", stored_tokens=1_900, link_rate=100e6)
    slow = cost.Candidate("r", stored_tokens=1_900, link_rate=4e6)
    assert choose([fast]).fetch_tokens == 1_900
    assert choose([slow]).fetch_tokens == 0


def test_busy_link_is_not_used():
    candidate = cost.Candidate("r", stored_tokens=1_900, link_wait_s=3.0)
    assert choose([candidate]).fetch_tokens == 0


def test_other_zone_is_chosen_only_if_its_latency_pays_off():
    same_zone = cost.Candidate("near", pending_tokens=100)
    other_zone = cost.Candidate("far", zone_latency_s=0.02)
    assert choose([same_zone, other_zone]).identity == "near"
    same_zone.pending_tokens = 1_000
    assert choose([same_zone, other_zone]).identity == "far"


def test_every_policy_chooses_a_candidate():
    candidates = [cost.Candidate(f"r{n}", running=n) for n in range(30)]
    for name in policies.make_policies():
        choice = choose(candidates, policy=name)
        assert choice.identity.startswith("r"), name


def test_ties_are_broken_at_random():
    candidates = [cost.Candidate(f"r{n}") for n in range(9)]
    chosen = {choose(candidates, seed=s).identity for s in range(100)}
    assert len(chosen) == 9


def test_requests_sent_since_the_report_are_added_to_the_load():
    view = routing.LoadView()
    view.apply_report("r", running=0, pending_tokens=0, measured_at=10.0)
    view.record_send("r", 11.0, pending_tokens=500, kv_tokens=600)
    assert view.pending("r", 11.1) == 500
    assert view.running("r", 11.1) == 1
    view.apply_peer_load("other", "r", routing.PeerLoad(11.0, 2, 700, 900))
    assert view.pending("r", 11.2) == 1_200
    assert view.running("r", 11.2) == 3
    assert view.used_kv_tokens("r", 11.2) == 1_500
    view.record_first_token("r", 500)
    view.record_end("r", 600)
    assert view.pending("r", 11.3) == 700


def test_load_of_a_silent_peer_expires():
    view = routing.LoadView()
    view.apply_peer_load("other", "r", routing.PeerLoad(1.0, 5, 700, 900))
    assert view.running("r", 2.0) == 5
    assert view.running("r", 9.0) == 0
