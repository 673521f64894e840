"""State machine of the SWIM membership protocol on one instance.

Implements SWIM (probe, indirect probe, suspicion, incarnation, piggybacked
updates) without I/O. An instance tracks all members of its own region, but
only delegates and anchors of other regions, so that its traffic does not grow
with the number of instances of the whole site.
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
MAX_UPDATES_PER_DATAGRAM = 12
# A datagram with fewer updates also carries members that have not changed.
REFRESHED_PER_DATAGRAM = 5
RETRANSMIT_FACTOR = 6
# A suspect is pinged by every member after this fraction of the time that it
# has to refute, so that nobody declares a member dead that answers.
CONFIRMATION_FRACTION = 0.5
DELEGATES_PER_REGION = 2
DEAD_RETENTION_S = 300.0
DEAD_PROBE_PERIOD_S = 1.0
PAUSE_THRESHOLD_S = 3.0
# Time after the start in which an instance asks for all members.
JOINING_S = 8.0

_STATUS_PRECEDENCE = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}


@dataclasses.dataclass(slots=True)
class MemberState:
    """Local state of another instance.

    Attributes:
        member: Newest known state.
        changed_at: Monotonic time of the newest change of status, in seconds.
        version: Highest document version that it has reported.
        confirming: Whether this instance has pinged it since it became
            suspect.
    """

    member: messages.Member
    changed_at: float
    version: int = 0
    confirming: bool = False


@dataclasses.dataclass(slots=True)
class Probe:
    """A ping that awaits its ack.

    Attributes:
        target: Name of the instance.
        sent_at: Monotonic time of the direct ping, in seconds.
        indirect: Whether indirect probes were requested.
        requested_by: Name of the instance that requested the ping and the
            sequence of its request, or None for a probe of this instance.
    """

    target: str
    sent_at: float
    indirect: bool = False
    requested_by: tuple[str, int] | None = None


class Swim:
    """Membership as seen by one instance.

    Invariants: the incarnation of a member never decreases; only the member
    itself raises it; ``dead`` and ``left`` are replaced only by a higher
    incarnation, except that ``left`` replaces ``dead`` at the same one.

    Attributes:
        local_member: State of this instance.
        members: States of the other instances by name.
        version: Document version that this instance serves.
    """

    __slots__ = (
        "local_member",
        "members",
        "version",
        "_rng",
        "_probe_order",
        "_refresh_order",
        "_probes",
        "_sequence",
        "_next_probe_at",
        "_update_send_counts",
        "_outbox",
        "_changes",
        "_last_tick_at",
        "_joining_until",
        "_next_dead_probe_at",
    )

    def __init__(
        self, local_member: messages.Member, rng: random.Random, now: float
    ) -> None:
        """Creates a membership without other members.

        Args:
            local_member: State of this instance.
            rng: Source of randomness.
            now: Monotonic time in seconds.
        """
        self.local_member = local_member
        self.members: dict[str, MemberState] = {}
        self.version = 0
        self._rng = rng
        self._probe_order: list[str] = []
        self._refresh_order: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._sequence = rng.randrange(2**32)
        self._next_probe_at = now + rng.random() * PROBE_PERIOD_S
        self._update_send_counts: dict[str, int] = {local_member.name: 0}
        self._outbox: list[tuple[str, messages.Message]] = []
        self._changes: list[messages.Member] = []
        self._last_tick_at = now
        self._joining_until = now + JOINING_S
        self._next_dead_probe_at = now

    # Queries.

    def take_outbox(self) -> list[tuple[str, messages.Message]]:
        """Returns and clears the datagrams to send, each with its receiver."""
        outbox = self._outbox
        self._outbox = []
        return outbox

    def take_changes(self) -> list[messages.Member]:
        """Returns and clears the members whose status changed."""
        changes = self._changes
        self._changes = []
        return changes

    def live_members(
        self, region: str | None = None, zone: str | None = None
    ) -> list[str]:
        """Returns the sorted names of members that are alive or suspect.

        Args:
            region: Only members of this region; any region if None.
            zone: Only members of this zone; any zone if None.
        """
        return sorted(
            name
            for name, state in self.members.items()
            if state.member.status in ("alive", "suspect")
            and region in (None, state.member.region)
            and zone in (None, state.member.zone)
        )

    def delegates(self, region: str) -> list[str]:
        """Returns the delegates of a region, which may include this instance.

        Delegates are the ``DELEGATES_PER_REGION`` live members with the lowest
        hash of region and name, so that all instances choose the same ones.
        """
        names = self.live_members(region)
        if region == self.local_member.region:
            names.append(self.local_member.name)
        names.sort(key=lambda name: _digest(f"{region}/{name}"))
        return names[:DELEGATES_PER_REGION]

    @property
    def is_delegate(self) -> bool:
        """Whether this instance is a delegate of its region."""
        return self.local_member.name in self.delegates(
            self.local_member.region
        )

    def highest_version(self) -> int:
        """Returns the highest document version reported by a member."""
        return max(
            (
                state.version
                for state in self.members.values()
                if state.member.status != "left"
            ),
            default=0,
        )

    # Inputs.

    def add_seed(self, member: messages.Member, now: float) -> None:
        """Adds a seed instance from the settings, unless it is known."""
        if (
            member.name != self.local_member.name
            and member.name not in self.members
        ):
            self._set_member(member, now)

    def leave(self, now: float) -> None:
        """Marks this instance as left and pings all live members at once."""
        self.local_member = replace_member(
            self.local_member,
            status="left",
            incarnation=self.local_member.incarnation + 1,
        )
        self._update_send_counts[self.local_member.name] = 0
        for name in (
            self.live_members(self.local_member.region) + self.live_members()
        ):
            self._ping(name, now)

    def tick(self, now: float) -> None:
        """Runs the probes, suspicion time-outs and removals that are due."""
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            # This process was paused, so missing acks are no evidence that a
            # target failed, and suspects get the full time to refute.
            self._probes.clear()
            for state in self.members.values():
                if state.member.status == "suspect":
                    state.changed_at = now
        self._last_tick_at = now
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_PERIOD_S
            target = self._next_target()
            if target is not None:
                self._ping(target, now)
            self._probe_dead_member(now)

    def receive(
        self, sender: str, message: messages.Message, now: float
    ) -> None:
        """Handles a datagram.

        Args:
            sender: Name of the sender, authenticated by the caller.
            message: The datagram.
            now: Monotonic time in seconds.
        """
        for update in message.updates:
            self._merge(update, now)
        known = self.members.get(sender)
        if known is not None and known.member.status != "alive":
            # The sender is alive but not known as such: send it its status,
            # so that it refutes it with a higher incarnation.
            self._update_send_counts[sender] = 0
        match message:
            case messages.Ping():
                self.record_version(sender, message.version)
                self._reply(sender, message.sequence, self.local_member.name)
                if message.joining:
                    self._send_all_members(sender)
                if known is not None and known.member.status == "dead":
                    # Its ack will carry the refutation.
                    self._ping_unrecorded(sender)
            case messages.PingRequest():
                self._ping(
                    message.target, now, requested_by=(sender, message.sequence)
                )
            case messages.Ack():
                self._on_ack(message, now)

    # Probing.

    def _next_target(self) -> str | None:
        while self._probe_order:
            name = self._probe_order.pop()
            if self._is_probed(name):
                return name
        self._probe_order = [
            name for name in self.members if self._is_probed(name)
        ]
        self._rng.shuffle(self._probe_order)
        return self._probe_order.pop() if self._probe_order else None

    def _is_probed(self, name: str) -> bool:
        state = self.members.get(name)
        if state is None or state.member.status in ("dead", "left"):
            return False
        if state.member.region == self.local_member.region:
            return True
        return self.is_delegate and name in self.delegates(state.member.region)

    def _ping(
        self,
        name: str,
        now: float,
        *,
        requested_by: tuple[str, int] | None = None,
    ) -> None:
        if name not in self.members:
            return
        self._sequence += 1
        self._probes[self._sequence] = Probe(
            name, now, requested_by=requested_by
        )
        self._outbox.append(
            (
                name,
                messages.Ping(
                    self._sequence,
                    self.version,
                    self._pick_updates(name),
                    joining=now < self._joining_until,
                ),
            )
        )

    def _reply(self, peer: str, sequence: int, about: str) -> None:
        version = self.version
        if about != self.local_member.name:
            version = self.members[about].version
        self._outbox.append(
            (
                peer,
                messages.Ack(
                    sequence, about, version, self._pick_updates(peer)
                ),
            )
        )

    def _send_all_members(self, peer: str) -> None:
        """Sends all known members, in acks that answer no ping."""
        members = [state.member for state in self.members.values()]
        for start in range(0, len(members), MAX_UPDATES_PER_DATAGRAM):
            batch = members[start : start + MAX_UPDATES_PER_DATAGRAM]
            self._outbox.append(
                (
                    peer,
                    messages.Ack(
                        0, self.local_member.name, self.version, batch
                    ),
                )
            )

    def _on_ack(self, ack: messages.Ack, now: float) -> None:
        probe = self._probes.get(ack.sequence)
        if probe is None or probe.target != ack.about:
            return
        del self._probes[ack.sequence]
        self.record_version(ack.about, ack.version)
        state = self.members.get(ack.about)
        if state is not None and state.member.status == "suspect":
            state.member = replace_member(state.member, status="alive")
            state.changed_at = now
        if probe.requested_by is not None and ack.about in self.members:
            peer, sequence = probe.requested_by
            self._reply(peer, sequence, ack.about)

    def record_version(self, name: str, version: int) -> None:
        """Records the document version that a member has reported."""
        state = self.members.get(name)
        if state is not None:
            state.version = max(state.version, version)

    def _check_probes(self, now: float) -> None:
        for sequence, probe in list(self._probes.items()):
            elapsed_s = now - probe.sent_at
            if probe.requested_by is not None:
                if elapsed_s >= PROBE_PERIOD_S:
                    del self._probes[sequence]
            elif elapsed_s >= PROBE_PERIOD_S:
                del self._probes[sequence]
                self._mark_suspect(probe.target, now)
            elif elapsed_s >= ACK_TIMEOUT_S and not probe.indirect:
                probe.indirect = True
                self._send_ping_requests(sequence, probe.target)

    def _send_ping_requests(self, sequence: int, target: str) -> None:
        others = [
            name
            for name in self.live_members(self.local_member.region)
            or self.live_members()
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

    def _probe_dead_member(self, now: float) -> None:
        """Periodically pings a dead member, to detect a healed partition."""
        if now < self._next_dead_probe_at:
            return
        self._next_dead_probe_at = now + DEAD_PROBE_PERIOD_S
        dead = [
            name
            for name, state in self.members.items()
            if state.member.status == "dead"
        ]
        if dead:
            name = self._rng.choice(dead)
            self._update_send_counts[name] = 0
            self._ping_unrecorded(name)

    def _ping_unrecorded(self, name: str) -> None:
        """Pings a member without a probe: a missing ack has no effect."""
        self._outbox.append(
            (name, messages.Ping(0, self.version, self._pick_updates(name)))
        )

    # Status.

    def suspicion_timeout_s(self) -> float:
        """Returns the time within which a suspect may refute, in seconds."""
        size = len(self.live_members(self.local_member.region)) + 2
        return SUSPICION_FACTOR * max(1.0, math.log10(size)) * PROBE_PERIOD_S

    def _mark_suspect(self, name: str, now: float) -> None:
        state = self.members.get(name)
        if state is not None and state.member.status == "alive":
            self._set_member(
                replace_member(state.member, status="suspect"), now
            )

    def _check_suspects(self, now: float) -> None:
        timeout_s = self.suspicion_timeout_s()
        for name, state in list(self.members.items()):
            member = state.member
            elapsed_s = now - state.changed_at
            if member.status == "suspect":
                if elapsed_s >= timeout_s:
                    self._set_member(replace_member(member, status="dead"), now)
                elif (
                    elapsed_s >= CONFIRMATION_FRACTION * timeout_s
                    and not state.confirming
                ):
                    state.confirming = True
                    self._ping(name, now)
            elif (
                member.status in ("dead", "left")
                and elapsed_s >= DEAD_RETENTION_S
                and not member.anchor
            ):
                del self.members[name]
                self._update_send_counts.pop(name, None)

    def _merge(self, update: messages.Member, now: float) -> None:
        if update.name == self.local_member.name:
            self._refute(update)
            return
        state = self.members.get(update.name)
        if state is None:
            if self._should_track(update) and update.status in (
                "alive",
                "suspect",
            ):
                self._set_member(update, now)
            return
        known = state.member
        is_newer = update.incarnation > known.incarnation
        is_same = update.incarnation == known.incarnation
        if is_newer or (
            is_same
            and _STATUS_PRECEDENCE[update.status]
            > _STATUS_PRECEDENCE[known.status]
        ):
            self._set_member(update, now)

    def _should_track(self, update: messages.Member) -> bool:
        if update.region == self.local_member.region or update.anchor:
            return True
        others = self.live_members(update.region)
        return len(others) < DELEGATES_PER_REGION

    def _refute(self, update: messages.Member) -> None:
        if self.local_member.status == "left":
            return
        if update.incarnation < self.local_member.incarnation:
            return
        if update.status == "alive" and (
            update.incarnation == self.local_member.incarnation
        ):
            return
        self.local_member = replace_member(
            self.local_member, incarnation=update.incarnation + 1
        )
        self._update_send_counts[self.local_member.name] = 0

    def _set_member(self, member: messages.Member, now: float) -> None:
        state = self.members.get(member.name)
        if state is None:
            state = self.members[member.name] = MemberState(member, now)
        assert member.incarnation >= state.member.incarnation, (
            f"incarnation of {member.name} decreased from "
            f"{state.member.incarnation} to {member.incarnation}"
        )
        state.member = member
        state.changed_at = now
        state.confirming = False
        self._update_send_counts[member.name] = 0
        self._changes.append(member)

    # Piggybacked updates.

    def _pick_updates(self, receiver: str) -> list[messages.Member]:
        max_sends = RETRANSMIT_FACTOR * math.ceil(
            math.log10(len(self.members) + 2)
        )
        names = sorted(
            self._update_send_counts,
            key=lambda name: (
                # The receiver must learn its own status to refute it, and
                # others that of this instance if it has refuted one.
                name not in (receiver, self.local_member.name),
                self._update_send_counts[name],
                -_STATUS_PRECEDENCE[self._get_member(name).status],
            ),
        )[:MAX_UPDATES_PER_DATAGRAM]
        picked = []
        for name in names:
            picked.append(self._get_member(name))
            self._update_send_counts[name] += 1
            if (
                self._update_send_counts[name] >= max_sends
                and name != self.local_member.name
            ):
                del self._update_send_counts[name]
        picked += self._next_refreshed(REFRESHED_PER_DATAGRAM - len(picked))
        return picked

    def _next_refreshed(self, count: int) -> list[messages.Member]:
        """Returns the next members in a rotation over all of them.

        An update is sent a limited number of times and may miss a receiver;
        the rotation repairs that.
        """
        refreshed = []
        while len(refreshed) < min(count, len(self.members)):
            if not self._refresh_order:
                self._refresh_order = list(self.members)
                self._rng.shuffle(self._refresh_order)
            name = self._refresh_order.pop()
            if name in self.members:
                refreshed.append(self.members[name].member)
        return refreshed

    def _get_member(self, name: str) -> messages.Member:
        if name == self.local_member.name:
            return self.local_member
        return self.members[name].member

    def check_invariants(self) -> None:
        """Asserts the invariants of the class."""
        assert self.local_member.name not in self.members, (
            f"{self.local_member.name} is in its own table of other members"
        )
        for name in self._update_send_counts:
            assert name == self.local_member.name or name in self.members, (
                f"{self.local_member.name} has updates of unknown member {name}"
            )


def replace_member(member: messages.Member, **changes) -> messages.Member:
    """Returns a copy of a member with some attributes changed."""
    return msgspec.structs.replace(member, **changes)


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
