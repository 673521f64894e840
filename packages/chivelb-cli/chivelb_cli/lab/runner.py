"""Simulated model runner: an HTTP server around the simulated engine."""

import argparse
import asyncio
import contextlib
import os
import random
import time

import aiohttp
from aiohttp import web
from chivelb_core import kv_cache
from chivelb_core import targets
import msgspec

from chivelb_cli.lab import announcer
from chivelb_cli.lab import engine as engine_lib
from chivelb_cli.lab import faults as faults_lib
from chivelb_cli.lab import link as link_lib
from chivelb_cli.lab import prefix_cache
from chivelb_cli.lab import runner_protocol
from chivelb_cli.lab import serving
from chivelb_cli.lab import transfers

HEARTBEAT_INTERVAL_S = 0.5
ENDED_ATTEMPT_RETENTION_S = 60.0
SWEEP_PERIOD_S = 5.0
CRASH_EXIT_CODE = 17


AttemptBody = runner_protocol.AttemptBody
ExportBody = runner_protocol.ExportBody
OrderBody = runner_protocol.OrderBody


class LoadError(Exception):
    """Weights could not be loaded."""


class Runner:
    """A simulated runner process.

    Attributes:
        engine: The simulated engine.
        cache: Prefix cache of the engine.
        link: Network link to the stores.
        transfers: Block transfers to and from the stores.
        faults: The active faults.
        attempts: Attempts by id; ended ones are retained for
            ``ENDED_ATTEMPT_RETENTION_S`` seconds.
        barred_at: Attempt ids that must not start any more, with the
            monotonic time in seconds of the status query that barred them.
        version: Active weight version.
        readiness: ``ready``, ``loading`` while it loads weights, or
            ``leaving`` before a planned stop. Only a ready runner accepts
            attempts; those that have started continue.
        orders: Accepted orders, reported to tests.
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
        self.barred_at: dict[str, float] = {}
        self.version = arguments.version
        self.readiness = "ready"
        self.orders: list[dict] = []
        self._fencing_token = 0
        self._incarnation = time.time_ns() // 1_000_000
        self._cold_until = time.monotonic() + arguments.cold_s
        self._port = 0
        self._hang_streams_before = 0.0
        self._load_task: asyncio.Task | None = None

    def app(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=64 << 20)
        router = app.router
        router.add_post("/v1/attempts", self.start_attempt)
        router.add_get("/v1/attempts/{id}/events", self.resume)
        router.add_post("/v1/attempts/{id}/status", self.status)
        router.add_delete("/v1/attempts/{id}", self.cancel)
        router.add_post("/cache/export", self.export)
        router.add_post("/orders", self.execute_order)
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
        rejection = self._rejection_reason(request, attempt_id, body)
        if rejection:
            return runner_protocol.not_run_response(attempt_id, rejection)
        if self.faults.crash_on and self.faults.crash_on in body.prompt:
            await asyncio.sleep(0.05)
            os._exit(CRASH_EXIT_CODE)
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
        keys = self.engine.block_keys(sequence)
        try:
            if keys:
                await self.transfers.import_blocks(
                    kv_cache.anchor_key(keys), body.imports
                )
        finally:
            if sequence.state == "waiting":
                self.engine.submit(sequence)

    def _rejection_reason(
        self, request: web.Request, attempt_id: str, body: AttemptBody
    ) -> str:
        if attempt_id in self.barred_at or attempt_id in self.attempts:
            return (
                f"attempt id {attempt_id!r} is barred by a status query or "
                "already in use"
            )
        if request.headers.get("X-Target") not in (
            None,
            self.arguments.identity,
        ):
            return (
                f"request is addressed to {request.headers['X-Target']!r}, not "
                f"to {self.arguments.identity!r}"
            )
        if self.faults.refuse or self.readiness != "ready":
            return "runner is loading weights, leaving or refusing requests"
        if body.version != self.version:
            return f"weight version {self.version} is active"
        if len(self.engine.waiting) >= self.arguments.max_waiting:
            return (
                "queue of waiting sequences is full: "
                f"{len(self.engine.waiting)} wait"
            )
        return ""

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Streams an attempt from a given token position."""
        attempt_id = request.match_info["id"]
        sequence = self.attempts.get(attempt_id)
        if sequence is None:
            return web.Response(
                status=404, text=f"unknown attempt {attempt_id}\n"
            )
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
        sequence.reader_count += 1
        try:
            return await self._write_stream(
                request, response, sequence, attempt_id, position, opened_at
            )
        finally:
            sequence.reader_count -= 1

    async def _write_stream(
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
                await asyncio.sleep(faults_lib.HANG_S)
            position = await self._write_new_tokens(
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
            await self._wait_for_change(response, sequence)

    def _is_hung(self, opened_at: float) -> bool:
        return self.faults.hang and opened_at < self._hang_streams_before

    async def _write_new_tokens(
        self,
        response: web.StreamResponse,
        sequence: engine_lib.Sequence,
        attempt_id: str,
        position: int,
    ) -> int:
        is_done = sequence.state == "done"
        end = sequence.offset + len(sequence.tokens)
        events = [
            runner_protocol.format_event(
                sequence,
                attempt_id,
                index,
                last=is_done and index == end - 1,
            )
            for index in range(max(position, sequence.offset), end)
        ]
        if events:
            await response.write(b"".join(events))
        return max(position, end)

    async def _wait_for_change(
        self, response: web.StreamResponse, sequence: engine_lib.Sequence
    ) -> None:
        sequence.changed.clear()
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await sequence.changed.wait()
        except TimeoutError:
            await response.write(b": beat\n\n")

    async def status(self, request: web.Request) -> web.Response:
        """Serves the state of an attempt.

        An unknown attempt is barred: a request that arrives later with its
        id is rejected, so the caller can safely retry elsewhere.
        """
        attempt_id = request.match_info["id"]
        sequence = self.attempts.get(attempt_id)
        if sequence is None:
            self.barred_at[attempt_id] = time.monotonic()
            state = "barred"
        elif sequence.state in ("done", "failed"):
            state = sequence.state
        else:
            state = "running"
        return serving.json_response(
            {"state": state, "incarnation": self._incarnation}
        )

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels an attempt that has no open response stream."""
        sequence = self.attempts.get(request.match_info["id"])
        if sequence is not None and not sequence.reader_count:
            self.engine.cancel(sequence)
        return web.Response(text="cancelled\n")

    # Cache and controller orders.

    async def export(self, request: web.Request) -> web.Response:
        """Writes cached blocks to a store and returns the sealed ones.

        A block is sealed once the store has written it completely.
        """
        body = msgspec.json.decode(await request.read(), type=ExportBody)
        sealed = await self.transfers.export_blocks(body.store, body.refs)
        return serving.json_response({"sealed": msgspec.to_builtins(sealed)})

    async def execute_order(self, request: web.Request) -> web.Response:
        """Executes an order; a stale fencing token is rejected.

        A token is stale if an earlier order had a higher one.
        """
        body = msgspec.json.decode(await request.read(), type=OrderBody)
        if self.arguments.checks_fencing and body.token < self._fencing_token:
            return web.Response(
                status=409,
                text=f"fencing token {body.token} is lower than that of an "
                f"earlier order, {self._fencing_token}\n",
            )
        self._fencing_token = max(self._fencing_token, body.token)
        is_resend = any(o["order_id"] == body.order_id for o in self.orders)
        if body.version == self.version:
            state = "done"
        elif not is_resend:
            state = "accepted"
            self.orders.append(msgspec.to_builtins(body))
            if self._load_task is not None:
                self._load_task.cancel()
            # At once: the order may be repeated before the task has begun.
            self.readiness = "loading"
            self._load_task = asyncio.create_task(
                self._load_weights(body.version)
            )
        else:
            state = "loading" if self.readiness == "loading" else "failed"
        return serving.json_response({"state": state, "version": self.version})

    async def _load_weights(self, version: str) -> None:
        """Loads weights and serves them; keeps the old ones if that fails."""
        with contextlib.suppress(LoadError):
            await self.download_weights(version)
            self.version = version
            self.cache.clear()
        # Not if cancelled: then the next load has begun.
        self.readiness = "ready"

    async def download_weights(self, version: str) -> None:
        """Downloads weights from the weight store, if there is one.

        Raises:
            LoadError: The weights could not be downloaded.
        """
        if not self.arguments.weights:
            await asyncio.sleep(self.arguments.load_s)
            return
        url = f"{self.arguments.weights}/weights/{version}"
        try:
            async with (
                aiohttp.ClientSession(raise_for_status=True) as session,
                session.get(url) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise LoadError(f"{url}: {error}") from None

    # Administration.

    async def leave(self, request: web.Request) -> web.Response:
        """Makes the runner leave, as before a planned stop.

        It accepts no more attempts and announces this at once; attempts that
        have started continue. The runner itself initiates this, whereas an
        operator drains a target through an instance.
        """
        self.readiness = "leaving"
        async with aiohttp.ClientSession() as session:
            await self._announcer.announce(session)
        return web.Response(text="leaving\n")

    async def hang(self, request: web.Request) -> web.Response:
        """Makes all streams that are open now stay silent forever."""
        self._hang_streams_before = time.monotonic()
        self.faults.hang = True
        return web.Response(text="hung\n")

    async def state(self, request: web.Request) -> web.Response:
        """Serves internal state for tests."""
        return serving.json_response(
            {
                "version": self.version,
                "ready": self.readiness,
                "attempts": list(self.attempts),
                "running": len(self.engine.running),
                "waiting": len(self.engine.waiting),
                "computed_tokens": self.engine.computed_tokens,
                "reused_tokens": self.engine.reused_tokens,
                "link_bytes": self.link.transferred_bytes,
                "cached_blocks": len(self.cache.blocks),
                "orders": self.orders,
                "pid": os.getpid(),
            }
        )

    def build_record(self) -> targets.TargetRecord:
        """Returns the target record to announce."""
        arguments = self.arguments
        running, pending, age_s = self.engine.lagged_load()
        return announcer.make_record(
            arguments,
            incarnation=self._incarnation,
            port=self._port,
            role="runner",
            service=arguments.service,
            model=arguments.model,
            weight_version=self.version,
            state=self.readiness,
            slots=arguments.slots,
            room_tokens=arguments.room_tokens,
            running=running,
            pending_tokens=pending,
            load_age_s=age_s,
            prefill_rate=arguments.prefill_rate,
            link_rate=arguments.link_rate,
            bytes_per_token=arguments.bytes_per_token,
            checks_fencing=arguments.checks_fencing,
            cold_s=max(0.0, self._cold_until - time.monotonic()),
            tells_cold=True,
        )

    def background_tasks(self, port: int) -> list:
        """Returns the coroutines to run alongside the server.

        Args:
            port: Port that the server listens on.
        """
        self._port = port
        self._announcer = announcer.Announcer.from_arguments(
            self.arguments,
            self.build_record,
            lambda: self.cache.pop_due_events(self.faults.drop_events),
            self.cache.build_listing,
        )
        return [self.engine.run(), self._announcer.run(), self._sweep()]

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now = time.monotonic()
            expired = [
                key
                for key, sequence in self.attempts.items()
                if sequence.ended_at
                and now - sequence.ended_at > ENDED_ATTEMPT_RETENTION_S
            ]
            for key in expired:
                del self.attempts[key]


def run(arguments: argparse.Namespace) -> int:
    """Runs ``chivelb lab runner``."""
    return serving.run_target(Runner, arguments)
