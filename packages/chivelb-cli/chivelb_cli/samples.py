"""Sample configuration and prompts for demos, tests and benchmarks."""

import hashlib
import random

from chivelb_core import kv_cache

WORDS = (
    "worktop oak hinge drawer larder plinth cornice sink tap oven hob shelf "
    "panel door edge miter carcass laminate granite quartz diary channel "
    "evening household mood viewer minutes programme news football film"
).split()


def workspace_key(name: str) -> str:
    """Returns the API key of a sample workspace."""
    return f"key-of-{name}"


def workspace_secret(name: str) -> str:
    """Returns the cache secret of a sample workspace, hex-encoded."""
    return hashlib.sha256(f"secret-of-{name}".encode()).hexdigest()


def workspace_salt(name: str, service: str) -> str:
    """Returns the cache salt of a sample workspace for a service."""
    return kv_cache.cache_salt(workspace_secret(name), service)


def sample_document(
    *,
    workspaces: list[str],
    model_service: str = "estimator-lm",
    plain_service: str = "fitter-portal",
    goal: str = "latency",
    policy: str = "expected_cost",
    keeping: str = "value",
    versions: tuple[str, ...] = ("v1",),
    limits: dict | None = None,
) -> dict:
    """Returns a configuration document as a JSON-compatible dictionary.

    Its only rule declares check-ins at the plain service as not repeatable:
    a check-in is not idempotent and must not be retried after an unknown
    outcome.

    Args:
        workspaces: Names of the workspaces.
        model_service: Name of the model service.
        plain_service: Name of the plain (non-model) service.
        goal: Routing goal of the model service, such as ``latency``.
        policy: Routing policy of the model service.
        keeping: Retention policy of the KV cache stores: ``value`` keeps the
            blocks with the highest expected saving, ``recency`` the most
            recently used ones, ``none`` keeps nothing.
        versions: Weight versions; the first one is current.
        limits: Additional limits; a ``keeping`` in them overrides the
            argument of that name.
    """
    return {
        "services": {
            model_service: {
                "kind": "model",
                "model": "lm",
                "goal": goal,
                "policy": policy,
            },
            plain_service: {"kind": "plain", "timeout_s": 5.0},
        },
        "workspaces": {
            name: {
                "key_hashes": [
                    hashlib.sha256(workspace_key(name).encode()).hexdigest()
                ],
                "cache_secret": workspace_secret(name),
                "services": [model_service, plain_service],
            }
            for name in workspaces
        },
        "models": {"lm": {"versions": list(versions), "current": versions[0]}},
        "rules": {
            "check-in": {
                "service": plain_service,
                "path": "/checkin",
                "methods": ["POST"],
                "repeatable": False,
            }
        },
        "limits": {"keeping": keeping, **(limits or {})},
    }


def make_prompt(rng: random.Random, tokens: int) -> str:
    """Returns a random prompt of ``tokens`` tokens.

    A token is estimated as four bytes, as in
    ``kv_cache.keys.TEXT_BYTES_PER_TOKEN``; the words are ASCII, so that a
    character is one byte.
    """
    words: list[str] = []
    size = 0
    while size < tokens * 4:
        word = rng.choice(WORDS)
        words.append(word)
        size += len(word) + 1
    return " ".join(words)[: tokens * 4]
