"""What runners are expected to hold of prompts, from what they were sent."""

import collections

from chivelb_core.forwarding import call as call_lib


class SentPrompts:
    """Parts that this instance sent to each runner, newest last.

    Rule: the tokens remembered of a runner never exceed its memory.

    Attributes:
        capacity: Tokens that a runner's memory holds.
        by_target: Tokens of each remembered chain of parts, by identity.
    """

    __slots__ = ("capacity", "by_target", "_sums")

    def __init__(self, capacity: int) -> None:
        """Creates a memory of nothing."""
        self.capacity = capacity
        self.by_target: dict[str, collections.OrderedDict[str, int]] = {}
        self._sums: dict[str, int] = {}

    def note_sent(self, identity: str, salt: str, prompt: call_lib.Prompt):
        """Remembers that a runner reads a prompt."""
        chains = self.by_target.setdefault(identity, collections.OrderedDict())
        total = self._sums.get(identity, 0)
        for chain, tokens in iterate_chains(salt, prompt):
            if chain in chains:
                chains.move_to_end(chain)
            else:
                chains[chain] = tokens
                total += tokens
        while total > self.capacity:
            _, tokens = chains.popitem(last=False)
            total -= tokens
        self._sums[identity] = total

    def held(self, salt: str, prompt: call_lib.Prompt) -> dict[str, int]:
        """Returns the leading prompt tokens that each runner may hold."""
        found: dict[str, int] = {}
        chains = list(iterate_chains(salt, prompt))
        for identity, known in self.by_target.items():
            tokens = 0
            for chain, size in chains:
                if chain not in known:
                    break
                tokens += size
            if tokens:
                found[identity] = tokens
        return found

    def forget(self, identity: str) -> None:
        """Forgets a runner."""
        self.by_target.pop(identity, None)
        self._sums.pop(identity, None)


def iterate_chains(salt: str, prompt: call_lib.Prompt):
    """Yields a key for each leading run of parts, and the last one's size."""
    chain = salt
    for part in prompt.parts:
        chain = f"{chain}/{part.key}"
        yield chain, part.tokens
