"""HTTP endpoints for callers, operators and targets."""
