"""Subcommands that call the operator API of an instance."""

import argparse
import json
import os
import pathlib
import secrets
import sys
import time
from typing import Any
import urllib.error
import urllib.request

from chivelb_core import document
from chivelb_core.document import changes as changes_lib
from chivelb_core.document import model as model_lib
import msgspec

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
# An instance serves by an older document version than the one awaited, or than
# the latest one that any instance reports.
EXIT_BEHIND = 4
REQUEST_TIMEOUT_S = 15.0
APPLY_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.1
# Bytes of an unexpected response that an error message shows.
MAX_SHOWN_BYTES = 80
OPERATOR_KEY_VARIABLE = "CHIVELB_OPERATOR_KEY"


class CommandError(Exception):
    """Terminates a command with an error message and exit code.

    Attributes:
        exit_code: Exit code of the process.
    """

    def __init__(self, message: str, exit_code: int) -> None:
        """Creates an error.

        Args:
            message: Message for the user.
            exit_code: Exit code of the process.
        """
        super().__init__(message)
        self.exit_code = exit_code


def add_parsers(commands) -> None:
    """Adds the subcommands."""
    check = _add_operator_parser(
        commands, "check", "check a configuration document", check_document
    )
    check.add_argument("file")
    apply_parser = _add_operator_parser(
        commands, "apply", "apply a configuration document", apply_document
    )
    apply_parser.add_argument("file")
    apply_parser.add_argument(
        "--base", type=int, help="version that the document is based on"
    )
    apply_parser.add_argument(
        "--change-id", help="idempotency key; reuse it when you retry"
    )
    apply_parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until it is in force on all instances",
    )
    show = _add_operator_parser(
        commands, "show", "print the configuration document", show_document
    )
    show.add_argument(
        "--current",
        action="store_true",
        help="confirm with a quorum that it is the latest version",
    )
    diff = _add_operator_parser(
        commands,
        "diff",
        "compare the document of the instance with a file",
        diff_document,
    )
    diff.add_argument("file")
    _add_operator_parser(
        commands, "history", "print the latest changes", show_history
    )
    _add_operator_parser(
        commands, "status", "print instances, targets and versions", show_status
    )
    drain = _add_operator_parser(
        commands, "drain", "drain an instance or a target", run_drain
    )
    drain.add_argument(
        "--target", default="", help="drain this target instead of the instance"
    )
    evacuate = _add_operator_parser(
        commands,
        "evacuate",
        "send no more requests to the targets of an availability zone",
        run_evacuate,
    )
    evacuate.add_argument("zone")
    evacuate.add_argument(
        "--stop", action="store_true", help="end the evacuation of the zone"
    )
    snapshot = commands.add_parser(
        "snapshot", help="save or restore a snapshot of the configuration"
    )
    kinds = snapshot.add_subparsers(dest="kind", required=True)
    save = _add_operator_parser(
        kinds, "save", "save a snapshot to a file", save_snapshot
    )
    save.add_argument("file")
    restore = kinds.add_parser(
        "restore", help="create the data directory of a new sole voter"
    )
    restore.add_argument("file")
    restore.add_argument("--data-dir", required=True)
    restore.add_argument("--name", required=True, help="instance name")
    restore.add_argument(
        "--above",
        type=int,
        default=0,
        help="version that the restored one must exceed",
    )
    restore.add_argument("--json", action="store_true")
    restore.set_defaults(run=_with_error_reporting(restore_snapshot))


def _add_operator_parser(commands, name: str, help_text: str, function):
    parser = commands.add_parser(name, help=help_text)
    parser.add_argument("--url", default="http://127.0.0.1:8080")
    parser.add_argument(
        "--key",
        default=os.environ.get(OPERATOR_KEY_VARIABLE, ""),
        help=f"operator key; defaults to ${OPERATOR_KEY_VARIABLE}",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_with_error_reporting(function))
    return parser


def _with_error_reporting(function):
    def run(arguments: argparse.Namespace) -> int:
        try:
            return function(arguments)
        except CommandError as error:
            print(f"chivelb: {error}", file=sys.stderr)
            return error.exit_code

    return run


def request(
    arguments: argparse.Namespace,
    path: str,
    body: Any = None,
) -> tuple[int, bytes]:
    """Sends a request to the operator API.

    Args:
        arguments: Command-line arguments with URL and operator key.
        path: Path of the resource.
        body: JSON-compatible body to post; None sends a GET request.

    Returns:
        HTTP status and response body.

    Raises:
        CommandError: The instance is unreachable.
    """
    data = None if body is None else msgspec.json.encode(body)
    http_request = urllib.request.Request(
        arguments.url.rstrip("/") + path,
        data=data,
        headers={
            "X-Operator-Key": arguments.key,
            "Content-Type": "application/json",
        },
    )
    try:
        with urllib.request.urlopen(
            http_request, timeout=REQUEST_TIMEOUT_S
        ) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, ValueError) as error:
        raise CommandError(
            f"{arguments.url}: instance is unreachable: {error}",
            EXIT_UNREACHABLE,
        ) from None


