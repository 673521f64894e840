"""Shares what instances observe of requests and parts that crash targets.

Observations go to all instances of the region at once. Instances that were cut
off or have started since learn the suspect parts by an anti-entropy exchange
with a random peer.
"""

import asyncio

from chivelb_core.calls import part_suspects
from chivelb_core.calls import suspects as suspects_lib
import mode

from chivelb_node import context as context_lib
from chivelb_node.links import gossip as gossip_lib
from chivelb_node.links import hub as hub_lib
from chivelb_node.telemetry import logs
from chivelb_node.wire import messages

# Crashes are collected for this long and then sent in one message: one crash
# breaks many requests at a time.
SHARE_DELAY_S = 0.02
# What clears suspects is sent after a random time of at most this, unless a
# peer sends it first: all instances learn it at about the same time.
MAX_CLEARING_DELAY_S = 0.1
# Crashes in one message; those beyond are left out.
MAX_SHARED_CRASHES = 200
# Limit for the crashes of suspect requests in one exchange.
MAX_COMPARED_REQUEST_CRASHES = 1_000
REPAIR_PERIOD_S = 0.5
# The same without suspects: an instance that has some tells those without.
IDLE_REPAIR_PERIOD_S = 2.0
REPAIR_TIMEOUT_S = 0.5
# Digest of an instance without suspects.
_NO_SUSPECTS = messages.SuspectsDigest(parts=0, requests=0)
_log = logs.get_logger("suspects")


