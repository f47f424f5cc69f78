"""The type of callbacks to which long operations report their progress."""

from __future__ import annotations

from collections.abc import Callable

Progress = Callable[[int, int], None]
"""Called with the bytes done so far and the total bytes."""
