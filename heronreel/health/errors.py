"""Errors of health checks.  All of them derive from `HealthError`."""

from __future__ import annotations


class HealthError(Exception):
    """Base class of the errors that this package defines."""


class ProberReplacedError(HealthError):
    """A health report was rejected because another process has become the prober of the zone."""

    def __init__(self) -> None:
        super().__init__("another process has become the prober of the zone")
