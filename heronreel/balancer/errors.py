"""The errors of this package.  Only settings, input and events that no host should send raise them."""


class BalancerError(Exception):
    """Base of all errors of `heronreel.balancer`."""


class InvalidSettingsError(BalancerError, ValueError):
    """A value that no settings can have; the message begins with the field's name."""


class UnexpectedEventError(BalancerError, ValueError):
    """An event that `Pools` does not take."""


class WireError(BalancerError):
    """Malformed input of the simulator's wire."""

    def __init__(self, line: int | None, what: str) -> None:
        super().__init__(f"line {line}: {what}" if line else what)
