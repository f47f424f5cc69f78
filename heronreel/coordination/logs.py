"""Lines of JSON on standard error, as every process that speaks to a group writes them."""

from __future__ import annotations

import logging
import sys

import structlog


def log_to_stderr() -> None:
    """From here on, for the whole process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
