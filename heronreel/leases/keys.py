"""Prefixes of the keys that this package stores in the coordination service."""

from __future__ import annotations

from heronreel.coordination.model import RangeResponse

CLAIM_PREFIX = b"held/"
PRESENCE_PREFIX = b"present/"
CURSOR_PREFIX = b"task/"
BUDGET_PREFIX = b"budget/"


def claim_key(task: str) -> bytes:
    """Return the key of the claim on a task."""
    return CLAIM_PREFIX + task.encode()


def presence_key(name: str) -> bytes:
    """Return the key with which a process announces its presence."""
    return PRESENCE_PREFIX + name.encode()


def cursor_key(task: str) -> bytes:
    """Return the key of a task's cursor."""
    return CURSOR_PREFIX + task.encode()


def present_names(response: RangeResponse) -> list[str]:
    """Return the names of the processes present, from the response to a range over `PRESENCE_PREFIX`."""
    return [key[len(PRESENCE_PREFIX) :].decode(errors="replace") for key, _ in response.records]
