"""Lay beside our variants of a deployment what a play of them needs, from the operators' kit.

    python bench/lay_sites.py ../given/kit

The three files belong to the kit and stay outside version control.  Exits 2 where the kit is not there.
"""

from __future__ import annotations

import shutil
import sys
from pathlib import Path

SITES = Path(__file__).parent.parent / "deploy" / "sites"
FROM = Path("more") / "mass" / "other"  # the other customer's deployment, with files of its own
NAMES = ("real.json", "wire.json", "unlock.txt")


def needed_files() -> list[Path]:
    """The files that are copied, relative to the kit."""
    return [FROM / name for name in NAMES]


def lay_files(kit: Path, sites: Path = SITES) -> None:
    """Copy the files of the kit into a folder of site files."""
    for file in needed_files():
        shutil.copyfile(kit / file, sites / file.name)


def main(words: list[str]) -> int:
    if len(words) != 1:
        print(__doc__, file=sys.stderr)
        return 2
    kit = Path(words[0])
    missing = [file for file in needed_files() if not (kit / file).is_file()]
    if missing:
        print(f"lay_sites: no kit there: {missing[0]} is missing", file=sys.stderr)
        return 2
    lay_files(kit)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
