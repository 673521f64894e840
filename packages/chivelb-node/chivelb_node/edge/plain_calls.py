"""Calls to plain HTTP services, claimed if they must run at most once."""

import asyncio
import dataclasses
import hashlib
import secrets

import aiohttp
from aiohttp import web
from chivelb_core import codes
from chivelb_core import document
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib
from chivelb_core.document import regions as regions_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.control import claim_client
from chivelb_node.edge import claimed_calls
from chivelb_node.edge import dispatch
from chivelb_node.edge import parsing
from chivelb_node.edge import recorded_outcomes
from chivelb_node.edge import responses
from chivelb_node.links import services
from chivelb_node.telemetry import logs

MAX_ATTEMPTS = 3
_log = logs.get_logger("plain")


@dataclasses.dataclass(slots=True)
class PlainCall:
    """A call to a plain service.

    Attributes:
        service: Name of the service.
        method: HTTP method.
        path: Path with query string.
        headers: End-to-end headers, without hop-by-hop ones.
        body: Request body.
        request_id: Id of the request.
        repeatable: Whether the call may run more than once.
        timeout_s: Timeout of an attempt, in seconds.
        regions: Regions whose targets it may use; None for all.
    """

    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    request_id: str
    repeatable: bool
    timeout_s: float
    regions: frozenset[str] | None = None


