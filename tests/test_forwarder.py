"""Forwarding of calls: retries, resumption and uncertain outcomes.

``caller.fault`` is the error that the caller gets. A call is a request that was
accepted; a suspect is a prompt that was in flight on a target when it crashed.
"""

import asyncio

import builders
from chivelb_core import codes
from chivelb_core import document
from chivelb_core import forwarding
from chivelb_node import context as context_lib
import fake_ports
import pytest

E1, E2, E3 = (b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3))


def make_harness(*replies, routed=None, **records):
    records = records or {"a": {"service": "lm"}, "b": {"service": "lm"}}
    for number, options in enumerate(records.values()):
        options.setdefault("address", f"127.0.0.1:{9000 + number}")
        options.setdefault("weight_version", "1")
    context = builders.make_context(routed, **records)
    return fake_ports.ForwardingHarness(context, *replies)


def make_call(name="quote", **options):
    route = builders.make_routed_document().routes[name]
    now = context_lib.monotonic()
    values = {"arrived_at": now, "deadline": now + 5.0, "fingerprint": "f"}
    if route.split[0].service == "web":
        values["prompt"] = None
    return builders.make_call(route, **{**values, **options})


WEB = {"a": {"service": "web"}, "b": {"service": "web"}}


def stream(*steps):
    return fake_ports.FakeReply(*steps, is_stream=True)


def test_events_reach_the_caller_whole():
    harness = make_harness(stream(E1 + E2[:5], E2[5:], E3))
    caller = harness.run_call(make_call())
    assert (caller.end, caller.body) == ("finished", E1 + E2 + E3)
    assert harness.running() == 0


def test_a_stream_that_may_be_resumed_goes_on_elsewhere_after_its_last_event():
    harness = make_harness(
        stream(E1, E2 + E3[:4], fake_ports.unknown()), stream(E3)
    )
    caller = harness.run_call(make_call())
    assert (caller.end, caller.body) == ("finished", E1 + E2 + E3)
    first, second = harness.targets.sent
    assert second.resume_after == "2"
    assert first.record.identity != second.record.identity


def test_a_stream_that_may_not_be_resumed_is_aborted():
    harness = make_harness(stream(E1, fake_ports.unknown()), stream(E2))
    caller = harness.run_call(make_call("once"))
    assert (caller.end, caller.body) == ("aborted", E1)
    assert len(harness.targets.sent) == 1


def test_a_non_repeatable_call_that_may_have_run_is_never_sent_again():
    harness = make_harness(fake_ports.unknown(), fake_ports.FakeReply(), **WEB)
    caller = harness.run_call(make_call("pdf"))
    assert caller.error_detail.code is codes.OUTCOME_UNKNOWN
    assert caller.error_detail.code.status == 502
    assert len(harness.targets.sent) == 1


def test_a_rejected_attempt_counts_towards_the_routes_maximum():
    harness = make_harness(
        fake_ports.not_run(), fake_ports.FakeReply(b"ok"), **WEB
    )
    caller = harness.run_call(make_call("pdf"))
    assert caller.error_detail.code is codes.TARGET_REFUSED
    assert caller.error_detail.code.status == 503


def test_an_unreachable_target_does_not_count_towards_the_maximum():
    harness = make_harness(
        fake_ports.not_run(codes.TARGET_UNREACHABLE, target_crashed=True),
        fake_ports.FakeReply(b"ok"),
        **WEB,
    )
    caller = harness.run_call(make_call("pdf"))
    assert (caller.status, caller.body) == (200, b"ok")


def test_a_repeatable_request_that_failed_is_retried_at_another_target():
    harness = make_harness(
        fake_ports.FakeReply(b"no", status=500),
        fake_ports.FakeReply(b"ok"),
        **WEB,
    )
    caller = harness.run_call(make_call("status"))
    assert (caller.status, caller.body) == (200, b"ok")


def test_the_targets_error_response_is_passed_on_after_the_last_attempt():
    harness = make_harness(
        fake_ports.FakeReply(b"no", status=500),
        fake_ports.FakeReply(b"no", status=500),
        **WEB,
    )
    caller = harness.run_call(make_call("status"))
    assert (caller.status, caller.body) == (500, b"no")


