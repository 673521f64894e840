"""Targets that answer twice, an instance in front of them, and a checker.

A stuttering target writes a second copy of an answer, or the beginning of one,
behind the answer: at once, later, or when the next request on that connection
has come. All bytes cross real sockets on the loopback interface.

What a target does with a request is in the request's ``X-Plan`` header, so that
it depends on the seed and not on the order in which requests reach targets.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import random
import socket

import builders
from chivelb_core import document
from chivelb_node.links import http_pool
from chivelb_platform import caller_server
from chivelb_platform import target_client
import fake_ports
import stuttering_answers

PAUSE_S = 0.003
# Pause of a caller between two requests, in which a late copy arrives.
REST_S = 0.02
DEADLINE_MS = 400
CALLER_TIMEOUT_S = 5.0
SMALL_BUFFER_BYTES = 4_096


class Target:
    """A target that stutters.

    Attributes:
        fleet: Records the runs.
        small_buffers: Whether its sockets buffer little.
        port: Port that it listens on.
    """

    def __init__(self, fleet, *, small_buffers=False):
        self.fleet = fleet
        self.small_buffers = small_buffers
        self.port = 0

    @property
    def address(self):
        """Address of the target, as ``host:port``."""
        return f"127.0.0.1:{self.port}"

    @contextlib.asynccontextmanager
    async def serve(self):
        """Listens until the end of the context."""
        sock = socket.create_server(("127.0.0.1", 0))
        if self.small_buffers:
            for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                sock.setsockopt(socket.SOL_SOCKET, option, SMALL_BUFFER_BYTES)
        server = await asyncio.start_server(self._accept, sock=sock)
        self.port = sock.getsockname()[1]
        try:
            yield self
        finally:
            server.close()

    async def _accept(self, reader, writer):
        writer.transport.set_write_buffer_limits(0)
        try:
            await self._serve_connection(reader, writer)
        except (ConnectionError, CutShortError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_connection(self, reader, writer):
        late, late_apart, copies = b"", False, []
        while True:
            _, headers = await read_head(reader)
            await read_body(reader, headers)
            run = self.fleet.record(headers, copies)
            plan = run.plan
            answer = stuttering_answers.encode_answer(run)
            if late:
                if late_apart:
                    writer.write(late)
                    await writer.drain()
                    await asyncio.sleep(PAUSE_S)
                else:
                    answer = late + answer
            copy = b""
            if plan.cut:
                copy = stuttering_answers.cut_copy(
                    stuttering_answers.encode_answer(run), plan.cut
                )
                copies.append(f"{plan.form} | copy of {run.answer_kind}")
            late = await self._write(writer, plan, answer, copy)
            late_apart = plan.time == "next, apart"
            if plan.framing == "close":
                return

    async def _write(self, writer, plan, answer, copy):
        """Writes an answer and its copy, and returns what is still to come."""
        late = b""
        behind = b""
        match plan.time:
            case "same write" | "with the end":
                behind = copy
            case "begun, rest at next":
                behind, late = copy[: len(copy) // 2], copy[len(copy) // 2 :]
            case "next, one write" | "next, apart":
                late = copy
        segments = plan.segments + (plan.time == "with the end")
        step = -(-len(answer) // segments)
        pieces = [answer[i : i + step] for i in range(0, len(answer), step)]
        pieces[-1] += behind
        if plan.time == "later" and copy:
            pieces.append(copy)
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(PAUSE_S)
            writer.write(piece)
            await writer.drain()
        return late


async def read_head(reader):
    """Reads the head of a message.

    Returns:
        The words of the start line, and the headers by lower-case name.
        Values of headers with the same name are joined.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        key = name.lower()
        values = [headers[key]] if key in headers else []
        headers[key] = ", ".join([*values, value.strip()])
    return start.split(" "), headers


async def read_body(reader, headers):
    """Reads a body that has a length, is chunked, or is empty.

    Raises:
        CutShortError: The connection ended early.
    """
    if headers.get("transfer-encoding") == "chunked":
        return await _read_chunks(reader)
    return await _read_exactly(reader, int(headers.get("content-length", 0)))


class CutShortError(Exception):
    """A body broke off.

    Attributes:
        body: Body as far as it was received.
    """

    def __init__(self, body):
        super().__init__("a body broke off")
        self.body = body


