"""Errors of the real-time engine."""

from __future__ import annotations


class RealTimeError(Exception):
    """Base of all errors of this package."""


class UnplayableScriptError(RealTimeError, ValueError):
    """A script that the real-time engine can't play; one line."""
