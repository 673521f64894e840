"""Datagrams of the membership protocol."""

from typing import Literal

import msgspec


class Member(msgspec.Struct, rename="camel", frozen=True):
    """Word on an instance.

    Attributes:
        name: Its name.
        region: Its region; members of a region know each other.
        zone: Its availability zone.
        address: ``host:port`` of its peer links.
        incarnation: Raised by the instance itself to refute a suspicion.
        status: What is thought of it.
        anchor: Whether it is known in all regions (a voter or keeper).
    """

    name: str
    region: str
    zone: str
    address: str
    incarnation: int
    status: Literal["alive", "suspect", "dead", "left"] = "alive"
    anchor: bool = False


class Ping(msgspec.Struct, rename="camel", frozen=True):
    """Asks an instance for a sign of life.

    Attributes:
        sequence: Number that the ack repeats.
        version: Document version in force at the sender.
        updates: Piggybacked words on members.
    """

    sequence: int
    version: int
    updates: list[Member]


class PingRequest(msgspec.Struct, rename="camel", frozen=True):
    """Asks an instance to ping another on behalf of the sender."""

    sequence: int
    target: str
    updates: list[Member]


class Ack(msgspec.Struct, rename="camel", frozen=True):
    """A sign of life, its own or passed on for ``about``."""

    sequence: int
    about: str
    version: int
    updates: list[Member]


Message = Ping | PingRequest | Ack
