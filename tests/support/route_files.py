"""Route files that differ by a few lines: three base files, and one change per case.

`files/unsafe.changes` and `files/safe.changes` have, for each case, a line `== name | base | reason` and a
diff without line numbers: ` ` copies the base up to and including the next such line, `-` removes that line,
`+` inserts one.  The reason becomes a comment in the first line: why the check of the routes refuses or
accepts the file.
"""

from __future__ import annotations

from pathlib import Path

FILES = Path(__file__).parent / "files"


def changed(base: list[str], change: list[str]) -> list[str]:
    """Apply a change to a base file.

    Raises:
        ValueError: a line of the change is not in the rest of the base.
    """
    result: list[str] = []
    at = 0
    for line in change:
        if line.startswith("+"):
            result.append(line[1:])
            continue
        found = base.index(line[1:], at)
        result += base[at:found] if line.startswith("-") else base[at : found + 1]
        at = found + 1
    return result + base[at:]


def cases(kind: str) -> dict[str, str]:
    """Return the files of all cases of a kind ("safe" or "unsafe"), by case name."""
    files: dict[str, str] = {}
    for case in (FILES / f"{kind}.changes").read_text().removeprefix("== ").split("\n== "):
        head, *change = case.removesuffix("\n").split("\n")
        name, base, reason = head.split(" | ")
        lines = (FILES / f"{base}.toml").read_text().split("\n")
        files[name] = "\n".join([f"# {reason}", *changed(lines, change)])
    return files


UNSAFE = cases("unsafe")
SAFE = cases("safe")
