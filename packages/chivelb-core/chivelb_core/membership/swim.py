"""Aggregate of the instances that this one knows.

Follows SWIM (probe, indirect probe, suspicion, incarnation, piggybacked
updates). An instance knows all of its own region and only delegates and
anchors of other regions, so that its traffic does not grow with the fleet.
"""

import dataclasses
import hashlib
import math
import random

import msgspec

from chivelb_core.membership import messages

PROBE_PERIOD_S = 1.0
ACK_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
SUSPICION_FACTOR = 3.0
MAX_UPDATES = 8
RETRANSMIT_FACTOR = 3
DELEGATES_PER_REGION = 2
FORGET_DEAD_AFTER_S = 300.0
REVIVE_PERIOD_S = 5.0
PAUSE_S = 3.0

_RANK = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}


@dataclasses.dataclass(slots=True)
class MemberState:
    """An instance as this one knows it.

    Attributes:
        member: Newest word on it.
        changed_at: Time of the newest change of status, in seconds.
        version: Highest document version that it was heard to serve.
    """

    member: messages.Member
    changed_at: float
    version: int = 0


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that awaits its ack.

    Attributes:
        target: Name of the instance.
        sent_at: Time of the direct ping, in seconds.
        indirect: Whether others were asked to ping.
        for_peer: Who asked for it, with that peer's sequence; or None.
    """

    target: str
    sent_at: float
    indirect: bool = False
    for_peer: tuple[str, int] | None = None


class Swim:
    """Membership as seen by one instance.

    Rules: a member's incarnation never goes back; only the member itself
    raises it; ``left`` and ``dead`` give way only to a higher incarnation.

    Attributes:
        me: Word on this instance itself.
        members: The others by name.
        version: Document version that this instance serves.
    """

    __slots__ = (
        "me",
        "members",
        "version",
        "_rng",
        "_ring",
        "_probes",
        "_sequence",
        "_next_probe_at",
        "_updates",
        "_outbox",
        "_changes",
        "_ticked_at",
        "_revive_at",
    )

    def __init__(
        self, me: messages.Member, rng: random.Random, now: float
    ) -> None:
        """Creates a view without other members.

        Args:
            me: Word on this instance.
            rng: Source of randomness.
            now: Time in seconds.
        """
        self.me = me
        self.members: dict[str, MemberState] = {}
        self.version = 0
        self._rng = rng
        self._ring: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._sequence = rng.randrange(2**32)
        self._next_probe_at = now + rng.random() * PROBE_PERIOD_S
        self._updates: dict[str, int] = {me.name: 0}
        self._outbox: list[tuple[str, messages.Message]] = []
        self._changes: list[messages.Member] = []
        self._ticked_at = now
        self._revive_at = now

    # What others ask of the aggregate.

    def take_outbox(self) -> list[tuple[str, messages.Message]]:
        """Returns and clears the datagrams to send, by receiver."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def take_changes(self) -> list[messages.Member]:
        """Returns and clears the members whose status changed."""
        changes = self._changes
        self._changes = []
        return changes

    def alive(
        self, region: str | None = None, zone: str | None = None
    ) -> list[str]:
        """Returns the names of members not dead or left, in order.

        Args:
            region: Only members of this region; all of them when None.
            zone: Only members of this zone; all of them when None.
        """
        return sorted(
            name
            for name, state in self.members.items()
            if state.member.status in ("alive", "suspect")
            and region in (None, state.member.region)
            and zone in (None, state.member.zone)
        )

    def delegates(self, region: str) -> list[str]:
        """Returns the living delegates of a region, this one included."""
        names = self.alive(region)
        if region == self.me.region:
            names.append(self.me.name)
        names.sort(key=lambda name: _digest(f"{region}/{name}"))
        return names[:DELEGATES_PER_REGION]

    @property
    def is_delegate(self) -> bool:
        """Whether this instance is a delegate of its region."""
        return self.me.name in self.delegates(self.me.region)

    def highest_version(self) -> int:
        """Returns the highest document version heard from a member."""
        return max(
            (
                state.version
                for state in self.members.values()
                if state.member.status != "left"
            ),
            default=0,
        )

    # Inputs.

    def join(self, member: messages.Member, now: float) -> None:
        """Adds an instance known from the settings, unless known already."""
        if member.name != self.me.name and member.name not in self.members:
            self._set(member, now)

    def leave(self, now: float) -> None:
        """Tells a few members at once that this instance is leaving."""
        self.me = replace_member(
            self.me, status="left", incarnation=self.me.incarnation + 1
        )
        self._updates[self.me.name] = 0
        for name in self.alive(self.me.region) + self.alive():
            self._ping(name, now)

    def tick(self, now: float) -> None:
        """Lets time pass: probes, suspicions and forgetting."""
        if now - self._ticked_at > PAUSE_S:
            # This process was paused: its open probes prove nothing.
            self._probes.clear()
            for state in self.members.values():
                if state.member.status == "suspect":
                    state.changed_at = now
        self._ticked_at = now
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_PERIOD_S
            target = self._next_target()
            if target is not None:
                self._ping(target, now)
            self._revive(now)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> None:
        """Takes a datagram.

        Args:
            sender: Name of the sender, authenticated by the caller.
            message: The datagram.
            now: Time in seconds.
        """
        for update in message.updates:
            self._merge(update, now)
        known = self.members.get(sender)
        if known is not None and known.member.status != "alive":
            # The sender lives: let it hear what is said of it, to refute it.
            self._updates[sender] = 0
        match message:
            case messages.Ping():
                self._note_version(sender, message.version)
                self._reply(sender, message.sequence, self.me.name)
            case messages.PingRequest():
                self._ping(
                    message.target, now, for_peer=(sender, message.sequence)
                )
            case messages.Ack():
                self._on_ack(message, now)

    # Probing.

    def _next_target(self) -> str | None:
        while self._ring:
            name = self._ring.pop()
            if self._is_probed(name):
                return name
        self._ring = [name for name in self.members if self._is_probed(name)]
        self._rng.shuffle(self._ring)
        return self._ring.pop() if self._ring else None

    def _is_probed(self, name: str) -> bool:
        state = self.members.get(name)
        if state is None or state.member.status in ("dead", "left"):
            return False
        if state.member.region == self.me.region:
            return True
        return self.is_delegate and name in self.delegates(state.member.region)

    def _ping(
        self,
        name: str,
        now: float,
        *,
        for_peer: tuple[str, int] | None = None,
    ) -> None:
        if name not in self.members:
            return
        self._sequence += 1
        self._probes[self._sequence] = Probe(name, now, for_peer=for_peer)
        self._outbox.append(
            (
                name,
                messages.Ping(
                    self._sequence, self.version, self._pick_updates(name)
                ),
            )
        )

    def _reply(self, peer: str, sequence: int, about: str) -> None:
        version = self.version
        if about != self.me.name:
            version = self.members[about].version
        self._outbox.append(
            (
                peer,
                messages.Ack(
                    sequence, about, version, self._pick_updates(peer)
                ),
            )
        )

    def _on_ack(self, ack: messages.Ack, now: float) -> None:
        probe = self._probes.get(ack.sequence)
        if probe is None or probe.target != ack.about:
            return
        del self._probes[ack.sequence]
        self._note_version(ack.about, ack.version)
        state = self.members.get(ack.about)
        if state is not None and state.member.status == "suspect":
            state.member = replace_member(state.member, status="alive")
            state.changed_at = now
        if probe.for_peer is not None and ack.about in self.members:
            peer, sequence = probe.for_peer
            self._reply(peer, sequence, ack.about)

    def _note_version(self, name: str, version: int) -> None:
        state = self.members.get(name)
        if state is not None:
            state.version = max(state.version, version)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            waited = now - probe.sent_at
            if probe.for_peer is not None:
                if waited >= PROBE_PERIOD_S:
                    del self._probes[sequence]
            elif waited >= PROBE_PERIOD_S:
                del self._probes[sequence]
                self._suspect(probe.target, now)
            elif waited >= ACK_TIMEOUT_S and not probe.indirect:
                probe.indirect = True
                self._ask_others(sequence, probe.target)

    def _ask_others(self, sequence: int, target: str) -> None:
        others = [
            name
            for name in self.alive(self.me.region) or self.alive()
            if name != target
        ]
        helpers = self._rng.sample(others, min(INDIRECT_PROBES, len(others)))
        for helper in helpers:
            self._outbox.append(
                (
                    helper,
                    messages.PingRequest(
                        sequence, target, self._pick_updates(helper)
                    ),
                )
            )

    def _revive(self, now: float) -> None:
        """Pings a dead member now and then, for cuts that have healed."""
        if now < self._revive_at:
            return
        self._revive_at = now + REVIVE_PERIOD_S
        dead = [
            name
            for name, state in self.members.items()
            if state.member.status == "dead"
        ]
        if dead:
            # Sent without a probe: no answer changes nothing.
            name = self._rng.choice(dead)
            self._updates[name] = 0
            self._outbox.append(
                (
                    name,
                    messages.Ping(0, self.version, self._pick_updates(name)),
                )
            )

    # Status.

    def suspicion_s(self) -> float:
        """Returns how long a suspect may refute, in seconds."""
        size = len(self.alive(self.me.region)) + 2
        return SUSPICION_FACTOR * max(1.0, math.log10(size)) * PROBE_PERIOD_S

    def _suspect(self, name: str, now: float) -> None:
        state = self.members.get(name)
        if state is not None and state.member.status == "alive":
            self._set(replace_member(state.member, status="suspect"), now)

    def _check_suspects(self, now: float) -> None:
        limit = self.suspicion_s()
        for name, state in list(self.members.items()):
            member = state.member
            since = now - state.changed_at
            if member.status == "suspect" and since >= limit:
                self._set(replace_member(member, status="dead"), now)
            elif (
                member.status in ("dead", "left")
                and since >= FORGET_DEAD_AFTER_S
                and not member.anchor
            ):
                del self.members[name]
                self._updates.pop(name, None)

    def _merge(self, update: messages.Member, now: float) -> None:
        if update.name == self.me.name:
            self._refute(update)
            return
        state = self.members.get(update.name)
        if state is None:
            if self._is_wanted(update) and update.status in (
                "alive",
                "suspect",
            ):
                self._set(update, now)
            return
        known = state.member
        newer = update.incarnation > known.incarnation
        same = update.incarnation == known.incarnation
        if newer or (same and _RANK[update.status] > _RANK[known.status]):
            self._set(update, now)

    def _is_wanted(self, update: messages.Member) -> bool:
        if update.region == self.me.region or update.anchor:
            return True
        others = self.alive(update.region)
        return len(others) < DELEGATES_PER_REGION

    def _refute(self, update: messages.Member) -> None:
        if self.me.status == "left":
            return
        if update.incarnation < self.me.incarnation:
            return
        if update.status == "alive" and (
            update.incarnation == self.me.incarnation
        ):
            return
        self.me = replace_member(self.me, incarnation=update.incarnation + 1)
        self._updates[self.me.name] = 0

    def _set(self, member: messages.Member, now: float) -> None:
        state = self.members.get(member.name)
        if state is None:
            state = self.members[member.name] = MemberState(member, now)
        assert member.incarnation >= state.member.incarnation
        state.member = member
        state.changed_at = now
        self._updates[member.name] = 0
        self._changes.append(member)

    # Piggybacked updates.

    def _pick_updates(self, receiver: str) -> list[messages.Member]:
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        names = sorted(
            self._updates,
            key=lambda name: (
                name != receiver,
                -_RANK[self._word(name).status],
                self._updates[name],
            ),
        )[:MAX_UPDATES]
        picked = []
        for name in names:
            picked.append(self._word(name))
            self._updates[name] += 1
            if self._updates[name] >= limit and name != self.me.name:
                del self._updates[name]
        return picked

    def _word(self, name: str) -> messages.Member:
        if name == self.me.name:
            return self.me
        return self.members[name].member

    def check_invariants(self) -> None:
        """Asserts the rules of the class."""
        assert self.me.name not in self.members
        for name in self._updates:
            assert name == self.me.name or name in self.members


def replace_member(member: messages.Member, **changes) -> messages.Member:
    """Returns a member with some attributes changed."""
    return msgspec.structs.replace(member, **changes)


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
