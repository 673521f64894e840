import builders
from chivelb_core import codes
from chivelb_core import document
from chivelb_core.document import changes
from chivelb_core.document import model as model_lib
from chivelb_core.document import state as state_lib
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest


def test_the_sample_document_is_valid():
    assert document.validate_document(builders.make_document()) == []


INVALID_VALUES = [
    (
        "services/estimator-lm/model",
        {"services": {"estimator-lm": {"model": "no"}}},
    ),
    (
        "services/estimator-lm/policy",
        {"services": {"estimator-lm": {"model": "lm", "policy": "expected"}}},
    ),
    (
        "workspaces/joinery/services",
        {"workspaces": {"joinery": {"services": ["estimator"]}}},
    ),
    (
        "workspaces/joinery/cache_secret",
        {"workspaces": {"joinery": {"cache_secret": "xyz"}}},
    ),
    ("models/lm/current", {"models": {"lm": {"current": "v9"}}}),
    ("rules/check-in/service", {"rules": {"check-in": {"service": "no"}}}),
    ("limits/max_queue", {"limits": {"max_queue": 0}}),
]


@pytest.mark.parametrize("path,overlay", INVALID_VALUES)
def test_each_problem_has_the_path_of_the_invalid_value(path, overlay):
    data = msgspec.to_builtins(builders.make_document())
    for collection, parts in overlay.items():
        if collection == "limits":
            data["limits"].update(parts)
            continue
        for name, values in parts.items():
            data[collection][name].update(values)
    invalid = msgspec.convert(data, document.Document)
    problems = document.validate_document(invalid)
    assert [problem.path for problem in problems] == [path]


def test_two_workspaces_never_share_a_key_or_secret():
    data = msgspec.to_builtins(builders.make_document())
    first, other = data["workspaces"].values()
    other["key_hashes"] = first["key_hashes"]
    other["cache_secret"] = first["cache_secret"]
    problems = document.validate_document(
        msgspec.convert(data, document.Document)
    )
    assert len(problems) == 2


def test_the_closest_match_is_suggested():
    data = msgspec.to_builtins(builders.make_document())
    data["services"]["estimator-lm"]["policy"] = "least_load"
    problems = document.validate_document(
        msgspec.convert(data, document.Document)
    )
    assert "did you mean 'least_loaded'?" in problems[0].message


def test_equal_version_races_have_one_winner():
    document_state = builders.make_document_state()
    answers = [
        document_state.apply_change(builders.make_change(f"c{number}"))
        for number in range(3)
    ]
    assert [a.code for a in answers] == [
        codes.DONE.number,
        codes.CHANGE_CONFLICT.number,
        codes.CHANGE_CONFLICT.number,
    ]
    assert answers[1].version == document_state.version == 2


def test_changes_of_different_parts_do_not_conflict():
    document_state = builders.make_document_state()
    value = msgspec.to_builtins(document_state.document.models["lm"])
    first = builders.make_change("c1")
    second = builders.make_change("c2", path="models/lm", value=value)
    assert document_state.apply_change(first).code == codes.DONE.number
    assert document_state.apply_change(second).code == codes.DONE.number


def test_a_whole_document_change_conflicts_with_any_other():
    document_state = builders.make_document_state()
    document_state.apply_change(builders.make_change("c1"))
    whole_change = builders.make_change("c2", path="rules/check-in", whole=True)
    answer = document_state.apply_change(whole_change)
    assert answer.code == codes.CHANGE_CONFLICT.number


def test_a_resent_change_gets_its_first_answer():
    document_state = builders.make_document_state()
    first = document_state.apply_change(builders.make_change("c1"))
    document_state.apply_change(builders.make_change("c2", base=2))
    assert document_state.apply_change(builders.make_change("c1")) == first
    assert document_state.version == 3


def test_a_change_id_reused_for_other_operations_is_rejected():
    document_state = builders.make_document_state()
    document_state.apply_change(builders.make_change("c1"))
    other = builders.make_change("c1", value={"max_queue": 5})
    answer = document_state.apply_change(other)
    assert answer.code == codes.CHANGE_ID_REUSED.number


def test_an_invalid_change_does_not_modify_the_document():
    document_state = builders.make_document_state()
    before = document_state.document
    invalid = builders.make_change(path="models/lm", value={"versions": []})
    answer = document_state.apply_change(invalid)
    assert answer.code == codes.CHANGE_INVALID.number
    assert answer.problems
    assert document_state.document is before


def test_a_replica_follows_by_deltas_and_notices_gaps():
    document_state = builders.make_document_state()
    replica = document_state.to_replica()
    for number in range(1, 40):
        document_state.apply_change(
            builders.make_change(
                f"c{number}", base=number, value={"max_queue": number}
            )
        )
    deltas = document_state.deltas_since(replica.version)
    caught_up = replica.apply_deltas(deltas)
    assert caught_up.document == document_state.document
    assert caught_up.version == document_state.version
    with pytest.raises(ValueError, match="does not follow"):
        replica.apply_deltas(deltas[1:])


def test_fencing_tokens_increase_and_a_lease_has_one_holder():
    document_state = document.DocumentState()
    first = document_state.grant_lease("controller", "a", 0)
    assert document_state.grant_lease("controller", "b", 0) == 0
    assert document_state.grant_lease("controller", "a", 0) == first
    assert document_state.grant_lease("controller", "b", first) > first


def test_a_document_state_round_trips_through_its_encoding():
    document_state = builders.make_document_state()
    document_state.apply_change(builders.make_change())
    data = state_lib.encode_document_state(document_state)
    assert state_lib.decode_document_state(data) == document_state


def test_redaction_hides_every_secret():
    original = builders.make_document()
    redacted = msgspec.json.encode(model_lib.redact(original))
    for workspace in original.workspaces.values():
        assert workspace.cache_secret.encode() not in redacted


def test_applying_a_diff_yields_the_new_document():
    old = builders.make_document()
    new = builders.make_document(workspaces=["joinery", "panels"])
    operations = changes.diff_documents(old, new)
    result, problems = changes.apply_operations(old, operations)
    assert not problems
    assert result == new


json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=12,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    strategies.sampled_from(
        ["limits", "models/lm", "services/x", "workspaces/w", "rules/r", "no"]
    )
    | strategies.text(max_size=20),
    json_values,
)
def test_any_operation_is_applied_or_explained(path, value):
    before = builders.make_document()
    result, problems = changes.apply_operations(
        before, [changes.Operation(path, value)]
    )
    if not problems:
        assert document.validate_document(result) == []


@settings(max_examples=200, derandomize=True, deadline=None)
@given(strategies.binary(max_size=100))
def test_arbitrary_bytes_are_not_a_document(data):
    with pytest.raises((msgspec.MsgspecError, UnicodeDecodeError)):
        model_lib.decode_document(b"\x00" + data)
