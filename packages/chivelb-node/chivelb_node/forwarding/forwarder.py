"""One call from arrival to its last byte, over as many attempts."""

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core.calls import attempt as attempt_lib

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import gate as gate_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import events
from chivelb_node.telemetry import logs

MAX_BUFFERED_BYTES = 262_144
_log = logs.get_logger("forwarder")


class Delivery:
    """What has reached the caller of a call.

    Attributes:
        begun: Whether the head of an answer was passed on.
        last_event: Id of the last event passed on, or empty.
    """

    __slots__ = ("begun", "last_event")

    def __init__(self) -> None:
        """Creates a delivery of nothing."""
        self.begun = False
        self.last_event = ""


class Forwarder:
    """Serves calls.

    Attributes:
        context: Aggregates of the instance.
        gate: Where calls wait for room.
        target_port: Sends requests to targets.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        gate: gate_lib.Gate,
        target_port: ports.TargetPort,
    ) -> None:
        """Creates a forwarder."""
        self.context = context
        self.gate = gate
        self.target_port = target_port

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
            fault = error.fault
            if delivery.begun:
                caller.cut()
            else:
                await caller.refuse(fault)
        self._log_end(call, fault)

    async def _attempts(
        self,
        call: forwarding.Call,
        message: ports.Message,
        caller: ports.CallerPort,
        delivery: Delivery,
    ) -> None:
        self.context.budget.note_first()
        last: attempt_lib.Outcome | None = None
        while True:
            try:
                room = await self.gate.enter(call)
            except responses.CodedError as error:
                raise _worse(last, error) from None
            try:
                await self._attempt(call, message, caller, delivery, room)
                return
            except attempt_lib.AttemptError as ended:
                last = ended.outcome
            finally:
                self.gate.release(room, call.service)
            self._note_failure(call, room, last)
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
        call.attempts += 1
        call.tried.add(record.identity)
        assignment = ports.Assignment(
            record,
            left_s=call.deadline - context_lib.monotonic(),
            resume_after=delivery.last_event,
        )
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
        async for run in events.split_events(reply.chunks()):
            self.gate.note_first_event(room)
            if not delivery.begun:
                delivery.begun = True
                await caller.begin(reply)
            await caller.write(run)
            delivery.last_event = events.last_id(run) or delivery.last_event
        if not delivery.begun:
            delivery.begun = True
            await caller.begin(reply)
        await caller.finish()

    async def _whole(
        self,
        call: forwarding.Call,
        reply: ports.Reply,
        caller: ports.CallerPort,
        delivery: Delivery,
    ) -> None:
        held = []
        size = 0
        async for chunk in reply.chunks():
            if delivery.begun:
                await caller.write(chunk)
                continue
            held.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                await self._begin(reply, caller, delivery, held)
                held = []
        if not delivery.begun:
            if self._is_worth_another(call, reply):
                raise attempt_lib.AttemptError(
                    attempt_lib.Outcome(
                        calls.OutcomeKind.UNKNOWN,
                        codes.TARGET_FAILED,
                        f"status {reply.status}",
                    )
                )
            await self._begin(reply, caller, delivery, held)
        await caller.finish()

    def _is_worth_another(
        self, call: forwarding.Call, reply: ports.Reply
    ) -> bool:
        return (
            reply.status >= 500
            and call.route.kind == "safe"
            and call.attempts < call.route.max_attempts
            and self.context.budget.tokens >= 1.0
        )

    async def _begin(self, reply, caller, delivery, held: list[bytes]) -> None:
        delivery.begun = True
        await caller.begin(reply)
        for chunk in held:
            await caller.write(chunk)

    def _may_go_on(
        self,
        call: forwarding.Call,
        outcome: attempt_lib.Outcome,
        delivery: Delivery,
    ) -> bool:
        if context_lib.monotonic() >= call.deadline:
            return False
        resumable = call.route.resumable and delivery.last_event
        if delivery.begun and not resumable:
            return False
        may = attempt_lib.may_retry(
            outcome,
            repeatable=call.route.repeatable,
            emitted=False,
            attempts=call.attempts,
            max_attempts=call.route.max_attempts,
        )
        return may and self.context.budget.spend()

    def _note_failure(
        self,
        call: forwarding.Call,
        room: gate_lib.Room,
        outcome: attempt_lib.Outcome,
    ) -> None:
        now = context_lib.monotonic()
        record = room.record
        if outcome.kind is not calls.OutcomeKind.NOT_RUN:
            self.context.targets.note_failure(record.identity, now)
        _log.warning(
            "attempt ended",
            request_id=call.request_id,
            target=record.identity,
            outcome=outcome.kind.value,
            code=outcome.code.number,
            detail=outcome.detail,
        )

    def _log_end(
        self, call: forwarding.Call, fault: codes.Fault | None
    ) -> None:
        _log.info(
            "call ended",
            request_id=call.request_id,
            route=call.route_name,
            workspace=call.workspace,
            attempts=call.attempts,
            code=0 if fault is None else fault.code.number,
            detail="" if fault is None else fault.detail,
            took_ms=round((context_lib.monotonic() - call.arrived_at) * 1000),
        )


def _worse(
    last: attempt_lib.Outcome | None, error: responses.CodedError
) -> responses.CodedError:
    """Keeps the truth of an earlier attempt that may have run."""
    if last is None or last.kind is calls.OutcomeKind.NOT_RUN:
        return error
    return responses.CodedError(last.code, last.detail)
