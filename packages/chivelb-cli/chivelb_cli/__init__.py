"""The ``chivelb`` command line."""
