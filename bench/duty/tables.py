"""Defines the tables of the roadmap that record the scores of plays."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Table:
    """A table of the page, identified by its heading and the names of its columns."""

    heading: str
    columns: tuple[str, ...]


STANDING_DAYS = ("soak", "calm", "roll", "herd", "zone", "split", "join")
BRINK_DAYS = ("roll", "roll+term", "calm", "join", "herd", "split", "zone")

STANDING = Table(
    "### The standing test: the full fleet's days", ("date", "gate", "score", *STANDING_DAYS, "kind")
)
BRINK = Table("### The brink panel, by seed", ("seed", "gate", "score", *BRINK_DAYS, "program"))
SIZE = Table("### The size panel: herd, zone, join", ("date", "score", "kind"))
HARDER = Table("### The harder days: herd+zone, join+disco, churn", ("date", "score", "kind"))
EARLIER = Table("### The earlier days and the module alone", ("date", "score", "kind"))
