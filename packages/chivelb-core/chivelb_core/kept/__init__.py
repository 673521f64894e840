"""Kept KV cache: block keys, the directory and the stores' tables."""

from chivelb_core.kept.directory import Directory
from chivelb_core.kept.keys import block_keys
from chivelb_core.kept.keys import cache_salt

__all__ = ["Directory", "block_keys", "cache_salt"]
