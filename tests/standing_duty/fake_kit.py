"""A fake kit of shell scripts that log each start and end and print samples, and a checkout to run it in."""

from __future__ import annotations

import shlex
from collections import defaultdict
from pathlib import Path

from bench import lay_sites
from bench.duty.plays import FIRST_SITE, OTHER_SITE, Program
from bench.duty.request import Checkout
from tests.standing_duty.samples import sample

# Duration of each play, long enough to detect a play that is started concurrently.
PLAY_DURATION_S = 0.05
SCRIPT = """#!/bin/sh
log={log}
running={running}
mkdir "$running" || echo "concurrent: $*" >> "$log"
echo "start $0 $*" >> "$log"
sleep {duration}
echo "end $0 $*" >> "$log"
rmdir "$running"
case "$* " in
{cases}
esac
exit 9
"""


def make_checkout(folder: Path) -> Checkout:
    """Create a checkout with a small page and two variants of a deployment."""
    (folder / "docs").mkdir(parents=True)
    (folder / "docs" / "ROADMAP.md").write_text(sample("page.md"))
    sites = folder / "deploy" / "sites"
    sites.mkdir(parents=True)
    for name in ("stralci-garda", "billetter-lofoten"):
        (sites / f"{name}.toml").write_text(f'name = "{name}"\n')
    return Checkout(folder)


class FakeKit:
    """Programs whose output depends on their command line; the first matching answer is used."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log = folder / "log.txt"
        self._cases: dict[Program, list[str]] = defaultdict(list)
        for file in (FIRST_SITE, OTHER_SITE, *lay_sites.needed_files()):
            (folder / file).parent.mkdir(parents=True, exist_ok=True)
            (folder / file).write_text(f"of the kit: {file.name}\n")
        for program in Program:
            self._write_program(program)

    def answer(self, program: Program, arguments: str, text: str, ending: str = "exit 0") -> None:
        """Set what the program prints, and how it exits, if its command line contains these arguments."""
        pattern = f"*{shlex.quote(f' {arguments} ')}*" if arguments else "*"
        self._cases[program].append(f"{pattern}) printf '%s' {shlex.quote(text)}; {ending} ;;")
        self._write_program(program)

    def answer_all(self) -> None:
        """Set outputs with which every play passes."""
        self.answer(Program.MASS, "--quick", sample("quick.txt"))
        self.answer(Program.MASS, "--panel brink", sample("brink.txt"))
        self.answer(Program.MASS, "", sample("full.txt"))
        self.answer(Program.FLEET, "--panel size", sample("size.txt"))
        self.answer(Program.FLEET, "--panel later", sample("later.txt"))
        self.answer(Program.FLEET, "", sample("size.txt").replace("vast", "huge"))
        self.answer(Program.MODULE, "", sample("module.txt"))

    def logged_lines(self) -> list[str]:
        """Return the lines that the programs logged."""
        return self.log.read_text().splitlines() if self.log.exists() else []

    def started_commands(self) -> list[str]:
        """Return the command lines that were started, in order."""
        return [line.removeprefix("start ") for line in self.logged_lines() if line.startswith("start ")]

    def _write_program(self, program: Program) -> None:
        file = self.folder / program.value
        file.parent.mkdir(parents=True, exist_ok=True)
        text = SCRIPT.format(
            log=shlex.quote(str(self.log)),
            running=shlex.quote(str(self.folder / "running")),
            duration=PLAY_DURATION_S,
            cases="\n".join(self._cases[program]),
        )
        file.write_text(text)
        file.chmod(0o755)
