"""Waiting calls of one priority, in the order in which they start.

Calls that can be in time go before late ones; among these, workspaces get
shares by start-time fair queueing (P. Goyal, H. M. Vin, H. Cheng, 1996) over
what their calls cost; then comes the order of arrival. A call starts, is late
or leaves at a cost that does not grow with the number of waiting calls. See
docs/design/overload.md.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import heapq
import itertools
from typing import Any

from chivelb_core.forwarding import call as call_lib

# Time from the start of a call to its first byte, by assumption.
FIRST_BYTE_LATENCY_S = 0.1
# One of this many starts goes to a late call, so that none starves.
STARTS_PER_LATE_START = 4
# Workspaces without waiting calls are forgotten above this number, if they
# have not used more than their share.
MAX_IDLE_FLOWS = 64
MIN_WEIGHT = 1e-6
MIN_INDEX_SIZE = 32
ON_TIME = 0
LATE = 1


@dataclasses.dataclass(slots=True, eq=False)
class WaitingCall:
    """Queue entry of a waiting call.

    Attributes:
        call: The call.
        number: Sequence number in order of arrival.
        wait_started_at: Monotonic time of arrival of the call or, if it is
            retried, of its return to the queue, in seconds. The client's
            patience is counted from this time.
        item: Opaque value that the owner of the queue attaches to the call,
            such as a future to resolve at the start.
        cost: What it takes of the scarce resource, in tokens of KV cache.
        first_event_s: Expected time from its start to its first event, in
            seconds.
        lane: Lane in which it waits.
        flow: Flow of its workspace.
        queue: Queue of the flow in which it waits; None once it has left.
        position: Its position in the index of the queue.
        reserved_target: Identity of the target that others leave to it; empty
            for none.
    """

    call: call_lib.Call
    number: int
    wait_started_at: float
    item: Any
    cost: float = 1.0
    first_event_s: float = FIRST_BYTE_LATENCY_S
    lane: "Lane | None" = None
    flow: "Flow | None" = None
    queue: "FlowQueue | None" = None
    position: int = 0
    reserved_target: str = ""

    @property
    def latest_start_at(self) -> float:
        """Monotonic time until which a start is not too late, in seconds."""
        due_at = self.call.next_byte_deadline(self.wait_started_at)
        return due_at - self.first_event_s

    @property
    def late_from(self) -> float:
        """Monotonic time after which a start misses the objective."""
        objective_s = self.call.route.target_latency_s
        return self.call.arrived_at + objective_s - self.first_event_s

    def is_late(self, now: float) -> bool:
        """Returns whether a start now would miss the latency objective."""
        return now > self.late_from


class CostIndex:
    """Sums of costs by position, in a Fenwick tree.

    Attributes:
        sums: Partial sums; the first one is not used.
        size: Number of positions in use.
    """

    __slots__ = ("sums", "size")

    def __init__(self, capacity: int) -> None:
        """Creates an index for a number of positions."""
        self.sums = [0.0] * (capacity + 1)
        self.size = 0

    @property
    def is_full(self) -> bool:
        """Whether all positions are in use."""
        return self.size + 1 == len(self.sums)

    def append(self, cost: float) -> int:
        """Adds a cost at the next position, which it returns."""
        self.size += 1
        self.add(self.size, cost)
        return self.size

    def add(self, position: int, cost: float) -> None:
        """Adds to the cost at a position."""
        while position < len(self.sums):
            self.sums[position] += cost
            position += position & -position

    def sum_before(self, position: int) -> float:
        """Returns the sum of the costs at lower positions."""
        position -= 1
        total = 0.0
        while position > 0:
            total += self.sums[position]
            position -= position & -position
        return total


class FlowQueue:
    """Calls of one workspace that can be in time, or that can't.

    Calls that have left are removed when they reach the head.

    Attributes:
        kind: ``ON_TIME`` or ``LATE``.
        entries: Calls in order of arrival.
        count: Number of waiting calls.
        cost: Their total cost.
        index: Costs of the waiting calls by their positions.
        is_listed: Whether the lane lists the queue.
    """

    __slots__ = ("kind", "entries", "count", "cost", "index", "is_listed")

    def __init__(self, kind: int) -> None:
        """Creates an empty queue."""
        self.kind = kind
        self.entries: collections.deque[WaitingCall] = collections.deque()
        self.count = 0
        self.cost = 0.0
        self.index = CostIndex(MIN_INDEX_SIZE)
        self.is_listed = False

    def add(self, waiting_call: WaitingCall) -> None:
        """Adds a call; it usually arrived after all others of the queue.

        The cost ahead of a call that arrived before others of the queue is too
        large until the index is built anew.
        """
        later = []
        while self.entries and self.entries[-1].number > waiting_call.number:
            later.append(self.entries.pop())
        self.entries.append(waiting_call)
        self.entries.extend(reversed(later))
        waiting_call.queue = self
        self.cost += waiting_call.cost
        self.count += 1
        if self.index.is_full:
            self._rebuild_index()
        else:
            waiting_call.position = self.index.append(waiting_call.cost)

    def _rebuild_index(self) -> None:
        """Numbers the calls anew; as many more can come until the next time."""
        self.entries = collections.deque(self.waiting())
        self.index = CostIndex(max(MIN_INDEX_SIZE, 2 * self.count))
        for entry in self.entries:
            entry.position = self.index.append(entry.cost)

    def remove(self, waiting_call: WaitingCall) -> None:
        """Removes a call, which may be anywhere in the queue."""
        waiting_call.queue = None
        self.cost -= waiting_call.cost
        self.count -= 1
        self.index.add(waiting_call.position, -waiting_call.cost)

    def head(self) -> WaitingCall | None:
        """Returns the first waiting call."""
        while self.entries and self.entries[0].queue is not self:
            self.entries.popleft()
        return self.entries[0] if self.entries else None

    def waiting(self) -> Iterator[WaitingCall]:
        """Yields the waiting calls in order of arrival."""
        return (entry for entry in self.entries if entry.queue is self)

    def cost_ahead(self, waiting_call: WaitingCall) -> float:
        """Returns the cost of the calls ahead of one in the queue."""
        ahead = self.index.sum_before(waiting_call.position)
        return min(max(0.0, ahead), max(0.0, self.cost - waiting_call.cost))


class Flow:
    """Waiting calls of one workspace within a lane.

    Calls that only targets of one software version may serve have a flow of
    their own: they don't hold up others.

    Attributes:
        weight: Weight relative to the other workspaces.
        virtual_start: Virtual start time of its next call.
        queues: Its calls that can be in time, and those that are late.
    """

    __slots__ = ("weight", "virtual_start", "queues")

    def __init__(self, weight: float) -> None:
        """Creates a flow without calls."""
        self.weight = weight
        self.virtual_start = 0.0
        self.queues = (FlowQueue(ON_TIME), FlowQueue(LATE))

    @property
    def is_active(self) -> bool:
        """Whether calls wait."""
        return any(queue.count for queue in self.queues)


class Lane:
    """Waiting calls of one priority that are all new, or all retried.

    Invariants: a waiting call is in one queue of its flow; virtual time never
    decreases.

    Attributes:
        priority: Priority of the calls.
        is_fair: Whether workspaces get shares; otherwise only the order of
            arrival counts.
        flows: Flows by workspace and software version.
        virtual_time: Virtual start time of the newest start.
        counts: Number of waiting calls that can be in time, and of late ones.
        costs: Total cost of each.
        listed: For both, heap of virtual start time, number of the first call
            and flow. What a flow says goes before a listed time.
        late_times: Heap of the times after which calls are late.
    """

    __slots__ = (
        "priority",
        "is_fair",
        "flows",
        "virtual_time",
        "counts",
        "costs",
        "listed",
        "late_times",
    )

    def __init__(self, priority: int, *, is_fair: bool = True) -> None:
        """Creates a lane without calls."""
        self.priority = priority
        self.is_fair = is_fair
        self.flows: dict[tuple, Flow] = {}
        self.virtual_time = 0.0
        self.counts = [0, 0]
        self.costs = [0.0, 0.0]
        self.listed: tuple[list, list] = ([], [])
        self.late_times: list[tuple[float, int, WaitingCall]] = []

    @property
    def count(self) -> int:
        """Number of waiting calls."""
        return sum(self.counts)

    @property
    def cost(self) -> float:
        """Total cost of the waiting calls."""
        return sum(self.costs)

    def add(
        self, waiting_call: WaitingCall, flow_key: tuple, *, weight: float
    ) -> None:
        """Adds a call to the flow of its workspace."""
        flow = self._flow(flow_key, weight)
        if not flow.is_active:
            flow.virtual_start = max(flow.virtual_start, self.virtual_time)
        waiting_call.lane = self
        waiting_call.flow = flow
        self._add_to(flow.queues[ON_TIME], waiting_call)
        heapq.heappush(
            self.late_times,
            (waiting_call.late_from, waiting_call.number, waiting_call),
        )

    def _flow(self, flow_key: tuple, weight: float) -> Flow:
        flow = self.flows.get(flow_key)
        if flow is None:
            if len(self.flows) > 2 * (self.count + MAX_IDLE_FLOWS):
                self._remove_idle_flows()
            flow = self.flows[flow_key] = Flow(weight)
        flow.weight = max(weight, MIN_WEIGHT)
        return flow

    def _remove_idle_flows(self) -> None:
        self.flows = {
            key: flow
            for key, flow in self.flows.items()
            if flow.is_active or flow.virtual_start > self.virtual_time
        }

    def _add_to(self, queue: FlowQueue, waiting_call: WaitingCall) -> None:
        queue.add(waiting_call)
        self.counts[queue.kind] += 1
        self.costs[queue.kind] += waiting_call.cost
        if not queue.is_listed:
            queue.is_listed = True
            flow = waiting_call.flow
            entry = (flow.virtual_start, waiting_call.number, flow)
            heapq.heappush(self.listed[queue.kind], entry)

    def remove(self, waiting_call: WaitingCall) -> None:
        """Removes a call that no longer waits."""
        queue = waiting_call.queue
        if queue is None:
            return
        queue.remove(waiting_call)
        self.counts[queue.kind] -= 1
        self.costs[queue.kind] -= waiting_call.cost
        if not self.counts[queue.kind]:
            self.costs[queue.kind] = 0.0
        if not self.count:
            # All that are listed have left.
            self.late_times.clear()

    def charge(
        self, flow_key: tuple, cost: float, *, weight: float = 1.0
    ) -> None:
        """Charges a workspace for a call that started without waiting."""
        self._charge(self._flow(flow_key, weight), cost)

    def start(self, waiting_call: WaitingCall) -> None:
        """Removes a call that starts, and charges its workspace."""
        self.remove(waiting_call)
        self._charge(waiting_call.flow, waiting_call.cost)

    def _charge(self, flow: Flow, cost: float) -> None:
        if not self.is_fair:
            return
        start = max(flow.virtual_start, self.virtual_time)
        self.virtual_time = start
        flow.virtual_start = start + cost / flow.weight

    def update(self, now: float) -> None:
        """Moves calls that have become late behind those that are not."""
        while self.late_times and self.late_times[0][0] < now:
            _, _, waiting_call = heapq.heappop(self.late_times)
            if waiting_call.queue is not None:
                self.move_to_late(waiting_call)

    def move_to_late(self, waiting_call: WaitingCall) -> None:
        """Moves a call that can't be in time behind those that can."""
        if waiting_call.queue.kind == LATE:
            return
        late = waiting_call.flow.queues[LATE]
        self.remove(waiting_call)
        self._add_to(late, waiting_call)

    def heads(self, start_number: int, now: float) -> Iterator[WaitingCall]:
        """Yields the first call of each flow, the one to start next first.

        The lane must not be changed before the iterator is closed.
        """
        self.update(now)
        kinds = (ON_TIME, LATE)
        if is_late_turn(start_number):
            kinds = (LATE, ON_TIME)
        for kind in kinds:
            yield from self._heads(kind)

    def most_behind(self, now: float) -> WaitingCall | None:
        """Returns the first call of the workspace that got least."""
        self.update(now)
        found = []
        for kind in (ON_TIME, LATE):
            with contextlib.closing(self._heads(kind)) as heads:
                found += itertools.islice(heads, 1)
        return min(
            found,
            key=lambda head: (head.flow.virtual_start, head.number),
            default=None,
        )

    def _heads(self, kind: int) -> Iterator[WaitingCall]:
        listed = self.listed[kind]
        seen = []
        try:
            while listed:
                start, number, flow = listed[0]
                head = flow.queues[kind].head()
                if head is None:
                    heapq.heappop(listed)
                    flow.queues[kind].is_listed = False
                elif (start, number) != (flow.virtual_start, head.number):
                    entry = (flow.virtual_start, head.number, flow)
                    heapq.heapreplace(listed, entry)
                else:
                    seen.append(heapq.heappop(listed))
                    yield head
        finally:
            for entry in seen:
                heapq.heappush(listed, entry)

    def in_order(self, start_number: int, now: float) -> Iterator[WaitingCall]:
        """Yields all waiting calls in the order in which they start.

        The cost grows with the number of calls.
        """
        self.update(now)
        starts = {id(f): f.virtual_start for f in self.flows.values()}
        heaps = []
        for kind in (ON_TIME, LATE):
            flows = []
            for flow in self.flows.values():
                calls = collections.deque(flow.queues[kind].waiting())
                if calls:
                    flows.append((flow, calls))
            heaps.append(flows)

        def rank(entry):
            return starts[id(entry[0])], entry[1][0].number

        while any(heaps):
            first = LATE if is_late_turn(start_number) else ON_TIME
            flows = heaps[first] or heaps[1 - first]
            entry = min(flows, key=rank)
            flow, calls = entry
            waiting_call = calls.popleft()
            if self.is_fair:
                starts[id(flow)] += waiting_call.cost / flow.weight
            if not calls:
                flows.remove(entry)
            start_number += 1
            yield waiting_call

    def followers(self, blocked: WaitingCall, limit: int) -> list[WaitingCall]:
        """Returns some calls that would start after the first one.

        Args:
            blocked: The call that would start next.
            limit: Maximum number of calls to look at.
        """
        first: list[WaitingCall] = []
        for kind in (ON_TIME, LATE):
            with contextlib.closing(self._heads(kind)) as heads:
                first += itertools.islice(heads, limit - len(first))
        found = []
        for head in first:
            behind = itertools.islice(head.queue.waiting(), limit)
            found += [entry for entry in behind if entry is not blocked]
        return found[:limit]

    def cost_ahead(self, waiting_call: WaitingCall) -> float:
        """Returns the cost that starts before a call within its queue kind.

        Of each other workspace, at most what it gets until the turn of the
        call.
        """
        own = waiting_call.queue.cost_ahead(waiting_call)
        return self._share_ahead(
            waiting_call.flow, own, waiting_call.queue.kind
        )

    def late_cost_ahead(self, flow: Flow) -> float:
        """Returns the cost ahead of a call that becomes late now."""
        return self._share_ahead(flow, flow.queues[LATE].cost, LATE)

    def _share_ahead(self, flow: Flow, own: float, kind: int) -> float:
        share = flow.virtual_start - self.virtual_time + own / flow.weight
        ahead = own
        for _, _, other in self.listed[kind]:
            if other is flow or not other.queues[kind].count:
                continue
            behind = other.virtual_start - self.virtual_time
            granted = max(0.0, share - behind) * other.weight
            ahead += min(other.queues[kind].cost, granted)
        return ahead


def is_late_turn(start_number: int) -> bool:
    """Returns whether a start goes to a late call first."""
    return start_number % STARTS_PER_LATE_START == STARTS_PER_LATE_START - 1
