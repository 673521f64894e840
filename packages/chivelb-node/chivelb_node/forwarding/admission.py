"""Admission queue: calls wait for target capacity in priority order."""

import asyncio
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import math

from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.forwarding import choice as choice_lib
from chivelb_core.forwarding import lanes
from chivelb_core.forwarding import waiting
from chivelb_core.routing import load as load_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.forwarding import placement as placement_lib
from chivelb_node.forwarding import ports
from chivelb_node.forwarding import work_observer
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

DISPATCH_PERIOD_S = 0.03
# Questions to owners of targets before a call waits for capacity.
MAX_QUERY_ROUNDS = 3
# Period of the questions to owners while calls wait.
WAITING_QUERY_PERIOD_S = 0.1
# Share of the time that a call has left which it may wait for the end of a
# target's rest.
MAX_REST_SHARE = 0.3
_log = logs.get_logger("gate")


@dataclasses.dataclass(slots=True)
class Reservation:
    """Capacity reserved at a target for a call, until ``release``.

    Attributes:
        placement: The chosen target and the plan for its prompt.
        save_addresses: Address of the store that keeps each part of the
            prompt; empty for none.
        mean_kv_tokens: Tokens counted against the KV cache of the target:
            those that the call occupies on average over its run.
        pending_tokens: Prompt tokens counted as awaiting prefill; 0 from the
            first event of the response on.
        counted_in: Load of the target that counts the call.
        reserved_at: Monotonic time when it was made, in seconds; the call is
            sent at once.
        first_event_at: Monotonic time of the first event, in seconds, or None.
        answered_at: Monotonic time of the head of the response, in seconds, or
            None.
        is_complete: Whether the response was received to its end.
    """

    placement: choice_lib.Placement
    save_addresses: list[str]
    mean_kv_tokens: int
    pending_tokens: int
    counted_in: load_lib.TargetLoad | None = None
    reserved_at: float = 0.0
    first_event_at: float | None = None
    answered_at: float | None = None
    is_complete: bool = False

    @property
    def record(self) -> targets.TargetRecord:
        """Record of the target."""
        return self.placement.record