def test_a_truncated_response_is_not_passed_on():
    harness = make_harness(
        fake_ports.FakeReply(b"half", fake_ports.unknown()), **WEB
    )
    caller = harness.run_call(make_call("pdf"))
    assert caller.end == "refused"
    assert caller.error_detail.code.status == 502


def test_an_attempt_ends_at_the_deadline():
    harness = make_harness(fake_ports.FakeReply(10.0, b"late"), **WEB)
    now = context_lib.monotonic()
    caller = harness.run_call(make_call("pdf", deadline=now + 0.1))
    assert caller.error_detail.code is codes.TARGET_TIMEOUT
    assert harness.running() == 0


def test_without_a_target_a_call_is_rejected_at_once():
    harness = make_harness(other={"service": "elsewhere"})
    caller = harness.run_call(make_call())
    assert caller.error_detail.code is codes.NO_TARGET


def test_a_caller_that_leaves_ends_the_attempt():
    reply = stream(E1, 10.0)
    harness = make_harness(reply)

    async def scenario():
        task = asyncio.create_task(harness.serve(make_call()))
        await asyncio.sleep(0.05)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())
    assert reply.closed
    assert harness.running() == 0


def test_a_prompt_that_crashed_two_targets_is_rejected_by_all_instances():
    harness = make_harness(fake_ports.unknown(), fake_ports.unknown())
    caller = harness.run_call(make_call())
    assert caller.error_detail.code is codes.OUTCOME_UNKNOWN
    assert [s.fingerprint for s in harness.observations] == ["f", "f"]
    other = make_harness(fake_ports.FakeReply(b"never"))
    for observation in harness.observations:
        other.context.crash_suspects.add_observation(
            observation, context_lib.monotonic()
        )
    caller = other.run_call(make_call())
    assert caller.error_detail.code is codes.SUSPECT
    assert other.targets.sent == []


def test_a_prompt_whose_call_succeeds_is_no_longer_suspect():
    harness = make_harness(fake_ports.unknown(), stream(E1))
    assert harness.run_call(make_call()).end == "finished"
    assert harness.observations[-1].cleared


def test_attempts_stop_when_the_budget_is_spent():
    routed = builders.make_routed_document()
    harness = make_harness(
        *[fake_ports.unknown(target_crashed=False)] * 60, routed=routed
    )
    budget = harness.forwarder.budget("lm")
    budget.limits.slack = 2
    for number in range(20):
        harness.run_call(make_call(fingerprint=f"f{number}"))
    assert 20 < len(harness.targets.sent) <= 20 + 2 + 2


def test_a_runner_is_told_version_scope_and_sources():
    harness = make_harness(
        stream(E1), a={"service": "lm", "weight_version": "7"}
    )
    harness.run_call(make_call())
    assignment = harness.targets.sent[0]
    assert assignment.weight_version == 7
    assert assignment.salt == forwarding.sharing_scope(
        "7", make_call(), harness.context.document_state
    )
    assert len(assignment.fetch_addresses) == 2


def test_calls_wait_for_a_slot_in_order_of_priority():
    engine = builders.make_engine(slots=1)
    routed = builders.make_routed_document(
        services={
            "lm": document.Service(kind="model", engine=engine),
            "web": document.Service(kind="plain"),
        }
    )
    harness = make_harness(
        *[stream(0.05, E1) for _ in range(3)],
        routed=routed,
        a={"service": "lm"},
    )
    ended = []

    async def serve_named(name, priority):
        await harness.serve(make_call(request_id=name, priority=priority))
        ended.append(name)

    async def scenario():
        tasks = [asyncio.create_task(serve_named("running", 2))]
        await asyncio.sleep(0.01)
        tasks.append(asyncio.create_task(serve_named("later", 2)))
        await asyncio.sleep(0.01)
        tasks.append(asyncio.create_task(serve_named("urgent", 0)))
        await asyncio.gather(*tasks)

    asyncio.run(scenario())
    assert ended == ["running", "urgent", "later"]


def test_a_target_whose_address_was_taken_over_is_marked_gone():
    harness = make_harness(
        fake_ports.not_run(codes.TARGET_REPLACED), fake_ports.FakeReply()
    )
    assert harness.run_call(make_call("once")).error_detail.code.status == 503
    assert [r.identity for r in harness.retired] == [
        harness.targets.sent[0].record.identity
    ]
