"""Hierarchical weighted fair queue over classes and workspaces.

Start-time fair queueing at two levels, first among classes, then among the
workspaces of a class; the cost of a request is its predicted number of tokens.
See docs/design/admission.md.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from chivelb_core import codes

# Largest rounding error, in tokens, of a sum of costs that should be zero.
COST_ROUNDING = 1e-6


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request.

    Attributes:
        workspace: Name of the workspace.
        class_name: Scheduling class.
        cost: Predicted number of prompt and output tokens.
        deadline: Monotonic time at which the request expires, in seconds.
        item: Opaque data of the queue's user.
        queued_at: Monotonic time at which the request was queued, in seconds.
        removed: Whether the request was removed from the queue: started,
            expired or cancelled.
    """

    workspace: str
    class_name: str
    cost: float
    deadline: float
    item: Any = None
    queued_at: float = 0.0
    removed: bool = False


@dataclasses.dataclass(slots=True)
class Flow:
    """Queue of one workspace in one class.

    Attributes:
        weight: Weight relative to the other workspaces of the class.
        virtual_finish: Virtual finish time of the newest started request.
        requests: Requests in order of arrival; removed requests are skipped
            when they reach the head.
        waiting: Number of waiting requests.
        cost: Total cost of the waiting requests.
    """

    weight: float
    virtual_finish: float = 0.0
    requests: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    waiting: int = 0
    cost: float = 0.0


@dataclasses.dataclass(slots=True)
class ClassFlows:
    """Flows (workspace queues) of one class.

    Attributes:
        weight: Weight relative to the other classes.
        virtual_finish: Virtual finish time of the newest started request.
        virtual_time: Virtual time among the workspaces of the class.
        flows: Flows by workspace.
        waiting: Number of waiting requests.
    """

    weight: float
    virtual_finish: float = 0.0
    virtual_time: float = 0.0
    flows: dict[str, Flow] = dataclasses.field(default_factory=dict)
    waiting: int = 0


