"""Structured logs: one JSON object per line, without secrets or prompts."""

import logging
import sys
import time

import msgspec
import structlog

from chivelb_node.telemetry import lines

FORBIDDEN_FIELDS = frozenset(
    {"prompt", "messages", "body", "key", "secret", "authorization", "text"}
)


def _redact_forbidden(logger, method: str, event: dict) -> dict:
    for name in FORBIDDEN_FIELDS.intersection(event):
        event[name] = "(withheld)"
    return event


def _add_timestamp(logger, method: str, event: dict) -> dict:
    """Puts the time and event first so that lines are easy to scan."""
    return {"at": round(time.time(), 4), "event": event.pop("event"), **event}


def _render(logger, method: str, event: dict) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)


def configure(instance: str, level: str = "info") -> lines.LineWriter:
    """Writes all logs as JSON lines to standard output.

    Args:
        instance: Instance name to add to each line.
        level: Lowest log level that is written.

    Returns:
        The writer, which must be flushed before the process exits.
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
            _redact_forbidden,
            _add_timestamp,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=lambda *arguments: line_logger,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)
    return writer


def get_logger(component: str):
    """Returns a logger that adds the component name to each line."""
    return structlog.get_logger(component=component)
