"""The chivelb command: everything for people."""
