"""Lets calls wait for room at targets, the most urgent first."""

import asyncio
import dataclasses

from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.forwarding import choice as choice_lib
from chivelb_core.forwarding import held as held_lib
from chivelb_core.forwarding import waiting
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import responses

PUMP_PERIOD_S = 0.03
FAILED_AVOID_S = 1.0


@dataclasses.dataclass(slots=True)
class Room:
    """Room at a target that a call holds until ``Gate.release``.

    Attributes:
        placement: The decision.
        total_tokens: Tokens counted against the target's memory.
        pending_tokens: Prompt tokens that still await the first event.
    """

    placement: choice_lib.Placement
    total_tokens: int
    pending_tokens: int

    @property
    def record(self) -> targets.TargetRecord:
        """The target."""
        return self.placement.record


class Gate(mode.Service):
    """Owns the waiting calls of this instance.

    Attributes:
        context: Aggregates of the instance.
        lists: Waiting calls by service.
        sent: What runners were sent, by service.
    """

    def __init__(self, context: context_lib.InstanceContext) -> None:
        """Creates a gate without waiting calls."""
        super().__init__()
        self.context = context
        self.lists: dict[str, waiting.WaitingList] = {}
        self.sent: dict[str, held_lib.SentPrompts] = {}

    async def enter(self, call: forwarding.Call) -> Room:
        """Waits for room at a target.

        Args:
            call: The call.

        Returns:
            The room; ``release`` must be called with it once.

        Raises:
            responses.CodedError: There is none in time; it has not run.
        """
        now = context_lib.monotonic()
        waiting_list = self.lists.setdefault(
            call.service, waiting.WaitingList()
        )
        if not waiting_list.tickets:
            room = self._find_room(call, now)
            if room is not None:
                return room
        if not any(self._eligible(call, now)):
            raise responses.CodedError(codes.NO_TARGET)
        future = asyncio.get_running_loop().create_future()
        ticket = waiting_list.join(call, future)
        self.pump(call.service)
        try:
            async with asyncio.timeout(max(0.0, call.deadline - now)):
                return await future
        except TimeoutError:
            raise responses.CodedError(codes.QUEUE_DEADLINE) from None
        finally:
            waiting_list.leave(ticket)
            if future.done() and not future.cancelled():
                pass

    def pump(self, service: str) -> None:
        """Starts waiting calls while there is room."""
        waiting_list = self.lists.get(service)
        if waiting_list is None or not waiting_list.tickets:
            return
        now = context_lib.monotonic()
        for ticket in list(waiting_list.in_order()):
            if ticket.item.done():
                waiting_list.leave(ticket)
                continue
            room = self._find_room(ticket.call, now)
            if room is None:
                return
            waiting_list.leave(ticket)
            ticket.item.set_result(room)

    def _eligible(self, call: forwarding.Call, now: float):
        context = self.context
        records = [
            record
            for record in context.targets.eligible(call.service, now)
            if record.identity not in call.tried
        ]
        failing = set(context.targets.newest_failures(now, FAILED_AVOID_S))
        healthy = [r for r in records if r.identity not in failing]
        return healthy or records

    def _find_room(self, call: forwarding.Call, now: float) -> Room | None:
        context = self.context
        zone = context.settings.instance.zone
        records = self._eligible(call, now)
        service = context.document.services.get(call.service)
        if service is None:
            return None
        if service.engine is None or call.prompt is None:
            placement = choice_lib.place_on_service(
                records, load=context.load, zone=zone, now=now, rng=context.rng
            )
        else:
            sent = self.sent.setdefault(
                call.service, held_lib.SentPrompts(service.engine.kv_tokens)
            )
            placement = choice_lib.place_on_runner(
                call,
                records,
                engine=service.engine,
                load=context.load,
                held=sent.held("", call.prompt),
                zone=zone,
                now=now,
            )
            if placement is not None:
                sent.note_sent(placement.record.identity, "", call.prompt)
        if placement is None:
            return None
        room = Room(placement, call.total_tokens, placement.prefill_tokens)
        context.load.note_send(
            placement.record.identity,
            now,
            room.pending_tokens,
            room.total_tokens,
        )
        return room

    def note_first_event(self, room: Room) -> None:
        """Counts the prompt of a call as read."""
        if room.pending_tokens:
            self.context.load.note_first_token(
                room.record.identity, room.pending_tokens
            )
            room.pending_tokens = 0

    def release(self, room: Room, service: str) -> None:
        """Gives room back, and lets waiting calls start."""
        self.note_first_event(room)
        self.context.load.note_end(room.record.identity, room.total_tokens)
        self.pump(service)

    @mode.Service.task
    async def _pump_all(self) -> None:
        while not self.should_stop:
            await self.sleep(PUMP_PERIOD_S)
            for service in list(self.lists):
                self.pump(service)
