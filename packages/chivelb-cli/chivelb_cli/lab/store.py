"""Simulated KV cache store."""

import argparse
import dataclasses
import random
import time

from aiohttp import web
from chivelb_core import targets
from chivelb_core.kv_cache import messages as kv_cache_messages
import msgspec

from chivelb_cli.lab import announcer
from chivelb_cli.lab import expected_output
from chivelb_cli.lab import faults as faults_lib
from chivelb_cli.lab import link as link_lib
from chivelb_cli.lab import prefix_cache
from chivelb_cli.lab import serving

OWNER_LEASE_S = 3.0


@dataclasses.dataclass(slots=True)
class StoredBlock:
    """A block in the store.

    Attributes:
        generation: Number that the owner assigned when it reserved the space
            of the block; never reused, so that it tells the block from earlier
            and later ones of the same key.
        content: Simulated content; empty until sealed.
        length: Size in bytes of the block that is simulated.
        sealed: Whether it is completely written and readable.
    """

    generation: int
    content: bytes
    length: int
    sealed: bool


class WriteBody(msgspec.Struct):
    """Body of ``POST /write``.

    Attributes:
        anchor: Key that selects the directory shard of the prompt.
        refs: The blocks.
        contents: Content of each block.
    """

    anchor: str
    refs: list[kv_cache_messages.BlockRef]
    contents: list[bytes]


class ReadBody(msgspec.Struct):
    """Body of ``POST /read``."""

    refs: list[kv_cache_messages.BlockRef]


class OwnerBody(msgspec.Struct):
    """Body of ``POST /owner``.

    Attributes:
        owner: Name of the instance that requests or renews the ownership.
        token: Fencing token that the instance holds; 0 when none.
    """

    owner: str
    token: int


class FreedBlock(msgspec.Struct):
    """A block to free, at a given generation."""

    key: str
    generation: int


class FreeBody(msgspec.Struct):
    """Body of ``POST /free``: the fencing token and the blocks."""

    token: int
    blocks: list[FreedBlock]


