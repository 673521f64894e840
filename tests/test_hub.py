"""Requests to instances that can't be reached."""

import asyncio
import socket

import builders
from chivelb_node.links import hub as hub_lib
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
