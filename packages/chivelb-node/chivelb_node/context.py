"""State and helpers shared by the services of one instance."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import math
import random
import time

from chivelb_core import admission
from chivelb_core import byte_budget
from chivelb_core import calls
from chivelb_core import document as document_lib
from chivelb_core import kv_cache
from chivelb_core import response_budget
from chivelb_core import rollout
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.document import sharing_leases
from chivelb_core.forwarding import cold_targets
from chivelb_core.forwarding import reach as reach_lib
from chivelb_core.forwarding import request_limits
from chivelb_core.forwarding import work_estimates
from chivelb_core.routing import policies
from chivelb_core.targets import entry as entry_lib
from chivelb_core.targets import naming

from chivelb_node import settings as settings_lib
from chivelb_node import stopping
from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib
from chivelb_node.telemetry import refusals

monotonic = time.monotonic
# Time after the start within which an instance usually learns the document and
# the targets; both need the control group to elect a leader if all instances
# were started together.
STARTUP_S = 3.0
# Share of the time that a weight version may take to be in force, after which
# requests are no longer sent to runners with an older one.
WEIGHTS_DUE_RATIO = 0.85
# Shares of ``buffer_bytes`` that responses to calls, and pages of cache events,
# may buffer as well. Pages take several times as much once they are decoded.
RESPONSE_BUFFER_SHARE = 0.25
PAGE_BUFFER_SHARE = 0.0625
# Limit for one page, as a share of what all pages may buffer.
MAX_PAGE_SHARE = 0.25
_log = logs.get_logger("targets")


def boottime() -> float:
    """Returns CLOCK_BOOTTIME in seconds, which advances during suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class KeyTable:
    """Index of workspaces by API key hash, rebuilt for each document version.

    Attributes:
        workspace_by_key_hash: Workspace names by key hash.
    """

    __slots__ = ("workspace_by_key_hash",)

    def __init__(self, document: document_lib.Document) -> None:
        """Indexes the workspaces of a document."""
        self.workspace_by_key_hash = {
            key_hash: name
            for name, workspace in document.workspaces.items()
            for key_hash in workspace.key_hashes
        }


def _log_refuted_target(entry: entry_lib.TargetEntry) -> None:
    incarnation, sequence = entry.refuted
    _log.info(
        "announcements refuted",
        target=entry.record.identity,
        address=entry.record.address,
        incarnation=incarnation,
        sequence=sequence,
    )


