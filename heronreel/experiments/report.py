"""Renders a self-contained HTML page of a rehearsal or a sweep, without scripts or external resources."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from jinja2 import Environment, select_autoescape
from markupsafe import Markup

from heronreel.emulator.model import Rehearsal
from heronreel.emulator.result import Result
from heronreel.experiments import charts
from heronreel.experiments.compare import Difference, compare_results
from heronreel.experiments.errors import IncomparableResultsError
from heronreel.experiments.table import row_label

MAX_BREACHES = 20
MAX_TRACE_STEPS = 40
RESULT_COLUMNS = (
    "service",
    "worst_window",
    "worst_tenant",
    "served",
    "late",
    "refused",
    "failed",
    "lost",
    "attempts_each",
)
SWEEP_METRICS = ("score", "service", "worst_window", "attempts_each")
BREACH_HEADS = ("rule", "at s", "proxy", "node", "what", "trace")
DIFFERENCE_HEADS = ("figure", "pairs", "A", "B", "B less A", "95 % from", "to", "verdict")

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<meta name="viewport" content="width=device-width, initial-scale=1">
<style>
body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2.2rem; }
table { border-collapse: collapse; font-size: .86rem; margin: .6rem 0; display: block; overflow-x: auto; }
th, td { padding: .25rem .7rem; text-align: right; border-bottom: 1px solid #ddd; white-space: nowrap; }
th:first-child, td:first-child, td.left { text-align: left; }
tr.emphasised { background: #eaf3fa; font-weight: 600; } .bad { color: #b3261e; } .dim { color: #666; }
svg { max-width: 100%; height: auto; } summary { cursor: pointer; }
pre { font-size: .78rem; overflow-x: auto; background: #f6f6f6; padding: .6rem; }
</style></head><body>
<h1>{{ title }}</h1>
<p class="dim">{{ subtitle }}</p>
{% if verdict %}<p><strong>{{ verdict }}</strong></p>{% endif %}
{% for section in sections %}<h2>{{ section.title }}</h2>
{% if section.description %}<p>{{ section.description }}</p>{% endif %}
{% for chart in section.charts %}<figure>{{ chart }}</figure>{% endfor %}
{% for table in section.tables %}<table><thead>
<tr>{% for head in table.heads %}<th>{{ head }}</th>{% endfor %}</tr>
</thead><tbody>{% for row in table.rows %}<tr{% if row.emphasised %} class="emphasised"{% endif %}>
{%- for cell in row.cells %}<td{% if cell.bad %} class="bad"{% elif cell.left %} class="left"{% endif %}>
{%- if cell.link %}<a href="#{{ cell.link }}">{{ cell.text }}</a>{% else %}{{ cell.text }}{% endif %}</td>
{%- endfor %}</tr>
{% endfor %}</tbody></table>{% endfor %}
{% for trace in section.traces %}<details id="{{ trace.id }}"><summary>{{ trace.title }}</summary>
<pre>{{ trace.text }}</pre></details>
{% endfor %}{% endfor %}
</body></html>
"""
_ENVIRONMENT = Environment(autoescape=select_autoescape(default=True, default_for_string=True))


class Cell(NamedTuple):
    """A table cell with its text and formatting."""

    text: str
    bad: bool = False  # highlighted as a failure
    left: bool = False  # aligned on the left; numbers are aligned on the right
    link: str = ""  # id of the element of the page that the cell links to


class Row(NamedTuple):
    """A table row, emphasised if it is of the main policy or a significant difference."""

    cells: Sequence[Cell]
    emphasised: bool = False


class Table(NamedTuple):
    """A table with its column headings."""

    heads: Sequence[str]
    rows: Sequence[Row]


class Trace(NamedTuple):
    """A collapsed block with the trace of a request."""

    id: str
    title: str
    text: str


class Section(NamedTuple):
    """A section of the page with its heading."""

    title: str
    description: str = ""
    charts: Sequence[Markup] = ()
    tables: Sequence[Table] = ()
    traces: Sequence[Trace] = ()


def _cell(value: object, bad: bool = False, left: bool = False, link: str = "") -> Cell:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    return Cell(text, bad, left, link)


