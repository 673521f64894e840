"""Detects parts of prompts that crash the targets that answer on them.

When a target crashes, the parts of the requests that it had not begun to answer
are suspects. A part with answers that went on since is sound. A part that
crashed several targets and was not sound since is refused: requests with it
are not sent, but for single trials.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import enum
import hashlib
import zlib

import msgspec

MIN_CRASHES_TO_REFUSE = 3
# Time between trials. It grows with each crash beyond a number, so that a part
# that crashes each target gets few trials in all.
TRIAL_PERIOD_S = 2.5
MAX_CRASHES_BEFORE_GROWTH = 5
TRIAL_PERIOD_GROWTH = 4
MAX_TRIAL_PERIOD_S = 86_400.0
# A suspect without a crash for this many trial periods is forgotten.
RETENTION_PERIODS = 1.5
MIN_RETENTION_S = 900.0
# A part with an answer that went on within this time is not refused: crashes
# may come faster than the answers of the other instances are known.
SOUND_S = 1.0
# A target that sends events this long after a connection to it broke has not
# crashed then. What it sent before has arrived by that time.
ALIVE_AFTER_S = 0.25
# Suspects with fewer crashes are not compared with those of other instances.
MIN_SHARED_CRASHES = 2
MAX_PARTS_PER_REQUEST = 128
MAX_SUSPECTS = 20_000
MAX_SUSPECTS_PER_WORKSPACE = 1_000
WORKSPACE_DIGEST_BYTES = 4
PART_DIGEST_BYTES = 8


class PartCrash(msgspec.Struct, rename="camel", frozen=True):
    """The parts of a request that a target had not begun when it crashed.

    Attributes:
        target: Identity and incarnation of the target.
        parts: Keys of the parts.
    """

    target: str
    parts: list[str]


class SuspectState(msgspec.Struct, rename="camel", frozen=True):
    """A suspect as instances compare them.

    Attributes:
        part: Key of the part.
        targets: Identity and incarnation of each target that crashed.
        ages_s: Time since each of these crashes, in seconds.
        companions: Keys of the parts that came with it each time.
    """

    part: str
    targets: list[str]
    ages_s: list[float]
    companions: list[str]


class Verdict(enum.Enum):
    """Whether a request with some parts may be sent to a target.

    A request on trial may be sent; it shows whether a refused part is sound.
    """

    SEND = "send"
    TRY = "try"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True)
class Suspect:
    """A part on which no answer went on since targets crashed.

    Attributes:
        crashes: Monotonic time of each crash in seconds, by target.
        companions: Keys of the parts that came with it each time.
        last_trial_at: Monotonic time of the last trial, in seconds.
    """

    crashes: dict[str, float]
    companions: frozenset[str]
    last_trial_at: float = float("-inf")

    @property
    def last_crash_at(self) -> float:
        """Monotonic time of the newest crash, in seconds."""
        return max(self.crashes.values())

    @property
    def trial_period_s(self) -> float:
        """Time between trials, in seconds."""
        excess = max(0, len(self.crashes) - MAX_CRASHES_BEFORE_GROWTH)
        period_s = TRIAL_PERIOD_S * TRIAL_PERIOD_GROWTH**excess
        return min(period_s, MAX_TRIAL_PERIOD_S)

    def is_forgotten(self, now: float) -> bool:
        """Returns whether no request with the part came for long."""
        retention_s = max(
            MIN_RETENTION_S, RETENTION_PERIODS * self.trial_period_s
        )
        return now - max(self.last_crash_at, self.last_trial_at) > retention_s


def part_keys(workspace: str, part_ids: Iterable[str]) -> tuple[str, ...]:
    """Returns the keys of the parts of a workspace's prompt.

    Keys of different workspaces differ, so that no workspace can have the parts
    of another one refused. They begin with the same characters for the same
    workspace.

    Args:
        workspace: Name of the workspace.
        part_ids: Ids of the parts; those beyond ``MAX_PARTS_PER_REQUEST`` are
            left out.
    """
    name = workspace.encode()
    prefix = hashlib.blake2b(name, digest_size=WORKSPACE_DIGEST_BYTES)
    keys = []
    for part_id in part_ids:
        if len(keys) == MAX_PARTS_PER_REQUEST:
            break
        digest = hashlib.blake2b(
            part_id.encode(), key=name[:64], digest_size=PART_DIGEST_BYTES
        )
        keys.append(prefix.hexdigest() + digest.hexdigest())
    return tuple(keys)


def _workspace_of(part: str) -> str:
    return part[: 2 * WORKSPACE_DIGEST_BYTES]


class PartSuspects:
    """Parts of prompts that may crash targets, by key.

    Invariants: a part is refused only after crashes of
    ``MIN_CRASHES_TO_REFUSE`` distinct target incarnations since an answer on
    it went on; a workspace has at most ``MAX_SUSPECTS_PER_WORKSPACE`` suspects,
    and its own are forgotten first.

    Attributes:
        suspects: Suspects by key of the part, oldest first.
        by_workspace: The keys of the suspects by the prefix of their workspace.
        by_target: The keys of the suspects by the target that crashed.
        refusable: The keys of the suspects with ``MIN_CRASHES_TO_REFUSE``
            crashes or more.
        sound_at: Monotonic time at which an answer last went on within
            ``SOUND_S``, in seconds, by key of the part, oldest first.
    """

    __slots__ = (
        "suspects",
        "by_workspace",
        "by_target",
        "refusable",
        "sound_at",
    )

    def __init__(self) -> None:
        """Creates a table without suspects."""
        self.suspects: dict[str, Suspect] = {}
        self.by_workspace: dict[str, dict[str, None]] = {}
        self.by_target: dict[str, set[str]] = {}
        self.refusable: set[str] = set()
        self.sound_at: dict[str, float] = {}

    # What was observed.

    def add_crash(self, crash: PartCrash, now: float) -> list[str]:
        """Records a crash of a target that had not begun a request.

        Returns:
            The keys of the parts for which it is new.
        """
        parts = crash.parts[:MAX_PARTS_PER_REQUEST]
        return [
            part
            for part in parts
            if self._add(part, crash.target, set(parts) - {part}, now, now)
        ]

    def _add(
        self,
        part: str,
        target: str,
        companions: set[str],
        at: float,
        now: float,
    ) -> bool:
        """Records one crash under one part; returns whether it is new."""
        suspect = self.suspects.get(part)
        if suspect is not None and suspect.is_forgotten(now):
            self._forget(part)
            suspect = None
        if suspect is None:
            self._make_room(_workspace_of(part))
            suspect = self.suspects[part] = Suspect({}, frozenset(companions))
            self.by_workspace.setdefault(_workspace_of(part), {})[part] = None
        suspect.companions &= companions
        if target in suspect.crashes:
            return False
        suspect.crashes[target] = at
        self.by_target.setdefault(target, set()).add(part)
        if len(suspect.crashes) >= MIN_CRASHES_TO_REFUSE:
            self.refusable.add(part)
        return True

    def _make_room(self, workspace: str) -> None:
        """Forgets a suspect if there are too many.

        It is one of the workspace, or of the one that has most of them. Those
        with fewer crashes go first.
        """
        parts = self.by_workspace.get(workspace, {})
        if len(parts) < MAX_SUSPECTS_PER_WORKSPACE:
            if len(self.suspects) < MAX_SUSPECTS:
                return
            parts = max(self.by_workspace.values(), key=len)
        self._forget(
            min(
                parts,
                key=lambda part: (
                    len(self.suspects[part].crashes),
                    self.suspects[part].last_crash_at,
                ),
            )
        )

    def _forget(self, part: str) -> None:
        suspect = self.suspects.pop(part)
        self.refusable.discard(part)
        for target in suspect.crashes:
            self._forget_target(part, target)
        workspace = _workspace_of(part)
        del self.by_workspace[workspace][part]
        if not self.by_workspace[workspace]:
            del self.by_workspace[workspace]

    def _forget_target(self, part: str, target: str) -> None:
        self.by_target[target].discard(part)
        if not self.by_target[target]:
            del self.by_target[target]

    def add_sound(self, parts: Iterable[str], now: float) -> list[str]:
        """Records that an answer on some parts went on.

        Returns:
            The keys of those that were suspects.
        """
        cleared = []
        for part in parts:
            self.sound_at.pop(part, None)
            self.sound_at[part] = now
            if part in self.suspects:
                cleared.append(part)
                self._forget(part)
        self._forget_old_answers(now)
        return cleared

    def _forget_old_answers(self, now: float) -> None:
        while self.sound_at:
            part, at = next(iter(self.sound_at.items()))
            if now - at < SOUND_S:
                return
            del self.sound_at[part]

    def add_living_target(self, target: str, now: float) -> list[str]:
        """Records that a target answered, so that it had not crashed before.

        Args:
            target: Identity and incarnation of the target.
            now: Monotonic time of the answer in seconds.

        Returns:
            The keys of the parts that it was a crash of.
        """
        cleared = [
            part
            for part in self.by_target.get(target, ())
            if now - self.suspects[part].crashes[target] >= ALIVE_AFTER_S
        ]
        for part in cleared:
            self._remove_crash(part, target)
        return cleared

    def _remove_crash(self, part: str, target: str) -> None:
        crashes = self.suspects[part].crashes
        if len(crashes) == 1:
            self._forget(part)
            return
        del crashes[target]
        self._forget_target(part, target)
        if len(crashes) < MIN_CRASHES_TO_REFUSE:
            self.refusable.discard(part)

    def add_trial(self, parts: Iterable[str], now: float) -> None:
        """Records that a request on trial was sent with some parts."""
        for part in parts:
            if part in self.suspects:
                self.suspects[part].last_trial_at = now

    # What follows.

    def judge(
        self, parts: Sequence[str], now: float, *, on_trial: bool = False
    ) -> Verdict:
        """Returns whether a request may be sent to a target.

        Args:
            parts: Keys of the shared parts of its prompt.
            now: Monotonic time in seconds.
            on_trial: Whether the request is on trial already.
        """
        if not self.refusable:
            return Verdict.SEND
        refused = list(self._refused(parts, now))
        if not refused:
            return Verdict.SEND
        if len(refused) > 1:
            # A crash would not tell which of them caused it.
            return Verdict.REFUSE
        (suspect,) = refused
        since_s = now - max(suspect.last_crash_at, suspect.last_trial_at)
        may_try = on_trial or since_s >= suspect.trial_period_s
        return Verdict.TRY if may_try else Verdict.REFUSE

    def _refused(self, parts: Sequence[str], now: float) -> Iterator[Suspect]:
        """Yields the suspects for which a request with the parts is refused."""
        for part in parts:
            sound_at = self.sound_at.get(part, float("-inf"))
            if part not in self.refusable or now - sound_at < SOUND_S:
                continue
            suspect = self.suspects[part]
            if suspect.is_forgotten(now):
                self._forget(part)
            elif not self._has_alternative(suspect, parts):
                yield suspect

    def _has_alternative(self, suspect: Suspect, parts: Sequence[str]) -> bool:
        """Returns whether a part that is absent explains all its crashes.

        That part came with the suspect each time. Requests with one of the two
        show which one crashes targets.
        """
        return any(
            other not in parts
            and other in self.suspects
            and self.suspects[other].crashes.keys() >= suspect.crashes.keys()
            for other in suspect.companions
        )

    def check_invariants(self) -> None:
        """Raises ``AssertionError`` if the indexes do not agree."""
        for part, suspect in self.suspects.items():
            crashes = suspect.crashes
            assert crashes, part
            assert part in self.by_workspace[_workspace_of(part)], part
            assert all(part in self.by_target[t] for t in crashes), part
            is_refusable = len(crashes) >= MIN_CRASHES_TO_REFUSE
            assert (part in self.refusable) == is_refusable, part
        assert self.refusable <= self.suspects.keys()
        for index in (self.by_workspace, self.by_target):
            for parts in index.values():
                assert parts, "an empty entry of an index"
                assert set(parts) <= self.suspects.keys()
        for parts in self.by_workspace.values():
            assert len(parts) <= MAX_SUSPECTS_PER_WORKSPACE
        assert len(self.suspects) <= MAX_SUSPECTS

    # Comparison with other instances.

    def digest(self) -> int:
        """Returns a digest of the suspects that instances compare."""
        text = "".join(
            f"{part}:{','.join(sorted(suspect.crashes))};"
            for part, suspect in sorted(self._shared())
        )
        return zlib.crc32(text.encode())

    def states(self, now: float) -> list[SuspectState]:
        """Returns the suspects that instances compare."""
        return [
            SuspectState(
                part,
                list(suspect.crashes),
                [now - at for at in suspect.crashes.values()],
                sorted(suspect.companions),
            )
            for part, suspect in self._shared()
        ]

    def states_beyond(
        self, states: Iterable[SuspectState], now: float
    ) -> list[SuspectState]:
        """Returns the suspects of which another instance knows less."""
        known = {state.part: set(state.targets) for state in states}
        return [
            state
            for state in self.states(now)
            if not set(state.targets) <= known.get(state.part, set())
        ]

    def _shared(self) -> Iterator[tuple[str, Suspect]]:
        for part, suspect in self.suspects.items():
            if len(suspect.crashes) >= MIN_SHARED_CRASHES:
                yield part, suspect

    def merge(self, states: Iterable[SuspectState], now: float) -> list[str]:
        """Adds the suspects of another instance.

        Returns:
            The keys of the parts on which answers went on here since.
        """
        sound = []
        for state in states:
            sound_at = self.sound_at.get(state.part, float("-inf"))
            if sound_at > now - min(state.ages_s, default=0.0):
                sound.append(state.part)
                continue
            for target, age_s in zip(state.targets, state.ages_s, strict=False):
                self._add(
                    state.part, target, set(state.companions), now - age_s, now
                )
        return sound
