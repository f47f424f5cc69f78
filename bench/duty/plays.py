"""Defines the plays, and plans the runs that a request requires."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from bench.duty import tables
from bench.duty.tables import Table


class Program(enum.Enum):
    """The programs of the kit, by their paths in the kit."""

    MASS = "more/mass/bin/lbreal"
    FLEET = "more/bin/lbreal"
    MODULE = "bin/lbsim"


class Reading(enum.Enum):
    """The formats of results that the programs print."""

    GATED_SCORE = "a score, and a line that says whether the gate passed"
    SCORE = "a score"
    ESTIMATE = "the quick estimate of the module alone"


class Deployments(enum.Enum):
    """The deployments on which plays that support several deployments run."""

    FIRST = "profili-sicilia"
    ALL = "all"


@dataclass(frozen=True)
class Play:
    """One use of a program of the kit.

    Attributes:
        name: The name on the command line.
        program: The program of the kit.
        arguments: The arguments after the site file.
        reading: The format of the result.
        table: The table of the roadmap in which the scores are recorded.
        kind: The name of the play in its row of the table, before the reason for the run.
        seeded: Whether the play runs once for each seed.
        on_other_deployments: Whether the play can also run on the other deployments.
    """

    name: str
    program: Program
    arguments: tuple[str, ...]
    reading: Reading
    table: Table
    kind: str
    seeded: bool = False
    on_other_deployments: bool = False


PLAYS = (
    Play("full", Program.MASS, (), Reading.GATED_SCORE, tables.STANDING, "full"),
    Play("quick", Program.MASS, ("--quick",), Reading.GATED_SCORE, tables.STANDING, "quick"),
    Play(
        "brink", Program.MASS, ("--panel", "brink"), Reading.GATED_SCORE, tables.BRINK, "",
        seeded=True, on_other_deployments=True,
    ),
    Play("size", Program.FLEET, ("--quick", "--panel", "size"), Reading.SCORE, tables.SIZE, "quick"),
    Play(
        "later", Program.FLEET, ("--quick", "--panel", "later"), Reading.SCORE, tables.EARLIER,
        "earlier days, quick",
    ),
    Play("harder", Program.FLEET, ("--quick",), Reading.SCORE, tables.HARDER, "quick"),
    Play("module", Program.MODULE, ("--quick",), Reading.ESTIMATE, tables.EARLIER, "module alone, quick"),
)  # fmt: skip
PLAY_BY_NAME = {play.name: play for play in PLAYS}
DEFAULT_PLAYS = ("full", "brink")

# Paths in the kit; the second site is that of another customer.
FIRST_SITE = Path("sites/profili-sicilia.toml")
OTHER_SITE = Path("more/mass/other/innkreving-oslo.toml")


@dataclass(frozen=True)
class Site:
    """A site file, by its path in the kit or, for a variant of this repository, in the checkout."""

    file: Path
    in_kit: bool

    @property
    def name(self) -> str:
        """The name of the deployment."""
        return self.file.stem


@dataclass(frozen=True)
class Run:
    """One play on one deployment, with a seed if the play is seeded."""

    play: Play
    site: Site
    seed: int | None = None

    @property
    def on_first_site(self) -> bool:
        """Whether the run is on the deployment that all plays support."""
        return self.site.file == FIRST_SITE

    @property
    def name(self) -> str:
        """The name of the play, followed by the deployment and the seed if they vary between its runs."""
        deployment = "" if self.on_first_site else f"-{self.site.name}"
        seed = "" if self.seed is None else f"-{self.seed}"
        return f"{self.play.name}{deployment}{seed}"

    @property
    def file_name(self) -> str:
        """The name of the file in the results folder that stores the output."""
        return f"{self.name}.txt"

    def command(self, kit: Path, why: str) -> list[str]:
        """Return the command line; `kit` is relative to the working directory of the program."""
        site = kit / self.site.file if self.site.in_kit else self.site.file
        seed = [] if self.seed is None else ["--seed", str(self.seed)]
        program = str(kit / self.play.program.value)
        return [program, "score", str(site), *self.play.arguments, *seed, "--why", why]


def planned_runs(plays: Iterable[Play], seeds: tuple[int, ...], other_sites: Iterable[Site]) -> list[Run]:
    """Return the runs of the plays in order; all seeds run on a deployment before the next deployment."""
    first_site = Site(FIRST_SITE, in_kit=True)
    others = tuple(other_sites)
    runs = []
    for play in plays:
        sites = (first_site, *others) if play.on_other_deployments else (first_site,)
        play_seeds = seeds if play.seeded else (None,)
        runs += [Run(play, site, seed) for site in sites for seed in play_seeds]
    return runs
