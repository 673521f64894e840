"""Moves blocks between a stand-in runner and the stores."""

import asyncio

import aiohttp
from chivelb_core.kept import messages as kept_messages
import msgspec

from chivelb_cli.lab import answers
from chivelb_cli.lab import link as link_lib
from chivelb_cli.lab import prefix_cache

TRANSFER_TIMEOUT_S = 8.0


class ImportOrder(msgspec.Struct):
    """Blocks that a request brings along.

    Attributes:
        store: Address of the store.
        refs: The blocks, in order.
    """

    store: str = ""
    refs: list[kept_messages.BlockRef] = []


class Transfers:
    """Imports and exports of one runner; identical loads join one flight.

    Attributes:
        cache: The runner's prefix cache.
        link: The runner's link.
    """

    def __init__(
        self, cache: prefix_cache.PrefixCache, link: link_lib.Link
    ) -> None:
        """Creates transfers over a cache and a link."""
        self.cache = cache
        self.link = link
        self._flights: dict[str, asyncio.Task] = {}
        self._session: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Returns the client session, opened when it is first needed."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TRANSFER_TIMEOUT_S)
            )
        return self._session

    async def load(self, anchor: str, order: ImportOrder) -> None:
        """Loads blocks into the cache, as far as they can be verified."""
        refs = [ref for ref in order.refs if ref.key not in self.cache.blocks]
        if not refs:
            return
        last = refs[-1].key
        flight = self._flights.get(last)
        if flight is None:
            flight = asyncio.create_task(self._fetch(anchor, order.store, refs))
            self._flights[last] = flight
            flight.add_done_callback(lambda _: self._flights.pop(last, None))
        await asyncio.shield(flight)

    async def _fetch(
        self, anchor: str, store: str, refs: list[kept_messages.BlockRef]
    ) -> None:
        body = msgspec.json.encode({"refs": msgspec.to_builtins(refs)})
        contents = []
        try:
            async with self.session().post(
                f"http://{store}/read", data=body
            ) as response:
                if response.status != 200:
                    return
                blocks = msgspec.json.decode(
                    await response.read(), type=list[bytes]
                )
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return
        for ref, content in zip(refs, blocks, strict=False):
            if answers.checksum(content) != ref.checksum:
                break
            contents.append((ref.key, content))
        await self.link.transfer(sum(ref.length for ref in refs))
        if contents:
            self.cache.insert(anchor, contents)

    async def store(
        self, store: str, refs: list[kept_messages.BlockRef]
    ) -> list[kept_messages.BlockRef]:
        """Writes blocks to a store and returns refs of the sealed ones."""
        held = [ref for ref in refs if ref.key in self.cache.blocks]
        if not held:
            return []
        await self.link.transfer(sum(ref.length for ref in held))
        contents = [
            self.cache.blocks[ref.key][0]
            for ref in held
            if ref.key in self.cache.blocks
        ]
        if len(contents) < len(held):
            return []
        body = msgspec.json.encode(
            {
                "anchor": self.cache.blocks[held[0].key][1],
                "refs": msgspec.to_builtins(held),
                "contents": contents,
            }
        )
        try:
            async with self.session().post(
                f"http://{store}/write", data=body
            ) as response:
                if response.status != 200:
                    return []
                return msgspec.json.decode(
                    await response.read(),
                    type=list[kept_messages.BlockRef],
                )
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return []
