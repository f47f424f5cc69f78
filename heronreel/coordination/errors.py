"""The errors of coordination."""

from __future__ import annotations

import enum


class StatusCode(enum.IntEnum):
    """Why a request failed: the numbers are gRPC's codes, as the gateway sends them."""

    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4  # it may have been carried out
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    OUT_OF_RANGE = 11
    UNKNOWN = 2  # it was begun, and may have been carried out
    UNAVAILABLE = 14  # it was not carried out


class CoordinationError(Exception):
    """The base of this package's errors."""


class RequestError(CoordinationError):
    """A request that failed, or whose outcome is not known (`outcome_unknown`)."""

    def __init__(self, code: StatusCode, message: str) -> None:
        """Takes the gRPC code, and the reason in words."""
        super().__init__(message)
        self.code = code
        self.message = message

    @property
    def outcome_unknown(self) -> bool:
        """Whether the request may have been carried out."""
        return self.code in (StatusCode.DEADLINE_EXCEEDED, StatusCode.UNKNOWN)


class MalformedResponseError(CoordinationError, ValueError):
    """A response that is not in the gateway's form."""


class InvalidAddressError(CoordinationError, ValueError):
    """A network address that is not HOST:PORT."""
