"""Answers of targets that answer twice, and where copies of them are cut."""

import dataclasses

EVENT_COUNT = 4

# Path, method and framing of the request's body, by kind of request.
KINDS = {
    "safe": ("/status/", "GET", "none"),
    "unsafe": ("/pdf/", "POST", "length"),
    "stream": ("/once/", "POST", "chunked"),
    "resumable": ("/x/", "POST", "chunked"),
}
STREAMS = ("stream", "resumable")
AT_MOST_ONCE = ("unsafe", "stream")
# Statuses that promise that the request did not run and never will.
PROMISES = (408, 421, 429, 503)
REASONS = {
    200: "OK",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
# Where a copy of an answer ends. ``note`` is a header beside the id.
CUTS = (
    "version",
    "status",
    "reason",
    "status line",
    "note name",
    "note value",
    "note line",
    "seal value",
    "id name",
    "id value",
    "id line",
    "head",
    "body",
    "chunk size",
    "last chunk",
    "whole",
)
# Which headers of an answer come first.
ORDERS = ("id first", "length first", "id last")
# When the copy is written.
TIMES = (
    "same write",
    "with the end",
    "later",
    "next, one write",
    "next, apart",
    "begun, rest at next",
)


@dataclasses.dataclass(slots=True)
class Plan:
    """What a target does with the first run of a request.

    Attributes:
        status: Status of the answer.
        framing: ``length``, ``chunked`` or ``close``.
        order: Order of the headers, one of ``ORDERS``.
        has_id: Whether the answer has the request's id.
        segments: Number of writes of the answer.
        lines: Number of lines of a body that is no stream.
        cut: Where a copy ends, one of ``CUTS`` or a number of bytes; empty for
            no copy.
        time: When the copy is written, one of ``TIMES``.
    """

    status: int = 200
    framing: str = "length"
    order: str = "id last"
    has_id: bool = True
    segments: int = 1
    lines: int = 3
    cut: str | int = ""
    time: str = "same write"

    @property
    def form(self):
        """The form of the second answer, for a table."""
        return f"{self.cut or 'none'} | {self.time} | {self.order}"


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a target received, and its answer.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the request, one of ``KINDS``.
        number: Number of the run among all.
        plan: What the target does.
        resume_after: Id of the event that the stream goes on after.
        copies_before: Forms of the copies that the connection carried before.
    """

    request_id: str
    kind: str
    number: int
    plan: Plan
    resume_after: int = 0
    copies_before: list[str] = dataclasses.field(default_factory=list)

    @property
    def seal(self):
        """Proof of the answer; it has the status that the target gave."""
        return f"{self.request_id}.{self.number}.{self.plan.status}"

    @property
    def ran(self):
        """Whether the request ran, and was not refused."""
        return self.plan.status not in PROMISES

    @property
    def events(self):
        """Events of a stream, as far as they are still to be sent."""
        return [
            f"id: {number}\ndata: {self.request_id}/{number}\n\n".encode()
            for number in range(self.resume_after + 1, EVENT_COUNT + 1)
        ]

    @property
    def answer_kind(self):
        """What the answer is, for a table."""
        what = "stream " if self.is_stream else ""
        no_id = "" if self.plan.has_id else " no id"
        return f"{what}{self.plan.status} {self.plan.framing}{no_id}"

    @property
    def is_stream(self):
        """Whether the answer is a stream."""
        return self.kind in STREAMS and self.plan.status == 200

    @property
    def body(self):
        """Body of the answer."""
        if self.is_stream:
            return b"".join(self.events)
        return f"body of {self.seal}\n".encode() * self.plan.lines


def _frame(run):
    """Returns the framed body of an answer, and the headers that tell so."""
    body = run.body
    kind = "text/event-stream" if run.is_stream else "text/plain"
    headers = [f"Content-Type: {kind}"]
    if run.plan.framing == "length":
        headers.append(f"Content-Length: {len(body)}")
    elif run.plan.framing == "chunked":
        headers.append("Transfer-Encoding: chunked")
        pieces = run.events if run.is_stream else [body[:20], body[20:]]
        body = b"".join(
            b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces if piece
        )
        body += b"0\r\n\r\n"
    return body, headers


def encode_answer(run):
    """Returns all bytes of the answer of a run."""
    plan = run.plan
    body, framing = _frame(run)
    own_id = [f"X-Request-Id: {run.request_id}"] if plan.has_id else []
    proof = [
        f"X-Note: kept for {run.request_id}",
        f"X-Response-Seal: {run.seal}",
        *([] if run.ran else ["X-Not-Executed: 1"]),
    ]
    lines = {
        "id first": own_id + proof + framing,
        "length first": framing + proof + own_id,
        "id last": proof + own_id + framing,
    }[plan.order]
    lines.insert(0, f"HTTP/1.1 {plan.status} {REASONS[plan.status]}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def cut_copy(answer, cut):
    """Returns the beginning of an answer, up to a cut as in ``Plan``.

    A cut that the answer doesn't have is one in the middle of its body.
    """
    if isinstance(cut, int):
        return answer[:cut]
    head_end = answer.index(b"\r\n\r\n") + 4

    def after(text, offset=0):
        start = answer.find(text, 0, head_end)
        return start + len(text) + offset if start >= 0 else head_end - 1

    def line_end(text):
        return answer.index(b"\r\n", after(text) - 1) + 2

    is_chunked = answer.endswith(b"0\r\n\r\n")
    match cut:
        case "version":
            end = 7
        case "status":
            end = 11
        case "reason":
            end = 14
        case "status line":
            end = answer.index(b"\r\n") + 2
        case "note name":
            end = after(b"X-Note", -3)
        case "note value":
            end = after(b"X-Note: ", 4)
        case "note line":
            end = line_end(b"X-Note: ")
        case "seal value":
            end = after(b"X-Response-Seal: ", 3)
        case "id name":
            end = after(b"X-Request-Id", -3)
        case "id value":
            end = after(b"X-Request-Id: ", 3)
        case "id line":
            end = line_end(b"X-Request-Id: ")
        case "head":
            end = head_end
        case "chunk size" if is_chunked:
            end = head_end + 1
        case "last chunk" if is_chunked:
            end = len(answer) - 4
        case "whole":
            end = len(answer)
        case _:
            end = (head_end + len(answer)) // 2
    return answer[:end]
