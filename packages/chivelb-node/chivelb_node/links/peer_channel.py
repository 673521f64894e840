"""Channels between instances: connections that carry one exchange each.

A channel is opened like a link and as well authenticated. Its sender waits
while the receiver reads slower, and a close of either side ends the exchange.
"""

import asyncio
from typing import Any

import prometheus_client

from chivelb_node.links import peer_link
from chivelb_node.wire import authentication
from chivelb_node.wire import codec

# Purpose in the hello of a channel.
PURPOSE = "relay"


class Channel:
    """Messages of one exchange, in order, over a connection of their own.

    Attributes:
        peer: Name of the peer.
        link: The connection.
        reader: Its reader.
        bytes_out: Counts the bytes that are sent.
    """

    __slots__ = ("peer", "link", "reader", "bytes_out")

    def __init__(
        self,
        link: peer_link.Link,
        reader: asyncio.StreamReader,
        bytes_out: prometheus_client.Counter,
    ) -> None:
        """Takes over a connection whose handshake is done."""
        self.peer = link.peer
        self.link = link
        self.reader = reader
        self.bytes_out = bytes_out

    async def send(self, message: Any) -> None:
        """Sends a message, and waits until the receiver keeps up.

        Raises:
            OSError: The connection failed.
            codec.WireError: The message is too large.
        """
        data = codec.encode(codec.Envelope(message))
        self.bytes_out.inc(peer_link.write_frame(self.link, data))
        await self.link.writer.drain()

    async def receive(self) -> Any | None:
        """Returns the next message; None once the connection has ended."""
        try:
            data = await peer_link.read_frame(self.link, self.reader)
            return codec.decode(data).body
        except (
            OSError,
            asyncio.IncompleteReadError,
            authentication.AuthenticationError,
            codec.WireError,
        ):
            return None

    def close(self) -> None:
        """Closes the connection after what was sent has been written."""
        self.link.writer.close()
