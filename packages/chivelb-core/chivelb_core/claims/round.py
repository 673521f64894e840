"""One claim round: an entry instance requests one claim from all keepers."""

import dataclasses
import enum

from chivelb_core.claims import messages

# Grants that arrive later do not count. A keeper that lost its disk serves
# again only after this time, so that no round counts grants from before the
# loss together with grants from after it.
ROUND_TIMEOUT_S = 1.5


class RoundResult(enum.Enum):
    """Result of a claim round.

    Attributes:
        PENDING: The replies so far do not determine the result.
        GRANTED: A majority of the keepers granted the claim.
        SETTLED: The key has a recorded outcome.
        HELD: Another claim has a majority of the keepers, or some claim may
            have one together with the keepers without a counted reply.
        SPLIT: Concurrent claims hold so few keepers each that none can reach a
            majority. This is the result of one round; the claim state
            ``CONTESTED`` is stored by a keeper and outlives rounds.
        KEY_REUSED: The key was claimed for another request.
        NO_MAJORITY: Too few keepers granted the claim, and none denied it.
    """

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

    Invariant: the claim is granted only by a majority of all keepers, and a
    keeper that granted the key grants it to no other claim.

    Attributes:
        request: The request.
        keepers: Names of all keepers.
        started_at: Monotonic time before the first request, in seconds.
        replies: Counted replies by keeper: grants in time, and denials.
        not_awaited: Keepers whose reply is no longer awaited: they refused the
            request, granted the claim too late, or did not reply in time.
    """

    request: messages.ClaimRequest
    keepers: frozenset[str]
    started_at: float = 0.0
    replies: dict[str, messages.ClaimReply] = dataclasses.field(
        default_factory=dict
    )
    not_awaited: set[str] = dataclasses.field(default_factory=set)

    @property
    def majority(self) -> int:
        """Number of keepers that form a majority."""
        return majority_of(len(self.keepers))

    def add_reply(
        self, reply: messages.ClaimReply, now: float | None = None
    ) -> None:
        """Adds the reply of a keeper; ignores replies of unknown keepers.

        Args:
            reply: The reply.
            now: Monotonic time in seconds. A grant received more than
                ``ROUND_TIMEOUT_S`` after the start does not count, for example
                because this process was paused.
        """
        if reply.keeper not in self.keepers:
            return
        is_late = now is not None and now - self.started_at > ROUND_TIMEOUT_S
        if reply.refused or (is_late and reply.granted):
            self.not_awaited.add(reply.keeper)
        else:
            self.replies[reply.keeper] = reply

    def stop_awaiting(self, keeper: str) -> None:
        """Stops waiting for a keeper that did not reply in time."""
        self.not_awaited.add(keeper)

    def find_settled_reply(self) -> messages.ClaimReply | None:
        """Returns a reply that contains the outcome, or None."""
        for reply in self.replies.values():
            if reply.settled:
                return reply
        return None

    def result(self) -> RoundResult:
        """Returns the result as far as the replies determine it."""
        for reply in self.replies.values():
            if reply.digest and reply.digest != self.request.digest:
                return RoundResult.KEY_REUSED
        if self.find_settled_reply() is not None:
            return RoundResult.SETTLED
        granted = sum(reply.granted for reply in self.replies.values())
        if granted >= self.majority:
            return RoundResult.GRANTED
        denials_by_holder: dict[str, int] = {}
        for reply in self.replies.values():
            if not reply.granted:
                denials_by_holder[reply.holder] = (
                    denials_by_holder.get(reply.holder, 0) + 1
                )
        if any(count >= self.majority for count in denials_by_holder.values()):
            return RoundResult.HELD
        pending_keepers = self.keepers - self.replies.keys() - self.not_awaited
        if granted + len(pending_keepers) >= self.majority or (
            denials_by_holder and pending_keepers
        ):
            return RoundResult.PENDING
        if not denials_by_holder:
            return RoundResult.NO_MAJORITY
        without_reply = len(self.keepers) - len(self.replies)
        if (
            max(granted, *denials_by_holder.values()) + without_reply
            < self.majority
        ):
            # Concurrent claims split the keepers so that none can reach a
            # majority. Each may retry with a new claim.
            return RoundResult.SPLIT
        return RoundResult.HELD


def majority_of(keeper_count: int) -> int:
    """Returns the number of keepers that form a majority.

    Args:
        keeper_count: Number of all keepers.
    """
    return keeper_count // 2 + 1
