"""Interfaces of forwarding to its callers and targets."""

from collections.abc import AsyncIterator
from collections.abc import Iterable
import dataclasses
import enum
from typing import Protocol

from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.forwarding import stream_origins


@dataclasses.dataclass(slots=True)
class Message:
    """An HTTP request as it is forwarded to a target.

    Attributes:
        method: HTTP method.
        target: Request target in the sense of HTTP: path and query as
            received. Not the target that the request is sent to.
        headers: End-to-end headers as received.
        body: The complete body.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(slots=True)
class Assignment:
    """Parameters of an attempt that are sent in addition to the request.

    Attributes:
        record: The target that the request is sent to.
        remaining_s: Seconds left until the deadline of the call.
        weight_version: Required version of the target's weights; 0 for any.
        salt: Cache salt, the scope of reuse of cached prompts; empty without
            a prompt.
        fetch_addresses: Address to fetch each part of the prompt from; empty
            for none.
        save_addresses: Address of the store to save each part at; empty for
            none.
        resume_after: Id of the last event that the caller received; if
            empty, the caller's own ``Last-Event-ID`` is sent.
    """

    record: targets.TargetRecord
    remaining_s: float
    weight_version: int = 0
    salt: str = ""
    fetch_addresses: list[str] = dataclasses.field(default_factory=list)
    save_addresses: list[str] = dataclasses.field(default_factory=list)
    resume_after: str = ""


@dataclasses.dataclass(slots=True)
class Signals:
    """What a target tells of itself in an answer.

    Attributes:
        limits: All values in which it names its request limit.
        brittle: All values in which it says that it is brittle, and how many
            requests it may turn away in a second.
        rests: All values in which it asks this instance for rest, in seconds.
        cold_times: All values in which it reports for how long it stays cold,
            in milliseconds.
        is_leaving: Whether it says that it leaves.
        is_refused: Whether it had no room for the request, or would not take
            it for another reason, and has not run it.
    """

    limits: list[str] = dataclasses.field(default_factory=list)
    brittle: list[str] = dataclasses.field(default_factory=list)
    rests: list[str] = dataclasses.field(default_factory=list)
    cold_times: list[str] = dataclasses.field(default_factory=list)
    is_leaving: bool = False
    is_refused: bool = False


class Framing(enum.Enum):
    """What ends the body of a response: its length, a last chunk, a close."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Reply(Protocol):
    """The response of a target.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers as received.
        length: Length of the body in bytes, or None if unknown.
        is_stream: Whether the body is an event stream.
        framing: What ends the body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    length: int | None
    is_stream: bool
    framing: Framing

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ``AttemptError`` if it ends early."""

    def close(self) -> None:
        """Ends the exchange; a target still at work sees the disconnect."""


class TargetPort(Protocol):
    """Sends requests to targets."""

    async def send(
        self,
        call: forwarding.Call,
        message: Message,
        assignment: Assignment,
    ) -> Reply:
        """Sends a request and waits for the head of the response.

        Raises:
            calls.AttemptError: No response head was received; the outcome
                of the error says whether the request ran.
        """


class LoadPort(Protocol):
    """Interface to the owners of targets, which know their load."""

    @property
    def is_active(self) -> bool:
        """Whether owners are asked before a call is placed."""

    def is_known(self, identity: str, now: float) -> bool:
        """Returns whether the load of a target is known at a time."""

    async def refresh(self, identities: Iterable[str]) -> bool:
        """Asks for load that is not known well enough.

        Returns:
            Whether an owner was asked and replied in time.
        """


class OriginPort(Protocol):
    """Knows the service and software version that began a stream."""

    def record(
        self, call: forwarding.Call, origin: stream_origins.StreamOrigin
    ) -> None:
        """Records what began the stream of a call."""

    async def find(self, call: forwarding.Call) -> stream_origins.Finding:
        """Returns what began the stream that a call's caller takes up."""


class CallerPort(Protocol):
    """Sends the response of a call to its caller."""

    def has_left(self) -> bool:
        """Returns whether the caller has closed its side of the connection.

        It is known before the event loop has read the close.
        """

    async def send_head(self, reply: Reply, length: int | None) -> None:
        """Sends the head of a response.

        Args:
            reply: The response.
            length: Length of the body in bytes; None if it is not known yet.
        """

    async def send_body(self, data: bytes) -> None:
        """Sends bytes of the body."""

    async def finish(self) -> None:
        """Ends a complete response."""

    def abort(self) -> None:
        """Aborts the connection, so that the response is seen as incomplete."""

    async def send_error(self, error_detail: codes.ErrorDetail) -> None:
        """Sends an error response of this instance."""
