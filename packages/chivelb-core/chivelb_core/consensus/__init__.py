"""Raft log replicated among the voters; see docs/design/consensus.md."""

from chivelb_core.consensus.group import Group
from chivelb_core.consensus.log import Entry
from chivelb_core.consensus.states import Effects
from chivelb_core.consensus.voter import Voter

__all__ = ["Effects", "Entry", "Group", "Voter"]
