"""One call from arrival to its last byte, over as many attempts."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.calls import attempt as attempt_lib
from chivelb_core.calls import suspects as suspects_lib
from chivelb_core.forwarding import returning

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import gate as gate_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import events
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

MAX_BUFFERED_BYTES = 262_144
_log = logs.get_logger("forwarder")


@dataclasses.dataclass(slots=True)
class Delivery:
    """What has reached the caller of a call.

    Attributes:
        begun: Whether the head of an answer was passed on.
        last_event: Id of the last event passed on, or empty.
        status: Status that was passed on; 0 before.
        first_at: Monotonic time of the first byte, or None.
    """

    begun: bool = False
    last_event: str = ""
    status: int = 0
    first_at: float | None = None


class Forwarder:
    """Serves calls.

    Attributes:
        context: Aggregates of the instance.
        gate: Where calls wait for room.
        target_port: Sends requests to targets.
        spread_sighting: Tells peers of a request seen at a crash.
        count_entries: Returns how many instances share the retry budgets.
        retire: Takes the proof that a target is gone.
        budgets: Retry budgets by service.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        gate: gate_lib.Gate,
        target_port: ports.TargetPort,
        *,
        spread_sighting: Callable[[suspects_lib.Sighting], None],
        count_entries: Callable[[], int],
        retire: Callable[[targets.TargetRecord], None],
    ) -> None:
        """Creates a forwarder."""
        self.retire = retire
        self.context = context
        self.gate = gate
        self.target_port = target_port
        self.spread_sighting = spread_sighting
        self.count_entries = count_entries
        self.budgets: dict[str, calls.WindowBudget] = {}

    async def serve(
        self,
        call: forwarding.Call,
        message: ports.Message,
        caller: ports.CallerPort,
    ) -> None:
        """Answers one call, whatever becomes of it.

        Args:
            call: The call.
            message: Its request as it is passed on.
            caller: Who is answered.
        """
        delivery = Delivery()
        fault = None
        try:
            await self._attempts(call, message, caller, delivery)
        except responses.CodedError as error:
            fault = returning.with_return(
                error.fault, self.context.rng, backlog_s=error.backlog_s
            )
            if delivery.begun:
                caller.cut()
            else:
                await caller.refuse(fault)
        except asyncio.CancelledError:
            fault = codes.Fault(codes.CALLER_LEFT)
            raise
        finally:
            self._log_end(call, delivery, fault)

    def budget(self, service: str) -> calls.WindowBudget:
        """Returns the retry budget of a service, created when it is new."""
        budget = self.budgets.get(service)
        if budget is None:
            settings = self.context.settings.forwarding
            terms = calls.BudgetTerms(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            )
            budget = self.budgets[service] = calls.WindowBudget(terms)
        return budget

    async def _attempts(
        self,
        call: forwarding.Call,
        message: ports.Message,
        caller: ports.CallerPort,
        delivery: Delivery,
    ) -> None:
        self.budget(call.service).note_first(context_lib.monotonic())
        last: attempt_lib.Outcome | None = None
        while True:
            self._refuse_suspect(call, last)
            try:
                room = await self.gate.enter(call)
            except responses.CodedError as error:
                raise _worse(last, error) from None
            try:
                async with _deadline(call):
                    await self._attempt(call, message, caller, delivery, room)
                self._clear_suspect(call)
                return
            except calls.AttemptError as ended:
                last = ended.outcome
            finally:
                self.gate.release(room, call.service)
            self._note_failure(call, room.record, last)
            if not self._may_go_on(call, last, delivery):
                raise responses.CodedError(last.code, last.detail)

    async def _attempt(
        self,
        call: forwarding.Call,
        message: ports.Message,
        caller: ports.CallerPort,
        delivery: Delivery,
        room: gate_lib.Room,
    ) -> None:
        record = room.record
        call.tried.add(record.identity)
        assignment = ports.Assignment(
            record,
            left_s=call.deadline - context_lib.monotonic(),
            resume_after=delivery.last_event,
        )
        placement = room.placement
        if placement.sourcing is not None:
            assignment.weight_version = int(record.weight_version or 0)
            assignment.salt = placement.salt
            assignment.fetches = placement.sourcing.fetches
            assignment.saves = room.saves
        call.attempts += 1
        reply = await self.target_port.send(call, message, assignment)
        try:
            if reply.is_stream and reply.status == 200:
                await self._stream(reply, caller, delivery, room)
            else:
                await self._whole(call, reply, caller, delivery)
        finally:
            reply.close()
        self.context.targets.note_success(record.identity)

    async def _stream(
        self,
        reply: ports.Reply,
        caller: ports.CallerPort,
        delivery: Delivery,
        room: gate_lib.Room,
    ) -> None:
        runs = events.split_events(reply.chunks())
        async with contextlib.aclosing(runs):
            async for run in runs:
                self.gate.note_first_event(room)
                await self._begin(reply, caller, delivery)
                await caller.write(run)
                last = events.last_id(run)
                delivery.last_event = last or delivery.last_event
        await self._begin(reply, caller, delivery)
        await caller.finish()

    async def _whole(
        self,
        call: forwarding.Call,
        reply: ports.Reply,
        caller: ports.CallerPort,
        delivery: Delivery,
    ) -> None:
        """Passes an answer on once it is whole, a long one as it comes."""
        held = []
        size = 0
        chunks = reply.chunks()
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                held.append(chunk)
                size += len(chunk)
                if size > MAX_BUFFERED_BYTES:
                    await self._begin(reply, caller, delivery)
                    await caller.write(b"".join(held))
                    held = []
        if not delivery.begun and self._is_worth_another(call, reply):
            raise calls.AttemptError(
                attempt_lib.Outcome(
                    calls.OutcomeKind.UNKNOWN,
                    codes.TARGET_FAILED,
                    f"status {reply.status}",
                )
            )
        await self._begin(reply, caller, delivery)
        if held:
            await caller.write(b"".join(held))
        await caller.finish()

    async def _begin(
        self, reply: ports.Reply, caller: ports.CallerPort, delivery: Delivery
    ) -> None:
        if not delivery.begun:
            delivery.begun = True
            delivery.status = reply.status
            delivery.first_at = context_lib.monotonic()
            await caller.begin(reply)

    def _is_worth_another(
        self, call: forwarding.Call, reply: ports.Reply
    ) -> bool:
        now = context_lib.monotonic()
        return (
            reply.status >= 500
            and call.route.kind == "safe"
            and call.attempts < call.route.max_attempts
            and now < call.deadline
            and self.budget(call.service).may_spend(now, self.count_entries())
        )

    def _may_go_on(
        self,
        call: forwarding.Call,
        outcome: attempt_lib.Outcome,
        delivery: Delivery,
    ) -> bool:
        now = context_lib.monotonic()
        if now >= call.deadline:
            return False
        if delivery.begun and not (
            call.route.resumable and delivery.last_event
        ):
            return False
        if outcome.code is codes.TARGET_UNREACHABLE:
            # Nothing reached the target: no attempt was made there.
            call.attempts -= 1
            return len(call.tried) <= MAX_UNREACHABLE
        may = attempt_lib.may_retry(
            outcome,
            repeatable=call.route.repeatable,
            emitted=False,
            attempts=call.attempts,
            max_attempts=call.route.max_attempts,
        )
        budget = self.budget(call.service)
        return may and budget.spend(now, self.count_entries())

    # Requests that crash their targets.

    def _refuse_suspect(
        self, call: forwarding.Call, last: attempt_lib.Outcome | None
    ) -> None:
        now = context_lib.monotonic()
        if self.context.suspects.is_refused(call.fingerprint, now):
            raise _worse(last, responses.CodedError(codes.SUSPECT))

    def _clear_suspect(self, call: forwarding.Call) -> None:
        now = context_lib.monotonic()
        if self.context.suspects.is_suspect(call.fingerprint, now):
            self._sight(
                suspects_lib.Sighting(call.fingerprint, "", cleared=True)
            )

    def _sight(self, sighting: suspects_lib.Sighting) -> None:
        now = context_lib.monotonic()
        if self.context.suspects.take(sighting, now):
            self.spread_sighting(sighting)

    def _note_failure(
        self,
        call: forwarding.Call,
        record: targets.TargetRecord,
        outcome: attempt_lib.Outcome,
    ) -> None:
        now = context_lib.monotonic()
        if outcome.target_died:
            self.context.targets.note_failure(record.identity, now)
        if outcome.code is codes.TARGET_REPLACED:
            self.retire(record)
        self.context.metrics.attempt_ends.labels(outcome.code.number).inc()
        ran = outcome.kind is not calls.OutcomeKind.NOT_RUN
        if outcome.target_died and ran:
            life = f"{record.identity}/{record.incarnation}"
            self._sight(suspects_lib.Sighting(call.fingerprint, life))
        _log.warning(
            "attempt ended",
            request_id=call.request_id,
            target=record.identity,
            outcome=outcome.kind.value,
            code=outcome.code.number,
            detail=outcome.detail,
        )

    def _log_end(
        self,
        call: forwarding.Call,
        delivery: Delivery,
        fault: codes.Fault | None,
    ) -> None:
        now = context_lib.monotonic()
        number = 0 if fault is None else fault.code.number
        series = self.context.metrics.series(
            metrics_lib.ALL_WORKSPACES, call.route_name
        )
        series.count_outcome(number)
        first_ms = None
        if delivery.first_at is not None:
            first_s = delivery.first_at - call.arrived_at
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
            detail="" if fault is None else fault.detail,
            retry_after_s=None if fault is None else fault.retry_after_s,
            first_ms=first_ms,
            took_ms=round((now - call.arrived_at) * 1000),
        )


MAX_UNREACHABLE = 4


@contextlib.asynccontextmanager
async def _deadline(call: forwarding.Call):
    """Ends an attempt when nobody waits for it any more."""
    left_s = call.deadline - context_lib.monotonic()
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            yield
    except TimeoutError:
        raise calls.AttemptError(
            attempt_lib.Outcome(
                calls.OutcomeKind.UNKNOWN,
                codes.TARGET_TIMEOUT,
                "no whole answer before the deadline",
            )
        ) from None


def _worse(
    last: attempt_lib.Outcome | None, error: responses.CodedError
) -> responses.CodedError:
    """Keeps the truth of an earlier attempt that may have run."""
    if last is None or last.kind is calls.OutcomeKind.NOT_RUN:
        return error
    return responses.CodedError(last.code, last.detail)
