"""A stand-in for model runners that keep the KV cache of prompts."""

import asyncio
import json

import http1
import runners

LOAD_S = 1.0
EVENT_PERIOD_S = 0.05


class EngineRunner(runners.Runner):
    """A model runner.

    It keeps each part of a prompt under the salt of its request, and remembers
    by which version of the weights the part was made.

    Attributes:
        model: Name of its model.
        weights: Version of its weights.
        peers: All runners, by address, to fetch parts from.
        kept: Tokens and version of each part, by salt and part.
        uses: Parts that requests used: time, request id, part, the version that
            made it and the version that used it.
    """

    def __init__(self, fleet, identity, service, zone, *, model, peers) -> None:
        """Creates a runner that is not started."""
        super().__init__(fleet, identity, service, zone, slots=64, work_s=0.05)
        self.model = model
        self.weights = 1
        self.peers = peers
        self.kept: dict[tuple[str, str], tuple[int, int]] = {}
        self.uses: list[tuple[float, str, str, int, int]] = []
        self.events: list[list] = []
        self.orders = 0
        self.is_loading = False

    async def start(self) -> None:
        """Opens the socket and begins to announce the runner."""
        await super().start()
        self.peers[self.address] = self

    def ping(self) -> dict:
        """Returns the content of the next ping."""
        models = [{"Name": self.model, "Version": self.weights, "Adapters": []}]
        return {**super().ping(), "Stage": "unified", "Models": models}

    async def _answer(self, request, writer, source) -> None:
        path = request.first[1]
        expected = request.get("x-expect-instance")
        if expected and expected != self.identity:
            await super()._answer(request, writer, source)
        elif path.startswith("/kv-events"):
            await self._send_events(request, writer)
        elif path == "/kv-list":
            held = [
                [salt, part, tokens, self.model]
                for (salt, part), (tokens, _) in self.kept.items()
            ]
            content = {"Epoch": 1, "Next": len(self.events), "Held": held}
            await self._send_json(writer, 200, content)
        elif path == "/report":
            await self._send_json(writer, 200, self._report())
        elif path == "/order":
            await self._take_order(request, writer)
        elif path == "/healthz":
            await self._send_json(writer, 200, {})
        else:
            await super()._answer(request, writer, source)

    async def _send_json(self, writer, status: int, content: dict) -> None:
        headers = [
            ("X-Instance-Id", self.identity),
            ("Content-Type", "application/json"),
        ]
        body = json.dumps(content).encode()
        writer.write(http1.encode(f"HTTP/1.1 {status} OK", headers, body))
        await writer.drain()

    def _report(self) -> dict:
        return {
            "Stage": "unified",
            "Models": [
                {"Name": self.model, "Version": self.weights, "Adapters": []}
            ],
            "Busy": self.is_loading,
            "Sequence": self.orders,
            "Queued": 0,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": 169011,
            "Handles": 0,
        }

    async def _take_order(self, request, writer) -> None:
        order = json.loads(request.body)
        self.record.write(f"{self.identity} order {order}")
        if self.is_loading or order.get("Expected") not in (None, self.orders):
            await self._send_json(writer, 409, {})
            return
        self.orders += 1
        self.is_loading = True
        self._tasks.append(asyncio.create_task(self._load(order["Version"])))
        await self._send_json(writer, 202, {})

    async def _load(self, version: int) -> None:
        await asyncio.sleep(LOAD_S)
        # An order discards what the runner has stored.
        for salt, part in list(self.kept):
            del self.kept[salt, part]
            self._add_event("-", salt, part, 0)
        self.weights = version
        self.is_loading = False
        self.record.write(f"{self.identity} has weights {version}")

    def _add_event(self, sign: str, salt: str, part: str, tokens: int) -> None:
        number = len(self.events)
        self.events.append([number, sign, salt, part, tokens, self.model])

    async def _send_events(self, request, writer) -> None:
        since = int(request.first[1].partition("Since=")[2] or 0)
        wait_s = int(request.get("wait-ms") or 0) / 1000
        while len(self.events) <= since and wait_s > 0:
            await asyncio.sleep(EVENT_PERIOD_S)
            wait_s -= EVENT_PERIOD_S
        content = {
            "Epoch": 1,
            "Next": len(self.events),
            "Lost": False,
            "Events": self.events[since:],
        }
        await self._send_json(writer, 200, content)

    async def run(self, request, writer, source) -> None:
        """Runs a request on the parts of its prompt, and answers it."""
        expected = request.get("x-expect-version")
        if expected and int(expected) != self.weights:
            headers = [*self.headers(request), ("X-Not-Executed", "1")]
            writer.write(http1.encode("HTTP/1.1 421 Misdirected", headers))
            return
        if self.is_loading:
            headers = [*self.headers(request), ("X-Not-Executed", "1")]
            writer.write(http1.encode("HTTP/1.1 503 Loading", headers))
            return
        self.note_run(request, source)
        self._read_prompt(request)
        await asyncio.sleep(self.work_s)
        headers = [
            *self.headers(request),
            ("X-Response-Seal", f"seal.{self.identity}"),
            ("X-Weight-Versions", str(self.weights)),
            ("Content-Type", "text/event-stream"),
        ]
        body = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 5))
        writer.write(http1.encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()

    def _read_prompt(self, request) -> None:
        """Takes each part from memory or another runner, or makes it."""
        salt = request.get("x-cache-salt")
        request_id = request.get("x-request-id")
        sources = [
            each.strip() for each in request.get("x-kv-fetch").split(",")
        ]
        for index, entry in enumerate(request.get("x-prefix-hash").split(",")):
            part, _, tokens = entry.partition(":")
            key = (salt, part)
            known = self.kept.get(key)
            origin = "kept"
            if known is None and index < len(sources):
                peer = self.peers.get(sources[index])
                known = None if peer is None else peer.kept.get(key)
                origin = f"fetched from {sources[index]}"
            if known is None:
                known = (int(tokens), self.weights)
                origin = "read"
            made_by = known[1]
            self.uses.append(
                (self.record.now(), request_id, part, made_by, self.weights)
            )
            self.record.write(
                f"{self.identity} {request_id} part {part} {origin} under "
                f"{salt!r}: made by weights {made_by}, used by {self.weights}"
            )
            if key not in self.kept:
                self.kept[key] = known
                self._add_event("+", salt, part, known[0])
