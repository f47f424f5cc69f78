"""Draws charts of plays as SVG for embedding in an HTML page.  Uses matplotlib without a display."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("svg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

from heronreel.emulator.result import Result
from heronreel.experiments.table import row_label

COLOURS = ("#1b6ca8", "#d1495b", "#edae49", "#66a182", "#8d96a3", "#7b4b94", "#2e4057")
FAULT_COLOUR = "#f3d9b1"
# Faults without a duration are drawn this wide, because a shaded area without width is invisible.
MIN_SHADE_S = 0.15
# Width that is reserved for the label of a fault, in seconds of the time axis.
LABEL_WIDTH_S = 2.0
# Maximum number of rows in the chart of nodes.
MAX_NODES = 60
MAX_NODE_LABELS = 20
OUTCOME_COLOURS = {
    "served": "#66a182",
    "late": "#edae49",
    "refused": "#8d96a3",
    "failed": "#d1495b",
    "lost": "#000000",
}


def render_svg(figure: Figure) -> str:
    """Return the figure as SVG text that is identical in every run."""
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None}, bbox_inches="tight")
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _axes(title: str, x: str, y: str, height: float = 3.0) -> tuple[Figure, Axes]:
    matplotlib.rcParams["svg.hashsalt"] = title  # makes the element ids depend on the title only
    figure = Figure(figsize=(9.0, height))
    axes = figure.subplots()
    axes.set_title(title, loc="left", fontsize=11)
    axes.set_xlabel(x)
    axes.set_ylabel(y)
    axes.grid(alpha=0.25)
    for side in ("top", "right"):
        axes.spines[side].set_visible(False)
    return figure, axes


class FaultInterval(NamedTuple):
    """The interval in which a fault was active, and the kind of the fault."""

    start_s: float
    end_s: float
    kind: str


def fault_intervals(result: Result) -> list[FaultInterval]:
    """Return the faults of the timeline, ordered by start.

    A fault without an end event gets an interval of length zero.
    """
    open_faults: dict[int, tuple[float, str]] = {}
    intervals = []
    for row in result.timeline:
        if "trouble" not in row:
            continue
        fault = row["trouble"]
        if row["event"] == "begins":
            open_faults[fault] = (row["at_ms"] / 1000.0, row["kind"])
        elif fault in open_faults:
            start_s, kind = open_faults.pop(fault)
            intervals.append(FaultInterval(start_s, row["at_ms"] / 1000.0, kind))
    instants = [FaultInterval(start_s, start_s, kind) for start_s, kind in open_faults.values()]
    return sorted(intervals + instants)


def _shade_faults(axes: Axes, result: Result) -> None:
    """Shade the fault intervals behind the curves and label them in rows so that no labels overlap."""
    row_ends_s: list[float] = []
    for start_s, end_s, kind in fault_intervals(result):
        axes.axvspan(
            start_s, max(end_s, start_s + MIN_SHADE_S), color=FAULT_COLOUR, alpha=0.55, lw=0, zorder=0
        )
        free_rows = (row for row, until_s in enumerate(row_ends_s) if until_s <= start_s)
        label_row = next(free_rows, len(row_ends_s))
        row_ends_s[label_row : label_row + 1] = [max(end_s, start_s + LABEL_WIDTH_S)]
        axes.annotate(
            kind,
            (start_s, 1.0),
            xycoords=("data", "axes fraction"),
            xytext=(2, -9 - 10 * label_row),
            textcoords="offset points",
            fontsize=8,
            color="#7a5a1e",
        )


def service_over_time(results: Sequence[Result]) -> str:
    """Draw the share of priority weight served by second, one line for each policy.

    The shaded faults are those of the first result.
    """
    figure, axes = _axes("Service by second in which requests were due", "s", "share of worth served")
    _shade_faults(axes, results[0])
    for index, result in enumerate(results):
        rows = [row for row in result.second_rows if row["asked"]]
        axes.plot(
            [row["second"] + 0.5 for row in rows],
            [row["got"] / row["asked"] for row in rows],
            color=COLOURS[index % len(COLOURS)],
            lw=2.2 if not index else 1.2,
            label=result.policy,
        )
    axes.set_ylim(0.0, 1.03)
    axes.legend(fontsize=8, loc="lower left", ncols=4, frameon=False)
    return render_svg(figure)


def outcomes_over_time(result: Result) -> str:
    """Draw the outcomes of the requests due in each second, stacked, and the demand as a line."""
    figure, axes = _axes(f"Demand and what became of it ({result.policy})", "s", "requests a second")
    _shade_faults(axes, result)
    seconds = [row["second"] + 0.5 for row in result.second_rows]
    counts = [[row.get(outcome, 0) for row in result.second_rows] for outcome in OUTCOME_COLOURS]
    axes.stackplot(
        seconds, *counts, labels=list(OUTCOME_COLOURS), colors=list(OUTCOME_COLOURS.values()), alpha=0.85
    )
    axes.plot(
        seconds, [row["requests"] for row in result.second_rows], color="#222222", lw=1.0, label="demand"
    )
    axes.legend(fontsize=8, loc="upper center", bbox_to_anchor=(0.5, -0.16), ncols=6, frameon=False)
    return render_svg(figure)


def fleet_over_time(result: Result) -> str:
    """Draw the utilisation of the nodes and the number of requests at them."""
    figure, axes = _axes(
        f"Nodes: utilisation and requests at them ({result.policy})", "s", "share of cores busy"
    )
    _shade_faults(axes, result)
    rows = [row for row in result.timeline if row["event"] == "second"]
    seconds = [row["at_ms"] / 1000.0 - 0.5 for row in rows]
    axes.plot(seconds, [row["utilisation"] for row in rows], color=COLOURS[0], lw=1.8, label="utilisation")
    axes.set_ylim(0.0, 1.05)
    right_axes = axes.twinx()
    right_axes.plot(seconds, [row["requests_at_nodes"] for row in rows], color=COLOURS[1], lw=1.2)
    right_axes.set_ylabel("requests at nodes", color=COLOURS[1])
    return render_svg(figure)


def nodes_over_time(result: Result, max_nodes: int = MAX_NODES) -> str:
    """Draw the requests waiting and running at each node by second; white where the node does not exist."""
    rows = [row for row in result.timeline if row["event"] == "second"]
    names = sorted({name for row in rows for name in row["states"]}, key=lambda name: int(name[1:]))[
        :max_nodes
    ]
    height = min(8.0, 1.2 + 0.11 * len(names))
    figure, axes = _axes(f"Requests at each node ({result.policy})", "s", "node", height)
    grid = [
        [sum(row["states"][name][:2]) if name in row["states"] else float("nan") for row in rows]
        for name in names
    ]
    if rows and names:
        image = axes.imshow(
            grid,
            aspect="auto",
            cmap="YlOrRd",
            interpolation="nearest",
            vmin=0,
            extent=(0.0, len(rows), len(names) - 0.5, -0.5),
        )
        figure.colorbar(image, ax=axes, label="running and waiting")
    step = max(1, len(names) // MAX_NODE_LABELS)
    axes.set_yticks(range(0, len(names), step), names[::step], fontsize=7)
    axes.grid(False)
    return render_svg(figure)


def latency(results: Sequence[Result]) -> str:
    """Draw the latency percentiles of each policy."""
    figure, axes = _axes("Time to the answer, from when the request was due", "percentile", "ms")
    for index, result in enumerate(results):
        names = list(result.percentiles)
        axes.plot(
            names,
            [result.percentiles[name] for name in names],
            marker="o",
            ms=3.5,
            color=COLOURS[index % len(COLOURS)],
            lw=2.2 if not index else 1.2,
            label=result.policy,
        )
    axes.set_yscale("log")
    axes.legend(fontsize=8, frameon=False)
    return render_svg(figure)


def distribution_over_seeds(rows: Sequence[Mapping[str, Any]], metric: str = "score") -> str:
    """Draw the distribution of a metric over seeds, for each combination of policy and settings."""
    groups: dict[str, list[float]] = {}
    for row in rows:
        groups.setdefault(row_label(row), []).append(float(row[metric]))
    figure, axes = _axes(f"{metric} over seeds", metric, "", 1.2 + 0.35 * len(groups))
    names = list(groups)
    axes.boxplot([groups[name] for name in names], orientation="horizontal", tick_labels=names, widths=0.6)
    for index, name in enumerate(names):
        axes.plot(groups[name], [index + 1] * len(groups[name]), ".", color=COLOURS[0], alpha=0.5)
    axes.invert_yaxis()
    return render_svg(figure)
