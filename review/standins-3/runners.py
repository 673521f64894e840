"""Stand-ins for runners, and for requesters."""

import asyncio
import json
import time

import http1

HEARTBEAT_S = 1.2
PING_TIMEOUT_S = 1.0
BACKOFF_S = 0.5


class Runner:
    """A runner of a plain service.

    Attributes:
        identity: Its ``Id``.
        service: Its service.
        is_asked_to_leave: Whether it is to deregister in place of its next
            ping.
        is_leaving: Whether its answers say that it leaves.
        deregistered_at: When it was acknowledged that it is gone; 0 before.
        runs: When it began to run each request: time, request id, and the
            address that the request came from.
    """

    def __init__(
        self,
        fleet,
        identity,
        service,
        zone,
        *,
        slots=6,
        work_s=0.03,
        in_turn=False,
    ) -> None:
        """Creates a runner that is not started."""
        self.fleet = fleet
        self.record = fleet.record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        # Whether each call goes to the next control machine.
        self.in_turn = in_turn
        self.next_machine = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.version = "v1"
        self.state = "ready"
        self.is_asked_to_leave = False
        self.is_leaving = False
        self.address = ""
        self.deregistered_at = 0.0
        self.runs: list[tuple[float, str, str]] = []
        self._server = None
        self._tasks: list[asyncio.Task] = []
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the socket and begins to announce the runner."""
        self._server = await asyncio.start_server(
            self._serve, self.fleet.runner_ip, 0, limit=http1.MAX_HEAD_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.fleet.runner_ip}:{port}"
        self._tasks.append(asyncio.create_task(self._announce()))

    async def stop(self) -> None:
        """Ends the runner."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    # Announcements.

    def ping(self) -> dict:
        """Returns the content of the next ping."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    async def _announce(self) -> None:
        # A runner that leaves deregisters in place of its next ping.
        while not self.is_asked_to_leave:
            await self.call(
                f"/instances/{self.identity}/heartbeat", self.ping()
            )
            await asyncio.sleep(HEARTBEAT_S)
        self.is_leaving = True
        self.deregistered_at = await self.deregister()

    async def call(self, path: str, content: dict) -> float:
        """Calls the control machines in turn until one acknowledges."""
        body = json.dumps(content).encode()
        index = self.next_machine
        while True:
            machine = self.fleet.controls[index % len(self.fleet.controls)]
            index += 1
            if self.in_turn:
                self.next_machine = index
            try:
                answer = await http1.request(
                    machine.control,
                    "POST",
                    path,
                    headers=[
                        ("Host", machine.control),
                        ("Content-Type", "application/json"),
                    ],
                    body=body,
                    timeout_s=PING_TIMEOUT_S,
                )
                if answer.status == 200:
                    return self.record.now()
            except (OSError, TimeoutError, http1.BrokenError) as error:
                if "deregister" in path:
                    self.record.write(
                        f"{self.identity} {path} {machine.name}: {error!r}"
                    )
            await asyncio.sleep(BACKOFF_S)

    async def deregister(self) -> float:
        """Says that it is gone; returns when that was acknowledged."""
        path = f"/instances/{self.identity}/deregister"
        at = await self.call(path, {})
        self.record.write(f"{self.identity} deregister acknowledged")
        return at

    # Requests.

    async def _serve(self, reader, writer) -> None:
        self._connections.add(writer)
        source = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await http1.read_head(reader)
                request.body = await http1.read_body(
                    reader, request, is_response=False
                )
                await self._answer(request, writer, source)
        except (http1.BrokenError, OSError, asyncio.CancelledError):
            # The connection or the case has ended.
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def headers(self, request) -> list[tuple[str, str]]:
        """Returns the headers of an answer."""
        request_id = request.get("x-request-id")
        headers = [("X-Instance-Id", self.identity)]
        if request_id:
            headers.append(("X-Request-Id", request_id))
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    async def _answer(self, request, writer, source) -> None:
        expected = request.get("x-expect-instance")
        if expected and expected != self.identity:
            self.record.write(f"{self.identity} 421 for {expected}")
            writer.write(
                http1.encode(
                    "HTTP/1.1 421 Misdirected Request",
                    [*self.headers(request), ("X-Not-Executed", "1")],
                )
            )
            return
        await self.run(request, writer, source)

    def note_run(self, request, source) -> None:
        """Records that it began to run a request."""
        request_id = request.get("x-request-id")
        self.runs.append((self.record.now(), request_id, source))
        self.record.write(
            f"{self.identity} runs {request_id} from {source} "
            f"{request.first[0]} {request.first[1]}"
        )

    async def run(self, request, writer, source) -> None:
        """Runs a request and answers it."""
        self.note_run(request, source)
        await asyncio.sleep(self.work_s)
        headers = [
            *self.headers(request),
            ("X-Response-Seal", f"seal.{self.identity}"),
        ]
        writer.write(http1.encode("HTTP/1.1 200 OK", headers, b"x" * 800))
        await writer.drain()


class StreamRunner(Runner):
    """A runner whose answers are streams of numbered events.

    A request with ``Last-Event-Id`` goes on behind that event.

    Attributes:
        events: Number of events of a whole stream.
        pause_s: Time between two events, in seconds.
    """

    events = 20
    pause_s = 0.1

    async def run(self, request, writer, source) -> None:
        """Streams the events, each with the version of the software."""
        self.note_run(request, source)
        headers = [
            *self.headers(request),
            ("X-Response-Seal", f"seal.{self.identity}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(http1.encode("HTTP/1.1 200 OK", headers, has_length=False))
        first = int(request.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Requester:
    """Sends requests, each on a new connection, and records the answers."""

    def __init__(self, fleet, host: str, path: str, *, key: str = "") -> None:
        """Creates a requester of one host and path."""
        self.bodies: dict[str, bytes] = {}
        self.fleet = fleet
        self.record = fleet.record
        self.host = host
        self.path = path
        self.key = key
        self.count = 0
        self.answers: list[tuple[str, str, int]] = []

    async def send(
        self,
        machine,
        *,
        method="GET",
        deadline_ms=2500,
        body=b"",
        headers=(),
        name="q",
    ) -> int:
        """Sends one request to a machine; returns its status, 0 for none."""
        self.count += 1
        request_id = f"{name}{self.count:05d}"
        all_headers = [
            ("Host", self.host),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(deadline_ms)),
            *([("X-Key", self.key)] if self.key else []),
            *headers,
        ]
        try:
            answer = await http1.request(
                machine.front,
                method,
                self.path,
                headers=all_headers,
                body=body,
                timeout_s=deadline_ms / 1000 + 0.5,
            )
            status = answer.status
            self.bodies[request_id] = answer.body
            detail = answer.get("x-result-code")
        except (OSError, TimeoutError, http1.BrokenError) as error:
            status, detail = 0, repr(error)
        self.answers.append((request_id, machine.name, status))
        self.record.write(f"{request_id} {machine.name}: {status} {detail}")
        return status


async def send_steadily(requester, machines, *, period_s: float, **options):
    """Sends requests to machines in turn until it is cancelled."""
    tasks = set()
    index = 0
    try:
        while True:
            machine = machines[index % len(machines)]
            index += 1
            task = asyncio.create_task(requester.send(machine, **options))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(period_s)
    finally:
        for task in tasks:
            task.cancel()
