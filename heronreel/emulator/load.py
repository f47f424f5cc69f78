"""A rehearsal script's bytes to a checked `Rehearsal`, or every problem in them at once, each with its line.

Beside the form: troubles within the time of the rehearsal, targets that exist, shares that sum to something,
a fleet that fits its zones, and figures that a kind of trouble needs or has no use for.
"""

from __future__ import annotations

from typing import Any

import msgspec

from heronreel.emulator import model
from heronreel.emulator.policies import CARELESS, POLICIES
from heronreel.routes.model import Path
from heronreel.routes.reader import TableReader, describe_value, parse_toml

ARRAYS_MOST = 64
SUM_SLACK = 1e-6


Top = msgspec.defstruct(
    "Top", [("version", int, 1), *((name, object, None) for name in model.Rehearsal.__struct_fields__)]
)


# What each kind of trouble needs of `size`: words, the least and the most; kinds without one must not set it.
SIZES: dict[str, tuple[str, float, float]] = {
    "slow": ("how many times slower, from 1 to 1,000", 1.0, 1000.0),
    "errors": ("the share of requests that fail, from 0 to 1", 0.0, 1.0),
    "neighbour": ("the share of the machine that is taken, from 0 to 0.99", 0.0, 0.99),
    "lose_answers": ("the share of answers lost, from 0 to 1", 0.0, 1.0),
    "reset": ("the share of requests whose connection is reset, from 0 to 1", 0.0, 1.0),
    "burst": ("the factor on the rate, over 0 and up to 1,000", 1e-9, 1000.0),
    "heavy": ("how many times the usual work, from 1 to 1,000", 1.0, 1000.0),
    "shift": ("the factor on the zone's part, over 0 and up to 1,000", 1e-9, 1000.0),
    "tenant": ("the factor on the tenant's part, over 0 and up to 1,000", 1e-9, 1000.0),
    "list_slow": ("how many times slower, from 1 to 1,000", 1.0, 1000.0),
    "list_late": ("seconds later, from 0 to 1,000", 0.0, 1000.0),
}
OF_NODES = frozenset(
    ("slow", "errors", "neighbour", "pause", "silent", "crash", "drain", "replace", "lose_answers", "reset",
     "zone_lost")
)  # fmt: skip
OF_PROXIES = frozenset(("kill", "restart", "reload"))
AT_ONCE = frozenset(("crash", "drain", "replace", "grow", "kill", "restart", "reload"))  # without an end
WITH_ZONE = frozenset(("zone_lost", "zone_cut", "shift"))


def load(data: bytes) -> model.Rehearsal:
    """The script's record.  Raises `heronreel.routes.reader.BadFile` with every problem."""
    raw, lines = parse_toml(data)
    return _Loader(raw, lines).load()


