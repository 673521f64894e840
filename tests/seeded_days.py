"""Random days by seed, many of them by hand in processes of their own."""

import multiprocessing
import sys

import simulated_runners
import structlog

PROCESSES = 4
CRITICAL = 50


class _Attributes:
    """Sets attributes for good, in a process of its own."""

    def setattr(self, owner, name, value):
        setattr(owner, name, value)


def run_day(day, make_fleet, monkeypatch):
    """Plays a day in virtual time.

    Args:
        day: Plays itself on a fleet and tells the problems.
        make_fleet: Returns the fleet; called within the event loop.
        monkeypatch: Sets the clock.

    Returns:
        The fleet and the problems.
    """

    async def run():
        fleet = make_fleet()
        await day.play(fleet)
        return fleet

    fleet = simulated_runners.run_in_virtual_time(run, monkeypatch)
    return fleet, list(day.problems(fleet))


def play_seeds(describe):
    """Plays the days of the seeds that the command line names.

    Args:
        describe: Returns the result of a seed, which it is given together
            with what replaces ``monkeypatch``.

    Returns:
        The results, ordered by seed.
    """
    first, end = map(int, sys.argv[1:3])
    with multiprocessing.Pool(PROCESSES, _silence_logs) as pool:
        arguments = ((seed, _Attributes()) for seed in range(first, end))
        return pool.starmap(describe, arguments, chunksize=1)


def _silence_logs():
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(CRITICAL)
    )
