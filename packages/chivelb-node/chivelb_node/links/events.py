"""Generators that split and validate a runner's server-sent events."""

from collections.abc import AsyncIterator
import dataclasses
import re

from chivelb_core import response_budget
import msgspec

DONE_EVENT = b"data: [DONE]"
EVENT_DELIMITER = b"\n\n"
# Behind a line that ends with LF or CRLF.
CRLF_EVENT_DELIMITER = b"\n\r\n"
LINE_ENDS = b"\r\n"
MAX_DELIMITER_OVERLAP_BYTES = len(CRLF_EVENT_DELIMITER) - 1
MAX_EVENT_BYTES = 262_144
# What an event may have in any case, however much responses buffer.
MIN_EVENT_BYTES = 16_384
MAX_OFFSET_DIGITS = 9
# A numeric id, or the head of another response in place of an event.
_ID_OR_STATUS = re.compile(
    rb"^(?:id:[ \t]*(\d+)[ \t]*\r?$|HTTP/\d\.\d \d{3})", re.MULTILINE
)


class StreamError(Exception):
    """A stream violates the protocol, or belongs to another attempt."""


class TruncatedStreamError(StreamError):
    """A stream ends in the middle of an event."""


@dataclasses.dataclass(slots=True)
class Batch:
    """Complete events that arrived together.

    Attributes:
        data: Bytes of the events, to be forwarded unchanged.
        tokens: Number of token events in the batch.
        done: Whether the batch ends the response.
        is_heartbeat: Whether the batch is empty because only heartbeats or
            duplicate events arrived.
    """

    data: bytes
    tokens: int
    done: bool = False
    is_heartbeat: bool = False


async def split_events(
    chunks: AsyncIterator[bytes],
    incomplete: bytearray | None = None,
    buffered: response_budget.BufferedBytes | None = None,
) -> AsyncIterator[bytes]:
    """Yields runs of complete events; buffers an incomplete last event.

    Blank lines after the last event form a run of their own.

    Args:
        chunks: The stream.
        incomplete: Empty buffer; holds the incomplete last event, also after
            the stream has failed.
        buffered: Counts the bytes of the incomplete event, and limits them to
            its share of what responses may buffer; None without such a limit.

    Raises:
        StreamError: An event exceeds ``MAX_EVENT_BYTES`` or its share.
        TruncatedStreamError: The stream ends in the middle of an event.
    """
    if incomplete is None:
        incomplete = bytearray()
    if buffered is None:
        buffered = response_budget.BufferedBytes(
            response_budget.ResponseBudget()
        )
    async for chunk in chunks:
        # A delimiter may begin with bytes received before.
        unsearched = max(0, len(incomplete) - MAX_DELIMITER_OVERLAP_BYTES)
        incomplete.extend(chunk)
        end = _end_of_events(incomplete, unsearched)
        if end:
            run = bytes(incomplete[:end])
            del incomplete[:end]
            yield run
        buffered.set(len(incomplete))
        if buffered.exceeds(MAX_EVENT_BYTES, MIN_EVENT_BYTES):
            raise StreamError(
                f"event of {len(incomplete)} bytes exceeds {MAX_EVENT_BYTES} "
                f"bytes or its share of what responses may buffer"
            )
    if incomplete.strip(LINE_ENDS):
        raise TruncatedStreamError(
            f"stream ended {len(incomplete)} bytes into an event"
        )
    if incomplete:
        yield bytes(incomplete)


def has_event(data: bytes | bytearray) -> bool:
    """Returns whether bytes of a stream hold more than comments."""
    return any(line and not line.startswith(b":") for line in data.splitlines())


def _end_of_events(data: bytes | bytearray, start: int) -> int:
    """Returns the offset behind the last complete event; 0 for none.

    Args:
        data: The bytes.
        start: Offset of the first byte to search.
    """
    end = 0
    for delimiter in (EVENT_DELIMITER, CRLF_EVENT_DELIMITER):
        found = data.rfind(delimiter, start)
        if found >= 0:
            end = max(end, found + len(delimiter))
    return end


def first_event_id(run: bytes) -> str:
    """Returns the id of the first event with one in a run, or empty."""
    start = 0 if run.startswith(b"id:") else run.find(b"\nid:") + 1
    if not run.startswith(b"id:", start):
        return ""
    return _event_id_at(run, start)


def begun_event_id(data: bytes | bytearray) -> str:
    """Returns the id of an incomplete event if all of its line is there."""
    complete_lines = bytes(data[: data.rfind(b"\n") + 1])
    return first_event_id(complete_lines)


def leaves_out(run: bytes, begun_id: str) -> bool:
    """Returns whether a run begins behind an event that must come first.

    Args:
        run: Run of events.
        begun_id: Id of an event that an earlier target began, or empty.
    """
    first_id = first_event_id(run)
    first, begun = _id_order(first_id), _id_order(begun_id)
    return first is not None and begun is not None and first > begun


def _event_id_at(run: bytes, start: int) -> str:
    line = run[start + len(b"id:") : run.find(b"\n", start)]
    return line.strip().decode("ascii", "replace")


