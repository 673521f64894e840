"""Prometheus metrics with bounded label sets."""

import prometheus_client

MAX_WORKSPACE_LABELS = 200
OTHER_LABEL = "other"
# Value of the workspace label for forwarded calls, of which there would be too
# many series with one per workspace and route; the logs have the workspace.
ALL_WORKSPACES = "all"
LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.48, 0.7, 1, 2, 5, 10, 30,
)  # fmt: skip
TOKEN_BUCKETS_S = (0.001, 0.005, 0.01, 0.02, 0.04, 0.079, 0.15, 0.5, 2)
RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.67, 0.8, 1.0, 1.25, 1.5, 2, 4, 10)
SHARE_BUCKETS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)


class LabelLimiter:
    """Bounds the number of values of a label; the rest become "other".

    Attributes:
        admitted: Values that have their own series.
        limit: Maximum number of such values.
    """

    __slots__ = ("admitted", "limit")

    def __init__(self, limit: int = MAX_WORKSPACE_LABELS) -> None:
        """Creates a limiter without values."""
        self.admitted: set[str] = set()
        self.limit = limit

    def label(self, value: str) -> str:
        """Returns the value, or "other" once the limit is reached."""
        if value in self.admitted:
            return value
        if len(self.admitted) >= self.limit:
            return OTHER_LABEL
        self.admitted.add(value)
        return value


class CallSeries:
    """The series of one workspace and class, cached to avoid lookups.

    Attributes:
        first_token: Time to first token, in seconds.
        between_tokens: Mean time between tokens of an answer, in seconds.
        queue_wait: Time spent in the queue of this instance, in seconds.
        recomputed: Fraction of prompt tokens not served from the KV cache,
            whether or not they were computed before.
        reused_tokens: Prompt tokens served from the KV cache.
        computed_tokens: Prompt tokens computed by a target.
        link_seconds: Expected time of KV cache transfers, in seconds. Their
            tiers, in the help texts, are runners and stores.
    """

    __slots__ = (
        "first_token",
        "between_tokens",
        "queue_wait",
        "recomputed",
        "reused_tokens",
        "computed_tokens",
        "link_seconds",
        "_outcome_counter",
        "_counters_by_code",
        "_labels",
    )

    def __init__(self, metrics: "Metrics", labels: tuple[str, str]) -> None:
        """Looks up the series for a tuple of label values."""
        self.first_token = metrics.first_token.labels(*labels)
        self.between_tokens = metrics.between_tokens.labels(*labels)
        self.queue_wait = metrics.queue_wait.labels(*labels)
        self.recomputed = metrics.recomputed.labels(*labels)
        self.reused_tokens = metrics.prompt_tokens.labels(*labels, "reused")
        self.computed_tokens = metrics.prompt_tokens.labels(*labels, "computed")
        self.link_seconds = metrics.link_seconds.labels(*labels)
        self._outcome_counter = metrics.outcomes
        self._labels = labels
        self._counters_by_code: dict[int, prometheus_client.Counter] = {}

    def count_outcome(self, code: int) -> None:
        """Counts a finished request by its result code."""
        counter = self._counters_by_code.get(code)
        if counter is None:
            counter = self._outcome_counter.labels(*self._labels, str(code))
            self._counters_by_code[code] = counter
        counter.inc()


