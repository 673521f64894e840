"""Stored KV cache: block keys, the block directory and store tables."""

from chivelb_core.kv_cache.directory import Directory
from chivelb_core.kv_cache.keys import anchor_key
from chivelb_core.kv_cache.keys import block_keys
from chivelb_core.kv_cache.keys import cache_salt

__all__ = ["Directory", "anchor_key", "block_keys", "cache_salt"]