def fetch_json(
    arguments: argparse.Namespace, path: str, body: Any = None
) -> Any:
    """Sends a request to the operator API and decodes the JSON response.

    Raises:
        CommandError: The instance is unreachable, rejected the request or did
            not reply with JSON.
    """
    status, data = request(arguments, path, body)
    try:
        reply = json.loads(data)
    except ValueError:
        raise CommandError(
            f"{arguments.url}{path}: response with status {status} is not "
            f"JSON: {data[:MAX_SHOWN_BYTES]!r}",
            EXIT_REFUSED,
        ) from None
    if status != 200 and "error" in reply:
        error = reply["error"]
        raise CommandError(
            f"{error['code']} {error['type']}: {error['message']}",
            EXIT_REFUSED,
        )
    return reply


def _print_output(arguments: argparse.Namespace, value: Any, text: str) -> None:
    print(json.dumps(value, indent=2) if arguments.json else text)


def read_document(path: str) -> document.Document:
    """Reads a configuration document from a file.

    Raises:
        CommandError: The file cannot be read or decoded.
    """
    try:
        return model_lib.decode_document(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}", EXIT_USAGE) from None


def check_document(arguments: argparse.Namespace) -> int:
    """Checks a configuration document locally, without an instance."""
    problems = document.validate_document(read_document(arguments.file))
    lines = [f"{problem.path}: {problem.message}" for problem in problems]
    _print_output(
        arguments,
        {"problems": msgspec.to_builtins(problems)},
        "\n".join(lines) or f"{arguments.file}: ok",
    )
    return EXIT_REFUSED if problems else EXIT_OK


def _fetch_document(
    arguments: argparse.Namespace,
) -> tuple[int, document.Document]:
    reply = fetch_json(arguments, "/operator/document")
    return reply["version"], msgspec.convert(
        reply["document"], document.Document
    )


def _fill_withheld_secrets(
    desired: document.Document, current: document.Document
) -> document.Document:
    """Copies cache secrets from the desired document to that in force.

    The operator API withholds secrets, so they are assumed to be unchanged.
    """
    for name, workspace in desired.workspaces.items():
        if name in current.workspaces:
            current.workspaces[name].cache_secret = workspace.cache_secret
    return current


def _plan_changes(
    arguments: argparse.Namespace,
) -> tuple[int, list[changes_lib.Operation]]:
    version, current = _fetch_document(arguments)
    desired = read_document(arguments.file)
    current = _fill_withheld_secrets(desired, current)
    return version, changes_lib.diff_documents(current, desired)


def diff_document(arguments: argparse.Namespace) -> int:
    """Prints the changes that applying a file would make."""
    version, operations = _plan_changes(arguments)
    lines = [f"compared with version {version}:"]
    for operation in operations:
        sign = "-" if operation.value is None else "+"
        lines.append(f"{sign} {operation.path}")
    if not operations:
        lines.append("no difference")
    encoded = msgspec.to_builtins(operations)
    _print_output(
        arguments, {"base": version, "operations": encoded}, "\n".join(lines)
    )
    return EXIT_OK


def apply_document(arguments: argparse.Namespace) -> int:
    """Applies the differences between a file and the document in force."""
    version, operations = _plan_changes(arguments)
    if not operations:
        _print_output(
            arguments,
            {"version": version},
            f"no difference; version in force: {version}",
        )
        return EXIT_OK
    base = version if arguments.base is None else arguments.base
    change = document.Change(
        change_id=arguments.change_id or secrets.token_hex(12),
        base_version=base,
        operations=operations,
        author=os.environ.get("USER", ""),
    )
    status, data = request(
        arguments, "/operator/changes", msgspec.to_builtins(change)
    )
    reply = json.loads(data)
    if status != 200:
        return _print_rejection(arguments, change, reply)
    if arguments.wait:
        return _wait_until_in_force(arguments, reply["version"])
    _print_output(arguments, reply, f"accepted as version {reply['version']}")
    return EXIT_OK


def _print_rejection(
    arguments: argparse.Namespace, change: document.Change, reply: Any
) -> int:
    if "error" in reply:
        text = f"{reply['error']['type']}: {reply['error']['message']}"
    else:
        lines = [f"{reply['name']}: version {reply['version']} is in force"]
        lines += [f"{p['path']}: {p['message']}" for p in reply["problems"]]
        text = "\n".join(lines)
    text += f"\nchange id: {change.change_id}"
    _print_output(arguments, {**reply, "change_id": change.change_id}, text)
    return EXIT_REFUSED


def _wait_until_in_force(arguments: argparse.Namespace, version: int) -> int:
    deadline = time.monotonic() + APPLY_TIMEOUT_S
    while True:
        site = fetch_json(arguments, "/operator/status")
        behind = [
            status["name"]
            for status in site["instances"]
            if status["version"] < version
        ]
        if sys.stderr.isatty():
            in_force_count = len(site["instances"]) - len(behind)
            total = len(site["instances"])
            print(
                f"\rin force on {in_force_count} of {total}",
                end="",
                file=sys.stderr,
            )
        if not behind or time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL_S)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    result = {
        "version": version,
        "behind": behind,
        "unreachable": site["unreachable"],
    }
    text = f"version {version} is in force"
    if behind:
        text = f"version {version} is not yet in force on: {', '.join(behind)}"
    if site["unreachable"]:
        text += f"\nunreachable: {', '.join(site['unreachable'])}"
    _print_output(arguments, result, text)
    return EXIT_BEHIND if behind else EXIT_OK


