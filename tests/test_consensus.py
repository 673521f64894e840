import random

from chivelb_core.consensus import messages as consensus_messages
from chivelb_core.consensus import states
from chivelb_core.consensus import voter as voter_lib
from chivelb_core.testing import control_group
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

NAMES = ("a", "b", "c")
names = strategies.sampled_from(NAMES)
positions = strategies.integers(0, 500)


class ControlGroupMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.group = control_group.ControlGroupSimulation(seed=1, names=NAMES)

    @stateful.rule(position=positions, duplicate=strategies.booleans())
    def deliver(self, position, duplicate):
        self.group.deliver(position, duplicate=duplicate)

    @stateful.rule()
    def deliver_all(self):
        for _ in range(200):
            self.group.deliver(0)

    @stateful.rule(position=positions)
    def drop(self, position):
        self.group.drop(position)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 0.5, 1.5, 3.0]))
    def advance(self, seconds):
        self.group.advance(seconds)

    @stateful.rule(name=names)
    def pause(self, name):
        self.group.advance_with_paused(name, 2.0)

    @stateful.rule(name=names, data=strategies.binary(max_size=3))
    def propose(self, name, data):
        self.group.propose(name, data)

    @stateful.rule(name=names, before_sync=strategies.booleans())
    def crash(self, name, before_sync):
        if before_sync:
            self.group.crash_before_sync(name)
        else:
            self.group.crash(name)

    @stateful.rule(name=names)
    def start(self, name):
        self.group.start(name)

    @stateful.rule(name=names)
    def lose_disk(self, name):
        self.group.lose_disk(name)

    @stateful.rule(name=names, other=names)
    def block_link(self, name, other):
        self.group.block_link(name, other)

    @stateful.rule(name=names)
    def isolate(self, name):
        self.group.isolate(name)

    @stateful.rule(data=strategies.binary(max_size=3))
    def isolate_leader_until_replaced(self, data):
        self.group.isolate_leader_until_replaced(data)

    @stateful.rule()
    def heal(self):
        self.group.heal()

    @stateful.rule(name=names)
    def compact(self, name):
        self.group.compact(name)

    @stateful.invariant()
    def check(self):
        self.group.check()

    def teardown(self):
        self.group.converge()


ControlGroupMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=60, derandomize=True, deadline=None
)
TestControlGroup = ControlGroupMachine.TestCase


# Seed 25 guards against a fault after which the group elected no leader.
@pytest.mark.parametrize("seed", [*range(6), 25])
def test_long_random_runs_keep_what_was_acknowledged(seed):
    group = control_group.ControlGroupSimulation(seed)
    rng = random.Random(seed)
    for step in range(2_500):
        control_group.take_random_step(group, rng)
        if step % 250 == 0:
            group.converge()
    leader = group.converge()
    assert group.propose(leader, b"last")
    group.converge()
    assert group.acknowledged[-1][1] == b"last"
    assert len(group.acknowledged) > 20


def test_an_isolated_leader_steps_down_within_the_election_timeout():
    group = control_group.ControlGroupSimulation(seed=3)
    name = group.converge()
    group.isolate(name)
    isolated_at = group.now
    timeout_s = states.Timing().election_timeout_s + 0.1
    while group.voters[name].role is states.Role.LEADER:
        group.advance(0.05)
        assert group.now - isolated_at <= timeout_s
    assert not group.propose(name, b"x")


def test_an_isolated_leader_confirms_no_read():
    group = control_group.ControlGroupSimulation(seed=4)
    name = group.converge()
    group.isolate(name)
    round_number = group.voters[name].start_read(group.now)
    for _ in range(10):
        group.advance(0.05)
        while group.in_flight:
            group.deliver(0)
        assert not group.voters[name].is_read_confirmed(round_number)


def test_a_returning_isolated_member_does_not_depose_the_leader():
    group = control_group.ControlGroupSimulation(seed=5)
    name = group.converge()
    term = group.voters[name].hard_state.term
    other = next(n for n in NAMES if n != name)
    group.isolate(other)
    for _ in range(100):
        group.advance(0.1)
        while group.in_flight:
            group.deliver(0)
    assert group.converge() == name
    assert group.voters[name].hard_state.term == term


