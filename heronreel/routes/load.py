"""Loads a routes file into a checked `RoutesFile`, or reports every problem of its form at once.

The form covers types, bounds, names and references between tables.  Whether a well-formed file could break a
rule is checked by `proof`; `check_routes` in `proof` does both.
"""

from __future__ import annotations

import difflib
import ipaddress
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from heronreel.balancer.interface import Effect
from heronreel.routes import schema
from heronreel.routes.model import (
    DEDUP_SCOPES_BY_NAME,
    EFFECTS_BY_NAME,
    ExhaustedResponse,
    FleetSettings,
    HealthCheckSettings,
    Listener,
    Match,
    Member,
    Path,
    PlatformLimits,
    Policy,
    Pool,
    PoolShare,
    ProxySettings,
    RetryScope,
    Route,
    RoutesFile,
    Tenant,
)
from heronreel.routes.reader import TableReader, describe_value, parse_toml

MAX_MEMBERS = 10_000
MAX_ROUTES = 20_000
MAX_LISTENERS = 64
MAX_TENANTS = 10_000
MAX_SPLIT_POOLS = 1000
# The methods that the proxy accepts.
METHODS = frozenset(("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")  # RFC 9110, 5.6.2
_HOST = re.compile(
    r"(\*\.)?[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?(\.[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?)*|\[[0-9a-f:.]+\]"
)
_SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%-]*")  # RFC 3986, 3.3
_PARAMETER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]{0,31}\}")
MAX_SEGMENTS = 32
MAX_SHOWN_POOLS = 10  # The most pools that a message lists.
HEALTH_PATH = "/_health"  # The proxy answers this path itself.
HEDGE_FIELDS = ("second_copy_after_ms", "second_copy_percentile")
VALUE_CONVERTERS: Mapping[str, Callable[[Any], Any]] = {
    "effect": EFFECTS_BY_NAME.__getitem__,
    "deduplication_scope": DEDUP_SCOPES_BY_NAME.__getitem__,
    "retry_on": frozenset,
    "retry_scope": RetryScope,
    "hedge_scope": RetryScope,
    "when_exhausted": ExhaustedResponse,
}
"""Functions that convert a value of the file, by the attribute of `Policy`."""

TASK_PRIORITIES = ("urgent", "usual", "idle")  # The priority classes of fleet-wide tasks.
MAX_METERED_TENANTS = 1000  # The sums of all tenants are stored in one value of the coordination group.


def load_routes(data: bytes) -> RoutesFile:
    """Load a routes file from its bytes.

    Raises:
        ConfigFileError: the file has problems of form; the error lists all of them.
    """
    raw, lines = parse_toml(data)
    return _Loader(raw, lines).load()


def is_loopback(address: str) -> bool:
    """Return whether an address is reachable only from this machine; False for an invalid address."""
    try:
        return ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback
    except ValueError:
        return False


