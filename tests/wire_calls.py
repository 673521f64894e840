"""Calls from a caller's socket through an instance to scripted targets."""

import asyncio
import contextlib

import builders
from chivelb_node.links import http_pool
from chivelb_platform import caller_server
from chivelb_platform import target_client
import fake_ports
import scripted

HEAD = (
    "POST {path} HTTP/{version}\r\nHost: a.example\r\nX-Key: key-w\r\n"
    "X-Request-Id: {request_id}\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n"
    "{extra}\r\nab"
)
# Paths of the routes in ``builders.make_routed_document``.
RESUMABLE_PATH = "/x/a"
STREAM_PATH = "/once/a"


def make_request(path, *, version="1.1", extra="", request_id="r-1"):
    return HEAD.format(
        path=path, version=version, extra=extra, request_id=request_id
    ).encode()


class Received:
    """What a caller received on its connection.

    Attributes:
        data: The bytes.
        was_reset: Whether the connection ended with a reset.
        requests: The requests that each target received, by its name.
    """

    def __init__(self, data, was_reset, requests):
        self.data = data
        self.was_reset = was_reset
        self.requests = requests

    @property
    def is_framed_as_complete(self):
        """Whether the framing tells that the response is complete."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        if b"transfer-encoding: chunked" in head.lower():
            return body.endswith(scripted.END)
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) >= int(line.partition(b":")[2])
        return not self.was_reset

    @property
    def body(self):
        """The body without its chunk framing."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        if b"transfer-encoding: chunked" not in head.lower():
            return body
        decoded = b""
        while body:
            size, _, rest = body.partition(b"\r\n")
            length = int(size or b"0", 16)
            decoded += rest[:length]
            body = rest[length + 2 :]
        return decoded


def _cancel_other_tasks():
    """Cancels all tasks but this one, as the end of the process does."""
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()


async def _receive(port, request, idle_s, stop_after):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    data = b""
    try:
        async with asyncio.timeout(idle_s):
            while chunk := await reader.read(65_536):
                data += chunk
                if stop_after and data.endswith(stop_after):
                    _cancel_other_tasks()
                if data.endswith(scripted.END):
                    break
    except ConnectionResetError:
        return data, True
    except TimeoutError:
        pass
    finally:
        writer.close()
    return data, False


def run_call(request, *scripts, **options):
    """Sends a request to an instance that has one target for each script.

    Args:
        request: The caller's request.
        scripts: Steps of each target, as in ``scripted.ScriptedTarget``.
        options: As in ``run_calls``.
    """
    targets = [scripted.ScriptedTarget(script) for script in scripts]
    return run_calls([request], targets, **options)[0]


def run_calls(
    requests,
    targets,
    *,
    idle_s=10.0,
    stop_after=b"",
    record_signals=None,
    **options,
):
    """Sends requests, one after the other, to an instance.

    A call tries the targets in the order in which they are given.

    Args:
        requests: The requests of callers.
        targets: The scripted targets.
        idle_s: Time after which a caller stops waiting for more bytes.
        stop_after: Bytes after which the instance stops; empty for never.
        record_signals: As in ``TargetClient``; None for ``TargetSignals``.
        options: Further fields of the targets' records, each a list with one
            value for each target.

    Returns:
        What the caller of each request received.
    """

    async def run():
        pool = http_pool.HttpPool()
        async with asyncio.timeout(30), _serve_all(targets):
            records = {
                f"t{number}": {
                    "service": "lm",
                    "address": target.address,
                    "weight_version": "1",
                    **{
                        name: values[number] for name, values in options.items()
                    },
                }
                for number, target in enumerate(targets)
            }
            harness = fake_ports.ForwardingHarness(
                builders.make_context(**records)
            )
            signals = fake_ports.make_signals(harness.context)
            harness.forwarder.target_port = target_client.TargetClient(
                pool, record_signals or signals.record_answer
            )
            _prefer_in_order(harness)
            async with _serve_callers(harness) as port:
                received = [
                    await _receive(port, request, idle_s, stop_after)
                    for request in requests
                ]
            pool.close()
        at_targets = {f"t{n}": t.requests for n, t in enumerate(targets)}
        return [Received(*each, at_targets) for each in received]

    return asyncio.run(run())


@contextlib.asynccontextmanager
async def _serve_callers(harness):
    """Yields the port of an instance that serves callers."""
    server = caller_server.CallerServer(
        harness.context,
        harness.forwarder,
        caller_address="127.0.0.1:0",
        readiness_address="127.0.0.1:0",
    )
    await server.on_start()
    try:
        yield server.servers[0].sockets[0].getsockname()[1]
    finally:
        await server.on_stop()


@contextlib.asynccontextmanager
async def _serve_all(servers):
    async with contextlib.AsyncExitStack() as stack:
        for server in servers:
            await stack.enter_async_context(server.serve())
        yield


def _prefer_in_order(harness):
    """Makes calls try the targets in the order of their names."""
    policy = harness.admission_queue.placement_policy
    eligible = policy.eligible

    def first_eligible(call, now):
        records = sorted(eligible(call, now), key=lambda r: r.identity)
        return records[:1]

    policy.eligible = first_eligible
