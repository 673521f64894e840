"""Logs what is refused, once for each source."""

from typing import Any

# Sources remembered; the oldest are forgotten first.
MAX_SOURCES = 1_000
# Characters of a reason in the log.
MAX_REASON_LENGTH = 300


class RefusalLog:
    """Logs the first refusal of each source, with its reason.

    Attributes:
        log: Logger.
        event: Event of the log lines.
        sources: Sources whose first refusal was logged, oldest first.
    """

    __slots__ = ("log", "event", "sources")

    def __init__(self, log: Any, event: str) -> None:
        """Creates a log without any refusals."""
        self.log = log
        self.event = event
        self.sources: dict[str, None] = {}

    def record(self, source: str, reason: str, **fields: str) -> None:
        """Logs a refusal, unless one of its source was logged before."""
        if source in self.sources:
            return
        self.sources[source] = None
        if len(self.sources) > MAX_SOURCES:
            del self.sources[next(iter(self.sources))]
        self.log.warning(
            self.event,
            source=source,
            reason=reason[:MAX_REASON_LENGTH],
            **fields,
        )
