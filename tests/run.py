"""Runs all tests; lets pass only failures that KNOWN-RED.txt names.

Fails if any other test fails, and if an entry names a test that does not
exist.
"""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> dict[str, str]:
    """Returns the entries by test id."""
    entries = {}
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            entries[line.split("|")[0].strip()] = line
    return entries


class Recorder:
    """Collects test ids and failures, also those of worker processes."""

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.failed: set[str] = set()
        self.broken: list[str] = []

    def pytest_runtest_logreport(self, report) -> None:
        self.seen.add(report.nodeid)
        if report.failed:
            self.failed.add(report.nodeid)

    def pytest_collectreport(self, report) -> None:
        if report.failed:
            self.broken.append(report.nodeid)


def main() -> int:
    """Returns the exit code for CI."""
    recorder = Recorder()
    arguments = ["-n", "5", "--dist", "loadgroup", *sys.argv[1:]]
    status = int(pytest.main(arguments, plugins=[recorder]))
    known = read_known_red()
    for name in sorted(recorder.failed & known.keys()):
        print(f"KNOWN RED: {known[name]}")
    missing = sorted(known.keys() - recorder.seen)
    if len(sys.argv) == 1 and missing:
        print(f"KNOWN-RED.txt names tests that don't exist: {missing}")
        return 1
    if status in (0, 1) and not recorder.broken:
        return 1 if recorder.failed - known.keys() else 0
    return status


if __name__ == "__main__":
    sys.exit(main())
