"""Helpers for tests: aggregates under crash, loss, delay and cuts."""