def _page(title: str, subtitle: str, sections: Sequence[Section], verdict: str = "") -> str:
    template = _ENVIRONMENT.from_string(PAGE)
    return template.render(title=title, subtitle=subtitle, sections=sections, verdict=verdict)


def _markup(*charts_as_svg: str) -> list[Markup]:
    return [Markup(svg) for svg in charts_as_svg]


def render_rehearsal(rehearsal: Rehearsal, results: Sequence[Result]) -> str:
    """Render the page of one script: the first result, compared with the others on the same arrivals."""
    main_result = results[0]
    sections = [_figures_section(results)]
    if main_result.breaches:
        sections.append(_breaches_section(main_result))
    sections += [
        _timeline_section(results),
        Section("Latency", charts=_markup(charts.latency(results))),
        _faults_section(main_result),
        _prices_section(results),
    ]
    if main_result.traces:
        sections.append(_traces_section(main_result))
    verdict = f"{main_result.policy}: score {main_result.score:.3f}, {_rules_verdict(main_result)}."
    return _page(rehearsal.name, _rehearsal_subtitle(rehearsal, main_result.seed), sections, verdict)


def _rehearsal_subtitle(rehearsal: Rehearsal, seed: int) -> str:
    fleet = rehearsal.fleet
    return (
        f"{fleet.nodes} nodes in {len(fleet.zones)} zones, {rehearsal.proxies.count} proxies, "
        f"{rehearsal.traffic.requests_per_s:g} requests a second, {rehearsal.seconds:g} s, seed {seed}"
    )


def _rules_verdict(result: Result) -> str:
    if result.rules_kept:
        return "all rules kept"
    return "rules broken: " + ", ".join(rule for rule, count in result.breach_counts.items() if count)


def _figures_section(results: Sequence[Result]) -> Section:
    description = (
        "The first row is the main policy; the other policies had the same requests, work and troubles."
    )
    return Section("Figures", description, tables=[_result_table(results)])


def _result_table(results: Sequence[Result]) -> Table:
    rows = []
    for index, result in enumerate(results):
        values = result.table_row()
        broken = not result.rules_kept
        cells = [
            _cell(result.policy),
            _cell(result.score, bad=broken),
            _cell(result.broken_rules or "kept", bad=broken, left=True),
            *(_cell(values[name]) for name in RESULT_COLUMNS),
            _cell(values.get("p50", 0.0)),
            _cell(values.get("p99", 0.0)),
        ]
        rows.append(Row(cells, emphasised=index == 0))
    names = [name.replace("_", " ") for name in RESULT_COLUMNS]
    return Table(["policy", "score", "rules", *names, "p50 ms", "p99 ms"], rows)


def _breaches_section(result: Result) -> Section:
    rows = [Row(_breach_cells(breach, result)) for breach in result.breaches[:MAX_BREACHES]]
    description = f"{sum(result.breach_counts.values())} in total; the first {len(rows)} are shown."
    return Section("Broken rules", description, tables=[Table(BREACH_HEADS, rows)])


def _breach_cells(breach: Mapping[str, Any], result: Result) -> list[Cell]:
    line = breach["line"]
    return [
        _cell(breach["rule"]),
        _cell(breach["at_ms"] / 1000.0),
        _cell(breach["proxy"]),
        _cell(breach["node"]),
        _cell(breach["words"], left=True),
        _cell(
            f"request {line}" if line >= 0 else "", link=f"trace-{line}" if str(line) in result.traces else ""
        ),
    ]


def _timeline_section(results: Sequence[Result]) -> Section:
    main_result = results[0]
    timeline_charts = _markup(
        charts.service_over_time(results),
        charts.outcomes_over_time(main_result),
        charts.fleet_over_time(main_result),
        charts.nodes_over_time(main_result),
    )
    return Section("Over time", charts=timeline_charts)


def _faults_section(result: Result) -> Section:
    rows = [
        Row([_cell(interval.start_s), _cell(interval.end_s), _cell(interval.kind, left=True)])
        for interval in charts.fault_intervals(result)
    ]
    return Section("What happened", tables=[Table(["from s", "to s", "trouble"], rows)])