class _Loader(TableReader):
    """Reads the tables of a routes file."""

    def load(self) -> RoutesFile:
        """Read every table, then raise ConfigFileError if any of them has problems."""
        top = self.read_table(self.raw, (), schema.RootTable)
        file = RoutesFile(
            self._process(top.get("proxy", {})),
            self._listeners(),
            self._pools(),
            self._tenants(),
            (),
            self.lines,
        )
        routes = self._routes(file)
        fleet = self._fleet(top["fleet"], len(file.tenants)) if "fleet" in top else None
        probe = self._probe(top["probe"]) if "probe" in top else None
        self.raise_problems()
        return RoutesFile(
            file.process, file.listeners, file.pools, file.tenants, routes, self.lines, fleet, probe
        )

    def _address(self, text: str, path: Path, any_port: bool) -> tuple[str, int]:
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        try:
            ipaddress.ip_address(host)
            number = int(port) if port.isascii() and port.isdigit() else -1
            if not (0 if any_port else 1) <= number < 65536:
                raise ValueError
        except ValueError:
            # Host names are not accepted, because a slow resolver would stall every request.
            self.add_problem(
                path,
                f"is {describe_value(text)}",
                'expected an IP address and a port, such as "127.0.0.1:8080"',
            )
            return "127.0.0.1", 0
        return host, number

    def _process(self, raw: object) -> ProxySettings:
        values = self.read_table(raw, ("proxy",), schema.ProxyTable)
        names = {field for field in PlatformLimits.__dataclass_fields__ if field in values}
        if "discovery" in values:
            values["discovery"] = self._address(values["discovery"], ("proxy", "discovery"), False)
        limits = PlatformLimits(**{name: values.pop(name) for name in names})
        return ProxySettings(**values, limits=limits)

    def _listeners(self) -> tuple[Listener, ...]:
        listeners = []
        rows = self.read_tables(self.raw.get("listeners"), ("listeners",), MAX_LISTENERS)
        for path, row in rows:
            values = self.read_table(row, path, schema.ListenerTable)
            if "name" in values and "address" in values:
                listeners.append(
                    Listener(values["name"], self._address(values["address"], (*path, "address"), True))
                )
        self.check_unique(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "listener")
        addresses = ((p, r["address"]) for p, r in rows if isinstance(r.get("address"), str))
        # Port 0 means any free port, so it may be used several times.
        self.check_unique(((p, a) for p, a in addresses if not a.endswith(":0")), "address")
        return tuple(listeners)

    def _pools(self) -> dict[str, Pool]:
        pools: dict[str, Pool] = {}
        names: list[tuple[Path, str]] = []
        addresses: list[tuple[Path, str]] = []
        for path, row in self.read_tables(self.raw.get("pools"), ("pools",), MAX_MEMBERS):
            values = self.read_table(row, path, schema.PoolTable)
            discovered = values.get("discovery") == "platform"
            members = []
            rows = self.read_tables(row.get("members"), (*path, "members"), MAX_MEMBERS)
            for entry_path, entry in rows:
                member = self.read_table(entry, entry_path, schema.MemberTable)
                if "name" not in member or "address" not in member:
                    continue
                address = self._address(member["address"], (*entry_path, "address"), False)
                addresses.append(((*entry_path, "address"), f"{address[0]}:{address[1]}"))
                members.append(Member(**{**member, "address": address}))
            if discovered and rows:
                self.add_problem(
                    (*path, "members"), "members beside the platform's discovery", "use one of the two"
                )
            elif not discovered and not rows and "name" in values:
                self.add_problem(
                    path,
                    "has no members",
                    f"add [[pools.members]] or discovery = {describe_value('platform')}",
                )
            self.check_unique(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "member")
            if "name" in values:
                names.append((path, values["name"]))
                pools.setdefault(values["name"], Pool(values["name"], tuple(members), discovered))
        self.check_unique(names, "pool")
        discovered_paths = [path for path, name in names if pools[name].discovered]
        if len(discovered_paths) > 1:  # The discovery service's list doesn't name pools.
            self.add_problem(
                discovered_paths[1], "a second pool from the platform's discovery", "one at most"
            )
        # The load of a backend in two pools would be counted twice, and during its warm-up it would receive
        # twice as many requests as it can handle.
        self.check_unique(addresses, "address")
        return pools

    def _tenants(self) -> tuple[Tenant, ...]:
        rows = self.read_tables(self.raw.get("tenants"), ("tenants",), MAX_TENANTS)
        values = [self.read_table(row, path, schema.TenantTable) for path, row in rows]
        self.check_unique(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "tenant")
        return tuple(Tenant(**row) for row in values if "name" in row)

    def _fleet(self, raw: object, tenants: int) -> FleetSettings | None:
        values = self.read_table(raw, ("fleet",), schema.FleetTable)
        if "group" not in values:
            return None
        for index, text in enumerate(values["group"]):
            self._address(text, ("fleet", "group", index), False)
        budgets = self._budgets(values.pop("budgets", {}))
        fleet = FleetSettings(**values | {"group": tuple(values["group"]), "budgets": budgets})
        self.check_lease(("fleet", "lease_s"), fleet.lease_s, fleet.answer_s, fleet.margin_s)
        if fleet.embedded and (len(fleet.group) != 1 or not is_loopback(fleet.group[0])):
            right = 'one address of this machine in group, as ["127.0.0.1:9001"]'
            self.add_problem(("fleet", "embedded"), f"with {len(fleet.group)} in group", right, "embedded")
        if fleet.count_s and not fleet.folder:
            right = "a folder that outlives the process, for this machine's counts"
            self.add_problem(("fleet", "folder"), "is missing", right, "missing-field")
        if fleet.count_s and tenants > MAX_METERED_TENANTS:
            right = f"at most {MAX_METERED_TENANTS:,} tenants are counted: count_s = 0"
            self.add_problem(("fleet", "count_s"), f"{tenants:,} tenants", right, "count")
        return fleet

    def _budgets(self, raw: object) -> tuple[tuple[str, float | None, float | None, float | None], ...]:
        path: Path = ("fleet", "budgets")
        if not isinstance(raw, dict):
            self.add_problem(path, f"is {describe_value(raw)}", "expected a table")
            return ()
        rows = []
        for name, table in raw.items():
            if name not in TASK_PRIORITIES:
                right = f"known here: {', '.join(TASK_PRIORITIES)}"
                self.add_problem((*path, name), "no such class of tasks", right, "unknown-field")
                continue
            values = self.read_table(table, (*path, name), schema.BudgetTable)
            rows.append((name, values.get("calls"), values.get("bytes"), values.get("cpu")))
        return tuple(rows)

    def _probe(self, raw: object) -> HealthCheckSettings | None:
        values = self.read_table(raw, ("probe",), schema.ProbeTable)
        if "path" not in values:
            return None
        probe = HealthCheckSettings(**values)
        if probe.timeout_ms > probe.every_ms:
            right = f"at most every_ms, {probe.every_ms:g}: a round is over before the next one"
            self.add_problem(("probe", "timeout_ms"), f"is {probe.timeout_ms:g}", right, "probe")
        return probe

    def _routes(self, file: RoutesFile) -> tuple[Route, ...]:
        defaults = self.read_table(self.raw.get("defaults", {}), ("defaults",), schema.PolicyFields)
        if "class" in defaults:
            self.add_problem(
                ("defaults", "class"), "a class for all routes", "set it on each route, or leave it out"
            )
        routes: list[Route] = []
        rows = self.read_tables(self.raw.get("routes"), ("routes",), MAX_ROUTES)
        if not rows:
            self.add_problem(
                ("routes",), "no routes", "expected at least one table under [[routes]]", "missing-field"
            )
        for path, row in rows:
            values = self.read_table(row, path, schema.RouteTable)
            match = self._match(row.get("match"), path)
            split = self._split(row, values, path, file.pools)
            if "name" not in values or match is None:
                continue
            policy, origins = _inherit(values["name"], values, defaults)
            routes.append(
                Route(values["name"], int(path[1]), match, policy, split, values.get("priority", 0), origins)
            )
        self.check_unique(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "route")
        return tuple(routes)

    def _split(
        self, row: dict[str, Any], values: dict[str, Any], path: Path, pools: Mapping[str, Pool]
    ) -> tuple[PoolShare, ...]:
        shares: list[PoolShare] = []
        if "pool" in row and "split" in row:
            self.add_problem((*path, "split"), "pool and split together", "use one of the two")
        elif "pool" in values:
            shares.append(PoolShare(values["pool"], 1.0))
            self._check_pool_exists(values["pool"], (*path, "pool"), pools)
        elif "split" in row:
            parts = self.read_tables(row["split"], (*path, "split"), MAX_SPLIT_POOLS)
            for part_path, part in parts:
                share = self.read_table(part, part_path, schema.SplitTable)
                if "pool" in share:
                    self._check_pool_exists(share["pool"], (*part_path, "pool"), pools)
                    shares.append(PoolShare(share["pool"], share.get("weight", 1.0)))
            self.check_unique(((p, r["pool"]) for p, r in parts if isinstance(r.get("pool"), str)), "pool")
            if shares and not any(share.weight for share in shares):
                self.add_problem(
                    (*path, "split"), "every weight is 0", "at least one weight over 0", "zero-weights"
                )
            elif not shares and not parts:
                self.add_problem((*path, "split"), "names no pool", 'expected [{ pool = "...", weight = 1 }]')
        elif "pool" not in row:
            self.add_problem(path, "names no pool", "expected pool or split", "missing-field")
        return tuple(shares)

    def _check_pool_exists(self, name: str, path: Path, pools: Mapping[str, Pool]) -> None:
        if name not in pools:
            similar = difflib.get_close_matches(name, pools, 1)
            right = (
                f"did you mean {similar[0]!r}?"
                if similar
                else f"known: {', '.join(sorted(pools)[:MAX_SHOWN_POOLS]) or 'none'}"
            )
            self.add_problem(path, f"no pool is named {name!r}", right, "missing-pool")

    def _match(self, raw: object, path: Path) -> Match | None:
        if raw is None:
            self.add_problem(
                path, "match is missing", 'expected match = { path_prefix = "/" } or another', "missing-field"
            )
            return None
        path = (*path, "match")
        values = self.read_table(raw, path, schema.MatchTable)
        if not isinstance(raw, dict):
            return None
        problems_before = len(self.problems) + self.omitted_problems
        paths = [name for name in ("path", "path_prefix", "path_pattern") if name in raw]
        if len(paths) != 1:
            wrong = "no path" if not paths else " and ".join(paths) + " together"
            self.add_problem(path, wrong, "expected one of path, path_prefix and path_pattern")
            return None
        kind = paths[0]
        text = values.get(kind, "/")
        self._check_path(text, kind, (*path, kind))
        host = values.get("host", "").lower()
        if host and not _HOST.fullmatch(host):
            self.add_problem(
                (*path, "host"),
                f"is {describe_value(host)}",
                'expected a host name without port, or "*." before one',
            )
        methods = values.get("methods", [])
        for index, method in enumerate(methods):
            if method not in METHODS:
                right = f"expected some of {', '.join(sorted(METHODS))}"
                self.add_problem(
                    (*path, "methods", index),
                    f"{describe_value(method)} never arrives",
                    right,
                    "never-matches",
                )
        if "methods" in values and not methods:
            self.add_problem(
                (*path, "methods"), "is empty", "leave it out to take any method", "never-matches"
            )
        headers = self._headers(values.get("headers", {}), (*path, "headers"))
        if len(self.problems) + self.omitted_problems > problems_before:
            return None
        return Match(host, **{kind: text}, methods=frozenset(methods), headers=headers)

    def _headers(self, values: dict[str, str], path: Path) -> tuple[tuple[str, str], ...]:
        found: dict[str, str] = {}
        for name, value in values.items():
            lower = name.lower()
            if not _TOKEN.fullmatch(name):
                self.add_problem(
                    (*path, name),
                    f"{describe_value(name)} is no header name",
                    "see RFC 9110, 5.1",
                    "never-matches",
                )
            elif lower in found:
                self.add_problem(
                    (*path, name), "is already set in other letter case", "each header once", "duplicate"
                )
            elif value != value.strip() or not value.isascii() or not value.isprintable():
                right = "expected visible ASCII without spaces around it"
                self.add_problem(
                    (*path, name), f"{describe_value(value)} never arrives", right, "never-matches"
                )
            found[lower] = value
        return tuple(sorted(found.items()))

    def _check_path(self, text: str, kind: str, path: Path) -> None:
        if not text.startswith("/"):
            right = 'expected a path that begins with "/"'
            self.add_problem(path, f"is {describe_value(text)}", right, "never-matches")
            return
        segments = text.split("/")[1:]
        if len(segments) > MAX_SEGMENTS:
            self.add_problem(path, f"has {len(segments)} segments", f"at most {MAX_SEGMENTS} are matched")
        if kind == "path_pattern":
            parameters = [segment for segment in segments if _PARAMETER.fullmatch(segment)]
            self._check_segments([segment for segment in segments if segment not in parameters], kind, path)
            if len(set(parameters)) < len(parameters):
                self.add_problem(path, "has one name twice", "each name in braces once", "duplicate")
            if not parameters:
                self.add_problem(path, "has no name in braces", "use path for a fixed text")
        else:
            self._check_segments(segments, kind, path)
        if text == HEALTH_PATH and kind == "path":
            self.add_problem(path, "is answered by the proxy itself", "another path", "never-matches")

    def _check_segments(self, segments: Iterable[str], kind: str, path: Path) -> None:
        """Check the literal segments of a path."""
        right = "letters, digits and the marks of RFC 3986, 3.3"
        if kind == "path_pattern":
            right += ", or one {name} for the whole segment"
        for segment in segments:
            if segment in (".", ".."):
                removed = "clients take these out (RFC 3986, 5.2.4)"
                self.add_problem(path, f"has a segment {segment!r}", removed, "never-matches")
            elif not _SEGMENT.fullmatch(segment):
                self.add_problem(path, f"has a segment {describe_value(segment)}", right, "never-matches")


def _inherit(name: str, fields: dict[str, Any], defaults: dict[str, Any]) -> tuple[Policy, dict[str, str]]:
    """Return a route's policy, and the origin of each value by the field's name in the file."""
    defaults = {field: value for field, value in defaults.items() if field != "class"}
    # A route that sets one hedge field inherits neither, because the two are alternatives.
    if any(field in fields for field in HEDGE_FIELDS):
        for field in HEDGE_FIELDS:
            defaults.pop(field, None)
    values: dict[str, Any] = {"request_class": name}
    origins: dict[str, str] = {}
    for field, attribute in schema.POLICY_ATTRIBUTES.items():
        if field in fields:
            value, origins[field] = fields[field], "route"
        elif field in defaults:
            value, origins[field] = defaults[field], "defaults"
        else:
            origins[field] = "built in"
            continue
        convert = VALUE_CONVERTERS.get(attribute)
        values[attribute] = convert(value) if convert else value
    # An idempotent request may be retried in any group, so its scopes default to the whole pool.
    if values.get("effect") is Effect.IDEMPOTENT:
        for attribute in ("retry_scope", "hedge_scope"):
            values.setdefault(attribute, RetryScope.POOL)
    return Policy(**values), origins
