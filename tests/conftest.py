"""Fixtures of all tests."""

import gc

import pytest


@pytest.fixture(autouse=True)
def finalize_leftovers():
    """Finalizes what a test left at its end, and not within a later test.

    A later test may be parsing source code at that moment. If a finalizer
    fails then, its traceback is formatted, which parses source code too;
    Python 3.11 does not support that and raises a ``SystemError``.
    """
    yield
    gc.collect()


def pytest_sessionstart(session):
    """Exempts what was imported from the collections after each test."""
    gc.collect()
    gc.freeze()
