"""Parses the command line of the standing duty."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from bench.duty import plays
from bench.duty.plays import Deployments, Play, Site

ALL_PLAYS = "all"
# The kit accepts only reasons with fewer characters than this.
WHY_LIMIT = 120
DEFAULT_WHY = "the standing duty"


@dataclass(frozen=True)
class Checkout:
    """The working tree in which the programs run."""

    root: Path

    @property
    def roadmap(self) -> Path:
        """The page that records the scores."""
        return self.root / "docs" / "ROADMAP.md"

    @property
    def sites(self) -> Path:
        """The folder of this repository's deployment variants."""
        return self.root / "deploy" / "sites"

    def variants(self) -> list[Site]:
        """Return the deployment variants by their paths in the checkout."""
        return [Site(file.relative_to(self.root), in_kit=False) for file in sorted(self.sites.glob("*.toml"))]


@dataclass(frozen=True)
class Request:
    """The parsed command line; all paths are absolute."""

    kit: Path
    plays: tuple[Play, ...]
    seeds: tuple[int, ...]
    deployments: Deployments
    why: str
    results: Path
    write: bool


def parse_request(arguments: Sequence[str], checkout: Checkout) -> Request:
    """Parse the arguments; a usage error exits the program."""
    parser = argument_parser(checkout)
    options = parser.parse_args(arguments)
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
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description="Play the standing duty.", prog="standing_duty")
    parser.add_argument("kit", type=Path, metavar="KIT", help="the folder of the operators' programs")
    parser.add_argument(
        "--play", nargs="+", metavar="NAME", choices=[*plays.PLAY_BY_NAME, ALL_PLAYS],
        default=list(plays.DEFAULT_PLAYS),
        help=f"{', '.join(plays.PLAY_BY_NAME)}, all; default: {' and '.join(plays.DEFAULT_PLAYS)}",
    )  # fmt: skip
    parser.add_argument("--seeds", type=parse_seeds, default=(), help="seeds of the brink panel: 501,502")
    parser.add_argument(
        "--deployment", choices=[deployment.value for deployment in Deployments],
        default=Deployments.FIRST.value,
        help="all: also run the brink panel on the other deployments",
    )  # fmt: skip
    parser.add_argument(
        "--why", type=parse_reason, default=DEFAULT_WHY, help="the reason for the run, in one sentence"
    )
    parser.add_argument(
        "--results",
        type=Path,
        default=checkout.root / "logs" / "duty",
        help="the folder that stores the outputs",
    )
    parser.add_argument("--write", action="store_true", help="insert the rows into docs/ROADMAP.md")
    return parser


def parse_seeds(text: str) -> tuple[int, ...]:
    """Parse a comma-separated list of distinct seeds."""
    parts = text.split(",")
    if not all(part.isdecimal() for part in parts):
        raise argparse.ArgumentTypeError(f"'{text}' is not a comma-separated list of whole numbers")
    seeds = tuple(int(part) for part in parts)
    if len(set(seeds)) < len(seeds):
        raise argparse.ArgumentTypeError(f"'{text}' contains a duplicate seed")
    return seeds


def parse_reason(text: str) -> str:
    """Validate a reason: one plain line that the kit accepts and that fits into a table cell."""
    if len(text) >= WHY_LIMIT:
        raise argparse.ArgumentTypeError(f"{len(text)} characters; there must be fewer than {WHY_LIMIT}")
    if not text.strip() or not text.isprintable() or "|" in text:
        raise argparse.ArgumentTypeError("must be one plain sentence without a bar or line break")
    return text
