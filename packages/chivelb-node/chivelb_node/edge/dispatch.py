"""Admits calls, and grants each a target when one has room."""

import asyncio
from collections.abc import Callable
import dataclasses

from chivelb_core import admission
from chivelb_core import codes
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.kept import keys as keys_lib
from chivelb_core.routing import policies
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import parsing
from chivelb_node.edge import responses

EXPIRE_PERIOD_S = 0.05
FAILED_AVOID_S = 2.0
OTHER_ZONE_PRICE_S = 0.02
LARGE_SHARE = 0.25
RATE_WINDOW_S = 1.0
RATE_GAIN = 0.4


BestStore = Callable[
    [parsing.ModelCall, targets.TargetRecord], tuple[str, int, float, float]
]


@dataclasses.dataclass(slots=True)
class Grant:
    """Leave to dispatch a call to a target.

    Attributes:
        record: The target.
        choice: What was decided.
        prompt_tokens: Prompt tokens that the target must compute.
        total_tokens: KV tokens counted against the target's room.
        suspect: Whether the call was in flight on a target that crashed.
    """

    record: targets.TargetRecord
    choice: routing.Choice
    prompt_tokens: int
    total_tokens: int
    suspect: bool = False


@dataclasses.dataclass(slots=True)
class StartRate:
    """Cost of the calls that are started a second, while others wait.

    Attributes:
        since: Monotonic time when the present window began, in seconds.
        cost: Cost started in it.
        per_s: Smoothed rate; 0 before the first busy window.
    """

    since: float
    cost: float = 0.0
    per_s: float = 0.0

    def advance(self, now: float, *, busy: bool) -> None:
        """Ends the window when it is over; idle ones tell nothing."""
        elapsed = now - self.since
        if elapsed < RATE_WINDOW_S:
            return
        if busy:
            rate = self.cost / elapsed
            gain = RATE_GAIN if self.per_s else 1.0
            self.per_s += gain * (rate - self.per_s)
        self.since = now
        self.cost = 0.0


