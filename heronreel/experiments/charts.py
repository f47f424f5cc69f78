"""Charts of plays, as SVG to be set into a page.  Drawn by matplotlib, without a display."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from typing import Any

import matplotlib

matplotlib.use("svg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from heronreel.emulator.result import Result
from heronreel.experiments.table import row_label

COLOURS = ("#1b6ca8", "#d1495b", "#edae49", "#66a182", "#8d96a3", "#7b4b94", "#2e4057")
FAULT_COLOUR = "#f3d9b1"
OUTCOME_COLOURS = {
    "served": "#66a182",
    "late": "#edae49",
    "refused": "#8d96a3",
    "failed": "#d1495b",
    "lost": "#000000",
}


def render_svg(figure: Figure) -> str:
    """As text, without what changes from one run to the next."""
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata={"Date": None}, bbox_inches="tight")
    drawn = text.getvalue()
    return drawn[drawn.index("<svg") :]


def _axes(title: str, x: str, y: str, height: float = 3.0) -> tuple[Figure, Axes]:
    matplotlib.rcParams["svg.hashsalt"] = title  # names within the drawing depend on it alone
    figure = Figure(figsize=(9.0, height))
    axes = figure.subplots()
    axes.set_title(title, loc="left", fontsize=11)
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    axes.grid(alpha=0.25)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)
    return figure, axes


def fault_intervals(result: Result) -> list[tuple[float, float, str]]:
    """Start and end, s, and kind of each trouble, from the timeline."""
    begun: dict[int, tuple[float, str]] = {}
    found = []
    for row in result.timeline:
        if "trouble" not in row:
            continue
        if row["event"] == "begins":
            begun[row["trouble"]] = (row["at_ms"] / 1000.0, row["kind"])
        elif row["trouble"] in begun:
            at, kind = begun.pop(row["trouble"])
            found.append((at, row["at_ms"] / 1000.0, kind))
    return sorted(found + [(at, at, kind) for at, kind in begun.values()])


def _shade_faults(axes: Axes, result: Result) -> None:
    """The troubles behind the curves, on the same axis."""
    levels: list[float] = []
    for at, end, kind in fault_intervals(result):
        axes.axvspan(at, max(end, at + 0.15), color=FAULT_COLOUR, alpha=0.55, lw=0, zorder=0)
        level = next((n for n, until in enumerate(levels) if until <= at), len(levels))
        levels[level : level + 1] = [max(end, at + 2.0)]
        axes.annotate(
            kind, (at, 1.0), xycoords=("data", "axes fraction"), xytext=(2, -9 - 10 * level),
            textcoords="offset points", fontsize=8, color="#7a5a1e",
        )  # fmt: skip


def service_over_time(results: Sequence[Result]) -> str:
    figure, axes = _axes("Service by second in which requests were due", "s", "share of worth served")
    _shade_faults(axes, results[0])
    for place, result in enumerate(results):
        rows = [row for row in result.second_rows if row["asked"]]
        axes.plot(
            [row["second"] + 0.5 for row in rows], [row["got"] / row["asked"] for row in rows],
            color=COLOURS[place % len(COLOURS)], lw=2.2 if not place else 1.2, label=result.policy,
        )  # fmt: skip
    axes.set_ylim(0.0, 1.03)
    axes.legend(fontsize=8, loc="lower left", ncols=4, frameon=False)
    return render_svg(figure)


def outcomes_over_time(result: Result) -> str:
    """Goodput against demand: what became of the requests due in each second."""
    figure, axes = _axes(f"Demand and what became of it ({result.policy})", "s", "requests a second")
    _shade_faults(axes, result)
    seconds = [row["second"] + 0.5 for row in result.second_rows]
    parts = [[row.get(end, 0) for row in result.second_rows] for end in OUTCOME_COLOURS]
    axes.stackplot(
        seconds, *parts, labels=list(OUTCOME_COLOURS), colors=list(OUTCOME_COLOURS.values()), alpha=0.85
    )
    axes.plot(
        seconds, [row["requests"] for row in result.second_rows], color="#222222", lw=1.0, label="demand"
    )
    axes.legend(fontsize=8, loc="upper center", bbox_to_anchor=(0.5, -0.16), ncols=6, frameon=False)
    return render_svg(figure)


def fleet_over_time(result: Result) -> str:
    figure, axes = _axes(
        f"Nodes: utilisation and requests at them ({result.policy})", "s", "share of cores busy"
    )
    _shade_faults(axes, result)
    rows = [row for row in result.timeline if row["event"] == "second"]
    seconds = [row["at_ms"] / 1000.0 - 0.5 for row in rows]
    axes.plot(seconds, [row["utilisation"] for row in rows], color=COLOURS[0], lw=1.8, label="utilisation")
    axes.set_ylim(0.0, 1.05)
    other = axes.twinx()
    other.plot(seconds, [row["requests_at_nodes"] for row in rows], color=COLOURS[1], lw=1.2)
    other.set_ylabel("requests at nodes", color=COLOURS[1])
    return render_svg(figure)


def nodes_over_time(result: Result, most: int = 60) -> str:
    """What each node has waiting and running, second by second: dark is crowded, white is gone."""
    rows = [row for row in result.timeline if row["event"] == "second"]
    names = sorted({name for row in rows for name in row["states"]}, key=lambda name: int(name[1:]))[:most]
    height = min(8.0, 1.2 + 0.11 * len(names))
    figure, axes = _axes(f"Requests at each node ({result.policy})", "s", "node", height)
    grid = [
        [sum(row["states"][n][:2]) if n in row["states"] else float("nan") for row in rows] for n in names
    ]
    if rows and names:
        drawn = axes.imshow(
            grid, aspect="auto", cmap="YlOrRd", interpolation="nearest", vmin=0,
            extent=(0.0, len(rows), len(names) - 0.5, -0.5),
        )  # fmt: skip
        figure.colorbar(drawn, ax=axes, label="running and waiting")
    step = max(1, len(names) // 20)
    axes.set_yticks(range(0, len(names), step), names[::step], fontsize=7)
    axes.grid(False)
    return render_svg(figure)


def latency(results: Sequence[Result]) -> str:
    figure, axes = _axes("Time to the answer, from when the request was due", "percentile", "ms")
    for place, result in enumerate(results):
        names = list(result.percentiles)
        axes.plot(
            names, [result.percentiles[name] for name in names], marker="o", ms=3.5,
            color=COLOURS[place % len(COLOURS)], lw=2.2 if not place else 1.2, label=result.policy,
        )  # fmt: skip
    axes.set_yscale("log")
    axes.legend(fontsize=8, frameon=False)
    return render_svg(figure)


def distribution_over_seeds(rows: Sequence[Mapping[str, Any]], metric: str = "score") -> str:
    """A figure's values over seeds, by policy or setting."""
    groups: dict[str, list[float]] = {}
    for row in rows:
        groups.setdefault(row_label(row), []).append(float(row[metric]))
    figure, axes = _axes(f"{metric} over seeds", metric, "", 1.2 + 0.35 * len(groups))
    names = list(groups)
    axes.boxplot([groups[name] for name in names], orientation="horizontal", tick_labels=names, widths=0.6)
    for place, name in enumerate(names):
        axes.plot(groups[name], [place + 1] * len(groups[name]), ".", color=COLOURS[0], alpha=0.5)
    axes.invert_yaxis()
    return render_svg(figure)
