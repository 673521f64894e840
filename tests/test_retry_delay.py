"""Retry delays grow with the backlog and are spread out over clients."""

import random

from chivelb_core import codes
from chivelb_core.forwarding import retry_delay


def sample_delays(code, **options):
    rng = random.Random(1)
    return [
        retry_delay.retry_delay_s(code, rng, **options) for _ in range(1_000)
    ]


def test_client_retries_at_once_if_another_instance_can_serve():
    assert max(sample_delays(codes.STOPPING)) <= 0.1


def test_callers_rejected_together_retry_at_spread_out_times():
    delays = sample_delays(codes.OVERLOADED, backlog_s=1.0)
    assert max(delays) - min(delays) > 1.0
    early_spread = sorted(delays)[100] - min(delays)
    assert early_spread > 0.05


def test_longer_backlog_increases_retry_delay():
    short, long = (
        sample_delays(codes.OVERLOADED, backlog_s=s) for s in (0.0, 2.0)
    )
    assert min(long) > max(short)
