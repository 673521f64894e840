"""One prompt from admission to its last token, over as many attempts."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses

import aiohttp
from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib
from chivelb_core.calls import suspects as suspects_lib
from chivelb_core.routing import cost as cost_lib
import msgspec

from chivelb_node import context as context_lib
from chivelb_node.edge import dispatch
from chivelb_node.edge import parsing
from chivelb_node.edge import responses
from chivelb_node.links import cache as cache_lib
from chivelb_node.links import events
from chivelb_node.links import runners
from chivelb_node.telemetry import logs

MAX_ATTEMPTS = 3
PASSED_FIELDS = ("temperature", "top_p", "stop", "seed")
_log = logs.get_logger("calls")


@dataclasses.dataclass(slots=True)
class Progress:
    """What a caller has been given so far.

    Attributes:
        batches: Bytes passed on, kept to continue elsewhere.
        tokens: Tokens passed on.
        version: Weight version of the tokens; a continuation keeps it.
        attempts: Attempts dispatched.
        first_token_at: Monotonic time of the first token, in seconds.
        last_token_at: Monotonic time of the newest token, in seconds.
        cached_tokens: Prompt tokens that were reused.
    """

    batches: list[bytes] = dataclasses.field(default_factory=list)
    tokens: int = 0
    version: str = ""
    attempts: int = 0
    first_token_at: float | None = None
    last_token_at: float = 0.0
    cached_tokens: int = 0


class ModelCalls:
    """Runs model calls.

    Attributes:
        context: Aggregates of the instance.
        dispatcher: Owner of the waiting calls.
        session: Client session for targets.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        dispatcher: dispatch.Dispatcher,
        session: aiohttp.ClientSession,
        cache: cache_lib.CacheService,
        spread_sighting: Callable[[suspects_lib.Sighting], None],
    ) -> None:
        """Creates the runner of model calls.

        Args:
            context: Aggregates of the instance.
            dispatcher: Owner of the waiting calls.
            session: Client session for targets.
            cache: Service that knows what is cached where.
            spread_sighting: Function that tells peers of a sighting.
        """
        self.context = context
        self.dispatcher = dispatcher
        self.session = session
        self.cache = cache
        self.spread_sighting = spread_sighting

    async def run(
        self, call: parsing.ModelCall, progress: Progress
    ) -> AsyncIterator[events.Batch]:
        """Yields the verified batches of the call's answer.

        Args:
            call: The call.
            progress: Filled in as the answer goes on.

        Raises:
            responses.CodedError: The call ended without its whole answer.
        """
        self.context.budget.note_first()
        await self.cache.prepare(call)
        while True:
            grant = await self.dispatcher.admit(call)
            progress.attempts += 1
            try:
                async for batch in self._attempt(call, grant, progress):
                    yield batch
                self._clear_suspect(call)
                return
            except attempt_lib.AttemptError as ended:
                outcome = ended.outcome
            self._note_failure(call, grant, outcome, progress)
            if not self._goes_on(call, outcome, progress):
                raise responses.CodedError(outcome.code, outcome.detail)

    async def _attempt(
        self,
        call: parsing.ModelCall,
        grant: dispatch.Grant,
        progress: Progress,
    ) -> AsyncIterator[events.Batch]:
        identity = grant.record.identity
        got_token = False
        finished = False
        reader = f"{call.request_id}.{progress.attempts}"
        imports = await self.cache.lease_imports(call, grant, reader)
        self.cache.note_dispatch(call, identity)
        attempt = self._make_attempt(call, grant, progress, imports)
        try:
            async for batch in runners.stream_attempt(self.session, attempt):
                if batch.tokens and not got_token:
                    got_token = True
                    self.context.load.note_first_token(
                        identity, grant.prompt_tokens
                    )
                if batch.beat:
                    continue
                finished = batch.done
                self._note_batch(batch, progress)
                yield batch
            self.context.targets.note_success(identity)
            self.cache.consider_export(call, grant.record)
        finally:
            self.cache.release_imports(imports)
            if not finished:
                self.cache.cancel(attempt)
            self.dispatcher.finish(grant, call.service, got_token=got_token)

    def _attempt_id(
        self,
        call: parsing.ModelCall,
        progress: Progress,
        record: targets.TargetRecord,
    ) -> str:
        tag = runners.target_tag(record.identity)
        return f"{call.request_id}.{progress.attempts}.{tag}"

    def _make_attempt(
        self,
        call: parsing.ModelCall,
        grant: dispatch.Grant,
        progress: Progress,
        imports: cache_lib.Imports,
    ) -> runners.RunnerAttempt:
        record = grant.record
        attempt_id = self._attempt_id(call, progress, record)
        progress.version = record.weight_version
        payload = {
            "request_id": call.request_id,
            "model": call.model,
            "version": record.weight_version,
            "prompt": call.prompt.decode(),
            "max_tokens": call.max_tokens,
            "chat": call.chat,
            "priority": self._priority(call, grant),
            "cache_salt": call.salt,
            "imports": {
                "store": imports.address,
                "refs": msgspec.to_builtins(imports.refs),
            },
            "offset": progress.tokens,
        }
        if progress.tokens:
            payload["continued_text"] = events.join_text(progress.batches)
        for name in PASSED_FIELDS:
            if name in call.body:
                payload[name] = call.body[name]
        return runners.RunnerAttempt(
            attempt_id=attempt_id,
            record=record,
            payload=msgspec.json.encode(payload),
            version=record.weight_version,
            offset=progress.tokens,
            deadline=call.deadline,
        )

    def _priority(self, call: parsing.ModelCall, grant: dispatch.Grant) -> int:
        service = self.context.document.services[call.service]
        if service.policy != "expected_cost":
            # Baselines ask for the class alone.
            return int(call.class_name == "batch")
        return cost_lib.prefill_priority(grant.prompt_tokens, call.class_name)

    def _note_batch(self, batch: events.Batch, progress: Progress) -> None:
        now = context_lib.monotonic()
        if batch.tokens:
            if progress.first_token_at is None:
                progress.first_token_at = now
            progress.last_token_at = now
            progress.tokens += batch.tokens
            progress.batches.append(batch.data)

    def _goes_on(
        self,
        call: parsing.ModelCall,
        outcome: attempt_lib.Outcome,
        progress: Progress,
    ) -> bool:
        if context_lib.monotonic() >= call.deadline:
            return False
        emitted = bool(progress.tokens)
        if emitted:
            # Only the same weight version may continue a started answer.
            call.versions = [progress.version]
        may = attempt_lib.may_retry(
            outcome,
            repeatable=call.repeatable,
            emitted=False,
            attempts=progress.attempts,
            max_attempts=MAX_ATTEMPTS,
        )
        return may and self.context.budget.spend()

    def _note_failure(
        self,
        call: parsing.ModelCall,
        grant: dispatch.Grant,
        outcome: attempt_lib.Outcome,
        progress: Progress,
    ) -> None:
        now = context_lib.monotonic()
        record = grant.record
        call.tried.add(record.identity)
        self.context.targets.note_failure(record.identity, now)
        _log.warning(
            "attempt ended",
            request_id=call.request_id,
            attempt_id=self._attempt_id(call, progress, record),
            target=record.identity,
            outcome=outcome.kind.value,
            code=outcome.code.number,
            detail=outcome.detail,
        )
        ran = outcome.kind is not calls.OutcomeKind.NOT_RUN
        if outcome.target_died and ran:
            sighting = suspects_lib.Sighting(
                call.fingerprint, f"{record.identity}/{record.incarnation}"
            )
            if self.context.suspects.take(sighting, now):
                self.spread_sighting(sighting)

    def _clear_suspect(self, call: parsing.ModelCall) -> None:
        now = context_lib.monotonic()
        if not self.context.suspects.is_suspect(call.fingerprint, now):
            return
        sighting = suspects_lib.Sighting(call.fingerprint, "", cleared=True)
        self.context.suspects.take(sighting, now)
        self.spread_sighting(sighting)

    def observe(
        self,
        call: parsing.ModelCall,
        progress: Progress,
        code: codes.ResultCode,
    ) -> None:
        """Counts an ended call in the metrics."""
        series = self.context.metrics.series(call.workspace, call.class_name)
        series.count_outcome(code.number)
        if progress.first_token_at is None:
            return
        series.first_token.observe(progress.first_token_at - call.received_at)
        if progress.tokens > 1:
            span = progress.last_token_at - progress.first_token_at
            series.between_tokens.observe(span / (progress.tokens - 1))
        usage = events.find_usage(progress.batches[-1])
        if usage is None or not usage.prompt_tokens:
            return
        progress.cached_tokens = usage.cached_tokens
        reused = min(usage.cached_tokens, usage.prompt_tokens)
        series.recomputed.observe(1 - reused / usage.prompt_tokens)
        series.reused_tokens.inc(reused)
        series.computed_tokens.inc(usage.prompt_tokens - reused)
