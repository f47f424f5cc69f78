"""The result of a rehearsal: figures, timeline, breaches and traces, and a digest to compare two runs."""

from __future__ import annotations

import hashlib
from dataclasses import asdict
from typing import Any

import msgspec

from heronreel.emulator.context import SimulationContext
from heronreel.emulator.scoring import Scoring


class Result(msgspec.Struct):
    """The result of one run.  Field names and keys are the stored form."""

    name: str
    policy: str
    seed: int
    seconds: float
    service: dict[str, float]  # whole, worst_window, worst_tenant, service; before costs, 0 to 1
    costs: dict[str, float] = msgspec.field(name="paid")  # points by kind of cost
    score: float  # service minus costs; 0 if a rule is broken
    counts: dict[str, int]  # requests by result
    breach_counts: dict[str, int] = msgspec.field(name="rules")  # by rule
    percentiles: dict[str, float]  # latency in ms since the request was due
    meter: dict[str, float]
    events: int
    second_rows: list[dict[str, Any]] = msgspec.field(name="seconds_rows")
    timeline: list[dict[str, Any]]
    breaches: list[dict[str, Any]]
    traces: dict[str, list[dict[str, Any]]] = {}

    @property
    def rules_kept(self) -> bool:
        """Return whether no rule was broken."""
        return not any(self.breach_counts.values())

    @property
    def broken_rules(self) -> str:
        """Describe the rules that were broken and how often."""
        return ", ".join(f"{rule} {count}" for rule, count in self.breach_counts.items() if count)

    def breached_requests(self) -> list[int]:
        """Return the numbers of the client requests that have breaches."""
        return sorted({row["line"] for row in self.breaches if row["line"] >= 0})

    def json_lines(self) -> bytes:
        """Return the timeline as JSON lines, byte-identical for identical runs."""
        rows = [
            *self.timeline,
            *self.second_rows,
            *self.breaches,
            {"score": self.score, "counts": self.counts},
        ]
        return b"".join(msgspec.json.encode(row) + b"\n" for row in rows)

    def digest(self) -> str:
        """Return a hash of `json_lines`."""
        return hashlib.sha256(self.json_lines()).hexdigest()

    def table_row(self) -> dict[str, Any]:
        """Return the figures as one flat row of a table."""
        row: dict[str, Any] = {
            "policy": self.policy,
            "seed": self.seed,
            "score": self.score,
            "kept": self.rules_kept,
        }
        row |= self.service
        row |= {f"paid_{name}": value for name, value in self.costs.items()}
        row |= {f"broke_{rule}": count for rule, count in self.breach_counts.items()}
        row |= dict(self.counts)
        row |= {name.replace(".", "_"): value for name, value in self.percentiles.items()}
        requests = max(1, self.counts["requests"])
        row["attempts_each"] = self.meter["attempts"] / requests
        row["handshakes_each"] = self.meter["handshakes"] / requests
        row["list_calls"] = int(self.meter["list_calls"])
        return row


def collect_result(context: SimulationContext, policy: str, seed: int, reloads: int) -> Result:
    """Collect the result of a finished run; `reloads` counts proxy reloads by faults."""
    rehearsal, scoring, invariants = context.rehearsal, context.scoring, context.invariants
    service = {name: round(value, 6) for name, value in scoring.service().items()}
    costs = {name: round(value, 6) for name, value in scoring.costs().items()}
    kept = not any(invariants.counts.values())
    score = max(0.0, service["service"] - sum(costs.values())) if kept else 0.0
    meter = asdict(scoring.meter) | {"list_failed": context.endpoint_list.failed_calls, "reloads": reloads}
    steps = context.tracer.steps if context.tracer is not None else {}
    return Result(
        name=rehearsal.name,
        policy=policy,
        seed=seed,
        seconds=rehearsal.seconds,
        service=service,
        costs=costs,
        score=round(score, 6),
        counts=scoring.counts(),
        breach_counts=dict(invariants.counts),
        percentiles=scoring.percentiles(),
        meter=meter,
        events=context.events.processed,
        second_rows=_second_rows(scoring),
        timeline=context.timeline.rows,
        breaches=[asdict(breach) for breach in invariants.breaches],
        traces={str(ident): rows for ident, rows in steps.items()},
    )


def _second_rows(scoring: Scoring) -> list[dict[str, Any]]:
    return [
        {
            "second": number,
            "asked": round(second.requested_weight, 3),
            "got": round(second.served_weight, 3),
            "requests": second.requests,
            **{result.value: second.results[result] for result in sorted(second.results)},
        }
        for number, second in enumerate(scoring.seconds)
    ]
