"""Subcommands that talk to the operators' interface of an instance."""

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
EXIT_LAGGING = 4
REQUEST_TIMEOUT_S = 15.0
WAIT_TIMEOUT_S = 10.0
POLL_S = 0.1
KEY_VARIABLE = "CHIVELB_OPERATOR_KEY"


class CommandError(Exception):
    """Ends a command with a message and an exit code.

    Attributes:
        exit_code: The exit code.
    """

    def __init__(self, message: str, exit_code: int) -> None:
        """Creates an error."""
        super().__init__(message)
        self.exit_code = exit_code


def add_parsers(commands) -> None:
    """Adds the subcommands."""
    check = _parser(commands, "check", "check a document", check_document)
    check.add_argument("file")
    apply_parser = _parser(
        commands, "apply", "apply a document or a change", apply_document
    )
    apply_parser.add_argument("file")
    apply_parser.add_argument("--base", type=int, help="version you saw")
    apply_parser.add_argument("--change-id", help="repeat it in a resend")
    apply_parser.add_argument(
        "--wait", action="store_true", help="until it is in force everywhere"
    )
    show = _parser(commands, "show", "print the document", show_document)
    show.add_argument("--current", action="store_true", help="prove it newest")
    diff = _parser(commands, "diff", "compare with a file", diff_document)
    diff.add_argument("file")
    _parser(commands, "history", "print the newest changes", show_history)
    _parser(commands, "status", "instances, targets, versions", show_status)
    drain = _parser(commands, "drain", "take out of use gracefully", run_drain)
    drain.add_argument("--target", default="", help="a target, not instance")
    snapshot = commands.add_parser("snapshot", help="save and restore")
    kinds = snapshot.add_subparsers(dest="kind", required=True)
    save = _parser(kinds, "save", "save the register", save_snapshot)
    save.add_argument("file")
    restore = kinds.add_parser("restore", help="make a new voter's folder")
    restore.add_argument("file")
    restore.add_argument("--data-dir", required=True)
    restore.add_argument("--name", required=True, help="instance name")
    restore.add_argument("--above", type=int, default=0, help="version floor")
    restore.add_argument("--json", action="store_true")
    restore.set_defaults(run=_guarded(restore_snapshot))


def _parser(commands, name: str, text: str, function):
    parser = commands.add_parser(name, help=text)
    parser.add_argument("--url", default="http://127.0.0.1:8080")
    parser.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help=f"operator key; by default from {KEY_VARIABLE}",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=_guarded(function))
    return parser


def _guarded(function):
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
    """Asks an instance and returns status and body.

    Raises:
        CommandError: It can't be reached.
    """
    data = None if body is None else msgspec.json.encode(body)
    asked = urllib.request.Request(
        arguments.url.rstrip("/") + path,
        data=data,
        headers={
            "X-Operator-Key": arguments.key,
            "Content-Type": "application/json",
        },
    )
    try:
        with urllib.request.urlopen(
            asked, timeout=REQUEST_TIMEOUT_S
        ) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, ValueError) as error:
        raise CommandError(
            f"{arguments.url}: can't be reached: {error}", EXIT_UNREACHABLE
        ) from None


def ask(arguments: argparse.Namespace, path: str, body: Any = None) -> Any:
    """Asks an instance and returns the decoded reply.

    Raises:
        CommandError: It can't be reached or refused.
    """
    status, data = request(arguments, path, body)
    try:
        reply = json.loads(data)
    except ValueError:
        raise CommandError(f"status {status}: no JSON", EXIT_REFUSED) from None
    if status != 200 and "error" in reply:
        error = reply["error"]
        raise CommandError(
            f"{error['code']} {error['type']}: {error['message']}",
            EXIT_REFUSED,
        )
    return reply


def _print(arguments: argparse.Namespace, value: Any, text: str) -> None:
    print(json.dumps(value, indent=2) if arguments.json else text)


