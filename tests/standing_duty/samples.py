"""Sample outputs in the format of the kit's programs, with invented scores."""

from __future__ import annotations

from pathlib import Path

FOLDER = Path(__file__).parent / "samples"


def sample(name: str) -> str:
    return (FOLDER / name).read_text(encoding="utf-8")
