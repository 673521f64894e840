"""Raft log replicated to the members of the control group.

The log is replicated to all members; only the voters elect a leader and count
towards a commit. See docs/design/consensus.md.
"""

from chivelb_core.consensus.group import Group
from chivelb_core.consensus.log import Entry
from chivelb_core.consensus.states import Effects
from chivelb_core.consensus.voter import Voter

__all__ = ["Effects", "Entry", "Group", "Voter"]