def read_document(path: str) -> document.Document:
    """Reads a document file.

    Raises:
        CommandError: It can't be read or decoded.
    """
    try:
        return model_lib.decode_document(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CommandError(f"{path}: {error}", EXIT_USAGE) from None


def check_document(arguments: argparse.Namespace) -> int:
    """Checks a document file on this machine."""
    problems = document.find_problems(read_document(arguments.file))
    lines = [f"{problem.path}: {problem.message}" for problem in problems]
    _print(
        arguments,
        {"problems": msgspec.to_builtins(problems)},
        "\n".join(lines) or f"{arguments.file}: ok",
    )
    return EXIT_REFUSED if problems else EXIT_OK


def _in_force(arguments: argparse.Namespace) -> tuple[int, document.Document]:
    reply = ask(arguments, "/operator/document")
    return reply["version"], msgspec.convert(
        reply["document"], document.Document
    )


def _with_known_secrets(
    wanted: document.Document, known: document.Document
) -> document.Document:
    """Treats a file's secrets as unchanged where the reply withholds them."""
    for name, workspace in wanted.workspaces.items():
        if name in known.workspaces:
            known.workspaces[name].cache_secret = workspace.cache_secret
    return known


def _plan(
    arguments: argparse.Namespace,
) -> tuple[int, list[changes_lib.Operation]]:
    version, known = _in_force(arguments)
    wanted = read_document(arguments.file)
    known = _with_known_secrets(wanted, known)
    return version, changes_lib.diff_documents(known, wanted)


def diff_document(arguments: argparse.Namespace) -> int:
    """Prints what applying a file would change."""
    version, operations = _plan(arguments)
    lines = [f"against version {version}:"]
    for operation in operations:
        sign = "-" if operation.value is None else "+"
        lines.append(f"{sign} {operation.path}")
    if not operations:
        lines.append("no difference")
    plain = msgspec.to_builtins(operations)
    _print(arguments, {"base": version, "operations": plain}, "\n".join(lines))
    return EXIT_OK


def apply_document(arguments: argparse.Namespace) -> int:
    """Applies a document file as a change of what differs."""
    version, operations = _plan(arguments)
    if not operations:
        _print(arguments, {"version": version}, f"in force: {version}")
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
        return _explain_refusal(arguments, change, reply)
    if arguments.wait:
        return _wait_in_force(arguments, reply["version"])
    _print(arguments, reply, f"accepted as version {reply['version']}")
    return EXIT_OK


def _explain_refusal(
    arguments: argparse.Namespace, change: document.Change, reply: Any
) -> int:
    if "error" in reply:
        text = f"{reply['error']['type']}: {reply['error']['message']}"
    else:
        lines = [f"{reply['name']}: version {reply['version']} is current"]
        lines += [f"{p['path']}: {p['message']}" for p in reply["problems"]]
        text = "\n".join(lines)
    text += f"\nchange id: {change.change_id}"
    _print(arguments, {**reply, "change_id": change.change_id}, text)
    return EXIT_REFUSED


def _wait_in_force(arguments: argparse.Namespace, version: int) -> int:
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        site = ask(arguments, "/operator/status")
        behind = [
            status["name"]
            for status in site["instances"]
            if status["version"] < version
        ]
        if sys.stderr.isatty():
            done = len(site["instances"]) - len(behind)
            total = len(site["instances"])
            print(f"\rin force on {done} of {total}", end="", file=sys.stderr)
        if not behind or time.monotonic() > deadline:
            break
        time.sleep(POLL_S)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    result = {
        "version": version,
        "behind": behind,
        "unreachable": site["unreachable"],
    }
    text = f"version {version} is in force"
    if behind:
        text = f"version {version} is not in force on: {', '.join(behind)}"
    if site["unreachable"]:
        text += f"\nnot reachable: {', '.join(site['unreachable'])}"
    _print(arguments, result, text)
    return EXIT_LAGGING if behind else EXIT_OK


def show_document(arguments: argparse.Namespace) -> int:
    """Prints the document in force."""
    path = "/operator/document"
    if arguments.current:
        path += "?current=1"
    reply = ask(arguments, path)
    shown = reply if arguments.json else reply["document"]
    print(json.dumps(shown, indent=2))
    return EXIT_OK


def show_history(arguments: argparse.Namespace) -> int:
    """Prints the newest changes."""
    deltas = ask(arguments, "/operator/history")
    lines = [
        f"{d['version']:>6}  {d['change_id']:<26} {d['author']:<12} "
        + ", ".join(o["path"] for o in d["operations"])
        for d in deltas
    ]
    _print(arguments, deltas, "\n".join(lines) or "no changes yet")
    return EXIT_OK


def show_status(arguments: argparse.Namespace) -> int:
    """Prints instances, targets and versions in force."""
    site = ask(arguments, "/operator/status")
    lines = [f"newest version: {site['newest']}", "", "instances:"]
    for s in sorted(site["instances"], key=lambda s: s["name"]):
        state = "ready" if s["ready"] and not s["draining"] else "not ready"
        lines.append(
            f"  {s['name']:<16} {s['zone']:<14} version {s['version']:<6} "
            f"{state:<10} {s['role']:<10} {s['keeper']}"
        )
        lines += [f"    fault: {fault}" for fault in s["faults"]]
    lines += [f"  {name:<16} not reachable" for name in site["unreachable"]]
    lines += ["", "targets:"]
    for t in site["here"]["targets"]:
        use = "in use" if t["eligible"] else "not in use"
        lines.append(
            f"  {t['identity']:<16} {t['zone']:<14} {t['service']:<14} "
            f"{t['state']:<8} {t['weight_version']:<8} {use}"
        )
    if site["lagging"]:
        lines += ["", f"lagging: {', '.join(site['lagging'])}"]
    _print(arguments, site, "\n".join(lines))
    return EXIT_LAGGING if site["lagging"] else EXIT_OK


def run_drain(arguments: argparse.Namespace) -> int:
    """Drains a target, or the instance that is asked."""
    reply = ask(arguments, "/operator/drain", {"target": arguments.target})
    _print(arguments, reply, f"draining {reply['draining']}")
    return EXIT_OK


def save_snapshot(arguments: argparse.Namespace) -> int:
    """Saves the register of an instance to a file."""
    status, data = request(arguments, "/operator/snapshot")
    if status != 200:
        raise CommandError(f"status {status}", EXIT_REFUSED)
    pathlib.Path(arguments.file).write_bytes(data)
    _print(
        arguments,
        {"file": arguments.file, "bytes": len(data)},
        f"{len(data)} bytes in {arguments.file}",
    )
    return EXIT_OK


def restore_snapshot(arguments: argparse.Namespace) -> int:
    """Makes the folder of a new, only voter from a saved register."""
    # Imported here: only this command needs the daemon's files.
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
    _print(
        arguments,
        {"version": version, "data_dir": arguments.data_dir},
        f"restored as version {version} in {arguments.data_dir}",
    )
    return EXIT_OK
