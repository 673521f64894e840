"""Stand-in for a model runner: HTTP around the engine."""

import argparse
import asyncio
import os
import random
import time

import aiohttp
from aiohttp import web
from chivelb_core import kept
from chivelb_core import targets
from chivelb_core.kept import messages as kept_messages
import msgspec

from chivelb_cli.lab import announcer
from chivelb_cli.lab import engine as engine_lib
from chivelb_cli.lab import faults as faults_lib
from chivelb_cli.lab import link as link_lib
from chivelb_cli.lab import prefix_cache
from chivelb_cli.lab import serving
from chivelb_cli.lab import transfers

HEARTBEAT_S = 0.5
KEEP_ENDED_S = 60.0
SWEEP_PERIOD_S = 5.0
CRASH_EXIT = 17


class AttemptBody(msgspec.Struct):
    """Body of ``POST /v1/attempts``.

    Attributes:
        request_id: Id for the answer's JSON.
        model: Name of the model.
        version: Weight version that must compute the answer.
        prompt: The prompt.
        max_tokens: Tokens to generate.
        cache_salt: Salt of the block keys.
        chat: Whether events have the chat shape.
        priority: Lower runs first.
        imports: Blocks that the request brings along.
        offset: Tokens that another runner generated already.
        continued_text: Their text.
    """

    request_id: str
    model: str
    version: str
    prompt: str
    max_tokens: int
    cache_salt: str
    chat: bool = False
    priority: int = 0
    imports: transfers.ImportOrder = msgspec.field(
        default_factory=transfers.ImportOrder
    )
    offset: int = 0
    continued_text: str = ""


class ExportBody(msgspec.Struct):
    """Body of ``POST /cache/export``."""

    store: str
    refs: list[kept_messages.BlockRef]


class OrderBody(msgspec.Struct):
    """Body of ``POST /orders``.

    Attributes:
        token: Fencing token of the controller.
        order_id: Id of the order; a resend is not carried out twice.
        kind: ``swap``: load a weight version and serve it.
        version: The weight version.
    """

    token: int
    order_id: str
    kind: str
    version: str


