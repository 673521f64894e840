"""Decision logic of chivelb, without I/O, clocks or randomness."""
