"""Admission of calls: queues them and assigns targets with free capacity."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import math

from chivelb_core import admission
from chivelb_core import codes
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.kv_cache import keys as keys_lib
from chivelb_core.routing import load as load_lib
from chivelb_core.routing import policies
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import parsing
from chivelb_node.edge import responses

EXPIRE_INTERVAL_S = 0.05
FAILURE_COOLDOWN_S = 2.0
# Latency penalty of targets in another availability zone.
CROSS_ZONE_PENALTY_S = 0.02
# A call that may occupy at least this fraction of a target's KV cache capacity
# is large: if it fits on no target now, one is reserved for it.
LARGE_CALL_FRACTION = 0.25
RATE_WINDOW_S = 1.0
RATE_SMOOTHING = 0.4
EVACUATED_DETAIL = "all targets are in evacuated availability zones"


# Returns identity of the store, number of leading blocks that it holds,
# transfer rate in bytes per second, and wait for queued transfers in seconds.
BestStore = Callable[
    [parsing.ModelCall, targets.TargetRecord], tuple[str, int, float, float]
]


@dataclasses.dataclass(slots=True)
class Grant:
    """Permission to dispatch a call to a target.

    Attributes:
        record: The target.
        choice: The routing decision.
        uncached_tokens: Prompt tokens that the target must compute.
        total_tokens: KV cache tokens counted against the target's capacity.
        crash_suspect: Whether the call was running on a target that crashed,
            and may have caused the crash.
        counted_in: Load of the target that counts the call.
        granted_at: Monotonic time of the dispatch, in seconds.
    """

    record: targets.TargetRecord
    choice: routing.Choice
    uncached_tokens: int
    total_tokens: int
    crash_suspect: bool = False
    counted_in: load_lib.TargetLoad | None = None
    granted_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class DispatchRate:
    """Smoothed cost of calls started per second while others wait.

    The cost of a call is its maximum number of KV cache tokens.

    Attributes:
        since: Monotonic start time of the current window, in seconds.
        cost: Cost of the calls started in the current window.
        cost_per_s: Smoothed cost per second; 0 before the first busy window.
    """

    since: float
    cost: float = 0.0
    cost_per_s: float = 0.0

    def advance(self, now: float, *, busy: bool) -> None:
        """Closes the window if it has elapsed.

        Windows without waiting calls are ignored: they do not show how much
        the targets can take.
        """
        elapsed_s = now - self.since
        if elapsed_s < RATE_WINDOW_S:
            return
        if busy:
            rate = self.cost / elapsed_s
            gain = RATE_SMOOTHING if self.cost_per_s else 1.0
            self.cost_per_s += gain * (rate - self.cost_per_s)
        self.since = now
        self.cost = 0.0


class Dispatcher(mode.Service):
    """Queues the calls of this instance and assigns them to targets.

    Attributes:
        context: Shared state of the instance.
        best_store: Function that finds the best KV cache store for a call.
        reservations: Targets reserved for large calls, by service.
        rates: Cost of calls started per second under load, by service.
    """

    def __init__(
        self, context: context_lib.InstanceContext, best_store: BestStore
    ) -> None:
        """Creates a dispatcher.

        Args:
            context: Shared state of the instance.
            best_store: Function that finds the KV cache store that holds most
                of a call's prompt for a runner.
        """
        super().__init__()
        self.context = context
        self.best_store = best_store
        self.reservations: dict[str, admission.Reservations] = {}
        self.rates: dict[str, DispatchRate] = {}

    async def admit(self, call: parsing.ModelCall) -> Grant:
        """Waits until the call may be dispatched.

        Args:
            call: The call.

        Returns:
            The grant; ``finish`` must be called with it exactly once.

        Raises:
            responses.RequestError: The call is rejected; it did not run.
        """
        context = self.context
        now = context_lib.monotonic()
        if context.crash_suspects.is_refused(call.fingerprint, now):
            raise responses.RequestError(codes.SUSPECT)
        check_targets(context, call.service, call.regions, now)
        limits = context.document.limits
        max_wait_s = limits.queue_deadline_s
        if call.class_name == "batch":
            max_wait_s = limits.batch_deadline_s
        future = asyncio.get_running_loop().create_future()
        queued = admission.QueuedRequest(
            workspace=call.workspace,
            class_name=call.class_name,
            cost=float(call.total_tokens),
            deadline=min(call.deadline, now + max_wait_s),
            item=(call, future),
            queued_at=now,
        )
        workspace = context.document.workspaces[call.workspace]
        queue = context.queue(call.service)
        self._reject_if_overloaded(call, queue, max_wait_s)
        rejection = queue.push(
            queued, weight=workspace.weight, max_queued=workspace.max_queued
        )
        if rejection is not None:
            raise responses.RequestError(rejection)
        self.start_waiting_calls(call.service)
        try:
            return await future
        finally:
            if future.cancelled():
                queue.remove(queued)
            elif not queued.removed:
                queue.remove(queued)

    def _reject_if_overloaded(
        self,
        call: parsing.ModelCall,
        queue: admission.FairQueue,
        max_wait_s: float,
    ) -> None:
        """Rejects a call whose expected wait exceeds its queue deadline."""
        rate = self.rates.get(call.service)
        if rate is None or not rate.cost_per_s:
            return
        expected_s = queue.expected_wait_s(
            call.workspace, call.class_name, rate.cost_per_s
        )
        if expected_s > max_wait_s:
            raise responses.RequestError(
                codes.OVERLOADED,
                f"expected queue wait of {expected_s:.0f} s exceeds "
                f"the limit of {max_wait_s:.0f} s",
            )

    def finish(
        self, grant: Grant, service: str, *, first_token_seen: bool
    ) -> None:
        """Returns the capacity of a grant and starts waiting calls.

        Args:
            grant: Grant of a call that has ended.
            service: Name of the call's service.
            first_token_seen: Whether the target produced a token, which has
                already ended the prefill load of the call.
        """
        identity = grant.record.identity
        if grant.crash_suspect:
            grant.counted_in.own_suspect_requests -= 1
        if first_token_seen:
            now = context_lib.monotonic()
            self.context.work_estimates.record_end(
                service, identity, duration_s=now - grant.granted_at, now=now
            )
        else:
            self.context.load.record_first_token(
                identity, grant.uncached_tokens, counted_in=grant.counted_in
            )
        self.context.load.record_end(
            identity, grant.total_tokens, counted_in=grant.counted_in
        )
        self.start_waiting_calls(service)

    def start_waiting_calls(self, service: str) -> None:
        """Starts waiting calls of a service while targets have capacity."""
        queue = self.context.queues.get(service)
        if queue is None or not queue.waiting:
            return
        now = context_lib.monotonic()
        records = self._preferred_records(service, now)
        if not records:
            return
        grants: dict[int, Grant] = {}
        reservations = self.reservations.setdefault(
            service, admission.Reservations()
        )
        reservations.remove_stale()

        def try_grant(queued: admission.QueuedRequest) -> bool:
            open_records = [
                record
                for record in records
                if reservations.is_available(record.identity, queued)
                and self.context.targets.is_eligible(record.identity, now)
            ]
            grant = self._choose(queued.item[0], open_records, now)
            if grant is not None:
                grants[id(queued)] = grant
                return True
            self._reserve(queued, open_records, reservations, now)
            return False

        while (queued := queue.pop(try_grant)) is not None:
            grant = grants[id(queued)]
            call, future = queued.item
            if future.done():
                continue
            self._record_dispatch(grant, call, queued, now)
            rate = self.rates.setdefault(service, DispatchRate(now))
            rate.cost += queued.cost
            future.set_result(grant)

    def _preferred_records(
        self, service: str, now: float
    ) -> list[targets.TargetRecord]:
        context = self.context
        eligible = list(context.targets.eligible(service, now))
        failing = set(context.targets.recent_failures(now, FAILURE_COOLDOWN_S))
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
            if call.may_go_to(record)
            and record.identity not in call.tried
            and context.allows_zone(call.regions, record.zone)
        ]
        suspect = self.context.crash_suspects.is_suspect(call.fingerprint, now)
        usable = self._isolate_suspects(usable, now, suspect=suspect)
        usable = policies.sample_targets(usable, call.holdings, context.rng)
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
        if not self._has_capacity(record, call, now):
            return None
        tokens_to_compute = call.prompt_tokens - choice.reused_tokens
        return Grant(
            record,
            choice,
            tokens_to_compute,
            call.total_tokens,
            suspect,
            granted_at=now,
        )

    def _reserve(
        self,
        queued: admission.QueuedRequest,
        records: list[targets.TargetRecord],
        reservations: admission.Reservations,
        now: float,
    ) -> None:
        """Reserves a target for a large call that fits on none."""
        call = queued.item[0]
        reservable = [
            record
            for record in records
            if call.total_tokens >= LARGE_CALL_FRACTION * record.room_tokens
            and call.may_go_to(record)
            and self.context.allows_zone(call.regions, record.zone)
        ]
        if not reservable:
            return
        load = self.context.load
        least_used = min(
            reservable, key=lambda r: load.used_kv_tokens(r.identity, now)
        )
        reservations.reserve(least_used.identity, queued)

    def _isolate_suspects(
        self,
        records: list[targets.TargetRecord],
        now: float,
        *,
        suspect: bool,
    ) -> list[targets.TargetRecord]:
        """Filters targets to isolate crash-suspect calls.

        A crash-suspect call may only use targets that run no other one, and of
        those only the ones that run the fewest calls. Other calls avoid
        targets that run a crash-suspect call while another is available.
        """
        load = self.context.load
        without_suspects = [
            r for r in records if not load.suspect_requests(r.identity, now)
        ]
        if not suspect:
            return without_suspects or records
        if not without_suspects:
            return []
        fewest = min(load.running(r.identity, now) for r in without_suspects)
        return [
            r
            for r in without_suspects
            if load.running(r.identity, now) == fewest
        ]

    def _has_capacity(
        self, record: targets.TargetRecord, call: parsing.ModelCall, now: float
    ) -> bool:
        load = self.context.load
        running = load.running(record.identity, now)
        if running >= record.slots:
            return False
        used_kv_tokens = load.used_kv_tokens(record.identity, now)
        return (
            not used_kv_tokens
            or used_kv_tokens + call.total_tokens <= record.room_tokens
        )

    def _candidate(
        self,
        call: parsing.ModelCall,
        record: targets.TargetRecord,
        now: float,
    ) -> routing.Candidate:
        context = self.context
        identity = record.identity
        same_zone = record.zone == context.settings.instance.zone
        cached_tokens = call.holdings.get(identity, 0) * keys_lib.BLOCK_TOKENS
        _, store_blocks, link_rate, link_wait_s = self.best_store(call, record)
        return routing.Candidate(
            identity=identity,
            zone_latency_s=0.0 if same_zone else CROSS_ZONE_PENALTY_S,
            pending_tokens=context.load.pending(identity, now),
            running=context.load.running(identity, now),
            slots=record.slots,
            prefill_rate=record.prefill_rate,
            held_tokens=cached_tokens,
            stored_tokens=store_blocks * keys_lib.BLOCK_TOKENS,
            link_rate=link_rate,
            link_wait_s=link_wait_s,
            bytes_per_token=record.bytes_per_token,
            occupancy_s=context.work_estimates.occupancy_s(call.service),
        )

    def _record_dispatch(
        self,
        grant: Grant,
        call: parsing.ModelCall,
        queued: admission.QueuedRequest,
        now: float,
    ) -> None:
        if grant.crash_suspect:
            self.context.load.load(
                grant.record.identity
            ).own_suspect_requests += 1
        self.context.record_sent(grant.record.identity, now)
        grant.counted_in = self.context.load.record_send(
            grant.record.identity,
            now,
            grant.uncached_tokens,
            grant.total_tokens,
        )
        self.context.metrics.series(
            call.workspace, call.class_name
        ).queue_wait.observe(now - queued.queued_at)

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now = context_lib.monotonic()
            for service, queue in self.context.queues.items():
                self.start_waiting_calls(service)
                if self.context.targets.is_evacuated(service, now):
                    self._reject_evacuated(queue)
                if service in self.rates:
                    busy = queue.waiting > 0
                    self.rates[service].advance(now, busy=busy)
                for queued in queue.expire(now):
                    self._fail_expired(service, queued)
                queue.remove_idle_flows()

    def _reject_evacuated(self, queue: admission.FairQueue) -> None:
        """Rejects calls whose targets were evacuated while they waited."""
        for queued in queue.expire(math.inf):
            _, future = queued.item
            if not future.done():
                future.set_exception(
                    responses.RequestError(codes.NO_TARGET, EVACUATED_DETAIL)
                )

    def _fail_expired(
        self, service: str, queued: admission.QueuedRequest
    ) -> None:
        _, future = queued.item
        if future.done():
            return
        now = context_lib.monotonic()
        code = codes.QUEUE_DEADLINE
        if not any(self.context.targets.eligible(service, now)):
            code = codes.NO_TARGET
        future.set_exception(responses.RequestError(code))


def check_targets(
    context: context_lib.InstanceContext,
    service: str,
    regions: frozenset[str] | None,
    now: float,
) -> None:
    """Checks that a call may find a target at all.

    Args:
        context: Shared state of the instance.
        service: Name of the service.
        regions: Regions whose targets the call may use; None for all.
        now: Monotonic time in seconds.

    Raises:
        responses.RequestError: All targets are in evacuated zones, or none is
            in the regions that the call may use.
    """
    is_allowed = functools.partial(context.allows_zone, regions)
    if context.targets.is_evacuated(service, now, is_allowed=is_allowed):
        raise responses.RequestError(codes.NO_TARGET, EVACUATED_DETAIL)
    if regions is not None and not context.targets.has_target(
        service, is_allowed
    ):
        raise responses.RequestError(
            codes.NO_TARGET_IN_REGION,
            f"no target of service {service!r} in the regions "
            f"{sorted(regions)}",
        )
