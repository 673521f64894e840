"""No request uses what another workspace cached if one of them is isolated."""

import itertools

import builders
from chivelb_core import document
from chivelb_core.consensus import snapshots
from chivelb_core.document import sharing
from chivelb_core.document import state as state_lib
from chivelb_node.storage import restore
from chivelb_node.storage import voter_files
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import sharing_fleet

NAMES = ("a", "b", "c")
SHARED = {"a": False, "b": False, "c": False}
A_ISOLATED = {**SHARED, "a": True}
A_ABSENT = {"b": False, "c": False}
# What of each workspace a document says; None if it has no such workspace.
STATUSES = strategies.sampled_from([None, False, True])
DOCUMENTS = strategies.lists(
    strategies.fixed_dictionaries(dict.fromkeys(NAMES, STATUSES)).map(
        lambda statuses: {
            name: isolated
            for name, isolated in statuses.items()
            if isolated is not None
        }
    ),
    min_size=2,
    max_size=8,
)


def salts(document_state):
    """Returns the salt of each workspace of a document, by name."""
    return {
        name: sharing_fleet.salt_of(document_state, name)
        for name in document_state.document.workspaces
    }


# Others went on to use the parts that a workspace had cached while it shared
# them, after it had become isolated.
def test_others_use_nothing_that_a_workspace_cached_before_it_was_isolated():
    before, after = map(salts, sharing_fleet.make_states([SHARED, A_ISOLATED]))
    assert before["a"] == before["b"] == before["c"]
    assert after["b"] == after["c"]
    assert after["b"] != before["a"]
    assert after["a"] not in (before["a"], after["b"])


# The scope of the first document came back with a workspace that shared again.
def test_no_scope_returns_when_a_workspace_shares_again():
    states = sharing_fleet.make_states([SHARED, A_ISOLATED] * 3)
    shared = [salts(state)["b"] for state in states]
    assert len(set(shared)) == len(shared)
    # It does share again, with all others.
    assert salts(states[2])["a"] == shared[2]


# A workspace that was removed, and came back isolated, had shared before.
def test_a_removed_workspace_that_returns_isolated_starts_a_new_scope():
    states = sharing_fleet.make_states([SHARED, A_ABSENT, A_ISOLATED])
    assert salts(states[2])["b"] != salts(states[0])["a"]


# Parts that are shared need not be read again for changes that isolate nobody.
def test_the_scope_stays_while_no_workspace_changes_its_isolation():
    new_ones = {**A_ISOLATED, "d": True, "e": False}
    first, second, third = sharing_fleet.make_states(
        [A_ISOLATED, new_ones, {**A_ISOLATED, "e": False}]
    )
    assert salts(first)["b"] == salts(second)["b"] == salts(third)["b"]
    assert salts(first)["a"] == salts(third)["a"]


# A request that had arrived before went out with what shared documents say.
def test_a_call_that_waits_while_its_workspace_is_isolated_shares_nothing():
    shared, isolated = sharing_fleet.make_states([SHARED, A_ISOLATED])
    context = sharing_fleet.make_context(shared)
    call = sharing_fleet.make_call(context, "a")
    context.apply_document_state(isolated)
    salt = sharing_fleet.place(context, call)
    assert salt not in (salts(shared)["b"], salts(isolated)["b"])
    assert salt == salts(isolated)["a"]


def of_older_build(document_state):
    """Returns a state as a build without sharing epochs sends it."""
    fields = msgspec.msgpack.decode(
        state_lib.encode_document_state(document_state)
    )
    fields.pop("sharing_epoch", None)
    return state_lib.decode_document_state(msgspec.msgpack.encode(fields))


def observed_states(voter_states):
    """Returns all states that instances may have at each version.

    One has applied deltas, one was started with the newest state; the same
    with states that an instance of an older build sent.
    """
    for start, first in enumerate(voter_states):
        for copied in (first, of_older_build(first)):
            replica = copied.to_replica()
            yield replica
            for newer in voter_states[start + 1 :]:
                replica = replica.apply_deltas(
                    newer.deltas_since(replica.version)
                )
                yield replica


