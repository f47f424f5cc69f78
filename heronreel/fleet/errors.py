"""Errors of the fleet control plane."""

from __future__ import annotations


class FleetError(Exception):
    """Base of all errors that this package raises."""


class FleetBusyError(FleetError):
    """Another operation is in progress; the message says who started it and what it does."""


class LeadershipLostError(FleetError):
    """This controller no longer holds the leadership claim on the fleet and must send no further commands."""


class OperationRejectedError(FleetError, ValueError):
    """The requested operation can't be started, resumed or abandoned in the current state of the fleet."""


class InvalidSelectorError(OperationRejectedError):
    """An instance selector names a field that does not exist."""


class StaleFencingTokenError(FleetError, ValueError):
    """A fencing token is not greater than the token that it has to supersede."""


class InvalidCommandError(FleetError, ValueError):
    """A command to an agent holds values out of range or names an unknown version."""


class UnknownVersionError(FleetError):
    """The agent has no command line configured for a version."""


class AgentUnavailableError(FleetError):
    """The agent that owns an instance is unknown or absent, or returned no usable response."""


class CommandFailedError(FleetError):
    """An agent responded that it can't execute a command; the message is the reason that it gave."""
