"""The errors of fault injection."""

from __future__ import annotations


class FaultInjectionError(Exception):
    """The base of the errors that this package raises."""


class HarnessError(FaultInjectionError):
    """The processes under test did not do what the harness waited for."""


class LogLineMissingError(HarnessError):
    """A process ended, or time ran out, before it printed the line that was waited for."""


class CommandFailedError(HarnessError):
    """A command ended with another exit code than the expected one."""


class GroupUnhealthyError(HarnessError):
    """The group did not become healthy in time."""


class ResourceUnavailableError(FaultInjectionError):
    """The guarded resource did not respond: whether the request was performed is unknown."""


class RejectedByResourceError(FaultInjectionError):
    """The guarded resource rejected a request."""


class SearchLimitExceededError(FaultInjectionError):
    """A search was given up: nothing is known of the history it examined."""
