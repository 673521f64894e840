"""HTTP handlers for callers: completions, chat and plain services."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from aiohttp import web
from chivelb_core import byte_budget
from chivelb_core import codes
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.edge import claimed_calls
from chivelb_node.edge import connections
from chivelb_node.edge import model_calls
from chivelb_node.edge import parsing
from chivelb_node.edge import plain_calls
from chivelb_node.edge import request_bodies
from chivelb_node.edge import responses
from chivelb_node.edge import resumed_streams
from chivelb_node.links import events
from chivelb_node.telemetry import logs

_log = logs.get_logger("edge")


class CallerHandlers:
    """Handlers of the routes for callers.

    Attributes:
        context: Shared state of the instance.
        model_calls: Runs model calls.
        plain_calls: Runs calls to plain services.
        claimed_calls: Runs model calls that must run at most once.
        resumed_streams: Runs streams that a caller resumes.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        model_executor: model_calls.ModelCalls,
        plain_executor: plain_calls.PlainCalls,
        claimed_executor: claimed_calls.ClaimedCalls,
        resume_executor: resumed_streams.ResumedStreams,
    ) -> None:
        """Creates the handlers on top of the objects that run calls."""
        self.context = context
        self.model_calls = model_executor
        self.plain_calls = plain_executor
        self.claimed_calls = claimed_executor
        self.resumed_streams = resume_executor

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes for callers."""
        app.router.add_post("/v1/completions", self.completions)
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_route("*", "/s/{service}/{path:.*}", self.plain)

    async def completions(self, request: web.Request) -> web.StreamResponse:
        """Serves ``POST /v1/completions``."""
        return await self._model(request, chat=False)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serves ``POST /v1/chat/completions``."""
        return await self._model(request, chat=True)

    async def plain(self, request: web.Request) -> web.StreamResponse:
        """Serves ``/s/SERVICE/PATH`` for all methods."""
        with self._track_in_progress() as charge:
            return await self._with_error_response(
                request, self._plain(request, charge)
            )

    @contextlib.contextmanager
    def _track_in_progress(self):
        self.context.in_progress += 1
        self.context.metrics.in_progress.inc()
        charge = self.context.buffers.open()
        try:
            yield charge
        finally:
            charge.close()
            self.context.in_progress -= 1
            self.context.metrics.in_progress.dec()

    async def _with_error_response(
        self, request, coroutine
    ) -> web.StreamResponse:
        try:
            return await coroutine
        except responses.RequestError as error:
            request_id = request.get("request_id", "")
            _log.info(
                "request rejected",
                request_id=request_id,
                code=error.error_detail.code.number,
                detail=error.error_detail.detail,
            )
            response = responses.error_response(
                error.error_detail, request_id, self.context.rng
            )
            if not request.content.at_eof():
                # Closing is cheaper than reading the rest of the body.
                response.force_close()
            return response

    async def _read(
        self, request: web.Request, charge: byte_budget.Charge
    ) -> bytes:
        http = self.context.settings.http
        head_bytes = connections.check_head_size(
            request, self.context.document.limits.max_header_bytes
        )
        charge.add(head_bytes)
        if len(request.headers) > http.max_headers:
            raise responses.RequestError(
                codes.BAD_HEADERS,
                f"{len(request.headers)} headers exceed "
                f"the limit of {http.max_headers} headers",
            )
        self.context.stop.check_start()
        async with self.context.stop.before_start():
            return await request_bodies.read_body(
                request,
                max_bytes=self.context.document.limits.max_body_bytes,
                timeout_s=http.body_timeout_s,
                charge=charge,
            )

    async def _plain(
        self, request: web.Request, charge: byte_budget.Charge
    ) -> web.StreamResponse:
        name, workspace = parsing.authenticate(
            self.context, request.headers.get("Authorization", "")
        )
        body = await self._read(request, charge)
        async with self.context.stop.until_end():
            return await self.plain_calls.run(request, name, workspace, body)

    async def _model(
        self, request: web.Request, *, chat: bool
    ) -> web.StreamResponse:
        with self._track_in_progress() as charge:
            return await self._with_error_response(
                request, self._model_call(request, chat, charge)
            )

    async def _model_call(
        self, request: web.Request, chat: bool, charge: byte_budget.Charge
    ) -> web.StreamResponse:
        name, workspace = parsing.authenticate(
            self.context, request.headers.get("Authorization", "")
        )
        body = request_bodies.decode_json(await self._read(request, charge))
        call = parsing.parse_model_call(self.context, name, body, chat=chat)
        request["request_id"] = call.request_id
        last_event_id = request.headers.get("Last-Event-ID")
        progress = model_calls.Progress()
        if last_event_id:
            answer = self.resumed_streams.run(
                call, workspace, last_event_id, progress
            )
        elif call.repeatable:
            answer = self.model_calls.run(call, progress)
        else:
            key = request.headers.get("Idempotency-Key", "")
            answer = self.claimed_calls.run(call, key, progress)
        if call.stream:
            return await self._stream(request, call, answer, progress, charge)
        return await self._respond_complete(call, answer, progress, charge)

    async def _respond_complete(
        self,
        call: parsing.ModelCall,
        answer: AsyncIterator[events.Batch],
        progress: model_calls.Progress,
        charge: byte_budget.Charge,
    ) -> web.Response:
        code = codes.DONE
        received = []
        try:
            async with (
                self.context.stop.until_end(),
                contextlib.aclosing(answer) as batches,
            ):
                async for batch in batches:
                    charge.add(len(batch.data))
                    received.append(batch.data)
        except responses.RequestError as error:
            code = error.error_detail.code
            raise
        finally:
            self.model_calls.observe(call, progress, code)
        return web.Response(
            body=build_completion(call, b"".join(received)),
            content_type="application/json",
            headers={"X-Request-Id": call.request_id},
        )

    async def _stream(
        self,
        request: web.Request,
        call: parsing.ModelCall,
        answer: AsyncIterator[events.Batch],
        progress: model_calls.Progress,
        charge: byte_budget.Charge,
    ) -> web.StreamResponse:
        code = codes.OUTCOME_UNKNOWN
        response = None
        try:
            async with (
                self.context.stop.until_end(),
                contextlib.aclosing(answer) as batches,
            ):
                async for batch in batches:
                    if response is None:
                        response = await self._start_stream(request, call)
                    # Kept to the end, to continue a stream that breaks off.
                    charge.add(len(batch.data))
                    await response.write(batch.data)
            code = codes.DONE
        except responses.RequestError as error:
            code = error.error_detail.code
            if response is None:
                raise
            body = responses.error_body(error.error_detail, call.request_id)
            await response.write(b"event: error\ndata: " + body + b"\n\n")
        finally:
            self.model_calls.observe(call, progress, code)
        if response is None:
            response = await self._start_stream(request, call)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await response.write_eof()
        return response

    async def _start_stream(
        self, request: web.Request, call: parsing.ModelCall
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "X-Request-Id": call.request_id,
            }
        )
        if self.context.draining:
            response.force_close()
        await response.prepare(request)
        return response


def build_completion(call: parsing.ModelCall, data: bytes) -> bytes:
    """Builds the response for a caller that did not request a stream.

    Args:
        call: The call.
        data: All server-sent events of the answer.

    Returns:
        A completion object encoded as JSON.
    """
    tokens = events.decode_tokens(data)
    text = "".join(event.choices[0].content for event in tokens)
    last = tokens[-1]
    choice: dict = {
        "index": 0,
        "finish_reason": last.choices[0].finish_reason,
    }
    if call.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = last.usage or events.Usage()
    return msgspec.json.encode(
        {
            "id": call.request_id,
            "object": "chat.completion" if call.chat else "text_completion",
            "model": call.service,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "total_tokens": usage.prompt_tokens + usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            },
        }
    )
