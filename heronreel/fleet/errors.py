"""Errors of the fleet control plane."""

from __future__ import annotations


class FleetError(Exception):
    """Base of all errors that this package raises."""


class FleetBusyError(FleetError):
    """Another operation is in progress; the message says whose it is and what it does."""


class LeadershipLostError(FleetError):
    """This controller no longer holds the claim on the fleet and must not act any more."""


class OperationRejectedError(FleetError, ValueError):
    """The requested operation can't be started, resumed or abandoned in the present state of the fleet."""


class InvalidSelectorError(OperationRejectedError):
    """A word that selects instances is not understood."""


class StaleFencingTokenError(FleetError, ValueError):
    """A fencing token is not greater than the one it has to supersede."""


class InvalidCommandError(FleetError, ValueError):
    """A command to an agent holds values out of range or names an unknown version."""


class UnknownVersionError(FleetError):
    """A version is not configured on the machine."""


class AgentUnavailableError(FleetError):
    """The agent that owns an instance is unknown, not registered, or gives no usable response."""


class CommandFailedError(FleetError):
    """An agent responded that it can't carry out a command; the message is its reason."""
