"""Forwarding of requests to targets without re-encoding their bytes."""