def show_document(arguments: argparse.Namespace) -> int:
    """Prints the configuration document."""
    path = "/operator/document"
    if arguments.current:
        path += "?current=1"
    reply = fetch_json(arguments, path)
    output = reply if arguments.json else reply["document"]
    print(json.dumps(output, indent=2))
    return EXIT_OK


def show_history(arguments: argparse.Namespace) -> int:
    """Prints the latest changes."""
    deltas = fetch_json(arguments, "/operator/history")
    lines = [
        f"{d['version']:>6}  {d['change_id']:<26} {d['author']:<12} "
        + ", ".join(o["path"] for o in d["operations"])
        for d in deltas
    ]
    _print_output(arguments, deltas, "\n".join(lines) or "no changes yet")
    return EXIT_OK


def show_status(arguments: argparse.Namespace) -> int:
    """Prints instances, targets and their versions.

    The latest version is the highest one in force on a reachable instance. An
    instance with a lower one is behind; the reply lists it as ``lagging``.
    The columns of an instance are name, zone, version in force, readiness,
    role as a voter, and state of its keeper, which is its replica of the
    idempotency claims. The targets are those known to the instance that
    replies (``here``).
    """
    site = fetch_json(arguments, "/operator/status")
    lines = [f"latest version: {site['newest']}", "", "instances:"]
    for s in sorted(site["instances"], key=lambda s: s["name"]):
        state = "ready" if s["ready"] and not s["draining"] else "not ready"
        lines.append(
            f"  {s['name']:<16} {s['zone']:<14} version {s['version']:<6} "
            f"{state:<10} {s['role']:<10} {s['keeper']}"
        )
        lines += [f"    error: {error}" for error in s["faults"]]
    lines += [f"  {name:<16} unreachable" for name in site["unreachable"]]
    evacuated = site["here"].get("evacuated_zones", {})
    if evacuated:
        lines += ["", "evacuated zones:"]
        lines += [
            f"  {zone:<16} since version {version}"
            for zone, version in sorted(evacuated.items())
        ]
    lines += ["", "targets:"]
    for t in site["here"]["targets"]:
        eligibility = "eligible" if t["eligible"] else "not eligible"
        lines.append(
            f"  {t['identity']:<16} {t['zone']:<14} {t['service']:<14} "
            f"{t['state']:<8} {t['weight_version']:<8} {eligibility}"
        )
    if site["lagging"]:
        lines += ["", f"behind: {', '.join(site['lagging'])}"]
    _print_output(arguments, site, "\n".join(lines))
    return EXIT_BEHIND if site["lagging"] else EXIT_OK


def run_drain(arguments: argparse.Namespace) -> int:
    """Drains a target, or the instance that receives the request."""
    reply = fetch_json(
        arguments, "/operator/drain", {"target": arguments.target}
    )
    _print_output(arguments, reply, f"draining {reply['draining']}")
    return EXIT_OK


def run_evacuate(arguments: argparse.Namespace) -> int:
    """Evacuates an availability zone, or ends its evacuation."""
    reply = fetch_json(
        arguments,
        "/operator/evacuate",
        {"zone": arguments.zone, "stop": arguments.stop},
    )
    text = f"zone {reply['zone']} is evacuated"
    if not reply["evacuated"]:
        text = f"zone {reply['zone']} is not evacuated"
    _print_output(arguments, reply, text)
    return EXIT_OK


def save_snapshot(arguments: argparse.Namespace) -> int:
    """Saves a snapshot of the replicated configuration to a file."""
    status, data = request(arguments, "/operator/snapshot")
    if status != 200:
        raise CommandError(
            f"{arguments.url}: snapshot request failed with status {status}: "
            f"{data[:MAX_SHOWN_BYTES]!r}",
            EXIT_REFUSED,
        )
    pathlib.Path(arguments.file).write_bytes(data)
    _print_output(
        arguments,
        {"file": arguments.file, "bytes": len(data)},
        f"{len(data)} bytes saved to {arguments.file}",
    )
    return EXIT_OK


def restore_snapshot(arguments: argparse.Namespace) -> int:
    """Creates the data directory of a new voter from a snapshot.

    The new voter is the only member of its group.
    """
    # Imported lazily: only this command accesses the storage of an instance.
    from chivelb_node.storage import restore

    try:
        data = pathlib.Path(arguments.file).read_bytes()
        version = restore.restore_voter(
            data,
            pathlib.Path(arguments.data_dir),
            name=arguments.name,
            above=arguments.above,
        )
    except (OSError, ValueError) as error:
        raise CommandError(str(error), EXIT_USAGE) from None
    _print_output(
        arguments,
        {"version": version, "data_dir": arguments.data_dir},
        f"restored as version {version} in {arguments.data_dir}",
    )
    return EXIT_OK
