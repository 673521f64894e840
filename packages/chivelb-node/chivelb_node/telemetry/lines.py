"""Writes log lines to a file descriptor without blocking on its reader."""

import asyncio
import os

FLUSH_PERIOD_S = 0.05
MAX_PENDING_BYTES = 1_048_576
MAX_WRITE_BYTES = 65_536


class LineWriter:
    """Bounded, non-blocking buffer of log lines for a file descriptor.

    When the reader stalls and the buffer is full, further lines are dropped
    and a log line reports how many.

    Attributes:
        descriptor: File descriptor to write to; set to non-blocking.
        pending: Bytes not written yet.
        dropped: Lines dropped since the last line that reported a loss.
    """

    __slots__ = ("descriptor", "pending", "dropped", "_timer")

    def __init__(self, descriptor: int) -> None:
        """Takes over a file descriptor."""
        self.descriptor = descriptor
        self.pending = bytearray()
        self.dropped = 0
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Queues a line for the next flush; drops it if the buffer is full."""
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
        """Writes as much as the file descriptor accepts without blocking."""
        while self.pending:
            try:
                size = os.write(self.descriptor, self.pending[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end.
                self.dropped += self.pending.count(b"\n")
                self.pending.clear()
                return
            del self.pending[:size]
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            self.write(b'{"event": "log lines lost", "lines": %d}' % lost)


class LineLogger:
    """A structlog logger that passes rendered lines to a ``LineWriter``."""

    __slots__ = ("writer",)

    def __init__(self, writer: LineWriter) -> None:
        """Creates a logger for a writer."""
        self.writer = writer

    def msg(self, line: bytes) -> None:
        """Writes a rendered line."""
        self.writer.write(line)

    debug = info = warning = error = critical = exception = msg
    log = fatal = failure = err = warn = msg
