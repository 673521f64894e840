"""Requests and responses as they travel on the channel to a relaying peer."""

from collections.abc import AsyncIterator
import dataclasses
from typing import Any
from typing import Protocol

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib
from chivelb_core.document import model as model_lib

from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
from chivelb_node.wire import relay_messages

MAX_DATA_BYTES = 262_144


class ChannelPort(Protocol):
    """One exchange with a peer; see ``links.peer_channel.Channel``."""

    peer: str

    async def send(self, message: Any) -> None:
        """Sends a message, and waits until the receiver keeps up."""

    async def receive(self) -> Any | None:
        """Returns the next message; None once the connection has ended."""

    def close(self) -> None:
        """Ends the exchange."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt of a call, as a relaying peer makes it.

    Attributes:
        call: The call, as far as the peer needs it.
        message: The request to forward.
        assignment: The target and the parameters of the attempt.
    """

    call: forwarding.Call
    message: ports.Message
    assignment: ports.Assignment


async def send_request(
    channel: ChannelPort,
    call: forwarding.Call,
    message: ports.Message,
    assignment: ports.Assignment,
) -> None:
    """Sends an attempt to a peer, which makes it."""
    record = assignment.record
    request = relay_messages.RelayRequest(
        request_id=call.request_id,
        route=call.route_name,
        workspace=call.workspace or "",
        has_workspace=call.workspace is not None,
        priority=call.priority,
        has_prompt=call.prompt is not None,
        identity=record.identity,
        incarnation=record.incarnation,
        remaining_s=assignment.remaining_s,
        weight_version=assignment.weight_version,
        salt=assignment.salt,
        fetch_addresses=assignment.fetch_addresses,
        save_addresses=assignment.save_addresses,
        resume_after=assignment.resume_after,
        method=message.method,
        request_target=message.target.encode("utf-8", "surrogateescape"),
        headers=_encode_headers(message.headers),
        body_bytes=len(message.body),
    )
    await channel.send(request)
    await send_data(channel, message.body)


def workspace_of(request: relay_messages.RelayRequest) -> str | None:
    """Returns the workspace of a request; None on public routes."""
    # Older instances name a workspace without saying that there is one.
    if request.workspace or request.has_workspace:
        return request.workspace
    return None


async def receive_attempt(
    channel: ChannelPort,
    request: relay_messages.RelayRequest,
    route: model_lib.Route,
    record: targets.TargetRecord,
) -> Attempt | None:
    """Receives the body of a request and returns the attempt.

    Args:
        channel: The channel.
        request: The request, the first message of the channel.
        route: Its route.
        record: Its target.

    Returns:
        The attempt, or None if the peer has closed the channel.
    """
    body = bytearray()
    while len(body) < request.body_bytes:
        data = await channel.receive()
        if not isinstance(data, relay_messages.RelayData):
            return None
        body += data.data
    now = context_lib.monotonic()
    call = forwarding.Call(
        request_id=request.request_id,
        route_name=request.route,
        route=route,
        service=record.service,
        workspace=workspace_of(request),
        priority=request.priority,
        prompt=forwarding.Prompt("", (), 0, 0) if request.has_prompt else None,
        arrived_at=now,
        deadline=now + request.remaining_s,
    )
    message = ports.Message(
        request.method,
        request.request_target.decode("utf-8", "surrogateescape"),
        _decode_headers(request.headers),
        bytes(body),
    )
    assignment = ports.Assignment(
        record,
        remaining_s=request.remaining_s,
        weight_version=request.weight_version,
        salt=request.salt,
        fetch_addresses=request.fetch_addresses,
        save_addresses=request.save_addresses,
        resume_after=request.resume_after,
    )
    return Attempt(call, message, assignment)


async def send_data(channel: ChannelPort, data: bytes) -> None:
    """Sends bytes of a body."""
    for start in range(0, len(data), MAX_DATA_BYTES):
        piece = data[start : start + MAX_DATA_BYTES]
        await channel.send(relay_messages.RelayData(piece))


async def send_response(channel: ChannelPort, reply: ports.Reply) -> None:
    """Sends the response of a target as it comes.

    Raises:
        calls.AttemptError: The response broke off.
    """
    head = relay_messages.RelayHead(
        reply.status,
        _encode_headers(reply.headers),
        -1 if reply.length is None else reply.length,
        reply.is_stream,
        reply.framing.value,
    )
    await channel.send(head)
    async for chunk in reply.chunks():
        await send_data(channel, chunk)
    await channel.send(relay_messages.RelayEnd())


class RelayedReply:
    """The response of a target, through a peer; implements ``ports.Reply``."""

    __slots__ = (
        "channel",
        "status",
        "headers",
        "length",
        "is_stream",
        "framing",
        "on_close",
    )

    def __init__(
        self,
        channel: ChannelPort,
        head: relay_messages.RelayHead,
        on_close,
    ) -> None:
        """Takes over a channel on which the head has arrived.

        Args:
            channel: The channel.
            head: Head of the response.
            on_close: Called at the end of the exchange.
        """
        self.channel = channel
        self.status = head.status
        self.headers = _decode_headers(head.headers)
        self.length = None if head.body_bytes < 0 else head.body_bytes
        self.is_stream = head.is_stream
        self.framing = ports.Framing(head.framing)
        self.on_close = on_close

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in chunks.

        Raises:
            calls.AttemptError: The response broke off.
        """
        while True:
            message = await self.channel.receive()
            match message:
                case relay_messages.RelayData():
                    yield message.data
                case relay_messages.RelayEnd():
                    return
                case _:
                    raise failure(self.channel.peer, message)

    def close(self) -> None:
        """Ends the exchange; the peer ends that with the target."""
        self.channel.close()
        self.on_close()


def encode_outcome(outcome: attempt_lib.Outcome) -> relay_messages.RelayFailure:
    """Returns the message that tells of the end of an attempt."""
    return relay_messages.RelayFailure(
        outcome.kind.value,
        outcome.code.number,
        outcome.detail,
        outcome.target_crashed,
    )


def failure(peer: str, message: Any | None) -> calls.AttemptError:
    """Returns the error of an attempt that ended at a peer, or with it.

    Args:
        peer: Name of the peer.
        message: ``RelayFailure``, or whatever came instead of it: then the
            outcome is unknown, and tells nothing of the target.
    """
    if isinstance(message, relay_messages.RelayFailure):
        code = codes.BY_NUMBER.get(message.code, codes.OUTCOME_UNKNOWN)
        return calls.AttemptError(
            attempt_lib.Outcome(
                calls.OutcomeKind(message.outcome),
                code,
                f"through {peer}: {message.detail}",
                message.target_crashed,
            )
        )
    return calls.AttemptError(
        attempt_lib.Outcome(
            calls.OutcomeKind.UNKNOWN,
            codes.OUTCOME_UNKNOWN,
            f"channel to {peer} closed before the response was complete",
        )
    )


def _encode_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[relay_messages.RelayHeader]:
    return [relay_messages.RelayHeader(name, value) for name, value in headers]


def _decode_headers(
    headers: list[relay_messages.RelayHeader],
) -> list[tuple[bytes, bytes]]:
    return [(header.name, header.value) for header in headers]
