"""Subcommands of chivelb."""
