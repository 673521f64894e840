"""Requests to stores and runners that move and free cached blocks."""

import asyncio

import aiohttp
from chivelb_core.kv_cache import messages as kv_cache_messages
import msgspec

from chivelb_node.links import limited_bodies

STORE_TIMEOUT_S = 1.0
EXPORT_TIMEOUT_S = 10.0
# Limit for a reply; the longest lists all blocks of a store.
MAX_REPLY_BYTES = 16_777_216


class OwnershipReply(msgspec.Struct, rename="camel"):
    """A store's response to a request for ownership of its block table.

    Attributes:
        token: Fencing token for the owner's requests; 0 if refused.
        capacity: Capacity of the store in bytes.
        generation: Highest block generation that the store has seen.
        refs: References to its sealed blocks: those that are completely
            written and can be read.
    """

    token: int
    capacity: int
    generation: int
    refs: list[kv_cache_messages.BlockRef]


async def acquire_ownership(
    session: aiohttp.ClientSession, address: str, owner: str, token: int
) -> OwnershipReply | None:
    """Requests or renews the ownership of a store's block table.

    Args:
        session: Client session for targets.
        address: ``host:port`` of the store.
        owner: Name of this instance.
        token: Fencing token to renew; 0 for none. A renewal lists no blocks.

    Returns:
        The store's response, or None if there is no valid one.
    """
    return await _post_json(
        session,
        f"http://{address}/owner",
        {"owner": owner, "token": token},
        OwnershipReply,
        STORE_TIMEOUT_S,
    )


async def free_blocks(
    session: aiohttp.ClientSession,
    address: str,
    token: int,
    blocks: list[tuple[str, int]],
) -> bool:
    """Requests a store to free blocks.

    Args:
        session: Client session for targets.
        address: ``host:port`` of the store.
        token: Fencing token of the owner.
        blocks: Keys and generations of the blocks.

    Returns:
        True if the store has freed them.
    """
    body = {
        "token": token,
        "blocks": [{"key": key, "generation": g} for key, g in blocks],
    }
    reply = await _post_json(
        session,
        f"http://{address}/free",
        body,
        FreeReply,
        STORE_TIMEOUT_S,
    )
    return reply is not None and reply.freed


class FreeReply(msgspec.Struct):
    """A store's response to a request to free blocks.

    Attributes:
        freed: Whether the blocks were freed.
    """

    freed: bool


class ExportReply(msgspec.Struct):
    """A runner's response to an export request.

    Attributes:
        sealed: References to the blocks that the store sealed.
    """

    sealed: list[kv_cache_messages.BlockRef]


async def export_blocks(
    session: aiohttp.ClientSession,
    runner: str,
    store: str,
    refs: list[kv_cache_messages.BlockRef],
) -> list[kv_cache_messages.BlockRef]:
    """Requests a runner to write blocks to a store.

    Args:
        session: Client session for targets.
        runner: Address of the runner.
        store: Address of the store.
        refs: References to the reserved blocks.

    Returns:
        References to the sealed blocks, with their checksums.
    """
    body = {"store": store, "refs": msgspec.to_builtins(refs)}
    reply = await _post_json(
        session,
        f"http://{runner}/cache/export",
        body,
        ExportReply,
        EXPORT_TIMEOUT_S,
    )
    return reply.sealed if reply is not None else []


async def _post_json(
    session, url: str, body: dict, reply_type, timeout_s: float
):
    try:
        async with asyncio.timeout(timeout_s):
            async with session.post(
                url,
                data=msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(sock_connect=STORE_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    return None
                reply = await limited_bodies.read_limited(
                    response, MAX_REPLY_BYTES
                )
                return msgspec.json.decode(reply, type=reply_type)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return None
