"""An answer counts only if all of its head and of its body were received.

Targets end their connection behind each byte of an answer.
"""

import asyncio

import builders
from chivelb_core.calls import attempt as attempt_lib
from chivelb_node import context as context_lib
from chivelb_node.links import events
from chivelb_node.links import http_connection
from chivelb_node.links import http_pool
from chivelb_node.links import runners
from chivelb_node.links import services
from chivelb_node.links import stores
from chivelb_platform import target_client
import cut_answers
import msgspec
import pytest
import scripted
import test_relays
import wire_calls

REQUEST = b"GET /a HTTP/1.1\r\nHost: t\r\n\r\n"
ENDINGS = pytest.mark.parametrize(
    "ending", cut_answers.ENDINGS.values(), ids=cut_answers.ENDINGS
)
FRAMINGS = pytest.mark.parametrize("framing", cut_answers.FRAMINGS)
VERSIONS = pytest.mark.parametrize("version", cut_answers.VERSIONS)
INTERIM = pytest.mark.parametrize(
    "interim", cut_answers.INTERIM.values(), ids=cut_answers.INTERIM
)


async def fetch(pool, address, request=REQUEST):
    try:
        return await http_pool.fetch(pool, address, request)
    except http_connection.IncompleteResponseError:
        return None


# Guards against a head that is taken for a whole one, with an empty body or one
# that the close ends, because its connection ended.
@ENDINGS
@FRAMINGS
@VERSIONS
@INTERIM
def test_an_answer_cut_at_any_byte_is_no_answer(
    interim, version, framing, ending
):
    answer = cut_answers.make_answer(framing, version=version, interim=interim)

    async def ask(address):
        return await fetch(http_pool.HttpPool(), address)

    assert not asyncio.run(cut_answers.find_accepted(answer, ending, ask))


# Guards against an answer that is cut in its head and given with what an
# earlier answer on the connection left.
@ENDINGS
@FRAMINGS
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_an_answer_cut_on_a_used_connection_is_no_answer(
    method, framing, ending
):
    answer = cut_answers.make_answer(framing)
    first = scripted.answer(b"first")
    if method == b"HEAD":
        first = first.removesuffix(b"first")

    async def ask(address):
        pool = http_pool.HttpPool()
        request = method + REQUEST.removeprefix(b"GET")
        assert (await fetch(pool, address, request))[0] == 200
        result = await fetch(pool, address)
        assert pool.connections_opened == 1
        return result

    assert not asyncio.run(
        cut_answers.find_accepted(answer, ending, ask, first)
    )


# Narrows the rule: such an answer is ended by the close behind its whole head.
@VERSIONS
@INTERIM
@pytest.mark.parametrize("body", [b"", b"h", b"hello"])
def test_an_answer_without_a_length_ends_with_a_close_behind_its_head(
    body, interim, version
):
    answer = cut_answers.make_answer("close", version=version, interim=interim)
    target = cut_answers.make_target(answer.head + body, scripted.CLOSE)

    async def run():
        async with target.serve(), asyncio.timeout(10):
            return await fetch(http_pool.HttpPool(), target.address)

    assert asyncio.run(run()) == (200, body)


def run_with_session(answer, ending, ask):
    """Returns the cuts that a user of the client session took for whole."""

    async def run():
        async with runners.make_session() as session:
            return await cut_answers.find_accepted(
                answer, ending, lambda address: ask(session, address)
            )

    return asyncio.run(run())


# Guards against such an answer in the client of plain services.
@ENDINGS
@FRAMINGS
@VERSIONS
@INTERIM
def test_an_answer_of_a_plain_service_cut_at_any_byte_is_no_answer(
    interim, version, framing, ending
):
    answer = cut_answers.make_answer(
        framing,
        version=version,
        interim=interim,
        headers=[b"X-Attempt-Id: a-1"],
    )

    async def ask(session, address):
        try:
            return await services.call_service(
                session,
                builders.make_record(address=address),
                method="POST",
                path="/a",
                headers={},
                body=b"ab",
                attempt_id="a-1",
                timeout_s=5.0,
            )
        except attempt_lib.AttemptError:
            return None

    assert not run_with_session(answer, ending, ask)


# Guards against such an answer of a store that is taken for its block table.
@ENDINGS
@FRAMINGS
@VERSIONS
def test_an_answer_of_a_store_cut_at_any_byte_is_no_answer(
    version, framing, ending
):
    body = msgspec.json.encode(stores.OwnershipReply(1, 2, 3, []))
    answer = cut_answers.make_answer(framing, version=version, body=body)

    async def ask(session, address):
        return await stores.acquire_ownership(session, address, "e1", 0)

    assert not run_with_session(answer, ending, ask)


def make_attempt(address):
    return runners.RunnerAttempt(
        attempt_id="r-1.1.aa",
        record=builders.make_record(address=address),
        payload=b"{}",
        version="",
        offset=0,
        deadline=context_lib.monotonic() + 60,
    )


