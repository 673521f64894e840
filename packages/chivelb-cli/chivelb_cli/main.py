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
        prog="chivelb",
        description="Operate, demonstrate and benchmark chivelb.",
    )
    commands = parser.add_subparsers(dest="command", required=True)
    operate.add_parsers(commands)
    settings_command.add_parsers(commands)
    demo.add_parser(commands)
    bench.add_parser(commands)
    bench.add_soak_parser(commands)
    lab = commands.add_parser("lab", help="run a simulated target process")
    lab_options.add_parsers(lab)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs ``chivelb``.

    Args:
        argv: Arguments without the program name; None uses ``sys.argv``.

    Returns:
        The exit code.
    """
    arguments = build_parser().parse_args(argv)
    # SIGTERM unwinds the stack like Ctrl-C, so that commands stop the processes
    # that they started.
    if threading.current_thread() is threading.main_thread():
        signal.signal(signal.SIGTERM, _interrupt)
    try:
        return arguments.run(arguments)
    except KeyboardInterrupt:
        return 130


def _interrupt(signum: int, frame) -> None:
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main())