class PlainCalls(mode.Service):
    """Runs calls to plain services.

    Attributes:
        context: Shared state of the instance.
        claims: Client that claims idempotency keys.
        session: HTTP client session for targets.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        claims: claim_client.ClaimClient,
        session: aiohttp.ClientSession,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.claims = claims
        self.session = session

    async def run(
        self,
        request: web.Request,
        workspace_name: str,
        workspace: document.Workspace,
        body: bytes,
    ) -> web.Response:
        """Serves one call.

        Args:
            request: The caller's request.
            workspace_name: Name of the caller's workspace.
            workspace: Definition of the workspace in the document.
            body: The request body.

        Returns:
            The response of the service.

        Raises:
            responses.RequestError: The service gave no response, or the
                instance is stopping.
        """
        name = request.match_info["service"]
        service = parsing.find_service(self.context, workspace, name, "plain")
        path = "/" + request.match_info["path"]
        rule = parsing.find_rule(self.context, name, path, request.method)
        repeatable = service.repeatable
        if rule is not None:
            repeatable = rule.repeatable
        request_id = parsing.new_request_id(workspace.cache_secret)
        request["request_id"] = request_id
        if request.query_string:
            path += "?" + request.query_string
        headers = services.end_to_end(request.headers)
        headers["X-Request-Id"] = request_id
        headers["X-Workspace"] = workspace_name
        call = PlainCall(
            service=name,
            method=request.method,
            path=path,
            headers=headers,
            body=body,
            request_id=request_id,
            repeatable=repeatable,
            timeout_s=service.timeout_s,
            regions=regions_lib.allowed_regions(workspace.regions),
        )
        key = request.headers.get("Idempotency-Key", "")
        if repeatable or not key:
            response = await self._run_attempts(call)
            outcome = _make_outcome(response)
        else:
            outcome = await self._run_claimed(call, workspace_name, key)
        class_name = rule.class_name if rule is not None else "interactive"
        self._count_done(workspace_name, class_name)
        return _make_response(outcome, request_id)

    def _count_done(self, workspace: str, class_name: str) -> None:
        # 0 is the number of ``codes.DONE``.
        self.context.metrics.series(workspace, class_name).count_outcome(0)

    async def _run_claimed(
        self, call: PlainCall, workspace: str, key: str
    ) -> recorded_outcomes.RecordedOutcome:
        content = b"/".join(
            (call.service.encode(), call.method.encode(), call.path.encode())
        )
        digest = hashlib.sha256(content + b"\0" + call.body).digest()
        claim = await self.claims.claim(workspace, key, digest)
        if isinstance(claim, bytes):
            outcome = recorded_outcomes.decode_outcome(claim)
            if outcome.result_code is not codes.DONE:
                raise responses.RequestError(
                    outcome.result_code, outcome.detail
                )
            if outcome.body is None:
                raise responses.RequestError(codes.ANSWER_NOT_KEPT)
            return outcome
        # The outcome must be recorded even if the caller disconnects.
        task = asyncio.ensure_future(self._run_and_settle(call, claim))
        return await asyncio.shield(task)

    async def _run_and_settle(
        self, call: PlainCall, claim: claim_client.Claim
    ) -> recorded_outcomes.RecordedOutcome:
        try:
            response = await self._run_attempts(call)
        except responses.RequestError as error:
            await claimed_calls.resolve_claim(self.claims, claim, error)
            raise
        outcome = _make_outcome(response)
        recorded = outcome
        if len(response.body) > claim_client.MAX_STORED_OUTCOME_BYTES:
            recorded = recorded_outcomes.RecordedOutcome(
                codes.DONE.number, body=None
            )
        await self.claims.settle(
            claim, recorded_outcomes.encode_outcome(recorded)
        )
        return outcome

    async def _run_attempts(self, call: PlainCall) -> services.ServiceResponse:
        self.context.retry_budget.record_request()
        tried: set[str] = set()
        attempts = 0
        self.context.stop.check_start()
        while True:
            record = self._choose_target(call, tried)
            attempts += 1
            tried.add(record.identity)
            attempt_id = f"{call.request_id}.{secrets.token_hex(4)}"
            load = self.context.load
            now = context_lib.monotonic()
            self.context.record_sent(record.identity, now)
            counted_in = load.record_send(record.identity, now, 0, 0)
            try:
                response = await services.call_service(
                    self.session,
                    record,
                    method=call.method,
                    path=call.path,
                    headers=call.headers,
                    body=call.body,
                    attempt_id=attempt_id,
                    timeout_s=call.timeout_s,
                )
                self.context.targets.record_success(record.identity)
                return response
            except attempt_lib.AttemptError as error:
                outcome = error.outcome
            finally:
                load.record_end(record.identity, 0, counted_in=counted_in)
            self._record_failure(call, attempt_id, record, outcome)
            retryable = attempt_lib.may_retry(
                outcome,
                repeatable=call.repeatable,
                response_started=False,
                attempts=attempts,
                max_attempts=MAX_ATTEMPTS,
            )
            if not retryable or not self.context.retry_budget.spend():
                raise responses.RequestError(outcome.code, outcome.detail)

    def _record_failure(
        self,
        call: PlainCall,
        attempt_id: str,
        record: targets.TargetRecord,
        outcome: attempt_lib.Outcome,
    ) -> None:
        now = context_lib.monotonic()
        self.context.targets.record_failure(
            record.identity, now, incarnation=record.incarnation
        )
        _log.warning(
            "attempt failed",
            request_id=call.request_id,
            attempt_id=attempt_id,
            target=record.identity,
            outcome=outcome.kind.value,
            code=outcome.code.number,
            detail=outcome.detail,
        )

    def _choose_target(
        self, call: PlainCall, tried: set[str]
    ) -> targets.TargetRecord:
        now = context_lib.monotonic()
        context = self.context
        eligible = [
            record
            for record in context.targets.eligible(
                call.service, now, role="plain"
            )
            if record.identity not in tried
            and context.allows_zone(call.regions, record.zone)
        ]
        if not eligible:
            dispatch.check_targets(context, call.service, call.regions, now)
            raise responses.RequestError(codes.NO_TARGET)
        failing = set(
            context.targets.recent_failures(now, dispatch.FAILURE_COOLDOWN_S)
        )
        healthy = [r for r in eligible if r.identity not in failing]
        zone = context.settings.instance.zone
        return min(
            healthy or eligible,
            key=lambda record: (
                context.load.running(record.identity, now)
                // max(1, record.slots),
                record.zone != zone,
                context.load.running(record.identity, now),
                context.rng.random(),
            ),
        )


def _make_outcome(
    response: services.ServiceResponse,
) -> recorded_outcomes.RecordedOutcome:
    return recorded_outcomes.RecordedOutcome(
        codes.DONE.number,
        status=response.status,
        headers=response.headers,
        body=response.body,
    )


def _make_response(
    outcome: recorded_outcomes.RecordedOutcome, request_id: str
) -> web.Response:
    headers = {**outcome.headers, "X-Request-Id": request_id}
    return web.Response(
        status=outcome.status, headers=headers, body=outcome.body
    )
