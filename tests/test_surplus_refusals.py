"""A target that sends the beginning of a refusal behind a complete answer.

Requests that may run once ran twice: the answer to the next request on the
connection was read as the rest of the refusal, as "not run".
"""

import asyncio

from chivelb_core import calls
from chivelb_node.links import http_pool
import pytest
import second_answers

# Without an id, as the refusal of a request that had none.
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX: y\r\n"
FAILED = (calls.OutcomeKind.UNKNOWN, "timeout")


@pytest.fixture(autouse=True)
def patient_connects(monkeypatch):
    # Targets and clients share one event loop: a slow one is no lost packet.
    monkeypatch.setattr(http_pool, "CONNECT_TIMEOUT_S", 10.0)


async def exchange_all(make, *, late):
    """Yields what is received for the second request, by the refusal's cut."""
    first, second = make("a"), make("b")
    slots = asyncio.Semaphore(second_answers.MAX_EXCHANGES)

    async def exchange(part):
        async with slots:
            _, received, _ = await second_answers.exchange_two(
                [first] if late else [first + part],
                [part, 0.01, second] if late else [second],
            )
            return part, received

    parts = [REFUSAL[:cut] for cut in range(1, len(REFUSAL) + 1)]
    return await asyncio.gather(*map(exchange, parts))


# Guards against a request that ran and is sent to a second target, because the
# beginning of a refusal was left over on its connection.
@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize(
    "make", [second_answers.plain, second_answers.streamed]
)
def test_the_beginning_of_a_refusal_makes_no_request_run_twice(make, late):
    results = asyncio.run(exchange_all(make, late=late))
    told_not_run = [
        part
        for part, received in results
        if received is calls.OutcomeKind.NOT_RUN
    ]
    assert not told_not_run
    wrong = [
        (part, received)
        for part, received in results
        if received not in FAILED
        and (received.status, received.seals) != (200, (b"seal-b",))
    ]
    assert not wrong
