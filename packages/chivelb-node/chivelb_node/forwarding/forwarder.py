"""Forwards a call to targets, retrying and resuming where allowed."""

import asyncio
from collections.abc import Callable
import contextlib

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib
from chivelb_core.calls import part_suspects
from chivelb_core.forwarding import retry_delay
from chivelb_core.forwarding import stream_origins

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import admission as admission_lib
from chivelb_node.forwarding import crash_policy as crash_policy_lib
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import relay as relay_lib
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

# Of a stream whose target may have another one than it announced.
UNKNOWN_VERSION = ""
_log = logs.get_logger("forwarder")


class Forwarder:
    """Serves calls by sending attempts to targets.

    Attributes:
        context: Shared state of the instance.
        admission_queue: Admission queue that reserves capacity at targets.
        target_port: Sends requests to targets.
        crash_policy: Refuses calls that may crash targets.
        count_instances: Returns how many instances share the retry budgets.
        remove_replaced_target: Called with a target whose address now belongs
            to another target, so that it gets no new requests. It is marked as
            leaving, not removed from the table.
        check_reachability: Called with a target to which no connection could
            be opened.
        origins: Origins of streams: what began them.
        budgets: Retry budgets by service.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        admission_queue: admission_lib.AdmissionQueue,
        target_port: ports.TargetPort,
        origins: ports.OriginPort,
        crash_policy: crash_policy_lib.CrashPolicy,
        *,
        count_instances: Callable[[], int],
        remove_replaced_target: Callable[[targets.TargetRecord], None],
        check_reachability: Callable[[targets.TargetRecord], None],
    ) -> None:
        """Creates a forwarder."""
        self.check_reachability = check_reachability
        self.remove_replaced_target = remove_replaced_target
        self.context = context
        self.admission_queue = admission_queue
        self.target_port = target_port
        self.origins = origins
        self.crash_policy = crash_policy
        self.count_instances = count_instances
        self.budgets: dict[str, calls.WindowBudget] = {}

    async def serve(
        self,
        call: forwarding.Call,
        message: ports.Message,
        caller: ports.CallerPort,
    ) -> None:
        """Serves one call until its response is complete, refused or aborted.

        Args:
            call: The call.
            message: The request to forward.
            caller: Connection to the caller.
        """
        relay = relay_lib.ResponseRelay(
            caller, call.request_id, self.context.response_budget
        )
        delivery = relay.delivery
        error_detail = None
        try:
            await self._run_attempts(call, message, relay)
        except responses.RequestError as error:
            error_detail = retry_delay.with_retry_delay(
                error.error_detail, self.context.rng, backlog_s=error.backlog_s
            )
            if delivery.head_sent:
                caller.abort()
            else:
                await caller.send_error(error_detail)
        except asyncio.CancelledError:
            error_detail = codes.ErrorDetail(codes.CALLER_LEFT)
            raise
        finally:
            self._log_completion(call, delivery, error_detail)

    def budget(self, service: str) -> calls.WindowBudget:
        """Returns the retry budget of a service, creating it on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            settings = self.context.settings.forwarding
            limits = calls.RetryLimits(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            )
            budget = self.budgets[service] = calls.WindowBudget(limits)
        return budget

    async def _run_attempts(
        self,
        call: forwarding.Call,
        message: ports.Message,
        relay: relay_lib.ResponseRelay,
    ) -> None:
        call.part_keys = part_suspects.part_keys(
            call.workspace or "", call.shared_part_ids
        )
        if call.takes_up_stream:
            await self._bind_to_origin(call)
        self.budget(call.service).record_request(context_lib.monotonic())
        last_outcome: attempt_lib.Outcome | None = None
        while True:
            try:
                reservation = await self._reserve(call)
            except responses.RequestError as error:
                raise _prefer_attempt_outcome(last_outcome, error) from None
            try:
                _check_caller(relay.caller)
                async with (
                    self.context.stop.until_end(),
                    _attempt_deadline(call),
                ):
                    await self._run_attempt(call, message, relay, reservation)
                self.crash_policy.record_success(call)
                return
            except calls.AttemptError as failure:
                last_outcome = failure.outcome
                self.admission_queue.work_observer.observe_failure(reservation)
            finally:
                self.admission_queue.release(reservation, call.service)
            self._record_failure(
                call,
                reservation.record,
                last_outcome,
                has_begun=relay.delivery.target_events > 1,
            )
            if not self._may_retry(call, last_outcome, relay.delivery):
                raise responses.RequestError(
                    last_outcome.code, last_outcome.detail
                )

    async def _reserve(
        self, call: forwarding.Call
    ) -> admission_lib.Reservation:
        """Waits for capacity at a target, if the call may be sent to one.

        Raises:
            responses.RequestError: The call may crash the target, no capacity
                can be reserved, or the instance is stopping.
        """
        self.crash_policy.check(call)
        async with self._waiting_limit(call):
            reservation = await self.admission_queue.reserve(call)
        try:
            # Targets may have crashed while the call waited.
            self.crash_policy.check(call)
            if not call.attempts:
                self.context.stop.check_start()
        except responses.RequestError:
            self.admission_queue.release(reservation, call.service)
            raise
        return reservation

    def _waiting_limit(
        self, call: forwarding.Call
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Returns the limit of a stop on the wait of a call for capacity."""
        stop = self.context.stop
        if call.attempts:
            # The caller waits for a call that was sent while it might be.
            return stop.until_end(codes.STOPPING)
        return stop.before_start()

    async def _bind_to_origin(self, call: forwarding.Call) -> None:
        """Restricts a call to the targets that can continue its stream.

        Raises:
            responses.RequestError: There are none, or they are not known.
        """
        finding = await self.origins.find(call)
        origin = finding.origin
        _log.info(
            "stream taken up",
            request_id=call.request_id,
            resumes=call.resumes,
            source=finding.source,
            service=None if origin is None else origin.service,
            software_version=None
            if origin is None
            else origin.software_version,
        )
        if origin is None:
            raise responses.RequestError(
                codes.RESUME_REFUSED,
                f"the version that began stream {call.resumes!r} is not known",
            )
        services = [share.service for share in call.route.split]
        if origin.service not in services:
            raise responses.RequestError(
                codes.RESUME_REFUSED,
                f"service {origin.service!r} began the stream; the route has "
                f"{services}",
            )
        call.service = origin.service
        call.software_version = origin.software_version

    async def _run_attempt(
        self,
        call: forwarding.Call,
        message: ports.Message,
        relay: relay_lib.ResponseRelay,
        reservation: admission_lib.Reservation,
    ) -> None:
        record = reservation.record
        call.tried.add(record.identity)
        assignment = ports.Assignment(
            record,
            remaining_s=call.deadline - context_lib.monotonic(),
            resume_after=relay.delivery.last_event_id,
        )
        placement = reservation.placement
        if placement.fetch_plan is not None:
            assignment.weight_version = int(record.weight_version or 0)
            assignment.salt = placement.salt
            assignment.fetch_addresses = placement.fetch_plan.fetches
            assignment.save_addresses = reservation.save_addresses
        call.attempts += 1
        relay.delivery.target_events = 0
        reply = await self.target_port.send(call, message, assignment)
        reservation.answered_at = context_lib.monotonic()
        relay.delivery.framing = reply.framing
        try:
            if reply.is_stream and reply.status == 200:
                await relay.relay_stream(
                    reply,
                    on_events=lambda: self._record_events(call, reservation),
                    on_answer=lambda: self.crash_policy.record_answer(call),
                    follows=relay.delivery.last_event_id or call.last_event_id,
                )
            else:
                await relay.relay_body(
                    reply,
                    should_retry=lambda: self._should_retry_status(call, reply),
                )
                if reply.status < 300:
                    self.crash_policy.record_answer(call)
        finally:
            reply.close()
        reservation.is_complete = reply.status < 400
        self.context.targets.record_success(record.identity)

    def _record_events(
        self, call: forwarding.Call, reservation: admission_lib.Reservation
    ) -> None:
        """Records the first token and, once, the origin of a stream."""
        self.admission_queue.record_first_event(reservation)
        self.crash_policy.record_events(reservation.record)
        if call.origin_recorded:
            return
        call.origin_recorded = True
        table = self.context.targets
        call.software_version = (
            table.confirmed_version(reservation.record) or UNKNOWN_VERSION
        )
        origin = stream_origins.StreamOrigin(
            call.service, call.software_version
        )
        self.origins.record(call, origin)

    def _should_retry_status(
        self, call: forwarding.Call, reply: ports.Reply
    ) -> bool:
        # Streaming calls that are resumable are repeatable too, but only safe
        # calls are retried because of the status.
        now = context_lib.monotonic()
        return (
            reply.status >= 500
            and call.route.kind == "safe"
            and call.attempts < call.route.max_attempts
            and now < call.deadline
            and self.budget(call.service).may_spend(now, self.count_instances())
        )

    def _may_retry(
        self,
        call: forwarding.Call,
        outcome: attempt_lib.Outcome,
        delivery: relay_lib.Delivery,
    ) -> bool:
        now = context_lib.monotonic()
        if now >= call.deadline or self.context.stop.has_ended():
            return False
        if delivery.head_sent and not (
            call.route.resumable and delivery.last_event_id
        ):
            return False
        if outcome.code is codes.TARGET_UNREACHABLE:
            # The request did not reach the target: not counted as an attempt.
            call.attempts -= 1
            return len(call.tried) <= MAX_TARGETS_TRIED
        allowed = attempt_lib.may_retry(
            outcome,
            repeatable=call.route.repeatable,
            # A response that has started can be resumed here; those that
            # can't were ruled out above.
            response_started=False,
            attempts=call.attempts,
            max_attempts=call.route.max_attempts,
        )
        budget = self.budget(call.service)
        return allowed and budget.spend(now, self.count_instances())

    def _record_failure(
        self,
        call: forwarding.Call,
        record: targets.TargetRecord,
        outcome: attempt_lib.Outcome,
        *,
        has_begun: bool,
    ) -> None:
        now = context_lib.monotonic()
        if outcome.target_crashed or outcome.code is codes.TARGET_REFUSED:
            # A target that refuses at once would look idle.
            self.context.targets.record_failure(
                record.identity, now, incarnation=record.incarnation
            )
        if outcome.target_crashed:
            self.context.targets.record_lost(
                record.identity, record.incarnation
            )
        if outcome.code is codes.TARGET_UNREACHABLE:
            self.check_reachability(record)
        if outcome.code is codes.TARGET_REPLACED:
            self.remove_replaced_target(record)
        self.context.metrics.attempt_results.labels(outcome.code.number).inc()
        ran = outcome.kind is not calls.OutcomeKind.NOT_RUN
        if outcome.target_crashed and ran:
            self.crash_policy.record_crash(call, record, has_begun=has_begun)
        _log.warning(
            "attempt failed",
            request_id=call.request_id,
            target=record.identity,
            outcome=outcome.kind.value,
            code=outcome.code.number,
            detail=outcome.detail,
            workspace=call.workspace,
            target_crashed=outcome.target_crashed,
            fingerprint=call.fingerprint,
            parts=call.shared_part_ids[: crash_policy_lib.MAX_LOGGED_PARTS],
        )

    def _log_completion(
        self,
        call: forwarding.Call,
        delivery: relay_lib.Delivery,
        error_detail: codes.ErrorDetail | None,
    ) -> None:
        now = context_lib.monotonic()
        number = 0 if error_detail is None else error_detail.code.number
        series = self.context.metrics.series(
            metrics_lib.ALL_WORKSPACES, call.route_name
        )
        series.count_outcome(number)
        # The first byte of a stream arrives with its first event, which has
        # the first token; ``first_ms`` is the time to the first byte.
        first_ms = None
        if delivery.first_byte_at is not None:
            first_s = delivery.first_byte_at - call.arrived_at
            series.first_token.observe(first_s)
            first_ms = round(first_s * 1000)
        _log.info(
            "call ended",
            request_id=call.request_id,
            route=call.route_name,
            workspace=call.workspace,
            attempts=call.attempts,
            status=delivery.status,
            code=number,
            detail="" if error_detail is None else error_detail.detail,
            retry_after_s=None
            if error_detail is None
            else error_detail.retry_after_s,
            framing=None
            if delivery.framing is None
            else delivery.framing.value,
            last_event=delivery.last_event_id,
            target_events=delivery.target_events,
            unfinished_event=delivery.unfinished_event,
            first_ms=first_ms,
            took_ms=round((now - call.arrived_at) * 1000),
        )


# After an unreachable target, a call is sent to another one only if it was
# sent to at most this many targets so far, unreachable ones included.
MAX_TARGETS_TRIED = 4


def _check_caller(caller: ports.CallerPort) -> None:
    """Ends a call whose caller has left, as its disconnect would.

    After a pause of the process, requests are read together with the close of
    their connections, and would be sent before the close is handled.

    Raises:
        asyncio.CancelledError: The caller has left.
    """
    if caller.has_left():
        raise asyncio.CancelledError


@contextlib.asynccontextmanager
async def _attempt_deadline(call: forwarding.Call):
    """Ends an attempt with ``TARGET_TIMEOUT`` at the deadline of its call."""
    remaining_s = call.deadline - context_lib.monotonic()
    try:
        async with asyncio.timeout(max(0.0, remaining_s)):
            yield
    except TimeoutError:
        raise calls.AttemptError(
            attempt_lib.Outcome(
                calls.OutcomeKind.UNKNOWN,
                codes.TARGET_TIMEOUT,
                f"no complete response before the deadline, "
                f"{call.deadline - call.arrived_at:.1f} s after the arrival",
            )
        ) from None


def _prefer_attempt_outcome(
    last_outcome: attempt_lib.Outcome | None, error: responses.RequestError
) -> responses.RequestError:
    """Returns an error with the last attempt's outcome if it may have run.

    An attempt may have run unless its outcome is ``NOT_RUN``. The caller must
    learn of it even if a later step failed for another reason. Otherwise
    returns the given error.
    """
    if last_outcome is None or last_outcome.kind is calls.OutcomeKind.NOT_RUN:
        return error
    return responses.RequestError(last_outcome.code, last_outcome.detail)
