"""Weighted fair queue: class first, then workspace, in predicted tokens.

Start-time fair queueing at two levels; see docs/design/admission.md.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from chivelb_core import codes


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits.

    Attributes:
        workspace: Name of the workspace.
        class_name: Scheduling class.
        cost: Predicted tokens of work.
        deadline: Monotonic time in seconds when waiting ends.
        item: What the caller of the queue waits with.
        joined_at: Monotonic time when it joined, in seconds.
        gone: Whether the caller left or the ticket was taken.
    """

    workspace: str
    class_name: str
    cost: float
    deadline: float
    item: Any = None
    joined_at: float = 0.0
    gone: bool = False


@dataclasses.dataclass(slots=True)
class Flow:
    """Tickets of one workspace in one class.

    Attributes:
        weight: Share relative to the class's other workspaces.
        finish: Virtual time at which its last started work ends.
        tickets: Waiting tickets in order of arrival.
        waiting: Number of tickets that are not gone.
        cost: Sum of their costs.
    """

    weight: float
    finish: float = 0.0
    tickets: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    waiting: int = 0
    cost: float = 0.0


@dataclasses.dataclass(slots=True)
class ClassFlows:
    """Flows of one class.

    Attributes:
        weight: Share relative to the other classes.
        finish: Virtual time at which its last started work ends.
        clock: Virtual time among its workspaces.
        flows: Flows by workspace.
        waiting: Number of tickets that are not gone.
    """

    weight: float
    finish: float = 0.0
    clock: float = 0.0
    flows: dict[str, Flow] = dataclasses.field(default_factory=dict)
    waiting: int = 0


class FairQueue:
    """Waiting requests of one service at one instance.

    Rules: the counts equal the tickets that wait; virtual time never goes
    back; a refused or expired ticket is never started.

    Attributes:
        classes: Flows by class.
        waiting: Number of tickets that wait.
        clock: Virtual time among the classes.
    """

    __slots__ = ("classes", "waiting", "clock", "max_queue")

    def __init__(self, class_weights: dict[str, float], max_queue: int) -> None:
        """Creates an empty queue.

        Args:
            class_weights: Relative share of each class.
            max_queue: Most tickets that wait.
        """
        self.classes = {
            name: ClassFlows(weight) for name, weight in class_weights.items()
        }
        self.waiting = 0
        self.clock = 0.0
        self.max_queue = max_queue

    def set_class_weights(self, class_weights: dict[str, float]) -> None:
        """Takes new weights; a class that is gone keeps its tickets."""
        for name, weight in class_weights.items():
            flows = self.classes.setdefault(name, ClassFlows(weight))
            flows.weight = weight

    def push(
        self, ticket: Ticket, *, weight: float, max_queued: int
    ) -> codes.ResultCode | None:
        """Adds a ticket, or returns the code that refuses it.

        Args:
            ticket: The request.
            weight: Weight of its workspace.
            max_queued: Most tickets of its workspace that wait.

        Returns:
            None when it waits, ``OVERLOADED`` when a bound is reached.
        """
        flows = self.classes[ticket.class_name]
        flow = flows.flows.get(ticket.workspace)
        if flow is None:
            flow = flows.flows[ticket.workspace] = Flow(weight)
        flow.weight = weight
        if flow.waiting >= max_queued or self.waiting >= self.max_queue:
            return codes.OVERLOADED
        flow.tickets.append(ticket)
        flow.waiting += 1
        flow.cost += ticket.cost
        flows.waiting += 1
        self.waiting += 1
        return None

    def expected_wait_s(
        self, workspace: str, class_name: str, rate: float
    ) -> float:
        """Returns how long what a workspace has waiting will take.

        Args:
            workspace: Name of the workspace.
            class_name: Scheduling class.
            rate: Cost that is started a second, over all workspaces.
        """
        flows = self.classes[class_name]
        flow = flows.flows.get(workspace)
        if flow is None or not flow.waiting:
            return 0.0
        class_share = flows.weight / sum(
            other.weight for other in self.classes.values() if other.waiting
        )
        flow_share = flow.weight / sum(
            other.weight for other in flows.flows.values() if other.waiting
        )
        return flow.cost / (rate * class_share * flow_share)

    def leave(self, ticket: Ticket) -> None:
        """Takes out a ticket whose caller went away or was refused."""
        if ticket.gone:
            return
        ticket.gone = True
        self._count_out(ticket)

    def _count_out(self, ticket: Ticket) -> None:
        flows = self.classes[ticket.class_name]
        flow = flows.flows[ticket.workspace]
        flow.waiting -= 1
        flow.cost -= ticket.cost
        flows.waiting -= 1
        self.waiting -= 1

    def expire(self, now: float) -> list[Ticket]:
        """Takes out and returns the tickets whose deadline has passed."""
        late = [
            ticket
            for flows in self.classes.values()
            for flow in flows.flows.values()
            for ticket in flow.tickets
            if not ticket.gone and ticket.deadline <= now
        ]
        for ticket in late:
            self.leave(ticket)
        return late

    def pop(self, fits: Callable[[Ticket], bool]) -> Ticket | None:
        """Takes out the ticket that starts next.

        Args:
            fits: Tells whether a ticket can be dispatched now. Heads of
                other workspaces are offered when the first does not fit.

        Returns:
            The ticket, or None when none fits.
        """
        if not self.waiting:
            return None
        for flows in self._by_start(self.classes.values(), self.clock):
            for flow in self._by_start(flows.flows.values(), flows.clock):
                ticket = self._head(flow)
                if ticket is not None and fits(ticket):
                    self._start(flows, flow, ticket)
                    return ticket
        return None

    def _by_start(self, flows: Any, clock: float) -> list:
        return sorted(
            (flow for flow in flows if flow.waiting),
            key=lambda flow: max(flow.finish, clock),
        )

    def _head(self, flow: Flow) -> Ticket | None:
        while flow.tickets and flow.tickets[0].gone:
            flow.tickets.popleft()
        return flow.tickets[0] if flow.tickets else None

    def _start(self, flows: ClassFlows, flow: Flow, ticket: Ticket) -> None:
        flow.tickets.popleft()
        ticket.gone = True
        self._count_out(ticket)
        class_start = max(flows.finish, self.clock)
        assert class_start >= self.clock, "virtual time went back"
        self.clock = class_start
        flows.finish = class_start + ticket.cost / flows.weight
        flow_start = max(flow.finish, flows.clock)
        flows.clock = flow_start
        flow.finish = flow_start + ticket.cost / flow.weight

    def forget_idle(self) -> None:
        """Drops flows without tickets whose share is used up."""
        for flows in self.classes.values():
            idle = [
                name
                for name, flow in flows.flows.items()
                if not flow.waiting and flow.finish <= flows.clock
            ]
            for name in idle:
                del flows.flows[name]

    def check_invariants(self) -> None:
        """Asserts that the counts equal the tickets that wait."""
        total = 0
        for flows in self.classes.values():
            in_class = 0
            for flow in flows.flows.values():
                waiting = sum(not ticket.gone for ticket in flow.tickets)
                assert waiting == flow.waiting
                assert waiting or abs(flow.cost) < 1e-6
                in_class += waiting
            assert in_class == flows.waiting
            total += in_class
        assert total == self.waiting
