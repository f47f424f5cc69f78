"""One page of a rehearsal or a sweep, complete in itself: no script, no font, nothing fetched."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from jinja2 import Environment, select_autoescape
from markupsafe import Markup

from heronreel.emulator.model import Rehearsal
from heronreel.emulator.result import Result
from heronreel.experiments import charts
from heronreel.experiments.compare import Difference, compare_results
from heronreel.experiments.errors import IncomparableResultsError
from heronreel.experiments.table import row_label

MAX_BREACHES, MAX_TRACE_STEPS = 20, 40

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<meta name="viewport" content="width=device-width, initial-scale=1">
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2.2rem; }
table { border-collapse: collapse; font-size: .86rem; margin: .6rem 0; display: block; overflow-x: auto; }
th, td { padding: .25rem .7rem; text-align: right; border-bottom: 1px solid #ddd; white-space: nowrap; }
th:first-child, td:first-child, td.words { text-align: left; }
tr.ours { background: #eaf3fa; font-weight: 600; } .bad { color: #b3261e; } .dim { color: #666; }
svg { max-width: 100%; height: auto; } summary { cursor: pointer; }
pre { font-size: .78rem; overflow-x: auto; background: #f6f6f6; padding: .6rem; }
</style></head><body>
<h1>{{ title }}</h1>
<p class="dim">{{ subtitle }}</p>
{% if verdict %}<p><strong>{{ verdict }}</strong></p>{% endif %}
{% for section in sections %}<h2>{{ section.title }}</h2>
{% if section.words %}<p>{{ section.words }}</p>{% endif %}
{% for chart in section.charts %}<figure>{{ chart }}</figure>{% endfor %}
{% for table in section.tables %}<table><thead>
<tr>{% for head in table.heads %}<th>{{ head }}</th>{% endfor %}</tr>
</thead><tbody>{% for row in table.rows %}<tr{% if row.ours %} class="ours"{% endif %}>
{%- for cell in row.cells %}<td{% if cell.bad %} class="bad"{% elif cell.words %} class="words"{% endif %}>
{%- if cell.link %}<a href="#{{ cell.link }}">{{ cell.text }}</a>{% else %}{{ cell.text }}{% endif %}</td>
{%- endfor %}</tr>
{% endfor %}</tbody></table>{% endfor %}
{% for trace in section.traces %}<details id="{{ trace.id }}"><summary>{{ trace.title }}</summary>
<pre>{{ trace.text }}</pre></details>
{% endfor %}{% endfor %}
</body></html>
"""
_ENVIRONMENT = Environment(autoescape=select_autoescape(default=True, default_for_string=True))


def _cell(value: object, bad: bool = False, words: bool = False, link: str = "") -> dict[str, Any]:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    return {"text": text, "bad": bad, "words": words, "link": link}


def _section(title: str, words: str = "", **parts: Any) -> dict[str, Any]:
    return {"title": title, "words": words, "charts": [], "tables": [], "traces": [], **parts}


def _page(title: str, subtitle: str, sections: Sequence[dict[str, Any]], verdict: str = "") -> str:
    return _ENVIRONMENT.from_string(PAGE).render(
        title=title, subtitle=subtitle, sections=sections, verdict=verdict
    )


def _request(line: int) -> str:
    return f"request {line}" if line >= 0 else ""


def _link(line: int, traced: set[str]) -> str:
    return f"trace-{line}" if str(line) in traced else ""


def _markup(*drawings: str) -> list[Markup]:
    return [Markup(one) for one in drawings]


def _result_table(results: Sequence[Result]) -> dict[str, Any]:
    heads = [
        "policy", "score", "rules", "service", "worst window", "worst tenant", "served", "late", "refused",
        "failed", "lost", "attempts each", "p50 ms", "p99 ms",
    ]  # fmt: skip
    rows = []
    for place, one in enumerate(results):
        row = one.table_row()
        cells = [_cell(one.policy), _cell(one.score, bad=not one.rules_kept)]
        cells.append(_cell(one.broken_rules or "kept", bad=not one.rules_kept, words=True))
        cells += [_cell(row[name]) for name in ("service", "worst_window", "worst_tenant")]
        cells += [_cell(row[name]) for name in ("served", "late", "refused", "failed", "lost")]
        cells += [_cell(row["attempts_each"]), _cell(row.get("p50", 0.0)), _cell(row.get("p99", 0.0))]
        rows.append({"cells": cells, "ours": not place})
    return {"heads": heads, "rows": rows}


