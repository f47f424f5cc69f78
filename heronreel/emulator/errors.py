"""Exceptions of the emulator."""

from __future__ import annotations


class EmulatorError(Exception):
    """Base class of the emulator's exceptions."""


class InvalidSeedError(EmulatorError, ValueError):
    """A seed is outside the range from 0 to 2^63."""


class UnknownDistributionError(EmulatorError, ValueError):
    """The name of a work distribution is unknown."""


class UnknownPolicyError(EmulatorError, KeyError):
    """The name of a policy is unknown."""
