"""Links to other instances: authenticated frames over TCP."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import socket
from typing import Any

import mode
import msgspec

from chivelb_node import context as context_lib
from chivelb_node import settings as settings_lib
from chivelb_node.links import cuts as cuts_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import codec
from chivelb_node.wire import messages
from chivelb_node.wire import sealing

CONNECT_TIMEOUT_S = 0.5
GREETING_TIMEOUT_S = 1.0
MAX_GREETING_BYTES = 512
MAX_OUTBOX = 2_000
MAX_WRITE_BUFFER_BYTES = 16_777_216
REDIAL_AFTER_S = 0.2
IDLE_CLOSE_S = 60.0
SWEEP_PERIOD_S = 0.5
MAX_STRANGERS = 64
# A path that goes silent without a reset is found out by these.
USER_TIMEOUT_MS = 1_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Handler = Callable[[str, Any], Awaitable[Any] | Any]
_log = logs.get_logger("hub")


@dataclasses.dataclass(slots=True, eq=False)
class Link:
    """An open connection to a peer.

    Attributes:
        peer: Name of the peer.
        zone: Zone of the peer.
        key_id: Shared key that authenticates it.
        writer: The connection.
        seal_out: Seal of the frames that go out.
        seal_in: Seal of the frames that come in.
        used_at: Monotonic time of the newest frame, in seconds.
    """

    peer: str
    zone: str
    key_id: str
    writer: asyncio.StreamWriter
    seal_out: sealing.LinkSeal
    seal_in: sealing.LinkSeal
    used_at: float


@dataclasses.dataclass(slots=True, eq=False)
class Dial:
    """A connection that is being opened.

    Attributes:
        frames: Encoded messages that wait for it.
        task: What opens it.
    """

    frames: list[bytes] = dataclasses.field(default_factory=list)
    task: asyncio.Task | None = None


class Hub(mode.Service):
    """Owns the links to peers.

    Attributes:
        context: Aggregates of the instance.
        ring: Shared keys.
        cuts: Test hook.
        addresses: Address and zone of each peer, by name.
        links: Dialled and accepted links by peer.
    """

    def __init__(
        self, context: context_lib.InstanceContext, ring: sealing.KeyRing | None
    ) -> None:
        """Creates a hub; without keys it stays alone."""
        super().__init__()
        self.context = context
        self.ring = ring
        self.cuts = cuts_lib.Cuts(context.settings.faults.cut_file)
        self.addresses: dict[str, tuple[str, str]] = {}
        self.links: dict[str, Link] = {}
        self._handlers: dict[type, Handler] = {}
        self._waiting: dict[int, asyncio.Future] = {}
        self._numbers = itertools.count(1)
        self._dialling: dict[str, Dial] = {}
        self._refused_until: dict[str, float] = {}
        self._readers: set[asyncio.Task] = set()
        self._strangers = 0
        self._server: asyncio.Server | None = None
        self.learn_seeds(context.settings.peers.seeds)

    def learn_seeds(self, seeds: list[str]) -> None:
        """Takes the addresses of seeds that are not known yet."""
        for text in seeds:
            seed = settings_lib.parse_seed(text)
            if seed.name != self.name_here:
                place = (seed.address, seed.zone)
                self.addresses.setdefault(seed.name, place)

    @property
    def name_here(self) -> str:
        """Name of this instance."""
        return self.context.settings.instance.name

    def handle(self, message_type: type, handler: Handler) -> None:
        """Sets the function that takes messages of a type.

        Args:
            message_type: The type.
            handler: Called with the sender's name and the message; what it
                returns, if anything, is the reply to a request.
        """
        self._handlers[message_type] = handler

    def is_cut(self, peer: str) -> bool:
        """Tells whether the test hook cuts a peer off."""
        zone = self.addresses.get(peer, ("", ""))[1]
        return self.cuts.is_cut(context_lib.monotonic(), peer, zone)

    # Sending.

    def send(self, peer: str, body: Any) -> None:
        """Sends a message without waiting; it is lost if the peer is away."""
        self._post(peer, codec.Envelope(body))

    def send_all(self, peers: list[str], body: Any) -> None:
        """Sends one message to several peers, encoded once."""
        if not peers:
            return
        data = codec.encode(codec.Envelope(body))
        for peer in peers:
            self._post_data(peer, data)

    async def request(
        self, peer: str, body: Any, timeout_s: float
    ) -> Any | None:
        """Sends a request and waits for its reply.

        Args:
            peer: Name of the peer; this instance itself is allowed.
            body: The request.
            timeout_s: Longest wait.

        Returns:
            The reply, or None when none came in time or it was refused.
        """
        if peer == self.name_here:
            return await self._serve(peer, body)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            async with asyncio.timeout(timeout_s):
                self._post(peer, codec.Envelope(body, request_id=number))
                reply = await future
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]
        return None if isinstance(reply, messages.Refusal) else reply

    async def connect(self, peer: str) -> bool:
        """Makes sure that a link is open; False proves nothing was sent."""
        if peer == self.name_here or peer in self.links:
            return not self.is_cut(peer)
        if self.ring is None or self.is_cut(peer):
            return False
        if peer not in self.addresses:
            return False
        dial = self._start_dial(peer)
        if dial is not None:
            await asyncio.wait([dial.task])
        return peer in self.links

    def _start_dial(self, peer: str) -> Dial | None:
        dial = self._dialling.get(peer)
        if dial is not None:
            return dial
        if self._refused_until.get(peer, 0.0) > context_lib.monotonic():
            return None
        dial = self._dialling[peer] = Dial()
        dial.task = asyncio.create_task(self._dial(peer, dial))
        return dial

    def _post(self, peer: str, envelope: codec.Envelope) -> None:
        self._post_data(peer, codec.encode(envelope))

    def _post_data(self, peer: str, data: bytes) -> None:
        if self.ring is None or self.is_cut(peer):
            return
        link = self.links.get(peer)
        if link is not None:
            self._write(link, data)
            return
        if peer not in self.addresses:
            return
        dial = self._start_dial(peer)
        if dial is not None and len(dial.frames) < MAX_OUTBOX:
            dial.frames.append(data)

    def _write(self, link: Link, data: bytes) -> None:
        transport = link.writer.transport
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            # The peer does not read: it is cut off or stopped.
            self._drop(link, "write buffer is full")
            return
        link.used_at = context_lib.monotonic()
        frame = link.seal_out.seal(data) + data
        link.writer.write(len(frame).to_bytes(4, "big") + frame)
        self._count_bytes("out", len(frame) + 4)

    def _count_bytes(self, direction: str, size: int) -> None:
        self.context.metrics.peer_bytes.labels(direction, "tcp").inc(size)

    # Dialling and accepting.

    async def _dial(self, peer: str, dial: Dial) -> None:
        address, _ = self.addresses[peer]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                link, reader = await self._greet(peer, address)
        except (OSError, TimeoutError, sealing.SealError, ValueError) as error:
            self._refused_until[peer] = context_lib.monotonic() + REDIAL_AFTER_S
            _log.debug("dial failed", peer=peer, detail=str(error))
            return
        finally:
            self._dialling.pop(peer, None)
        self._adopt(link, reader)
        for data in dial.frames:
            self._write(link, data)

    async def _greet(
        self, peer: str, address: str
    ) -> tuple[Link, asyncio.StreamReader]:
        host, port = settings_lib.split_address(address)
        reader, writer = await asyncio.open_connection(host, port)
        try:
            mine = self._greeting(self.ring.newest)
            _write_greeting(writer, mine)
            theirs = await _read_greeting(reader)
            if theirs.name != peer or theirs.key_id != mine.key_id:
                raise sealing.SealError("another instance answered")
            key = self.ring.keys[mine.key_id]
            link = Link(
                peer,
                theirs.zone,
                mine.key_id,
                writer,
                sealing.LinkSeal(key, mine, theirs, "out"),
                sealing.LinkSeal(key, mine, theirs, "in"),
                context_lib.monotonic(),
            )
            proof = await reader.readexactly(sealing.MAC_BYTES)
            link.seal_in.check(proof, b"")
            writer.write(link.seal_out.seal(b""))
        except BaseException:
            writer.close()
            raise
        return link, reader

    def _greeting(self, key_id: str) -> sealing.Greeting:
        instance = self.context.settings.instance
        return sealing.make_greeting(key_id, instance.name, instance.zone)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._strangers >= MAX_STRANGERS:
            writer.close()
            return
        self._strangers += 1
        try:
            async with asyncio.timeout(GREETING_TIMEOUT_S):
                link = await self._welcome(reader, writer)
        except (
            OSError,
            TimeoutError,
            sealing.SealError,
            asyncio.IncompleteReadError,
        ) as error:
            self.context.metrics.peer_frames.labels("stranger").inc()
            _log.warning("stranger refused", detail=str(error)[:200])
            writer.close()
            return
        finally:
            self._strangers -= 1
        self._adopt(link, reader)

    async def _welcome(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Link:
        theirs = await _read_greeting(reader)
        key = self.ring.keys.get(theirs.key_id)
        if key is None:
            raise sealing.SealError("an unknown key")
        now = context_lib.monotonic()
        if self.cuts.is_cut(now, theirs.name, theirs.zone):
            raise sealing.SealError("cut by the test hook")
        mine = self._greeting(theirs.key_id)
        _write_greeting(writer, mine)
        link = Link(
            theirs.name,
            theirs.zone,
            theirs.key_id,
            writer,
            sealing.LinkSeal(key, theirs, mine, "in"),
            sealing.LinkSeal(key, theirs, mine, "out"),
            now,
        )
        writer.write(link.seal_out.seal(b""))
        proof = await reader.readexactly(sealing.MAC_BYTES)
        link.seal_in.check(proof, b"")
        return link

    def _adopt(self, link: Link, reader: asyncio.StreamReader) -> None:
        # With two links between the same peers both are read, and the
        # newest one is written to.
        self.links[link.peer] = link
        _watch_path(link.writer)
        task = asyncio.create_task(self._read(link, reader))
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)

    # Receiving.

    async def _read(self, link: Link, reader: asyncio.StreamReader) -> None:
        reason = "closed"
        try:
            while True:
                head = await reader.readexactly(4)
                size = int.from_bytes(head, "big")
                limit = codec.MAX_MESSAGE_BYTES + sealing.MAC_BYTES
                if not sealing.MAC_BYTES <= size <= limit:
                    raise sealing.SealError(f"a frame of {size} bytes")
                frame = await reader.readexactly(size)
                self._count_bytes("in", size + 4)
                mac = frame[: sealing.MAC_BYTES]
                data = frame[sealing.MAC_BYTES :]
                link.seal_in.check(mac, data)
                link.used_at = context_lib.monotonic()
                if not self.is_cut(link.peer):
                    self._take(link, data)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except sealing.SealError as error:
            reason = str(error)
            self.context.metrics.peer_frames.labels("bad_seal").inc()
        finally:
            self._drop(link, reason)

    def _take(self, link: Link, data: bytes) -> None:
        try:
            envelope = codec.decode(data)
        except codec.WireError as error:
            self.context.metrics.peer_frames.labels("garbage").inc()
            _log.warning("garbage", peer=link.peer, detail=str(error))
            return
        if envelope.reply_to:
            future = self._waiting.get(envelope.reply_to)
            if future is not None and not future.done():
                future.set_result(envelope.body)
            return
        task = asyncio.create_task(self._answer(link, envelope))
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)

    async def _answer(self, link: Link, envelope: codec.Envelope) -> None:
        reply = await self._serve(link.peer, envelope.body)
        if not envelope.request_id:
            return
        if reply is None:
            reply = messages.Refusal("not served here")
        answer = codec.Envelope(reply, reply_to=envelope.request_id)
        if self.links.get(link.peer) is not None:
            self._post(link.peer, answer)

    async def _serve(self, peer: str, body: Any) -> Any | None:
        handler = self._handlers.get(type(body))
        if handler is None:
            return None
        result = handler(peer, body)
        if asyncio.iscoroutine(result):
            result = await result
        return result

    def _drop(self, link: Link, reason: str) -> None:
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            _log.debug("link closed", peer=link.peer, detail=reason)
        with contextlib.suppress(OSError, RuntimeError):
            link.writer.close()

    # Service.

    async def on_start(self) -> None:
        """Starts to accept links."""
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
            self._drop(link, "stopping")
        dials = [dial.task for dial in self._dialling.values()]
        for task in [*self._readers, *dials]:
            task.cancel()

    @mode.Service.task
    async def _sweep(self) -> None:
        while not self.should_stop and self.ring is not None:
            await self.sleep(SWEEP_PERIOD_S)
            try:
                self.ring.refresh()
            except (OSError, sealing.SealError) as error:
                _log.error("keys can't be read", detail=str(error))
            now = context_lib.monotonic()
            for link in list(self.links.values()):
                if link.key_id not in self.ring.keys:
                    self._drop(link, "its key was withdrawn")
                elif now - link.used_at > IDLE_CLOSE_S:
                    self._drop(link, "idle")
                elif self.is_cut(link.peer):
                    self._drop(link, "cut by the test hook")


def _watch_path(writer: asyncio.StreamWriter) -> None:
    """Lets the kernel close a connection whose path has gone silent."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def _write_greeting(
    writer: asyncio.StreamWriter, greeting: sealing.Greeting
) -> None:
    data = msgspec.json.encode(greeting)
    writer.write(len(data).to_bytes(2, "big") + data)


async def _read_greeting(reader: asyncio.StreamReader) -> sealing.Greeting:
    try:
        size = int.from_bytes(await reader.readexactly(2), "big")
        if size > MAX_GREETING_BYTES:
            raise sealing.SealError("an oversized greeting")
        data = await reader.readexactly(size)
        greeting = msgspec.json.decode(data, type=sealing.Greeting)
    except asyncio.IncompleteReadError:
        raise sealing.SealError("no greeting") from None
    except msgspec.MsgspecError:
        raise sealing.SealError("a garbled greeting") from None
    if greeting.magic != sealing.MAGIC.decode():
        raise sealing.SealError("another protocol")
    return greeting
