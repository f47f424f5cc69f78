"""Structured logs as JSON lines on standard error, for every process that uses a group."""

from __future__ import annotations

import logging
import sys

import structlog


def log_to_stderr() -> None:
    """Configure structlog for the whole process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
