"""A stream is complete only if its end is proved, however it was joined."""

import asyncio

from chivelb_node.links import http_connection
from chivelb_node.links import http_pool
import pytest
import scripted
import wire_calls

ECHO = {"X_Request_Id": "r-1"}
E1, E2, E3 = (scripted.event(number) for number in (1, 2, 3))
COMMENT = b": still at work\n\n"
TAKES_UP = "Last-Event-Id: 1\r\n"
FROM_THE_START = {"first": "", "taken up": TAKES_UP}


def chunked(*events):
    """Returns a chunked stream with its last chunk."""
    return [*scripted.stream(*events, **ECHO), scripted.END]


def unframed(*parts, end=scripted.CLOSE):
    """Returns a stream without a length that ends with its connection."""
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"X-Request-Id: r-1\r\n\r\n"
    )
    return [head, *parts, 0.05, end]


def with_length(data):
    """Returns a stream with a length."""
    return [
        scripted.answer(data, Content_Type="text/event-stream", **ECHO),
    ]


def call(*scripts, extra="", path=wire_calls.RESUMABLE_PATH):
    return wire_calls.run_call(
        wire_calls.make_request(path, extra=extra), *scripts
    )


# Guards against a stream that its caller takes up, whose target closes before
# any event, and that reached the caller as complete.
def test_a_close_before_any_event_does_not_end_a_stream_that_is_taken_up():
    received = call(unframed(), unframed(), extra=TAKES_UP)
    assert received.data.startswith(b"HTTP/1.1 502 ")


# Guards against such a stream that is not tried at another target.
def test_a_stream_taken_up_is_tried_elsewhere_after_such_a_close():
    received = call(unframed(), chunked(E2), extra=TAKES_UP)
    assert received.body == E2
    assert received.is_framed_as_complete


# Guards against a resume of ours whose target closes before any event and that
# completed the stream of the first target.
def test_a_close_before_any_event_does_not_end_a_resumed_stream():
    received = call(unframed(E1, E2[:4]), unframed())
    assert received.body == E1
    assert not received.is_framed_as_complete


# Guards against comments that are taken for a part of the stream: the close
# behind them was its end.
@pytest.mark.parametrize("extra", FROM_THE_START.values(), ids=FROM_THE_START)
def test_a_close_behind_comments_does_not_end_a_stream(extra):
    received = call(unframed(COMMENT), unframed(COMMENT), extra=extra)
    assert not received.is_framed_as_complete


EMPTY_STREAMS = {"chunked": chunked(), "with a length": with_length(b"")}
CUT_STREAMS = {
    "closed in an event": unframed(E1, E2[:4]),
    "reset in an event": unframed(E1 + E2[:4], end=scripted.RESET),
    "chunks end in an event": chunked(E1, E2[:4]),
    "chunks cut in an event": [
        *scripted.stream(E1, E2[:4], **ECHO),
        0.05,
        scripted.CLOSE,
    ],
}


# Guards against a resume that ends properly without an event although a part
# of one had been received: that event was missing from a complete stream.
@pytest.mark.parametrize("rest", EMPTY_STREAMS.values(), ids=EMPTY_STREAMS)
@pytest.mark.parametrize("cut", CUT_STREAMS.values(), ids=CUT_STREAMS)
def test_an_event_begun_by_one_target_is_due_from_the_next(cut, rest):
    received = call(cut, rest)
    assert received.body == E1
    assert not received.is_framed_as_complete


# Narrows the rule: without a part of a further event, a target that ends its
# stream properly has told that nothing was left.
@pytest.mark.parametrize("rest", EMPTY_STREAMS.values(), ids=EMPTY_STREAMS)
def test_a_resume_may_tell_that_nothing_was_left(rest):
    received = call(unframed(E1, end=scripted.RESET), rest)
    assert received.body == E1
    assert received.is_framed_as_complete


# Guards against events that reach a caller twice because the target at which
# it takes up its stream begins at the first event again.
def test_a_stream_taken_up_that_begins_again_is_not_joined():
    received = call(chunked(E1, E2), chunked(E2, E3), extra=TAKES_UP)
    assert received.body == E2 + E3
    assert received.is_framed_as_complete


# Guards against a connection that this side closed: its end was that of an
# answer without a length.
@pytest.mark.parametrize("method", ["abort", "reset"])
def test_an_answer_does_not_end_with_a_close_of_ours(method):
    target = scripted.ScriptedTarget([*unframed(E1)[:-2], 60.0])

    async def read_and_close():
        pool = http_pool.HttpPool()
        async with asyncio.timeout(10), target.serve():
            exchange = await pool.send(
                target.address, b"GET / HTTP/1.1\r\n\r\n"
            )
            await exchange.start(lambda head: True)
            data = await exchange.read()
            getattr(exchange.connection, method)()
            with pytest.raises(http_connection.IncompleteResponseError):
                while more := await exchange.read():
                    data += more
            return data

    assert asyncio.run(read_and_close()) == E1


# Guards against an answer that lacks an event, framed as complete: one target
# was cut while it wrote the event, and the next one goes on behind it.
@pytest.mark.parametrize("begun", [b"id: 2\n", b"id: 2\ndata: x"])
def test_a_resume_that_leaves_out_a_begun_event_is_not_joined(begun):
    received = call(unframed(E1, begun), chunked(E3))
    assert received.body == E1
    assert not received.is_framed_as_complete


# The same event with other bytes is what the resume is asked for.
def test_a_resume_may_begin_with_the_event_that_was_begun():
    received = call(unframed(E1, b"id: 2\nda"), chunked(E2, E3))
    assert received.body == E1 + E2 + E3
    assert received.is_framed_as_complete
