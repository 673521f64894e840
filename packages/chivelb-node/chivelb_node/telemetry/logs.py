"""Structured logs: one JSON object per line, without secrets or prompts."""

import logging
import sys
import time
from typing import Any

from chivelb_core import texts
import msgspec
import structlog

from chivelb_node.telemetry import lines

# Callers and targets decide how long some values are.
MAX_VALUE_LENGTH = 1_024
MAX_LINE_BYTES = 16_384
MAX_JSON_INTEGER = 2**63
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
    """Encodes a line; no value of it is an error or makes it long."""
    try:
        line = msgspec.json.encode(event, enc_hook=str)
    except (ValueError, TypeError, OverflowError, RecursionError):
        # UnicodeEncodeError, of bytes in a head that are no UTF-8, is a
        # ValueError.
        line = b""
    if line and len(line) <= MAX_LINE_BYTES:
        return line
    return msgspec.json.encode(
        {_readable(name): _plain(value) for name, value in event.items()}
    )


def _plain(value: Any) -> Any:
    """Returns a value that can be encoded, shortened if it is long."""
    if value is None or isinstance(value, bool | float):
        return value
    if isinstance(value, int):
        # Decimal digits of a very long number are an error.
        is_short = abs(value) < MAX_JSON_INTEGER
        return value if is_short else hex(value)[:MAX_VALUE_LENGTH]
    return _readable(value)


def _readable(value: Any) -> str:
    """Returns text with escapes for what can't be encoded."""
    return texts.escape_unencodable(str(value)[:MAX_VALUE_LENGTH])


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
