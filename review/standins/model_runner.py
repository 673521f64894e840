"""Stand-in for a sound runner of a model, by the users' pages."""

import asyncio
import json

import fleet

# Time to load new weights, as in the users' sheet for caroni-quotes.
LOAD_S = 0.97
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 5))


def prompt_headers(shared, **fields):
    """Returns the headers of a request whose prompt has a shared part."""
    own = fleet.new_request_id()[:8]
    return {
        "X-Model": fleet.MODEL,
        "X-Token-Usage": "1460,80",
        "X-Prefix-Hash": f"{shared}:800,{own}:660",
        "X-Deadline-Ms": "15000",
        **fields,
    }


def route(name, prefix, service, **fields):
    """Returns a streaming route like ``full-quote`` of caroni-quotes."""
    return fleet.route(
        name,
        prefix,
        service,
        kind="streaming",
        attempts=1,
        Sticky=True,
        TimeoutMs=15000,
        TargetLatencyMs=600,
        **fields,
    )


class ModelRunner(fleet.Runner):
    """Streams answers, keeps a weight version and carries out orders."""

    def __init__(self, *arguments, **options):
        """Creates a runner with the first version of its weights."""
        super().__init__(*arguments, **options)
        self.version = 1
        self.orders = 0
        self.is_busy = False

    @property
    def models(self):
        """The models as heartbeats and reports list them."""
        return [{"Name": fleet.MODEL, "Version": self.version, "Adapters": []}]

    @models.setter
    def models(self, value):
        """Ignores the value of the base class, which runs no model."""

    async def respond(self, writer, method, path, headers, body):
        """Answers orders, and refuses requests for other weights."""
        if method == "POST" and path == "/order":
            return self.respond_to_order(writer, json.loads(body))
        wanted = headers.get("x-expect-version")
        if wanted is not None and int(wanted) != self.version:
            request_id = headers.get("x-request-id", "")
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                + f"X-Request-Id: {request_id}\r\n".encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            return True
        return await super().respond(writer, method, path, headers, body)

    def respond_to_order(self, writer, order):
        """Accepts an order to load weights unless another one goes on."""
        self.record.write(f"order  at {self.identity}: {json.dumps(order)}")
        status = 202
        if self.is_busy or order.get("Expected", self.orders) != self.orders:
            status = 409
        else:
            self.orders += 1
            self.is_busy = True
            asyncio.create_task(self.load(order["Version"]))
        writer.write(
            f"HTTP/1.1 {status} Order\r\nContent-Length: 0\r\n\r\n".encode()
        )
        return True

    async def load(self, version):
        """Loads weights."""
        await asyncio.sleep(LOAD_S)
        self.version = version
        self.is_busy = False
        self.record.write(f"{self.identity} has weights {version}")

    async def respond_to_system(self, writer, method, path, headers):
        """Answers the system's own calls."""
        if not path.startswith("/report"):
            return await super().respond_to_system(
                writer, method, path, headers
            )
        return self.write_json(
            writer,
            {
                "Stage": "unified",
                "Models": self.models,
                "Busy": self.is_busy,
                "Sequence": self.orders,
                "Queued": 0,
                "Running": 0,
                "KvUsed": 0,
                "KvTotal": 169011,
                "Handles": 0,
                "born": self.born,
            },
        )

    def encode_answer(self, run):
        """Returns a short stream."""
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {run.request_id}\r\n"
            f"X-Response-Seal: {run.seal}\r\n"
            f"X-Weight-Versions: {self.version}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        return b"%s%x\r\n%s\r\n0\r\n\r\n" % (head.encode(), len(EVENTS), EVENTS)
