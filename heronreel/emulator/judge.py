"""Service and prices, from what clients got.

The worth of a request is counted by its first try: its class's worth, for each ms of work where the script
says so, and a small part of it beyond the tenant's quota.  It is served in full when an answer comes within
the aim from the moment the first try was due to be sent, whether or not the client was able to send it then;
so a stall of the system can't hide the requests it kept from being sent (coordinated omission).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from heronreel.emulator.model import Prices, Score

SECOND_MS = 1000.0
HOUR_US = 3_600_000_000
ENDS = ("served", "late", "refused", "failed", "lost", "left")


@dataclass(slots=True)
class Second:
    """What was due in one second, and what came of it."""

    asked: float = 0.0  # worth
    got: float = 0.0
    requests: int = 0
    ends: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Line:
    """One request of a client, with all its tries."""

    ident: int
    at: float  # due
    klass: int
    tenant: str
    worth: float
    work: float
    in_share: bool
    key: int = 0
    zone: str = ""
    tries: int = 0
    answer: str = ""


@dataclass(slots=True)
class Meter:
    """What is paid for over the whole fleet."""

    attempts: int = 0
    handshakes: int = 0
    crossings: int = 0
    list_calls: int = 0
    late_failures: int = 0
    wasted_ms: float = 0.0  # of work for answers that nobody got
    worked_ms: float = 0.0
    conn_ms: float = 0.0  # open connections over time
    node_ms: float = 0.0  # nodes over time


class Judge:
    def __init__(self, score: Score, prices: Prices, tenants: dict[str, float], proxies: int) -> None:
        """`tenants`: quotas, requests a second; without any, all requests are in their share."""
        self.score, self.prices, self.proxies = score, prices, proxies
        self.quotas = tenants
        self.saved: dict[str, tuple[float, float]] = {
            name: (2.0 * quota, 0.0) for name, quota in tenants.items()
        }
        self.seconds: list[Second] = []
        self.tenants = {name: [0.0, 0.0] for name in tenants}  # asked, got within share
        self.latency = HdrHistogram(1, HOUR_US, 3)  # whole microseconds, to three digits
        self.meter = Meter()

    def second(self, at: float) -> Second:
        place = int(at // SECOND_MS)
        while len(self.seconds) <= place:
            self.seconds.append(Second())
        return self.seconds[place]

    def due(self, ident: int, at: float, klass: int, tenant: str, worth: float, work: float) -> Line:
        """A client's request is due to be sent."""
        in_share = self._in_share(at, tenant)
        value = (
            worth * (work if self.score.by_work else 1.0) * (1.0 if in_share else self.score.over_share_worth)
        )
        line = Line(ident, at, klass, tenant, value, work, in_share)
        second = self.second(at)
        second.asked += value
        second.requests += 1
        if in_share and tenant in self.tenants:
            self.tenants[tenant][0] += value
        return line

    def _in_share(self, now: float, tenant: str) -> bool:
        quota = self.quotas.get(tenant)
        if quota is None:
            return True
        saved, since = self.saved[tenant]
        saved = min(2.0 * quota, saved + quota * (now - since) / SECOND_MS)
        self.saved[tenant] = (saved - (saved >= 1.0), now)
        return saved >= 1.0

    def over(self, line: Line, end: str, now: float, aim: float, late_worth: float) -> None:
        """The last word on a request: served, refused, failed, lost or left."""
        took = now - line.at
        if end == "served" and took > aim:
            end = "late"
        part = {"served": 1.0, "late": late_worth}.get(end, 0.0)
        second = self.second(line.at)
        second.got += part * line.worth
        second.ends[end] = second.ends.get(end, 0) + 1
        if line.in_share and line.tenant in self.tenants:
            self.tenants[line.tenant][1] += part * line.worth
        if part:
            self.latency.record_value(max(1, int(took * 1000.0)))
        elif end in ("failed", "refused", "lost") and took > aim:
            self.meter.late_failures += 1
        line.answer = end

    def service(self) -> dict[str, float]:
        """Whole run, worst window and worst tenant, and their weighted sum before prices."""
        asked, got = sum(s.asked for s in self.seconds), sum(s.got for s in self.seconds)
        size = max(1, round(self.score.window_s))
        parts = []
        for start in range(max(1, len(self.seconds) - size + 1)):
            window = self.seconds[start : start + size]
            due = sum(s.asked for s in window)
            if due > 0.0:
                parts.append(sum(s.got for s in window) / due)
        whole = got / asked if asked else 1.0
        worst = min(parts, default=whole)
        tenant = min((got / due for due, got in self.tenants.values() if due), default=whole)
        weights = self.score.whole + self.score.worst_window + self.score.worst_tenant or 1.0
        sum_of = self.score.whole * whole + self.score.worst_window * worst + self.score.worst_tenant * tenant
        return {"whole": whole, "worst_window": worst, "worst_tenant": tenant, "service": sum_of / weights}

    def paid(self) -> dict[str, float]:
        """Points lost, by what they are for."""
        meter, prices = self.meter, self.prices
        requests = max(1, sum(s.requests for s in self.seconds))
        seconds = max(1, len(self.seconds))
        asked = max(1e-9, meter.worked_ms)
        return {
            "handshake": prices.handshake * meter.handshakes / requests,
            "connection": prices.connection * meter.conn_ms / max(1.0, meter.node_ms) / 100.0,
            "cross_zone": prices.cross_zone * meter.crossings / requests,
            "late_failure": prices.late_failure * meter.late_failures / requests,
            "waste": prices.waste * meter.wasted_ms / asked,
            "list_calls": prices.list_calls * meter.list_calls / (seconds * self.proxies),
        }

    def totals(self) -> dict[str, Any]:
        counts = dict.fromkeys(ENDS, 0)
        for second in self.seconds:
            for end, count in second.ends.items():
                counts[end] += count
        return {"requests": sum(s.requests for s in self.seconds), **counts}

    def percentiles(self) -> dict[str, float]:
        """Of answered requests, from when they were due, ms."""
        if not self.latency.get_total_count():
            return {}
        return {f"p{p:g}": self.latency.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 95, 99, 99.9)}