class Runner:
    """A runner process.

    Attributes:
        engine: The engine.
        cache: Its prefix cache.
        attempts: Attempts by id, ended ones for a while.
        version: Weight version in force.
        ready: ``ready``, ``loading`` or ``leaving``.
        orders: Orders carried out, for tests.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        """Creates an idle runner."""
        self.arguments = arguments
        rng = random.Random(arguments.seed)
        self.cache = prefix_cache.PrefixCache(
            arguments.cache_blocks, event_lag_s=arguments.event_lag, rng=rng
        )
        self.engine = engine_lib.Engine(
            self.cache,
            slots=arguments.slots,
            prefill_rate=arguments.prefill_rate,
            decode_rate=arguments.decode_rate,
            load_lag_s=arguments.load_lag,
        )
        self.link = link_lib.Link(arguments.link_rate)
        self.transfers = transfers.Transfers(self.cache, self.link)
        self.fault_handlers = faults_lib.FaultHandlers()
        self.faults = self.fault_handlers.faults
        self.attempts: dict[str, engine_lib.Sequence] = {}
        self.barred: dict[str, float] = {}
        self.version = arguments.version
        self.ready = "ready"
        self.orders: list[dict] = []
        self._token = 0
        self._incarnation = time.time_ns() // 1_000_000
        self._port = 0
        self._hang_before = 0.0
        self._loading: asyncio.Task | None = None

    def app(self) -> web.Application:
        """Returns the routes."""
        app = web.Application(client_max_size=64 << 20)
        router = app.router
        router.add_post("/v1/attempts", self.start_attempt)
        router.add_get("/v1/attempts/{id}/events", self.resume)
        router.add_post("/v1/attempts/{id}/status", self.status)
        router.add_delete("/v1/attempts/{id}", self.cancel)
        router.add_post("/cache/export", self.export)
        router.add_post("/orders", self.order)
        router.add_post("/admin/leave", self.leave)
        router.add_post("/admin/hang", self.hang)
        router.add_get("/admin/state", self.state)
        self.fault_handlers.add_routes(app)
        return app

    # Attempts.

    async def start_attempt(self, request: web.Request) -> web.StreamResponse:
        """Runs an attempt and streams its tokens."""
        attempt_id = request.headers.get("X-Attempt-Id", "")
        body = msgspec.json.decode(await request.read(), type=AttemptBody)
        refusal = self._find_refusal(request, attempt_id, body)
        if refusal:
            return _not_run(attempt_id, refusal)
        if self.faults.crash_on and self.faults.crash_on in body.prompt:
            await asyncio.sleep(0.05)
            os._exit(CRASH_EXIT)
        sequence = engine_lib.Sequence(
            attempt_id=attempt_id,
            request_id=body.request_id,
            salt=body.cache_salt,
            version=body.version,
            prompt=body.prompt.encode(),
            max_tokens=body.max_tokens,
            offset=body.offset,
            priority=body.priority,
            chat=body.chat,
        )
        self.attempts[attempt_id] = sequence
        if body.imports.refs:
            asyncio.ensure_future(self._import_then_run(sequence, body))
        else:
            self.engine.submit(sequence)
        if self.faults.lose_answer:
            request.transport.close()
            return web.Response()
        return await self._stream(request, sequence, body.offset)

    async def _import_then_run(
        self, sequence: engine_lib.Sequence, body: AttemptBody
    ) -> None:
        keys = self.engine._keys(sequence)
        try:
            if keys:
                await self.transfers.load(kept.anchor_key(keys), body.imports)
        finally:
            if sequence.state == "waiting":
                self.engine.submit(sequence)

    def _find_refusal(
        self, request: web.Request, attempt_id: str, body: AttemptBody
    ) -> str:
        if attempt_id in self.barred or attempt_id in self.attempts:
            return "attempt is barred or known"
        if request.headers.get("X-Target") not in (
            None,
            self.arguments.identity,
        ):
            return "another target's request"
        if self.faults.refuse or self.ready != "ready":
            return "not ready"
        if body.version != self.version:
            return f"weight version {self.version} is in force"
        if len(self.engine.waiting) >= self.arguments.max_waiting:
            return "queue is full"
        return ""

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Streams an attempt from a token on."""
        sequence = self.attempts.get(request.match_info["id"])
        if sequence is None:
            return web.Response(status=404, text="unknown attempt\n")
        offset = int(request.query.get("offset", "0"))
        return await self._stream(request, sequence, offset)

    async def _stream(
        self,
        request: web.Request,
        sequence: engine_lib.Sequence,
        position: int,
    ) -> web.StreamResponse:
        attempt_id = sequence.attempt_id
        if self.faults.cross and len(self.attempts) > 1:
            others = [key for key in self.attempts if key != attempt_id]
            attempt_id = others[-1]
        opened_at = time.monotonic()
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": attempt_id,
                "X-Weight-Version": sequence.version,
            }
        )
        if self.faults.late_s:
            await asyncio.sleep(self.faults.late_s)
        await response.prepare(request)
        sequence.readers += 1
        try:
            return await self._feed(
                request, response, sequence, attempt_id, position, opened_at
            )
        finally:
            sequence.readers -= 1

    async def _feed(
        self,
        request: web.Request,
        response: web.StreamResponse,
        sequence: engine_lib.Sequence,
        attempt_id: str,
        position: int,
        opened_at: float,
    ) -> web.StreamResponse:
        while True:
            if self._is_hung(opened_at):
                await asyncio.sleep(3600)
            position = await self._write_new(
                response, sequence, attempt_id, position
            )
            if sequence.state == "failed":
                request.transport.close()
                return response
            if sequence.state == "done" and position >= (
                sequence.offset + len(sequence.tokens)
            ):
                await response.write(b"data: [DONE]\n\n")
                await response.write_eof()
                return response
            await self._wait(response, sequence)

    def _is_hung(self, opened_at: float) -> bool:
        return self.faults.hang and opened_at < self._hang_before

    async def _write_new(
        self,
        response: web.StreamResponse,
        sequence: engine_lib.Sequence,
        attempt_id: str,
        position: int,
    ) -> int:
        done = sequence.state == "done"
        end = sequence.offset + len(sequence.tokens)
        parts = [
            _event(
                sequence,
                attempt_id,
                at,
                last=done and at == end - 1,
            )
            for at in range(max(position, sequence.offset), end)
        ]
        if parts:
            await response.write(b"".join(parts))
        return max(position, end)

    async def _wait(
        self, response: web.StreamResponse, sequence: engine_lib.Sequence
    ) -> None:
        sequence.changed.clear()
        try:
            async with asyncio.timeout(HEARTBEAT_S):
                await sequence.changed.wait()
        except TimeoutError:
            await response.write(b": beat\n\n")

    async def status(self, request: web.Request) -> web.Response:
        """Tells what became of an attempt; bars one never seen."""
        attempt_id = request.match_info["id"]
        sequence = self.attempts.get(attempt_id)
        if sequence is None:
            self.barred[attempt_id] = time.monotonic()
            state = "barred"
        elif sequence.state in ("done", "failed"):
            state = sequence.state
        else:
            state = "running"
        return _json({"state": state, "incarnation": self._incarnation})

    async def cancel(self, request: web.Request) -> web.Response:
        """Stops an attempt that nobody reads."""
        sequence = self.attempts.get(request.match_info["id"])
        if sequence is not None and not sequence.readers:
            self.engine.cancel(sequence)
        return web.Response(text="cancelled\n")

    # Cache and orders.

    async def export(self, request: web.Request) -> web.Response:
        """Writes blocks to a store."""
        body = msgspec.json.decode(await request.read(), type=ExportBody)
        sealed = await self.transfers.store(body.store, body.refs)
        return _json({"sealed": msgspec.to_builtins(sealed)})

    async def order(self, request: web.Request) -> web.Response:
        """Carries out an order; an old fencing token is refused."""
        body = msgspec.json.decode(await request.read(), type=OrderBody)
        if self.arguments.checks_fencing and body.token < self._token:
            return web.Response(status=409, text="old fencing token\n")
        self._token = max(self._token, body.token)
        known = any(o["order_id"] == body.order_id for o in self.orders)
        if body.version == self.version:
            state = "done"
        elif not known:
            state = "accepted"
            self.orders.append(msgspec.to_builtins(body))
            if self._loading is not None:
                self._loading.cancel()
            self._loading = asyncio.create_task(self._load(body))
        else:
            state = "loading" if self.ready == "loading" else "failed"
        return _json({"state": state, "version": self.version})

    async def _load(self, body: OrderBody) -> None:
        self.ready = "loading"
        try:
            if self.arguments.weights:
                async with aiohttp.ClientSession() as session:
                    async with session.get(
                        f"{self.arguments.weights}/weights/{body.version}"
                    ) as response:
                        if response.status != 200:
                            raise aiohttp.ClientError("no such weights")
                        await response.read()
            else:
                await asyncio.sleep(self.arguments.load_s)
            self.version = body.version
            self.cache.clear()
        except aiohttp.ClientError:
            pass
        finally:
            self.ready = "ready"

    # Administration.

    async def leave(self, request: web.Request) -> web.Response:
        """Starts a planned leave."""
        self.ready = "leaving"
        async with aiohttp.ClientSession() as session:
            await self._announcer.announce(session)
        return web.Response(text="leaving\n")

    async def hang(self, request: web.Request) -> web.Response:
        """Makes the streams that are open now silent for good."""
        self._hang_before = time.monotonic()
        self.faults.hang = True
        return web.Response(text="hung\n")

    async def state(self, request: web.Request) -> web.Response:
        """Tells tests what the runner did."""
        return _json(
            {
                "version": self.version,
                "ready": self.ready,
                "attempts": list(self.attempts),
                "running": len(self.engine.running),
                "waiting": len(self.engine.waiting),
                "computed_tokens": self.engine.computed_tokens,
                "reused_tokens": self.engine.reused_tokens,
                "link_bytes": self.link.moved,
                "cached_blocks": len(self.cache.blocks),
                "orders": self.orders,
                "pid": os.getpid(),
            }
        )

    def describe(self) -> targets.TargetRecord:
        """Returns the record to announce."""
        arguments = self.arguments
        running, pending, age_s = self.engine.lagged_load()
        return targets.TargetRecord(
            identity=arguments.identity,
            incarnation=self._incarnation,
            address=f"{arguments.host}:{self._port}",
            zone=arguments.zone,
            role="runner",
            service=arguments.service,
            model=arguments.model,
            weight_version=self.version,
            state=self.ready,
            slots=arguments.slots,
            room_tokens=arguments.room_tokens,
            running=running,
            pending_tokens=pending,
            load_age_s=age_s,
            prefill_rate=arguments.prefill_rate,
            link_rate=arguments.link_rate,
            bytes_per_token=arguments.bytes_per_token,
            checks_fencing=arguments.checks_fencing,
            lease_s=arguments.lease,
        )

    def start(self, port: int) -> list:
        """Returns what runs beside the server."""
        self._port = port
        self._announcer = announcer.Announcer(
            self.arguments.announce,
            self.describe,
            lambda: self.cache.take_events(self.faults.drop_events),
            self.cache.listing,
            period_s=self.arguments.announce_period,
            target_key=self.arguments.target_key,
        )
        return [self.engine.run(), self._announcer.run(), self._sweep()]

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now = time.monotonic()
            late = [
                key
                for key, sequence in self.attempts.items()
                if sequence.ended_at and now - sequence.ended_at > KEEP_ENDED_S
            ]
            for key in late:
                del self.attempts[key]


