"""``chivelb settings`` and ``chivelb codes``."""

import argparse
import sys

from chivelb_core import codes
from chivelb_node import settings as settings_lib

EXIT_INVALID = 2


def add_parsers(commands) -> None:
    """Adds the subcommands."""
    parser = commands.add_parser(
        "settings", help="check or print instance settings"
    )
    kinds = parser.add_subparsers(dest="kind", required=True)
    check = kinds.add_parser("check", help="check a settings file")
    check.add_argument("file")
    check.set_defaults(run=check_settings)
    example = kinds.add_parser(
        "example", help="print an example with all settings"
    )
    example.set_defaults(run=print_example)
    table = commands.add_parser("codes", help="print the table of result codes")
    table.set_defaults(run=print_codes)


def check_settings(arguments: argparse.Namespace) -> int:
    """Checks a settings file and prints its errors."""
    result = settings_lib.read_settings(arguments.file)
    if result.is_error():
        for problem in result.error:
            print(problem, file=sys.stderr)
        return EXIT_INVALID
    print(f"{arguments.file}: ok")
    return 0


def print_example(arguments: argparse.Namespace) -> int:
    """Prints an example settings file with all keys."""
    print(settings_lib.render_example(), end="")
    return 0


def print_codes(arguments: argparse.Namespace) -> int:
    """Prints the table of result codes."""
    print(codes.render_result_codes(), end="")
    return 0
