"""Decisions of chivelb, free of sockets, clocks, files and randomness."""
