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
    "X-Request-Id: r-1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n"
    "{extra}\r\nab"
)
# Paths of the routes in ``builders.make_routed_document``.
RESUMABLE_PATH = "/x/a"
STREAM_PATH = "/once/a"


def make_request(path, *, version="1.1", extra=""):
    return HEAD.format(path=path, version=version, extra=extra).encode()


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


def run_call(request, *scripts, idle_s=10.0, stop_after=b"", **options):
    """Sends a request to an instance that has one target for each script.

    A call tries the targets in the order of the scripts.

    Args:
        request: The caller's request.
        scripts: Steps of each target, as in ``scripted.ScriptedTarget``.
        idle_s: Time after which the caller stops waiting for more bytes.
        stop_after: Bytes after which the instance stops; empty for never.
        options: Further fields of the targets' records, each a list with one
            value for each target.
    """

    async def run():
        servers = [scripted.ScriptedTarget(script) for script in scripts]
        pool = http_pool.HttpPool()
        async with asyncio.timeout(20):
            async with _serve_all(servers):
                context = builders.make_context(
                    **{
                        f"t{number}": {
                            "service": "lm",
                            "address": server.address,
                            "weight_version": "1",
                            **{k: v[number] for k, v in options.items()},
                        }
                        for number, server in enumerate(servers)
                    }
                )
                harness = fake_ports.ForwardingHarness(context)
                harness.forwarder.target_port = target_client.TargetClient(pool)
                _prefer_in_order(harness)
                caller_side = caller_server.CallerServer(
                    context,
                    harness.forwarder,
                    caller_address="127.0.0.1:0",
                    readiness_address="127.0.0.1:0",
                )
                await caller_side.on_start()
                port = caller_side.servers[0].sockets[0].getsockname()[1]
                try:
                    data, was_reset = await _receive(
                        port, request, idle_s, stop_after
                    )
                finally:
                    await caller_side.on_stop()
                    pool.close()
        requests = {f"t{n}": s.requests for n, s in enumerate(servers)}
        return Received(data, was_reset, requests)

    return asyncio.run(run())


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
