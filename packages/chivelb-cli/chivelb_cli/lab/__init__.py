"""Simulated runners, KV cache stores, weight store and plain targets."""