class InstanceContext:
    """Shared state of one instance; only its event loop may access it.

    Attributes:
        settings: Validated settings.
        rng: Source of randomness.
        zone_regions: Region of each known availability zone; empty if the
            settings have none.
        document_state: The document in force, by which this instance serves,
            and its version history.
        version: Document version in force. 0 is the empty document of a new
            control group; -1 means that no version is in force yet. It never
            decreases.
        sharing_lease: Whether workspaces may share cached prompts now.
        sharing_known: Set once a sharing lease was granted, or if none is
            needed.
        sharing_epoch_changed: Set when a document with another sharing epoch
            is put in force.
        requested_versions: Since when weight versions are requested.
        keys: Index of workspace API keys.
        routes: Index of the routes of the document in force.
        targets: Known targets. An announcement grants a target a lease: until
            it expires the target may receive new requests.
        confirmed_versions: Services and software versions of targets that a
            majority of the control instances knows to serve.
        load: Load of each target.
        work_estimates: What requests cost, and how fast targets work.
        directory: This instance's shard of the KV cache directory.
        crash_suspects: Crash-suspect prompts and requests, which were running
            on a target when it crashed and may have caused the crash.
        part_suspects: Parts of prompts that may crash targets.
        reach: Whether it reaches the targets of a service by itself.
        request_limits: Limits that targets named, and grants to send to them.
        cold_targets: When this instance may send to cold targets.
        retry_budget: Limits the retries of model calls and calls to plain
            services that this instance makes, as a ratio of its first attempts.
            It is not shared with other instances and has no settings.
        queues: Fair queues by service name.
        policies: Routing policies by name.
        metrics: Prometheus metrics.
        buffers: Budget for what is buffered for clients and peers.
        response_budget: Budget for what responses to calls buffer.
        page_budget: Budget for what pages of cache events buffer.
        max_page_bytes: Limit for one such page or listing.
        draining: Whether a shutdown was requested.
        stop: When requests may begin and must end during a shutdown.
        startup_ends_at: Monotonic time from which the first document and the
            targets are no longer expected to be on their way, in seconds.
        readiness: Set once a document is in force by which it can serve.
        sources_known: Set once it is known which parts of prompts are cached
            where, or enough time was given to learn it.
        in_progress: Number of requests in progress.
        forget_parts: Called with the address of a target that holds no part of
            a prompt any more.
        list_transports: Returns the transports of callers' connections; None
            stands for one that is closed.
        stop_requested: Event that requests a graceful shutdown.
    """

    def __init__(
        self, settings: settings_lib.Settings, rng: random.Random
    ) -> None:
        """Creates the state, with no document in force."""
        self.settings = settings
        self.rng = rng
        self.zone_regions = settings_lib.parse_zones(settings.instance.zones)
        self.document_state = document_lib.DocumentState()
        self.version = -1
        self.sharing_lease = sharing_leases.SharingLease()
        self.sharing_known = asyncio.Event()
        self.sharing_known.set()
        self.sharing_epoch_changed = asyncio.Event()
        self.requested_versions = rollout.RequestedVersions()
        self.keys = KeyTable(self.document_state.document)
        self.routes = document_lib.RouteTable(self.document_state.document)
        self.targets = targets.TargetTable()
        self._checks_targets = False
        self._models_by_service: dict[str, frozenset[str]] | None = None
        self.targets.on_refuted = _log_refuted_target
        self._ignored_targets = refusals.RefusalLog(_log, "target ignored")
        self.confirmed_versions: set[tuple[str, str]] = set()
        self.load = routing.LoadView()
        self.work_estimates = work_estimates.WorkEstimates(
            is_enabled=settings.decisions.work_estimates
        )
        self.directory = kv_cache.Directory()
        self.crash_suspects = calls.SuspectTable()
        self.part_suspects = calls.PartSuspects()
        self.reach = reach_lib.ReachTable()
        self.request_limits = request_limits.LimitTable()
        self.cold_targets = cold_targets.ColdTargets(settings.instance.name)
        self.targets.cold_start_s = self._cold_start_s
        self.targets.next_cold_send_at = self._next_cold_send_at
        self.targets.on_cold = self._discard_cache
        self.targets.on_restart = self._on_restart
        self.retry_budget = calls.TokenBucketBudget()
        self.queues: dict[str, admission.FairQueue] = {}
        self.policies = policies.make_policies()
        self.metrics = metrics_lib.Metrics()
        self.metrics.cold_targets.set_function(
            lambda: self.targets.count_cold(monotonic())
        )
        self.buffers = byte_budget.ByteBudget(
            settings.http.buffer_bytes, stalled_s=settings.http.stalled_body_s
        )
        self.response_budget = response_budget.ResponseBudget(
            int(settings.http.buffer_bytes * RESPONSE_BUFFER_SHARE)
        )
        self.page_budget = response_budget.ResponseBudget(
            int(settings.http.buffer_bytes * PAGE_BUFFER_SHARE)
        )
        self.max_page_bytes = int(self.page_budget.limit_bytes * MAX_PAGE_SHARE)
        self.metrics.response_bytes.set_function(
            lambda: (
                self.response_budget.used_bytes + self.page_budget.used_bytes
            )
        )
        self.metrics.buffered_bytes.set_function(
            lambda: self.buffers.used_bytes
        )
        self.metrics.buffer_limit.set(settings.http.buffer_bytes)
        self.draining = False
        self.stop = stopping.Stop(lambda: monotonic())
        self.startup_ends_at = monotonic()
        if settings.decisions.startup_wait:
            self.startup_ends_at += STARTUP_S
        self.readiness = asyncio.Event()
        self.sources_known = asyncio.Event()
        self.in_progress = 0
        self.forget_parts: Callable[[str], None] = lambda address: None
        self.list_transports: Callable[
            [], Iterable[asyncio.Transport | None]
        ] = list
        self.stop_requested = asyncio.Event()

    def begin_stop(self, *, serving_s: float, grace_s: float) -> None:
        """Begins a graceful shutdown: the instance is no longer ready.

        Args:
            serving_s: Time for which new requests are served, in seconds.
            grace_s: Time after which the process is killed, in seconds.
        """
        self.draining = True
        self.stop.begin(serving_s=serving_s, grace_s=grace_s)

    def has_unfinished_answers(self) -> bool:
        """Returns whether answers are due, or wait in the process unsent."""
        return self.in_progress > 0 or any(
            transport is not None and transport.get_write_buffer_size() > 0
            for transport in self.list_transports()
        )

    @property
    def ready(self) -> bool:
        """Whether a document is in force by which it can serve."""
        return self.readiness.is_set()

    @property
    def knows_caches(self) -> bool:
        """Whether it knows what is cached where, and whether to share it."""
        return self.sources_known.is_set() and self.sharing_known.is_set()

    def is_starting(self, now: float) -> bool:
        """Returns whether documents and targets may still be on their way.

        Args:
            now: Monotonic time in seconds.
        """
        return now < self.startup_ends_at

    def is_isolated(self, service: str, now: float) -> bool:
        """Returns whether this instance reaches no target of a service."""
        if service not in self.reach.failures:
            return False
        eligible = self.targets.eligible(service, now, ignores_cold=True)
        identities = [record.identity for record in eligible]
        return self.reach.is_isolated(service, identities, now)

    def is_unreachable(self, record: targets.TargetRecord, now: float) -> bool:
        """Returns whether this instance has no path to a target."""
        if self.targets.is_unreachable(record.identity):
            return True
        return self.is_isolated(
            record.service, now
        ) and not self.reach.was_reached(record.identity, now)

    def _cold_start_s(self, service: str) -> float:
        declared = self.document.services.get(service)
        return 0.0 if declared is None else declared.cold_start_s

    def _next_cold_send_at(
        self, record: targets.TargetRecord, now: float
    ) -> float:
        rate_per_s = self.cold_rate_per_s(record.service)
        if not rate_per_s:
            return -math.inf
        return self.cold_targets.next_send_at(record, rate_per_s, now)

    def cold_rate_per_s(self, service: str) -> float:
        """Returns the requests a second that a cold target can handle.

        Returns:
            The rate; 0 if the service declares none, so that there is no limit.
        """
        declared = self.document.services.get(service)
        return 0.0 if declared is None else declared.cold_requests_per_s

    def _on_restart(self, record: targets.TargetRecord) -> None:
        """Discards what was known of a target that has started again.

        The time of the last request while it was cold stays: the interval to
        the next one holds across a restart.
        """
        self._discard_cache(record)
        self.request_limits.forget([record.identity], monotonic())
        self.load.discard(record.identity)
        _log.info(
            "target restarted",
            target=record.identity,
            service=record.service,
            previous_incarnation=record.incarnation,
        )

    def _discard_cache(self, record: targets.TargetRecord) -> None:
        """Discards what was known to be cached at a target."""
        self.directory.forget(record.identity)
        self.forget_parts(record.address)

    def record_sent(self, identity: str, now: float) -> None:
        """Records that a request is sent to a target.

        It uses the grant of a limited target and the turn at a cold one.

        Args:
            identity: The target.
            now: Monotonic time in seconds.
        """
        self.request_limits.spend(identity)
        if self.targets.cold_s(identity, now):
            self.cold_targets.record_send(identity, now)
            self.metrics.cold_sends.inc()

    def record_cold_change(self, identity: str, source: str) -> None:
        """Logs that a target has turned cold or warm, or stays cold longer.

        Args:
            identity: The target.
            source: ``target``, ``heartbeat``, or the peer that told.
        """
        now = monotonic()
        record = self.targets.entries[identity].record
        cold_s = self.targets.cold_s(identity, now)
        may_send_in_s = self._next_cold_send_at(record, now) - now
        _log.info(
            "target is cold" if cold_s else "target is warm",
            target=identity,
            service=record.service,
            cold_s=round(cold_s, 3),
            sends=math.isfinite(may_send_in_s)
            or not self.cold_rate_per_s(record.service),
            source=source,
        )

    def outstanding_share(self, identity: str, now: float) -> float:
        """Returns the share of a target's pending tokens that is left to do.

        It is to be called whenever they have changed.
        """
        entry = self.targets.entries.get(identity)
        pending = self.load.pending(identity, now)
        if entry is None or pending <= 0:
            return 1.0
        service = entry.record.service
        return (
            self.work_estimates.outstanding_tokens(
                service, identity, pending, now
            )
            / pending
        )

    @property
    def document(self) -> document_lib.Document:
        """The document in force."""
        return self.document_state.document

    def apply_document_state(
        self, document_state: document_lib.DocumentState
    ) -> bool:
        """Puts a document state in force if it is newer than the present one.

        Args:
            document_state: State to put in force.

        Returns:
            True if it is now in force, False if it is not newer.
        """
        if document_state.version <= self.version:
            return False
        if document_state.sharing_epoch != self.document_state.sharing_epoch:
            self.sharing_epoch_changed.set()
        self.document_state = document_state
        self.version = document_state.version
        self.requested_versions.update(document_state.weights, monotonic())
        self._apply_evacuations()
        self._rebuild_indexes()
        return True

    def allows_zone(self, regions: frozenset[str] | None, zone: str) -> bool:
        """Returns whether a request may use the targets of a zone.

        A zone whose region is not known is in none that a request is
        restricted to.

        Args:
            regions: Regions that the request may use; None for all.
            zone: Name of the availability zone.
        """
        if regions is None:
            return True
        instance = self.settings.instance
        if zone == instance.zone:
            return instance.region in regions
        return self.zone_regions.get(zone) in regions

    def _apply_evacuations(self) -> None:
        """Stops requests to the targets of the evacuated zones."""
        before = self.targets.evacuated_zones
        since_by_zone = self.document_state.evacuated_zones
        self.targets.evacuated_zones = frozenset(since_by_zone)
        for zone in sorted(since_by_zone.keys() - before):
            self.metrics.evacuated_zone.labels(zone).set(1)
            _log.warning(
                "zone evacuated",
                zone=zone,
                since_version=since_by_zone[zone],
                version=self.version,
                targets=self.targets.count_in_zone(zone),
            )
        for zone in sorted(before - since_by_zone.keys()):
            self.metrics.evacuated_zone.remove(zone)
            _log.info(
                "evacuation of zone ended",
                zone=zone,
                version=self.version,
                targets=self.targets.count_in_zone(zone),
            )

    def may_share(self) -> bool:
        """Returns whether workspaces may share cached prompts now."""
        return self.sharing_lease.permits(
            self.document_state.sharing_epoch, boottime()
        )

    def weights_due_at(self, record: targets.TargetRecord) -> float:
        """Returns by when a newer version than a runner's is to be in force.

        Requests that were sent to it before may still wait there to begin;
        a share of the time is left to them.

        Returns:
            Monotonic time in seconds; infinite if no newer one is requested.
        """
        since = self.requested_versions.newer_since(
            record.model, int(record.weight_version or 0)
        )
        limit_s = self.settings.forwarding.weights_apply_s
        return since + limit_s * WEIGHTS_DUE_RATIO

    def check_targets_by_document(self) -> None:
        """Uses targets only if the document names their service and model.

        Before the first document nothing is known of services, and all targets
        count.
        """
        self._checks_targets = True
        self.targets.on_ignored = self._log_ignored_target
        self._update_named_services()

    def _update_named_services(self) -> None:
        """Checks the targets again if the services have changed."""
        if not self._checks_targets or self.version < 0:
            return
        models_by_service = {
            name: frozenset(service.engine.models if service.engine else ())
            for name, service in self.document.services.items()
        }
        if models_by_service == self._models_by_service:
            return
        self._models_by_service = models_by_service
        self.targets.find_problem = lambda record: naming.find_problem(
            record, models_by_service
        )
        self.targets.refresh()

    def _log_ignored_target(
        self, record: targets.TargetRecord, reason: str
    ) -> None:
        self._ignored_targets.record(
            record.address, reason, target=record.identity
        )

    def _rebuild_indexes(self) -> None:
        self.keys = KeyTable(self.document)
        self.routes = document_lib.RouteTable(self.document)
        self.metrics.version.set(self.version)
        self._update_named_services()
        self.work_estimates.update_services(
            {
                name: service.engine is not None
                for name, service in self.document.services.items()
            }
        )
        for queue in self.queues.values():
            self._apply_limits(queue)

    def queue(self, service: str) -> admission.FairQueue:
        """Returns the fair queue of a service, creating it on first use."""
        queue = self.queues.get(service)
        if queue is None:
            limits = self.document.limits
            queue = admission.FairQueue(limits.class_weights, limits.max_queue)
            self.queues[service] = queue
        return queue

    def _apply_limits(self, queue: admission.FairQueue) -> None:
        limits = self.document.limits
        queue.max_queue = limits.max_queue
        queue.set_class_weights(limits.class_weights)
