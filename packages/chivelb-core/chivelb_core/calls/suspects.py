"""Aggregate of prompts that were in flight on targets that crashed."""

import dataclasses
import hashlib

import msgspec

CRASHES_TO_REFUSE = 2
REFUSE_FOR_S = 600.0
REMEMBER_FOR_S = 900.0
MAX_SUSPECTS = 20_000


class Sighting(msgspec.Struct, rename="camel", frozen=True):
    """Word that a prompt was in flight on a target that crashed.

    Attributes:
        fingerprint: Digest of workspace and prompt.
        target: Identity and incarnation of the target.
        cleared: Whether the prompt finished elsewhere instead.
    """

    fingerprint: str
    target: str
    cleared: bool = False


@dataclasses.dataclass(slots=True)
class Suspect:
    """Crashes that a prompt was present at.

    Attributes:
        targets: Distinct target incarnations that crashed.
        seen_at: Monotonic time of the newest crash, in seconds.
    """

    targets: set[str] = dataclasses.field(default_factory=set)
    seen_at: float = 0.0


def fingerprint(workspace: str, prompt: bytes) -> str:
    """Returns the digest that stands for a prompt in gossip and logs."""
    digest = hashlib.blake2b(prompt, key=workspace.encode()[:64])
    return digest.hexdigest()[:24]


class SuspectTable:
    """Suspects by fingerprint.

    Rules: a prompt is refused only after crashes of two distinct targets
    that no other prompt was present at both of; one that finished is no
    suspect any more.

    Attributes:
        suspects: Suspects by fingerprint, oldest first.
        cleared: Fingerprints that finished, by time.
    """

    __slots__ = ("suspects", "cleared")

    def __init__(self) -> None:
        """Creates a table without suspects."""
        self.suspects: dict[str, Suspect] = {}
        self.cleared: dict[str, float] = {}

    def take(self, sighting: Sighting, now: float) -> bool:
        """Takes a sighting of this instance or a peer; True when news."""
        if sighting.cleared:
            news = sighting.fingerprint in self.suspects
            self.suspects.pop(sighting.fingerprint, None)
            self.cleared[sighting.fingerprint] = now
            self._trim(self.cleared)
            return news
        suspect = self.suspects.setdefault(sighting.fingerprint, Suspect())
        news = sighting.target not in suspect.targets
        suspect.targets.add(sighting.target)
        if news:
            suspect.seen_at = now
        self._trim(self.suspects)
        return news

    def _trim(self, table: dict) -> None:
        while len(table) > MAX_SUSPECTS:
            del table[next(iter(table))]

    def is_suspect(self, key: str, now: float) -> bool:
        """Tells whether a prompt was present at any recent crash."""
        suspect = self.suspects.get(key)
        if suspect is None:
            return False
        if now - suspect.seen_at > REMEMBER_FOR_S:
            del self.suspects[key]
            return False
        return True

    def is_refused(self, key: str, now: float) -> bool:
        """Tells whether a prompt is refused at this moment.

        A prompt that shared each of its crashes with another one can't be
        told from it: both may run once more, apart from each other.
        """
        if not self.is_suspect(key, now):
            return False
        suspect = self.suspects[key]
        if len(suspect.targets) < CRASHES_TO_REFUSE:
            return False
        if now - suspect.seen_at >= REFUSE_FOR_S:
            return False
        return not any(
            other.targets >= suspect.targets
            for fingerprint, other in self.suspects.items()
            if fingerprint != key
        )
