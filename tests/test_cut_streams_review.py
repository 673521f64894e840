"""Further ends of answers, found in the review of test_cut_streams."""

import builders
from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
import fake_ports
import pytest
import scripted
import wire_calls

ECHO = {"X_Request_Id": "r-1"}
E1, E2, E3 = (scripted.event(number) for number in (1, 2, 3))
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Request-Id: r-1\r\n\r\n"
)
BROKEN_STREAM = [*scripted.stream(E1, E2, **ECHO), 0.05, scripted.RESET]
UNSAFE_PATH = "/pdf/a"
SAFE_PATH = "/status/a"


def whole(*events):
    """Returns a chunked stream with its last chunk."""
    return [*scripted.stream(*events, **ECHO), scripted.END]


def run_plain_call(request, *scripts, **options):
    """Sends a request to plain services."""
    return wire_calls.run_call(
        request, *scripts, service=["web"] * len(scripts), **options
    )


# Guards against events that reach the caller twice because the target of a
# resume begins at the first event again.
def test_a_resumed_stream_that_begins_again_is_not_joined():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        BROKEN_STREAM,
        whole(E1, E2, E3),
    )
    assert received.body.count(E1) == 1
    assert received.body.count(E2) == 1


# Guards against an answer whose connection was closed before its first event
# and that reached the caller as a complete stream without events.
def test_a_stream_closed_before_its_first_event_is_tried_elsewhere():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        [HEAD, 0.05, scripted.CLOSE],
        whole(E1),
    )
    assert received.body == E1
    assert received.is_framed_as_complete


# Guards against a stream that is taken for an ordinary body and finished in the
# middle of an event because its media type is not in lower case.
def test_the_media_type_of_a_stream_may_have_capitals():
    steps = [*scripted.stream(E1, E2[:4], **ECHO), scripted.END]
    steps[0] = steps[0].replace(b"text/event-stream", b"Text/Event-Stream")
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.STREAM_PATH), steps
    )
    assert received.body == E1
    assert not received.is_framed_as_complete


# Guards against a complete answer that is refused, and its target taken for
# crashed, because bytes that belong to no request come in the same segment.
def test_a_complete_answer_is_passed_on_in_spite_of_bytes_behind_it():
    received = run_plain_call(
        wire_calls.make_request(UNSAFE_PATH),
        [scripted.answer(b"hello", **ECHO) + b"garbage"],
        idle_s=1.0,
    )
    assert received.data.startswith(b"HTTP/1.1 200 ")
    assert received.body == b"hello"


# Guards against such bytes behind the last chunk of a stream under way.
def test_a_stream_under_way_is_complete_in_spite_of_bytes_behind_it():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.STREAM_PATH),
        [
            *scripted.stream(E1, **ECHO),
            0.05,
            scripted.chunk(E2) + scripted.END + b"garbage",
        ],
    )
    assert received.body == E1 + E2
    assert received.is_framed_as_complete


# Guards against an answer to HEAD that is waited for until the deadline, since
# its length is taken for that of a body.
def test_an_answer_to_head_ends_with_its_head():
    request = wire_calls.make_request(SAFE_PATH).replace(b"POST", b"HEAD")
    request = request.replace(b"X-Deadline-Ms: 5000", b"X-Deadline-Ms: 1000")
    received = run_plain_call(
        request,
        [scripted.answer(b"", **ECHO).replace(b"Length: 0", b"Length: 5")],
        idle_s=1.5,
    )
    assert received.data.startswith(b"HTTP/1.1 200 ")


# Guards against a stream without an end for a caller without chunks that asks
# to keep its connection: a later answer becomes a part of it.
def test_a_stream_ends_with_its_connection_for_a_caller_without_chunks():
    request = wire_calls.make_request(
        wire_calls.STREAM_PATH,
        version="1.0",
        extra="Connection: keep-alive\r\n",
    ).replace(b"X-Deadline-Ms: 5000", b"X-Deadline-Ms: 1000")
    received = wire_calls.run_call(request + request, whole(E1), idle_s=2.0)
    assert received.body == E1


# What a target sends of an answer without a length before it closes.
CLOSED_EARLY = {"in the middle of an event": [E1 + E2[:4]], "at once": []}


# Guards against a crash that is not counted, so that a request that crashes its
# targets, or a part of its prompt that does, is sent on and on.
@pytest.mark.parametrize("steps", CLOSED_EARLY.values(), ids=CLOSED_EARLY)
def test_a_close_before_the_end_of_an_event_counts_as_a_crash(steps):
    reply = fake_ports.FakeReply(*steps, is_stream=True)
    reply.framing = ports.Framing.CLOSE
    context = builders.make_context(t0={"service": "lm", "weight_version": "1"})
    harness = fake_ports.ForwardingHarness(context, reply)
    now = context_lib.monotonic()
    call = builders.make_call(
        arrived_at=now, deadline=now + 5.0, fingerprint="f"
    )
    harness.run_call(call)
    assert [o.fingerprint for o in harness.observations] == ["f"]
    assert [len(e.crashes) for e in harness.evidence] == [1]
