"""Simulated runners, an entry that sends them requests, and virtual time.

A runner reports late, carries out an order for some time, and finishes its
requests first if the order says so. No sockets are opened, and no real time
passes: the event loop's clock jumps to the next timer.
"""

import asyncio
import dataclasses
import json
import random
import selectors
import types

import builders
from chivelb_core import document
from chivelb_core import response_budget
from chivelb_core.kv_cache import parts
from chivelb_node import context as context_lib
from chivelb_node.control import weights
from chivelb_node.forwarding import placement
import chivelb_platform.runner_client as runner_client

REPORT_LAG_S = 0.2
LOAD_S = 1.3
REQUEST_INTERVAL_S = 0.02
STEP_S = 0.01


class JumpingSelector(selectors.SelectSelector):
    """A selector that waits by advancing a virtual clock.

    Attributes:
        now: Virtual time in seconds.
        wakeups: Number of calls, each of which is one turn of the event loop.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.wakeups = 0

    def select(self, timeout=None):
        self.now += timeout or 0.0
        self.wakeups += 1
        return super().select(0)


def run_in_virtual_time(make_coroutine, monkeypatch, *, selector=None):
    """Runs a coroutine to its end; no real time passes in its waits.

    Args:
        make_coroutine: Makes the coroutine.
        monkeypatch: The fixture.
        selector: Counts the wake-ups; a new one if None.
    """
    selector = selector or JumpingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    monkeypatch.setattr(context_lib, "monotonic", loop.time)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(make_coroutine())
    finally:
        loop.run_until_complete(_cancel_tasks())
        asyncio.set_event_loop(None)
        loop.close()


async def _cancel_tasks():
    """Ends all other tasks; pending ones would be destroyed in later tests."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@dataclasses.dataclass(slots=True)
class SimulatedRunner:
    """A runner.

    Attributes:
        identity: Its identity, which is also its address.
        version: Weight version that it serves.
        accepted_orders: Number of orders that it accepted.
        order: The order in progress, or None.
        load_ends_at: When its weights are loaded, in seconds; None before the
            load begins.
        run_ends: When each request in progress ends, in seconds.
        is_silent: Whether it answers neither reports nor orders.
        reports: Its states with their times, oldest first.
        swap_modes: Mode of each accepted order.
    """

    identity: str
    version: int = 1
    accepted_orders: int = 0
    order: dict | None = None
    load_ends_at: float | None = None
    run_ends: list = dataclasses.field(default_factory=list)
    is_silent: bool = False
    reports: list = dataclasses.field(default_factory=list)
    swap_modes: list = dataclasses.field(default_factory=list)

    def step(self, now):
        """Advances the runner to a time in seconds."""
        self.run_ends = [end for end in self.run_ends if end > now]
        if self.order is not None:
            self._advance_order(now)
        self.reports.append((now, self._state()))

    def _advance_order(self, now):
        waits = self.order["SwapMode"] == "queue" and self.run_ends
        if self.load_ends_at is None and not waits:
            self.load_ends_at = now + LOAD_S
        if self.load_ends_at is not None and now >= self.load_ends_at:
            self.version = self.order["Version"]
            self.order = self.load_ends_at = None

    def _state(self):
        return {
            "Models": [{"Name": "lm", "Version": self.version}],
            "Busy": self.order is not None,
            "Sequence": self.accepted_orders,
            "Running": len(self.run_ends),
            "Queued": 0,
        }

    def report(self, now):
        """Returns the state that it reports at a time, which is a late one."""
        return next(
            state
            for at, state in reversed(self.reports)
            if at <= max(0.0, now - REPORT_LAG_S)
        )

    def accept(self, order):
        """Returns the status of its answer to an order."""
        if self.order is not None or order["Expected"] != self.accepted_orders:
            return 409
        self.accepted_orders += 1
        self.order = order
        self.swap_modes.append(order["SwapMode"])
        return 202


