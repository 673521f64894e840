"""A small HTTP/1.1 client and server for the stand-ins, on asyncio streams."""

import asyncio
import contextlib
import dataclasses

MAX_HEAD_BYTES = 65_536


class BrokenError(Exception):
    """A connection ended, or its bytes are no HTTP message."""


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        first: The three fields of the first line.
        headers: Names in lower case, and values.
        body: The complete body.
    """

    first: list[str]
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Returns the first value of a header."""
        for known, value in self.headers:
            if known == name:
                return value
        return default

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a message up to its body."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        raise BrokenError("no complete head") from None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0].split(" ", 2), headers)


async def read_chunks(reader: asyncio.StreamReader):
    """Yields the chunks of a body; raises ``BrokenError`` before its end."""
    try:
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    except (asyncio.IncompleteReadError, ValueError, OSError):
        raise BrokenError("chunked body broke off") from None


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, is_response: bool
) -> bytes:
    """Reads the body of a message."""
    if message.get("transfer-encoding").lower() == "chunked":
        return b"".join([data async for data in read_chunks(reader)])
    length = message.get("content-length")
    try:
        if length:
            return await reader.readexactly(int(length))
        if is_response and message.status not in (204, 304):
            return await reader.read(-1)
    except (asyncio.IncompleteReadError, OSError):
        raise BrokenError("body broke off") from None
    return b""


def encode(first: str, headers, body: bytes = b"", *, has_length=True) -> bytes:
    """Encodes a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def request(
    address: str,
    method: str,
    path: str,
    *,
    headers=(),
    body: bytes = b"",
    timeout_s: float = 5.0,
    source_ip: str = "",
) -> Message:
    """Sends one request on a new connection and returns the response.

    Raises:
        BrokenError: There was no complete response.
        OSError: The connection could not be opened.
        TimeoutError: It took too long.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        local = (source_ip, 0) if source_ip else None
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=MAX_HEAD_BYTES, local_addr=local
        )
        try:
            has_body = bool(body) or method in ("POST", "PUT")
            writer.write(
                encode(
                    f"{method} {path} HTTP/1.1",
                    headers,
                    body,
                    has_length=has_body,
                )
            )
            message = await read_head(reader)
            message.body = await read_body(reader, message, is_response=True)
            return message
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()