class SuspectSharing(mode.Service):
    """Sends peers observations of crashes, and applies theirs.

    Attributes:
        context: Shared state of the instance.
        hub: Links to peers.
        gossip: Membership.
    """

    def __init__(
        self,
        context: context_lib.InstanceContext,
        hub: hub_lib.Hub,
        gossip: gossip_lib.Gossip,
    ) -> None:
        """Creates the service."""
        super().__init__()
        self.context = context
        self.hub = hub
        self.gossip = gossip
        self._crashes: list[part_suspects.PartCrash] = []
        self._has_crashes = asyncio.Event()
        # Keys of sound parts and names of living targets that peers are to be
        # told of.
        self._sound: dict[str, None] = {}
        self._living: dict[str, None] = {}
        self._has_clearing = asyncio.Event()
        hub.register_handler(
            messages.CrashObservations, self._on_crash_observations
        )
        hub.register_handler(messages.PartEvidence, self._on_part_evidence)
        hub.register_handler(messages.SuspectsDigest, self._on_digest)
        hub.register_handler(messages.SuspectsReply, self._on_suspects)

    # Observations of this instance.

    def broadcast_observation(
        self, observation: suspects_lib.CrashObservation
    ) -> None:
        """Sends a crash observation to all instances of the region."""
        self._broadcast(messages.CrashObservations([observation]))

    def broadcast_evidence(self, evidence: messages.PartEvidence) -> None:
        """Sends evidence on parts to all instances of the region.

        Crashes, and what clears suspects, are collected for a short time.
        """
        if evidence.trials:
            self._broadcast(messages.PartEvidence(trials=evidence.trials))
        if evidence.crashes:
            self._crashes.extend(evidence.crashes)
            self._has_crashes.set()
        if evidence.sound or evidence.living:
            self._sound.update(dict.fromkeys(evidence.sound))
            self._living.update(dict.fromkeys(evidence.living))
            self._has_clearing.set()

    def _broadcast(self, message) -> None:
        self.hub.broadcast(self.gossip.peers_in_region(), message)

    @mode.Service.task
    async def _share_crashes(self) -> None:
        while not self.should_stop:
            await self._has_crashes.wait()
            await asyncio.sleep(SHARE_DELAY_S)
            self.send_crashes()

    def send_crashes(self) -> None:
        """Sends the collected crashes."""
        self._has_crashes.clear()
        crashes, self._crashes = self._crashes, []
        if len(crashes) > MAX_SHARED_CRASHES:
            _log.warning(
                "crashes left out",
                count=len(crashes) - MAX_SHARED_CRASHES,
                limit=MAX_SHARED_CRASHES,
            )
        if crashes:
            self._broadcast(messages.PartEvidence(crashes[:MAX_SHARED_CRASHES]))

    @mode.Service.task
    async def _share_clearing(self) -> None:
        while not self.should_stop:
            await self._has_clearing.wait()
            await asyncio.sleep(
                self.context.rng.uniform(0.0, MAX_CLEARING_DELAY_S)
            )
            self.send_clearing()

    def send_clearing(self) -> None:
        """Sends what clears suspects, as far as no peer has."""
        self._has_clearing.clear()
        evidence = messages.PartEvidence(
            sound=list(self._sound), living=list(self._living)
        )
        self._sound.clear()
        self._living.clear()
        if evidence.sound or evidence.living:
            self._broadcast(evidence)

    # Observations of peers.

    def _on_crash_observations(
        self, peer: str, message: messages.CrashObservations
    ) -> None:
        now = context_lib.monotonic()
        for observation in message.sightings:
            self.context.crash_suspects.add_observation(observation, now)

    def _on_part_evidence(
        self, peer: str, evidence: messages.PartEvidence
    ) -> None:
        now = context_lib.monotonic()
        table = self.context.part_suspects
        for crash in evidence.crashes:
            table.add_crash(crash, now)
        table.add_sound(evidence.sound, now)
        table.add_trial(evidence.trials, now)
        for target in evidence.living:
            table.add_living_target(target, now)
        for part in evidence.sound:
            self._sound.pop(part, None)
        for target in evidence.living:
            self._living.pop(target, None)

    # Repair.

    @mode.Service.task
    async def _repair(self) -> None:
        while not self.should_stop:
            await self.repair_once()
            await asyncio.sleep(self.repair_period_s())

    def repair_period_s(self) -> float:
        """Returns the time until the next exchange, in seconds."""
        if self._digest() == _NO_SUSPECTS:
            return IDLE_REPAIR_PERIOD_S
        return REPAIR_PERIOD_S

    async def repair_once(self) -> None:
        """Exchanges the suspects with a random peer if they differ."""
        peers = self.gossip.peers_in_region()
        if not peers:
            return
        peer = self.context.rng.choice(peers)
        reply = await self.hub.request(peer, self._digest(), REPAIR_TIMEOUT_S)
        if not isinstance(reply, messages.SuspectsReply) or not reply.differs:
            return
        self._on_suspects(peer, reply)
        now = context_lib.monotonic()
        unknown_there = messages.SuspectsReply(
            self.context.part_suspects.states_beyond(reply.parts, now),
            [
                observation
                for observation in self._requests()
                if observation not in reply.requests
            ],
        )
        if unknown_there.parts or unknown_there.requests:
            self.hub.send(peer, unknown_there)

    def _digest(self) -> messages.SuspectsDigest:
        return messages.SuspectsDigest(
            self.context.part_suspects.digest(),
            self.context.crash_suspects.digest(),
        )

    def _requests(self) -> list[suspects_lib.CrashObservation]:
        """Returns the newest crashes of suspect requests."""
        observations = self.context.crash_suspects.shared_observations()
        return observations[-MAX_COMPARED_REQUEST_CRASHES:]

    def _on_digest(
        self, peer: str, message: messages.SuspectsDigest
    ) -> messages.SuspectsReply:
        """Replies with the suspects if those of the sender differ."""
        if message == self._digest():
            return messages.SuspectsReply(differs=False)
        now = context_lib.monotonic()
        states = self.context.part_suspects.states(now)
        return messages.SuspectsReply(states, self._requests())

    def _on_suspects(self, peer: str, message: messages.SuspectsReply) -> None:
        before = self._digest()
        now = context_lib.monotonic()
        self.context.crash_suspects.merge(message.requests, now)
        sound = self.context.part_suspects.merge(message.parts, now)
        if sound:
            self.hub.send(peer, messages.PartEvidence(sound=sound))
        if self._digest() != before:
            _log.info(
                "suspects learned",
                source=peer,
                parts=len(message.parts),
                request_crashes=len(message.requests),
            )
