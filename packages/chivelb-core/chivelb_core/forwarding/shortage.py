"""What a call waits for at the targets of its service."""

import collections
from collections.abc import Container
from collections.abc import Iterable
import dataclasses

from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.forwarding import choice
from chivelb_core.forwarding import headroom
from chivelb_core.forwarding import work_estimates

NO_TARGET = "target"
SLOTS = "slot"
KV_CACHE = "kv_cache"
PREFILL = "prefill"
HEADROOM = "headroom"
TURN = "turn"


def shortage_at(
    call: call_lib.Call,
    candidate: choice.TargetCandidate,
    engine: model_lib.EngineConfig,
    *,
    reserve: headroom.Reserve = headroom.NOTHING,
    kept: Container[str] = (),
    estimates: work_estimates.WorkEstimates = work_estimates.START_VALUES,
) -> str:
    """Returns what one runner lacks for a call.

    Args:
        call: The call.
        candidate: The runner with its load.
        engine: Engine of the service.
        reserve: What the call leaves to more urgent ones.
        kept: Identities of runners that the call is not sent to.
        estimates: How fast runners work.

    Returns:
        ``SLOTS``, ``KV_CACHE`` or ``PREFILL``: the runner has too many prompt
        tokens that await prefill. ``HEADROOM`` if its room is left to more
        urgent calls. ``TURN`` if it has room: other calls go first, or what is
        known of its load is too old.
    """
    if candidate.running >= engine.slots:
        return SLOTS
    if choice.has_capacity(call, candidate, engine, estimates=estimates):
        if candidate.record.identity in kept:
            return HEADROOM
        if headroom.has_headroom(call, candidate, engine, reserve):
            return TURN
        return HEADROOM
    if candidate.used_kv_tokens + call.mean_kv_tokens > engine.kv_tokens:
        return KV_CACHE
    without_prompts = dataclasses.replace(candidate, pending_tokens=0)
    if choice.has_capacity(call, without_prompts, engine, estimates=estimates):
        return PREFILL
    return HEADROOM


def main_shortage(
    call: call_lib.Call,
    candidates: Iterable[choice.TargetCandidate],
    engine: model_lib.EngineConfig | None,
    *,
    reserve: headroom.Reserve = headroom.NOTHING,
    kept: Container[str] = (),
    estimates: work_estimates.WorkEstimates = work_estimates.START_VALUES,
) -> str:
    """Returns what most targets lack for a call.

    Args:
        call: The call.
        candidates: Its eligible targets with their load.
        engine: Engine of the service; None for a plain service.
        reserve: What the call leaves to more urgent ones.
        kept: Identities of runners that the call is not sent to.
        estimates: How fast runners work.
    """
    if engine is None or call.prompt is None:
        counts = collections.Counter(
            SLOTS if c.running >= c.record.slots else TURN for c in candidates
        )
    else:
        counts = collections.Counter(
            shortage_at(
                call,
                candidate,
                engine,
                reserve=reserve,
                kept=kept,
                estimates=estimates,
            )
            for candidate in candidates
        )
    return counts.most_common(1)[0][0] if counts else NO_TARGET
