"""Writing logs never blocks on the reader, and dropped lines are reported."""

import json
import os

from chivelb_node.telemetry import lines


def make_pipe():
    reader, writer = os.pipe()
    return reader, lines.LineWriter(writer)


def test_lines_reach_a_reader_in_order():
    reader, writer = make_pipe()
    writer.write(b"one")
    writer.write(b"two")
    assert os.read(reader, 100) == b"one\ntwo\n"


def test_lines_dropped_for_a_stalled_reader_are_counted_in_the_log():
    reader, writer = make_pipe()
    line = b"x" * 1_000
    for _ in range(3_000):
        writer.write(line)
    assert len(writer.pending) <= lines.MAX_PENDING_BYTES
    lost = writer.dropped
    assert lost > 0
    received = b""
    os.set_blocking(reader, False)
    while True:
        try:
            received += os.read(reader, 1 << 20)
        except BlockingIOError:
            if not writer.pending:
                break
        writer.flush()
    last = json.loads(received.splitlines()[-1])
    assert last == {"event": "log lines lost", "lines": lost}
    assert received.count(b"x\n") == 3_000 - lost


def test_a_closed_reader_does_not_end_the_process():
    reader, writer = make_pipe()
    os.close(reader)
    writer.write(b"nobody reads")
    assert not writer.pending
