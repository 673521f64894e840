"""Test simulations with crashes, message loss, delays and partitions."""
