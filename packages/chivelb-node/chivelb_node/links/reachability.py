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
    """

    def __init__(
        self, context: context_lib.InstanceContext, pool: http_pool.HttpPool
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.pool = pool

    def start_checking(self, record: targets.TargetRecord) -> None:
        """Marks a target as unreachable and checks it from now on."""
        if not self.context.settings.decisions.reachability_checks:
            return
        if self.context.targets.record_unreachable(record.identity):
            _log.warning(
                "target unreachable",
                target=record.identity,
                address=record.address,
                **self._counts(record.service),
            )
            self.add_future(self._check(record))

    async def _check(self, record: targets.TargetRecord) -> None:
        delay_s = FIRST_CHECK_DELAY_S
        while self._is_unreachable(record):
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_CHECK_DELAY_S, BACKOFF_FACTOR * delay_s)
            try:
                await self.pool.open_idle(record.address)
            except http_pool.NotSentError:
                continue
            self.context.targets.record_success(record.identity)
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
        known = [record.identity for record in table.eligible(service, now)]
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