def last_event_id(run: bytes) -> str:
    """Returns the id of the last event in a run of events, or empty."""
    start = run.rfind(b"id:")
    while start > 0 and run[start - 1 : start] != b"\n":
        start = run.rfind(b"id:", 0, start)
    if start < 0:
        return ""
    return _event_id_at(run, start)


def is_repeated(run: bytes, last_id: str) -> bool:
    """Returns whether a run begins at or before an event already received.

    Ids increase. If one of them is no number, only an equal id shows it.

    Args:
        run: Run of events.
        last_id: Id of the last event received.
    """
    first_id = first_event_id(run)
    first, last = _id_order(first_id), _id_order(last_id)
    if first is not None and last is not None:
        return first <= last
    return first_id == last_id


def ordered_prefix(run: bytes, last_id: str) -> bytes:
    """Returns the events of a run up to the first one that is out of order.

    The ids of a response increase. An event whose id does not, and the head of
    another response, are no part of it.

    Args:
        run: Run of complete events.
        last_id: Id of the last event of the response before, or empty.
    """
    previous = _id_order(last_id)
    for match in _ID_OR_STATUS.finditer(run):
        order = _id_order(match[1] or b"")
        if order is None or (previous is not None and order <= previous):
            return run[: _end_of_events(run[: match.start()], 0)]
        previous = order
    return run


def _id_order(text: str | bytes) -> tuple[int, bytes] | None:
    """Returns what orders numeric ids of any length; None for other ids."""
    if isinstance(text, str):
        text = text.encode("utf-8", "replace")
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0")
    return len(digits), digits


async def check_events(
    runs: AsyncIterator[bytes], attempt_id: str, offset: int
) -> AsyncIterator[Batch]:
    """Yields batches of the attempt's events, in order and without duplicates.

    Args:
        runs: Runs of complete events.
        attempt_id: Id that each token event must carry.
        offset: Offset of the next token.

    Raises:
        StreamError: An event has another attempt's id, no id or a malformed
            offset, or tokens are missing before it.
    """
    prefix = f"id: {attempt_id}/".encode()
    start = len(prefix)
    async for run in runs:
        tokens = 0
        done = False
        is_verbatim = True
        kept = []
        for event in run[:-2].split(EVENT_DELIMITER):
            if event.startswith(prefix):
                event_offset = _parse_offset(event, start)
                if event_offset == offset:
                    offset += 1
                    tokens += 1
                    kept.append(event)
                elif event_offset > offset:
                    raise StreamError(
                        f"expected token {offset}, got token {event_offset}"
                    )
                else:
                    is_verbatim = False
            elif event == DONE_EVENT:
                done = True
                kept.append(event)
            elif not event or event.startswith(b":"):
                is_verbatim = False
            else:
                raise StreamError(
                    f"event without an id of attempt {attempt_id}"
                )
        if not kept:
            yield Batch(b"", 0, is_heartbeat=True)
            continue
        data = (
            run if is_verbatim else EVENT_DELIMITER.join(kept) + EVENT_DELIMITER
        )
        yield Batch(data, tokens, done)


def _parse_offset(event: bytes, start: int) -> int:
    digits, found, _ = event[start:].partition(b"\n")
    if not found or not digits.isdigit() or len(digits) > MAX_OFFSET_DIGITS:
        raise StreamError(
            f"offset in an event id must have 1 to {MAX_OFFSET_DIGITS} "
            f"digits: {digits[:20]!r}"
        )
    return int(digits)


class Usage(msgspec.Struct):
    """Token counts of a finished response.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Generated tokens.
        cached_tokens: Prompt tokens that were reused from the KV cache.
    """

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Delta(msgspec.Struct):
    """Text of one token event in the chat format."""

    content: str = ""


class TextChoice(msgspec.Struct):
    """The choice of one token event.

    Attributes:
        text: Text in the completions format.
        delta: Text in the chat format; None in the completions format.
        finish_reason: Why the generation ended; None before its end.
    """

    text: str = ""
    delta: Delta | None = None
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """Text of the token in either format."""
        return self.text if self.delta is None else self.delta.content


class TokenEvent(msgspec.Struct):
    """Data of one token event.

    Attributes:
        choices: The choices; the first one is used.
        usage: Token counts, if the event carries them.
    """

    choices: list[TextChoice]
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(TokenEvent)


def decode_tokens(data: bytes) -> list[TokenEvent]:
    """Decodes the token events in forwarded bytes.

    Raises:
        StreamError: The data of an event is malformed.
    """
    events = []
    for event in data.split(EVENT_DELIMITER):
        _, found, payload = event.partition(b"\ndata: ")
        if not found:
            continue
        try:
            events.append(_decoder.decode(payload))
        except msgspec.MsgspecError as error:
            raise StreamError(f"malformed token event: {error}") from None
    return events


def join_text(batches: list[bytes]) -> str:
    """Returns the text of all token events in forwarded batches."""
    return "".join(
        event.choices[0].content
        for data in batches
        for event in decode_tokens(data)
    )


def find_usage(data: bytes) -> Usage | None:
    """Returns the usage in the last token event, or None."""
    events = decode_tokens(data[data.rfind(b"id: ") :])
    return events[-1].usage if events else None
