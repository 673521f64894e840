"""Targets that answer a request and then begin to answer it once more."""

import asyncio
import dataclasses

import builders
from chivelb_core import calls
from chivelb_node.forwarding import ports
from chivelb_node.links import http_pool
from chivelb_platform import target_client
import scripted

# Waited for a response that was read as a part of another one.
DEADLINE_S = 1.0
# Time by which the copy of an answer comes before the next one.
COPY_LEAD_S = 0.05
# On a busy machine, more at a time would exceed the deadline by themselves.
MAX_EXCHANGES = 16
FAILURE = "500 Internal Server Error"


@dataclasses.dataclass(slots=True, frozen=True)
class Received:
    """A response as the client of targets gives it on.

    Attributes:
        status: HTTP status.
        seals: Values of all its ``X-Response-Seal`` headers.
        body: The decoded body.
    """

    status: int
    seals: tuple[bytes, ...]
    body: bytes


def plain(request_id, *, status="200 OK", id_first=True):
    """Returns a response with a length, and its id first or last."""
    body = f"body of {request_id}, {status}".encode()
    headers = [
        "Content-Type: text/plain",
        f"X-Response-Seal: seal-{request_id}",
        f"Content-Length: {len(body)}",
    ]
    return _with_id(request_id, status, headers, id_first) + body


def streamed(request_id, *, status="200 OK", id_first=True):
    """Returns a chunked stream of two events, and its id first or last."""
    headers = [
        "Content-Type: text/event-stream",
        f"X-Response-Seal: seal-{request_id}",
        "Transfer-Encoding: chunked",
    ]
    events = (scripted.event(1, request_id), scripted.event(2, request_id))
    chunks = b"".join(scripted.chunk(event) for event in events)
    return (
        _with_id(request_id, status, headers, id_first) + chunks + scripted.END
    )


def _with_id(request_id, status, headers, id_first):
    headers.insert(0 if id_first else 3, f"X-Request-Id: {request_id}")
    return "\r\n".join([f"HTTP/1.1 {status}", *headers, "", ""]).encode()


async def send(
    client, address, request_id, deadline_s=DEADLINE_S, kind="streaming"
):
    """Returns what is received for a request, or the kind of its failure.

    Args:
        client: Client for targets.
        address: ``host:port`` of the target.
        request_id: Id of the request.
        deadline_s: Time for it, in seconds.
        kind: Kind of its route.
    """
    now = asyncio.get_running_loop().time()
    call = builders.make_call(
        request_id=request_id,
        prompt=None,
        arrived_at=now,
        deadline=now + deadline_s,
        route=builders.make_route(kind=kind),
    )
    record = builders.make_record("r1", address=address)
    message = ports.Message("POST", "/x/", [], b"body")
    assignment = ports.Assignment(record, deadline_s)
    try:
        async with asyncio.timeout(deadline_s):
            reply = await client.send(call, message, assignment)
            return await _read(reply)
    except TimeoutError:
        return "timeout"
    except calls.AttemptError as failure:
        return failure.outcome.kind


async def _read(reply):
    try:
        body = b"".join([chunk async for chunk in reply.chunks()])
    finally:
        reply.close()
    seals = (value for name, value in reply.headers if name.endswith(b"-Seal"))
    return Received(reply.status, tuple(seals), body)


async def exchange_two(first_script, second_script):
    """Sends requests ``a`` and ``b``, one after the other.

    Args:
        first_script: What the target sends for ``a``; see ``scripted``.
        second_script: What it sends for ``b``.

    Returns:
        What is received for each, and the number of connections.
    """
    target = scripted.ScriptedTarget(first_script, second_script)
    pool = http_pool.HttpPool()
    client = target_client.TargetClient(pool, lambda *_: None)
    async with target.serve():
        first = await send(client, target.address, "a")
        second = await send(client, target.address, "b")
    pool.close()
    return first, second, target.connections


class RepeatingTarget(scripted.ScriptedTarget):
    """Answers requests in turn; on a used connection it repeats itself first.

    A late copy comes on the connection of the request that it answers.
    """

    async def _answer_all(self, reader, writer):
        copy = []
        while self.scripts:
            self.requests.append(await self._read(reader))
            script = self.scripts.pop(0)
            await self._send_script(writer, [*copy, *script])
            copy = [*script, COPY_LEAD_S]
