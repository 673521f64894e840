"""Files in the data directory, synced before anything depends on them."""
