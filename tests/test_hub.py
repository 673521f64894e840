"""Requests to instances that can't be reached or fall silent."""

import asyncio
import socket
import types

import builders
from chivelb_node.links import hub as hub_lib
from chivelb_node.links import peer_link
from chivelb_node.wire import authentication
from chivelb_node.wire import messages


def unused_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_hub():
    context = builders.make_context()
    return hub_lib.Hub(context, authentication.KeyRing(None))


# Guards against a request that waits for its time-out although its receiver
# refuses connections, and so delays the request to the next instance.
def test_a_request_to_an_instance_that_is_down_fails_before_its_timeout():
    async def run():
        hub = make_hub()
        hub.addresses["down"] = (f"127.0.0.1:{unused_port()}", "z1")
        async with asyncio.timeout(10):
            return await hub.request("down", messages.Pull(1), 3_600.0)

    assert asyncio.run(run()) is None


def test_a_request_to_an_unknown_instance_fails_before_its_timeout():
    async def run():
        async with asyncio.timeout(10):
            return await make_hub().request("?", messages.Pull(1), 3_600.0)

    assert asyncio.run(run()) is None


class OpenTransport:
    """Takes all bytes."""

    def get_write_buffer_size(self):
        return 0


class OpenWriter:
    """Writer of a connection that nothing arrives from."""

    transport = OpenTransport()

    def write(self, data):
        pass

    def close(self):
        pass


def open_link(hub, peer):
    authenticator = types.SimpleNamespace(sign=lambda data: b"")
    link = peer_link.Link(
        peer, "z1", "", OpenWriter(), authenticator, authenticator, 0.0
    )
    hub.links[peer] = link
    return link


class UnreadTransport:
    """Keeps all bytes until it is aborted, as for a peer that stands still."""

    def __init__(self):
        self.size = 0

    def get_write_buffer_size(self):
        return self.size

    def abort(self):
        self.size = 0


class UnreadWriter:
    def __init__(self):
        self.transport = UnreadTransport()

    def write(self, data):
        self.transport.size += len(data)

    def close(self):
        pass


# Guards against a process that keeps as much for each of many peers that stand
# still as one link may have to send.
def test_what_waits_for_peers_that_read_nothing_is_bounded_together():
    async def run():
        hub = make_hub()
        links = {}
        for number in range(40):
            link = open_link(hub, f"still-{number}")
            link.writer = UnreadWriter()
            links[link.peer] = link
        reading = open_link(hub, "reading")
        data = bytes(262_144)
        most = 0
        for _ in range(30):
            for peer in (*links, "reading"):
                hub._send_encoded(peer, data)
            sizes = [link.writer.transport.size for link in links.values()]
            most = max(most, sum(sizes))
        assert most <= hub_lib.MAX_UNSENT_BYTES
        assert hub.links["reading"] is reading
        assert len(hub.links) < len(links)

    asyncio.run(run())


# Guards against the same while links are being opened.
def test_what_waits_for_a_link_to_open_is_bounded_in_bytes():
    pending = hub_lib.PendingLink()
    for _ in range(100):
        pending.add(bytes(1_000_000))
    assert sum(map(len, pending.frames)) <= hub_lib.MAX_QUEUED_BYTES
    pending.add(b"small")
    assert pending.frames[-1] == b"small"


# Guards against a request that waits for its time-out after its connection was
# found to be silent, while another instance would reply.
def test_a_request_whose_link_closes_fails_before_its_timeout():
    async def run():
        hub = make_hub()
        link = open_link(hub, "silent")
        open_link(hub, "other")
        requests = {
            peer: asyncio.create_task(
                hub.request(peer, messages.Pull(1), 3_600.0)
            )
            for peer in ("silent", "other")
        }
        await asyncio.sleep(0)
        hub._close_link(link, "test")
        async with asyncio.timeout(10):
            reply = await requests["silent"]
        waits = not requests["other"].done()
        requests["other"].cancel()
        return reply, waits

    assert asyncio.run(run()) == (None, True)


# Guards against an exception that nobody sees, and a peer that is asked again
# and again without a pause, when a peer closes in the middle of a handshake.
def test_a_peer_that_closes_during_the_handshake_counts_as_unreachable():
    async def close_after_hello(reader, writer):
        await peer_link._read_hello(reader)
        hello = authentication.make_hello("open", "closing", "z1")
        peer_link._write_hello(writer, hello)
        await writer.drain()
        writer.close()

    async def run():
        hub = make_hub()
        server = await asyncio.start_server(close_after_hello, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        hub.addresses["closing"] = (f"127.0.0.1:{port}", "z1")
        pending = hub._start_connecting("closing")
        await asyncio.wait([pending.task])
        server.close()
        return pending.task.exception(), "closing" in hub._reconnect_at

    assert asyncio.run(run()) == (None, True)
