"""Streams that break off must not reach their caller as complete responses."""

import asyncio

import builders
from chivelb_core.calls import attempt as attempt_lib
from chivelb_node.links import runners
from chivelb_node.links import services
import pytest
import scripted
import wire_calls

ECHO = {"X_Request_Id": "r-1"}
E1, E2, E3 = (scripted.event(number) for number in (1, 2, 3))


def chunked(*events, end=scripted.END):
    """Returns a chunked stream whose last chunk, if any, is sent."""
    return [*scripted.stream(*events, **ECHO), end]


def unframed(*events):
    """Returns a stream without a length that ends with its connection."""
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Request-Id: r-1\r\n\r\n"
    )
    return [head, *events, 0.05, scripted.CLOSE]


CUT_IN_AN_EVENT = {
    "chunked": chunked(E1, E2, E3[:4]),
    "unframed": unframed(E1, E2 + E3[:4]),
}


# Guards against a stream that its target ended in the middle of an event and
# that reached the caller without that event, framed as complete.
@pytest.mark.parametrize("framing", CUT_IN_AN_EVENT)
def test_a_stream_that_ends_in_the_middle_of_an_event_is_not_finished(framing):
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.STREAM_PATH),
        CUT_IN_AN_EVENT[framing],
    )
    assert received.body == E1 + E2
    assert not received.is_framed_as_complete


# Guards against the same end of a stream that another target could continue.
@pytest.mark.parametrize("framing", CUT_IN_AN_EVENT)
def test_a_stream_that_ends_in_the_middle_of_an_event_is_resumed(framing):
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        CUT_IN_AN_EVENT[framing],
        chunked(E3),
    )
    assert received.body == E1 + E2 + E3
    assert received.is_framed_as_complete
    assert b"Last-Event-Id: 2\r\n" in received.requests["t1"][0]


FAILED_RESUMES = {
    "status 500": [scripted.answer(b"no", status=500, **ECHO)],
    "status 404": [scripted.answer(b"no", status=404, **ECHO)],
    "no event stream": [scripted.answer(b"hello", **ECHO)],
}


# Guards against the failure of a resume that was sent behind the events of the
# first target and ended the response as if it were the rest of the stream.
@pytest.mark.parametrize("reply", FAILED_RESUMES)
def test_a_resume_that_fails_does_not_finish_the_stream(reply):
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        [*scripted.stream(E1, E2, **ECHO), 0.05, scripted.RESET],
        FAILED_RESUMES[reply],
    )
    assert received.body == E1 + E2
    assert not received.is_framed_as_complete


# Guards against the length of the first target's answer as the frame of what
# another target continues: bytes above it were lost and the frame complete.
def test_a_resumed_stream_is_not_framed_by_the_length_of_its_first_target():
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Request-Id: r-1\r\nContent-Length: %d\r\n\r\n"
    )
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.RESUMABLE_PATH),
        [head % len(E1 + E2), E1, 0.05, scripted.RESET],
        chunked(E2, E3),
    )
    assert received.body == E1 + E2 + E3
    assert received.is_framed_as_complete


# Guards against an aborted response that looks complete to a caller for whom
# the close of the connection is the end of the response.
def test_an_aborted_stream_is_reset_for_a_caller_without_chunks():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.STREAM_PATH, version="1.0"),
        [*scripted.stream(E1, **ECHO), 0.05, scripted.RESET],
    )
    assert not received.is_framed_as_complete


# Guards against a stop of the process that looks like the end of a stream to
# such a caller.
def test_a_stream_cut_by_a_stop_is_reset_for_a_caller_without_chunks():
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.STREAM_PATH, version="1.0"),
        [*scripted.stream(E1, **ECHO), 60.0],
        stop_after=E1,
    )
    assert not received.is_framed_as_complete


# Guards against events that were dropped because their lines end with CRLF.
def test_events_whose_lines_end_with_crlf_reach_the_caller():
    crlf = [event.replace(b"\n", b"\r\n") for event in (E1, E2)]
    received = wire_calls.run_call(
        wire_calls.make_request(wire_calls.STREAM_PATH), chunked(*crlf)
    )
    assert received.body == b"".join(crlf)
    assert received.is_framed_as_complete


def call_plain_service(*steps):
    """Returns the answer of a plain service that sends the steps."""
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a-1\r\n\r\n"
    target = scripted.ScriptedTarget([head, *steps])

    async def run():
        session = runners.make_session()
        async with target.serve(), session:
            return await services.call_service(
                session,
                builders.make_record(address=target.address),
                method="GET",
                path="/a",
                headers={},
                body=b"",
                attempt_id="a-1",
                timeout_s=5.0,
            )

    return asyncio.run(run())


# Guards against a reset that was taken for the end of an answer without a
# length, in the client of plain services.
def test_an_answer_of_a_plain_service_that_is_reset_is_not_complete():
    with pytest.raises(attempt_lib.AttemptError):
        call_plain_service(b"hel", 0.1, scripted.RESET)


def test_an_answer_of_a_plain_service_may_end_with_its_connection():
    response = call_plain_service(b"hello", 0.1, scripted.CLOSE)
    assert response.body == b"hello"
