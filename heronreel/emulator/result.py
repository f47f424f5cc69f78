"""What came of a rehearsal: figures, timeline, breaches, traces, and the bytes two plays are compared by."""

from __future__ import annotations

import hashlib
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import msgspec

from heronreel.emulator.observer import Breach

if TYPE_CHECKING:
    from heronreel.emulator.troubles import Troubles
    from heronreel.emulator.world import World


class Result(msgspec.Struct):
    """One play."""

    name: str
    policy: str
    seed: int
    seconds: float
    service: dict[str, float]  # whole, worst_window, worst_tenant, service: before prices, 0 to 1
    paid: dict[str, float]  # points by what they are for
    score: float  # service less what is paid; 0 where a rule is broken
    counts: dict[str, int]  # requests by their end
    rules: dict[str, int]  # breaches by rule
    percentiles: dict[str, float]  # ms, from when the request was due
    meter: dict[str, float]
    events: int
    seconds_rows: list[dict[str, Any]]
    timeline: list[dict[str, Any]]
    breaches: list[dict[str, Any]]
    traces: dict[str, list[dict[str, Any]]] = {}

    @property
    def kept(self) -> bool:
        return not any(self.rules.values())

    @property
    def broken(self) -> str:
        """The rules that were, and how often, in words."""
        return ", ".join(f"{rule} {count}" for rule, count in self.rules.items() if count)

    def lines_of_breaches(self) -> list[int]:
        """The clients' requests that breaches belong to."""
        return sorted({row["line"] for row in self.breaches if row["line"] >= 0})

    def lines(self) -> bytes:
        """The timeline as JSON lines, byte for byte alike for the same play."""
        rows = [
            *self.timeline,
            *self.seconds_rows,
            *self.breaches,
            {"score": self.score, "counts": self.counts},
        ]
        return b"".join(msgspec.json.encode(row) + b"\n" for row in rows)

    def digest(self) -> str:
        return hashlib.sha256(self.lines()).hexdigest()

    def row(self) -> dict[str, Any]:
        """Its figures, flat, as a table holds them."""
        row: dict[str, Any] = {
            "policy": self.policy,
            "seed": self.seed,
            "score": self.score,
            "kept": self.kept,
        }
        row |= self.service
        row |= {f"paid_{name}": value for name, value in self.paid.items()}
        row |= {f"broke_{rule}": count for rule, count in self.rules.items()}
        row |= dict(self.counts)
        row |= {name.replace(".", "_"): value for name, value in self.percentiles.items()}
        requests = max(1, self.counts["requests"])
        row["attempts_each"] = self.meter["attempts"] / requests
        row["handshakes_each"] = self.meter["handshakes"] / requests
        row["list_calls"] = int(self.meter["list_calls"])
        return row


def gathered(world: World, troubles: Troubles) -> Result:
    judge, observer = world.judge, world.observer
    service = {name: round(value, 6) for name, value in judge.service().items()}
    paid = {name: round(value, 6) for name, value in judge.paid().items()}
    kept = not any(observer.counts.values())
    score = max(0.0, service["service"] - sum(paid.values())) if kept else 0.0
    rows: list[dict[str, Any]] = [
        {
            "second": place, "asked": round(s.asked, 3), "got": round(s.got, 3), "requests": s.requests,
            **{end: s.ends[end] for end in sorted(s.ends)},
        }
        for place, s in enumerate(judge.seconds)
    ]  # fmt: skip
    breaches: list[Breach] = observer.breaches
    return Result(
        name=world.rehearsal.name, policy=world.policy, seed=world.seed, seconds=world.rehearsal.seconds,
        service=service, paid=paid, score=round(score, 6), counts=judge.totals(), rules=dict(observer.counts),
        percentiles=judge.percentiles(),
        meter=asdict(judge.meter) | {"list_failed": world.lists.failed, "reloads": troubles.reloads},
        events=world.events.played, seconds_rows=rows, timeline=world.timeline,
        breaches=[asdict(breach) for breach in breaches],
        traces={str(line): steps for line, steps in (world.tracer.steps if world.tracer else {}).items()},
    )  # fmt: skip