class AdmissionQueue(mode.Service):
    """Queues the calls of this instance and reserves target capacity.

    Attributes:
        context: Shared state of the instance.
        placement_policy: Chooses targets.
        is_refused: Returns whether a call that waits must not be sent to a
            target any more, at a monotonic time in seconds.
        owners: Owners of targets, which are asked for their load if there are
            many instances; None to go by what peers report.
        first_event_s: Returns the expected time from the start of a call to
            its first event, in seconds.
        work_observer: Records what requests cost and how fast targets work.
        waiting_lists: Waiting calls by service.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        placement_policy: placement_lib.PlacementPolicy,
        *,
        is_refused: Callable[[forwarding.Call, float], bool],
        owners: ports.LoadPort | None = None,
        first_event_s: Callable[[forwarding.Call], float] = lambda call: (
            waiting.FIRST_BYTE_LATENCY_S
        ),
    ) -> None:
        """Creates an empty admission queue."""
        super().__init__()
        self.first_event_s = first_event_s
        self.owners = owners
        self._owners_asked_at = float("-inf")
        self.context = context
        self.placement_policy = placement_policy
        self.is_refused = is_refused
        self.work_observer = work_observer.WorkObserver(context)
        self.waiting_lists: dict[str, waiting.WaitingList] = {}
        self._has_waiting_calls = asyncio.Event()

    async def reserve(self, call: forwarding.Call) -> Reservation:
        """Waits until capacity at a target is reserved for a call.

        Args:
            call: The call.

        Returns:
            The reservation; ``release`` must be called with it once.

        Raises:
            responses.RequestError: No target is eligible, or no capacity can
                be reserved in time. The attempt was not sent to a target.
        """
        now = context_lib.monotonic()
        waiting_list = self._waiting_list(call.service)
        if self._may_go_first(call, waiting_list):
            reservation = await self._reserve_at_once(call, now)
            now = context_lib.monotonic()
            if reservation is not None:
                waiting_list.record_start(
                    now, call, weight=self._weight(call.workspace)
                )
                return reservation
        # The waiting time of a retry starts now, not at the arrival.
        since = now if call.attempts else call.arrived_at
        deadline = call.next_byte_deadline(since)
        if not self.placement_policy.eligible(call, now):
            deadline = min(deadline, self._wait_for_targets(call, now))
        future = asyncio.get_running_loop().create_future()
        waiting_call = waiting_list.join(
            call,
            wait_started_at=since,
            item=future,
            now=now,
            weight=self._weight(call.workspace),
            first_event_s=self.first_event_s(call),
        )
        self._has_waiting_calls.set()
        self.dispatch(call.service)
        self._shed_calls(call.service, waiting_list, now, joined=waiting_call)
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                return await future
        except TimeoutError:
            self._release_if_granted(future, call.service)
            now = context_lib.monotonic()
            if self.placement_policy.eligible(call, now):
                code, reason = codes.QUEUE_DEADLINE, "deadline"
            else:
                code, reason = codes.NO_TARGET, "no target"
            self._record_refusal(call, now, reason)
            raise responses.RequestError(code) from None
        except asyncio.CancelledError:
            self._release_if_granted(future, call.service)
            raise
        finally:
            waiting_list.leave(waiting_call)

    def _waiting_list(self, service: str) -> waiting.WaitingList:
        """Returns the waiting calls of a service, creating the list if new."""
        waiting_list = self.waiting_lists.get(service)
        if waiting_list is None:
            is_fair = self.context.settings.decisions.fair_order
            waiting_list = waiting.WaitingList(is_fair=is_fair)
            self.waiting_lists[service] = waiting_list
        return waiting_list

    def _may_go_first(
        self, call: forwarding.Call, waiting_list: waiting.WaitingList
    ) -> bool:
        """Returns whether a new call need not join the waiting ones."""
        if waiting_list.is_fair:
            return waiting_list.has_precedence(call)
        return not waiting_list.calls

    def _weight(self, workspace: str | None) -> float:
        known = self.context.document.workspaces.get(workspace)
        return 1.0 if known is None else known.weight

    def _asks_owners(self) -> bool:
        return self.owners is not None and self.owners.is_active

    async def _reserve_at_once(
        self, call: forwarding.Call, now: float
    ) -> Reservation | None:
        """Reserves capacity for a call without waiting for any to be free.

        If the targets that were asked for have none, the call waits: of the
        others nothing is known but the requests of this instance.
        """
        if not self._asks_owners():
            among = self._unreserved_targets(call, None, now)
            return self._try_reserve(call, now, among=among)
        for _ in range(MAX_QUERY_ROUNDS):
            names = self.placement_policy.shortlist(call, now)
            has_news = await self.owners.refresh(names)
            now = context_lib.monotonic()
            among = self._unreserved_targets(call, set(names), now)
            reservation = self._try_reserve(call, now, among=among)
            if reservation is not None:
                return reservation
            if not has_news:
                break
        known = self._known_targets(call.service, now)
        among = self._unreserved_targets(call, known, now)
        return self._try_reserve(call, now, among=among)

    async def _ask_for_waiting_calls(self) -> None:
        """Asks for the load of targets that may have capacity by now."""
        now = context_lib.monotonic()
        if now - self._owners_asked_at < WAITING_QUERY_PERIOD_S:
            return
        self._owners_asked_at = now
        names = set()
        for waiting_list in self.waiting_lists.values():
            heads = waiting_list.heads(now)
            for call in list(_first_of_each_version(heads)):
                names.update(self.placement_policy.shortlist(call, now))
            names.update(waiting_list.reservations)
        await self.owners.refresh(names)

    def _wait_for_targets(self, call: forwarding.Call, now: float) -> float:
        """Returns until when a call without a target may wait for one.

        Raises:
            responses.RequestError: It would wait in vain.
        """
        if self.context.is_starting(now):
            # Targets may be announced until the start is over.
            return self.context.startup_ends_at
        table = self.context.targets
        is_allowed = self._zone_filter(call)
        if call.regions is not None and not table.has_target(
            call.service, is_allowed
        ):
            self._record_refusal(call, now, "no target in region")
            raise responses.RequestError(
                codes.NO_TARGET_IN_REGION,
                f"no target of service {call.service!r} in the regions "
                f"{sorted(call.regions)}",
            )
        rest_ends_at = table.rest_ends_at(
            call.service, now, is_allowed=is_allowed
        )
        cold_opens_at = table.cold_opens_at(
            call.service,
            now,
            is_usable=lambda record: (
                record.identity not in call.tried
                and call.may_go_to(table.confirmed_version(record))
                and is_allowed(record.zone)
            ),
        )
        rest_s = min(rest_ends_at, cold_opens_at) - now
        if rest_s <= MAX_REST_SHARE * (call.deadline - now):
            return call.deadline
        backlog_s = 0.0 if math.isinf(rest_s) else rest_s
        evacuation = self._describe_evacuation(call, now)
        reason = "zone evacuated" if evacuation else "no target"
        self._record_refusal(call, now, reason, wait_s=backlog_s)
        raise responses.RequestError(
            codes.NO_TARGET, evacuation, backlog_s=backlog_s
        )

    def _zone_filter(self, call: forwarding.Call) -> Callable[[str], bool]:
        """Returns a function that tells whether a call may use a zone."""
        return functools.partial(self.context.allows_zone, call.regions)

    def _describe_evacuation(self, call: forwarding.Call, now: float) -> str:
        """Returns an error detail if all targets of a call are evacuated."""
        table = self.context.targets
        if not table.is_evacuated(
            call.service, now, is_allowed=self._zone_filter(call)
        ):
            return ""
        zones = ", ".join(sorted(table.evacuated_zones))
        return f"all targets are in evacuated availability zones: {zones}"

    def _reject_evacuated_calls(
        self, waiting_list: waiting.WaitingList, now: float
    ) -> None:
        """Rejects calls whose targets were evacuated while they waited."""
        if not self.context.targets.evacuated_zones:
            return
        if self.context.is_starting(now):
            return
        details: dict[frozenset[str] | None, str] = {}
        for waiting_call in list(waiting_list.calls.values()):
            call = waiting_call.call
            if call.regions not in details:
                details[call.regions] = self._describe_evacuation(call, now)
            detail = details[call.regions]
            if detail and not waiting_call.item.done():
                waiting_list.leave(waiting_call)
                self._record_refusal(call, now, "zone evacuated")
                waiting_call.item.set_exception(
                    responses.RequestError(codes.NO_TARGET, detail)
                )

    def _release_if_granted(self, future: asyncio.Future, service: str) -> None:
        """Releases a reservation granted while its call was being cancelled."""
        granted = future.done() and not future.cancelled()
        if granted and future.exception() is None:
            self.release(future.result(), service)

    def _shed_calls(
        self,
        service: str,
        waiting_list: waiting.WaitingList,
        now: float,
        *,
        joined: lanes.WaitingCall | None = None,
    ) -> None:
        """Rejects calls whose callers would leave before their turn.

        The expected wait of a call is the backlog ahead of it, in seconds; it
        is added to the retry delay that the caller is told.

        Args:
            service: The service.
            waiting_list: Its waiting calls.
            now: Monotonic time in seconds.
            joined: The only call to check; None for a regular pass.
        """
        if not self.context.settings.decisions.shedding:
            return
        policy = self.placement_policy
        cold_wait = policy.cold_wait(service, now)
        first_wait_s, interval_s = cold_wait or policy.limited_wait(
            service, now
        )
        waits = {
            "first_wait_s": first_wait_s,
            "min_interval_s": interval_s,
            "is_exact": cold_wait is not None,
        }
        if not waiting_list.is_fair:
            timeouts = waiting_list.expected_timeouts(now, **waits)
        elif joined is None:
            timeouts = waiting_list.review(now, **waits)
        elif joined.queue is None:
            return
        else:
            wait_s = waiting_list.admit(joined, now, **waits)
            if not waiting.would_time_out(joined, wait_s=wait_s, now=now):
                return
            timeouts = [(joined, wait_s)]
        for waiting_call, wait_s in list(timeouts):
            if waiting_call.item.done():
                waiting_list.leave(waiting_call)
                continue
            position = waiting_list.position(waiting_call)
            waiting_list.leave(waiting_call)
            self._record_refusal(
                waiting_call.call,
                now,
                "expected wait",
                position=position,
                wait_s=wait_s,
            )
            error = responses.RequestError(
                codes.OVERLOADED,
                f"{len(waiting_list.calls)} calls queued, "
                f"expected wait {wait_s:.1f} s",
                backlog_s=wait_s,
            )
            waiting_call.item.set_exception(error)

    def _record_refusal(
        self,
        call: forwarding.Call,
        now: float,
        reason: str,
        *,
        position: int | None = None,
        wait_s: float | None = None,
    ) -> None:
        """Logs and counts the refusal of a call that was not sent.

        ``position`` is about the number of calls that would have started
        first, ``waits_for`` what most targets lack; see ``shortage``.
        """
        self.context.metrics.refusals.labels(call.route_name, reason).inc()
        waiting_list = self.waiting_lists.get(call.service)
        _log.info(
            "waiting call refused",
            request_id=call.request_id,
            route=call.route_name,
            workspace=call.workspace,
            priority=call.priority,
            reason=reason,
            position=position,
            queued=0 if waiting_list is None else len(waiting_list.calls),
            expected_wait_ms=None if wait_s is None else round(wait_s * 1000),
            waited_ms=round((now - call.arrived_at) * 1000),
            left_ms=round((call.deadline - now) * 1000),
            waits_for=self.placement_policy.shortage(call, now),
        )

    def _update_gauges(self, now: float) -> None:
        """Sets the metrics of waiting calls."""
        metrics = self.context.metrics
        for waiting_list in self.waiting_lists.values():
            for route_name, calls in waiting_list.calls_by_route.items():
                oldest = next(iter(calls.values()), None)
                age_s = 0.0 if oldest is None else now - oldest.wait_started_at
                metrics.waiting_calls.labels(route_name).set(len(calls))
                metrics.waiting_age.labels(route_name).set(age_s)

    def _reject_refused_calls(
        self, waiting_list: waiting.WaitingList, now: float
    ) -> None:
        """Rejects calls that have come to be refused while they waited."""
        for waiting_call in list(waiting_list.calls.values()):
            if waiting_call.item.done():
                continue
            if self.is_refused(waiting_call.call, now):
                waiting_list.leave(waiting_call)
                self._record_refusal(waiting_call.call, now, "suspect")
                waiting_call.item.set_exception(
                    responses.RequestError(codes.SUSPECT)
                )

    def dispatch(self, service: str) -> None:
        """Starts waiting calls of a service while capacity is available."""
        waiting_list = self.waiting_lists.get(service)
        if waiting_list is None or not waiting_list.calls:
            return
        now = context_lib.monotonic()
        known = self._known_targets(service, now)
        overdue = waiting_list.overdue(now)
        if overdue is not None:
            self._start(overdue, waiting_list, known, now)
        while self._start_next(waiting_list, known, now):
            pass

    def _start_next(
        self,
        waiting_list: waiting.WaitingList,
        known: set[str] | None,
        now: float,
    ) -> bool:
        """Starts the next call; returns whether one has left the queue."""
        with contextlib.closing(waiting_list.heads(now)) as heads:
            for waiting_call in heads:
                reservation = self._reserve_for(
                    waiting_call, waiting_list, known, now
                )
                if (
                    waiting_call.item.done()
                    or reservation is not None
                    or not _is_bound(waiting_call.call)
                ):
                    break
                # Targets of other versions or regions may have capacity for
                # others.
            else:
                return False
        if waiting_call.item.done():
            waiting_list.leave(waiting_call)
            return True
        if reservation is not None:
            waiting_list.start(waiting_call, now)
            waiting_call.item.set_result(reservation)
            return True
        return self._start_smaller(waiting_call, waiting_list, known, now)

    def _start(
        self,
        waiting_call: lanes.WaitingCall,
        waiting_list: waiting.WaitingList,
        known: set[str] | None,
        now: float,
    ) -> bool:
        """Starts one call, or reserves a target for it.

        Returns:
            Whether it has left the queue.
        """
        reservation = self._reserve_for(waiting_call, waiting_list, known, now)
        if reservation is not None:
            waiting_list.start(waiting_call, now)
            waiting_call.item.set_result(reservation)
        elif waiting_call.item.done():
            waiting_list.leave(waiting_call)
        else:
            self._reserve_target(waiting_call, waiting_list, now)
            return False
        return True

    def _start_smaller(
        self,
        blocked: lanes.WaitingCall,
        waiting_list: waiting.WaitingList,
        known: set[str] | None,
        now: float,
    ) -> bool:
        """Starts a small call before one for which no target has room.

        The target that is expected to have room first is left to that one, so
        that the small call can't delay it.

        Returns:
            Whether a call has left the queue.
        """
        overtakers = waiting_list.overtakers(blocked)
        if not overtakers:
            return False
        if not self._reserve_target(blocked, waiting_list, now):
            return False
        for waiting_call in overtakers:
            if waiting_call.item.done():
                waiting_list.leave(waiting_call)
                return True
            reservation = self._reserve_for(
                waiting_call, waiting_list, known, now
            )
            if reservation is not None:
                waiting_list.start(waiting_call, now)
                waiting_call.item.set_result(reservation)
                return True
        return False

    def _reserve_for(
        self,
        waiting_call: lanes.WaitingCall,
        waiting_list: waiting.WaitingList,
        known: set[str] | None,
        now: float,
    ) -> Reservation | None:
        """Reserves capacity at a target that is left to no other call."""
        if waiting_call.item.done():
            return None
        call = waiting_call.call
        return self._try_reserve(
            call,
            now,
            waiting_calls=len(waiting_list.calls),
            among=self._unreserved_targets(call, known, now),
        )

    def _reserve_target(
        self,
        waiting_call: lanes.WaitingCall,
        waiting_list: waiting.WaitingList,
        now: float,
    ) -> bool:
        """Leaves a target to a call; returns whether there is one."""
        call = waiting_call.call
        if waiting_call.reserved_target:
            records = self.placement_policy.eligible(call, now)
            if any(r.identity == waiting_call.reserved_target for r in records):
                return True
        identity = self.placement_policy.roomiest_runner(
            call, now, without=waiting_list.reservations
        )
        if identity is None:
            return False
        waiting_list.reserve_target(identity, waiting_call)
        return True

    def _unreserved_targets(
        self, call: forwarding.Call, among: set[str] | None, now: float
    ) -> set[str] | None:
        """Returns the targets that are not left to other calls; None for all.

        Args:
            call: The call.
            among: Targets to choose from; all if None.
            now: Monotonic time in seconds.
        """
        waiting_list = self.waiting_lists[call.service]
        reserved = waiting_list.reserved_for_others(call)
        if not reserved:
            return among
        if among is None:
            among = {
                record.identity
                for record in self.context.targets.eligible(call.service, now)
            }
        return among - reserved

    def _known_targets(self, service: str, now: float) -> set[str] | None:
        """Returns the targets at which waiting calls may start; None for all.

        Where owners are asked, many instances wait for the same capacity: by
        what was told earlier all of them would take it.
        """
        if not self._asks_owners():
            return None
        return {
            record.identity
            for record in self.context.targets.eligible(service, now)
            if self.owners.is_known(record.identity, now)
        }

    def dispatch_target(self, identity: str) -> None:
        """Starts waiting calls of a target's service; see ``dispatch``."""
        entry = self.context.targets.entries.get(identity)
        if entry is not None:
            self.dispatch(entry.record.service)

    def _try_reserve(
        self,
        call: forwarding.Call,
        now: float,
        *,
        waiting_calls: int = 0,
        among: Container[str] | None = None,
    ) -> Reservation | None:
        placement = self.placement_policy.place(
            call, now, waiting_calls=waiting_calls, among=among
        )
        if placement is None:
            return None
        save_addresses = self.placement_policy.record_placed(
            call, placement, now
        )
        reservation = Reservation(
            placement,
            save_addresses,
            call.mean_kv_tokens,
            placement.tokens_to_prefill,
            reserved_at=now,
        )
        self.context.record_sent(placement.record.identity, now)
        reservation.counted_in = self.context.load.record_send(
            placement.record.identity,
            now,
            reservation.pending_tokens,
            reservation.mean_kv_tokens,
        )
        try:
            self._count_placement(call, placement, now)
            self._log_placement(call, placement, now)
        except BaseException:
            # Nobody else has the reservation yet.
            self.release(reservation, call.service)
            raise
        return reservation

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
        plan = placement.fetch_plan
        if plan is not None:
            series.computed_tokens.inc(plan.tokens_to_prefill)
            series.reused_tokens.inc(plan.held_tokens + plan.fetch_tokens)

    def _log_placement(
        self,
        call: forwarding.Call,
        placement: choice_lib.Placement,
        now: float,
    ) -> None:
        # ``filled``, ``ahead`` and ``running`` describe the target before this
        # call; ``load_age_ms`` is the age of what its owner told of its load,
        # null if it was not asked. ``fill``, ``held``, ``fetch`` and ``read``
        # are tokens of the call: counted against the KV cache, held by the
        # target, fetched from other sources, and left to prefill.
        # ``document`` is the number of the document version in force.
        # ``first_event_ms`` is the expected time from now to the first event,
        # to compare with ``first_ms`` less ``waited_ms``; ``slowness`` is the
        # ratio of the target's times to those of its service, and ``observed``
        # the weight of the requests that show it.
        plan = placement.fetch_plan
        estimates = self.context.work_estimates
        record = placement.record
        expected_s = estimates.expected_first_event_s(
            record.service,
            record.identity,
            tokens=placement.tokens_to_prefill,
            tokens_ahead=placement.candidate.pending_tokens,
        )
        load = self.context.load.load(placement.record.identity)
        age_s = load.told_age_s(now)
        _log.info(
            "call placed",
            request_id=call.request_id,
            target=placement.record.identity,
            weight_version=placement.record.weight_version,
            software_version=placement.record.software_version,
            takes_up_stream=call.takes_up_stream,
            resumes=call.resumes,
            waited_ms=round((now - call.arrived_at) * 1000),
            running=placement.candidate.running,
            filled=placement.candidate.used_kv_tokens,
            ahead=placement.candidate.pending_tokens,
            load_age_ms=None if math.isinf(age_s) else round(age_s * 1000),
            expected_ms=round(placement.time_to_first_token_s * 1000),
            first_event_ms=None if plan is None else round(expected_s * 1000),
            slowness=round(estimates.slowness(record.identity), 2),
            observed=round(estimates.confidence(record.identity), 1),
            fill=call.mean_kv_tokens,
            held=0 if plan is None else plan.held_tokens,
            fetch=0 if plan is None else plan.fetch_tokens,
            read=placement.tokens_to_prefill,
            document=self.context.document_state.number,
        )

    def record_first_event(self, reservation: Reservation) -> None:
        """Stops counting the prompt tokens of a call as pending.

        The first event of a stream has the first token, which shows that
        prefill has ended.
        """
        if reservation.first_event_at is None:
            reservation.first_event_at = context_lib.monotonic()
            self.work_observer.observe_first_event(reservation)
        self._end_prefill(reservation)

    def _end_prefill(self, reservation: Reservation) -> None:
        if reservation.pending_tokens:
            self.context.load.record_first_token(
                reservation.record.identity,
                reservation.pending_tokens,
                counted_in=reservation.counted_in,
            )
            reservation.pending_tokens = 0

    def release(self, reservation: Reservation, service: str) -> None:
        """Releases a reservation and starts waiting calls."""
        self.work_observer.observe_end(reservation)
        self._end_prefill(reservation)
        self.context.load.record_end(
            reservation.record.identity,
            reservation.mean_kv_tokens,
            counted_in=reservation.counted_in,
        )
        self.dispatch(service)

    def update_queues(self) -> None:
        """Starts waiting calls, and rejects those that can't be served."""
        for service, waiting_list in self.waiting_lists.items():
            try:
                self._update_queue(service, waiting_list)
            except (
                ValueError,
                TypeError,
                LookupError,
                ArithmeticError,
            ) as error:
                # One call must not end the process, which serves all others.
                _log.error(
                    "waiting calls not updated",
                    service=service,
                    error=repr(error),
                )
        self._update_gauges(context_lib.monotonic())

    def _update_queue(
        self, service: str, waiting_list: waiting.WaitingList
    ) -> None:
        now = context_lib.monotonic()
        self._reject_refused_calls(waiting_list, now)
        self._reject_evacuated_calls(waiting_list, now)
        self.dispatch(service)
        self._shed_calls(service, waiting_list, now)

    @mode.Service.task
    async def _dispatch_periodically(self) -> None:
        while not self.should_stop:
            await self._has_waiting_calls.wait()
            await asyncio.sleep(DISPATCH_PERIOD_S)
            if self._asks_owners():
                await self._ask_for_waiting_calls()
            self.update_queues()
            if not any(w.calls for w in self.waiting_lists.values()):
                self._has_waiting_calls.clear()


def _is_bound(call: forwarding.Call) -> bool:
    """Returns whether only some targets of its service may serve a call."""
    return call.software_version is not None or call.regions is not None


def _first_of_each_version(
    waiting_calls: Iterable[lanes.WaitingCall],
) -> Iterator[forwarding.Call]:
    """Yields the first call that waits for each kind of target.

    A call that is bound to a software version, or restricted to regions, waits
    for other targets than those behind it.
    """
    seen = set()
    for waiting_call in waiting_calls:
        call = waiting_call.call
        kind = (call.software_version, call.regions)
        if kind not in seen:
            seen.add(kind)
            yield call
