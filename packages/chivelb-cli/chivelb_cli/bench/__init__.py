"""Workloads, scenarios and measurements."""
