"""A small script that the tests of the experiment tool play."""

from __future__ import annotations

from pathlib import Path

import msgspec

from heronreel.experiments.scripts import script_to_toml
from tests.support.rehearsals import rehearsal

SMALL = rehearsal(6, 2, 0.5, 2.0)


def script_file(folder: Path, **changes: object) -> Path:
    """Write SMALL with these changes to a file in the folder and return its path."""
    path = folder / "script.toml"
    path.write_text(script_to_toml(msgspec.structs.replace(SMALL, **changes)))
    return path
