"""Observation of what instances send each other."""

from chivelb_core.membership import messages as membership_messages
from chivelb_node.links import traffic
from chivelb_node.telemetry import metrics as metrics_lib
from chivelb_node.wire import messages


def test_bytes_are_counted_by_direction_and_type_of_message():
    metrics = metrics_lib.Metrics()
    counter = traffic.MessageCounter(metrics)
    counter.count_sent(messages.Deltas, 100)
    counter.count_sent(messages.Deltas, 50)
    counter.count_received(membership_messages.Ping, 7)
    text = metrics.render().decode()
    name = "chivelb_peer_message_bytes_total"
    assert f'{name}{{direction="out",message="Deltas"}} 150.0' in text
    assert f'{name}{{direction="in",message="Ping"}} 7.0' in text


def test_congestion_is_logged_when_it_starts_and_when_it_ends(capsys):
    watch = traffic.CongestionWatch(metrics_lib.Metrics())
    watch.observe([("a", 0), ("b", 1_000)])
    assert not watch.is_congested
    for _ in range(3):
        watch.observe([("a", 40_000), ("b", 0), ("c", 5_000)])
    assert watch.is_congested
    watch.observe([])
    assert not watch.is_congested
    output = capsys.readouterr().out
    assert output.count("peer links congested") == 1
    assert output.count("peer links drained") == 1
    assert "45000" in output