async def _read_exactly(reader, size, before=b""):
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        raise CutShortError(before + error.partial) from None
    except ConnectionError:
        raise CutShortError(before) from None


async def _read_chunks(reader):
    body = b""
    while True:
        try:
            line = await reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            raise CutShortError(body) from None
        size = int(line, 16)
        data = await _read_exactly(reader, size + 2, body)
        if not size:
            return body
        body += data[:-2]


@dataclasses.dataclass(slots=True)
class Received:
    """What a caller received for a request.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the request, one of ``KINDS``.
        status: Status of the response; 0 for none.
        headers: Headers of the response, by lower-case name.
        body: Body of the response.
        is_complete: Whether the response looks complete.
    """

    request_id: str
    kind: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    @property
    def end(self):
        """How the request ended, in short."""
        code = self.headers.get("x-result-code")
        if not self.status:
            return "no response"
        cut = "" if self.is_complete else " cut short"
        return f"{self.status}{f' code {code}' if code else ''}{cut}"


def encode_request(request_id, kind, plan):
    """Returns the bytes of a caller's request."""
    prefix, method, framing = stuttering_answers.KINDS[kind]
    lines = [
        f"{method} {prefix}{request_id} HTTP/1.1",
        "Host: a.example",
        "X-Key: key-w",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"X-Kind: {kind}",
        f"X-Plan: {json.dumps(dataclasses.asdict(plan))}",
    ]
    body = f"question of {request_id}".encode()
    match framing:
        case "none":
            body = b""
        case "length":
            lines.append(f"Content-Length: {len(body)}")
        case "chunked":
            lines.append("Transfer-Encoding: chunked")
            body = b"".join(
                b"%x\r\n%b\r\n" % (len(piece), piece)
                for piece in (body[:7], body[7:])
            )
            body += b"0\r\n\r\n"
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Caller:
    """A caller that keeps its connection.

    Attributes:
        port: Port of the instance.
    """

    def __init__(self, port):
        self.port = port
        self._streams = None

    async def send(self, request_id, kind, plan):
        """Sends a request and returns what was received."""
        received = Received(request_id, kind)
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await self._send(
                    received, encode_request(request_id, kind, plan)
                )
        except CutShortError as error:
            received.body = error.body
            self.close()
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        return received

    async def _send(self, received, data):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        reader, writer = self._streams
        writer.write(data)
        start, received.headers = await read_head(reader)
        received.status = int(start[1])
        received.body = await read_body(reader, received.headers)
        received.is_complete = True
        if received.headers.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        """Closes the connection, if any."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


@dataclasses.dataclass(slots=True)
class Problem:
    """A broken rule.

    Attributes:
        rule: The rule: MIXED, ORDER, TWICE or REFUSED.
        what: What the caller got.
        request_id: Id of the request.
        forms: Second answers that the connections of its runs had carried
            before, and the answer of each run.
    """

    rule: str
    what: str
    request_id: str
    forms: list[str]


def make_document():
    """Returns a document with a route for each kind of request."""
    services = {
        "lm": document.Service(
            kind="model", engine=builders.make_engine(slots=64)
        )
    }
    routes = {
        kind: builders.make_route(
            path_prefix=prefix,
            kind=kind if kind in ("safe", "unsafe") else "streaming",
            resumable=kind == "resumable",
            max_attempts=2 if kind == "resumable" else 1,
        )
        for kind, (prefix, *_) in stuttering_answers.KINDS.items()
    }
    return builders.make_routed_document(services=services, routes=routes)


class Fleet:
    """An instance with stuttering targets, and what callers and targets saw.

    Attributes:
        targets: The targets.
        runs: Runs by id of the request, in order.
        received: What the callers received.
        port: Port of the instance.
    """

    def __init__(self, target_count=1, *, small_buffers=False):
        self.targets = [
            Target(self, small_buffers=small_buffers and number % 2 == 1)
            for number in range(target_count)
        ]
        self.runs = collections.defaultdict(list)
        self.received = []
        self.port = 0
        self._numbers = iter(range(1, 10**6))

    @contextlib.asynccontextmanager
    async def serve(self):
        """Runs the targets and the instance until the end of the context."""
        pool = http_pool.HttpPool()
        async with contextlib.AsyncExitStack() as stack:
            for target in self.targets:
                await stack.enter_async_context(target.serve())
            records = {
                f"t{number}": {
                    "service": "lm",
                    "address": target.address,
                    "weight_version": "1",
                    "slots": 64,
                }
                for number, target in enumerate(self.targets)
            }
            harness = fake_ports.ForwardingHarness(
                builders.make_context(make_document(), **records)
            )
            harness.forwarder.target_port = target_client.TargetClient(
                pool, fake_ports.make_signals(harness.context).record_answer
            )
            server = caller_server.CallerServer(
                harness.context,
                harness.forwarder,
                caller_address="127.0.0.1:0",
                readiness_address="127.0.0.1:0",
            )
            await server.on_start()
            self.port = server.servers[0].sockets[0].getsockname()[1]
            try:
                yield self
            finally:
                await server.on_stop()
                pool.close()

    def record(self, headers, copies):
        """Records a request that a target received, and returns its run."""
        request_id = headers["x-request-id"]
        earlier = self.runs[request_id]
        plan = (
            stuttering_answers.Plan(**json.loads(headers["x-plan"]))
            if not earlier
            else stuttering_answers.Plan()
        )
        resume_after = int(headers.get("last-event-id") or 0)
        run = stuttering_answers.Run(
            request_id,
            headers["x-kind"],
            next(self._numbers),
            plan,
            resume_after,
            list(copies),
        )
        earlier.append(run)
        return run

    async def send(self, caller, request_id, kind, plan):
        """Sends a request and records what the caller received."""
        received = await caller.send(request_id, kind, plan)
        self.received.append(received)
        return received

    def problems(self):
        """Yields the broken rules."""
        for received in self.received:
            runs = self.runs[received.request_id]
            for rule, what in _problems(received, runs):
                forms = [
                    f"{form} -> {run.kind} {run.answer_kind}"
                    for run in runs
                    for form in run.copies_before[-1:] or ["none"]
                ]
                yield Problem(rule, what, received.request_id, forms)


def _problems(received, runs):
    """Yields rule and description of what is wrong with a response."""
    ran = [run for run in runs if run.ran]
    if received.kind in stuttering_answers.AT_MOST_ONCE and len(ran) > 1:
        yield "TWICE", f"{len(ran)} runs"
    seal = received.headers.get("x-response-seal")
    own = [run for run in runs if run.seal == seal]
    answered = ",".join(str(run.plan.status) for run in runs) or "nothing"
    if received.status in stuttering_answers.PROMISES and ran:
        yield "REFUSED", f"{received.status} where the target ran it"
    if received.status == 200:
        if all(run.plan.status != 200 for run in runs):
            proof = "own" if own else "another" if seal else "no"
            yield (
                "MIXED",
                f"a success where the target answered {answered}, {proof} seal",
            )
        elif not own:
            yield "MIXED", "a success with another seal or none"
        if received.headers.get("x-request-id") != received.request_id:
            yield "MIXED", "a success with another id or none"
        yield from _body_problems(received, own)
    elif seal is not None:
        if not own:
            yield "MIXED", "a failure with another seal"
        elif own[0].plan.status != received.status:
            yield (
                "MIXED",
                f"{received.status} where the target answered {answered}",
            )
        elif received.is_complete and received.body != own[0].body:
            yield "MIXED", "a failure with another body"


def _body_problems(received, own):
    is_stream = received.headers.get("content-type") == "text/event-stream"
    if received.kind in stuttering_answers.STREAMS and is_stream:
        whole = stuttering_answers.Run(
            received.request_id, "stream", 0, stuttering_answers.Plan()
        ).body
        if not whole.startswith(received.body):
            yield "ORDER", "events that are not the next ones of the stream"
        elif received.is_complete and received.body != whole:
            yield "ORDER", "a stream that looks complete and is not"
    elif (
        received.kind in stuttering_answers.STREAMS
        and received.is_complete
        and received.body
    ):
        yield "ORDER", "a body that is no stream"
    elif own and received.is_complete and received.body != own[0].body:
        yield "MIXED", "a success with another body"
    elif own and not own[0].body.startswith(received.body):
        yield "MIXED", "a success with another body, cut short"


# What the requests around a second answer are, by name.
ANSWERS = {
    "safe 200": ("safe", {}),
    "safe 200 large": ("safe", {"lines": 200}),
    "safe 500": ("safe", {"status": 500}),
    "safe 503": ("safe", {"status": 503}),
    "safe 503 no id": ("safe", {"status": 503, "has_id": False}),
    "safe 500 no id": ("safe", {"status": 500, "has_id": False}),
    "safe 429": ("safe", {"status": 429}),
    "safe 200 chunked": ("safe", {"framing": "chunked"}),
    "unsafe 200": ("unsafe", {}),
    "unsafe 500": ("unsafe", {"status": 500}),
    "stream 200 chunked": ("stream", {"framing": "chunked"}),
    "stream 200 length": ("stream", {}),
    "stream 200 close": ("stream", {"framing": "close"}),
    "stream 200 slow": ("stream", {"framing": "chunked", "segments": 5}),
    "stream 200 slow close": ("stream", {"framing": "close", "segments": 5}),
    "stream 500": ("stream", {"status": 500}),
    "resumable 200": ("resumable", {"framing": "chunked"}),
}


# Pairs of requests on one connection, of which the first answer comes twice.
PAIRS = (
    ("safe 200", "safe 500"),
    ("safe 200", "stream 200 slow close"),
    ("safe 500", "stream 200 slow"),
    ("stream 200 chunked", "stream 500"),
)
PLAYS_AT_ONCE = 24


async def play_pairs(
    pairs, times, orders=stuttering_answers.ORDERS, cuts=stuttering_answers.CUTS
):
    """Plays pairs of requests with second answers of all given forms.

    Yields:
        The first and the second request, the plan of the first one, and the
        fleet.
    """
    limit = asyncio.Semaphore(PLAYS_AT_ONCE)

    async def play(first, second, **options):
        async with limit:
            fleet = await play_pair(first, second, options)
        return first, second, options, fleet

    async with asyncio.TaskGroup() as group:
        plays = [
            group.create_task(
                play(first, second, cut=cut, time=time, order=order)
            )
            for first, second in pairs
            for cut in cuts
            for time in times
            for order in orders
        ]
    for done in plays:
        yield done.result()


async def play_pair(first, second, plan_options):
    """Plays a request whose answer comes twice, and two requests behind it.

    Args:
        first: What the first request is, one of ``ANSWERS``.
        second: What the request behind it is, one of ``ANSWERS``.
        plan_options: Options of the plan of the first one.

    Returns:
        The fleet.
    """
    fleet = Fleet()
    first_kind, first_options = ANSWERS[first]
    second_kind, second_options = ANSWERS[second]
    order = plan_options.get("order", stuttering_answers.ORDERS[0])
    async with fleet.serve():
        caller = Caller(fleet.port)
        requests = [
            (
                first_kind,
                stuttering_answers.Plan(**first_options, **plan_options),
            ),
            (
                second_kind,
                stuttering_answers.Plan(**second_options, order=order),
            ),
            ("safe", stuttering_answers.Plan()),
        ]
        for number, (kind, plan) in enumerate(requests):
            await fleet.send(caller, f"request-{number}", kind, plan)
            await asyncio.sleep(REST_S)
        caller.close()
    return fleet


def make_plan(rng, share):
    """Returns the kind and the plan of a random request.

    Args:
        rng: Source of randomness.
        share: Share of the answers that come twice.
    """
    name = rng.choice(sorted(ANSWERS))
    kind, options = ANSWERS[name]
    plan = stuttering_answers.Plan(
        **{"framing": "length", **options},
        order=rng.choice(stuttering_answers.ORDERS),
    )
    plan.segments = rng.choice((1, 1, 2, 5))
    if rng.random() < share:
        plan.cut = rng.choice(stuttering_answers.CUTS)
        plan.time = rng.choice(stuttering_answers.TIMES)
    return kind, plan


async def play_seed(seed, *, callers=6, requests=25, target_count=3, share=0.5):
    """Plays random requests of concurrent callers.

    Returns:
        The fleet.
    """
    rng = random.Random(seed)
    fleet = Fleet(target_count, small_buffers=True)
    plans = [
        [make_plan(rng, share) for _ in range(requests)] for _ in range(callers)
    ]
    async with fleet.serve():

        async def run_caller(name, plans):
            caller = Caller(fleet.port)
            for number, (kind, plan) in enumerate(plans):
                await fleet.send(
                    caller, f"c{name}-request-{number}", kind, plan
                )
            caller.close()

        async with asyncio.TaskGroup() as group:
            for name, own in enumerate(plans):
                group.create_task(run_caller(name, own))
    return fleet
