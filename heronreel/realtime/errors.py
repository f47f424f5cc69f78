"""Errors of the real-time engine."""

from __future__ import annotations


class RealTimeError(Exception):
    """Base class of all errors of this package."""


class UnplayableScriptError(RealTimeError, ValueError):
    """The script exceeds a limit of the real-time engine.  The message is a single line."""
