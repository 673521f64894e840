"""Checks of the repository: imports, links, test names and scenarios."""

import ast
import pathlib
import re
import subprocess

from chivelb_cli.bench import scenario
import pytest

ROOT = pathlib.Path(__file__).parent.parent
ALLOWED_IMPORTS = {
    "chivelb_core": {"chivelb_core"},
    "chivelb_node": {"chivelb_core", "chivelb_node"},
    "chivelb_cli": {"chivelb_core", "chivelb_node", "chivelb_cli"},
}


def source_paths():
    return sorted((ROOT / "packages").glob("*/chivelb_*/**/*.py"))


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


@pytest.mark.parametrize("path", source_paths(), ids=lambda p: p.stem)
def test_packages_import_in_one_direction(path):
    package = path.relative_to(ROOT / "packages").parts[1]
    internal = {
        name.split(".")[0]
        for name in imported_modules(path)
        if name.startswith("chivelb_")
    }
    assert internal <= ALLOWED_IMPORTS[package]


def test_the_core_has_no_sockets_clocks_or_files():
    banned = {"socket", "asyncio", "time", "os", "pathlib", "aiohttp", "mode"}
    for path in source_paths():
        if "chivelb_core" in path.parts:
            found = {
                name.split(".")[0] for name in imported_modules(path)
            } & banned
            assert not found, f"{path.name} imports {found}"


def test_the_modules_of_the_control_group_import_in_one_direction():
    # The control group is the Raft group of the voters.
    folder = ROOT / "packages/chivelb-core/chivelb_core/consensus"
    imports_by_module = {
        path.stem: {
            alias.name
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
            if isinstance(node, ast.ImportFrom)
            and node.module == "chivelb_core.consensus"
            for alias in node.names
        }
        for path in folder.glob("*.py")
        if path.stem != "__init__"
    }
    while imports_by_module:
        leaf_modules = [
            name
            for name, imports in imports_by_module.items()
            if not imports & set(imports_by_module)
        ]
        assert leaf_modules, f"import cycle among {sorted(imports_by_module)}"
        for name in leaf_modules:
            del imports_by_module[name]


def defined_test_names():
    names = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        for line in path.read_text(encoding="utf-8").splitlines():
            match = re.match(r"def (test_\w+)|(Test\w+) = ", line)
            if match:
                names.add(f"{path.stem}::{match[1] or match[2]}")
    return names


def test_every_test_that_the_promises_name_exists():
    # The promises are the guarantees of the system.
    text = (ROOT / "docs" / "promises.md").read_text(encoding="utf-8")
    named = set(re.findall(r"`(test_\w+::\w+)`", text))
    assert len(named) > 30
    assert named <= defined_test_names(), named - defined_test_names()


def test_every_scenario_file_is_valid_and_has_faults():
    for path in (ROOT / "scenarios").glob("*.ini"):
        loaded = scenario.read_scenario(path)
        assert loaded.faults, path.name


def test_every_linked_page_exists():
    for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]:
        for link in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
            if "://" not in link:
                assert (page.parent / link).exists(), f"{page}: {link}"


def test_known_red_entries_have_four_fields():
    # Test id, command and seed, what was seen, and issue.
    for line in (ROOT / "KNOWN-RED.txt").read_text().splitlines():
        if line and not line.startswith("#"):
            assert len(line.split("|")) == 4, line


def test_an_invalid_scenario_is_refused_with_the_fault(tmp_path):
    path = tmp_path / "x.ini"
    path.write_text("[run]\nworkloud = caroni\n")
    with pytest.raises(scenario.ScenarioError, match="workload"):
        scenario.read_scenario(path)
    path.write_text("[run]\n[a]\nat_s = 1\naction = explode\n")
    with pytest.raises(scenario.ScenarioError, match="explode"):
        scenario.read_scenario(path)


def test_no_generated_or_local_file_is_committed():
    tracked_files = subprocess.run(
        ["git", "ls-files"], cwd=ROOT, capture_output=True, text=True
    ).stdout.splitlines()
    unwanted = [
        f
        for f in tracked_files
        if "__pycache__" in f or f.startswith("results/")
    ]
    assert not unwanted
