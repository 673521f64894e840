"""Deterministic output of the simulated engine.

The text depends on the cache salt, weight version, prompt and token position.
A client computes the same text and compares, which detects truncated answers
and answers that belong to another request, workspace or weight version.
"""

import hashlib

VIOLATION_TOKEN = "VIOLATION"


def token_text(salt: str, version: str, prompt: bytes, position: int) -> str:
    """Returns the text of one generated token."""
    seed = f"{salt}/{version}/{position}/".encode() + prompt[-64:]
    digest = hashlib.blake2b(seed, digest_size=3).hexdigest()
    return f" {digest}"


def expected_text(salt: str, version: str, prompt: bytes, tokens: int) -> str:
    """Returns the complete text expected for a prompt.

    Args:
        salt: Cache salt of the workspace and service.
        version: Weight version.
        prompt: UTF-8 prompt.
        tokens: Number of generated tokens.
    """
    return "".join(
        token_text(salt, version, prompt, position)
        for position in range(tokens)
    )


def block_content(key: str) -> bytes:
    """Returns the expected content of a KV cache block."""
    return hashlib.blake2b(f"kv/{key}".encode(), digest_size=16).digest()


def checksum(content: bytes) -> str:
    """Returns the checksum of a block's content."""
    return hashlib.blake2b(content, digest_size=8).hexdigest()
