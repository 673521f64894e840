"""Requests that are repeated at another instance if the first is slow."""

import asyncio
import functools

from chivelb_node import hedging


def ask(*replies, delay_s=0.0):
    """Returns the result and the requests that were started and cancelled."""
    started, cancelled = [], []

    async def request(reply):
        started.append(reply)
        try:
            if reply == "silent":
                await asyncio.Event().wait()
            return reply
        except asyncio.CancelledError:
            cancelled.append(reply)
            raise

    async def run():
        async with asyncio.timeout(10):
            result = await hedging.first_accepted(
                (functools.partial(request, reply) for reply in replies),
                delay_s=delay_s,
                accept=lambda reply: reply == "yes",
            )
        await asyncio.sleep(0)
        return result

    return asyncio.run(run()), started, cancelled


def test_the_second_is_not_asked_if_the_first_replies():
    assert ask("yes", "other", delay_s=60.0) == ("yes", ["yes"], [])


def test_a_refusal_is_followed_by_the_next_request_at_once():
    result, started, _ = ask("no", "no", "yes", delay_s=60.0)
    assert (result, started) == ("yes", ["no", "no", "yes"])


def test_a_silent_one_is_followed_by_the_next_and_cancelled_in_the_end():
    result, _, cancelled = ask("silent", "yes", delay_s=0.01)
    assert (result, cancelled) == ("yes", ["silent"])


def test_there_is_no_reply_if_all_refuse_or_there_is_nobody():
    assert ask("no", "no")[0] is None
    assert ask()[0] is None