class FairQueue:
    """Queued requests of one service at one instance.

    Invariants: the counts equal the number of waiting requests; virtual time
    never decreases; a rejected or expired request is never started.

    Attributes:
        classes: Flows by class.
        waiting: Number of waiting requests.
        virtual_time: Virtual time among the classes.
        max_queue: Maximum number of waiting requests.
    """

    __slots__ = ("classes", "waiting", "virtual_time", "max_queue")

    def __init__(self, class_weights: dict[str, float], max_queue: int) -> None:
        """Creates an empty queue.

        Args:
            class_weights: Weight of each class.
            max_queue: Maximum number of waiting requests.
        """
        self.classes = {
            name: ClassFlows(weight) for name, weight in class_weights.items()
        }
        self.waiting = 0
        self.virtual_time = 0.0
        self.max_queue = max_queue

    def set_class_weights(self, class_weights: dict[str, float]) -> None:
        """Updates the weights; a class without a new weight is kept."""
        for name, weight in class_weights.items():
            class_flows = self.classes.setdefault(name, ClassFlows(weight))
            class_flows.weight = weight

    def push(
        self, request: QueuedRequest, *, weight: float, max_queued: int
    ) -> codes.ResultCode | None:
        """Adds a request unless a limit is reached.

        Args:
            request: The request.
            weight: Weight of its workspace.
            max_queued: Maximum number of waiting requests of its workspace in
                its class.

        Returns:
            None if the request was added, ``OVERLOADED`` if a limit is
            reached.
        """
        class_flows = self.classes[request.class_name]
        flow = class_flows.flows.get(request.workspace)
        if flow is None:
            flow = class_flows.flows[request.workspace] = Flow(weight)
        flow.weight = weight
        if flow.waiting >= max_queued or self.waiting >= self.max_queue:
            return codes.OVERLOADED
        flow.requests.append(request)
        flow.waiting += 1
        flow.cost += request.cost
        class_flows.waiting += 1
        self.waiting += 1
        return None

    def expected_wait_s(
        self, workspace: str, class_name: str, rate: float
    ) -> float:
        """Estimates the time to start a workspace's waiting requests.

        Args:
            workspace: Name of the workspace.
            class_name: Scheduling class.
            rate: Cost started per second, over all classes and workspaces.

        Returns:
            The time in seconds.
        """
        class_flows = self.classes[class_name]
        flow = class_flows.flows.get(workspace)
        if flow is None or not flow.waiting:
            return 0.0
        class_share = class_flows.weight / sum(
            other.weight for other in self.classes.values() if other.waiting
        )
        flow_share = flow.weight / sum(
            other.weight
            for other in class_flows.flows.values()
            if other.waiting
        )
        return flow.cost / (rate * class_share * flow_share)

    def remove(self, request: QueuedRequest) -> None:
        """Removes a cancelled or rejected request."""
        if request.removed:
            return
        request.removed = True
        self._subtract_counts(request)

    def _subtract_counts(self, request: QueuedRequest) -> None:
        class_flows = self.classes[request.class_name]
        flow = class_flows.flows[request.workspace]
        flow.waiting -= 1
        flow.cost -= request.cost
        class_flows.waiting -= 1
        self.waiting -= 1

    def expire(self, now: float) -> list[QueuedRequest]:
        """Removes and returns the requests whose deadline has passed."""
        expired = [
            request
            for class_flows in self.classes.values()
            for flow in class_flows.flows.values()
            for request in flow.requests
            if not request.removed and request.deadline <= now
        ]
        for request in expired:
            self.remove(request)
        return expired

    def pop(
        self, fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Removes and returns the next request to start.

        Args:
            fits: Returns whether a request can be dispatched now. It is called
                with the first request of each workspace, in order of virtual
                start times, until one fits.

        Returns:
            The request, or None if none fits.
        """
        if not self.waiting:
            return None
        for class_flows in self._sorted_by_start(
            self.classes.values(), self.virtual_time
        ):
            for flow in self._sorted_by_start(
                class_flows.flows.values(), class_flows.virtual_time
            ):
                request = self._first_waiting(flow)
                if request is not None and fits(request):
                    self._dequeue(class_flows, flow, request)
                    return request
        return None

    def _sorted_by_start(self, queues: Any, virtual_time: float) -> list:
        return sorted(
            (queue for queue in queues if queue.waiting),
            key=lambda queue: max(queue.virtual_finish, virtual_time),
        )

    def _first_waiting(self, flow: Flow) -> QueuedRequest | None:
        while flow.requests and flow.requests[0].removed:
            flow.requests.popleft()
        return flow.requests[0] if flow.requests else None

    def _dequeue(
        self, class_flows: ClassFlows, flow: Flow, request: QueuedRequest
    ) -> None:
        flow.requests.popleft()
        request.removed = True
        self._subtract_counts(request)
        class_virtual_start = max(class_flows.virtual_finish, self.virtual_time)
        assert class_virtual_start >= self.virtual_time, (
            f"virtual time decreased from {self.virtual_time} to "
            f"{class_virtual_start}"
        )
        self.virtual_time = class_virtual_start
        class_flows.virtual_finish = (
            class_virtual_start + request.cost / class_flows.weight
        )
        flow_virtual_start = max(flow.virtual_finish, class_flows.virtual_time)
        class_flows.virtual_time = flow_virtual_start
        flow.virtual_finish = flow_virtual_start + request.cost / flow.weight

    def remove_idle_flows(self) -> None:
        """Removes flows without requests whose virtual finish has passed."""
        for class_flows in self.classes.values():
            idle_workspaces = [
                name
                for name, flow in class_flows.flows.items()
                if not flow.waiting
                and flow.virtual_finish <= class_flows.virtual_time
            ]
            for name in idle_workspaces:
                del class_flows.flows[name]

    def check_invariants(self) -> None:
        """Asserts that the counts match the waiting requests."""
        total = 0
        for class_name, class_flows in self.classes.items():
            class_total = 0
            for workspace, flow in class_flows.flows.items():
                waiting = sum(not request.removed for request in flow.requests)
                assert waiting == flow.waiting, (
                    f"{class_name}/{workspace} counts {flow.waiting} waiting "
                    f"requests, not {waiting}"
                )
                assert waiting or abs(flow.cost) < COST_ROUNDING, (
                    f"{class_name}/{workspace} has no waiting request but the "
                    f"cost {flow.cost}"
                )
                class_total += waiting
            assert class_total == class_flows.waiting, (
                f"{class_name} counts {class_flows.waiting} waiting requests, "
                f"not {class_total}"
            )
            total += class_total
        assert total == self.waiting, (
            f"the queue counts {self.waiting} waiting requests, not {total}"
        )
