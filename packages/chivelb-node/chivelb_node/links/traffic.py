"""Counts what instances send each other, by type of message.

The counters show which mechanism uses a link; the bytes that wait to be sent
show that a link carries less than is written to it.
"""

from collections.abc import Iterable

from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

# Less than this is on its way within a few milliseconds on a usable link.
CONGESTED_BYTES = 32_768
_log = logs.get_logger("traffic")


class MessageCounter:
    """Counts the encoded bytes of messages by direction and type.

    Attributes:
        metrics: Metrics of the instance.
    """

    __slots__ = ("metrics", "_series")

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Creates a counter."""
        self.metrics = metrics
        self._series: dict[tuple[str, type], object] = {}

    def count_sent(self, message_type: type, size: int) -> None:
        """Counts bytes sent."""
        self._count("out", message_type, size)

    def count_received(self, message_type: type, size: int) -> None:
        """Counts bytes received."""
        self._count("in", message_type, size)

    def _count(self, direction: str, message_type: type, size: int) -> None:
        series = self._series.get((direction, message_type))
        if series is None:
            series = self.metrics.peer_message_bytes.labels(
                direction, message_type.__name__
            )
            self._series[direction, message_type] = series
        series.inc(size)


class CongestionWatch:
    """Observes how many bytes wait to be sent to other instances.

    Attributes:
        metrics: Metrics of the instance.
        is_congested: Whether the links together had more than
            ``CONGESTED_BYTES`` to send when last observed.
    """

    __slots__ = ("metrics", "is_congested")

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Creates a watch that has observed nothing yet."""
        self.metrics = metrics
        self.is_congested = False

    def observe(self, unsent: Iterable[tuple[str, int]]) -> None:
        """Records the unsent bytes, and logs when congestion starts or ends.

        Args:
            unsent: Name of each peer with the bytes that wait to be sent to
                it.
        """
        sizes = dict(unsent)
        total = sum(sizes.values())
        self.metrics.peer_unsent_bytes.set(total)
        is_congested = total > CONGESTED_BYTES
        if is_congested == self.is_congested:
            return
        self.is_congested = is_congested
        if not is_congested:
            _log.info("peer links drained", unsent_bytes=total)
            return
        most = max(sizes, key=sizes.get)
        _log.warning(
            "peer links congested",
            unsent_bytes=total,
            peers=sum(1 for size in sizes.values() if size),
            most_peer=most,
            most_bytes=sizes[most],
        )
