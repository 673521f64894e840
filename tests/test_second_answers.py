"""A target that answers twice, whose second answer is cut off.

Callers got a success where the target had answered a failure: the status line
came from the beginning of a second answer to an earlier request.
"""

import asyncio
import itertools

from chivelb_core import calls
from chivelb_node.links import http_pool
import pytest
import second_answers

FORMS = {"plain": second_answers.plain, "stream": second_answers.streamed}
STATUSES = ("200 OK", second_answers.FAILURE)


@pytest.fixture(autouse=True)
def patient_connects(monkeypatch):
    # Targets and clients share one event loop: a slow one is no lost packet.
    monkeypatch.setattr(http_pool, "CONNECT_TIMEOUT_S", 10.0)


def run_cuts(make, *, late):
    """Yields each result with the cut that it came from.

    The answer to ``a`` is followed by the beginning of a copy of it: in the
    same write, or late, when ``b`` has come. The target answers ``b`` whole.

    Args:
        make: Makes a response to a request.
        late: Whether the copy comes late.

    Yields:
        The status that the target answered ``b`` with, the beginning of the
        copy, what is received for ``b``, and the number of connections.
    """
    for status, id_first in itertools.product(STATUSES, (True, False)):
        first = make("a", id_first=id_first)
        second = make("b", status=status, id_first=id_first)
        parts = [first[:cut] for cut in range(1, len(first) + 1)]
        results = asyncio.run(_exchange_all(first, second, parts, late=late))
        for part, (_, received, connections) in zip(
            parts, results, strict=True
        ):
            yield status, part, received, connections


async def _exchange_all(first, second, parts, *, late):
    slots = asyncio.Semaphore(second_answers.MAX_EXCHANGES)

    async def exchange(part):
        async with slots:
            return await second_answers.exchange_two(
                [first] if late else [first + part],
                [part, 0.01, second] if late else [second],
            )

    return await asyncio.gather(*map(exchange, parts))


def own_response(make, status):
    """Returns what is received for ``b`` from a sound target."""
    body = f"body of b, {status}".encode()
    if make is second_answers.streamed:
        body = b"id: 1\ndata: b\n\nid: 2\ndata: b\n\n"
    return second_answers.Received(int(status.split()[0]), (b"seal-b",), body)


# Guards against a success where the target answered a failure: the next
# response was read as the rest of a second answer that was cut off.
@pytest.mark.parametrize("form", FORMS)
def test_a_connection_with_a_part_of_a_second_answer_is_not_used_again(form):
    make = FORMS[form]
    wrong = [
        (status, part, received, connections)
        for status, part, received, connections in run_cuts(make, late=False)
        if (received, connections) != (own_response(make, status), 2)
    ]
    assert not wrong


# Guards against the same where the second answer begins only after the next
# request was sent, which no check of an idle connection can see.
@pytest.mark.parametrize("form", FORMS)
def test_a_late_part_of_a_second_answer_is_no_part_of_the_next_one(form):
    make = FORMS[form]
    failed = (calls.OutcomeKind.UNKNOWN, "timeout")
    wrong = [
        (status, part, received)
        for status, part, received, _ in run_cuts(make, late=True)
        if received not in (own_response(make, status), *failed)
    ]
    assert not wrong
