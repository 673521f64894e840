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
        ({"split": [document.Share("nobody")]}, "routes/bad/split"),
        ({"split": [document.Share("lm", 0.0)]}, "routes/bad/split"),
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
    assert document.find_route_problems(valid) == []
    problems = document.find_route_problems(routed_document)
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
    problems = document.find_route_problems(routed_document)
    assert [p.path for p in problems] == ["workspaces/twin/key_hashes"]


def make_replacement(number, source=b"{}", **options):
    return document.Replacement(
        number, builders.make_routed_document(**options), source
    )


def test_the_highest_document_number_wins_in_any_order():
    register = document.Register()
    assert register.replace(make_replacement(7, b"seven"))
    assert not register.replace(make_replacement(7, b"another"))
    assert not register.replace(make_replacement(3, b"old", routes={}))
    assert (register.number, register.source) == (7, b"seven")
    assert register.document.routes
    assert register.version == 1
    assert register.replace(make_replacement(20, b"twenty", routes={}))
    assert (register.number, register.document.routes) == (20, {})


def test_weight_versions_only_increase():
    register = document.Register()
    assert register.name_weights("m", 3)
    assert not register.name_weights("m", 2)
    assert not register.name_weights("m", 3)
    assert register.weights == {"m": 3}


def test_a_replica_reaches_the_same_document_and_weights_by_deltas():
    register = document.Register()
    register.replace(make_replacement(1))
    replica = register.replica()
    register.replace(make_replacement(2, routes={}))
    register.name_weights("m", 5)
    deltas = register.deltas_since(replica.version)
    replica = replica.apply_deltas(deltas)
    assert replica.document == register.document
    assert (replica.number, replica.weights) == (2, {"m": 5})
    assert replica.source == b""
