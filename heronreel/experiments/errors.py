"""Errors of the experiment tool.  Each message is one line that can be printed unchanged."""

from __future__ import annotations


class ExperimentError(Exception):
    """Base of all errors of this package."""


class IncomparableResultsError(ExperimentError, ValueError):
    """Two sets of plays cannot be paired, or are plays of different scripts."""


class InvalidSettingError(ExperimentError, ValueError):
    """A setting or a list of seeds is malformed, out of range or does not fit the script."""


class InvalidIncidentError(ExperimentError, ValueError):
    """An incident record cannot be converted to a script; the message gives the line number."""


class NoBreachError(ExperimentError, ValueError):
    """A script breaks no rule, so it cannot be shrunk."""


class UnreadableResultsError(ExperimentError, ValueError):
    """A results file cannot be read; the message gives its path."""