class Metrics:
    """All metrics of one instance, in a separate registry.

    Attributes:
        registry: Registry that ``/metrics`` renders.
        workspace_labels: Bounds the values of the workspace label.
    """

    def __init__(self) -> None:
        """Creates the metrics."""
        self.registry = prometheus_client.CollectorRegistry()
        self.workspace_labels = LabelLimiter()
        self._series: dict[tuple[str, str], CallSeries] = {}
        call_labels = ("workspace", "class_name")
        self.first_token = self._histogram(
            "first_token_seconds",
            "Time to first token",
            call_labels,
            LATENCY_BUCKETS_S,
        )
        self.between_tokens = self._histogram(
            "between_tokens_seconds",
            "Mean time between tokens of an answer",
            call_labels,
            TOKEN_BUCKETS_S,
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds",
            "Wait at this instance",
            call_labels,
            LATENCY_BUCKETS_S,
        )
        self.refusals = self._counter(
            "waiting_refusals",
            "Calls refused before they were sent to a target",
            ("class_name", "reason"),
        )
        self.waiting_calls = prometheus_client.Gauge(
            "chivelb_waiting_calls",
            "Calls that wait for capacity at a target",
            ("class_name",),
            registry=self.registry,
        )
        self.waiting_age = prometheus_client.Gauge(
            "chivelb_oldest_waiting_call_seconds",
            "Time for which the oldest waiting call has waited",
            ("class_name",),
            registry=self.registry,
        )
        self.recomputed = self._histogram(
            "recomputed_share",
            "Share of prompt tokens computed again",
            call_labels,
            SHARE_BUCKETS,
        )
        self.outcomes = self._counter(
            "outcomes", "Requests by result code", (*call_labels, "code")
        )
        self.prompt_tokens = self._counter(
            "prompt_tokens", "Prompt tokens by source", (*call_labels, "source")
        )
        self.link_bytes = self._counter(
            "link_bytes", "Bytes between tiers", ("direction",)
        )
        self.link_seconds = self._histogram(
            "link_seconds",
            "Expected time of a transfer between tiers",
            call_labels,
            LATENCY_BUCKETS_S,
        )
        self.attempt_results = self._counter(
            "attempt_ends", "Attempts at targets by result code", ("code",)
        )
        self.peer_frames = self._counter(
            "peer_frames", "Frames between instances", ("kind",)
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes between instances", ("direction", "transport")
        )
        self.peer_message_bytes = self._counter(
            "peer_message_bytes",
            "Encoded bytes between instances by type of message",
            ("direction", "message"),
        )
        self.peer_unsent_bytes = prometheus_client.Gauge(
            "chivelb_peer_unsent_bytes",
            "Bytes that wait to be sent, on all links to other instances",
            registry=self.registry,
        )
        self.unreachable_targets = prometheus_client.Gauge(
            "chivelb_unreachable_targets",
            "Targets to which this instance could open no connection",
            ("service",),
            registry=self.registry,
        )
        self.rests = self._counter(
            "target_rests", "Rests of targets that began here", ("reason",)
        )
        self.cold_sends = prometheus_client.Counter(
            "chivelb_cold_target_sends",
            "Requests that were sent to cold targets",
            registry=self.registry,
        )
        self.cold_targets = prometheus_client.Gauge(
            "chivelb_cold_targets",
            "Targets that are known to be cold",
            registry=self.registry,
        )
        self.first_event_ratio = self._histogram(
            "first_event_ratio",
            "Observed by expected time from a send to the first event",
            ("service",),
            RATIO_BUCKETS,
        )
        self.prefill_rate = prometheus_client.Gauge(
            "chivelb_prefill_tokens_per_second",
            "Prefill throughput of a usual target, as observed",
            ("service",),
            registry=self.registry,
        )
        self.slow_targets = prometheus_client.Gauge(
            "chivelb_slow_targets",
            "Targets that are far slower than others of their service",
            ("service",),
            registry=self.registry,
        )
        self.relayed = self._counter(
            "relayed_attempts",
            "Attempts through another instance",
            ("direction", "result"),
        )
        self.open_connections = prometheus_client.Gauge(
            "chivelb_open_connections",
            "Connections of clients",
            ("port",),
            registry=self.registry,
        )
        self.refused_clients = self._counter(
            "refused_clients",
            "Connections and requests refused because of a limit",
            ("port", "reason"),
        )
        self.buffered_bytes = prometheus_client.Gauge(
            "chivelb_buffered_bytes",
            "Bytes that are buffered for clients and peers",
            registry=self.registry,
        )
        self.response_bytes = prometheus_client.Gauge(
            "chivelb_buffered_response_bytes",
            "Bytes of targets' responses that are buffered",
            registry=self.registry,
        )
        self.buffer_limit = prometheus_client.Gauge(
            "chivelb_buffer_limit_bytes",
            "Buffered bytes from which on new requests are refused",
            registry=self.registry,
        )
        self.in_progress = prometheus_client.Gauge(
            "chivelb_requests_in_progress",
            "Requests in progress",
            registry=self.registry,
        )
        self.group_members = prometheus_client.Gauge(
            "chivelb_control_group_members",
            "Members of the control group, as this voter knows it",
            ("role",),
            registry=self.registry,
        )
        self.leader_known = prometheus_client.Gauge(
            "chivelb_control_group_leader_known",
            "1 if this voter knows a leader of the control group, else 0",
            registry=self.registry,
        )
        self.evacuated_zone = prometheus_client.Gauge(
            "chivelb_evacuated_zone",
            "1 for each availability zone whose targets get no requests",
            ("zone",),
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
        """Returns the series of a workspace and scheduling class."""
        labels = (self.workspace_labels.label(workspace), class_name)
        found = self._series.get(labels)
        if found is None:
            found = self._series[labels] = CallSeries(self, labels)
        return found

    def render(self) -> bytes:
        """Renders the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
