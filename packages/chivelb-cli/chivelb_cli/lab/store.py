"""Stand-in for a store of kept KV cache."""

import argparse
import asyncio
import dataclasses
import random
import time

from aiohttp import web
from chivelb_core import targets
from chivelb_core.kept import messages as kept_messages
import msgspec

from chivelb_cli.lab import announcer
from chivelb_cli.lab import answers
from chivelb_cli.lab import faults as faults_lib
from chivelb_cli.lab import link as link_lib
from chivelb_cli.lab import prefix_cache
from chivelb_cli.lab import serving

OWNER_LEASE_S = 3.0


@dataclasses.dataclass(slots=True)
class StoredBlock:
    """A block in the store.

    Attributes:
        generation: Generation of its slot.
        content: What was written.
        length: Bytes that it stands for.
        sealed: Whether it is whole.
    """

    generation: int
    content: bytes
    length: int
    sealed: bool


class WriteBody(msgspec.Struct):
    """Body of ``POST /write``.

    Attributes:
        anchor: The prompt's anchor.
        refs: The blocks.
        contents: What they hold.
    """

    anchor: str
    refs: list[kept_messages.BlockRef]
    contents: list[bytes]


class ReadBody(msgspec.Struct):
    """Body of ``POST /read``."""

    refs: list[kept_messages.BlockRef]


class OwnerBody(msgspec.Struct):
    """Body of ``POST /owner``."""

    owner: str
    token: int


class FreedBlock(msgspec.Struct):
    """A block that is to be freed."""

    key: str
    generation: int


class FreeBody(msgspec.Struct):
    """Body of ``POST /free``."""

    token: int
    blocks: list[FreedBlock]


class Store:
    """A store process.

    Attributes:
        blocks: Blocks by key.
        capacity: Bytes that it holds.
        link: Its link.
        faults: Switches.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Creates an empty store."""
        self.arguments = arguments
        self.blocks: dict[str, StoredBlock] = {}
        self.capacity = arguments.capacity
        self.link = link_lib.Link(arguments.link_rate)
        self.fault_handlers = faults_lib.FaultHandlers()
        self.faults = self.fault_handlers.faults
        self.reads = 0
        self._events = prefix_cache.PrefixCache(
            1 << 60, event_lag_s=arguments.event_lag, rng=random.Random(1)
        )
        self._owner = ""
        self._token = 0
        self._owned_until = 0.0
        self._generation = 0
        self._incarnation = time.time_ns() // 1_000_000
        self._port = 0

    def app(self) -> web.Application:
        """Returns the routes."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_post("/owner", self.own)
        app.router.add_post("/free", self.free)
        app.router.add_post("/write", self.write)
        app.router.add_post("/read", self.read)
        app.router.add_get("/admin/state", self.state)
        self.fault_handlers.add_routes(app)
        return app

    async def own(self, request: web.Request) -> web.Response:
        """Grants the ownership of the block table to one at a time."""
        body = msgspec.json.decode(await request.read(), type=OwnerBody)
        now = time.monotonic()
        renewal = body.owner == self._owner and body.token == self._token
        if not renewal:
            if now < self._owned_until and body.owner != self._owner:
                return _reply(
                    {"token": 0, "capacity": 0, "generation": 0, "refs": []}
                )
            self._owner = body.owner
            self._token += 1
        self._owned_until = now + OWNER_LEASE_S
        refs = [] if renewal else self._refs()
        return _reply(
            {
                "token": self._token,
                "capacity": self.capacity,
                "generation": self._generation,
                "refs": msgspec.to_builtins(refs),
            }
        )

    def _refs(self) -> list[kept_messages.BlockRef]:
        return [
            kept_messages.BlockRef(
                key,
                block.generation,
                answers.checksum(block.content),
                block.length,
            )
            for key, block in self.blocks.items()
            if block.sealed
        ]

    async def free(self, request: web.Request) -> web.Response:
        """Frees blocks by order of the owner."""
        body = msgspec.json.decode(await request.read(), type=FreeBody)
        if body.token != self._token:
            return web.Response(status=409, text="old token\n")
        for freed in body.blocks:
            block = self.blocks.get(freed.key)
            if block is not None and block.generation == freed.generation:
                del self.blocks[freed.key]
                self._events.drop([freed.key])
        return _reply({"freed": True})

    async def write(self, request: web.Request) -> web.Response:
        """Writes blocks; they are readable only when whole."""
        body = msgspec.json.decode(await request.read(), type=WriteBody)
        if self.faults.full:
            return web.Response(status=507, text="full\n")
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
                msgspec.structs.replace(ref, checksum=answers.checksum(content))
            )
        if sealed:
            self._events.insert(
                body.anchor,
                [(ref.key, b"") for ref in sealed],
            )
        return _reply(msgspec.to_builtins(sealed))

    async def read(self, request: web.Request) -> web.Response:
        """Reads sealed blocks of the given generations."""
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
        self.reads += len(contents)
        return _reply(contents)

    async def state(self, request: web.Request) -> web.Response:
        """Tells tests what the store holds."""
        return _reply(
            {
                "blocks": len(self.blocks),
                "bytes": sum(b.length for b in self.blocks.values()),
                "reads": self.reads,
                "moved": self.link.moved,
                "owner": self._owner,
            }
        )

    def describe(self) -> targets.TargetRecord:
        """Returns the record to announce."""
        arguments = self.arguments
        return targets.TargetRecord(
            identity=arguments.identity,
            incarnation=self._incarnation,
            address=f"{arguments.host}:{self._port}",
            zone=arguments.zone,
            role="store",
            service="kept",
            link_rate=arguments.link_rate,
            pending_tokens=self.link.pending_bytes(),
            lease_s=arguments.lease,
        )

    def start(self, port: int) -> list:
        """Returns what runs beside the server."""
        self._port = port
        return [
            announcer.Announcer(
                self.arguments.announce,
                self.describe,
                lambda: self._events.take_events(self.faults.drop_events),
                self._events.listing,
                period_s=self.arguments.announce_period,
                target_key=self.arguments.target_key,
            ).run()
        ]


def _reply(value) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs ``chivelb lab store``."""

    async def main() -> None:
        store = Store(arguments)
        await serving.serve(
            store.app(),
            arguments.host,
            arguments.port,
            store.start,
            as_json=arguments.json,
        )

    asyncio.run(main())
    return 0
