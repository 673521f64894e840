"""KV cache block transfers between a simulated runner and the stores."""

import asyncio

import aiohttp
from chivelb_core.kv_cache import messages as kv_cache_messages
import msgspec

from chivelb_cli.lab import expected_output
from chivelb_cli.lab import link as link_lib
from chivelb_cli.lab import prefix_cache

TRANSFER_TIMEOUT_S = 8.0


class BlockImport(msgspec.Struct):
    """KV cache blocks to import from a store before a request runs.

    Attributes:
        store: Address of the store.
        refs: The blocks, in order.
    """

    store: str = ""
    refs: list[kv_cache_messages.BlockRef] = []


class Transfers:
    """Block imports and exports of one runner.

    An import reads blocks from a store into the prefix cache of the runner, an
    export writes them from there to a store. Concurrent imports of the same
    blocks share one transfer.

    Attributes:
        cache: Prefix cache of the runner.
        link: Network link of the runner.
    """

    def __init__(
        self, cache: prefix_cache.PrefixCache, link: link_lib.Link
    ) -> None:
        """Creates transfers over a cache and a link."""
        self.cache = cache
        self.link = link
        self._imports_in_progress: dict[str, asyncio.Task] = {}
        self._session: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Returns the client session, opened on first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TRANSFER_TIMEOUT_S)
            )
        return self._session

    async def import_blocks(
        self, anchor: str, block_import: BlockImport
    ) -> None:
        """Imports blocks from a store, up to the first checksum mismatch."""
        refs = [
            ref for ref in block_import.refs if ref.key not in self.cache.blocks
        ]
        if not refs:
            return
        last_key = refs[-1].key
        import_task = self._imports_in_progress.get(last_key)
        if import_task is None:
            import_task = asyncio.create_task(
                self._read_into_cache(anchor, block_import.store, refs)
            )
            self._imports_in_progress[last_key] = import_task
            import_task.add_done_callback(
                lambda _: self._imports_in_progress.pop(last_key, None)
            )
        await asyncio.shield(import_task)

    async def _read_into_cache(
        self, anchor: str, store: str, refs: list[kv_cache_messages.BlockRef]
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
            if expected_output.checksum(content) != ref.checksum:
                break
            contents.append((ref.key, content))
        await self.link.transfer(sum(ref.length for ref in refs))
        if contents:
            self.cache.insert(anchor, contents)

    async def export_blocks(
        self, store: str, refs: list[kv_cache_messages.BlockRef]
    ) -> list[kv_cache_messages.BlockRef]:
        """Writes cached blocks to a store.

        Args:
            store: Address of the store.
            refs: The blocks.

        Returns:
            References to the sealed blocks; empty when the write failed.
        """
        cached_refs = [ref for ref in refs if ref.key in self.cache.blocks]
        if not cached_refs:
            return []
        await self.link.transfer(sum(ref.length for ref in cached_refs))
        contents = [
            self.cache.blocks[ref.key][0]
            for ref in cached_refs
            if ref.key in self.cache.blocks
        ]
        if len(contents) < len(cached_refs):
            return []
        body = msgspec.json.encode(
            {
                "anchor": self.cache.blocks[cached_refs[0].key][1],
                "refs": msgspec.to_builtins(cached_refs),
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
                    type=list[kv_cache_messages.BlockRef],
                )
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return []
