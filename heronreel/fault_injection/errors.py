"""The errors of fault injection."""

from __future__ import annotations


class FaultInjectionError(Exception):
    """The base of the errors that this package raises."""


class HarnessError(FaultInjectionError):
    """The processes under test did not reach the state that the harness waited for."""


class LogLineMissingError(HarnessError):
    """A process ended or the timeout expired before it printed the expected line."""


class CommandFailedError(HarnessError):
    """A command ended with an unexpected exit code."""


class GroupUnhealthyError(HarnessError):
    """The group did not become healthy in time."""


class ResourceUnavailableError(FaultInjectionError):
    """The guarded resource did not respond, so it is unknown whether the request was performed."""


class RejectedByResourceError(FaultInjectionError):
    """The guarded resource rejected a request."""


class SearchLimitExceededError(FaultInjectionError):
    """A search exceeded its limit, so there is no result for the history."""
