"""Obeys what targets tell of themselves in their answers."""

from collections.abc import Callable
from collections.abc import Sequence

from chivelb_core import targets
from chivelb_core.forwarding import cold_targets
from chivelb_core.forwarding import request_limits as limits_lib
from chivelb_core.forwarding import rests

from chivelb_node import context as context_lib
from chivelb_node.forwarding import ports
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

# All instances leave a brittle target alone for this long after it has turned
# a request away: it counts what it turns away within a second.
FULL_REST_S = 1.0
REST_SPREAD_S = 0.5
# Further refusals of requests that were on their way change nothing.
MIN_REST_LEFT_S = 0.5
_log = logs.get_logger("signals")


class TargetSignals:
    """Records the signals of targets, and tells peers what they must know.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
        record_limits: Called for each answer with the target, all limits that
            the answer names, and the time at which the request was sent.
        mark_leaving: Called with a target that leaves; its lifetime gets no
            new requests of any instance then.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
        record_limits: Callable[[str, Sequence[str], float], None],
        *,
        mark_leaving: Callable[[targets.TargetRecord], None],
    ) -> None:
        """Registers the handler for what peers tell."""
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self.record_limits = record_limits
        self.mark_leaving = mark_leaving
        hub.register_handler(messages.TargetFull, self._on_full)

    def record_answer(
        self, record: targets.TargetRecord, signals: ports.Signals, at: float
    ) -> None:
        """Records the signals of one answer.

        Args:
            record: The target.
            signals: What its answer tells of it.
            at: Monotonic time at which the request was sent, in seconds.
        """
        self.record_limits(record.identity, signals.limits, at)
        is_brittle = self._decode_brittle(record, signals.brittle)
        self._set_brittle(record.identity, record.incarnation, is_brittle)
        if signals.is_leaving:
            self.mark_leaving(record)
        self._obey_rest(record, signals.rests)
        self._record_cold_time(record, signals.cold_times, at)
        if signals.is_refused and is_brittle:
            message = messages.TargetFull(record.identity, record.incarnation)
            if self._on_full(self.hub.local_name, message):
                self.hub.broadcast(self._entry_peers(), message)

    def _obey_rest(
        self, record: targets.TargetRecord, values: Sequence[str]
    ) -> None:
        """Sends a target nothing for as long as it asks.

        The rest is for this instance alone; others may have been told nothing.
        """
        try:
            rest_s = rests.parse_rest(values)
        except rests.RestError as error:
            _log.warning(
                "rest not understood",
                target=record.identity,
                detail=str(error),
                rest_s=rests.DEFAULT_REST_S,
            )
            rest_s = rests.DEFAULT_REST_S
        if not rest_s:
            return
        until = context_lib.monotonic() + rest_s
        if self.context.targets.rest(
            record.identity, record.incarnation, until
        ):
            self._log_rest(record.identity, rest_s, "asked for it", "target")

    def _record_cold_time(
        self, record: targets.TargetRecord, values: Sequence[str], at: float
    ) -> None:
        """Records how long a target stays cold, and tells peers of changes."""
        try:
            cold_s = cold_targets.parse_cold_time(values)
        except cold_targets.ColdTimeError as error:
            _log.warning(
                "cold time not understood",
                target=record.identity,
                detail=str(error),
            )
            return
        if cold_s is None:
            return
        identity, incarnation = record.identity, record.incarnation
        now = context_lib.monotonic()
        if self.context.targets.set_cold(
            identity, incarnation, cold_s, now, sent_at=at
        ):
            self.context.record_cold_change(identity, "target")
            self.hub.broadcast(
                self.gossip.peers_in_region(),
                messages.TargetCold(identity, incarnation, cold_s),
            )

    def _log_rest(
        self, identity: str, rest_s: float, reason: str, source: str
    ) -> None:
        self.context.metrics.rests.labels(reason).inc()
        _log.info(
            "target rests",
            target=identity,
            rest_s=round(rest_s, 3),
            reason=reason,
            source=source,
        )

    def _decode_brittle(
        self, record: targets.TargetRecord, values: Sequence[str]
    ) -> bool:
        """Returns whether a target says that it is brittle.

        How many requests it may turn away does not matter: none should be. A
        value that is no number is taken for the word of a brittle target.
        """
        try:
            limits_lib.parse_limit(values)
        except limits_lib.LimitError as error:
            _log.warning(
                "brittle target not understood",
                target=record.identity,
                detail=str(error),
            )
        return bool(values)

    def _set_brittle(
        self, identity: str, incarnation: int, is_brittle: bool
    ) -> None:
        if self.context.targets.set_brittle(
            identity, incarnation, is_brittle=is_brittle
        ):
            _log.info(
                "target is brittle" if is_brittle else "target is sound",
                target=identity,
            )

    def _entry_peers(self) -> list[str]:
        return [
            name
            for name in self.gossip.peers_in_region()
            if not self.gossip.is_control_instance(name)
        ]

    def _on_full(self, peer: str, message: messages.TargetFull) -> bool:
        """Lets a target rest; returns whether this is news."""
        table = self.context.targets
        entry = table.entries.get(message.identity)
        now = context_lib.monotonic()
        if entry is None:
            return False
        self._set_brittle(message.identity, message.incarnation, True)
        # The rests of the instances do not end together.
        until = now + FULL_REST_S + self.context.rng.uniform(0, REST_SPREAD_S)
        if entry.resting_until > now + MIN_REST_LEFT_S:
            return False
        if not table.rest(message.identity, message.incarnation, until):
            return False
        self._log_rest(message.identity, until - now, "no room", peer)
        return True
