"""What the command line of the standing duty asks for."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.duty import plays
from bench.duty.plays import Deployments, Play, Site

ALL_PLAYS = "all"
WHY_LIMIT = 120  # characters; the kit takes a sentence that is shorter
DEFAULT_WHY = "the standing duty"


@dataclass(frozen=True)
class Checkout:
    """The working tree that is played."""

    root: Path

    @property
    def roadmap(self) -> Path:
        """The page that keeps the figures."""
        return self.root / "docs" / "ROADMAP.md"

    @property
    def sites(self) -> Path:
        """The folder of our variants of a deployment."""
        return self.root / "deploy" / "sites"

    def variants(self) -> list[Site]:
        """Our variants, by their paths in the checkout."""
        return [Site(file.relative_to(self.root), in_kit=False) for file in sorted(self.sites.glob("*.toml"))]


@dataclass(frozen=True)
class Request:
    """What the command line asks for; paths are absolute."""

    kit: Path
    plays: tuple[Play, ...]
    seeds: tuple[int, ...]
    deployments: Deployments
    why: str
    results: Path
    write: bool


def parse_request(words: Sequence[str], checkout: Checkout) -> Request:
    """The request that the words make; a usage error ends the program."""
    parser = argument_parser(checkout)
    options = parser.parse_args(words)
    names = list(plays.PLAY_BY_NAME) if ALL_PLAYS in options.play else dict.fromkeys(options.play)
    chosen = tuple(plays.PLAY_BY_NAME[name] for name in names)
    if any(play.seeded for play in chosen) and not options.seeds:
        parser.error("the brink panel needs --seeds, such as --seeds 501,502")
    return Request(
        kit=options.kit.absolute(),
        plays=chosen,
        seeds=options.seeds,
        deployments=Deployments(options.deployment),
        why=options.why,
        results=options.results.absolute(),
        write=options.write,
    )


def argument_parser(checkout: Checkout) -> argparse.ArgumentParser:
    """The options of the command line."""
    parser = argparse.ArgumentParser(description="Play the standing duty.", prog="standing_duty")
    parser.add_argument("kit", type=Path, metavar="KIT", help="the folder of the operators' programs")
    parser.add_argument(
        "--play", nargs="+", metavar="NAME", choices=[*plays.PLAY_BY_NAME, ALL_PLAYS],
        default=list(plays.DEFAULT_PLAYS),
        help=f"of {', '.join(plays.PLAY_BY_NAME)}, or all; {' and '.join(plays.DEFAULT_PLAYS)} without it",
    )  # fmt: skip
    parser.add_argument("--seeds", type=seeds_of, default=(), help="seeds of the brink panel: 501,502")
    parser.add_argument(
        "--deployment", choices=[each.value for each in Deployments], default=Deployments.FIRST.value,
        help="all: the brink panel also on the other deployments",
    )  # fmt: skip
    parser.add_argument("--why", type=reason_of, default=DEFAULT_WHY, help="what it is for, in one sentence")
    parser.add_argument(
        "--results", type=Path, default=checkout.root / "logs" / "duty", help="where outputs are kept"
    )
    parser.add_argument("--write", action="store_true", help="insert the rows into docs/ROADMAP.md")
    return parser


def seeds_of(text: str) -> tuple[int, ...]:
    """Seeds from a list with commas, each given once."""
    parts = text.split(",")
    if not all(part.isdecimal() for part in parts):
        raise argparse.ArgumentTypeError(f"'{text}' is no list of whole numbers with commas")
    seeds = tuple(int(part) for part in parts)
    if len(set(seeds)) < len(seeds):
        raise argparse.ArgumentTypeError(f"'{text}' has a seed twice")
    return seeds


def reason_of(text: str) -> str:
    """A reason: one plain line that the kit and a cell of a table can take."""
    if len(text) >= WHY_LIMIT:
        raise argparse.ArgumentTypeError(f"{len(text)} characters; it has to be under {WHY_LIMIT}")
    if not text.strip() or not text.isprintable() or "|" in text:
        raise argparse.ArgumentTypeError("it has to be one plain sentence, with no bar or line end")
    return text
