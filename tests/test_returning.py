"""Refused callers come back when there is room, and not all at once."""

import random

from chivelb_core import codes
from chivelb_core.forwarding import returning


def many(code, **options):
    rng = random.Random(1)
    return [
        returning.return_after_s(code, rng, **options) for _ in range(1_000)
    ]


def test_a_caller_that_another_instance_can_serve_comes_back_at_once():
    assert max(many(codes.STOPPING)) <= 0.1


def test_callers_that_were_refused_together_come_back_over_a_span():
    found = many(codes.OVERLOADED, backlog_s=1.0)
    assert max(found) - min(found) > 1.0
    tenth = sorted(found)[100] - min(found)
    assert tenth > 0.05


def test_a_longer_backlog_puts_the_return_off():
    short, long = (many(codes.OVERLOADED, backlog_s=s) for s in (0.0, 2.0))
    assert min(long) > max(short)