class Dispatcher(mode.Service):
    """Owns the waiting calls of this instance.

    Attributes:
        context: Aggregates of the instance.
        best_store: Function that finds the best store for a call.
        reservations: Targets kept free for large calls, by service.
        rates: Cost started a second while calls waited, by service.
    """

    def __init__(
        self, context: context_lib.InstanceContext, best_store: BestStore
    ) -> None:
        """Creates a dispatcher.

        Args:
            context: Aggregates of the instance.
            best_store: Function that finds the store that holds most of a
                call's prompt for a runner.
        """
        super().__init__()
        self.context = context
        self.best_store = best_store
        self.reservations: dict[str, admission.Reservations] = {}
        self.rates: dict[str, StartRate] = {}

    async def admit(self, call: parsing.ModelCall) -> Grant:
        """Waits until the call may be dispatched.

        Args:
            call: The call.

        Returns:
            The grant; ``finish`` must be called with it once.

        Raises:
            responses.CodedError: It is refused; it did not run.
        """
        context = self.context
        now = context_lib.monotonic()
        if context.suspects.is_refused(call.fingerprint, now):
            raise responses.CodedError(codes.SUSPECT)
        limits = context.document.limits
        wait_s = limits.queue_deadline_s
        if call.class_name == "batch":
            wait_s = limits.batch_deadline_s
        future = asyncio.get_running_loop().create_future()
        ticket = admission.Ticket(
            workspace=call.workspace,
            class_name=call.class_name,
            cost=float(call.total_tokens),
            deadline=min(call.deadline, now + wait_s),
            item=(call, future),
            joined_at=now,
        )
        workspace = context.document.workspaces[call.workspace]
        queue = context.queue(call.service)
        self._refuse_hopeless(call, queue, wait_s)
        refusal = queue.push(
            ticket, weight=workspace.weight, max_queued=workspace.max_queued
        )
        if refusal is not None:
            raise responses.CodedError(refusal)
        self.pump(call.service)
        try:
            return await future
        finally:
            if future.cancelled():
                queue.leave(ticket)
            elif not ticket.gone:
                queue.leave(ticket)

    def _refuse_hopeless(
        self,
        call: parsing.ModelCall,
        queue: admission.FairQueue,
        wait_s: float,
    ) -> None:
        """Refuses at once what would only wait until its deadline."""
        rate = self.rates.get(call.service)
        if rate is None or not rate.per_s:
            return
        expected_s = queue.expected_wait_s(
            call.workspace, call.class_name, rate.per_s
        )
        if expected_s > wait_s:
            raise responses.CodedError(
                codes.OVERLOADED,
                f"the wait would be {expected_s:.0f} s; "
                f"at most {wait_s:.0f} s are waited",
            )

    def finish(self, grant: Grant, service: str, *, got_token: bool) -> None:
        """Gives a grant's room back and starts what waits for it."""
        identity = grant.record.identity
        if grant.suspect:
            self.context.load.load(identity).own_suspects -= 1
        if not got_token:
            self.context.load.note_first_token(identity, grant.prompt_tokens)
        self.context.load.note_end(identity, grant.total_tokens)
        self.pump(service)

    def pump(self, service: str) -> None:
        """Starts waiting calls of a service while targets have room."""
        queue = self.context.queues.get(service)
        if queue is None or not queue.waiting:
            return
        now = context_lib.monotonic()
        records = self._records(service, now)
        if not records:
            return
        choices: dict[int, Grant] = {}
        reservations = self.reservations.setdefault(
            service, admission.Reservations()
        )
        reservations.forget_gone()

        def fits(ticket: admission.Ticket) -> bool:
            open_to = [
                record
                for record in records
                if reservations.is_open(record.identity, ticket)
            ]
            grant = self._choose(ticket.item[0], open_to, now)
            if grant is not None:
                choices[id(ticket)] = grant
                return True
            self._reserve(ticket, open_to, reservations, now)
            return False

        while (ticket := queue.pop(fits)) is not None:
            grant = choices[id(ticket)]
            call, future = ticket.item
            if future.done():
                continue
            self._note(grant, call, ticket, now)
            rate = self.rates.setdefault(service, StartRate(now))
            rate.cost += ticket.cost
            future.set_result(grant)

    def _records(self, service: str, now: float) -> list[targets.TargetRecord]:
        context = self.context
        eligible = list(context.targets.eligible(service, now))
        failing = set(context.targets.newest_failures(now, FAILED_AVOID_S))
        healthy = [r for r in eligible if r.identity not in failing]
        return healthy or eligible

    def _choose(
        self,
        call: parsing.ModelCall,
        records: list[targets.TargetRecord],
        now: float,
    ) -> Grant | None:
        context = self.context
        usable = [
            record
            for record in records
            if record.weight_version in call.versions
            and record.identity not in call.tried
        ]
        suspect = self.context.suspects.is_suspect(call.fingerprint, now)
        usable = self._keep_apart(usable, now, suspect=suspect)
        usable = policies.sample_records(usable, call.holdings, context.rng)
        by_identity = {record.identity: record for record in usable}
        service = context.document.services[call.service]
        choice = routing.choose(
            context.policies[service.policy],
            [self._candidate(call, record, now) for record in usable],
            prompt_tokens=call.prompt_tokens,
            anchor=call.anchor,
            goal=service.goal,
            rng=context.rng,
        )
        if choice is None:
            return None
        record = by_identity[choice.identity]
        if not self._has_room(record, call, now):
            return None
        rest = call.prompt_tokens - choice.reused_tokens
        return Grant(record, choice, rest, call.total_tokens, suspect)

    def _reserve(
        self,
        ticket: admission.Ticket,
        records: list[targets.TargetRecord],
        reservations: admission.Reservations,
        now: float,
    ) -> None:
        """Keeps a target free for a large call that fits nowhere."""
        call = ticket.item[0]
        large = [
            record
            for record in records
            if call.total_tokens >= LARGE_SHARE * record.room_tokens
            and record.weight_version in call.versions
        ]
        if not large:
            return
        load = self.context.load
        roomy = min(large, key=lambda r: load.filled(r.identity, now))
        reservations.reserve(roomy.identity, ticket)

    def _keep_apart(
        self,
        records: list[targets.TargetRecord],
        now: float,
        *,
        suspect: bool,
    ) -> list[targets.TargetRecord]:
        """Keeps calls that may crash a target away from all others.

        A suspect runs where no other suspect does and where the fewest
        others do; all others avoid its target while they can.
        """
        load = self.context.load
        apart = [r for r in records if not load.suspects(r.identity, now)]
        if not suspect:
            return apart or records
        if not apart:
            return []
        fewest = min(load.running(r.identity, now) for r in apart)
        return [r for r in apart if load.running(r.identity, now) == fewest]

    def _has_room(
        self, record: targets.TargetRecord, call: parsing.ModelCall, now: float
    ) -> bool:
        load = self.context.load
        running = load.running(record.identity, now)
        if running >= record.slots:
            return False
        filled = load.filled(record.identity, now)
        return not filled or filled + call.total_tokens <= record.room_tokens

    def _candidate(
        self,
        call: parsing.ModelCall,
        record: targets.TargetRecord,
        now: float,
    ) -> routing.Candidate:
        context = self.context
        identity = record.identity
        same_zone = record.zone == context.settings.instance.zone
        held = call.holdings.get(identity, 0) * keys_lib.BLOCK_TOKENS
        _, stored, link_rate, link_wait_s = self.best_store(call, record)
        return routing.Candidate(
            identity=identity,
            zone_price_s=0.0 if same_zone else OTHER_ZONE_PRICE_S,
            pending_tokens=context.load.pending(identity, now),
            running=context.load.running(identity, now),
            slots=record.slots,
            prefill_rate=record.prefill_rate,
            held_tokens=held,
            stored_tokens=stored * keys_lib.BLOCK_TOKENS,
            link_rate=link_rate,
            link_wait_s=link_wait_s,
            bytes_per_token=record.bytes_per_token,
        )

    def _note(
        self,
        grant: Grant,
        call: parsing.ModelCall,
        ticket: admission.Ticket,
        now: float,
    ) -> None:
        if grant.suspect:
            self.context.load.load(grant.record.identity).own_suspects += 1
        self.context.load.note_send(
            grant.record.identity, now, grant.prompt_tokens, grant.total_tokens
        )
        self.context.metrics.series(
            call.workspace, call.class_name
        ).queue_wait.observe(now - ticket.joined_at)

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRE_PERIOD_S)
            now = context_lib.monotonic()
            for service, queue in self.context.queues.items():
                self.pump(service)
                if service in self.rates:
                    busy = queue.waiting > 0
                    self.rates[service].advance(now, busy=busy)
                for ticket in queue.expire(now):
                    self._refuse(service, ticket)
                queue.forget_idle()

    def _refuse(self, service: str, ticket: admission.Ticket) -> None:
        _, future = ticket.item
        if future.done():
            return
        now = context_lib.monotonic()
        code = codes.QUEUE_DEADLINE
        if not any(self.context.targets.eligible(service, now)):
            code = codes.NO_TARGET
        future.set_exception(responses.CodedError(code))
