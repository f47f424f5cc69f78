"""Files of routes that differ by a few lines: three base files, and for each case its change.

`files/unsafe.changes` and `files/safe.changes` have, for each case, a line `== name | base | words` and its
change as a diff without line numbers: ` ` goes on to the next such line of the base, `-` leaves it out, `+`
puts one in there.  The words become the first line, a comment: what the proof refuses the file for, or why it
accepts it.
"""

from __future__ import annotations

from pathlib import Path

FILES = Path(__file__).parent / "files"


def changed(base: list[str], change: list[str]) -> list[str]:
    """ValueError where a line of the change is not in what is left of the base."""
    made: list[str] = []
    at = 0
    for line in change:
        if line.startswith("+"):
            made.append(line[1:])
            continue
        to = base.index(line[1:], at)
        made += base[at:to] if line.startswith("-") else base[at : to + 1]
        at = to + 1
    return made + base[at:]


def cases(kind: str) -> dict[str, str]:
    """The texts of all cases of a kind ("safe" or "unsafe"), by their names."""
    found: dict[str, str] = {}
    for part in (FILES / f"{kind}.changes").read_text().removeprefix("== ").split("\n== "):
        head, *change = part.removesuffix("\n").split("\n")
        name, base, words = head.split(" | ")
        lines = (FILES / f"{base}.toml").read_text().split("\n")
        found[name] = "\n".join([f"# {words}", *changed(lines, change)])
    return found


UNSAFE = cases("unsafe")
SAFE = cases("safe")
