"""Route matching, and replacement of documents by their number."""

import builders
from chivelb_core import document
import pytest


def match_name(table, host, path):
    named_route = table.match(host, path)
    return None if named_route is None else named_route[0]


def test_the_longest_prefix_of_the_host_wins():
    routed_document = document.Document(
        routes={
            "all": builders.make_route(path_prefix="/"),
            "long": builders.make_route(path_prefix="/a/b/"),
            "short": builders.make_route(path_prefix="/a/"),
            "other": builders.make_route(host="b.example", path_prefix="/a/"),
        }
    )
    table = document.RouteTable(routed_document)
    assert match_name(table, "a.example", "/a/b/c") == "long"
    assert match_name(table, "A.Example:8080", "/a/b") == "short"
    assert match_name(table, "a.example", "/zzz") == "all"
    assert match_name(table, "b.example", "/a/b/c") == "other"
    assert match_name(table, "b.example", "/b/") is None
    assert match_name(table, "c.example", "/a/") is None


@pytest.mark.parametrize(
    ("overrides", "path"),
    [
        ({"split": [document.WeightedService("nobody")]}, "routes/bad/split"),
        ({"split": [document.WeightedService("lm", 0.0)]}, "routes/bad/split"),
        ({"split": []}, "routes/bad/split"),
        ({"timeout_s": 0.0}, "routes/bad/timeout_s"),
        ({"path_prefix": "/x"}, "routes/bad/path_prefix"),
        ({"path_prefix": "/once/"}, "routes/once/path_prefix"),
    ],
)
def test_a_route_problem_has_the_path_of_the_invalid_value(overrides, path):
    valid = builders.make_routed_document()
    values = {"path_prefix": "/bad/", **overrides}
    routed_document = builders.make_routed_document(
        routes={"bad": builders.make_route(**values), **valid.routes}
    )
    assert document.validate_routes(valid) == []
    problems = document.validate_routes(routed_document)
    assert [problem.path for problem in problems] == [path]


def test_two_workspaces_must_not_share_a_key():
    valid = builders.make_routed_document()
    keys = valid.workspaces["w"].key_hashes
    duplicate = document.Workspace(
        key_hashes=keys, cache_secret="cd" * 16, services=[]
    )
    routed_document = builders.make_routed_document(
        workspaces={**valid.workspaces, "twin": duplicate}
    )
    problems = document.validate_routes(routed_document)
    assert [p.path for p in problems] == ["workspaces/twin/key_hashes"]


def make_replacement(number, source=b"{}", **options):
    return document.DocumentReplacement(
        number, builders.make_routed_document(**options), source
    )


def test_the_highest_document_number_wins_in_any_order():
    document_state = document.DocumentState()
    assert document_state.replace(make_replacement(7, b"seven"))
    assert not document_state.replace(make_replacement(7, b"another"))
    assert not document_state.replace(make_replacement(3, b"old", routes={}))
    assert (document_state.number, document_state.source) == (7, b"seven")
    assert document_state.document.routes
    assert document_state.version == 1
    assert document_state.replace(make_replacement(20, b"twenty", routes={}))
    assert (document_state.number, document_state.document.routes) == (20, {})


def test_model_weight_versions_only_increase():
    document_state = document.DocumentState()
    assert document_state.set_weight_version("m", 3)
    assert not document_state.set_weight_version("m", 2)
    assert not document_state.set_weight_version("m", 3)
    assert document_state.weights == {"m": 3}


def test_deltas_give_a_replica_the_same_document_and_weight_versions():
    document_state = document.DocumentState()
    document_state.replace(make_replacement(1))
    replica = document_state.to_replica()
    document_state.replace(make_replacement(2, routes={}))
    document_state.set_weight_version("m", 5)
    deltas = document_state.deltas_since(replica.version)
    replica = replica.apply_deltas(deltas)
    assert replica.document == document_state.document
    assert (replica.number, replica.weights) == (2, {"m": 5})
    assert replica.source == b""