class _Loader(TableReader):
    def load(self) -> model.Rehearsal:
        version = self.raw.get("version", model.VERSION)
        if version != model.VERSION:
            newer = isinstance(version, int) and version > model.VERSION
            right = f"this program reads version {model.VERSION}" + ("; use a newer one" if newer else "")
            self.wrong(("version",), f"is {describe_value(version)}", right, "version")
            self.finish()
        unknown = {name: value for name, value in self.raw.items() if name not in Top.__struct_fields__}
        self.table(unknown, (), Top)
        told = {n: v for n, v in self.raw.items() if n in ("name", "seconds")}
        top = self.table(told, (), model.Rehearsal)
        parts = {
            name: self._struct(name, spec)
            for name, spec in (
                ("network", model.Network), ("proxies", model.Proxies), ("front", model.Front),
                ("keys", model.Keys), ("clients", model.Clients), ("list", model.List),
                ("rules", model.Rules), ("prices", model.Prices), ("score", model.Score),
            )
        }  # fmt: skip
        made: dict[str, Any] = {
            **top, **{name: part for name, part in parts.items() if part is not None},
            "fleet": self._fleet(), "traffic": self._traffic(), "classes": self._rows("classes", model.Class),
            "tenants": self._rows("tenants", model.Tenant), "troubles": self._troubles(),
        }  # fmt: skip
        if not made["classes"]:
            made["classes"] = (model.Class(),)
        if not self.problems:
            rehearsal = model.Rehearsal(**made)
            self._check(rehearsal)
            self.finish()
            return rehearsal
        self.finish()
        raise AssertionError("finish raises where there are problems")

    def _struct(self, name: str, spec: type[msgspec.Struct], without: tuple[str, ...] = ()) -> object:
        raw = self.raw.get(name)
        if raw is None:
            return None
        if isinstance(raw, dict):
            raw = {field: value for field, value in raw.items() if field not in without}
        count = len(self.problems)
        values = self.table(raw, (name,), spec)
        return spec(**values) if len(self.problems) == count else None

    def _rows(
        self, name: str, spec: type[msgspec.Struct], at: Path = (), raw: object = None
    ) -> tuple[object, ...]:
        made = []
        path = at or (name,)
        rows = self.tables(self.raw.get(name) if raw is None else raw, path, ARRAYS_MOST)
        for place, row in rows:
            count = len(self.problems)
            values = self.table(row, place, spec)
            if len(self.problems) == count:
                made.append(spec(**values))
        self.once(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "name")
        return tuple(made)

    def _fleet(self) -> model.Fleet:
        raw = self.raw.get("fleet")
        if raw is None:
            self.wrong((), "fleet is missing", "add [fleet] with nodes and [[fleet.kinds]]", "missing-field")
            return model.Fleet()
        kinds = self._rows(
            "kinds", model.Kind, ("fleet", "kinds"), raw.get("kinds", ()) if isinstance(raw, dict) else ()
        )
        fleet = self._struct("fleet", model.Fleet, ("kinds",))
        if not kinds:
            self.wrong(("fleet",), "has no kinds", "add [[fleet.kinds]] with a name", "missing-field")
        if not isinstance(fleet, model.Fleet):
            return model.Fleet()
        return msgspec.structs.replace(fleet, kinds=kinds)

    def _traffic(self) -> model.Traffic:
        raw = self.raw.get("traffic")
        points = self._rows(
            "points",
            model.Point,
            ("traffic", "points"),
            raw.get("points", ()) if isinstance(raw, dict) else (),
        )
        traffic = self._struct("traffic", model.Traffic, ("points",))
        if not isinstance(traffic, model.Traffic):
            traffic = model.Traffic()
        return msgspec.structs.replace(traffic, points=points)

    def _troubles(self) -> tuple[model.Trouble, ...]:
        made = []
        for path, row in self.tables(self.raw.get("troubles"), ("troubles",), model.TROUBLES_MOST):
            count = len(self.problems)
            values = self.table(row, path, model.Trouble)
            if len(self.problems) == count:
                made.append(model.Trouble(**values))
        return tuple(made)

    # What refers to what.

    def _check(self, rehearsal: model.Rehearsal) -> None:
        fleet, proxies = rehearsal.fleet, rehearsal.proxies
        zones = fleet.zones
        if not zones:
            self.wrong(("fleet", "zones"), "is empty", "name one zone at least")
        if len(set(zones)) != len(zones):
            self.wrong(("fleet", "zones"), "names a zone twice", "each zone once", "duplicate")
        racks = -(-fleet.nodes // fleet.rack_size)
        if racks < len(zones):
            self.wrong(
                ("fleet", "nodes"), f"make {racks} racks of {fleet.rack_size} for {len(zones)} zones",
                f"expected {(len(zones) - 1) * fleet.rack_size + 1} nodes at least, or smaller racks",
                "placement",
            )  # fmt: skip
        if not sum(kind.share for kind in fleet.kinds):
            self.wrong(("fleet", "kinds"), "have shares that sum to 0", "give one of them a share over 0")
        if not sum(klass.share for klass in rehearsal.classes):
            self.wrong(("classes",), "have shares that sum to 0", "give one of them a share over 0")
        for place, klass in enumerate(rehearsal.classes):
            if klass.aim_ms > klass.deadline_ms:
                right = f"expected at most deadline_ms ({klass.deadline_ms:g})"
                self.wrong(("classes", place, "aim_ms"), f"is {klass.aim_ms:g}", right)
            if klass.effect == "keyed" and not klass.window_ms:
                right = "a keyed class needs the time for which repeats are dropped"
                self.wrong(("classes", place, "window_ms"), "is 0", right)
        if proxies.policy not in POLICIES and proxies.policy not in CARELESS:
            right = f"known here: {', '.join(sorted((*POLICIES, *CARELESS)))}"
            self.wrong(("proxies", "policy"), f"is {describe_value(proxies.policy)}", right, "unknown-policy")
        if proxies.count > model.PROXIES_MOST:
            self.wrong(
                ("proxies", "count"), f"is {proxies.count:,}", f"expected at most {model.PROXIES_MOST:,}"
            )
        if proxies.count < len(zones):
            right = f"expected at least one for each of the {len(zones)} zones"
            self.wrong(("proxies", "count"), f"is {proxies.count}", right, "placement")
        before = -1.0
        for place, point in enumerate(rehearsal.traffic.points):
            if point.at_s <= before:
                self.wrong(
                    ("traffic", "points", place, "at_s"), f"is {point.at_s:g}", f"expected over {before:g}"
                )
            before = point.at_s
        racks_named = {f"r{number}" for number in range(racks)}
        for place, trouble in enumerate(rehearsal.troubles):
            self._check_trouble(("troubles", place), trouble, rehearsal, racks_named)

    def _check_trouble(
        self, path: Path, trouble: model.Trouble, rehearsal: model.Rehearsal, racks: set[str]
    ) -> None:
        fleet, seconds, what = rehearsal.fleet, rehearsal.seconds, trouble.what
        if trouble.at_s >= seconds:
            self.wrong(
                (*path, "at_s"),
                f"is {trouble.at_s:g}",
                f"expected before the end of the rehearsal, {seconds:g} s",
                "time",
            )
        elif what not in AT_ONCE and not trouble.for_s:
            self.wrong(
                (*path, "for_s"), "is missing", f"a trouble of kind {what} lasts for a time", "missing-field"
            )
        elif what in AT_ONCE and trouble.for_s:
            right = "use within_s for how long its targets' turns take, after_s for what follows"
            self.wrong((*path, "for_s"), f"is {trouble.for_s:g}, and {what} has no end", right)
        if trouble.at_s + max(trouble.for_s, trouble.within_s) > seconds and trouble.at_s < seconds:
            end = trouble.at_s + max(trouble.for_s, trouble.within_s)
            field = "for_s" if trouble.for_s >= trouble.within_s else "within_s"
            right = f"expected {seconds - trouble.at_s:g} at most: the rehearsal has {seconds:g} s"
            self.wrong((*path, field), f"ends at {end:g} s", right, "time")
        if what in SIZES:
            words, least, most = SIZES[what]
            if not least <= trouble.size <= most:
                self.wrong((*path, "size"), f"is {trouble.size:g}", f"expected {words}")
        elif trouble.size:
            self.wrong((*path, "size"), f"is {trouble.size:g}", f"{what} has no size")
        for field, value, known in (
            ("zone", trouble.zone, set(fleet.zones)), ("rack", trouble.rack, racks),
            ("kind", trouble.kind, {kind.name for kind in fleet.kinds}),
            ("tenant", trouble.tenant, {tenant.name for tenant in rehearsal.tenants}),
        ):  # fmt: skip
            if value and value not in known:
                near = ", ".join(sorted(known)[:8]) or "none"
                self.wrong(
                    (*path, field), f"is {describe_value(value)}", f"known here: {near}", "unknown-target"
                )
        if what in WITH_ZONE and not trouble.zone:
            self.wrong((*path, "zone"), "is missing", f"{what} befalls a zone", "missing-field")
        if what == "zone_cut" and len(fleet.zones) < 2:
            self.wrong(
                (*path, "what"), "cuts off the only zone", "expected two zones at least", "unknown-target"
            )
        if what == "tenant" and not trouble.tenant:
            self.wrong((*path, "tenant"), "is missing", "name the tenant", "missing-field")
        if what == "grow" and not (trouble.count or trouble.share):
            self.wrong(
                (*path, "count"), "is missing", "say how many nodes come, or which share", "missing-field"
            )
        if what == "heavy" and not trouble.share:
            self.wrong(
                (*path, "share"), "is missing", "say which share of the requests is heavy", "missing-field"
            )
        if trouble.names:
            known = {f"n{number}" for number in range(1, fleet.nodes + 1)}
            if what in OF_PROXIES:
                known = {f"p{number}" for number in range(rehearsal.proxies.count)}
            elif what not in OF_NODES:
                self.wrong((*path, "names"), "are given", f"{what} has no targets by name", "unknown-target")
                known = set(trouble.names)
            for place, name in enumerate(trouble.names):
                if name not in known:
                    ends = sorted(known, key=lambda one: int(one[1:]))
                    right = f"known at the start: {ends[0]} to {ends[-1]}" if ends else "none is known"
                    self.wrong((*path, "names", place), f"is {describe_value(name)}", right, "unknown-target")
        ways = sum(bool(way) for way in (trouble.busiest, trouble.count, trouble.share, trouble.names))
        if what in OF_NODES | OF_PROXIES and ways > 1:
            self.wrong(
                path, "names its targets in several ways", "use one of names, busiest, count and share"
            )
