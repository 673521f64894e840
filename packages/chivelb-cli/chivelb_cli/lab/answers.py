"""What a stand-in engine answers: a function of all that must matter.

A checking client computes the same text, so that a torn, foreign or
mixed-up answer is seen.
"""

import hashlib

VIOLATION = "VIOLATION"


def token_text(salt: str, version: str, prompt: bytes, position: int) -> str:
    """Returns the text of one generated token."""
    seed = f"{salt}/{version}/{position}/".encode() + prompt[-64:]
    digest = hashlib.blake2b(seed, digest_size=3).hexdigest()
    return f" {digest}"


def answer_text(salt: str, version: str, prompt: bytes, tokens: int) -> str:
    """Returns the whole text that a prompt must yield.

    Args:
        salt: Cache salt of workspace and service.
        version: Weight version.
        prompt: UTF-8 prompt.
        tokens: Number of tokens.
    """
    return "".join(
        token_text(salt, version, prompt, position)
        for position in range(tokens)
    )


def block_content(key: str) -> bytes:
    """Returns what the KV cache of a block must hold."""
    return hashlib.blake2b(f"kv/{key}".encode(), digest_size=16).digest()


def checksum(content: bytes) -> str:
    """Returns the checksum of a block's content."""
    return hashlib.blake2b(content, digest_size=8).hexdigest()
