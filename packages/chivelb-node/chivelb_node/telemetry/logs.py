"""Structured logs: one JSON object a line, free of secrets and prompts."""

import logging
import sys

import structlog

FORBIDDEN_FIELDS = frozenset(
    {"prompt", "messages", "body", "key", "secret", "authorization", "text"}
)


def _drop_forbidden(logger, method: str, event: dict) -> dict:
    for name in FORBIDDEN_FIELDS.intersection(event):
        event[name] = "(withheld)"
    return event


def configure(instance: str, level: str = "info") -> None:
    """Sends all logs as JSON lines to standard error.

    Args:
        instance: Name that each line carries.
        level: Lowest level that is written.
    """
    threshold = getattr(logging, level.upper())
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _drop_forbidden,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(threshold),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)


def get_logger(component: str):
    """Returns a logger whose lines name the component."""
    return structlog.get_logger(component=component)
