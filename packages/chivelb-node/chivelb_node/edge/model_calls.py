"""Runs model calls from admission to the last token, with retries."""

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
FORWARDED_FIELDS = ("temperature", "top_p", "stop", "seed")
_log = logs.get_logger("calls")


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of an answer towards its caller.

    Attributes:
        batches: Event bytes sent, kept so that another target can continue
            the answer.
        tokens: Number of tokens sent.
        version: Weight version that produced the tokens; a continuation must
            use the same one.
        software_version: Software version of the target that produced them; a
            continuation must use the same one.
        attempts: Number of attempts dispatched.
        first_token_at: Monotonic time of the first token, in seconds.
        last_token_at: Monotonic time of the latest token, in seconds.
        cached_tokens: Prompt tokens served from the KV cache.
    """

    batches: list[bytes] = dataclasses.field(default_factory=list)
    tokens: int = 0
    version: str = ""
    software_version: str = ""
    attempts: int = 0
    first_token_at: float | None = None
    last_token_at: float = 0.0
    cached_tokens: int = 0


class ModelCalls:
    """Runs model calls, retrying failed attempts on other targets.

    Attributes:
        context: Shared state of the instance.
        dispatcher: Queue of waiting calls.
        session: HTTP client session for targets.
        cache: KV cache directory and transfers.
        broadcast_observation: Function that sends crash observations to peers.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        dispatcher: dispatch.Dispatcher,
        session: aiohttp.ClientSession,
        cache: cache_lib.CacheService,
        broadcast_observation: Callable[[suspects_lib.CrashObservation], None],
    ) -> None:
        """Creates an object that runs model calls.

        Args:
            context: Shared state of the instance.
            dispatcher: Queue of waiting calls.
            session: HTTP client session for targets.
            cache: KV cache directory and transfers.
            broadcast_observation: Function that sends crash observations to
                peers.
        """
        self.context = context
        self.dispatcher = dispatcher
        self.session = session
        self.cache = cache
        self.broadcast_observation = broadcast_observation

    async def run(
        self, call: parsing.ModelCall, progress: Progress
    ) -> AsyncIterator[events.Batch]:
        """Yields the event batches of the call's answer.

        Each batch was validated by ``runners.stream_attempt``.

        Args:
            call: The call.
            progress: Updated as the answer is produced.

        Raises:
            responses.RequestError: The call ended before its answer was
                complete.
        """
        self.context.retry_budget.record_request()
        await self.cache.look_up_holdings(call)
        while True:
            grant = await self._admit(call, progress)
            progress.attempts += 1
            try:
                async for batch in self._attempt(call, grant, progress):
                    yield batch
                self._clear_suspect(call)
                return
            except attempt_lib.AttemptError as error:
                outcome = error.outcome
            self._record_failure(call, grant, outcome, progress)
            if not self._should_retry(call, outcome, progress):
                raise responses.RequestError(outcome.code, outcome.detail)

    async def _admit(
        self, call: parsing.ModelCall, progress: Progress
    ) -> dispatch.Grant:
        """Waits until an attempt may be made, within the limits of a stop."""
        stop = self.context.stop
        if progress.attempts:
            async with stop.until_end():
                return await self.dispatcher.admit(call)
        stop.check_start()
        async with stop.before_start():
            return await self.dispatcher.admit(call)

    async def _attempt(
        self,
        call: parsing.ModelCall,
        grant: dispatch.Grant,
        progress: Progress,
    ) -> AsyncIterator[events.Batch]:
        identity = grant.record.identity
        first_token_seen = False
        finished = False
        attempt_name = f"{call.request_id}.{progress.attempts}"
        # Blocks that the target fetches from a store into its KV cache stay
        # leased, so that the store keeps them, until released.
        leased_blocks = await self.cache.lease_blocks(call, grant, attempt_name)
        self.cache.record_dispatch(call, identity)
        attempt = self._make_attempt(call, grant, progress, leased_blocks)
        try:
            async for batch in runners.stream_attempt(self.session, attempt):
                if batch.tokens and not first_token_seen:
                    first_token_seen = True
                    self.context.load.record_first_token(
                        identity,
                        grant.uncached_tokens,
                        counted_in=grant.counted_in,
                    )
                # True also of a batch that had only duplicate events.
                if batch.is_heartbeat:
                    continue
                finished = batch.done
                self._record_batch(batch, progress)
                yield batch
            self.context.targets.record_success(identity)
            # Exports the blocks of the prompt to a store if that pays off.
            self.cache.export_if_worthwhile(call, grant.record)
        finally:
            self.cache.release_blocks(leased_blocks)
            if not finished:
                self.cache.cancel(attempt)
            self.dispatcher.finish(
                grant, call.service, first_token_seen=first_token_seen
            )

    def _attempt_id(
        self,
        call: parsing.ModelCall,
        progress: Progress,
        record: targets.TargetRecord,
    ) -> str:
        tag = runners.short_target_id(record.identity)
        return f"{call.request_id}.{progress.attempts}.{tag}"

    def _make_attempt(
        self,
        call: parsing.ModelCall,
        grant: dispatch.Grant,
        progress: Progress,
        leased_blocks: cache_lib.LeasedBlocks,
    ) -> runners.RunnerAttempt:
        record = grant.record
        attempt_id = self._attempt_id(call, progress, record)
        progress.version = record.weight_version
        progress.software_version = record.software_version
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
                "store": leased_blocks.address,
                "refs": msgspec.to_builtins(leased_blocks.refs),
            },
            "offset": progress.tokens,
        }
        if progress.tokens:
            payload["continued_text"] = events.join_text(progress.batches)
        for name in FORWARDED_FIELDS:
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
            # All policies but that by expected cost prioritize by scheduling
            # class only. Targets run calls with a lower number first.
            return int(call.class_name == "batch")
        return cost_lib.prefill_priority(grant.uncached_tokens, call.class_name)

    def _record_batch(self, batch: events.Batch, progress: Progress) -> None:
        now = context_lib.monotonic()
        if batch.tokens:
            if progress.first_token_at is None:
                progress.first_token_at = now
            progress.last_token_at = now
            progress.tokens += batch.tokens
            progress.batches.append(batch.data)

    def _should_retry(
        self,
        call: parsing.ModelCall,
        outcome: attempt_lib.Outcome,
        progress: Progress,
    ) -> bool:
        if context_lib.monotonic() >= call.deadline:
            return False
        response_started = bool(progress.tokens)
        if response_started:
            # An answer can only be continued by the versions of weights and
            # software that started it.
            call.versions = [progress.version]
            call.software_version = progress.software_version
        retryable = attempt_lib.may_retry(
            outcome,
            repeatable=call.repeatable,
            # Another target can continue an answer that has started.
            response_started=False,
            attempts=progress.attempts,
            max_attempts=MAX_ATTEMPTS,
        )
        return retryable and self.context.retry_budget.spend()

    def _record_failure(
        self,
        call: parsing.ModelCall,
        grant: dispatch.Grant,
        outcome: attempt_lib.Outcome,
        progress: Progress,
    ) -> None:
        now = context_lib.monotonic()
        record = grant.record
        call.tried.add(record.identity)
        self.context.targets.record_failure(
            record.identity, now, incarnation=record.incarnation
        )
        _log.warning(
            "attempt failed",
            request_id=call.request_id,
            attempt_id=self._attempt_id(call, progress, record),
            target=record.identity,
            outcome=outcome.kind.value,
            code=outcome.code.number,
            detail=outcome.detail,
        )
        may_have_run = outcome.kind is not calls.OutcomeKind.NOT_RUN
        if outcome.target_crashed and may_have_run:
            observation = suspects_lib.CrashObservation(
                call.fingerprint, f"{record.identity}/{record.incarnation}"
            )
            if self.context.crash_suspects.add_observation(observation, now):
                self.broadcast_observation(observation)

    def _clear_suspect(self, call: parsing.ModelCall) -> None:
        now = context_lib.monotonic()
        if not self.context.crash_suspects.is_suspect(call.fingerprint, now):
            return
        observation = suspects_lib.CrashObservation(
            call.fingerprint, "", cleared=True
        )
        self.context.crash_suspects.add_observation(observation, now)
        self.broadcast_observation(observation)

    def observe(
        self,
        call: parsing.ModelCall,
        progress: Progress,
        code: codes.ResultCode,
    ) -> None:
        """Records a finished call in the metrics.

        Args:
            call: The call.
            progress: What was sent to the caller.
            code: Result code of the call.
        """
        series = self.context.metrics.series(call.workspace, call.class_name)
        series.count_outcome(code.number)
        if progress.first_token_at is None:
            return
        series.first_token.observe(progress.first_token_at - call.received_at)
        if progress.tokens > 1:
            duration_s = progress.last_token_at - progress.first_token_at
            series.between_tokens.observe(duration_s / (progress.tokens - 1))
        usage = events.find_usage(progress.batches[-1])
        if usage is None or not usage.prompt_tokens:
            return
        progress.cached_tokens = usage.cached_tokens
        reused = min(usage.cached_tokens, usage.prompt_tokens)
        series.recomputed.observe(1 - reused / usage.prompt_tokens)
        series.reused_tokens.inc(reused)
        series.computed_tokens.inc(usage.prompt_tokens - reused)
