"""What forwarding needs of the outside: callers and targets."""

from collections.abc import AsyncIterator
import dataclasses
from typing import Protocol

from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets


@dataclasses.dataclass(slots=True)
class Message:
    """The caller's request as it is passed on.

    Attributes:
        method: HTTP method.
        target: Path and query as they came.
        headers: End-to-end headers as they came.
        body: The whole body.
    """

    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclasses.dataclass(slots=True)
class Assignment:
    """What a target is told beside the request itself.

    Attributes:
        record: The target.
        left_s: Seconds that the target may take.
        weight_version: Version that its weights must have; 0 for any.
        salt: Scope of cached prompts; empty without a prompt.
        fetches: Address to fetch each part of the prompt from; empty for
            none.
        saves: Address of the store to keep each part at; empty for none.
        resume_after: Id of the last event that the caller has; empty
            leaves what the caller asked for.
        fresh: Whether to use a new connection.
    """

    record: targets.TargetRecord
    left_s: float
    weight_version: int = 0
    salt: str = ""
    fetches: list[str] = dataclasses.field(default_factory=list)
    saves: list[str] = dataclasses.field(default_factory=list)
    resume_after: str = ""
    fresh: bool = False


class Reply(Protocol):
    """A target's answer.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers as they came.
        length: Length of the body, or None when it is not told.
        is_stream: Whether the body is a series of events.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    length: int | None
    is_stream: bool

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ``AttemptError`` if it breaks off."""

    def close(self) -> None:
        """Ends the exchange; a target at work sees that nobody listens."""


class TargetPort(Protocol):
    """Sends requests to targets."""

    async def send(
        self,
        call: forwarding.Call,
        message: Message,
        assignment: Assignment,
    ) -> Reply:
        """Sends a request and waits for the head of its answer.

        Raises:
            calls.AttemptError: There is none; its outcome tells whether
                the request ran.
        """


class CallerPort(Protocol):
    """Answers one caller."""

    async def begin(self, reply: Reply) -> None:
        """Passes the head of an answer on."""

    async def write(self, data: bytes) -> None:
        """Passes bytes of the body on."""

    async def finish(self) -> None:
        """Ends a complete answer."""

    def cut(self) -> None:
        """Ends the connection so that the answer does not look complete."""

    async def refuse(self, fault: codes.Fault) -> None:
        """Answers with a fault of this instance."""
