"""A waiting list before one server, in virtual time.

The server takes a number of tokens a second, one call after the other. No
event loop runs: time goes from one arrival, start or pass to the next.
"""

import dataclasses
import random

import builders
from chivelb_core.forwarding import waiting

PASS_S = 0.03
CAPACITY_TOKENS_PER_S = 30_000.0


@dataclasses.dataclass(slots=True)
class Traffic:
    """Calls of one kind from one workspace.

    Attributes:
        per_s: Calls a second.
        tokens: Tokens of the prompt of each.
        priority: Their priority.
        workspace: Their workspace.
        objective_s: Latency objective.
        timeout_s: Time for which their callers wait.
        since: Time of the first call, in seconds.
        until: Time after which none comes, in seconds.
    """

    per_s: float
    tokens: int
    priority: int = 0
    workspace: str = "w"
    objective_s: float = 0.5
    timeout_s: float = 5.0
    since: float = 0.0
    until: float = float("inf")


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of a call.

    Attributes:
        traffic: What it was part of.
        arrived_at: Time in seconds.
        ended_at: Time of its start or refusal, in seconds.
        is_refused: Whether it was refused.
        expected_s: Expected wait, told at its arrival or refusal, in seconds.
    """

    traffic: Traffic
    arrived_at: float
    ended_at: float
    is_refused: bool
    expected_s: float

    @property
    def waited_s(self):
        """Seconds until the start or refusal."""
        return self.ended_at - self.arrived_at

    @property
    def is_in_time(self):
        """Whether the call started in time for its objective."""
        latest_s = self.traffic.objective_s - waiting.FIRST_BYTE_LATENCY_S
        return not self.is_refused and self.waited_s <= latest_s + 1e-9


class Queue:
    """The waiting list, the server and what became of the calls.

    Attributes:
        waiting_list: The list.
        outcomes: Outcomes in order of start or refusal.
        capacity: Function from time to tokens a second.
        gaps_s: Longest time for which calls of a priority and workspace waited
            without a start of one of them, in seconds.
    """

    def __init__(self, *, is_fair=True, capacity=None):
        self.waiting_list = waiting.WaitingList(is_fair=is_fair)
        self.outcomes = []
        self.capacity = capacity or (lambda now: CAPACITY_TOKENS_PER_S)
        self.free_at = 0.0
        self.gaps_s = {}
        self._since = {}

    def run(self, traffics, *, seconds, seed=1):
        """Sends calls for some time; returns their outcomes."""
        rng = random.Random(seed)
        arrivals = sorted(_arrivals(traffics, seconds, rng), key=_time_of)
        arrivals.reverse()
        next_pass = 0.0
        while arrivals:
            starts_at = self.free_at if self.waiting_list.calls else 1e9
            now = min(arrivals[-1][0], next_pass, starts_at)
            if now == arrivals[-1][0]:
                self._receive(*arrivals.pop())
            elif now == next_pass:
                next_pass += PASS_S
                self._refuse_late(now)
            self._start(now)
        self.waiting_list.check_invariants()
        return self.outcomes

    def _receive(self, now, traffic):
        route = builders.make_route(target_latency_s=traffic.objective_s)
        call = builders.make_call(
            route,
            workspace=traffic.workspace,
            priority=traffic.priority,
            prompt=builders.make_prompt(traffic.tokens, max_output=0),
            arrived_at=now,
            deadline=now + traffic.timeout_s,
        )
        outcome = Outcome(traffic, now, now, False, 0.0)
        if self.waiting_list.has_precedence(call) and now >= self.free_at:
            self.waiting_list.record_start(now, call)
            self._serve(outcome, now)
            return
        if not any(_key_of(w.item) == _key_of(outcome) for w in self._all()):
            self._since[_key_of(outcome)] = now
        waiting_call = self.waiting_list.join(
            call, wait_started_at=now, item=outcome
        )
        wait_s = self.waiting_list.admit(waiting_call, now)
        outcome.expected_s = wait_s
        if waiting.would_time_out(waiting_call, wait_s=wait_s, now=now):
            self._refuse(waiting_call, wait_s, now)

    def _all(self):
        return self.waiting_list.calls.values()

    def _serve(self, outcome, now):
        outcome.ended_at = now
        key = _key_of(outcome)
        gap_s = now - self._since.get(key, now)
        self.gaps_s[key] = max(gap_s, self.gaps_s.get(key, 0.0))
        self._since[key] = now
        tokens = outcome.traffic.tokens
        self.free_at = max(now, self.free_at) + tokens / self.capacity(now)
        self.outcomes.append(outcome)

    def _refuse_late(self, now):
        for waiting_call, wait_s in self.waiting_list.review(now):
            self._refuse(waiting_call, wait_s, now)
        for waiting_call in list(self._all()):
            if waiting_call.call.deadline <= now:
                self._refuse(waiting_call, 0.0, now)

    def _refuse(self, waiting_call, wait_s, now):
        self.waiting_list.leave(waiting_call)
        outcome = waiting_call.item
        outcome.is_refused = True
        outcome.ended_at = now
        outcome.expected_s = wait_s
        self.outcomes.append(outcome)

    def _start(self, now):
        while self.waiting_list.calls and now >= self.free_at:
            first = self.waiting_list.overdue(now)
            if first is None:
                heads = self.waiting_list.heads(now)
                first = next(heads)
                heads.close()
            self.waiting_list.start(first, now)
            self._serve(first.item, now)


def _arrivals(traffics, seconds, rng):
    for traffic in traffics:
        at = traffic.since
        while at < min(seconds, traffic.until):
            yield at, traffic
            at += rng.expovariate(traffic.per_s)


def _time_of(arrival):
    return arrival[0]


def _key_of(outcome):
    return outcome.traffic.priority, outcome.traffic.workspace
