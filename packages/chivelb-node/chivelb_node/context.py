"""What the services of one instance share: aggregates and small helpers."""

import asyncio
import random
import time

from chivelb_core import admission
from chivelb_core import calls
from chivelb_core import document as document_lib
from chivelb_core import kept
from chivelb_core import routing
from chivelb_core import targets
from chivelb_core.routing import policies

from chivelb_node import settings as settings_lib
from chivelb_node.telemetry import metrics as metrics_lib

monotonic = time.monotonic


def boottime() -> float:
    """Returns seconds by a clock that counts suspensions of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class KeyTable:
    """Workspaces by the hash of their keys, rebuilt with each version.

    Attributes:
        by_hash: Workspace names by key hash.
    """

    __slots__ = ("by_hash",)

    def __init__(self, current: document_lib.Document) -> None:
        """Indexes a document's workspaces."""
        self.by_hash = {
            key_hash: name
            for name, workspace in current.workspaces.items()
            for key_hash in workspace.key_hashes
        }


class InstanceContext:
    """Aggregates of one instance, owned by its event loop.

    Attributes:
        settings: The checked settings.
        register: Document and version chain in force.
        version: Version in force; it never decreases. -1 before the first.
        keys: Index of workspace keys.
        routes: Index of the document's routes.
        targets: Targets under their leases.
        load: Load of targets.
        directory: This instance's shard of the kept-cache directory.
        suspects: Prompts seen at crashes.
        budget: Retry budget.
        queues: Fair queue by service.
        policies: Routing policies by name.
        metrics: Prometheus series.
        draining: Whether a stop was asked for.
        closed: Whether new requests are refused, because the stop is near.
        ready: Whether a document in force allows serving.
        in_progress: Number of requests in progress.
        stop_asked: Set when the process shall stop gracefully.
    """

    def __init__(
        self, settings: settings_lib.Settings, rng: random.Random
    ) -> None:
        """Creates the aggregates, without a document in force."""
        self.settings = settings
        self.rng = rng
        self.register = document_lib.Register()
        self.version = -1
        self.keys = KeyTable(self.register.document)
        self.routes = document_lib.RouteTable(self.register.document)
        self.targets = targets.TargetTable()
        self.load = routing.LoadView()
        self.directory = kept.Directory()
        self.suspects = calls.SuspectTable()
        self.budget = calls.RetryBudget()
        self.queues: dict[str, admission.FairQueue] = {}
        self.policies = policies.make_policies()
        self.metrics = metrics_lib.Metrics()
        self.draining = False
        self.closed = False
        self.ready = False
        self.in_progress = 0
        self.stop_asked = asyncio.Event()

    @property
    def document(self) -> document_lib.Document:
        """The document in force."""
        return self.register.document

    def put_in_force(self, register: document_lib.Register) -> bool:
        """Takes a newer register; refuses one that is not newer.

        Args:
            register: Register with a higher version.

        Returns:
            True when it is in force now.
        """
        if register.version <= self.version:
            return False
        self.register = register
        self.version = register.version
        self._note_version()
        return True

    def _note_version(self) -> None:
        self.keys = KeyTable(self.document)
        self.routes = document_lib.RouteTable(self.document)
        self.metrics.version.set(self.version)
        for queue in self.queues.values():
            self._weigh(queue)

    def queue(self, service: str) -> admission.FairQueue:
        """Returns the fair queue of a service, created when it is new."""
        queue = self.queues.get(service)
        if queue is None:
            limits = self.document.limits
            queue = admission.FairQueue(limits.class_weights, limits.max_queue)
            self.queues[service] = queue
        return queue

    def _weigh(self, queue: admission.FairQueue) -> None:
        limits = self.document.limits
        queue.max_queue = limits.max_queue
        queue.set_class_weights(limits.class_weights)
