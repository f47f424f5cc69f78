"""Errors of this package.  All derive from `HealthError`."""

from __future__ import annotations


class HealthError(Exception):
    """The base of every error that this package raises by itself."""


class ProberReplacedError(HealthError):
    """A report was rejected, because another process has become the prober of the zone."""

    def __init__(self) -> None:
        super().__init__("another process probes the zone")
