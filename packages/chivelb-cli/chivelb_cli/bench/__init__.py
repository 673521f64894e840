"""Workloads, fault scenarios and benchmarks."""
