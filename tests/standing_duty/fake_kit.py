"""A kit of shell scripts that note each start and end and print samples, and a checkout to play it in."""

from __future__ import annotations

import shlex
from collections import defaultdict
from pathlib import Path

from bench import lay_sites
from bench.duty.plays import FIRST_SITE, OTHER_SITE, Program
from bench.duty.request import Checkout
from tests.standing_duty.samples import sample

HELD_S = 0.05  # for which a play lasts, so that one started beside it would be seen
SCRIPT = """#!/bin/sh
log={log}
running={running}
mkdir "$running" || echo "beside another: $*" >> "$log"
echo "start $0 $*" >> "$log"
sleep {held}
echo "end $0 $*" >> "$log"
rmdir "$running"
case "$* " in
{cases}
esac
exit 9
"""


def make_checkout(folder: Path) -> Checkout:
    """A checkout with a small page and two variants of a deployment."""
    (folder / "docs").mkdir(parents=True)
    (folder / "docs" / "ROADMAP.md").write_text(sample("page.md"))
    sites = folder / "deploy" / "sites"
    sites.mkdir(parents=True)
    for name in ("stralci-garda", "billetter-lofoten"):
        (sites / f"{name}.toml").write_text(f'name = "{name}"\n')
    return Checkout(folder)


class FakeKit:
    """Programs that answer by the words of their command line; the first fitting answer holds."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log = folder / "log.txt"
        self._cases: dict[Program, list[str]] = defaultdict(list)
        for file in (FIRST_SITE, OTHER_SITE, *lay_sites.needed_files()):
            (folder / file).parent.mkdir(parents=True, exist_ok=True)
            (folder / file).write_text(f"of the kit: {file.name}\n")
        for program in Program:
            self._write_program(program)

    def answer(self, program: Program, words: str, text: str, ending: str = "exit 0") -> None:
        """What the program prints, and how it ends, when its command line has these words."""
        pattern = f"*{shlex.quote(f' {words} ')}*" if words else "*"
        self._cases[program].append(f"{pattern}) printf '%s' {shlex.quote(text)}; {ending} ;;")
        self._write_program(program)

    def answer_all(self) -> None:
        """Let every play pass."""
        self.answer(Program.MASS, "--quick", sample("quick.txt"))
        self.answer(Program.MASS, "--panel brink", sample("brink.txt"))
        self.answer(Program.MASS, "", sample("full.txt"))
        self.answer(Program.FLEET, "--panel size", sample("size.txt"))
        self.answer(Program.FLEET, "--panel later", sample("later.txt"))
        self.answer(Program.FLEET, "", sample("size.txt").replace("vast", "huge"))
        self.answer(Program.MODULE, "", sample("module.txt"))

    def logged(self) -> list[str]:
        """The lines that the programs noted."""
        return self.log.read_text().splitlines() if self.log.exists() else []

    def played(self) -> list[str]:
        """The command lines that were started, in order."""
        return [line.removeprefix("start ") for line in self.logged() if line.startswith("start ")]

    def _write_program(self, program: Program) -> None:
        file = self.folder / program.value
        file.parent.mkdir(parents=True, exist_ok=True)
        text = SCRIPT.format(
            log=shlex.quote(str(self.log)),
            running=shlex.quote(str(self.folder / "running")),
            held=HELD_S,
            cases="\n".join(self._cases[program]),
        )
        file.write_text(text)
        file.chmod(0o755)
