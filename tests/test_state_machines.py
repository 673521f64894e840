"""State machines of property tests: membership, distribution, target leases."""

import builders
from chivelb_core import document
from chivelb_core import targets
from chivelb_core.document import state as state_lib
from chivelb_core.targets import claims
from chivelb_core.testing import swim_group
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

NAMES = [f"n{number}" for number in range(4)]
names = strategies.sampled_from(NAMES)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Members crash, pause, lose messages and restart, then converge.

    At the end the faults are healed, and every member sees all as alive.
    """

    def __init__(self):
        super().__init__()
        self.group = swim_group.SwimSimulation({"r": NAMES}, seed=5)
        self.incarnations = {}

    @stateful.rule(seconds=strategies.sampled_from([0.3, 2.0, 6.0]))
    def wait(self, seconds):
        self.group.run(seconds)

    @stateful.rule(name=names)
    def crash(self, name):
        self.group.crash(name)

    @stateful.rule(name=names)
    def start(self, name):
        if name not in self.group.running_members:
            self.group.start("r", name)

    @stateful.rule(name=names)
    def pause(self, name):
        self.group.paused.add(name)

    @stateful.rule()
    def resume_all(self):
        self.group.paused.clear()

    @stateful.rule(name=names, other=names)
    def block_link(self, name, other):
        self.group.block_link(name, other)

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.3]))
    def lose(self, loss):
        self.group.loss = loss

    @stateful.rule()
    def heal(self):
        self.group.blocked_links.clear()

    @stateful.invariant()
    def incarnations_never_decrease(self):
        for observer, swim in self.group.running_members.items():
            swim.check_invariants()
            for name, state in swim.members.items():
                key = (swim, observer, name)
                before = self.incarnations.get(key, 0)
                assert state.member.incarnation >= before
                self.incarnations[key] = state.member.incarnation

    def teardown(self):
        self.group.blocked_links.clear()
        self.group.paused.clear()
        self.group.loss = 0.0
        for name in NAMES:
            if name not in self.group.running_members:
                self.group.start("r", name)
        self.group.run(60.0)
        for name in NAMES:
            assert self.group.observed_statuses(name) == {"alive"}


MembershipMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    # Failing examples are not shrunk: shrinking takes minutes.
    phases=(Phase.explicit, Phase.generate),
)
TestMembership = MembershipMachine.TestCase


class DistributionMachine(stateful.RuleBasedStateMachine):
    """Replicas that lose, repeat and reorder pushed deltas.

    All replicas with the same version must have the same document.
    """

    def __init__(self):
        super().__init__()
        self.document_state = builders.make_document_state()
        self.replicas = [self.document_state.to_replica() for _ in range(3)]
        self.pushed = []
        self.documents = {1: self.document_state.document}
        self.number = 0

    @stateful.rule(stale=strategies.booleans(), resend=strategies.booleans())
    def change(self, stale, resend):
        if not (resend and self.number):
            self.number += 1
        base = max(1, self.document_state.version - int(stale))
        change = builders.make_change(
            f"c{self.number}", base, value={"max_queue": self.number + 1}
        )
        before = self.document_state.version
        self.document_state.apply_change(change)
        assert self.document_state.version in (before, before + 1)
        self.documents.setdefault(
            self.document_state.version, self.document_state.document
        )
        if self.document_state.version > before:
            self.pushed.append(self.document_state.deltas_since(before))

    @stateful.rule(
        which=strategies.integers(0, 2), position=strategies.integers(0, 50)
    )
    def receive_push(self, which, position):
        if not self.pushed:
            return
        deltas = self.pushed[position % len(self.pushed)]
        replica = self.replicas[which]
        newer = [d for d in deltas if d.version > replica.version]
        if newer and newer[0].version == replica.version + 1:
            self.replicas[which] = replica.apply_deltas(newer)

    @stateful.rule(
        which=strategies.integers(0, 2), source=strategies.integers(0, 3)
    )
    def pull(self, which, source):
        holder = ([*self.replicas, self.document_state])[source]
        replica = self.replicas[which]
        if holder.version <= replica.version:
            return
        deltas = holder.deltas_since(replica.version)
        if deltas is not None:
            self.replicas[which] = replica.apply_deltas(deltas)
        else:
            data = state_lib.encode_document_state(holder.to_replica())
            self.replicas[which] = state_lib.decode_document_state(data)

    @stateful.rule(which=strategies.integers(0, 2))
    def restart_from_highest_replica(self, which):
        highest = max(self.replicas, key=lambda r: r.version)
        data = state_lib.encode_document_state(highest)
        self.replicas[which] = state_lib.decode_document_state(data)

    @stateful.rule()
    def forget_history(self):
        del self.document_state.history[:-1]

    @stateful.invariant()
    def each_version_has_one_document(self):
        for replica in self.replicas:
            assert replica.document == self.documents[replica.version]


DistributionMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
TestDistribution = DistributionMachine.TestCase


class TargetMachine(stateful.RuleBasedStateMachine):
    """Announcements that are delayed, repeated and reordered.

    Only a target that is ready, not leaving and within its lease is eligible.
    Besides newer ones, an announcement counts that tells first that the known
    incarnation leaves, and one of an earlier incarnation if the known one has
    been silent for some time.
    """

    def __init__(self):
        super().__init__()
        self.table = targets.TargetTable()
        self.now = 0.0
        self.left = set()
        self.newest = None
        self.refuted = (-1, -1)

    @stateful.rule(
        incarnation=strategies.integers(1, 3),
        sequence=strategies.integers(1, 6),
        state=strategies.sampled_from(["ready", "loading", "leaving"]),
    )
    def announce(self, incarnation, sequence, state):
        record = builders.make_record(
            incarnation=incarnation,
            sequence=sequence,
            state=state,
            lease_s=2.0,
        )
        is_newer = self.newest is None or record.order > self.newest[0]
        is_void = incarnation == self.refuted[0] and sequence <= self.refuted[1]
        if not self.table.announce(record, self.now):
            assert not is_newer or is_void
            return
        assert not is_void
        if is_newer:
            self.newest = (record.order, self.now, state)
        elif incarnation == self.newest[0][0]:
            assert state == "leaving"
            assert incarnation not in self.left
        else:
            assert incarnation < self.newest[0][0]
            assert self.now - self.newest[1] >= claims.REFUTE_AFTER_S
            self.refuted = self.newest[0]
            self.newest = (record.order, self.now, state)
        if state == "leaving":
            self.left.add(incarnation)

    @stateful.rule(incarnation=strategies.integers(1, 3))
    def receive_leaving_notice(self, incarnation):
        self.table.mark_leaving("r1", incarnation)
        if self.newest is not None and self.newest[0][0] == incarnation:
            self.left.add(incarnation)

    @stateful.rule(seconds=strategies.sampled_from([0.5, 1.5, 3.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def only_a_live_ready_target_is_eligible(self):
        eligible = self.table.is_eligible("r1", self.now)
        if self.newest is None:
            assert not eligible
            return
        order, last_message_at, state = self.newest
        wanted = (
            state == "ready"
            and order[0] not in self.left
            and self.now < last_message_at + 2.0
        )
        assert eligible == wanted


TargetMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, derandomize=True, deadline=None
)
TestTargets = TargetMachine.TestCase


def test_an_empty_document_state_serves_its_replica():
    assert document.DocumentState().to_replica().version == 0
