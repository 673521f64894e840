"""Pipeline of generators over a runner's server-sent events."""

from collections.abc import AsyncIterator
import dataclasses

import msgspec

DONE_EVENT = b"data: [DONE]"
END = b"\n\n"
MAX_EVENT_BYTES = 262_144
MAX_DIGITS = 9


class StreamError(Exception):
    """A stream that can't be the answer to its attempt."""


@dataclasses.dataclass(slots=True)
class Batch:
    """Whole events that arrived together.

    Attributes:
        data: Their bytes, to be passed on as they are.
        tokens: Number of token events among them.
        done: Whether the answer is complete with them.
        beat: Whether nothing but a heartbeat arrived.
    """

    data: bytes
    tokens: int
    done: bool = False
    beat: bool = False


async def split_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yields runs of whole events; a torn tail waits for its rest.

    Raises:
        StreamError: An event exceeds ``MAX_EVENT_BYTES``.
    """
    rest = b""
    async for chunk in chunks:
        data = rest + chunk if rest else chunk
        end = data.rfind(END)
        if end < 0:
            rest = data
        else:
            rest = data[end + 2 :]
            yield data[: end + 2]
        if len(rest) > MAX_EVENT_BYTES:
            raise StreamError(f"an event exceeds {MAX_EVENT_BYTES} bytes")


def last_id(run: bytes) -> str:
    """Returns the id of the last event in a run of events, or empty."""
    start = run.rfind(b"id:")
    while start > 0 and run[start - 1 : start] != b"\n":
        start = run.rfind(b"id:", 0, start)
    if start < 0:
        return ""
    line = run[start + 3 : run.find(b"\n", start)]
    return line.strip().decode("ascii", "replace")


async def check_events(
    runs: AsyncIterator[bytes], attempt_id: str, offset: int
) -> AsyncIterator[Batch]:
    """Yields batches whose events belong to the attempt, in order, once.

    Args:
        runs: Runs of whole events.
        attempt_id: The id that each token event must carry.
        offset: Offset of the next token.

    Raises:
        StreamError: An event is another attempt's, or leaves a gap.
    """
    prefix = f"id: {attempt_id}/".encode()
    start = len(prefix)
    async for run in runs:
        tokens = 0
        done = False
        clean = True
        kept = []
        for event in run[:-2].split(END):
            if event.startswith(prefix):
                number = _position(event, start)
                if number == offset:
                    offset += 1
                    tokens += 1
                    kept.append(event)
                elif number > offset:
                    raise StreamError(f"token {offset} is missing")
                else:
                    clean = False
            elif event == DONE_EVENT:
                done = True
                kept.append(event)
            elif event.startswith(b":"):
                clean = False
            else:
                raise StreamError("an event has another attempt's id")
        if not kept:
            yield Batch(b"", 0, beat=True)
            continue
        data = run if clean else END.join(kept) + END
        yield Batch(data, tokens, done)


def _position(event: bytes, start: int) -> int:
    digits, found, _ = event[start:].partition(b"\n")
    if not found or not digits.isdigit() or len(digits) > MAX_DIGITS:
        raise StreamError("an event's position is no number")
    return int(digits)


class Usage(msgspec.Struct):
    """Token counts of a finished answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


class Delta(msgspec.Struct):
    """Text of one token event in the chat shape."""

    content: str = ""


class TextChoice(msgspec.Struct):
    """The choice of one token event; the chat shape has a delta."""

    text: str = ""
    delta: Delta | None = None
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """The token's text in either shape."""
        return self.text if self.delta is None else self.delta.content


class TokenEvent(msgspec.Struct):
    """Data of one token event."""

    choices: list[TextChoice]
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(TokenEvent)


def decode_tokens(data: bytes) -> list[TokenEvent]:
    """Decodes the token events of passed-on bytes.

    Raises:
        StreamError: An event's data is not what the interface says.
    """
    events = []
    for event in data.split(END):
        _, found, payload = event.partition(b"\ndata: ")
        if not found:
            continue
        try:
            events.append(_decoder.decode(payload))
        except msgspec.MsgspecError as error:
            raise StreamError(f"bad token event: {error}") from None
    return events


def join_text(batches: list[bytes]) -> str:
    """Returns the text of all token events passed on so far."""
    return "".join(
        event.choices[0].content
        for data in batches
        for event in decode_tokens(data)
    )


def find_usage(data: bytes) -> Usage | None:
    """Returns the usage in the last token event, or None."""
    events = decode_tokens(data[data.rfind(b"id: ") :])
    return events[-1].usage if events else None
