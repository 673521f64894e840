"""Structured logs: one JSON object a line, free of secrets and prompts."""

import logging
import sys
import time

import msgspec
import structlog

from chivelb_node.telemetry import lines

FORBIDDEN_FIELDS = frozenset(
    {"prompt", "messages", "body", "key", "secret", "authorization", "text"}
)


def _drop_forbidden(logger, method: str, event: dict) -> dict:
    for name in FORBIDDEN_FIELDS.intersection(event):
        event[name] = "(withheld)"
    return event


def _stamp(logger, method: str, event: dict) -> dict:
    """Puts time and event first, so that lines are read at a glance."""
    return {"at": round(time.time(), 4), "event": event.pop("event"), **event}


def _render(logger, method: str, event: dict) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)


def configure(instance: str, level: str = "info") -> lines.LineWriter:
    """Sends all logs as JSON lines to standard output.

    Args:
        instance: Name that each line carries.
        level: Lowest level that is written.

    Returns:
        The writer, to be flushed before the process ends.
    """
    threshold = getattr(logging, level.upper())
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    writer = lines.LineWriter(sys.stdout.fileno())
    line_logger = lines.LineLogger(writer)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            _drop_forbidden,
            _stamp,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=lambda *arguments: line_logger,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)
    return writer


def get_logger(component: str):
    """Returns a logger whose lines name the component."""
    return structlog.get_logger(component=component)