def test_a_second_disk_lost_right_after_a_repair_loses_nothing():
    group = control_group.ControlGroupSimulation(seed=6)
    for number in range(3):
        name = group.converge()
        assert group.propose(name, f"kept {number}".encode())
        group.converge()
        victim = NAMES[number]
        group.lose_disk(victim)
        group.converge()
    acknowledged = [data for _, data in group.acknowledged]
    assert acknowledged == [b"kept 0", b"kept 1", b"kept 2"]
    applied = {entry.data for entry in group.committed_entries.values()}
    assert applied.issuperset(acknowledged)


def test_a_rolled_back_disk_is_detected_and_its_member_excluded():
    group = control_group.ControlGroupSimulation(seed=7)
    name = group.converge()
    victim = next(n for n in NAMES if n != name)
    old = list(group.disks[victim].entries)
    for number in range(5):
        group.propose(name, bytes([number]))
        group.converge()
    group.crash(victim)
    group.disks[victim].entries = old
    group.start(victim)
    for _ in range(20):
        group.advance(0.1)
        while group.in_flight:
            group.deliver(0)
    # A disowned member takes no part until it joins again under a new id.
    assert group.voters[victim].disowned


def test_a_late_rejection_does_not_mark_a_member_as_rolled_back():
    group = control_group.ControlGroupSimulation(seed=8)
    name = group.converge()
    leader = group.voters[name]
    other = next(m for m in leader.progress)
    progress = leader.progress[other]
    late_reply = control_group.consensus.voter.messages.AppendReply(
        leader.member_id, other, leader.hard_state.term, False, 0, 0
    )
    leader.receive(late_reply, group.now)
    leader.receive(late_reply, group.now)
    assert not progress.rolled_back


def make_group():
    return control_group.group_lib.Group(
        {
            f"{n}/1": control_group.group_lib.Member(f"{n}/1", n, True)
            for n in NAMES
        }
    )


def make_leader(entries):
    """Returns the leader of term 3 with the given entries in its log."""
    log = control_group.log_lib.Log()
    for term, data in entries:
        log.append(
            control_group.log_lib.Entry(
                log.last_index + 1, term, "change", data
            )
        )
    voter = voter_lib.Voter(
        "a/1",
        make_group(),
        timing=states.Timing(),
        rng=random.Random(1),
        now=0.0,
        hard_state=states.HardState(2, "b/1"),
        log=log,
    )
    voter.tick(9.0)
    for pre, term in ((True, 3), (False, 3)):
        voter.receive(
            consensus_messages.VoteReply("a/1", "b/1", term, True, pre), 9.0
        )
    assert voter.role is states.Role.LEADER
    effects = voter.take_effects()
    voter.record_synced(effects.entries[-1].index, 9.0)
    return voter


def plan_change(voter):
    return control_group.replacement_lib.plan_membership_change(
        voter, 9.3, fault_tolerance=1
    )


def acknowledge(voter, index):
    voter.receive(
        consensus_messages.AppendReply("a/1", "b/1", 3, True, index, 1), 9.1
    )


def test_entries_of_older_terms_commit_only_with_one_of_the_current_term():
    voter = make_leader([(1, b"old")])
    acknowledge(voter, 1)
    assert voter.commit_index == 0
    acknowledge(voter, 2)
    assert voter.commit_index == 2


def test_nothing_is_committed_without_a_majority():
    voter = make_leader([])
    assert voter.commit_index == 0
    assert voter.propose("change", b"x", 9.2) == (2, 3)
    voter.record_synced(2, 9.2)
    assert voter.commit_index == 0


def test_a_learner_is_promoted_only_after_it_has_caught_up():
    voter = make_leader([(1, b"old")])
    acknowledge(voter, 2)
    group_with_learner = control_group.replacement_lib.admit_learner(
        voter.group, "c/2", "c"
    )
    assert voter.propose_group(group_with_learner, 9.2)
    voter.record_synced(3, 9.2)
    acknowledge(voter, 3)
    assert voter.commit_index == 3
    assert plan_change(voter) is None
    voter.receive(
        consensus_messages.AppendReply("a/1", "c/2", 3, True, 3, 2), 9.3
    )
    step = plan_change(voter)
    assert "c/1" not in step.members


