"""An authenticated link to another instance, and the handshake that opens it.

Both sides send a hello and then prove that they have the shared key by the MAC
of an empty frame.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import msgspec

from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.links import sockets
from chivelb_node.wire import authentication
from chivelb_node.wire import codec

MAX_HELLO_BYTES = 512
FRAME_LENGTH_BYTES = 4
# These detect a peer that became unreachable without a TCP reset.
USER_TIMEOUT_MS = 1_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """An open TCP connection between this instance and a peer.

    Attributes:
        peer: Name of the peer.
        zone: Zone of the peer.
        key_id: Id of the shared key that authenticates the link.
        writer: Writer of the TCP connection.
        outgoing: Signs the frames sent to the peer.
        incoming: Verifies the frames received from the peer.
        used_at: Monotonic time of the last frame, in seconds.
        purpose: What the side that opened the connection uses it for; empty
            for a link, which carries all messages but those of channels.
    """

    peer: str
    zone: str
    key_id: str
    writer: asyncio.StreamWriter
    outgoing: authentication.FrameAuthenticator
    incoming: authentication.FrameAuthenticator
    used_at: float
    purpose: str = ""


def write_frame(link: Link, data: bytes) -> int:
    """Writes an authenticated frame; returns its size in bytes."""
    frame = link.outgoing.sign(data) + data
    link.writer.write(len(frame).to_bytes(FRAME_LENGTH_BYTES, "big") + frame)
    return FRAME_LENGTH_BYTES + len(frame)


async def read_frame(link: Link, reader: asyncio.StreamReader) -> bytes:
    """Reads the next frame and returns its data.

    Raises:
        asyncio.IncompleteReadError: The connection was closed.
        OSError: The connection failed.
        authentication.AuthenticationError: The frame is forged or too large.
    """
    head = await reader.readexactly(FRAME_LENGTH_BYTES)
    size = int.from_bytes(head, "big")
    limit = codec.MAX_MESSAGE_BYTES + authentication.MAC_BYTES
    if not authentication.MAC_BYTES <= size <= limit:
        raise authentication.AuthenticationError(
            f"frame size of {size} bytes is out of bounds"
        )
    frame = await reader.readexactly(size)
    data = frame[authentication.MAC_BYTES :]
    link.incoming.verify(frame[: authentication.MAC_BYTES], data)
    return data


async def open_link(
    peer: str, address: str, own_hello: authentication.Hello, key: bytes
) -> tuple[Link, asyncio.StreamReader]:
    """Opens a link to a peer.

    Args:
        peer: Name of the peer.
        address: Its ``host:port``.
        own_hello: Hello of this instance.
        key: Shared key that the hello names.

    Returns:
        The link, and the reader of its connection.

    Raises:
        OSError: The connection can't be opened.
        authentication.AuthenticationError: The peer is another one, or does
            not have the key.
    """
    host, port = settings_lib.split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    try:
        _write_hello(writer, own_hello)
        peer_hello = await _read_hello(reader)
        if peer_hello.name != peer or peer_hello.key_id != own_hello.key_id:
            raise authentication.AuthenticationError(
                f"expected hello of {peer!r} with key id "
                f"{own_hello.key_id!r}, got hello of "
                f"{peer_hello.name!r} with {peer_hello.key_id!r}"
            )
        link = Link(
            peer,
            peer_hello.zone,
            own_hello.key_id,
            writer,
            authentication.FrameAuthenticator(
                key, own_hello, peer_hello, "out"
            ),
            authentication.FrameAuthenticator(key, own_hello, peer_hello, "in"),
            context_lib.monotonic(),
            own_hello.purpose,
        )
        mac = await reader.readexactly(authentication.MAC_BYTES)
        link.incoming.verify(mac, b"")
        writer.write(link.outgoing.sign(b""))
    except BaseException:
        writer.close()
        raise
    _set_keepalive(writer)
    return link, reader


async def accept_link(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    keys: dict[str, bytes],
    make_hello: Callable[[str], authentication.Hello],
    is_refused: Callable[[authentication.Hello], bool],
) -> Link:
    """Accepts a link that a peer opens.

    Args:
        reader: Reader of the connection.
        writer: Writer of the connection.
        keys: Shared keys by id.
        make_hello: Returns the hello of this instance for a key id.
        is_refused: Returns whether no link to the sender of a hello may be
            open.

    Raises:
        OSError: The connection failed.
        asyncio.IncompleteReadError: The peer closed the connection.
        authentication.AuthenticationError: The peer does not have the key, or
            is refused.
    """
    peer_hello = await _read_hello(reader)
    key = keys.get(peer_hello.key_id)
    if key is None:
        raise authentication.AuthenticationError(
            f"hello with unknown key id {peer_hello.key_id!r}"
        )
    if is_refused(peer_hello):
        raise authentication.AuthenticationError(
            "peer is partitioned off by the test hook"
        )
    own_hello = make_hello(peer_hello.key_id)
    _write_hello(writer, own_hello)
    link = Link(
        peer_hello.name,
        peer_hello.zone,
        peer_hello.key_id,
        writer,
        authentication.FrameAuthenticator(key, peer_hello, own_hello, "in"),
        authentication.FrameAuthenticator(key, peer_hello, own_hello, "out"),
        context_lib.monotonic(),
        peer_hello.purpose,
    )
    writer.write(link.outgoing.sign(b""))
    mac = await reader.readexactly(authentication.MAC_BYTES)
    link.incoming.verify(mac, b"")
    _set_keepalive(writer)
    return link


def _set_keepalive(writer: asyncio.StreamWriter) -> None:
    """Sets socket options so that the kernel closes dead connections."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    sockets.set_keepalive(
        sock,
        idle_s=KEEPALIVE_IDLE_S,
        interval_s=KEEPALIVE_INTERVAL_S,
        probes=KEEPALIVE_PROBES,
        user_timeout_ms=USER_TIMEOUT_MS,
    )


def _write_hello(
    writer: asyncio.StreamWriter, hello: authentication.Hello
) -> None:
    data = msgspec.json.encode(hello)
    writer.write(len(data).to_bytes(2, "big") + data)


async def _read_hello(reader: asyncio.StreamReader) -> authentication.Hello:
    try:
        size = int.from_bytes(await reader.readexactly(2), "big")
        if size > MAX_HELLO_BYTES:
            raise authentication.AuthenticationError(
                f"hello of {size} bytes exceeds the limit of {MAX_HELLO_BYTES}"
            )
        data = await reader.readexactly(size)
        hello = msgspec.json.decode(data, type=authentication.Hello)
    except asyncio.IncompleteReadError:
        raise authentication.AuthenticationError(
            "connection closed before hello"
        ) from None
    except msgspec.MsgspecError:
        raise authentication.AuthenticationError(
            f"malformed hello of {size} bytes"
        ) from None
    if hello.magic != authentication.MAGIC.decode():
        raise authentication.AuthenticationError(
            f"hello of another protocol: magic {hello.magic!r}"
        )
    return hello
