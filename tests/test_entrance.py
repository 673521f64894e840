"""Requests that the caller server accepts or rejects, and the responses."""

import asyncio

import builders
from chivelb_core import document
from chivelb_node.telemetry import metrics_server
from chivelb_platform import caller_server
import fake_ports
import pytest

PDF = {"a": {"service": "web"}}
HEAD = (
    b"POST /pdf/a HTTP/1.1\r\nHost: a.example\r\n"
    b"X-Key: key-w\r\nX-Request-Id: r-1\r\n"
)
LIMITS = document.Limits(
    max_header_bytes=1_000,
    max_body_bytes=1_000,
    header_timeout_s=0.2,
    idle_timeout_s=0.3,
)


def make_reply():
    return fake_ports.FakeReply(b"done", status=200)


async def exchange(port, *steps):
    """Sends each step that is bytes, sleeps for each number of seconds.

    Returns all bytes that were received.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        for step in steps:
            if isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        async with asyncio.timeout(5):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def run_caller_server(*steps, replies=1):
    """Returns the received bytes and the number of forwarded requests."""

    async def run():
        context = builders.make_context(
            builders.make_routed_document(limits=LIMITS), **PDF
        )
        harness = fake_ports.ForwardingHarness(
            context, *(make_reply() for _ in range(replies))
        )
        server = caller_server.CallerServer(
            context,
            harness.forwarder,
            caller_address="127.0.0.1:0",
            readiness_address="127.0.0.1:0",
        )
        await server.on_start()
        port = server.servers[0].sockets[0].getsockname()[1]
        try:
            return await exchange(port, *steps), len(harness.targets.sent)
        finally:
            await server.on_stop()

    return asyncio.run(run())


def statuses(received):
    return [
        int(line.split()[1])
        for line in received.split(b"\r\n")
        if line.startswith(b"HTTP/1.")
    ]


def test_a_complete_request_is_served_and_the_connection_kept_alive():
    request = HEAD + b"Content-Length: 2\r\n\r\nab"
    received, sent = run_caller_server(request, request, replies=2)
    assert (statuses(received), sent) == ([200, 200], 2)


def test_a_chunked_body_is_served():
    request = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
    assert run_caller_server(request)[1] == 1


@pytest.mark.parametrize(
    ("lines", "status"),
    [
        (b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", 400),
        (b"Content-Length: 2\r\nContent-Length: 3\r\n", 400),
        (b"Content-Length: -2\r\n", 400),
        (b"Content-Length: 2000\r\n", 413),
        (b"X-Long: " + b"a" * 2_000 + b"\r\nContent-Length: 2\r\n", 431),
        (b"X-Long: " + b"a" * 90_000 + b"\r\nContent-Length: 2\r\n", 431),
    ],
)
def test_a_request_that_must_not_be_forwarded_is_rejected_with_a_code(
    lines, status
):
    received, sent = run_caller_server(HEAD + lines + b"\r\nab")
    assert (statuses(received), sent) == ([status], 0)
    assert b"X-Result-Code" in received


@pytest.mark.parametrize(
    "data", [b"\x16\x03\x01\x02\x00\xff\xfe\r\n\r\n", b"hello\r\n\r\n"]
)
def test_bytes_that_are_not_http_are_rejected(data):
    received, sent = run_caller_server(data)
    assert (statuses(received), sent) == ([400], 0)


def test_an_incomplete_request_head_is_rejected_after_a_timeout():
    received, sent = run_caller_server(HEAD[:40])
    assert (statuses(received), sent) == ([408], 0)


def test_a_keep_alive_connection_is_closed_without_another_response():
    request = HEAD + b"Content-Length: 2\r\n\r\nab"
    received, sent = run_caller_server(request, 0.5)
    assert (statuses(received), sent) == ([200], 1)


def test_an_incomplete_body_is_never_forwarded(monkeypatch):
    monkeypatch.setattr(caller_server, "BODY_TIMEOUT_S", 0.2)
    received, sent = run_caller_server(HEAD + b"Content-Length: 9\r\n\r\nab")
    assert (statuses(received), sent) == ([408], 0)


def test_an_oversized_chunked_body_is_rejected():
    chunk = b"3e8\r\n" + b"a" * 1_000 + b"\r\n"
    received, sent = run_caller_server(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + 3 * chunk
    )
    assert (statuses(received), sent) == ([413], 0)


def test_a_missing_or_unknown_key_is_rejected():
    for key in (b"", b"X-Key: nobody\r\n"):
        head = b"POST /pdf/a HTTP/1.1\r\nHost: a.example\r\n" + key
        received, sent = run_caller_server(
            head + b"Content-Length: 0\r\n\r\n", 0.5
        )
        assert (statuses(received), sent) == ([401], 0)


def test_metrics_are_served_at_the_configured_address():
    async def run():
        context = builders.make_context(**PDF)
        harness = fake_ports.ForwardingHarness(context, make_reply())
        route = builders.make_routed_document().routes["pdf"]
        call = builders.make_call(route, route_name="pdf", prompt=None)
        call.deadline = 1e12
        await harness.serve(call)
        served = metrics_server.MetricsServer(
            context.metrics, listen="127.0.0.1:0"
        )
        await served.on_start()
        try:
            request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
            return await exchange(
                served.port, request + b"Connection: close\r\n\r\n"
            )
        finally:
            await served.on_stop()

    text = asyncio.run(run()).decode()
    labels = 'class_name="pdf",code="0",workspace="all"'
    assert f"chivelb_outcomes_total{{{labels}}} 1.0" in text
    assert "chivelb_queue_wait_seconds_bucket" in text
    assert "chivelb_first_token_seconds_bucket" in text


def test_a_metrics_address_in_use_does_not_stop_the_instance():
    async def run():
        context = builders.make_context()
        first = metrics_server.MetricsServer(
            context.metrics, listen="127.0.0.1:0"
        )
        await first.on_start()
        listen = f"127.0.0.1:{first.port}"
        second = metrics_server.MetricsServer(context.metrics, listen=listen)
        await second.on_start()
        assert second.port == 0
        await first.on_stop()

    asyncio.run(run())


def test_a_request_rejected_before_it_becomes_a_call_is_logged_and_counted(
    capsys,
):
    received, _ = run_caller_server(HEAD + b"Content-Length: 2000\r\n\r\n")
    assert b"413" in received
    printed = capsys.readouterr().out
    assert "call refused" in printed
    assert "r-1" in printed
    assert "1003" in printed


def test_a_connection_without_any_request_is_closed_without_a_response():
    assert run_caller_server() == (b"", 0)
