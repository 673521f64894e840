"""State machine of the SWIM membership protocol on one instance.

Implements SWIM (probe, indirect probe, suspicion, incarnation, piggybacked
updates) without I/O. An instance tracks all members of its own region, but
only delegates and anchors of other regions, so that its traffic does not grow
with the number of instances of the whole site.
"""

from collections.abc import Iterator
import dataclasses
import random

from chivelb_core.membership import delegates as delegates_lib
from chivelb_core.membership import members as members_lib
from chivelb_core.membership import messages
from chivelb_core.membership import updates as updates_lib

PROBE_PERIOD_S = 1.0
ACK_TIMEOUT_S = 0.3
INDIRECT_PROBES = 3
SUSPICION_FACTOR = 3.0
# A suspect is pinged by every member after this fraction of the time that it
# has to refute, so that nobody declares a member dead that answers.
CONFIRMATION_FRACTION = 0.5
DEAD_RETENTION_S = 300.0
DEAD_PROBE_PERIOD_S = 1.0
PAUSE_THRESHOLD_S = 3.0
# Time after the start in which an instance asks for all members.
JOINING_S = 8.0
# An instance whose members have not changed for this time knows all of them.
SETTLED_S = 1.0
# Sequence of datagrams that belong to no probe; those of probes are higher.
NO_SEQUENCE = 0

MemberState = members_lib.MemberState
replace_member = members_lib.replace_member
DELEGATES_PER_REGION = delegates_lib.DELEGATES_PER_REGION
MAX_UPDATES_PER_DATAGRAM = updates_lib.MAX_UPDATES_PER_DATAGRAM
REFRESHED_PER_DATAGRAM = updates_lib.REFRESHED_PER_DATAGRAM
RETRANSMIT_FACTOR = updates_lib.RETRANSMIT_FACTOR


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
        revision: Number of changes of ``members`` so far; what is computed
            from the members is valid until it changes.
    """

    __slots__ = (
        "local_member",
        "members",
        "version",
        "revision",
        "_changed_at",
        "_live_members",
        "_rng",
        "_probe_order",
        "_probes",
        "_sequence",
        "_next_probe_at",
        "_updates",
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
        self.revision = 0
        self._changed_at = now
        self._live_members: dict[tuple[str | None, str | None], list[str]] = {}
        self._rng = rng
        self._probe_order: list[str] = []
        self._probes: dict[int, Probe] = {}
        self._sequence = rng.randrange(2**32)
        self._next_probe_at = now + rng.random() * PROBE_PERIOD_S
        self._updates = updates_lib.UpdateQueue(
            local_member.name, self.members, rng
        )
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
        names = self._live_members.get((region, zone))
        if names is None:
            names = sorted(self._find_live_members(region, zone))
            self._live_members[region, zone] = names
        return names.copy()

    def _find_live_members(
        self, region: str | None, zone: str | None
    ) -> Iterator[str]:
        for name, state in self.members.items():
            if (
                state.member.status in ("alive", "suspect")
                and region in (None, state.member.region)
                and zone in (None, state.member.zone)
            ):
                yield name

    def delegates(self, region: str) -> list[str]:
        """Returns the delegates of a region, which may include this instance.

        They are chosen among the live members.
        """
        names = self.live_members(region)
        if region == self.local_member.region:
            names.append(self.local_member.name)
        return delegates_lib.choose_delegates(region, names)

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
        self._updates.schedule(self.local_member.name)
        # The members of this instance's region, which all track it, are pinged
        # twice: one ping may be lost, and after the stop nothing is sent again.
        region_members = self.live_members(self.local_member.region)
        for name in region_members + self.live_members():
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
            self._updates.schedule(sender)
        match message:
            case messages.Ping():
                self.record_version(sender, message.version)
                self._reply(sender, message.sequence, self.local_member.name)
                if message.joining and self._may_add_to(message.known, now):
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
        self._send(
            name,
            messages.Ping(
                self._sequence,
                self.version,
                self._pick_updates(name),
                joining=now < self._joining_until,
                known=len(self.members),
            ),
        )

    def _send(self, receiver: str, message: messages.Message) -> None:
        self._outbox.append((receiver, message))

    def _reply(self, peer: str, sequence: int, about: str) -> None:
        version = self.version
        if about != self.local_member.name:
            version = self.members[about].version
        self._send(
            peer,
            messages.Ack(sequence, about, version, self._pick_updates(peer)),
        )

    def _may_add_to(self, known_count: int, now: float) -> bool:
        """Returns whether a joining instance may learn of members here.

        Args:
            known_count: Number of members that it knows.
            now: Monotonic time in seconds.
        """
        is_settled = now - self._changed_at >= SETTLED_S
        return known_count < len(self.members) or not is_settled

    def _send_all_members(self, peer: str) -> None:
        """Sends all known members, in acks that answer no ping."""
        members = [state.member for state in self.members.values()]
        for start in range(0, len(members), MAX_UPDATES_PER_DATAGRAM):
            batch = members[start : start + MAX_UPDATES_PER_DATAGRAM]
            self._send(
                peer,
                messages.Ack(
                    NO_SEQUENCE, self.local_member.name, self.version, batch
                ),
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
            self._send(
                helper,
                messages.PingRequest(
                    sequence, target, self._pick_updates(helper)
                ),
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
            self._updates.schedule(name)
            self._ping_unrecorded(name)

    def _ping_unrecorded(self, name: str) -> None:
        """Pings a member without a probe: a missing ack has no effect."""
        self._send(
            name,
            messages.Ping(NO_SEQUENCE, self.version, self._pick_updates(name)),
        )

    # Status.

    def suspicion_timeout_s(self) -> float:
        """Returns the time within which a suspect may refute, in seconds."""
        others = self.live_members(self.local_member.region)
        periods = max(1.0, updates_lib.log_group_size(len(others)))
        return SUSPICION_FACTOR * periods * PROBE_PERIOD_S

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
                self._updates.remove(name)
                self._record_change(now)

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
        if members_lib.supersedes(update, state.member):
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
        self._updates.schedule(self.local_member.name)

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
        self._updates.schedule(member.name)
        self._changes.append(member)
        self._record_change(now)

    def _record_change(self, now: float) -> None:
        self.revision += 1
        self._changed_at = now
        self._live_members.clear()

    def _pick_updates(self, receiver: str) -> list[messages.Member]:
        return self._updates.pick(receiver, self.local_member)

    def check_invariants(self) -> None:
        """Asserts the invariants of the class."""
        for (region, zone), names in self._live_members.items():
            live = sorted(self._find_live_members(region, zone))
            assert names == live, (
                f"{self.local_member.name} keeps {names} as live members of "
                f"{region}, {zone}; they are {live}"
            )
        assert self.local_member.name not in self.members, (
            f"{self.local_member.name} is in its own table of other members"
        )
        for name in self._updates.send_counts:
            assert name == self.local_member.name or name in self.members, (
                f"{self.local_member.name} has updates of unknown member {name}"
            )
