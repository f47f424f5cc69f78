"""Copies files of the operators' kit that plays of the deployment variants need.

    python bench/lay_sites.py ../given/kit

The three files belong to the kit and stay outside version control.  The exit code is 2 if the kit is missing.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

SITES = Path(__file__).parent.parent / "deploy" / "sites"
# Folder in the kit with the files of the other customer's deployment.
SOURCE = Path("more") / "mass" / "other"
NAMES = ("real.json", "wire.json", "unlock.txt")


def needed_files() -> list[Path]:
    """Return the files that are copied, relative to the kit."""
    return [SOURCE / name for name in NAMES]


def copy_files(kit: Path, sites: Path = SITES) -> None:
    """Copy the files from the kit to a folder of site files."""
    for file in needed_files():
        shutil.copyfile(kit / file, sites / file.name)


def main(arguments: list[str]) -> int:
    if len(arguments) != 1:
        print(__doc__, file=sys.stderr)
        return 2
    kit = Path(arguments[0])
    missing = [file for file in needed_files() if not (kit / file).is_file()]
    if missing:
        print(f"lay_sites: incomplete kit: {missing[0]} is missing", file=sys.stderr)
        return 2
    copy_files(kit)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
