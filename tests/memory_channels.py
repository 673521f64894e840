"""Channels between instances in memory."""

import asyncio

from chivelb_node.wire import codec

# Messages that fit into the buffers of a connection.
BUFFERED_MESSAGES = 4


class MemoryChannel:
    """One end of a channel; implements ``relay_channel.ChannelPort``.

    Attributes:
        peer: Name of the instance at the other end.
        other: The other end.
        is_closed: Whether this end was closed.
    """

    def __init__(self, peer):
        self.peer = peer
        self.other = None
        self.is_closed = False
        self._received = asyncio.Queue(BUFFERED_MESSAGES)
        self._ended = asyncio.Event()

    async def send(self, message):
        data = codec.encode(codec.Envelope(message))
        if self._ended.is_set():
            raise ConnectionResetError("closed by the peer")
        put = asyncio.ensure_future(self.other._received.put(data))
        ended = asyncio.ensure_future(self._ended.wait())
        done, _ = await asyncio.wait(
            (put, ended), return_when=asyncio.FIRST_COMPLETED
        )
        ended.cancel()
        if put not in done:
            put.cancel()
            raise ConnectionResetError("closed by the peer")

    async def receive(self):
        if not self._received.empty():
            return codec.decode(self._received.get_nowait()).body
        if self._ended.is_set():
            return None
        get = asyncio.ensure_future(self._received.get())
        ended = asyncio.ensure_future(self._ended.wait())
        try:
            await asyncio.wait(
                (get, ended), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            ended.cancel()
            if not get.done():
                get.cancel()
        if get.done() and not get.cancelled():
            return codec.decode(get.result()).body
        return None

    def close(self):
        self.is_closed = True
        self._ended.set()
        self.other._ended.set()


def make_pair(name, peer):
    """Returns the ends of a channel: of who opened it, and of its peer."""
    here, there = MemoryChannel(peer), MemoryChannel(name)
    here.other, there.other = there, here
    return here, there
