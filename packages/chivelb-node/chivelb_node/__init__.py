"""The chivelbd daemon: I/O services around the logic of chivelb_core."""
