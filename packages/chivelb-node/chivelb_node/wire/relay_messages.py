"""Messages of a channel on which a peer sends a request to a target.

The instance that opens the channel sends ``RelayRequest`` and the body as
``RelayData``. The peer replies with ``RelayRefusal`` or ``RelayFailure``, or
with ``RelayHead``, the body as ``RelayData``, and ``RelayEnd``.
"""

from typing import Literal

import msgspec

Scope = Literal["all", "service", "target"]


class RelayHeader(msgspec.Struct, rename="camel", frozen=True):
    """A header of a request or a response, as received."""

    name: bytes
    value: bytes


class RelayRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks a peer to send an attempt of a call to a target.

    Attributes:
        request_id: Request id of the caller.
        route: Name of the route.
        workspace: Workspace of the caller, which the sender has authenticated.
        priority: Priority of the call.
        has_prompt: Whether the call has a prompt.
        identity: The target.
        incarnation: Lifetime of the target.
        remaining_s: Seconds left until the deadline of the call.
        weight_version: Required version of the target's weights; 0 for any.
        salt: Cache salt; empty without a prompt.
        fetch_addresses: Address to fetch each part of the prompt from.
        save_addresses: Address of the store to save each part at.
        resume_after: Id of the last event that the caller has; may be empty.
        method: HTTP method.
        request_target: Path and query.
        headers: End-to-end headers.
        body_bytes: Length of the body, which follows.
        has_workspace: Whether the call has a workspace, whose name may be
            empty.
    """

    request_id: str
    route: str
    workspace: str
    priority: int
    has_prompt: bool
    identity: str
    incarnation: int
    remaining_s: float
    weight_version: int
    salt: str
    fetch_addresses: list[str]
    save_addresses: list[str]
    resume_after: str
    method: str
    request_target: bytes
    headers: list[RelayHeader]
    body_bytes: int
    has_workspace: bool


class RelayData(msgspec.Struct, rename="camel", frozen=True):
    """Bytes of a body."""

    data: bytes


class RelayHead(msgspec.Struct, rename="camel", frozen=True):
    """Head of the response of a target.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body_bytes: Length of the body; -1 if unknown.
        is_stream: Whether the body is an event stream.
        framing: What ends the body: a value of ``ports.Framing``.
    """

    status: int
    headers: list[RelayHeader]
    body_bytes: int
    is_stream: bool
    framing: str


class RelayEnd(msgspec.Struct, rename="camel", frozen=True):
    """The response of the target was received completely."""


# Reason of a refusal by a peer that has no connection to the target either.
NO_PATH = "no path to the target"


class RelayRefusal(msgspec.Struct, rename="camel", frozen=True):
    """The peer has sent nothing to the target, and another peer may.

    Attributes:
        reason: Why, for logs.
        scope: What the peer does not send to now: anything, this service, or
            this target.
    """

    reason: str
    scope: Scope


class RelayFailure(msgspec.Struct, rename="camel", frozen=True):
    """The attempt has ended without a complete response of the target.

    Attributes:
        outcome: Execution status: a value of ``calls.OutcomeKind``.
        code: Number of the result code.
        detail: Description for logs and callers.
        target_crashed: Whether the target is presumed to have crashed.
    """

    outcome: str
    code: int
    detail: str
    target_crashed: bool