def _prices_section(results: Sequence[Result]) -> Section:
    rows = [
        Row([_cell(result.policy), *(_cell(cost) for cost in result.costs.values())], emphasised=index == 0)
        for index, result in enumerate(results)
    ]
    description = "Points of service deducted for the resources used."
    return Section("Prices", description, tables=[Table(["policy", *results[0].costs], rows)])


def _traces_section(result: Result) -> Section:
    traces = [
        Trace(f"trace-{line}", f"request {line}: {len(steps)} steps", trace_text(steps))
        for line, steps in result.traces.items()
    ]
    return Section(
        "Traces", "The state that each proxy assumed, and the actual behaviour of the nodes.", traces=traces
    )


def trace_text(steps: Sequence[Mapping[str, Any]]) -> str:
    """Return the trace of one request as text, one line for each step."""
    lines = []
    for step in list(steps)[:MAX_TRACE_STEPS]:
        details = {key: value for key, value in step.items() if key not in ("at_ms", "what", "others")}
        detail_text = "  ".join(f"{key}={value}" for key, value in details.items())
        lines.append(f"{step['at_ms']:>12.3f} ms  {step['what']:<24} {detail_text}")
        lines += [f"{'':>15}  also there: {other}" for other in step.get("others", ())]
    if len(steps) > MAX_TRACE_STEPS:
        lines.append(f"... and {len(steps) - MAX_TRACE_STEPS} more steps")
    return "\n".join(lines)


def render_sweep(rows: Sequence[Mapping[str, Any]]) -> str:
    """Render the page of a sweep.

    It has the metrics by policy and settings, and a comparison of each group with the first, paired by seed.
    """
    groups: dict[str, list[Mapping[str, Any]]] = {}
    for row in rows:
        groups.setdefault(row_label(row), []).append(row)
    over_seeds = _markup(
        charts.distribution_over_seeds(rows), charts.distribution_over_seeds(rows, "service")
    )
    sections = [
        Section("Figures", tables=[_group_table(groups)]),
        Section("Over seeds", charts=over_seeds),
    ]
    first, *others = groups
    sections += [
        _comparison_section(f"{first} (A) against {name} (B)", groups[first], groups[name]) for name in others
    ]
    scripts = ", ".join(sorted({str(row["name"]) for row in rows}))
    return _page(f"Sweep of {scripts}", f"{len(rows)} plays", sections)


def _group_table(groups: Mapping[str, Sequence[Mapping[str, Any]]]) -> Table:
    rows = []
    for index, (name, plays) in enumerate(groups.items()):
        broken = sum(not play["kept"] for play in plays)
        means = [sum(float(play[metric]) for play in plays) / len(plays) for metric in SWEEP_METRICS]
        cells = [
            _cell(name),
            _cell(len(plays)),
            *(_cell(mean) for mean in means),
            _cell(broken, bad=bool(broken)),
        ]
        rows.append(Row(cells, emphasised=index == 0))
    names = [metric.replace("_", " ") for metric in SWEEP_METRICS]
    return Table(["policy and settings", "seeds", *names, "plays with a broken rule"], rows)


def _comparison_section(
    title: str, a: Sequence[Mapping[str, Any]], b: Sequence[Mapping[str, Any]]
) -> Section:
    try:
        differences = compare_results(a, b)
    except IncomparableResultsError as error:
        return Section(title, str(error))
    return Section(title, tables=[difference_table(differences)])


def difference_table(differences: Sequence[Difference]) -> Table:
    """Return the table of a paired comparison, with significant differences emphasised."""
    rows = []
    for difference in differences:
        cells = [
            _cell(difference.metric),
            _cell(difference.pairs),
            _cell(difference.mean_a),
            _cell(difference.mean_b),
            _cell(difference.mean),
            _cell(min(difference.low, difference.boot_low)),
            _cell(max(difference.high, difference.boot_high)),
            _cell(difference.words, left=True),
        ]
        rows.append(Row(cells, emphasised=difference.shown))
    return Table(DIFFERENCE_HEADS, rows)
