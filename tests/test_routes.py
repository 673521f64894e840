"""Routes, and documents that replace each other by their number."""

import builders
from chivelb_core import document
import pytest


def match(table, host, path):
    found = table.match(host, path)
    return None if found is None else found[0]


def test_the_longest_prefix_of_the_host_wins():
    routed = document.Document(
        routes={
            "all": builders.make_route(path_prefix="/"),
            "long": builders.make_route(path_prefix="/a/b/"),
            "short": builders.make_route(path_prefix="/a/"),
            "other": builders.make_route(host="b.example", path_prefix="/a/"),
        }
    )
    table = document.RouteTable(routed)
    assert match(table, "a.example", "/a/b/c") == "long"
    assert match(table, "A.Example:8080", "/a/b") == "short"
    assert match(table, "a.example", "/zzz") == "all"
    assert match(table, "b.example", "/a/b/c") == "other"
    assert match(table, "b.example", "/b/") is None
    assert match(table, "c.example", "/a/") is None


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"split": [document.Share("nobody")]}, "routes/bad/split"),
        ({"split": [document.Share("lm", 0.0)]}, "routes/bad/split"),
        ({"split": []}, "routes/bad/split"),
        ({"timeout_s": 0.0}, "routes/bad/timeout_s"),
        ({"path_prefix": "/x"}, "routes/bad/path_prefix"),
        ({"path_prefix": "/once/"}, "routes/once/path_prefix"),
    ],
)
def test_a_fault_of_a_route_is_named_by_its_path(change, path):
    good = builders.make_routed_document()
    values = {"path_prefix": "/bad/", **change}
    routed = builders.make_routed_document(
        routes={"bad": builders.make_route(**values), **good.routes}
    )
    assert document.find_route_problems(good) == []
    problems = document.find_route_problems(routed)
    assert [problem.path for problem in problems] == [path]


def test_two_workspaces_must_not_share_a_key():
    good = builders.make_routed_document()
    keys = good.workspaces["w"].key_hashes
    twin = document.Workspace(
        key_hashes=keys, cache_secret="cd" * 16, services=[]
    )
    routed = builders.make_routed_document(
        workspaces={**good.workspaces, "twin": twin}
    )
    problems = document.find_route_problems(routed)
    assert [p.path for p in problems] == ["workspaces/twin/key_hashes"]


def replacement(number, source=b"{}", **options):
    return document.Replacement(
        number, builders.make_routed_document(**options), source
    )


def test_the_highest_number_wins_whatever_comes_when():
    register = document.Register()
    assert register.replace(replacement(7, b"seven"))
    assert not register.replace(replacement(7, b"another"))
    assert not register.replace(replacement(3, b"old", routes={}))
    assert (register.number, register.source) == (7, b"seven")
    assert register.document.routes
    assert register.version == 1
    assert register.replace(replacement(20, b"twenty", routes={}))
    assert (register.number, register.document.routes) == (20, {})


def test_weight_versions_only_grow():
    register = document.Register()
    assert register.name_weights("m", 3)
    assert not register.name_weights("m", 2)
    assert not register.name_weights("m", 3)
    assert register.weights == {"m": 3}


def test_a_follower_comes_by_links_to_the_same_document_and_weights():
    register = document.Register()
    register.replace(replacement(1))
    follower = register.replica()
    register.replace(replacement(2, routes={}))
    register.name_weights("m", 5)
    links = register.deltas_since(follower.version)
    follower = follower.apply_deltas(links)
    assert follower.document == register.document
    assert (follower.number, follower.weights) == (2, {"m": 5})
    assert follower.source == b""