# Instances with documents of different age, restarted ones, and builds of
# different age mixed what an isolated workspace cached with that of others.
@settings(max_examples=60, deadline=None)
@given(DOCUMENTS)
@example([SHARED, A_ISOLATED, SHARED])
@example([A_ISOLATED, A_ABSENT, SHARED])
@example([SHARED, A_ABSENT, A_ISOLATED])
def test_no_two_workspaces_share_if_one_was_isolated_in_between(documents):
    voter_states = sharing_fleet.make_states(documents)
    uses_by_salt = {}
    for state in observed_states(voter_states):
        for name, salt in salts(state).items():
            uses_by_salt.setdefault(salt, set()).add((name, state.version))
    for uses in uses_by_salt.values():
        for (name, version), (other, at) in itertools.combinations(uses, 2):
            if name == other:
                continue
            first, last = sorted((version, at))
            for state in voter_states[first - 1 : last]:
                workspaces = state.document.workspaces
                assert not any(
                    workspaces[user].isolated
                    for user in (name, other)
                    if user in workspaces
                ), f"{name} at {version} and {other} at {at} share a scope"


# Instances that learned a version in different ways shared nothing.
@settings(max_examples=30, deadline=None)
@given(DOCUMENTS)
def test_instances_of_one_build_agree_on_the_scopes(documents):
    voter_states = sharing_fleet.make_states(documents)
    replica = voter_states[0].to_replica()
    for state in voter_states[1:]:
        replica = replica.apply_deltas(state.deltas_since(replica.version))
        assert salts(replica) == salts(state)


# A control group that was set up anew numbers its versions from 1 again, while
# stores still hold what workspaces of the former one shared.
def test_a_new_control_group_starts_a_new_scope():
    former = sharing_fleet.make_states([SHARED, SHARED])
    voter = document.DocumentState()
    number = former[-1].number + 1
    new_document = sharing_fleet.make_document(A_ISOLATED)
    voter.replace(builders.make_replacement(number, new_document))
    assert salts(voter)["b"] not in [salts(state)["a"] for state in former]


# The scope of the save came back, without the changes made after the save.
def test_a_restored_state_starts_a_new_scope(tmp_path):
    (saved,) = sharing_fleet.make_states([SHARED])
    data = state_lib.encode_document_state(saved)
    restore.restore_voter(data, tmp_path, name="i1", above=saved.version)
    files = voter_files.VoterFiles(tmp_path / "voter")
    snapshot = snapshots.decode_snapshot(files.recover().snapshot)
    restored = state_lib.decode_document_state(snapshot.state)
    assert salts(restored)["b"] != salts(saved)["b"]


# An instance without a control group reads its document from a file.
def test_documents_without_versions_share_by_the_set_of_isolated_workspaces():
    epochs = [
        sharing.digest_epoch(sharing_fleet.make_document(isolated_by_name))
        for isolated_by_name in (SHARED, A_ISOLATED, A_ABSENT)
    ]
    assert epochs[0] == epochs[2] != epochs[1]


# Two models of one service shared the scope of what they had cached.
def test_each_model_of_a_service_has_a_scope_of_its_own():
    (state,) = sharing_fleet.make_states([A_ISOLATED])
    scopes = [
        sharing_fleet.salt_of(state, workspace, model)
        for workspace in ("a", "b", "c")
        for model in ("m", "n")
    ]
    assert len(set(scopes)) == 4
    assert scopes[2:4] == scopes[4:6]


# A name of a workspace or model must not end the header that has the scope.
@given(strategies.text(min_size=1), strategies.text(min_size=1))
@settings(max_examples=50, deadline=None)
def test_the_scope_is_printable_whatever_the_names(name, model):
    (state,) = sharing_fleet.make_states([{"a": True, name: True}])
    context = sharing_fleet.make_context(state)
    call = sharing_fleet.make_call(context, "a", model)
    call.workspace = name
    salt = sharing_fleet.place(context, call)
    assert salt.isascii() and salt.isprintable() and "/" not in salt
    assert " " not in salt and len(salt) < 80
