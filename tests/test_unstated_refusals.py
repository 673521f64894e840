"""Refusals of targets that do not state that the request was not run."""

import asyncio

from chivelb_core import calls
from chivelb_node.links import http_pool
from chivelb_platform import target_client
import pytest
import scripted
import second_answers

STATUSES = ["408 Request Timeout", "429 Too Many Requests", "503 Unavailable"]


def refuse(status, kind, *headers):
    """Returns what is received for a request that a target refuses."""
    answer = second_answers.plain("a", status=status)
    head, separator, body = answer.partition(b"\r\n\r\n")
    script = [b"\r\n".join([head, *headers]) + separator + body]

    async def run():
        target = scripted.ScriptedTarget(script)
        pool = http_pool.HttpPool()
        client = target_client.TargetClient(pool, lambda *_: None)
        async with target.serve():
            received = await second_answers.send(
                client, target.address, "a", kind=kind
            )
        pool.close()
        return received

    return asyncio.run(run())


# Guards against a request that runs twice: its caller was told by the status
# that it had not run, and sent it again.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("kind", ["unsafe", "streaming"])
def test_an_unstated_refusal_promises_nothing(status, kind):
    assert refuse(status, kind) is calls.OutcomeKind.UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
def test_a_stated_refusal_was_not_run(status):
    received = refuse(status, "unsafe", b"X-Not-Executed: 1")
    assert received is calls.OutcomeKind.NOT_RUN


# A request that may run twice gets the target's answer as it is.
@pytest.mark.parametrize("status", STATUSES)
def test_a_refusal_of_a_safe_request_is_passed_on(status):
    assert refuse(status, "safe").status == int(status[:3])


@pytest.mark.parametrize(
    "status", ["500 Internal Server Error", "409 Conflict"]
)
def test_other_failures_are_passed_on(status):
    assert refuse(status, "unsafe").status == int(status[:3])
