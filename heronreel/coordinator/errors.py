"""The errors of the server process."""

from __future__ import annotations


class CoordinatorError(Exception):
    """The base of the errors that this package raises."""


class WrongMemberError(CoordinatorError):
    """The data folder belongs to a member with another name."""


class UnknownMemberError(CoordinatorError, ValueError):
    """The group's configuration does not contain the member."""