class Store:
    """A simulated store process.

    At any time one instance, the owner, decides which blocks the store holds.

    Attributes:
        blocks: Blocks by key.
        capacity: Capacity in bytes.
        link: Network link of the store.
        faults: The active faults.
        blocks_read: Number of blocks read so far.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Creates an empty store."""
        self.arguments = arguments
        self.blocks: dict[str, StoredBlock] = {}
        self.capacity = arguments.capacity
        self.link = link_lib.Link(arguments.link_rate)
        self.fault_handlers = faults_lib.FaultHandlers()
        self.faults = self.fault_handlers.faults
        self.blocks_read = 0
        # Only records and delays cache events: its capacity, in blocks, is
        # never reached, and the contents are in ``blocks``.
        self._event_log = prefix_cache.PrefixCache(
            1 << 60, event_lag_s=arguments.event_lag, rng=random.Random(1)
        )
        self._owner = ""
        self._owner_token = 0
        self._owner_lease_ends_at = 0.0
        self._generation = 0
        self._incarnation = time.time_ns() // 1_000_000
        self._port = 0

    def app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_post("/owner", self.acquire_ownership)
        app.router.add_post("/free", self.free)
        app.router.add_post("/write", self.write)
        app.router.add_post("/read", self.read)
        app.router.add_get("/admin/state", self.state)
        self.fault_handlers.add_routes(app)
        return app

    async def acquire_ownership(self, request: web.Request) -> web.Response:
        """Grants the lease on the store's blocks to one owner at a time.

        A new owner gets a new fencing token and references to all sealed
        blocks. While another owner holds the lease, the reply has token 0.
        """
        body = msgspec.json.decode(await request.read(), type=OwnerBody)
        now = time.monotonic()
        is_renewal = (
            body.owner == self._owner and body.token == self._owner_token
        )
        if not is_renewal:
            if now < self._owner_lease_ends_at and body.owner != self._owner:
                return serving.json_response(
                    {"token": 0, "capacity": 0, "generation": 0, "refs": []}
                )
            self._owner = body.owner
            self._owner_token += 1
        self._owner_lease_ends_at = now + OWNER_LEASE_S
        refs = [] if is_renewal else self._sealed_refs()
        return serving.json_response(
            {
                "token": self._owner_token,
                "capacity": self.capacity,
                "generation": self._generation,
                "refs": msgspec.to_builtins(refs),
            }
        )

    def _sealed_refs(self) -> list[kv_cache_messages.BlockRef]:
        return [
            kv_cache_messages.BlockRef(
                key,
                block.generation,
                expected_output.checksum(block.content),
                block.length,
            )
            for key, block in self.blocks.items()
            if block.sealed
        ]

    async def free(self, request: web.Request) -> web.Response:
        """Frees blocks on behalf of the current owner."""
        body = msgspec.json.decode(await request.read(), type=FreeBody)
        if body.token != self._owner_token:
            return web.Response(
                status=409,
                text="fencing token is not that of the current owner\n",
            )
        for freed in body.blocks:
            block = self.blocks.get(freed.key)
            if block is not None and block.generation == freed.generation:
                del self.blocks[freed.key]
                self._event_log.remove([freed.key])
        return serving.json_response({"freed": True})

    async def write(self, request: web.Request) -> web.Response:
        """Writes blocks; each is readable once it is sealed."""
        body = msgspec.json.decode(await request.read(), type=WriteBody)
        if self.faults.full:
            return web.Response(status=507, text="store is full\n")
        for ref in body.refs:
            self._generation = max(self._generation, ref.generation)
            self.blocks[ref.key] = StoredBlock(
                ref.generation, b"", ref.length, False
            )
        size = sum(ref.length for ref in body.refs)
        await self.link.transfer(size, self.faults.link_factor)
        sealed = []
        for ref, content in zip(body.refs, body.contents, strict=True):
            block = self.blocks.get(ref.key)
            if block is None or block.generation != ref.generation:
                continue
            block.content = content
            block.sealed = True
            sealed.append(
                msgspec.structs.replace(
                    ref, checksum=expected_output.checksum(content)
                )
            )
        if sealed:
            self._event_log.insert(
                body.anchor,
                [(ref.key, b"") for ref in sealed],
            )
        return serving.json_response(msgspec.to_builtins(sealed))

    async def read(self, request: web.Request) -> web.Response:
        """Reads blocks up to the first that is not available.

        A block is available when it is sealed and of the given generation.
        """
        body = msgspec.json.decode(await request.read(), type=ReadBody)
        contents = []
        size = 0
        for ref in body.refs:
            block = self.blocks.get(ref.key)
            if (
                block is None
                or not block.sealed
                or block.generation != ref.generation
            ):
                break
            contents.append(block.content)
            size += block.length
        await self.link.transfer(size, self.faults.link_factor)
        self.blocks_read += len(contents)
        return serving.json_response(contents)

    async def state(self, request: web.Request) -> web.Response:
        """Serves internal state for tests.

        ``bytes`` is the size of all blocks; ``moved`` is the number of bytes
        transferred over the link so far, as ``link_bytes`` of a runner.
        """
        return serving.json_response(
            {
                "blocks": len(self.blocks),
                "bytes": sum(b.length for b in self.blocks.values()),
                "reads": self.blocks_read,
                "moved": self.link.transferred_bytes,
                "owner": self._owner,
            }
        )

    def build_record(self) -> targets.TargetRecord:
        """Returns the target record to announce.

        A store reports the pending bytes of its link as ``pending_tokens``,
        and the placeholder ``kept`` as its service.
        """
        arguments = self.arguments
        return announcer.make_record(
            arguments,
            incarnation=self._incarnation,
            port=self._port,
            role="store",
            service="kept",
            link_rate=arguments.link_rate,
            pending_tokens=self.link.pending_bytes(),
        )

    def background_tasks(self, port: int) -> list:
        """Returns the coroutines to run alongside the server.

        Args:
            port: Port that the server listens on.
        """
        self._port = port
        return [
            announcer.Announcer.from_arguments(
                self.arguments,
                self.build_record,
                lambda: self._event_log.pop_due_events(self.faults.drop_events),
                self._event_log.build_listing,
            ).run()
        ]


def run(arguments: argparse.Namespace) -> int:
    """Runs ``chivelb lab store``."""
    return serving.run_target(Store, arguments)
