"""Datagrams of the membership protocol."""

from typing import Literal

import msgspec


class Member(msgspec.Struct, rename="camel", frozen=True):
    """State of an instance, as gossiped between instances.

    Attributes:
        name: Name of the instance.
        region: Region; all members of a region know each other.
        zone: Availability zone.
        address: ``host:port`` of the peer links.
        incarnation: Number that only the instance itself raises, for example
            to refute a suspicion.
        status: Status of the instance, as seen by the sender.
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
    """Direct probe of an instance.

    Attributes:
        sequence: Number that the ack repeats.
        version: Document version that the sender serves.
        updates: Piggybacked states of members.
        joining: Whether the sender has just started and asks for all members
            that the receiver knows.
        known: Number of members that a joining sender knows already; 0 from
            instances of the previous release.
    """

    sequence: int
    version: int
    updates: list[Member]
    joining: bool = False
    known: int = 0


class PingRequest(msgspec.Struct, rename="camel", frozen=True):
    """Indirect probe: asks the receiver to ping another instance.

    Attributes:
        sequence: Number that the forwarded ack repeats.
        target: Name of the instance to ping.
        updates: Piggybacked states of members.
    """

    sequence: int
    target: str
    updates: list[Member]


class Ack(msgspec.Struct, rename="camel", frozen=True):
    """Reply to a probe, sent by the target or forwarded for it.

    Attributes:
        sequence: Number of the ping or ping request.
        about: Name of the instance that is alive.
        version: Document version that ``about`` serves.
        updates: Piggybacked states of members.
    """

    sequence: int
    about: str
    version: int
    updates: list[Member]


Message = Ping | PingRequest | Ack
