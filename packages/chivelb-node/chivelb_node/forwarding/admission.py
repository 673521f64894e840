"""Admission queue: calls wait for target capacity in priority order."""

import asyncio
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.forwarding import choice as choice_lib
from chivelb_core.forwarding import waiting
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
    ) -> None:
        """Creates an empty admission queue."""
        super().__init__()
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
        waiting_list = self.waiting_lists.setdefault(
            call.service, waiting.WaitingList()
        )
        if not waiting_list.calls:
            reservation = await self._reserve_at_once(call, now)
            if reservation is not None:
                waiting_list.record_start(now)
                return reservation
            now = context_lib.monotonic()
        # The waiting time of a retry starts now, not at the arrival.
        since = now if call.attempts else call.arrived_at
        deadline = call.next_byte_deadline(since)
        if not self.placement_policy.eligible(call, now):
            deadline = min(deadline, self._wait_for_targets(call, now))
        future = asyncio.get_running_loop().create_future()
        waiting_call = waiting_list.join(
            call, wait_started_at=since, item=future
        )
        self._has_waiting_calls.set()
        self.dispatch(call.service)
        self._shed_calls(call.service, waiting_list, now)
        try:
            async with asyncio.timeout(max(0.0, deadline - now)):
                return await future
        except TimeoutError:
            self._release_if_granted(future, call.service)
            now = context_lib.monotonic()
            if self.placement_policy.eligible(call, now):
                raise responses.RequestError(codes.QUEUE_DEADLINE) from None
            raise responses.RequestError(codes.NO_TARGET) from None
        except asyncio.CancelledError:
            self._release_if_granted(future, call.service)
            raise
        finally:
            waiting_list.leave(waiting_call)

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
            return self._try_reserve(call, now)
        for _ in range(MAX_QUERY_ROUNDS):
            names = self.placement_policy.shortlist(call, now)
            has_news = await self.owners.refresh(names)
            now = context_lib.monotonic()
            reservation = self._try_reserve(call, now, among=names)
            if reservation is not None:
                return reservation
            if not has_news:
                break
        known = self._known_targets(call.service, now)
        return self._try_reserve(call, now, among=known)

    async def _ask_for_waiting_calls(self) -> None:
        """Asks for the load of targets that may have capacity by now."""
        now = context_lib.monotonic()
        if now - self._owners_asked_at < WAITING_QUERY_PERIOD_S:
            return
        self._owners_asked_at = now
        names = set()
        for waiting_list in self.waiting_lists.values():
            for call in _first_of_each_version(waiting_list.in_order(now)):
                names.update(self.placement_policy.shortlist(call, now))
        await self.owners.refresh(names)

    def _wait_for_targets(self, call: forwarding.Call, now: float) -> float:
        """Returns until when a call without a target may wait for one.

        Raises:
            responses.RequestError: It would wait in vain.
        """
        if self.context.is_starting(now):
            # Targets may be announced until the start is over.
            return self.context.startup_ends_at
        rest_ends_at = self.context.targets.rest_ends_at(call.service, now)
        rest_s = rest_ends_at - now
        if rest_s <= MAX_REST_SHARE * (call.deadline - now):
            return call.deadline
        backlog_s = 0.0 if math.isinf(rest_s) else rest_s
        raise responses.RequestError(codes.NO_TARGET, backlog_s=backlog_s)

    def _release_if_granted(self, future: asyncio.Future, service: str) -> None:
        """Releases a reservation granted while its call was being cancelled."""
        granted = future.done() and not future.cancelled()
        if granted and future.exception() is None:
            self.release(future.result(), service)

    def _shed_calls(
        self, service: str, waiting_list: waiting.WaitingList, now: float
    ) -> None:
        """Rejects calls whose callers would leave before their turn.

        The expected wait of a call is the backlog ahead of it, in seconds; it
        is added to the retry delay that the caller is told.
        """
        if not self.context.settings.decisions.shedding:
            return
        first_wait_s, interval_s = self.placement_policy.limited_wait(
            service, now
        )
        timeouts = waiting_list.expected_timeouts(
            now, first_wait_s=first_wait_s, min_interval_s=interval_s
        )
        for waiting_call, wait_s in list(timeouts):
            waiting_list.leave(waiting_call)
            if waiting_call.item.done():
                continue
            error = responses.RequestError(
                codes.OVERLOADED,
                f"{len(waiting_list.calls)} calls queued, "
                f"expected wait {wait_s:.1f} s",
                backlog_s=wait_s,
            )
            waiting_call.item.set_exception(error)

    def _reject_refused_calls(
        self, waiting_list: waiting.WaitingList, now: float
    ) -> None:
        """Rejects calls that have come to be refused while they waited."""
        for waiting_call in list(waiting_list.calls.values()):
            if waiting_call.item.done():
                continue
            if self.is_refused(waiting_call.call, now):
                waiting_list.leave(waiting_call)
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
        for waiting_call in list(waiting_list.in_order(now)):
            if waiting_call.item.done():
                waiting_list.leave(waiting_call)
                continue
            reservation = self._try_reserve(
                waiting_call.call,
                now,
                waiting_calls=len(waiting_list.calls),
                among=known,
            )
            if (
                reservation is None
                and waiting_call.call.software_version is not None
            ):
                # Targets of other versions may have capacity for others.
                continue
            if reservation is None:
                return
            waiting_list.start(waiting_call, now)
            waiting_call.item.set_result(reservation)

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
            now,
        )
        self.context.request_limits.spend(placement.record.identity)
        self.context.load.record_send(
            placement.record.identity,
            now,
            reservation.pending_tokens,
            reservation.mean_kv_tokens,
        )
        self._count_placement(call, placement, now)
        self._log_placement(call, placement, now)
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
                reservation.record.identity, reservation.pending_tokens
            )
            reservation.pending_tokens = 0

    def release(self, reservation: Reservation, service: str) -> None:
        """Releases a reservation and starts waiting calls."""
        self.work_observer.observe_end(reservation)
        self._end_prefill(reservation)
        self.context.load.record_end(
            reservation.record.identity, reservation.mean_kv_tokens
        )
        self.dispatch(service)

    def update_queues(self) -> None:
        """Starts waiting calls, and rejects those that can't be served."""
        for service, waiting_list in self.waiting_lists.items():
            now = context_lib.monotonic()
            self._reject_refused_calls(waiting_list, now)
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


def _first_of_each_version(
    waiting_calls: Iterable[waiting.WaitingCall],
) -> Iterator[forwarding.Call]:
    """Yields the first call that may go to targets of each software version.

    A call that is bound to a version waits for other targets than those
    behind it.
    """
    seen = set()
    for waiting_call in waiting_calls:
        version = waiting_call.call.software_version
        if version not in seen:
            seen.add(version)
            yield waiting_call.call
