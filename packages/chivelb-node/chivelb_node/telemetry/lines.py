"""Writes log lines to a descriptor without ever waiting for its reader."""

import asyncio
import os

FLUSH_PERIOD_S = 0.05
MAX_PENDING_BYTES = 1_048_576
MAX_WRITE_BYTES = 65_536


class LineWriter:
    """Log lines on their way to a descriptor.

    Rule: what is pending stays bounded. A reader that stalls loses lines,
    and a line tells how many.

    Attributes:
        descriptor: Where lines go; made non-blocking.
        pending: Bytes not yet written.
        dropped: Lines lost since the last one that told of it.
    """

    __slots__ = ("descriptor", "pending", "dropped", "_timer")

    def __init__(self, descriptor: int) -> None:
        """Takes a descriptor over."""
        self.descriptor = descriptor
        self.pending = bytearray()
        self.dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Adds a line; it is written soon."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self.pending += line
        self.pending += b"\n"
        if self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_PERIOD_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self.pending:
            self._schedule()

    def flush(self) -> None:
        """Writes what the descriptor takes now."""
        while self.pending:
            try:
                size = os.write(self.descriptor, self.pending[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more.
                self.dropped += self.pending.count(b"\n")
                self.pending.clear()
                return
            del self.pending[:size]
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            self.write(b'{"event": "log lines lost", "lines": %d}' % lost)


class LineLogger:
    """A logger in structlog's sense that hands lines to a writer."""

    __slots__ = ("writer",)

    def __init__(self, writer: LineWriter) -> None:
        """Creates a logger over a writer."""
        self.writer = writer

    def msg(self, line: bytes) -> None:
        """Writes a rendered line."""
        self.writer.write(line)

    debug = info = warning = error = critical = exception = msg
    log = fatal = failure = err = warn = msg
