"""The table of plays, and the runs that a request for some of them comes to."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from bench.duty import tables
from bench.duty.tables import Table


class Program(enum.Enum):
    """A program of the kit, by its path there."""

    MASS = "more/mass/bin/lbreal"
    FLEET = "more/bin/lbreal"
    MODULE = "bin/lbsim"


class Reading(enum.Enum):
    """How the result of a play is read from what it prints."""

    GATED_SCORE = "a score, and a line that says whether the gate passed"
    SCORE = "a score"
    ESTIMATE = "the quick estimate of the module alone"


class Deployments(enum.Enum):
    """Which deployments the plays take that are made for several."""

    FIRST = "profili-sicilia"
    ALL = "all"


@dataclass(frozen=True)
class Play:
    """One use of a program of the kit.

    Attributes:
        name: The name on the command line.
        program: The program of the kit.
        arguments: What follows the site file.
        reading: How the result is read.
        table: The table of the roadmap that keeps the figures.
        kind: What the row of the table calls the play, before the reason for it.
        seeded: Whether it is played once for each seed.
        on_other_deployments: Whether it can be played on the other deployments too.
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

FIRST_SITE = Path("sites/profili-sicilia.toml")  # in the kit
OTHER_SITE = Path("more/mass/other/innkreving-oslo.toml")  # in the kit, the other customer's


@dataclass(frozen=True)
class Site:
    """A site file: of the kit by its path there, or a variant of ours by its path in the checkout."""

    file: Path
    in_kit: bool

    @property
    def name(self) -> str:
        """The name of the deployment."""
        return self.file.stem


@dataclass(frozen=True)
class Run:
    """One play of one deployment, with one seed where the play takes seeds."""

    play: Play
    site: Site
    seed: int | None = None

    @property
    def on_first_site(self) -> bool:
        """Whether it plays the deployment that every play is made for."""
        return self.site.file == FIRST_SITE

    @property
    def name(self) -> str:
        """The name of the play, then what distinguishes this run from others of it."""
        deployment = "" if self.on_first_site else f"-{self.site.name}"
        seed = "" if self.seed is None else f"-{self.seed}"
        return f"{self.play.name}{deployment}{seed}"

    @property
    def file_name(self) -> str:
        """The file of the results folder that keeps the output."""
        return f"{self.name}.txt"

    def command(self, kit: Path, why: str) -> list[str]:
        """The command line; the kit's path is relative to the folder that the program is started in."""
        site = kit / self.site.file if self.site.in_kit else self.site.file
        seed = [] if self.seed is None else ["--seed", str(self.seed)]
        program = str(kit / self.play.program.value)
        return [program, "score", str(site), *self.play.arguments, *seed, "--why", why]


def planned_runs(plays: Iterable[Play], seeds: tuple[int, ...], other_sites: Iterable[Site]) -> list[Run]:
    """The runs of the plays, in order; seeds go one by one through a deployment before the next."""
    first_site = Site(FIRST_SITE, in_kit=True)
    others = tuple(other_sites)
    runs = []
    for play in plays:
        sites = (first_site, *others) if play.on_other_deployments else (first_site,)
        play_seeds = seeds if play.seeded else (None,)
        runs += [Run(play, site, seed) for site in sites for seed in play_seeds]
    return runs