class SimulatedPool:
    """Connections to simulated runners, in place of a pool of real ones.

    Attributes:
        runners: Runners by address.
        budget: Budget of what the responses buffer.
    """

    def __init__(self, runners):
        self.runners = {runner.identity: runner for runner in runners}
        self.budget = response_budget.ResponseBudget()

    async def send(self, address, data, *, new_connection=False):
        del new_connection
        """Sends a request; a silent runner never answers."""
        runner = self.runners[address]
        if runner.is_silent:
            await asyncio.Event().wait()
        head, _, body = data.partition(b"\r\n\r\n")
        if head.startswith(b"POST /order"):
            return SimulatedExchange(runner.accept(json.loads(body)), b"{}")
        report = runner.report(context_lib.monotonic())
        return SimulatedExchange(200, json.dumps(report).encode())


class SimulatedExchange:
    """A request to a simulated runner and its response."""

    def __init__(self, status, body):
        self.status = status
        self.chunks = [body]

    async def start(self, _):
        return types.SimpleNamespace(status=self.status)

    async def read(self):
        return self.chunks.pop() if self.chunks else b""

    def close(self):
        """Closes nothing."""


class LeaseHolder:
    """A controller lease that is always held."""

    token = 1
    voter_service = types.SimpleNamespace(is_leader=True)

    def apply_grant(self):
        """Applies nothing."""

    def may_send_orders(self):
        return True

    async def acquire_or_renew(self):
        return True


class HoldReplication:
    """Pauses runners in the one table that the simulation has."""

    def __init__(self, context):
        self.context = context

    async def suspend_dispatch(self, record, hold_s, version):
        table = self.context.targets
        until = context_lib.monotonic() + hold_s
        table.pause(record.identity, record.incarnation, until)
        if version:
            table.set_weight_version(
                record.identity, record.incarnation, version
            )


@dataclasses.dataclass(slots=True)
class RolloutResult:
    """What a simulated rollout did.

    Attributes:
        starts: Time since the request for the version, in seconds, identity
            of the runner and weight version of each request that began.
        runners: The runners in the end.
        max_unavailable: Largest number of runners that got no requests at the
            same time.
    """

    starts: list
    runners: list
    max_unavailable: int = 0

    def old_starts_after(self, seconds):
        """Returns the requests that began on version 1 after a time."""
        return [
            start
            for start in self.starts
            if start[2] == 1 and start[0] > seconds
        ]


def simulate_rollout(monkeypatch, runners, *, run_s, seconds):
    """Requests version 2 of the weights of runners that serve requests.

    Args:
        monkeypatch: The fixture.
        runners: The runners.
        run_s: Longest time that a request runs, in seconds.
        seconds: Duration of the simulation.
    """
    result = RolloutResult([], runners)
    rng = random.Random(26)

    async def serve_requests(context):
        policy = placement.PlacementPolicy(context, parts.PartDirectory())
        call = builders.make_call(service="estimator-lm")
        next_at = 0.0
        while (now := context_lib.monotonic()) < seconds:
            for runner in runners:
                runner.step(now)
            records = policy.eligible(call, now)
            unavailable = len(runners) - len(records)
            result.max_unavailable = max(result.max_unavailable, unavailable)
            while next_at <= now and records:
                identity = rng.choice(records).identity
                runner = next(r for r in runners if r.identity == identity)
                next_at += REQUEST_INTERVAL_S
                if runner.order is None:
                    runner.run_ends.append(now + rng.uniform(0.0, run_s))
                    result.starts.append((now, identity, runner.version))
            await asyncio.sleep(STEP_S)

    async def run():
        context = builders.make_context(
            **{
                runner.identity: {
                    "address": runner.identity,
                    "weight_version": "1",
                }
                for runner in runners
            }
        )
        for runner in runners:
            runner.step(0.0)
        context.apply_document_state(
            document.DocumentState(
                document=context.document, version=2, weights={"lm": 2}
            )
        )
        service = weights.WeightRolloutService(
            context,
            LeaseHolder(),
            HoldReplication(context),
            runner_client.RunnerClient(SimulatedPool(runners), "i1"),
        )
        await service.start()
        await serve_requests(context)
        await service.stop()
        return result

    return run_in_virtual_time(run, monkeypatch)
