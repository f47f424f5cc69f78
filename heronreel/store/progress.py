"""How long operations on a whole store report their progress."""

from __future__ import annotations

from collections.abc import Callable

Progress = Callable[[int, int], None]
"""Called with the bytes done and the bytes to do."""
