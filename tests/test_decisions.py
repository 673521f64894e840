"""Switches of the mechanisms that decide on calls, for comparisons."""

import builders
from chivelb_core import forwarding
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.forwarding import placement as placement_lib
import pytest

HOLDER = "127.0.0.1:9001"


def make_placed(part_tokens=20_000, **decisions):
    """Returns where a prompt is placed whose shared part one runner holds.

    The holder executes three requests, all other runners none.
    """
    context = builders.make_context(
        holder={"service": "lm", "address": HOLDER, "weight_version": "1"},
        **{
            f"r{number}": {
                "service": "lm",
                "address": f"127.0.0.1:{9100 + number}",
                "weight_version": "1",
            }
            for number in range(40)
        },
    )
    context.settings.decisions = settings_lib.Decisions(**decisions)
    now = context_lib.monotonic()
    for _ in range(3):
        context.load.record_send("holder", now, 0, 100)
    directory = parts_lib.PartDirectory()
    call = builders.make_call(prompt=builders.make_prompt(part_tokens, 100))
    scope = forwarding.sharing_scope("1", call, context.document_state)
    directory.apply_events(
        HOLDER,
        epoch=1,
        since=0,
        until=1,
        events=[
            parts_lib.PartUpdate(parts_lib.part_key(scope, "p0"), part_tokens)
        ],
        now=now,
    )
    policy = placement_lib.PlacementPolicy(context, directory)
    return policy.place(call, now)


def test_a_prompt_goes_to_the_holder_of_its_shared_part():
    assert make_placed().record.identity == "holder"


def test_without_affinity_the_part_is_fetched_by_another_runner():
    placed = [make_placed(prefix_affinity=False) for _ in range(5)]
    assert {p.fetch_plan.fetch_tokens for p in placed} - {0}


def test_without_fetches_nothing_is_fetched():
    placed = make_placed(prefix_affinity=False, cache_fetches=False)
    assert placed.fetch_plan.fetch_tokens == 0


def test_the_least_loaded_runner_is_not_the_busy_holder():
    placed = make_placed(placement="least_loaded")
    assert placed.record.identity != "holder"


def test_the_startup_wait_can_be_switched_off():
    settings = settings_lib.Settings(
        instance=settings_lib.Instance(name="i", zone="z"),
        decisions=settings_lib.Decisions(startup_wait=False),
    )
    context = context_lib.InstanceContext(settings, None)
    assert not context.is_starting(context_lib.monotonic())


def test_assignments_of_the_command_line_are_checked():
    parsed = settings_lib.parse_decisions(
        ["placement=random", "shedding=false"]
    )
    assert parsed.ok == settings_lib.Decisions(
        placement="random", shedding=False
    )


@pytest.mark.parametrize(
    "text", ["placement=best", "shading=no", "shedding=perhaps"]
)
def test_an_invalid_assignment_names_its_key(text):
    errors = settings_lib.parse_decisions([text]).error
    assert text.split("=")[0] in errors[0]