def render_rehearsal(rehearsal: Rehearsal, results: Sequence[Result]) -> str:
    """The page of one script: ours first, the others beside it on the same arrivals."""
    ours = results[0]
    traced = set(ours.traces)
    breaches = [
        {
            "cells": [
                _cell(row["rule"]), _cell(row["at_ms"] / 1000.0), _cell(row["proxy"]), _cell(row["node"]),
                _cell(row["words"], words=True),
                _cell(_request(row["line"]), link=_link(row["line"], traced)),
            ],
            "ours": False,
        }
        for row in ours.breaches[:MAX_BREACHES]
    ]  # fmt: skip
    sections = [
        _section("Figures", "The first row is the policy this page is about; the others met the same "
                 "requests, work and troubles.", tables=[_result_table(results)]),
        _section("Over time", charts=_markup(
            charts.service_over_time(results), charts.outcomes_over_time(ours), charts.fleet_over_time(ours),
            charts.nodes_over_time(ours))),
        _section("Latency", charts=_markup(charts.latency(results))),
        _section("What happened", tables=[{
            "heads": ["from s", "to s", "trouble"],
            "rows": [{"cells": [_cell(a), _cell(b), _cell(kind, words=True)], "ours": False}
                     for a, b, kind in charts.fault_intervals(ours)]}]),
        _section("Prices", "Points of service paid for what was used.", tables=[{
            "heads": ["policy", *ours.costs],
            "rows": [{"cells": [_cell(r.policy), *(_cell(v) for v in r.costs.values())], "ours": not place}
                     for place, r in enumerate(results)]}]),
    ]  # fmt: skip
    if breaches:
        heads = ["rule", "at s", "proxy", "node", "what", "trace"]
        count = sum(ours.breach_counts.values())
        words = f"{count} in all; the first {len(breaches)} are shown."
        sections.insert(1, _section("Broken rules", words, tables=[{"heads": heads, "rows": breaches}]))
    if ours.traces:
        words = "What each proxy believed, and what the nodes really did."
        sections.append(_section("Traces", words, traces=[
            {"id": f"trace-{line}", "title": f"request {line}: {len(steps)} steps", "text": trace_text(steps)}
            for line, steps in ours.traces.items()]))  # fmt: skip
    fleet = rehearsal.fleet
    subtitle = (
        f"{fleet.nodes} nodes in {len(fleet.zones)} zones, {rehearsal.proxies.count} proxies, "
        f"{rehearsal.traffic.requests_per_s:g} requests a second, {rehearsal.seconds:g} s, seed {ours.seed}"
    )
    kept = (
        "all rules kept"
        if ours.rules_kept
        else "rules broken: " + ", ".join(r for r, c in ours.breach_counts.items() if c)
    )
    return _page(rehearsal.name, subtitle, sections, f"{ours.policy}: score {ours.score:.3f}, {kept}.")


def trace_text(steps: Sequence[Mapping[str, Any]]) -> str:
    """One request's story, a line for each step."""
    lines = []
    for step in list(steps)[:MAX_TRACE_STEPS]:
        told = {k: v for k, v in step.items() if k not in ("at_ms", "what", "others")}
        words = "  ".join(f"{key}={value}" for key, value in told.items())
        lines.append(f"{step['at_ms']:>12.3f} ms  {step['what']:<24} {words}")
        lines += [f"{'':>15}  also there: {other}" for other in step.get("others", ())]
    if len(steps) > MAX_TRACE_STEPS:
        lines.append(f"... and {len(steps) - MAX_TRACE_STEPS} more steps")
    return "\n".join(lines)


def render_sweep(rows: Sequence[Mapping[str, Any]]) -> str:
    """The page of a sweep: figures by policy and setting, and each against the first, seed by seed."""
    groups: dict[str, list[Mapping[str, Any]]] = {}
    for row in rows:
        groups.setdefault(row_label(row), []).append(row)
    names = list(groups)
    heads = [
        "policy and settings",
        "seeds",
        "score",
        "service",
        "worst window",
        "attempts each",
        "plays with a broken rule",
    ]
    table = []
    for place, name in enumerate(names):
        group = groups[name]
        broken = sum(not row["kept"] for row in group)
        means = [
            sum(float(r[m]) for r in group) / len(group)
            for m in ("score", "service", "worst_window", "attempts_each")
        ]
        cells = [
            _cell(name),
            _cell(len(group)),
            *(_cell(mean) for mean in means),
            _cell(broken, bad=bool(broken)),
        ]
        table.append({"cells": cells, "ours": not place})
    sections = [_section("Figures", tables=[{"heads": heads, "rows": table}])]
    sections.append(
        _section(
            "Over seeds",
            charts=_markup(
                charts.distribution_over_seeds(rows), charts.distribution_over_seeds(rows, "service")
            ),
        )
    )
    for name in names[1:]:
        try:
            found = compare_results(groups[names[0]], groups[name])
        except IncomparableResultsError as error:
            sections.append(_section(f"{names[0]} (A) against {name} (B)", str(error)))
            continue
        sections.append(_section(f"{names[0]} (A) against {name} (B)", tables=[difference_table(found)]))
    scripts = ", ".join(sorted({str(row["name"]) for row in rows}))
    return _page(f"Sweep of {scripts}", f"{len(rows)} plays", sections)


def difference_table(found: Sequence[Difference]) -> dict[str, Any]:
    heads = ["figure", "pairs", "A", "B", "B less A", "95 % from", "to", "verdict"]
    rows = []
    for one in found:
        cells = [_cell(one.metric), _cell(one.pairs), _cell(one.mean_a), _cell(one.mean_b), _cell(one.mean)]
        cells += [
            _cell(min(one.low, one.boot_low)),
            _cell(max(one.high, one.boot_high)),
            _cell(one.words, words=True),
        ]
        rows.append({"cells": cells, "ours": one.shown})
    return {"heads": heads, "rows": rows}
