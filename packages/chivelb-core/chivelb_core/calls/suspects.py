"""Detects prompts that may crash targets.

A prompt that was in flight on a target when it crashed is a suspect; after
``MIN_CRASHES_TO_REFUSE`` crashes it is refused for a time. Crashes are told
apart by identity and incarnation of the target, so that two crashes of one
target count as two if it was restarted in between.
"""

from collections.abc import Iterable
import dataclasses
import hashlib
import typing
import zlib

import msgspec

MIN_CRASHES_TO_REFUSE = 2
REFUSAL_PERIOD_S = 600.0
SUSPECT_RETENTION_S = 900.0
MAX_SUSPECTS = 20_000


class CrashObservation(msgspec.Struct, rename="camel", frozen=True):
    """Observation that a prompt was in flight on a target that crashed.

    With ``cleared`` it is the observation that a suspect prompt finished.

    Attributes:
        fingerprint: Digest of workspace and prompt.
        target: Identity and incarnation of the target; empty if ``cleared``.
        cleared: Whether the prompt finished.
    """

    # Name of the struct in the wire schema, which keeps its first name.
    SCHEMA_NAME: typing.ClassVar[str] = "Sighting"

    fingerprint: str
    target: str
    cleared: bool = False


@dataclasses.dataclass(slots=True)
class Suspect:
    """Crashes during which a prompt was in flight.

    Attributes:
        targets: Identity and incarnation of each target that crashed.
        last_crash_at: Monotonic time of the newest observed crash, in seconds.
    """

    targets: set[str] = dataclasses.field(default_factory=set)
    last_crash_at: float = 0.0


def fingerprint(workspace: str, prompt: bytes) -> str:
    """Returns the digest that identifies a prompt in gossip and logs."""
    digest = hashlib.blake2b(prompt, key=workspace.encode()[:64])
    return digest.hexdigest()[:24]


class SuspectTable:
    """Suspect prompts, by fingerprint.

    Invariants: a prompt is refused only after crashes of two distinct
    target incarnations, and only if no other prompt was in flight during all
    of them; a prompt that finished is no longer a suspect.

    Attributes:
        suspects: Suspects by fingerprint, oldest first.
        cleared: Monotonic time at which a prompt finished, in seconds, by
            fingerprint.
    """

    __slots__ = ("suspects", "cleared")

    def __init__(self) -> None:
        """Creates a table without suspects."""
        self.suspects: dict[str, Suspect] = {}
        self.cleared: dict[str, float] = {}

    def add_observation(
        self, observation: CrashObservation, now: float
    ) -> bool:
        """Records an observation made by this instance or a peer.

        Args:
            observation: The observation.
            now: Monotonic time in seconds.

        Returns:
            True if the observation is new: it adds a crash to a suspect, or
            clears a suspect.
        """
        if observation.cleared:
            is_new = observation.fingerprint in self.suspects
            self.suspects.pop(observation.fingerprint, None)
            self.cleared[observation.fingerprint] = now
            self._evict_oldest(self.cleared)
            return is_new
        suspect = self.suspects.setdefault(observation.fingerprint, Suspect())
        is_new = observation.target not in suspect.targets
        suspect.targets.add(observation.target)
        if is_new:
            suspect.last_crash_at = now
        self._evict_oldest(self.suspects)
        return is_new

    def shared_observations(self) -> list[CrashObservation]:
        """Returns the observations that instances compare.

        These are the crashes of the suspects that are refused or may be.
        """
        return [
            CrashObservation(prompt_fingerprint, target)
            for prompt_fingerprint, suspect in self.suspects.items()
            if len(suspect.targets) >= MIN_CRASHES_TO_REFUSE
            for target in sorted(suspect.targets)
        ]

    def digest(self) -> int:
        """Returns a digest of the observations that instances compare."""
        observed = sorted(
            f"{observation.fingerprint}:{observation.target};"
            for observation in self.shared_observations()
        )
        return zlib.crc32("".join(observed).encode())

    def merge(
        self, observations: Iterable[CrashObservation], now: float
    ) -> None:
        """Adds observations of another instance, but for cleared prompts."""
        for observation in observations:
            if observation.fingerprint not in self.cleared:
                self.add_observation(observation, now)

    def _evict_oldest(self, table: dict) -> None:
        while len(table) > MAX_SUSPECTS:
            del table[next(iter(table))]

    def is_suspect(self, prompt_fingerprint: str, now: float) -> bool:
        """Whether a prompt was in flight during any recent crash."""
        suspect = self.suspects.get(prompt_fingerprint)
        if suspect is None:
            return False
        if now - suspect.last_crash_at > SUSPECT_RETENTION_S:
            del self.suspects[prompt_fingerprint]
            return False
        return True

    def is_refused(self, prompt_fingerprint: str, now: float) -> bool:
        """Whether a prompt is refused now.

        If another prompt was in flight during all of a prompt's crashes,
        either may be the cause: both may run again, on separate targets.
        """
        if not self.is_suspect(prompt_fingerprint, now):
            return False
        suspect = self.suspects[prompt_fingerprint]
        if len(suspect.targets) < MIN_CRASHES_TO_REFUSE:
            return False
        if now - suspect.last_crash_at >= REFUSAL_PERIOD_S:
            return False
        return not any(
            other.targets >= suspect.targets
            for other_fingerprint, other in self.suspects.items()
            if other_fingerprint != prompt_fingerprint
        )
