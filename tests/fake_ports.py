"""In-memory callers and targets for tests of forwarding."""

import asyncio

from chivelb_core import calls
from chivelb_core import codes
from chivelb_core.calls import attempt as attempt_lib
from chivelb_core.kv_cache import parts as parts_lib
from chivelb_core.membership import messages as membership_messages
from chivelb_node.forwarding import admission as admission_lib
from chivelb_node.forwarding import crash_policy as crash_policy_lib
from chivelb_node.forwarding import forwarder as forwarder_lib
from chivelb_node.forwarding import placement as placement_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import stream_origins as origins_lib
from chivelb_node.links import target_signals
import replicas


def not_run(code=codes.TARGET_REFUSED, target_crashed=False):
    return calls.AttemptError(
        attempt_lib.Outcome(calls.OutcomeKind.NOT_RUN, code, "", target_crashed)
    )


def unknown(target_crashed=True):
    return calls.AttemptError(
        attempt_lib.Outcome(
            calls.OutcomeKind.UNKNOWN, codes.OUTCOME_UNKNOWN, "", target_crashed
        )
    )


class FakeReply:
    """A response scripted as chunks, delays in seconds and errors."""

    def __init__(self, *steps, status=200, is_stream=False, headers=()):
        self.steps = steps
        self.status = status
        self.is_stream = is_stream
        self.headers = list(headers)
        self.length = None
        self.framing = ports.Framing.CHUNKED
        self.closed = False

    async def chunks(self):
        for step in self.steps:
            if isinstance(step, Exception):
                raise step
            if isinstance(step, bytes):
                yield step
            else:
                await asyncio.sleep(step)

    def close(self):
        self.closed = True


class FakeTargets:
    """Returns the next reply for each request, or raises it."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.sent = []

    async def send(self, call, message, assignment):
        self.sent.append(assignment)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


class FakeCaller:
    """Records the response that a caller receives."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.end = ""
        self.error_detail = None

    def has_left(self):
        return False

    async def send_head(self, reply, length):
        assert self.status is None, "a second response head"
        self.status = reply.status

    async def send_body(self, data):
        self.body += data

    async def finish(self):
        self.end = "finished"

    def abort(self):
        self.end = "aborted"

    async def send_error(self, error_detail):
        assert self.status is None, "refused after the response head"
        self.end = "refused"
        self.error_detail = error_detail


def make_origins(context):
    """Returns the origins of an instance without peers.

    Like its context, it has been running for some time.
    """
    settings = context.settings.instance
    member = membership_messages.Member(
        settings.name, settings.region, settings.zone, "127.0.0.1:1", 1
    )
    origins = origins_lib.StreamOrigins(
        context,
        replicas.MemoryHub(settings.name, replicas.MemoryNetwork()),
        replicas.StaticGossip([member], settings.name, context.rng),
    )
    origins.watches_from = float("-inf")
    return origins


def make_signals(context):
    """Returns what obeys the targets of an instance without peers."""
    settings = context.settings.instance
    member = membership_messages.Member(
        settings.name, settings.region, settings.zone, "127.0.0.1:1", 1
    )
    return target_signals.TargetSignals(
        context,
        replicas.MemoryHub(settings.name, replicas.MemoryNetwork()),
        replicas.StaticGossip([member], settings.name, context.rng),
        lambda *_: None,
        mark_leaving=lambda record: context.targets.mark_leaving(
            record.identity, record.incarnation
        ),
    )


class ForwardingHarness:
    """A forwarder connected to fake callers and targets.

    Attributes:
        forwarder: The forwarder.
        observations: Crash observations sent to peers.
        evidence: Evidence on parts of prompts sent to peers.
        retired: Records of targets that the forwarder reported as gone,
            because another target answered at their address.
        unreachable: Records of targets to which no connection was opened.
    """

    def __init__(self, context, *replies, origins=None):
        self.context = context
        self.targets = FakeTargets(*replies)
        self.observations = []
        self.evidence = []
        self.crash_policy = crash_policy_lib.CrashPolicy(
            context,
            broadcast_observation=self.observations.append,
            broadcast_evidence=self.evidence.append,
        )
        self.retired = []
        self.unreachable = []
        self.directory = parts_lib.PartDirectory()
        self.placement_policy = placement_lib.PlacementPolicy(
            context, self.directory
        )
        self.admission_queue = admission_lib.AdmissionQueue(
            context,
            self.placement_policy,
            is_refused=self.crash_policy.is_refused,
        )
        self.forwarder = forwarder_lib.Forwarder(
            context,
            self.admission_queue,
            self.targets,
            origins or make_origins(context),
            self.crash_policy,
            count_instances=lambda: 1,
            remove_replaced_target=self.retired.append,
            check_reachability=self.unreachable.append,
        )

    async def serve(self, call, caller=None):
        caller = caller or FakeCaller()
        message = ports.Message("POST", "/x/", [], b"body")
        await self.forwarder.serve(call, message, caller)
        return caller

    def run_call(self, call):
        """Serves one call and returns its caller."""
        return asyncio.run(self.serve(call))

    def running(self):
        """Returns the number of requests counted at targets."""
        loads = self.context.load.loads.values()
        return sum(load.own_running for load in loads)
