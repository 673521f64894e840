"""Refuses calls that may crash targets, and records which may.

A request may crash targets as a whole, known by its fingerprint, or because of
a part of its prompt that other prompts share.
"""

from collections.abc import Callable

from chivelb_core import codes
from chivelb_core import forwarding
from chivelb_core import targets
from chivelb_core.calls import part_suspects
from chivelb_core.calls import suspects as suspects_lib

from chivelb_node import context as context_lib
from chivelb_node.edge import responses
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

MAX_LOGGED_PARTS = 8
_log = logs.get_logger("suspects")


class CrashPolicy:
    """Decides which calls may be sent, by the known crashes of targets.

    Attributes:
        context: Shared state of the instance.
        broadcast_observation: Sends peers an observation: that a request was
            in progress when a target crashed, or that a crash-suspect request
            has completed and is no longer a suspect.
        broadcast_evidence: Sends peers evidence on parts of prompts.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        *,
        broadcast_observation: Callable[[suspects_lib.CrashObservation], None],
        broadcast_evidence: Callable[[messages.PartEvidence], None],
    ) -> None:
        """Creates the policy; its state is that of the context."""
        self.context = context
        self.broadcast_observation = broadcast_observation
        self.broadcast_evidence = broadcast_evidence

    def check(self, call: forwarding.Call) -> None:
        """Returns if a call may be sent to a target now.

        Raises:
            responses.RequestError: It may crash the target.
        """
        now = context_lib.monotonic()
        if self.context.crash_suspects.is_refused(call.fingerprint, now):
            raise responses.RequestError(codes.SUSPECT)
        verdict = self._judge(call, now)
        if verdict is part_suspects.Verdict.REFUSE:
            raise responses.RequestError(codes.SUSPECT, "a part of the prompt")
        if verdict is part_suspects.Verdict.TRY and not call.on_trial:
            call.on_trial = True
            self._record_trial(call, now)

    def is_refused(self, call: forwarding.Call, now: float) -> bool:
        """Returns whether a part of a call's prompt is refused now."""
        return self._judge(call, now) is part_suspects.Verdict.REFUSE

    def _judge(
        self, call: forwarding.Call, now: float
    ) -> part_suspects.Verdict:
        return self.context.part_suspects.judge(
            call.part_keys, now, on_trial=call.on_trial
        )

    def _record_trial(self, call: forwarding.Call, now: float) -> None:
        table = self.context.part_suspects
        parts = [part for part in call.part_keys if part in table.refusable]
        table.add_trial(parts, now)
        self.broadcast_evidence(messages.PartEvidence(trials=parts))
        _log.info(
            "request sent on trial", request_id=call.request_id, parts=parts
        )

    # What happened to calls that were sent.

    def record_crash(
        self,
        call: forwarding.Call,
        record: targets.TargetRecord,
        *,
        has_begun: bool,
    ) -> None:
        """Records that a target is presumed to have crashed.

        Args:
            call: The call that was in progress there.
            record: The target.
            has_begun: Whether the answer had gone on behind its first event;
                then its parts are no suspects.
        """
        target = _incarnation(record)
        self._record_observation(
            suspects_lib.CrashObservation(call.fingerprint, target)
        )
        if has_begun or not call.part_keys:
            return
        call.on_trial = False
        now = context_lib.monotonic()
        table = self.context.part_suspects
        crash = part_suspects.PartCrash(target, list(call.part_keys))
        new_parts = table.add_crash(crash, now)
        if not new_parts:
            return
        self.broadcast_evidence(messages.PartEvidence([crash]))
        _log.warning(
            "parts suspected",
            request_id=call.request_id,
            target=target,
            crashes={
                part: len(table.suspects[part].crashes)
                for part in new_parts[:MAX_LOGGED_PARTS]
            },
            refused=[part for part in new_parts if part in table.refusable][
                :MAX_LOGGED_PARTS
            ],
        )

    def record_answer(self, call: forwarding.Call) -> None:
        """Records that an answer has gone on behind its first event."""
        now = context_lib.monotonic()
        sound = self.context.part_suspects.add_sound(call.part_keys, now)
        if sound:
            self.broadcast_evidence(messages.PartEvidence(sound=sound))
            _log.info(
                "parts are sound", request_id=call.request_id, parts=sound
            )

    def record_events(self, record: targets.TargetRecord) -> None:
        """Records that a target sent events, so that it has not crashed."""
        table = self.context.part_suspects
        if not table.by_target:
            return
        target = _incarnation(record)
        if table.add_living_target(target, context_lib.monotonic()):
            self.broadcast_evidence(messages.PartEvidence(living=[target]))
            _log.info("target had not crashed", target=target)

    def record_success(self, call: forwarding.Call) -> None:
        """Records that a call got its whole answer."""
        now = context_lib.monotonic()
        if self.context.crash_suspects.is_suspect(call.fingerprint, now):
            self._record_observation(
                suspects_lib.CrashObservation(
                    call.fingerprint, "", cleared=True
                )
            )

    def _record_observation(
        self, observation: suspects_lib.CrashObservation
    ) -> None:
        now = context_lib.monotonic()
        if self.context.crash_suspects.add_observation(observation, now):
            self.broadcast_observation(observation)


def _incarnation(record: targets.TargetRecord) -> str:
    """Returns what tells one lifetime of a target from the others."""
    return f"{record.identity}/{record.incarnation}"
