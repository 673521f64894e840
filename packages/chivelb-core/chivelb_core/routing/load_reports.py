"""Pace of the reports that an instance sends to its peers.

Each report goes to all peers of a group, so that an instance of a large group
would spend most of its time on reports if it sent one for each change. The
interval between reports therefore grows with the group and with the size of
the reports: the number of messages and bytes sent in a second stays the same,
so that documents and requests on the same links are not delayed. A change that
takes up much of a target is urgent and is reported sooner, because peers that
do not know of it would place further work there.
"""

import dataclasses

# Messages of an instance to all peers of a group together.
MESSAGES_PER_S = 30.0
URGENT_MESSAGES_PER_S = 120.0
# Bytes of an instance to all peers of a group together, also if urgent.
BYTES_PER_S = 32_000.0
# A large report delays the next one for at most this time: receivers discard
# what is not reported again.
MAX_DELAY_BY_SIZE_S = 1.0
# A change is urgent from these fractions of the target's capacity on. Single
# requests to a target with few slots are too short to be worth a message.
URGENT_SLOT_FRACTION = 0.25
URGENT_MEMORY_FRACTION = 0.125


@dataclasses.dataclass(slots=True)
class ReportPacer:
    """Decides when the next report to a group of peers is due.

    Attributes:
        min_interval_s: Shortest interval between two reports, in seconds.
        messages_per_s: Messages to all peers of the group together, unless a
            change is urgent.
        sent_at: Monotonic time of the last report, in seconds.
        sent_bytes: Bytes of the last report to all peers together.
    """

    min_interval_s: float
    messages_per_s: float = MESSAGES_PER_S
    sent_at: float = float("-inf")
    sent_bytes: int = 0

    def record_sent(self, now: float, *, sent_bytes: int) -> None:
        """Records a report.

        Args:
            now: Monotonic time in seconds.
            sent_bytes: Its size in bytes, to all peers together.
        """
        self.sent_at = now
        self.sent_bytes = sent_bytes

    def interval_s(self, peer_count: int, *, urgent: bool = False) -> float:
        """Returns the interval between reports by their number, in seconds."""
        rate = URGENT_MESSAGES_PER_S if urgent else self.messages_per_s
        return peer_count / rate

    def delay_s(self, now: float, *, peer_count: int, urgent: bool) -> float:
        """Returns the time until a change may be reported, in seconds.

        It is at least the shortest interval: changes that follow each other
        closely go into one report.

        Args:
            now: Monotonic time in seconds.
            peer_count: Number of peers that a report is sent to.
            urgent: Whether the change takes up much of a target.
        """
        delay_by_size_s = min(
            MAX_DELAY_BY_SIZE_S, self.sent_bytes / BYTES_PER_S
        )
        interval_s = self.interval_s(peer_count, urgent=urgent)
        due_at = self.sent_at + max(interval_s, delay_by_size_s)
        return max(self.min_interval_s, due_at - now)


def is_urgent(
    *, running: int, slots: int, kv_tokens: int, capacity_tokens: int
) -> bool:
    """Returns whether a change of load takes up much of a target.

    Args:
        running: Change of the number of requests in progress.
        slots: Number of requests that the target executes at a time.
        kv_tokens: Change of the KV cache tokens that the requests occupy.
        capacity_tokens: KV cache tokens of the target; 0 without a cache.
    """
    return (
        abs(running) >= URGENT_SLOT_FRACTION * slots
        or abs(kv_tokens) >= URGENT_MEMORY_FRACTION * capacity_tokens > 0
    )
