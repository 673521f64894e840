"""Answers of targets that are cut at each byte, and targets that send them."""

import asyncio
import dataclasses

import scripted

INTERIM = {
    "no interim response": b"",
    "after a 100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "after two 1xx": (
        b"HTTP/1.1 102 Processing\r\nX-A: 1\r\n\r\n"
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    ),
}
FRAMINGS = ("length", "chunks", "close")
VERSIONS = ("1.0", "1.1")
ENDINGS = {"closed": scripted.CLOSE, "reset": scripted.RESET}
# Time from the last byte to the end of the connection, in seconds. A reset
# drops what its receiver has not read yet.
END_DELAY_S = 0.02
MAX_CONCURRENT = 30


@dataclasses.dataclass(slots=True)
class Answer:
    """A whole answer of a target.

    Attributes:
        head: Interim responses and the head.
        body: The body with its framing.
        is_ended_by_close: Whether the close of the connection ends it.
    """

    head: bytes
    body: bytes
    is_ended_by_close: bool

    def cut_points(self):
        """Returns how many bytes each cut leaves: all numbers below the size.

        An answer that is ended by a close is whole behind its head.
        """
        whole = len(self.head) if self.is_ended_by_close else None
        return range(len(self.head + self.body))[:whole]

    def cut(self, size):
        """Returns its first bytes."""
        return (self.head + self.body)[:size]


def make_answer(
    framing, *, version="1.1", interim=b"", body=b"hello", headers=()
):
    """Returns an answer with status 200.

    Args:
        framing: What ends the body, one of ``FRAMINGS``.
        version: Version of HTTP.
        interim: Interim responses before it.
        body: The body, without framing.
        headers: Lines of further headers, the first ones.
    """
    lines = [f"HTTP/{version} 200 OK".encode(), *headers]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    if framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        body = scripted.chunk(body) + scripted.END
    # The last header, so that most cuts are behind the others.
    lines.append(b"X-Last: 1")
    head = interim + b"\r\n".join(lines) + b"\r\n\r\n"
    return Answer(head, body, framing == "close")


def make_target(data, ending, *answers):
    """Returns a target that ends its connection behind some bytes.

    Args:
        data: The bytes, sent in answer to the last request.
        ending: ``scripted.CLOSE`` or ``scripted.RESET``.
        answers: Whole answers to the requests before.
    """
    scripts = [[answer] for answer in answers]
    return scripted.ScriptedTarget(*scripts, [data, END_DELAY_S, ending])


async def find_accepted(answer, ending, ask, *answers):
    """Returns the cuts of an answer that a client took for a whole answer.

    The client must accept the whole answer.

    Args:
        answer: The answer.
        ending: ``scripted.CLOSE`` or ``scripted.RESET``.
        ask: Coroutine function that takes the target's ``host:port`` and
            returns what was accepted, or None.
        answers: As in ``make_target``.

    Returns:
        Pairs of the bytes that were sent and what the client returned.
    """
    limit = asyncio.Semaphore(MAX_CONCURRENT)

    async def ask_one(data, ending):
        target = make_target(data, ending, *answers)
        async with limit, target.serve(), asyncio.timeout(10):
            result = await ask(target.address)
        assert len(target.requests) > len(answers), "nothing was sent"
        return result

    async def ask_cut(size):
        return answer.cut(size), await ask_one(answer.cut(size), ending)

    whole = await ask_one(answer.head + answer.body, scripted.CLOSE)
    assert whole is not None, "the whole answer was not accepted"
    results = await asyncio.gather(*map(ask_cut, answer.cut_points()))
    return [pair for pair in results if pair[1] is not None]
