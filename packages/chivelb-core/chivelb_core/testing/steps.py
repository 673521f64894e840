"""Steps that the simulations share: messages in flight and random choice."""

from collections.abc import Callable
import random
from typing import Any

# Random positions of messages in flight; positions count modulo their number.
POSITION_LIMIT = 1 << 16


def random_position(rng: random.Random) -> int:
    """Returns a random position for ``take_packet`` and ``drop_packet``."""
    return rng.randrange(POSITION_LIMIT)


def take_packet(
    in_flight: list[Any], position: int, *, duplicate: bool
) -> Any | None:
    """Returns a message in flight for delivery; None if there is none.

    Args:
        in_flight: Messages in flight, oldest first.
        position: Position in ``in_flight``, modulo its length.
        duplicate: Whether a copy stays in flight.
    """
    if not in_flight:
        return None
    position %= len(in_flight)
    packet = in_flight[position]
    if not duplicate:
        del in_flight[position]
    return packet


def drop_packet(in_flight: list[Any], position: int) -> None:
    """Drops a message in flight, if there is one.

    Args:
        in_flight: Messages in flight, oldest first.
        position: Position in ``in_flight``, modulo its length.
    """
    if in_flight:
        del in_flight[position % len(in_flight)]


def run_weighted_step(
    steps: list[tuple[float, Callable[[], Any]]], rng: random.Random
) -> None:
    """Runs one of the steps, chosen at random by its weight.

    Args:
        steps: Weight and function of each step.
        rng: Source of randomness.
    """
    weights = [weight for weight, _ in steps]
    rng.choices([step for _, step in steps], weights)[0]()
