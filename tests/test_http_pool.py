"""Tests the connection pool with truncated, surplus and missing responses."""

import asyncio
import socket

from chivelb_node.links import http_connection
from chivelb_node.links import http_pool
import pytest
import scripted

REQUEST = b"GET /a//b?x=%2f HTTP/1.1\r\nHost: t\r\n\r\n"


def run_scenario(target, scenario):
    async def run():
        pool = http_pool.HttpPool()
        async with target.serve():
            try:
                async with asyncio.timeout(10):
                    await scenario(pool)
            finally:
                pool.close()

    asyncio.run(run())


async def fetch(pool, target, is_response_to_request=lambda head: True):
    exchange = await pool.send(target.address, REQUEST)
    try:
        await exchange.start(is_response_to_request)
        body = b""
        while data := await exchange.read():
            body += data
        return exchange.head.status, body
    finally:
        exchange.close()


def test_a_request_is_written_as_it_is_given():
    target = scripted.ScriptedTarget([scripted.answer()])

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"hello")
        assert target.requests == [REQUEST]

    run_scenario(target, scenario)


def test_a_complete_response_leaves_its_connection_for_the_next_request():
    target = scripted.ScriptedTarget(
        [scripted.answer(b"one")], [scripted.answer(b"two")]
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"one")
        assert await fetch(pool, target) == (200, b"two")
        assert target.connections == 1

    run_scenario(target, scenario)


@pytest.mark.parametrize("ending", [scripted.RESET, scripted.CLOSE])
@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhell",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    ],
)
def test_a_truncated_response_is_not_complete(sent, ending):
    target = scripted.ScriptedTarget([sent, 0.05, ending])

    async def scenario(pool):
        with pytest.raises(http_connection.IncompleteResponseError):
            await fetch(pool, target)

    run_scenario(target, scenario)


def test_a_response_without_a_length_ends_with_its_connection():
    target = scripted.ScriptedTarget(
        [b"HTTP/1.1 200 OK\r\n\r\nhello", 0.05, scripted.CLOSE]
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"hello")

    run_scenario(target, scenario)


def test_a_response_without_a_length_that_is_reset_is_not_complete():
    target = scripted.ScriptedTarget(
        [b"HTTP/1.1 200 OK\r\n\r\nhello", 0.1, scripted.RESET]
    )

    async def scenario(pool):
        exchange = await pool.send(target.address, REQUEST)
        await exchange.start(lambda head: True)
        with pytest.raises(http_connection.IncompleteResponseError):
            while await exchange.read():
                pass
        exchange.close()

    run_scenario(target, scenario)


def test_a_surplus_response_never_reaches_the_next_request():
    target = scripted.ScriptedTarget(
        [scripted.answer(b"mine") + scripted.answer(b"extra")],
        [scripted.answer(b"next")],
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"mine")
        assert await fetch(pool, target) == (200, b"next")
        assert target.connections == 2

    run_scenario(target, scenario)


def test_a_late_surplus_response_ends_its_idle_connection():
    target = scripted.ScriptedTarget(
        [scripted.answer(b"mine"), 0.05, scripted.answer(b"late")],
        [scripted.answer(b"next")],
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"mine")
        await asyncio.sleep(0.2)
        assert await fetch(pool, target) == (200, b"next")
        assert target.connections == 2

    run_scenario(target, scenario)


# Guards against bytes that the kernel holds when the next request is written:
# they would be read as the beginning of its response.
def test_a_connection_with_unread_bytes_is_not_used_again():
    target = scripted.ScriptedTarget(
        [scripted.answer(b"mine"), 0.02, b"HTTP/1.1 200 OK\r\n"],
        [scripted.answer(b"next")],
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"mine")
        (connection,) = pool.idle[target.address]
        connection.transport.pause_reading()
        await asyncio.sleep(0.1)
        assert await fetch(pool, target) == (200, b"next")
        assert target.connections == 2

    run_scenario(target, scenario)


# Guards against an interim response that no request asked for.
def test_a_connection_with_an_interim_response_behind_is_not_used_again():
    target = scripted.ScriptedTarget(
        [scripted.answer(b"mine") + b"HTTP/1.1 103 Early Hints\r\n\r\n"],
        [scripted.answer(b"next")],
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"mine")
        assert await fetch(pool, target) == (200, b"next")
        assert target.connections == 2

    run_scenario(target, scenario)


# Guards against an answer that is lost behind a change of protocol that no
# request asked for: its request waited until its deadline.
def test_an_unrequested_change_of_protocol_is_an_error():
    target = scripted.ScriptedTarget(
        [
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
            b"Connection: upgrade\r\n\r\n" + scripted.answer(b"mine")
        ]
    )

    async def scenario(pool):
        with pytest.raises(http_connection.IncompleteResponseError):
            await fetch(pool, target)

    run_scenario(target, scenario)


