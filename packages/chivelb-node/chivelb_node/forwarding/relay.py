"""Relays the responses of targets to the caller of one call."""

from collections.abc import Callable
import contextlib
import dataclasses

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import response_budget
from chivelb_core.calls import attempt as attempt_lib

from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import events
from chivelb_node.links import second_responses

MAX_BUFFERED_BYTES = 262_144
# Smaller bodies are always buffered.
MIN_BUFFERED_BYTES = 16_384


@dataclasses.dataclass(slots=True)
class Delivery:
    """Tracks which part of a response has reached the caller.

    Attributes:
        head_sent: Whether the response head was sent to the caller.
        last_event_id: Id of the last event sent, or empty.
        status: HTTP status sent to the caller; 0 before the head is sent.
        first_byte_at: Monotonic time of the first byte in seconds, or None.
        framing: What ends the response of the target that replied last, or
            None.
        target_events: Number of runs of events that this target sent.
        unfinished_event: Whether a part of an event was received after the
            last complete one, from any target.
        begun_event_id: Id of that event, as far as it was received.
    """

    head_sent: bool = False
    last_event_id: str = ""
    status: int = 0
    first_byte_at: float | None = None
    framing: ports.Framing | None = None
    target_events: int = 0
    unfinished_event: bool = False
    begun_event_id: str = ""


class ResponseRelay:
    """Sends the caller one response, made of the replies to its attempts.

    Attributes:
        caller: Connection to the caller.
        request_id: Id that the responses to the request echo.
        delivery: What has reached the caller.
        buffered: Bytes that are held until they can be sent.
    """

    __slots__ = ("caller", "request_id", "delivery", "buffered")

    def __init__(
        self,
        caller: ports.CallerPort,
        request_id: str,
        budget: response_budget.ResponseBudget | None = None,
    ) -> None:
        """Creates a relay that has sent nothing.

        Args:
            caller: Connection to the caller.
            request_id: Id that the responses to the request echo.
            budget: Budget of what responses buffer; None for one of its own.
        """
        self.buffered = response_budget.BufferedBytes(
            budget or response_budget.ResponseBudget()
        )
        self.caller = caller
        self.request_id = request_id
        self.delivery = Delivery()

    async def relay_stream(
        self,
        reply: ports.Reply,
        *,
        on_events: Callable[[], None],
        on_answer: Callable[[], None],
        follows: str = "",
    ) -> None:
        """Relays an event stream, or the rest of one that was begun.

        Args:
            reply: The reply of a target.
            on_events: Called before events are sent.
            on_answer: Called once, when the answer goes on behind its first
                events, or ends with them.
            follows: Id of the event that the first one must follow; empty for
                the start of the stream.

        Raises:
            calls.AttemptError: The stream is invalid or not complete.
        """
        try:
            await self._relay_events(reply, on_events, on_answer, follows)
        except events.StreamError as error:
            raise _unknown_outcome(
                codes.OUTCOME_UNKNOWN,
                str(error),
                target_crashed=_shows_crash(error, reply),
            ) from None
        self._check_end(reply)
        if self.delivery.target_events == 1:
            on_answer()
        await self._send_head(reply)
        await self.caller.finish()

    def _check_end(self, reply: ports.Reply) -> None:
        """Raises ``AttemptError`` if the end of a stream is not proved.

        A close is the end of a stream only behind an event: the connection may
        have been lost before the target had written anything. A stream of
        which a part of an event was received has that event still to come.
        """
        if self.delivery.target_events:
            return
        if reply.framing is ports.Framing.CLOSE:
            raise _unknown_outcome(
                codes.OUTCOME_UNKNOWN,
                "connection closed before the first event",
                target_crashed=True,
            )
        if self.delivery.unfinished_event:
            raise _unknown_outcome(
                codes.OUTCOME_UNKNOWN,
                f"resume ended without the event begun after event "
                f"{self.delivery.last_event_id!r}",
            )

    async def _relay_events(
        self,
        reply: ports.Reply,
        on_events: Callable[[], None],
        on_answer: Callable[[], None],
        follows: str,
    ) -> None:
        delivery = self.delivery
        incomplete = bytearray()
        runs = events.split_events(reply.chunks(), incomplete, self.buffered)
        last_id = ""
        try:
            async with contextlib.aclosing(runs):
                async for received in runs:
                    run = events.ordered_prefix(received, last_id)
                    if reply.framing is ports.Framing.CLOSE:
                        self._check_single(run)
                    event_id = events.last_event_id(run)
                    if event_id:
                        _check_continues(run, follows, delivery.begun_event_id)
                        follows = ""
                        last_id = event_id
                    if run:
                        on_events()
                        await self._send_head(reply)
                        await self.caller.send_body(run)
                    delivery.last_event_id = event_id or delivery.last_event_id
                    self._record_run(run, on_answer)
                    if len(run) < len(received):
                        # What follows is no part of this stream either.
                        incomplete.clear()
                        raise events.StreamError(
                            f"event out of order behind event {last_id!r}"
                        )
        finally:
            self.buffered.set(0)
            if events.has_event(incomplete):
                delivery.unfinished_event = True
                delivery.begun_event_id = events.begun_event_id(incomplete)

    def _record_run(self, run: bytes, on_answer: Callable[[], None]) -> None:
        """Records a run of complete events; others have comments only."""
        if not events.has_event(run):
            return
        self.delivery.target_events += 1
        self.delivery.unfinished_event = False
        self.delivery.begun_event_id = ""
        if self.delivery.target_events == 2:
            on_answer()

    async def relay_body(
        self, reply: ports.Reply, *, should_retry: Callable[[], bool]
    ) -> None:
        """Relays a response that is not an event stream.

        The body is buffered until it is complete, so that a failed attempt
        can still be retried. Bodies above ``MAX_BUFFERED_BYTES``, or above
        their share of what responses may buffer, are sent as they arrive.

        Args:
            reply: The reply of a target.
            should_retry: Returns whether another attempt is to be made instead,
                as long as nothing was sent.

        Raises:
            calls.AttemptError: The response is not complete, does not continue
                the stream that was begun, or another attempt is to be made.
        """
        if self.delivery.head_sent:
            raise _unknown_outcome(
                codes.TARGET_FAILED,
                f"resume answered with status {reply.status}",
            )
        try:
            rest = await self._relay_large_body(reply)
        finally:
            self.buffered.set(0)
        if not self.delivery.head_sent and should_retry():
            raise _unknown_outcome(
                codes.TARGET_FAILED, f"status {reply.status}"
            )
        self._check_unframed(reply, rest)
        await self._send_head(reply)
        if rest:
            await self.caller.send_body(rest)
        await self.caller.finish()

    async def _relay_large_body(self, reply: ports.Reply) -> bytes:
        """Relays what is too large to be buffered, and returns the rest."""
        buffered = []
        size = held = 0
        is_large = False
        chunks = reply.chunks()
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                buffered.append(chunk)
                size += len(chunk)
                self.buffered.set(size)
                is_large = is_large or self.buffered.exceeds(
                    MAX_BUFFERED_BYTES, MIN_BUFFERED_BYTES
                )
                # Held bytes are searched once more, with at least as many new
                # ones.
                if is_large and size >= 2 * held:
                    data = b"".join(buffered)
                    # Not kept twice while the caller reads slowly.
                    buffered.clear()
                    del chunk
                    held = self._check_unframed(reply, data)
                    await self._send_head(reply)
                    await self.caller.send_body(data[: size - held])
                    buffered = [data[size - held :]]
                    size = held
        return b"".join(buffered)

    def _check_unframed(self, reply: ports.Reply, data: bytes) -> int:
        """Checks bytes of a body that only the close of its connection frames.

        Returns:
            Number of bytes at the end in which the head of another response
            may have begun; they must not be sent before more were received.

        Raises:
            calls.AttemptError: The bytes hold the head of another response.
        """
        if reply.framing is not ports.Framing.CLOSE:
            return 0
        self._check_single(data)
        return min(len(data), second_responses.MAX_HEAD_BYTES)

    def _check_single(self, body: bytes) -> None:
        """Raises ``AttemptError`` if bytes hold the head of a response."""
        request_id = self.request_id.encode("utf-8", "surrogateescape")
        if second_responses.is_in_body(body, request_id):
            raise _unknown_outcome(
                codes.TARGET_FAILED, "second response behind the body"
            )

    async def _send_head(self, reply: ports.Reply) -> None:
        delivery = self.delivery
        if delivery.head_sent:
            return
        delivery.head_sent = True
        delivery.status = reply.status
        delivery.first_byte_at = context_lib.monotonic()
        # Another target may continue a stream, with another length.
        length = None if reply.is_stream else reply.length
        await self.caller.send_head(reply, length)