def test_a_complete_log_wins_the_election_against_a_newer_term():
    group = control_group.ControlGroupSimulation(seed=9)
    name = group.converge()
    other, lost = (n for n in NAMES if n != name)
    group.isolate(other)
    assert group.propose(name, b"kept")
    for _ in range(10):
        group.advance(0.05)
        while group.in_flight:
            group.deliver(0)
    # The member with the shorter log has seen a newer term, and the disk of
    # the third member is lost. The two remaining members must still elect the
    # one with the complete log.
    group.voters[other].hard_state.term += 3
    group.disks[other].hard_state.term = group.voters[other].hard_state.term
    group.crash(name)
    group.lose_disk(lost)
    assert group.converge() in NAMES
    assert b"kept" in {entry.data for entry in group.committed_entries.values()}


def make_follower(entries, commit):
    """Returns a follower of a/1 in term 3 that acknowledged the entries."""
    voter = voter_lib.Voter(
        "b/1",
        make_group(),
        timing=states.Timing(),
        rng=random.Random(1),
        now=0.0,
        hard_state=states.HardState(3, "a/1"),
    )
    append(voter, 0, 0, entries, commit)
    return voter


def append(voter, prev, prev_term, entries, commit, term=3):
    voter.receive(
        consensus_messages.Append(
            "b/1", "a/1", term, prev, prev_term, entries, commit, 1
        ),
        1.0,
    )
    effects = voter.take_effects()
    if effects.entries:
        voter.record_synced(effects.entries[-1].index, 1.0)
    return effects


def make_entry(index, kind="change", data=b"x", term=3):
    return control_group.log_lib.Entry(index, term, kind, data)


def test_a_snapshot_never_removes_later_acknowledged_entries():
    voter = make_follower([make_entry(n) for n in (1, 2, 3)], commit=1)
    data = control_group.snapshots.encode_snapshot(voter.group, b"")
    part = consensus_messages.SnapshotPart(
        "b/1", "a/1", 3, 2, 3, 0, len(data), data
    )
    voter.receive(part, 1.1)
    assert voter.log.last_index == 3
    assert voter.commit_index == 2
    reply = voter.take_effects().outgoing[-1]
    assert reply.offset == len(data)


def test_a_compacted_member_can_revert_a_pending_group_change():
    voter = make_follower([make_entry(1)], commit=1)
    before = voter.group
    learner = control_group.replacement_lib.admit_learner(before, "c/2", "c")
    pending = make_entry(
        2, "members", control_group.snapshots.encode_group(learner)
    )
    append(voter, 1, 3, [pending], commit=1)
    assert voter.group == learner
    voter.compact(1, b"snapshot")
    assert voter.committed_group() == before
    # A new leader does not have the membership change in its log.
    append(voter, 1, 3, [make_entry(2, term=4)], commit=1, term=4)
    assert voter.group == before


# Guards against a log of large entries that fills the disk, and that is read
# and applied as a whole at each start, before the first snapshot is due.
def test_a_snapshot_is_due_before_large_entries_make_a_large_log():
    voter = make_follower([], commit=0)
    entry_bytes = 22_000
    due_at = None
    for index in range(1, 1_001):
        data = bytes([index % 256]) * entry_bytes
        term = 3 if index > 1 else 0
        entry = make_entry(index, data=data)
        append(voter, index - 1, term, [entry], commit=index)
        if due_at is None and voter.is_snapshot_due():
            due_at = index
            voter.compact(index - 1, b"snapshot" * 500_000)
            assert voter.log.command_bytes == entry_bytes
    assert due_at * entry_bytes < 5_000_000
    # A larger snapshot allows a larger log.
    assert voter.is_snapshot_due()
    assert voter.log.command_bytes > 8_000_000