def test_a_response_to_another_request_is_skipped():
    target = scripted.ScriptedTarget(
        [
            scripted.answer(b"foreign", X_Request_Id="a"),
            0.02,
            scripted.answer(b"mine", X_Request_Id="b"),
        ]
    )

    async def scenario(pool):
        response = await fetch(
            pool, target, lambda head: head.get(b"x-request-id") == b"b"
        )
        assert response == (200, b"mine")

    run_scenario(target, scenario)


def test_bytes_that_are_no_http_response_are_an_error():
    target = scripted.ScriptedTarget([b"\x00\x01garbage\r\n\r\n"])

    async def scenario(pool):
        with pytest.raises(http_connection.IncompleteResponseError):
            await fetch(pool, target)

    run_scenario(target, scenario)


def test_a_connection_that_the_target_closes_is_not_used_again():
    target = scripted.ScriptedTarget(
        [scripted.answer(b"one", Connection="close")],
        [scripted.answer(b"two")],
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"one")
        assert await fetch(pool, target) == (200, b"two")
        assert target.connections == 2

    run_scenario(target, scenario)


def test_a_connection_is_reused_only_within_half_the_keep_alive_timeout():
    target = scripted.ScriptedTarget(
        [scripted.answer(b"one", Keep_Alive="timeout=1")],
        [scripted.answer(b"two")],
    )

    async def scenario(pool):
        assert await fetch(pool, target) == (200, b"one")
        await asyncio.sleep(0.6)
        assert await fetch(pool, target) == (200, b"two")
        assert target.connections == 2

    run_scenario(target, scenario)


def test_a_refused_connection_is_reported_as_not_sent():
    target = scripted.ScriptedTarget()

    async def scenario(pool):
        port = target.port
        target.port = 1
        with pytest.raises(http_pool.NotSentError):
            await fetch(pool, target)
        target.port = port

    run_scenario(target, scenario)


def test_an_abandoned_exchange_ends_its_connection():
    target = scripted.ScriptedTarget([b"HTTP/1.1 200 OK\r\n", 5.0])

    async def scenario(pool):
        exchange = await pool.send(target.address, REQUEST)
        exchange.close()
        assert not exchange.connection.is_open
        assert not pool.idle

    run_scenario(target, scenario)


def test_a_request_that_is_given_up_is_not_sent_to_its_end():
    # The target reads nothing yet, as on a connection with a long queue, and
    # the rest of the request waits in the kernel.
    request = b"POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n"
    request += bytes(200_000)

    async def receive_all(reader):
        received = 0
        with pytest.raises(ConnectionResetError):
            while data := await reader.read(65_536):
                received += len(data)
        return received

    async def run():
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            pool = http_pool.HttpPool()
            address = f"127.0.0.1:{listening.getsockname()[1]}"
            exchange = await pool.send(address, request)
            accepted, _ = listening.accept()
            exchange.close()
            await asyncio.sleep(0)
            reader, writer = await asyncio.open_connection(sock=accepted)
            try:
                async with asyncio.timeout(10):
                    assert await receive_all(reader) < len(request)
            finally:
                writer.close()

    asyncio.run(run())


# Guards against a body that is taken for none because a request with HEAD went
# before it on the connection.
def test_a_connection_reads_bodies_again_after_a_head_request():
    target = scripted.ScriptedTarget(
        [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"],
        [scripted.answer(b"hello")],
    )

    async def scenario(pool):
        head_request = REQUEST.replace(b"GET", b"HEAD")
        assert await http_pool.fetch(pool, target.address, head_request) == (
            200,
            b"",
        )
        assert await fetch(pool, target) == (200, b"hello")
        assert target.connections == 1

    run_scenario(target, scenario)


def _gives_up(silence_s, phase_s):
    """Returns whether keep-alive closes a connection to a silent target.

    As documented for Linux: with a user timeout, it closes at the first check
    after an unanswered probe that finds nothing received for that long.

    Args:
        silence_s: Duration of the silence, in seconds.
        phase_s: Time between the last byte and the begin of the silence.
    """
    limit_s = http_connection.USER_TIMEOUT_MS / 1_000
    received_at = 0.0
    unanswered = False
    check_at = float(http_connection.KEEPALIVE_IDLE_S)
    while check_at < phase_s + silence_s + limit_s:
        if unanswered and check_at - received_at >= limit_s:
            return True
        unanswered = phase_s <= check_at < phase_s + silence_s
        if unanswered:
            check_at += http_connection.KEEPALIVE_INTERVAL_S
        else:
            received_at = check_at
            check_at += http_connection.KEEPALIVE_IDLE_S
    return False


# Guards against runs and streams that are given up because a sound target was
# silent for a second or so.
@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.5])
def test_a_short_silence_of_a_target_ends_no_connection(silence_s):
    phases = [phase / 20 for phase in range(100)]
    assert not [p for p in phases if _gives_up(silence_s, p)]
    assert http_connection.USER_TIMEOUT_MS / 1_000 > 2 * silence_s


def test_a_target_that_stays_silent_is_given_up_within_five_seconds():
    assert all(_gives_up(60.0, phase / 20) for phase in range(20))
    assert http_connection.USER_TIMEOUT_MS <= 5_000
