"""A target that writes an earlier response once more on a kept connection.

Callers were told that a request had not run that was running: the refusal of
the request before it had come once more.
"""

import asyncio

import builders
from chivelb_core import calls
from chivelb_node.forwarding import ports
from chivelb_node.links import http_pool
from chivelb_platform import target_client
import pytest
import scripted

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 2\r\n\r\nno"
)
ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"


def answer(request_id):
    return scripted.answer(request_id.encode(), X_Request_Id=request_id)


def refusal_of(request_id):
    name = f"X-Request-Id: {request_id}\r\n".encode()
    return REFUSAL.replace(b"Content-Length", name + b"Content-Length")


async def send(client, target, request_id):
    """Returns status and body of the response, or the kind of the failure."""
    now = asyncio.get_running_loop().time()
    call = builders.make_call(
        request_id=request_id, prompt=None, arrived_at=now, deadline=now + 5.0
    )
    record = builders.make_record("r1", address=target.address)
    message = ports.Message("POST", "/x/", [], b"body")
    try:
        async with asyncio.timeout(5.0):
            reply = await client.send(
                call, message, ports.Assignment(record, 5.0)
            )
    except calls.AttemptError as failure:
        return failure.outcome.kind
    except TimeoutError:
        return "timeout"
    try:
        body = b"".join([chunk async for chunk in reply.chunks()])
        return reply.status, body
    finally:
        reply.close()


def run_requests(target, *, pause_s=0.05):
    """Sends requests r-1, r-2, ... and returns what became of each."""

    async def run():
        pool = http_pool.HttpPool()
        client = target_client.TargetClient(pool, lambda *_: None)
        results = []
        async with target.serve():
            for number in range(1, len(target.scripts) + 1):
                results.append(await send(client, target, f"r-{number}"))
                await asyncio.sleep(pause_s)
        pool.close()
        return results

    return asyncio.run(run())


# Guards against "not run" for a request that is running, which is then run
# once more elsewhere.
@pytest.mark.parametrize(
    ("first", "expected"),
    [
        (REFUSAL, calls.OutcomeKind.NOT_RUN),
        (refusal_of("r-1"), calls.OutcomeKind.NOT_RUN),
        (ERROR, (500, b"oops")),
    ],
)
def test_a_response_that_comes_again_is_not_that_of_the_next_request(
    first, expected
):
    target = scripted.ScriptedTarget([first], [first, 0.02, answer("r-2")])
    # A target that does not see its connection closed writes it once more.
    original = target._send_script

    async def send_script(writer, script):
        if target.connections > 1:
            script = [step for step in script if step is not first]
        await original(writer, script)

    target._send_script = send_script
    assert run_requests(target) == [expected, (200, b"r-2")]


# Guards against a connection that goes on to be used although something came
# on it that no request had asked for.
def test_a_connection_with_a_foreign_response_is_not_used_again():
    target = scripted.ScriptedTarget(
        [answer("r-0"), 0.02, answer("r-1")], [answer("r-2")]
    )
    assert run_requests(target) == [(200, b"r-1"), (200, b"r-2")]
    assert target.connections == 2


def test_a_connection_is_used_again_after_a_response_with_its_id():
    target = scripted.ScriptedTarget([answer("r-1")], [answer("r-2")])
    assert run_requests(target) == [(200, b"r-1"), (200, b"r-2")]
    assert target.connections == 1


# Guards against "not run" for a request that runs: a refusal without an id was
# taken for its response, though it may belong to anything on the connection.
# Nor does the request wait, as there may be no other response.
@pytest.mark.parametrize("surplus", [REFUSAL, ERROR], ids=["503", "500"])
@pytest.mark.parametrize("rest", [[0.02, answer("r-2")], []])
def test_a_response_without_an_id_on_a_used_connection_tells_nothing(
    surplus, rest
):
    target = scripted.ScriptedTarget([answer("r-1")], [surplus, *rest])
    assert run_requests(target) == [(200, b"r-1"), calls.OutcomeKind.UNKNOWN]
    assert target.connections == 1


# Guards against a refusal that is lost: on a connection without an earlier
# request it can be for none but this one.
def test_a_response_without_an_id_on_a_new_connection_is_taken():
    target = scripted.ScriptedTarget([REFUSAL])
    assert run_requests(target) == [calls.OutcomeKind.NOT_RUN]


# Guards against a request without an id, whose refusal has none either, that
# meets a connection which was used before.
def test_a_request_without_an_id_has_a_connection_of_its_own():
    target = scripted.ScriptedTarget([answer("r-1")], [REFUSAL])

    async def run():
        pool = http_pool.HttpPool()
        client = target_client.TargetClient(pool, lambda *_: None)
        async with target.serve():
            results = [await send(client, target, each) for each in ("r-1", "")]
        pool.close()
        return results

    assert asyncio.run(run()) == [(200, b"r-1"), calls.OutcomeKind.NOT_RUN]
    assert target.connections == 2


# Guards against a request that is sent and whose answer is not waited for: its
# id has bytes that are no UTF-8.
def test_an_id_of_any_bytes_is_recognized_in_the_response():
    request_id = b"r-\xff".decode("utf-8", "surrogateescape")
    echoed = answer("r-1").replace(b"Id: r-1", b"Id: r-\xff")
    target = scripted.ScriptedTarget([echoed])

    async def run():
        pool = http_pool.HttpPool()
        client = target_client.TargetClient(pool, lambda *_: None)
        async with target.serve():
            result = await send(client, target, request_id)
        pool.close()
        return result

    assert asyncio.run(run()) == (200, b"r-1")
