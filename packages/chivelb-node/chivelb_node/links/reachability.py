"""Checks when a target that was unreachable can be reached again.

Without the checks, calls would find out, and each would wait for a connection
until it times out. A check only opens a connection, which a later call uses.
"""

import asyncio

from chivelb_core import targets
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import http_pool
from chivelb_node.telemetry import logs

FIRST_CHECK_DELAY_S = 0.2
MAX_CHECK_DELAY_S = 1.0
BACKOFF_FACTOR = 1.5
_log = logs.get_logger("reachability")


class ReachabilityChecks(mode.Service):
    """Opens connections to unreachable targets until one succeeds.

    Attributes:
        context: Shared state of the instance.
        pool: Connections to targets.
        probed: Services to which a path is looked for.
    """

    def __init__(
        self, context: context_lib.InstanceContext, pool: http_pool.HttpPool
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.pool = pool
        self.probed: set[str] = set()

    def start_checking(self, record: targets.TargetRecord) -> None:
        """Marks a target as unreachable and checks it from now on."""
        if not self.context.settings.decisions.reachability_checks:
            return
        if self.context.targets.record_unreachable(
            record.identity, incarnation=record.incarnation
        ):
            _log.warning(
                "target unreachable",
                target=record.identity,
                address=record.address,
                **self._counts(record.service),
            )
            self.add_future(self._check(record))
        self._probe_if_isolated(record.service)

    def _probe_if_isolated(self, service: str) -> None:
        """Looks for any path to a service while none is presumed to be open.

        The targets that failed may have stopped, so that no check of theirs
        would succeed.
        """
        now = context_lib.monotonic()
        if service in self.probed or not self.context.is_isolated(service, now):
            return
        self.probed.add(service)
        _log.warning("no path to service", service=service)
        self.add_future(self._probe(service))

    async def _probe(self, service: str) -> None:
        delay_s = FIRST_CHECK_DELAY_S
        while self.context.is_isolated(service, context_lib.monotonic()):
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_CHECK_DELAY_S, BACKOFF_FACTOR * delay_s)
            now = context_lib.monotonic()
            table = self.context.targets
            records = list(table.eligible(service, now, ignores_cold=True))
            if not records:
                break
            record = self.context.rng.choice(records)
            try:
                await self.pool.open_idle(record.address)
            except http_pool.NotSentError:
                now = context_lib.monotonic()
                self.context.reach.record_failure(service, record.identity, now)
            else:
                now = context_lib.monotonic()
                self.context.reach.record_reached(service, record.identity, now)
        self.probed.discard(service)
        _log.info("service has a path again", service=service)

    async def _check(self, record: targets.TargetRecord) -> None:
        delay_s = FIRST_CHECK_DELAY_S
        while self._is_unreachable(record):
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_CHECK_DELAY_S, BACKOFF_FACTOR * delay_s)
            try:
                await self.pool.open_idle(record.address)
            except http_pool.NotSentError:
                self.context.reach.record_failure(
                    record.service,
                    record.identity,
                    context_lib.monotonic(),
                )
                continue
            self.context.targets.record_reached(record.identity)
            now = context_lib.monotonic()
            self.context.reach.record_reached(
                record.service, record.identity, now
            )
            _log.info(
                "target reachable again",
                target=record.identity,
                **self._counts(record.service),
            )
            return

    def _counts(self, service: str) -> dict[str, str | int]:
        """Returns how many targets of a service are known and reachable."""
        now = context_lib.monotonic()
        table = self.context.targets
        known = [
            record.identity
            for record in table.eligible(service, now, ignores_cold=True)
        ]
        reachable = [
            identity
            for identity in known
            if not table.entries[identity].is_unreachable
        ]
        gauge = self.context.metrics.unreachable_targets
        gauge.labels(service).set(len(known) - len(reachable))
        return {
            "service": service,
            "reachable": len(reachable),
            "known": len(known),
        }

    def _is_unreachable(self, record: targets.TargetRecord) -> bool:
        """Returns whether the same incarnation is still in the table."""
        entry = self.context.targets.entries.get(record.identity)
        return (
            entry is not None
            and entry.is_unreachable
            and not entry.is_leaving
            and not entry.is_replaced
            and entry.record.incarnation == record.incarnation
        )