def _check_continues(run: bytes, last_event_id: str, begun_id: str) -> None:
    """Raises ``StreamError`` if a resumed stream begins too early or too late.

    Args:
        run: First run of events with an id.
        last_event_id: Id of the event that it must follow, or empty.
        begun_id: Id of the event that an earlier target began, or empty.
    """
    if events.leaves_out(run, begun_id):
        raise events.StreamError(
            f"resumed stream begins at event {events.first_event_id(run)!r}, "
            f"without event {begun_id!r} that was begun"
        )
    if last_event_id and events.is_repeated(run, last_event_id):
        raise events.StreamError(
            f"resumed stream begins at event {events.first_event_id(run)!r}, "
            f"expected one after {last_event_id!r}"
        )


def _shows_crash(error: events.StreamError, reply: ports.Reply) -> bool:
    """Returns whether an invalid stream presumes a crash of its target.

    A connection that was closed in the middle of an event does, like any other
    that is lost within a response; a last chunk there is orderly.
    """
    return (
        isinstance(error, events.TruncatedStreamError)
        and reply.framing is ports.Framing.CLOSE
    )


def _unknown_outcome(
    code: codes.ResultCode, detail: str, *, target_crashed: bool = False
) -> calls.AttemptError:
    return calls.AttemptError(
        attempt_lib.Outcome(
            calls.OutcomeKind.UNKNOWN, code, detail, target_crashed
        )
    )
