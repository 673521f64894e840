"""Orders to stores of kept cache and to runners about it."""

import asyncio

import aiohttp
from chivelb_core.kept import messages as kept_messages
import msgspec

STORE_TIMEOUT_S = 1.0
EXPORT_TIMEOUT_S = 10.0


class StoreListing(msgspec.Struct, rename="camel"):
    """A store's answer to one that wants to own its table.

    Attributes:
        token: Fencing token for the owner's orders; 0 when refused.
        capacity: Bytes that the store holds.
        generation: Highest generation that it has seen.
        refs: Its sealed blocks.
    """

    token: int
    capacity: int
    generation: int
    refs: list[kept_messages.BlockRef]


async def own_store(
    session: aiohttp.ClientSession, address: str, owner: str, token: int
) -> StoreListing | None:
    """Asks to own a store's table, or to go on owning it.

    Args:
        session: Client session for targets.
        address: ``host:port`` of the store.
        owner: Name of this instance.
        token: Token held so far; 0 for none. A renewal lists no blocks.

    Returns:
        The store's answer, or None when it can't be reached.
    """
    return await _post(
        session,
        f"http://{address}/owner",
        {"owner": owner, "token": token},
        StoreListing,
        STORE_TIMEOUT_S,
    )


async def free_blocks(
    session: aiohttp.ClientSession,
    address: str,
    token: int,
    blocks: list[tuple[str, int]],
) -> bool:
    """Orders a store to free blocks; True when they are gone.

    Args:
        session: Client session for targets.
        address: ``host:port`` of the store.
        token: Fencing token of the owner.
        blocks: Keys and generations.
    """
    body = {
        "token": token,
        "blocks": [{"key": key, "generation": g} for key, g in blocks],
    }
    reply = await _post(
        session,
        f"http://{address}/free",
        body,
        FreeReply,
        STORE_TIMEOUT_S,
    )
    return reply is not None and reply.freed


class FreeReply(msgspec.Struct):
    """A store's answer to an order to free."""

    freed: bool


class ExportReply(msgspec.Struct):
    """A runner's answer to an export.

    Attributes:
        sealed: Refs of the blocks that the store sealed.
    """

    sealed: list[kept_messages.BlockRef]


async def export_blocks(
    session: aiohttp.ClientSession,
    runner: str,
    store: str,
    refs: list[kept_messages.BlockRef],
) -> list[kept_messages.BlockRef]:
    """Orders a runner to write blocks to a store.

    Args:
        session: Client session for targets.
        runner: Address of the runner.
        store: Address of the store.
        refs: Reserved blocks.

    Returns:
        Refs of the sealed blocks, with their checksums.
    """
    body = {"store": store, "refs": msgspec.to_builtins(refs)}
    reply = await _post(
        session,
        f"http://{runner}/cache/export",
        body,
        ExportReply,
        EXPORT_TIMEOUT_S,
    )
    return reply.sealed if reply is not None else []


async def _post(session, url: str, body: dict, reply_type, timeout_s: float):
    try:
        async with asyncio.timeout(timeout_s):
            async with session.post(
                url,
                data=msgspec.json.encode(body),
                timeout=aiohttp.ClientTimeout(sock_connect=STORE_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    return None
                return msgspec.json.decode(
                    await response.read(), type=reply_type
                )
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return None
