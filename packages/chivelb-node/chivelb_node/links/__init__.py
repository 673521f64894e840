"""Connections that this instance opens: targets, stores and peers."""
