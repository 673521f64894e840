"""Entry point of ``chivelb``."""

import argparse
import signal
import sys
import threading

from chivelb_cli.commands import bench
from chivelb_cli.commands import demo
from chivelb_cli.commands import operate
from chivelb_cli.commands import settings as settings_command
from chivelb_cli.lab import options as lab_options


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all subcommands."""
    parser = argparse.ArgumentParser(
        prog="chivelb", description="Operate, try out and measure chivelb."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    operate.add_parsers(commands)
    settings_command.add_parsers(commands)
    demo.add_parser(commands)
    bench.add_parser(commands)
    bench.add_soak_parser(commands)
    lab = commands.add_parser("lab", help="stand-ins, one a process")
    lab_options.add_parsers(lab)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs ``chivelb``.

    Args:
        argv: Arguments without the program's name; those of the process
            when None.

    Returns:
        The exit code.
    """
    arguments = build_parser().parse_args(argv)
    # Commands that start processes end them on the way out.
    if threading.current_thread() is threading.main_thread():
        signal.signal(signal.SIGTERM, _interrupt)
    try:
        return arguments.run(arguments)
    except KeyboardInterrupt:
        return 130


def _interrupt(number: int, frame) -> None:
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main())
