"""Errors of the emulator."""

from __future__ import annotations


class EmulatorError(Exception):
    """Base of all errors of this package."""


class InvalidSeedError(EmulatorError, ValueError):
    """A seed that is not within 0 and 2^63."""


class UnknownDistributionError(EmulatorError, ValueError):
    """A distribution of work that is not implemented."""


class UnknownPolicyError(EmulatorError, KeyError):
    """A policy name that is not known."""
