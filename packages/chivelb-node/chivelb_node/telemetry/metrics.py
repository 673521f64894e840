"""Prometheus metrics with bounded label sets."""

import prometheus_client

MAX_WORKSPACE_LABELS = 200
OTHER = "other"
# Where workspaces are too many for series of their own; logs name them.
ALL_WORKSPACES = "all"
LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.48, 0.7, 1, 2, 5, 10, 30,
)  # fmt: skip
TOKEN_BUCKETS_S = (0.001, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.5, 2)
SHARE_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)


class LabelCap:
    """Bounds the values of a label; later ones share an "other" bucket.

    Attributes:
        known: Values that have a series of their own.
    """

    __slots__ = ("known", "limit")

    def __init__(self, limit: int = MAX_WORKSPACE_LABELS) -> None:
        """Creates a cap without values."""
        self.known: set[str] = set()
        self.limit = limit

    def label(self, value: str) -> str:
        """Returns the value itself, or the "other" bucket."""
        if value in self.known:
            return value
        if len(self.known) >= self.limit:
            return OTHER
        self.known.add(value)
        return value


class CallSeries:
    """The series of one workspace and class, looked up once.

    Attributes:
        first_token: Time to first token.
        between_tokens: Mean time between tokens.
        queue_wait: Wait at this instance.
        recomputed: Share of prompt tokens computed again.
        reused_tokens: Prompt tokens reused.
        computed_tokens: Prompt tokens computed.
        link_seconds: Expected time of transfers.
    """

    __slots__ = (
        "first_token",
        "between_tokens",
        "queue_wait",
        "recomputed",
        "reused_tokens",
        "computed_tokens",
        "link_seconds",
        "_outcomes",
        "_codes",
        "_labels",
    )

    def __init__(self, metrics: "Metrics", labels: tuple[str, str]) -> None:
        """Looks the series up."""
        self.first_token = metrics.first_token.labels(*labels)
        self.between_tokens = metrics.between_tokens.labels(*labels)
        self.queue_wait = metrics.queue_wait.labels(*labels)
        self.recomputed = metrics.recomputed.labels(*labels)
        self.reused_tokens = metrics.prompt_tokens.labels(*labels, "reused")
        self.computed_tokens = metrics.prompt_tokens.labels(*labels, "computed")
        self.link_seconds = metrics.link_seconds.labels(*labels)
        self._outcomes = metrics.outcomes
        self._labels = labels
        self._codes: dict[int, prometheus_client.Counter] = {}

    def count_outcome(self, code: int) -> None:
        """Counts a request that ended with a result code."""
        counter = self._codes.get(code)
        if counter is None:
            counter = self._outcomes.labels(*self._labels, str(code))
            self._codes[code] = counter
        counter.inc()


class Metrics:
    """All series of one instance, in a registry of their own.

    Attributes:
        registry: What ``/metrics`` renders.
    """

    def __init__(self) -> None:
        """Creates the series."""
        self.registry = prometheus_client.CollectorRegistry()
        self.cap = LabelCap()
        self._series: dict[tuple[str, str], CallSeries] = {}
        by = ("workspace", "class_name")
        self.first_token = self._histogram(
            "first_token_seconds", "Time to first token", by, LATENCY_BUCKETS_S
        )
        self.between_tokens = self._histogram(
            "between_tokens_seconds",
            "Mean time between tokens of an answer",
            by,
            TOKEN_BUCKETS_S,
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds", "Wait at this instance", by, LATENCY_BUCKETS_S
        )
        self.recomputed = self._histogram(
            "recomputed_share",
            "Share of prompt tokens computed again",
            by,
            SHARE_BUCKETS,
        )
        self.outcomes = self._counter(
            "outcomes", "Requests by result code", (*by, "code")
        )
        self.prompt_tokens = self._counter(
            "prompt_tokens", "Prompt tokens by source", (*by, "source")
        )
        self.link_bytes = self._counter(
            "link_bytes", "Bytes between tiers", ("direction",)
        )
        self.link_seconds = self._histogram(
            "link_seconds",
            "Expected time of a transfer between tiers",
            by,
            LATENCY_BUCKETS_S,
        )
        self.attempt_ends = self._counter(
            "attempt_ends", "Attempts at targets by result code", ("code",)
        )
        self.peer_frames = self._counter(
            "peer_frames", "Frames between instances", ("kind",)
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes between instances", ("direction", "transport")
        )
        self.in_progress = prometheus_client.Gauge(
            "chivelb_requests_in_progress",
            "Requests in progress",
            registry=self.registry,
        )
        self.version = prometheus_client.Gauge(
            "chivelb_document_version",
            "Document version in force",
            registry=self.registry,
        )

    def _histogram(self, name, text, labels, buckets):
        return prometheus_client.Histogram(
            f"chivelb_{name}",
            text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )

    def _counter(self, name, text, labels):
        return prometheus_client.Counter(
            f"chivelb_{name}", text, labels, registry=self.registry
        )

    def series(self, workspace: str, class_name: str) -> CallSeries:
        """Returns the series of a workspace and class."""
        labels = (self.cap.label(workspace), class_name)
        found = self._series.get(labels)
        if found is None:
            found = self._series[labels] = CallSeries(self, labels)
        return found

    def render(self) -> bytes:
        """Returns the text that ``/metrics`` serves."""
        return prometheus_client.generate_latest(self.registry)
