"""Links to other instances, with authenticated frames over TCP."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
from typing import Any

import mode

from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.links import partition_hook
from chivelb_node.links import peer_channel
from chivelb_node.links import peer_link
from chivelb_node.links import traffic
from chivelb_node.telemetry import logs
from chivelb_node.wire import authentication
from chivelb_node.wire import codec
from chivelb_node.wire import messages

CONNECT_TIMEOUT_S = 0.5
# A caller waits for a channel; another peer may be asked instead.
CHANNEL_TIMEOUT_S = 0.3
HANDSHAKE_TIMEOUT_S = 1.0
# Limits of what waits for a link to open, of what waits to be sent on one
# link, and on all links together.
MAX_QUEUED_BYTES = 4_194_304
MAX_WRITE_BUFFER_BYTES = 16_777_216
MAX_UNSENT_BYTES = 33_554_432
RECONNECT_DELAY_S = 0.2
IDLE_TIMEOUT_S = 60.0
# Period of the checks for unusable links and for a changed key file.
CHECK_PERIOD_S = 0.5
MAX_UNAUTHENTICATED_LINKS = 64
FRAME_OVERHEAD_BYTES = peer_link.FRAME_LENGTH_BYTES + authentication.MAC_BYTES

Handler = Callable[[str, Any], Awaitable[Any] | Any]
ChannelHandler = Callable[[peer_channel.Channel], Awaitable[None]]
_OPEN_ERRORS = (
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    authentication.AuthenticationError,
    ValueError,
)
_log = logs.get_logger("hub")


@dataclasses.dataclass(slots=True, eq=False)
class PendingReply:
    """A request that waits for its reply.

    Attributes:
        peer: Name of the peer that it was sent to.
        future: Gets the reply, or None if the link to the peer closes.
    """

    peer: str
    future: asyncio.Future


@dataclasses.dataclass(slots=True, eq=False)
class PendingLink:
    """A link that is being opened.

    Attributes:
        frames: Encoded messages to send once the link is open.
        task: Task that opens the link.
        size: Bytes of the frames.
    """

    frames: list[bytes] = dataclasses.field(default_factory=list)
    task: asyncio.Task | None = None
    size: int = 0

    def add(self, data: bytes) -> None:
        """Adds an encoded message unless there are too many bytes."""
        if self.size + len(data) <= MAX_QUEUED_BYTES:
            self.frames.append(data)
            self.size += len(data)


class Hub(mode.Service):
    """Opens, accepts and serves the links to other instances.

    Attributes:
        context: Shared state of the instance.
        ring: Shared keys.
        partition: Test hook that simulates network partitions.
        addresses: Address and zone of each peer, by name.
        links: Newest link to each peer, by name; opened here or accepted.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        ring: authentication.KeyRing | None,
    ) -> None:
        """Creates a hub; without a key ring it opens and accepts no links."""
        super().__init__()
        self.context = context
        self.ring = ring
        self.partition = partition_hook.PartitionHook(
            context.settings.faults.cut_file
        )
        self.addresses: dict[str, tuple[str, str]] = {}
        self.links: dict[str, peer_link.Link] = {}
        self._handlers: dict[type, Handler] = {}
        self._channel_handler: ChannelHandler | None = None
        self._pending_replies: dict[int, PendingReply] = {}
        self._request_ids = itertools.count(1)
        self._pending_links: dict[str, PendingLink] = {}
        self._reconnect_at: dict[str, float] = {}
        # What was written since the last count counts as not sent.
        self._unsent_estimate = 0
        self._background_tasks: set[asyncio.Task] = set()
        self._unauthenticated_links = 0
        self._server: asyncio.Server | None = None
        peer_bytes = context.metrics.peer_bytes
        self._bytes_in = peer_bytes.labels("in", "tcp")
        self._bytes_out = peer_bytes.labels("out", "tcp")
        self._messages = traffic.MessageCounter(context.metrics)
        self._congestion = traffic.CongestionWatch(context.metrics)
        self.add_seeds(context.settings.peers.seeds)

    def add_seeds(self, seeds: list[str]) -> None:
        """Adds the addresses of seeds that are not known yet."""
        for text in seeds:
            seed = settings_lib.parse_seed(text)
            if seed.name != self.local_name:
                location = (seed.address, seed.zone)
                self.addresses.setdefault(seed.name, location)

    @property
    def local_name(self) -> str:
        """Name of this instance."""
        return self.context.settings.instance.name

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Registers the handler for messages of a type.

        Args:
            message_type: The type.
            handler: Called with the sender's name and the message. Its
                result, unless None, is sent as the reply to a request.
        """
        self._handlers[message_type] = handler

    def register_channel_handler(self, handler: ChannelHandler) -> None:
        """Registers what serves the channels that peers open.

        Args:
            handler: Called with each channel, which it closes.
        """
        self._channel_handler = handler

    def is_partitioned(self, peer: str) -> bool:
        """Returns whether the test hook refuses links to a peer."""
        zone = self.addresses.get(peer, ("", ""))[1]
        return self.partition.is_partitioned(
            context_lib.monotonic(), peer, zone
        )

    # Sending.

    def send(self, peer: str, body: Any) -> None:
        """Sends a message without waiting.

        It is dropped if no link can be opened, or if it is too large.
        """
        self._send_envelope(peer, codec.Envelope(body))

    def broadcast(self, peers: list[str], body: Any) -> None:
        """Sends one message to several peers, encoded once; see ``send``."""
        if not peers:
            return
        data = self._encode(codec.Envelope(body), peers[0])
        if data is None:
            return
        for peer in peers:
            self._messages.count_sent(type(body), len(data))
            self._send_encoded(peer, data)

    async def request(
        self, peer: str, body: Any, timeout_s: float
    ) -> Any | None:
        """Sends a request and waits for its reply.

        Args:
            peer: Name of the peer; this instance itself is allowed.
            body: The request.
            timeout_s: Timeout in seconds.

        Returns:
            The reply, or None if no link can be opened, the link closes, or
            the request is too large, times out or is refused.
        """
        if peer == self.local_name:
            return await self._call_handler(peer, body)
        request_id = next(self._request_ids)
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[request_id] = PendingReply(peer, future)
        try:
            async with asyncio.timeout(timeout_s):
                if not await self.connect(peer):
                    return None
                envelope = codec.Envelope(body, request_id=request_id)
                if not self._send_envelope(peer, envelope):
                    return None
                reply = await future
        except TimeoutError:
            return None
        finally:
            del self._pending_replies[request_id]
        return None if isinstance(reply, messages.Refusal) else reply

    async def connect(self, peer: str) -> bool:
        """Opens a link unless one is open.

        Returns:
            True if a link is open. No message is sent; callers connect before
            a request to tell one that was never sent from one without a
            reply.
        """
        if peer == self.local_name or peer in self.links:
            return not self.is_partitioned(peer)
        if self.ring is None or self.is_partitioned(peer):
            return False
        if peer not in self.addresses:
            return False
        pending = self._start_connecting(peer)
        if pending is not None:
            await asyncio.wait([pending.task])
        return peer in self.links

    async def open_channel(self, peer: str) -> peer_channel.Channel | None:
        """Opens a channel: a connection for one exchange with a peer.

        Unlike a link it makes its sender wait while the receiver reads slower,
        so that what it carries delays no other messages.

        Returns:
            The channel, or None if it can't be opened.
        """
        if self.ring is None or self.is_partitioned(peer):
            return None
        if peer not in self.addresses:
            return None
        try:
            async with asyncio.timeout(CHANNEL_TIMEOUT_S):
                link, reader = await self._open_link(peer, peer_channel.PURPOSE)
        except _OPEN_ERRORS as error:
            _log.debug("opening channel failed", peer=peer, detail=str(error))
            return None
        return peer_channel.Channel(link, reader, self._bytes_out)

    def _start_connecting(self, peer: str) -> PendingLink | None:
        pending = self._pending_links.get(peer)
        if pending is not None:
            return pending
        if self._reconnect_at.get(peer, 0.0) > context_lib.monotonic():
            return None
        pending = self._pending_links[peer] = PendingLink()
        pending.task = asyncio.create_task(self._connect_link(peer, pending))
        return pending

    def _send_envelope(self, peer: str, envelope: codec.Envelope) -> bool:
        """Sends an envelope; returns False if it can't be encoded."""
        data = self._encode(envelope, peer)
        if data is None:
            return False
        self._messages.count_sent(type(envelope.body), len(data))
        self._send_encoded(peer, data)
        return True

    def _encode(self, envelope: codec.Envelope, peer: str) -> bytes | None:
        """Returns the encoded envelope, or None if it is too large.

        The sender goes on: one message must not end a service, which serves
        all peers.
        """
        try:
            return codec.encode(envelope)
        except codec.WireError as error:
            self.context.metrics.peer_frames.labels("too_large").inc()
            _log.error("message not sent", peer=peer, detail=str(error))
            return None

    def _send_encoded(self, peer: str, data: bytes) -> None:
        if self.ring is None or self.is_partitioned(peer):
            return
        link = self.links.get(peer)
        if link is not None:
            self._write(link, data)
            return
        if peer not in self.addresses:
            return
        pending = self._start_connecting(peer)
        if pending is not None:
            pending.add(data)

    def _write(self, link: peer_link.Link, data: bytes) -> None:
        transport = link.writer.transport
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            # The peer has stopped reading: it is unreachable or suspended.
            self._close_link(link, "write buffer is full", discard_unsent=True)
            return
        link.used_at = context_lib.monotonic()
        size = peer_link.write_frame(link, data)
        self._bytes_out.inc(size)
        self._unsent_estimate += size
        if self._unsent_estimate > MAX_UNSENT_BYTES:
            self._limit_unsent_bytes()

    def _limit_unsent_bytes(self) -> None:
        """Closes the links with most to send until all have little enough.

        Their peers read nothing: they are suspended, or read too slowly.
        """
        unsent = dict(self._unsent_bytes())
        total = sum(unsent.values())
        if total > MAX_UNSENT_BYTES:
            for peer in sorted(unsent, key=unsent.get, reverse=True):
                if total <= MAX_UNSENT_BYTES // 2:
                    break
                size = unsent[peer]
                total -= size
                _log.warning("unread link closed", peer=peer, bytes=size)
                self._close_link(
                    self.links[peer], "too much to send", discard_unsent=True
                )
        self._unsent_estimate = total

    # Opening and accepting links.

    async def _connect_link(self, peer: str, pending: PendingLink) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                link, reader = await self._open_link(peer)
        except _OPEN_ERRORS as error:
            self._reconnect_at[peer] = (
                context_lib.monotonic() + RECONNECT_DELAY_S
            )
            _log.debug("opening link failed", peer=peer, detail=str(error))
            return
        finally:
            self._pending_links.pop(peer, None)
        self._register_link(link, reader)
        for data in pending.frames:
            self._write(link, data)

    async def _open_link(
        self, peer: str, purpose: str = ""
    ) -> tuple[peer_link.Link, asyncio.StreamReader]:
        address, _ = self.addresses[peer]
        own_hello = self._make_hello(self.ring.signing_key_id, purpose)
        key = self.ring.keys[own_hello.key_id]
        return await peer_link.open_link(peer, address, own_hello, key)

    def _make_hello(
        self, key_id: str, purpose: str = ""
    ) -> authentication.Hello:
        instance = self.context.settings.instance
        return authentication.make_hello(
            key_id, instance.name, instance.zone, purpose
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._unauthenticated_links >= MAX_UNAUTHENTICATED_LINKS:
            writer.close()
            return
        self._unauthenticated_links += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                link = await peer_link.accept_link(
                    reader,
                    writer,
                    keys=self.ring.keys,
                    make_hello=self._make_hello,
                    is_refused=self._is_refused,
                )
        except (
            OSError,
            TimeoutError,
            authentication.AuthenticationError,
            asyncio.IncompleteReadError,
        ) as error:
            # "stranger": the handshake failed, so the client is unknown.
            self.context.metrics.peer_frames.labels("stranger").inc()
            _log.warning("link refused", detail=str(error)[:200])
            writer.close()
            return
        finally:
            self._unauthenticated_links -= 1
        if link.purpose:
            self._serve_channel(link, reader)
        else:
            self._register_link(link, reader)

    def _serve_channel(
        self, link: peer_link.Link, reader: asyncio.StreamReader
    ) -> None:
        handler = self._channel_handler
        if handler is None or link.purpose != peer_channel.PURPOSE:
            _log.warning("channel refused", peer=link.peer, kind=link.purpose)
            link.writer.close()
            return
        channel = peer_channel.Channel(link, reader, self._bytes_out)
        self._start_task(handler(channel))

    def _start_task(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _is_refused(self, hello: authentication.Hello) -> bool:
        """Returns whether the test hook refuses the sender of a hello."""
        return self.partition.is_partitioned(
            context_lib.monotonic(), hello.name, hello.zone
        )

    def _register_link(
        self, link: peer_link.Link, reader: asyncio.StreamReader
    ) -> None:
        # If two instances connect to each other at the same time, both links
        # are read and the newer one is used for writing.
        self.links[link.peer] = link
        self._start_task(self._read_frames(link, reader))

    # Receiving.

    async def _read_frames(
        self, link: peer_link.Link, reader: asyncio.StreamReader
    ) -> None:
        reason = "closed"
        try:
            while True:
                data = await peer_link.read_frame(link, reader)
                self._bytes_in.inc(len(data) + FRAME_OVERHEAD_BYTES)
                link.used_at = context_lib.monotonic()
                if not self.is_partitioned(link.peer):
                    self._handle_frame(link, data)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except authentication.AuthenticationError as error:
            reason = str(error)
            # "bad_seal": the frame failed authentication.
            self.context.metrics.peer_frames.labels("bad_seal").inc()
        finally:
            self._close_link(link, reason)

    def _handle_frame(self, link: peer_link.Link, data: bytes) -> None:
        try:
            envelope = codec.decode(data)
        except codec.WireError as error:
            # "garbage": authenticated, but not a valid message.
            self.context.metrics.peer_frames.labels("garbage").inc()
            _log.warning(
                "message can't be decoded", peer=link.peer, detail=str(error)
            )
            return
        self._messages.count_received(type(envelope.body), len(data))
        if envelope.reply_to:
            pending = self._pending_replies.get(envelope.reply_to)
            if pending is not None and not pending.future.done():
                pending.future.set_result(envelope.body)
            return
        handler = self._handlers.get(type(envelope.body))
        result = None
        if handler is not None:
            result = handler(link.peer, envelope.body)
        if not asyncio.iscoroutine(result):
            self._reply(link, envelope, result)
            return
        self._start_task(self._reply_later(link, envelope, result))

    async def _reply_later(
        self,
        link: peer_link.Link,
        envelope: codec.Envelope,
        result: Awaitable[Any],
    ) -> None:
        self._reply(link, envelope, await result)

    def _reply(
        self, link: peer_link.Link, envelope: codec.Envelope, reply: Any | None
    ) -> None:
        """Sends the result of a handler if the message was a request."""
        if not envelope.request_id:
            return
        if reply is None:
            reply = messages.Refusal("request not supported by this instance")
        if self.links.get(link.peer) is None:
            return
        response = codec.Envelope(reply, reply_to=envelope.request_id)
        if not self._send_envelope(link.peer, response):
            response.body = messages.Refusal("reply exceeds a message")
            self._send_envelope(link.peer, response)

    async def _call_handler(self, peer: str, body: Any) -> Any | None:
        handler = self._handlers.get(type(body))
        if handler is None:
            return None
        result = handler(peer, body)
        if asyncio.iscoroutine(result):
            result = await result
        return result

    def _unsent_bytes(self) -> Iterator[tuple[str, int]]:
        for peer, link in self.links.items():
            yield peer, link.writer.transport.get_write_buffer_size()

    def _close_link(
        self, link: peer_link.Link, reason: str, *, discard_unsent: bool = False
    ) -> None:
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            _log.debug("link closed", peer=link.peer, detail=reason)
            self._fail_requests(link.peer)
        with contextlib.suppress(OSError, RuntimeError):
            if discard_unsent:
                link.writer.transport.abort()
            link.writer.close()

    def _fail_requests(self, peer: str) -> None:
        """Ends the requests whose replies the closed link will not bring."""
        for pending in self._pending_replies.values():
            if pending.peer == peer and not pending.future.done():
                pending.future.set_result(None)

    # Service.

    async def on_start(self) -> None:
        """Starts accepting links."""
        listen = self.context.settings.peers.listen
        if self.ring is None or not listen:
            return
        host, port = settings_lib.split_address(listen)
        self._server = await asyncio.start_server(self._accept, host, port)

    async def on_stop(self) -> None:
        """Closes all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links.values()):
            self._close_link(link, "stopping")
        connecting = [pending.task for pending in self._pending_links.values()]
        for task in [*self._background_tasks, *connecting]:
            task.cancel()

    @mode.Service.task
    async def _check_links_and_keys(self) -> None:
        while not self.should_stop and self.ring is not None:
            await asyncio.sleep(CHECK_PERIOD_S)
            try:
                self.ring.refresh()
            except (OSError, authentication.AuthenticationError) as error:
                _log.error("key file can't be loaded", detail=str(error))
            unsent = dict(self._unsent_bytes())
            self._unsent_estimate = sum(unsent.values())
            self._congestion.observe(unsent.items())
            now = context_lib.monotonic()
            for link in list(self.links.values()):
                if link.key_id not in self.ring.keys:
                    self._close_link(link, "key was removed from the key file")
                elif now - link.used_at > IDLE_TIMEOUT_S:
                    self._close_link(link, "idle")
                elif self.is_partitioned(link.peer):
                    self._close_link(
                        link, "peer is partitioned off by the test hook"
                    )
