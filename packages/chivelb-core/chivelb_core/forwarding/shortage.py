"""What a call waits for at the targets of its service."""

import collections
from collections.abc import Iterable

from chivelb_core.document import model as model_lib
from chivelb_core.forwarding import call as call_lib
from chivelb_core.forwarding import choice

NO_TARGET = "target"
SLOTS = "slot"
KV_CACHE = "kv_cache"
PREFILL = "prefill"
TURN = "turn"


def shortage_at(
    call: call_lib.Call,
    candidate: choice.TargetCandidate,
    engine: model_lib.EngineConfig,
) -> str:
    """Returns what one runner lacks for a call.

    Returns:
        ``SLOTS``, ``KV_CACHE`` or ``PREFILL``: the runner has too many prompt
        tokens that await prefill. ``TURN`` if it has room: other calls go
        first, or what is known of its load is too old.
    """
    if candidate.running >= engine.slots:
        return SLOTS
    if choice.has_capacity(call, candidate, engine):
        return TURN
    if candidate.used_kv_tokens + call.mean_kv_tokens > engine.kv_tokens:
        return KV_CACHE
    return PREFILL


def main_shortage(
    call: call_lib.Call,
    candidates: Iterable[choice.TargetCandidate],
    engine: model_lib.EngineConfig | None,
) -> str:
    """Returns what most targets lack for a call.

    Args:
        call: The call.
        candidates: Its eligible targets with their load.
        engine: Engine of the service; None for a plain service.
    """
    if engine is None or call.prompt is None:
        counts = collections.Counter(
            SLOTS if c.running >= c.record.slots else TURN for c in candidates
        )
    else:
        counts = collections.Counter(
            shortage_at(call, candidate, engine) for candidate in candidates
        )
    return counts.most_common(1)[0][0] if counts else NO_TARGET
