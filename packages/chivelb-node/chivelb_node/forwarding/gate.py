"""Lets calls wait for room at targets, the most urgent first."""

import asyncio
import dataclasses

from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.forwarding import choice as choice_lib
from chivelb_core.forwarding import waiting
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import placing
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

PUMP_PERIOD_S = 0.03
_log = logs.get_logger("gate")


@dataclasses.dataclass(slots=True)
class Room:
    """Room at a target that a call holds until ``Gate.release``.

    Attributes:
        placement: The decision.
        saves: Store for each part of the prompt; empty for none.
        fill_tokens: Tokens counted against the target's memory.
        pending_tokens: Prompt tokens that still await the first event.
    """

    placement: choice_lib.Placement
    saves: list[str]
    fill_tokens: int
    pending_tokens: int

    @property
    def record(self) -> targets.TargetRecord:
        """The target."""
        return self.placement.record


class Gate(mode.Service):
    """Owns the waiting calls of this instance.

    Attributes:
        context: Aggregates of the instance.
        placer: Chooses targets.
        lists: Waiting calls by service.
    """

    def __init__(
        self, context: context_lib.InstanceContext, placer: placing.Placer
    ) -> None:
        """Creates a gate without waiting calls."""
        super().__init__()
        self.context = context
        self.placer = placer
        self.lists: dict[str, waiting.WaitingList] = {}

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
                waiting_list.note_start(now)
                return room
        if not self.placer.eligible(call, now):
            raise responses.CodedError(codes.NO_TARGET)
        # A stream that broke off is waited for from then on.
        since = now if call.attempts else call.arrived_at
        future = asyncio.get_running_loop().create_future()
        ticket = waiting_list.join(call, since=since, item=future)
        self.pump(call.service)
        self._refuse_hopeless(waiting_list, now)
        try:
            async with asyncio.timeout(max(0.0, call.start_by(since) - now)):
                return await future
        except TimeoutError:
            self._give_back(future, call.service)
            raise responses.CodedError(codes.QUEUE_DEADLINE) from None
        except asyncio.CancelledError:
            self._give_back(future, call.service)
            raise
        finally:
            waiting_list.leave(ticket)

    def _give_back(self, future: asyncio.Future, service: str) -> None:
        """Releases room that was granted as its call was giving up."""
        granted = future.done() and not future.cancelled()
        if granted and future.exception() is None:
            self.release(future.result(), service)

    def _refuse_hopeless(
        self, waiting_list: waiting.WaitingList, now: float
    ) -> None:
        """Ends calls that would start after their callers have left."""
        for ticket, wait_s in list(waiting_list.hopeless(now)):
            waiting_list.leave(ticket)
            if ticket.item.done():
                continue
            error = responses.CodedError(
                codes.OVERLOADED,
                f"{len(waiting_list.tickets)} wait, about {wait_s:.1f} s",
                backlog_s=wait_s,
            )
            ticket.item.set_exception(error)

    def pump(self, service: str) -> None:
        """Starts waiting calls while there is room."""
        waiting_list = self.lists.get(service)
        if waiting_list is None or not waiting_list.tickets:
            return
        now = context_lib.monotonic()
        for ticket in list(waiting_list.in_order(now)):
            if ticket.item.done():
                waiting_list.leave(ticket)
                continue
            room = self._find_room(ticket.call, now)
            if room is None:
                return
            waiting_list.start(ticket, now)
            ticket.item.set_result(room)

    def _find_room(self, call: forwarding.Call, now: float) -> Room | None:
        placement = self.placer.place(call, now)
        if placement is None:
            return None
        saves = self.placer.note_placed(call, placement, now)
        room = Room(placement, saves, call.fill_tokens, placement.read_tokens)
        self.context.load.note_send(
            placement.record.identity,
            now,
            room.pending_tokens,
            room.fill_tokens,
        )
        self._count_placement(call, placement, now)
        self._log_placement(call, placement, now)
        return room

    def _count_placement(
        self,
        call: forwarding.Call,
        placement: choice_lib.Placement,
        now: float,
    ) -> None:
        series = self.context.metrics.series(
            metrics_lib.ALL_WORKSPACES, call.route_name
        )
        series.queue_wait.observe(now - call.arrived_at)
        plan = placement.sourcing
        if plan is not None:
            series.computed_tokens.inc(plan.read_tokens)
            series.reused_tokens.inc(plan.held_tokens + plan.fetch_tokens)

    def _log_placement(
        self,
        call: forwarding.Call,
        placement: choice_lib.Placement,
        now: float,
    ) -> None:
        plan = placement.sourcing
        _log.info(
            "call placed",
            request_id=call.request_id,
            target=placement.record.identity,
            weight_version=placement.record.weight_version,
            waited_ms=round((now - call.arrived_at) * 1000),
            running=placement.look.running,
            filled=placement.look.filled,
            ahead=placement.look.ahead,
            expected_ms=round(placement.expected_s * 1000),
            fill=call.fill_tokens,
            held=0 if plan is None else plan.held_tokens,
            fetch=0 if plan is None else plan.fetch_tokens,
            read=placement.read_tokens,
            document=self.context.register.number,
        )

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
        self.context.load.note_end(room.record.identity, room.fill_tokens)
        self.pump(service)

    @mode.Service.task
    async def _pump_all(self) -> None:
        while not self.should_stop:
            await self.sleep(PUMP_PERIOD_S)
            for service, waiting_list in self.lists.items():
                self.pump(service)
                now = context_lib.monotonic()
                self._refuse_hopeless(waiting_list, now)
