"""Typed messages between instances, encoded by Cap'n Proto."""
