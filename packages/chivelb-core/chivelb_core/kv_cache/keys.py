"""Block keys: a keyed hash chain over workspace, weight version and prompt.

Different workspaces or weight versions never share a key, so isolation does
not depend on filtering; docs/design/kept-cache.md describes the design of
stored KV cache.
"""

from collections.abc import Iterator
import hashlib

# Estimated size of a token's UTF-8 text, not of its KV cache.
TEXT_BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 64
BLOCK_BYTES = TEXT_BYTES_PER_TOKEN * BLOCK_TOKENS
KEY_BYTES = 16
# Position of the anchor block, counted from 1; in a shorter prompt the last
# block takes its place.
ANCHOR_BLOCK_NUMBER = 8


def count_tokens(text: bytes) -> int:
    """Returns the estimated number of tokens of a UTF-8 text."""
    return -(-len(text) // TEXT_BYTES_PER_TOKEN)


def cache_salt(workspace_secret: str, service: str) -> str:
    """Returns the salt that binds a service's block keys to a workspace.

    Args:
        workspace_secret: Secret of the workspace, in hex.
        service: Name of the service.

    Returns:
        32 hex digits, from which the secret can't be derived.
    """
    digest = hashlib.blake2b(
        service.encode(),
        key=bytes.fromhex(workspace_secret),
        digest_size=KEY_BYTES,
    )
    return digest.hexdigest()


def iterate_keys(salt: str, version: str, prompt: bytes) -> Iterator[str]:
    """Yields the key of each full block of a prompt, in order."""
    seed = f"{salt}/{version}".encode()
    previous = hashlib.blake2b(seed, digest_size=KEY_BYTES).digest()
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        previous = hashlib.blake2b(
            block, key=previous, digest_size=KEY_BYTES
        ).digest()
        yield previous.hex()


def block_keys(salt: str, version: str, prompt: bytes) -> list[str]:
    """Returns the keys of a prompt's full blocks.

    Args:
        salt: Result of ``cache_salt``.
        version: Weight version that computes the blocks.
        prompt: Prompt in UTF-8.

    Returns:
        One key of 32 hex digits for each full block of ``BLOCK_TOKENS``.

    Example:
        >>> salt = cache_salt("00" * 16, "lm")
        >>> len(block_keys(salt, "v1", b"x" * 600))
        2
    """
    return list(iterate_keys(salt, version, prompt))


def anchor_key(keys: list[str]) -> str:
    """Returns the key that selects a prompt's directory shard and store.

    The anchor block lies after the prefix that the prompts of a workspace
    usually share, so that a busy workspace does not overload a single shard;
    see docs/design/kept-cache.md.

    Args:
        keys: Keys of the prompt's blocks, in order; at least one.

    Example:
        >>> anchor_key(["a", "b"])
        'b'
    """
    return keys[min(len(keys), ANCHOR_BLOCK_NUMBER) - 1]