# Guards against such an answer of a runner that is taken for a whole stream,
# which its last event proves, whatever ends its connection.
@ENDINGS
@FRAMINGS
@VERSIONS
def test_a_runners_stream_cut_before_its_last_event_is_not_done(
    version, framing, ending
):
    done = events.DONE_EVENT + b"\n\n"
    answer = cut_answers.make_answer(
        framing,
        version=version,
        body=b"id: r-1.1.aa/0\ndata: x\n\n" + done,
        headers=[b"X-Attempt-Id: r-1.1.aa"],
    )

    async def ask(session, address):
        try:
            attempt = make_attempt(address)
            return [b async for b in runners.stream_attempt(session, attempt)]
        except attempt_lib.AttemptError:
            return None

    accepted = run_with_session(answer, ending, ask)
    assert all(done in data for data, _ in accepted)


ECHO = b"X-Request-Id: r-1"
PLAIN = b"Content-Type: text/plain"
STREAM = b"Content-Type: text/event-stream"
E1 = scripted.event(1)
# Time from the last byte to the end, where cuts come one after the other, in
# seconds.
SHORT_DELAY_S = 0.003


# Guards against a head that a target broke off in, and that reached a caller as
# a success with an empty or a short body.
@ENDINGS
@FRAMINGS
@pytest.mark.parametrize(
    ("path", "service", "kind"),
    [
        (wire_calls.RESUMABLE_PATH, "lm", STREAM),
        ("/status/a", "web", PLAIN),
    ],
)
def test_a_caller_gets_no_success_for_an_answer_cut_at_any_byte(
    path, service, kind, framing, ending
):
    answer = cut_answers.make_answer(framing, body=E1, headers=[ECHO, kind])
    request = wire_calls.make_request(path, extra="Connection: close\r\n")

    def call(*script):
        return wire_calls.run_call(
            request, script, script, service=[service, service]
        )

    accepted = [
        answer.cut(size)
        for size in answer.cut_points()
        if is_success(call(answer.cut(size), SHORT_DELAY_S, ending))
    ]
    assert not accepted
    assert is_success(call(answer.head + answer.body, scripted.CLOSE))


def is_success(received):
    """Returns whether a caller received a whole answer with a status of 2xx."""
    is_whole = received.is_framed_as_complete
    return is_whole and received.data.startswith(b"HTTP/1.1 2")


# Guards against such an answer through a peer, which passes on what it reads.
@ENDINGS
@FRAMINGS
def test_an_answer_cut_at_any_byte_is_no_answer_through_a_peer(framing, ending):
    answer = cut_answers.make_answer(framing, body=E1, headers=[ECHO, PLAIN])
    sizes = answer.cut_points()
    target = scripted.ScriptedTarget(
        *([answer.cut(size), SHORT_DELAY_S, ending] for size in sizes),
        [answer.head + answer.body, scripted.CLOSE],
    )

    async def run():
        peer = test_relays.Instance("peer")
        record = peer.context.targets.entries["a"].record
        async with target.serve(), test_relays.instances(peer) as cut:
            record.address = target.address
            peer.relays.target_port = target_client.TargetClient(
                http_pool.HttpPool(), lambda *_: None
            )

            async def ask():
                reply = await cut.send(request_id="r-1")
                return await test_relays.body_of(reply)

            for _ in sizes:
                with pytest.raises(attempt_lib.AttemptError):
                    await ask()
            return await ask()

    assert asyncio.run(run()) == E1
    assert not target.scripts


# Guards against a stream that is taken for whole because a header names an
# encoding for its transfer: the close that ends it, before any event, was not
# seen as one.
@pytest.mark.parametrize(
    "coding",
    [b"identity", b"gzip", b"chunked, gzip", b"x-chunked"],
)
@pytest.mark.parametrize(
    "path", [wire_calls.RESUMABLE_PATH, wire_calls.STREAM_PATH]
)
def test_a_transfer_coding_without_chunks_is_ended_by_a_close(path, coding):
    answer = cut_answers.make_answer(
        "close", headers=[ECHO, STREAM, b"Transfer-Encoding: " + coding]
    )
    script = [answer.head, SHORT_DELAY_S, scripted.CLOSE]
    request = wire_calls.make_request(path, extra="Connection: close\r\n")
    received = wire_calls.run_call(request, script, script)
    assert not is_success(received)


# Narrows the rule: a stream whose last chunk came may be empty, however the
# name of its coding is written.
@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b" chunked "])
def test_a_stream_of_no_chunks_may_be_empty(coding):
    answer = cut_answers.make_answer(
        "close", headers=[ECHO, STREAM, b"Transfer-Encoding: " + coding]
    )
    request = wire_calls.make_request(
        wire_calls.STREAM_PATH, extra="Connection: close\r\n"
    )
    received = wire_calls.run_call(request, [answer.head + scripted.END])
    assert is_success(received)
