"""The errors of the coordination package."""

from __future__ import annotations

import enum


class StatusCode(enum.IntEnum):
    """The reason why a request failed.  The numbers are gRPC status codes, which the gateway sends."""

    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4  # the request may have been executed
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    OUT_OF_RANGE = 11
    UNKNOWN = 2  # the request was started, and may have been executed
    UNAVAILABLE = 14  # the request was not executed


class CoordinationError(Exception):
    """The base of this package's errors."""


class RequestError(CoordinationError):
    """A request failed, or its outcome is not known (see `outcome_unknown`)."""

    def __init__(self, code: StatusCode, message: str) -> None:
        """Create an error from a gRPC code and a human-readable reason."""
        super().__init__(message)
        self.code = code
        self.message = message

    @property
    def outcome_unknown(self) -> bool:
        """Whether the request may have been executed."""
        return self.code in (StatusCode.DEADLINE_EXCEEDED, StatusCode.UNKNOWN)


class MalformedResponseError(CoordinationError, ValueError):
    """A response does not have the format of the gateway."""


class InvalidAddressError(CoordinationError, ValueError):
    """A network address does not have the form HOST:PORT."""
