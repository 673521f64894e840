"""Log lines and metrics about the control group, as one voter sees it."""

from chivelb_core import consensus
from chivelb_core.consensus import group as group_lib

from chivelb_node.telemetry import logs
from chivelb_node.telemetry import metrics as metrics_lib

_log = logs.get_logger("voter")


class GroupLog:
    """Reports each change of the leader and of the group's members.

    Attributes:
        metrics: Metrics of the instance.
    """

    __slots__ = ("metrics", "_leader", "_group")

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Creates a log that has reported nothing."""
        self.metrics = metrics
        self._leader = ""
        self._group = group_lib.Group()

    def observe(self, voter: consensus.Voter, leader: str) -> None:
        """Reports what has changed since the last call.

        Args:
            voter: Voter of this instance.
            leader: Name of the instance that leads, or empty.
        """
        if leader != self._leader:
            self._leader = leader
            self.metrics.leader_known.set(bool(leader))
            _log.info(
                "leader changed",
                leader=leader or "none",
                term=voter.hard_state.term,
                voters=len(voter.group.voters),
            )
        if voter.group != self._group:
            self._group = voter.group
            self._report_group(voter)

    def _report_group(self, voter: consensus.Voter) -> None:
        voters = voter.group.voters
        learners = voter.group.members.keys() - voters
        self.metrics.group_members.labels("voter").set(len(voters))
        self.metrics.group_members.labels("learner").set(len(learners))
        _log.info(
            "control group changed",
            voters=sorted(voters),
            learners=sorted(learners),
            tolerated_losses=(len(voters) - 1) // 2,
            index=voter.group_index,
            commit_index=voter.commit_index,
        )