def _event(
    sequence: engine_lib.Sequence, attempt_id: str, at: int, *, last: bool
) -> bytes:
    text = sequence.tokens[at - sequence.offset]
    reason = '"stop"' if last else "null"
    usage = ""
    if last:
        usage = (
            f',"usage":{{"prompt_tokens":{sequence.prompt_tokens},'
            f'"completion_tokens":{at + 1},'
            f'"cached_tokens":{sequence.cached_tokens}}}'
        )
    content = f'"text":"{text}"'
    kind = "text_completion"
    if sequence.chat:
        content = f'"delta":{{"content":"{text}"}}'
        kind = "chat.completion.chunk"
    return (
        f"id: {attempt_id}/{at}\n"
        f'data: {{"id":"{sequence.request_id}","object":"{kind}",'
        f'"choices":[{{"index":0,{content},"finish_reason":{reason}}}]'
        f"{usage}}}\n\n"
    ).encode()


def _not_run(attempt_id: str, reason: str) -> web.Response:
    return web.Response(
        status=503,
        text=f"{reason}\n",
        headers={"X-Not-Run": attempt_id, "X-Attempt-Id": attempt_id},
    )


def _json(value) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


def run(arguments: argparse.Namespace) -> int:
    """Runs ``chivelb lab runner``."""

    async def main() -> None:
        runner = Runner(arguments)
        await serving.serve(
            runner.app(),
            arguments.host,
            arguments.port,
            runner.start,
            as_json=arguments.json,
        )

    asyncio.run(main())
    return 0
