"""The table of parts of prompts that may crash targets."""

from chivelb_core.calls import part_suspects
import hypothesis
from hypothesis import strategies as st
import pytest

MIN = part_suspects.MIN_CRASHES_TO_REFUSE
GROWS_FROM = part_suspects.MAX_CRASHES_BEFORE_GROWTH
SEND = part_suspects.Verdict.SEND
TRY = part_suspects.Verdict.TRY
REFUSE = part_suspects.Verdict.REFUSE
(BAD, FIRST, OTHER) = part_suspects.part_keys("w", ["bad", "first", "other"])


def crash(table, *parts, count=1, at=0.0, name="t"):
    """Crashes a number of targets at a time, each with the parts."""
    for number in range(count):
        table.add_crash(
            part_suspects.PartCrash(f"{name}{number}/1", list(parts)), at
        )


def make_table(*parts, count=MIN, **options):
    table = part_suspects.PartSuspects()
    crash(table, *parts, count=count, **options)
    return table


def test_a_part_is_refused_after_crashes_of_distinct_targets():
    table = make_table(BAD, count=MIN - 1)
    crash(table, BAD)
    assert table.judge([BAD], 0.1) is SEND
    crash(table, BAD, count=MIN)
    assert table.judge([BAD], 0.1) is REFUSE
    assert table.judge([FIRST, OTHER], 0.1) is SEND


def test_a_part_on_which_an_answer_went_on_is_no_suspect():
    table = make_table(BAD)
    assert table.add_sound([BAD, FIRST], 0.1) == [BAD]
    assert table.judge([BAD], 10.0) is SEND


# Guards against a part that is refused while answers on it go on, because many
# targets crash faster than the answers are known elsewhere.
def test_a_part_that_was_sound_a_moment_ago_is_not_refused():
    table = part_suspects.PartSuspects()
    table.add_sound([FIRST], 0.0)
    crash(table, FIRST, count=MIN, at=0.1)
    assert table.judge([FIRST], 0.5) is SEND
    assert table.judge([FIRST], 1.1) is REFUSE


# Guards against connections that break while their targets go on.
def test_a_target_that_answers_later_had_not_crashed():
    table = make_table(BAD)
    assert not table.add_living_target("t0/1", part_suspects.ALIVE_AFTER_S / 2)
    assert table.add_living_target("t0/1", part_suspects.ALIVE_AFTER_S) == [BAD]
    assert table.judge([BAD], 1.0) is SEND
    table.check_invariants()


# Guards against a part that stays refused although it no longer crashes
# targets, and against trials that crash one target after the other.
def test_trials_of_a_part_become_rare_with_its_crashes():
    table = make_table(BAD)
    now, tried_at = 0.0, []
    while now < 3_600.0:
        now += 0.5
        if table.judge([BAD], now) is TRY:
            tried_at.append(now)
            table.add_trial([BAD], now)
            crash(table, BAD, at=now, name=f"trial-{now}-")
    # The fifth crash is that of the second trial.
    later = [at for at in tried_at[2:] if at > tried_at[1] + 3.0]
    assert len([at for at in later if at < 200.0]) <= 3
    assert len(tried_at) <= 8


def test_a_request_on_trial_is_sent_though_it_waited():
    table = make_table(BAD)
    table.add_trial([BAD], 3.0)
    assert table.judge([BAD], 3.1) is REFUSE
    assert table.judge([BAD], 3.1, on_trial=True) is TRY


# Guards against a trial that tells nothing: it has two refused parts, and
# makes the sound one a suspect again.
def test_a_request_with_two_refused_parts_is_no_trial():
    table = make_table(BAD, FIRST)
    crash(table, BAD, OTHER, at=0.1, name="u")
    crash(table, FIRST, OTHER, at=0.1, name="v")
    assert table.judge([BAD, FIRST], 10.0) is REFUSE
    assert table.judge([BAD], 10.0) is TRY


def test_a_part_is_not_refused_while_an_absent_one_explains_its_crashes():
    table = make_table(BAD, FIRST)
    assert table.judge([BAD, FIRST], 0.1) is REFUSE
    assert table.judge([FIRST], 0.1) is SEND
    table.add_sound([FIRST], 0.2)
    assert table.judge([BAD], 0.3) is REFUSE


# Guards against a workspace whose requests have parts of another one refused,
# or push its suspects out of the table.
def test_workspaces_do_not_change_the_suspects_of_others(monkeypatch):
    monkeypatch.setattr(part_suspects, "MAX_SUSPECTS_PER_WORKSPACE", 8)
    monkeypatch.setattr(part_suspects, "MAX_SUSPECTS", 12)
    table = make_table(BAD)
    for number in range(100):
        for workspace in ("x", "y"):
            keys = part_suspects.part_keys(workspace, ["bad", f"p{number}"])
            crash(table, *keys, at=float(number))
            table.check_invariants()
    assert table.judge([BAD], 1.0) is REFUSE
    assert table.judge(part_suspects.part_keys("z", ["bad"]), 1.0) is SEND


def test_the_suspects_with_fewer_crashes_are_forgotten_first(monkeypatch):
    monkeypatch.setattr(part_suspects, "MAX_SUSPECTS_PER_WORKSPACE", 2)
    table = make_table(BAD)
    crash(table, FIRST, at=1.0)
    crash(table, OTHER, at=2.0)
    assert set(table.suspects) == {BAD, OTHER}


def test_a_suspect_that_never_returns_is_forgotten():
    table = make_table(BAD, count=1)
    crash(table, BAD, at=part_suspects.MIN_RETENTION_S + 1.0, name="u")
    assert len(table.suspects[BAD].crashes) == 1


def test_merged_suspects_are_refused_alike():
    table, other = make_table(BAD, at=100.0), part_suspects.PartSuspects()
    assert other.digest() != table.digest()
    assert not other.merge(table.states(101.0), 5.0)
    assert other.digest() == table.digest()
    assert other.judge([BAD], 5.0) is REFUSE
    assert other.suspects[BAD].last_crash_at == pytest.approx(4.0)
    assert not other.states_beyond(table.states(101.0), 5.0)


def test_merged_suspects_that_are_sound_here_are_told():
    table, other = make_table(BAD, at=100.0), part_suspects.PartSuspects()
    other.add_sound([BAD], 4.9)
    assert other.merge(table.states(101.0), 5.0) == [BAD]
    assert not other.suspects


KEYS = st.sampled_from(
    [
        *part_suspects.part_keys("w", ["a", "b", "c", "d"]),
        *part_suspects.part_keys("x", ["a", "b"]),
    ]
)
TARGETS = st.sampled_from([f"t{number}/1" for number in range(8)])
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "sound", "living", "trial", "merge"]),
        st.lists(KEYS, max_size=3, unique=True),
        TARGETS,
        st.floats(min_value=0.0, max_value=400.0),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(STEPS)
def test_indexes_agree_after_any_steps(steps):
    table, peer = part_suspects.PartSuspects(), part_suspects.PartSuspects()
    now = 0.0
    for kind, parts, target, pause_s in steps:
        now += pause_s
        match kind:
            case "crash":
                table.add_crash(part_suspects.PartCrash(target, parts), now)
                peer.add_crash(part_suspects.PartCrash(target, parts[:1]), now)
            case "sound":
                table.add_sound(parts, now)
            case "living":
                table.add_living_target(target, now)
            case "trial":
                table.add_trial(parts, now)
            case "merge":
                table.merge(peer.states(now), now)
        table.judge(parts, now)
        table.check_invariants()
