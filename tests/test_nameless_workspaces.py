"""A workspace may have any name, also an empty one.

Its calls were taken for those of public routes: targets did not learn of the
workspace, and what it cached was shared although it was isolated.
"""

import asyncio

import builders
from chivelb_core import forwarding
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import relay_channel
from chivelb_platform import headers
import memory_channels
import pytest
import sharing_fleet

ISOLATED = {"": True, "b": False}


def encoded(call):
    """Returns the request that a target gets for a call."""
    return headers.encode_request(
        call,
        ports.Message("POST", "/x/", [], b""),
        ports.Assignment(builders.make_record(), 1.0),
    )


def isolated_scopes(*, may_share):
    """Returns the scopes of a nameless, a public and a shared workspace."""
    (state,) = sharing_fleet.make_states([ISOLATED])
    return [
        forwarding.sharing_scope(
            "1", builders.make_call(workspace=name), state, may_share=may_share
        )
        for name in ("", None, "b")
    ]


# Guards against an isolated workspace whose cached prompts others use, and
# against public calls that use them.
@pytest.mark.parametrize("may_share", [True, False])
def test_an_isolated_workspace_without_a_name_shares_nothing(may_share):
    nameless, public, other = isolated_scopes(may_share=may_share)
    assert nameless not in (public, other)
    assert (public == other) == may_share


# Guards against a target that isn't told whose request it runs.
def test_a_target_is_told_of_a_workspace_without_a_name():
    context = sharing_fleet.make_context(
        sharing_fleet.make_states([ISOLATED])[0]
    )
    call = sharing_fleet.make_call(context, "")
    assert call.workspace == ""
    assert b"\r\nX-Tenant-Id: \r\n" in encoded(call)
    public = builders.make_call(workspace=None)
    assert b"X-Tenant-Id" not in encoded(public)


# Guards against the same on the way through a peer, and against a workspace
# that is lost where the sender runs an older build, which sends its name alone.
@pytest.mark.parametrize("name", ["", "w", None])
def test_a_peer_is_told_of_the_workspace(name):
    async def run():
        sender, receiver = memory_channels.make_pair("a", "b")
        await relay_channel.send_request(
            sender,
            builders.make_call(workspace=name),
            ports.Message("POST", "/x/", [], b""),
            ports.Assignment(builders.make_record(), 1.0),
        )
        request = await receiver.receive()
        attempt = await relay_channel.receive_attempt(
            receiver, request, builders.make_route(), builders.make_record()
        )
        return attempt.call.workspace

    assert asyncio.run(run()) == name
