"""Errors of the experiment tool.  Each message is one line, fit to be printed as it is."""

from __future__ import annotations


class ExperimentError(Exception):
    """Base of all errors of this package."""


class IncomparableResultsError(ExperimentError, ValueError):
    """Two sets of plays that have no pairs, or that are of different scripts."""


class InvalidSettingError(ExperimentError, ValueError):
    """A setting or a list of seeds that can't be used."""


class InvalidIncidentError(ExperimentError, ValueError):
    """A record of an incident that can't be turned into a script; names the line."""


class NoBreachError(ExperimentError, ValueError):
    """A script that breaks no rule, so that there is nothing to shrink."""


class UnreadableResultsError(ExperimentError, ValueError):
    """A results file that can't be read; names the file."""
