"""Exceptions of this package.

They are raised only for invalid settings, malformed input and events that a host must not send.
"""


class BalancerError(Exception):
    """Base class of all exceptions of `heronreel.balancer`."""


class InvalidSettingsError(BalancerError, ValueError):
    """A setting is out of range; the message begins with the name of the field."""


class UnexpectedEventError(BalancerError, ValueError):
    """`Pools` does not support an event of this type."""


class WireError(BalancerError):
    """The input of the simulator's line protocol is malformed."""

    def __init__(self, line: int | None, message: str) -> None:
        super().__init__(f"line {line}: {message}" if line else message)
