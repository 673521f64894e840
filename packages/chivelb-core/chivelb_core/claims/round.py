"""Aggregate of one attempt to claim a key, at the entry instance."""

import dataclasses
import enum

from chivelb_core.claims import messages

# A keeper that lost its disk serves again only after this time, so that no
# round counts a grant of the lost disk beside one of the new.
ROUND_LIFE_S = 1.5


class Verdict(enum.Enum):
    """What a round of claiming came to."""

    PENDING = "pending"
    GRANTED = "granted"
    SETTLED = "settled"
    HELD = "held"
    SPLIT = "split"
    KEY_REUSED = "key reused"
    NO_MAJORITY = "no majority"


@dataclasses.dataclass(slots=True)
class ClaimRound:
    """Replies to one claim request.

    Rule: the claim is granted only with a majority of all keepers, each of
    which never grants the key to another claim.

    Attributes:
        request: The request.
        keepers: Names of all keepers.
        started_at: Monotonic time before the first request, in seconds.
        replies: Replies by keeper.
        missing: Keepers that can't or did not answer.
    """

    request: messages.ClaimRequest
    keepers: frozenset[str]
    started_at: float = 0.0
    replies: dict[str, messages.ClaimReply] = dataclasses.field(
        default_factory=dict
    )
    missing: set[str] = dataclasses.field(default_factory=set)

    @property
    def majority(self) -> int:
        """Number of keepers that make a majority."""
        return len(self.keepers) // 2 + 1

    def take(
        self, reply: messages.ClaimReply, now: float | None = None
    ) -> None:
        """Takes a keeper's reply; strangers are ignored.

        Args:
            reply: The reply.
            now: Monotonic time in seconds. A grant that comes after the
                round's life, as to a process that was paused, counts for
                nothing.
        """
        if reply.keeper not in self.keepers:
            return
        late = now is not None and now - self.started_at > ROUND_LIFE_S
        if reply.refused or (late and reply.granted):
            self.missing.add(reply.keeper)
        else:
            self.replies[reply.keeper] = reply

    def miss(self, keeper: str) -> None:
        """Notes that a keeper did not answer in time."""
        self.missing.add(keeper)

    def settled(self) -> messages.ClaimReply | None:
        """Returns a reply that knows the outcome, or None."""
        for reply in self.replies.values():
            if reply.settled:
                return reply
        return None

    def verdict(self) -> Verdict:
        """Returns what is known so far."""
        for reply in self.replies.values():
            if reply.digest and reply.digest != self.request.digest:
                return Verdict.KEY_REUSED
        if self.settled() is not None:
            return Verdict.SETTLED
        granted = sum(reply.granted for reply in self.replies.values())
        if granted >= self.majority:
            return Verdict.GRANTED
        held: dict[str, int] = {}
        for reply in self.replies.values():
            if not reply.granted:
                held[reply.holder] = held.get(reply.holder, 0) + 1
        if any(count >= self.majority for count in held.values()):
            return Verdict.HELD
        open_keepers = self.keepers - self.replies.keys() - self.missing
        if granted + len(open_keepers) >= self.majority or (
            held and open_keepers
        ):
            return Verdict.PENDING
        if not held:
            return Verdict.NO_MAJORITY
        unheard = len(self.keepers) - len(self.replies)
        if max(granted, *held.values()) + unheard < self.majority:
            # Several arrivals share the keepers: none of them can run, and
            # each may try again under a new claim.
            return Verdict.SPLIT
        return Verdict.HELD
