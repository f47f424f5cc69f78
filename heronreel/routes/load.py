"""Bytes to a checked `RoutesFile`, or every problem in them at once.

Form only: types, bounds, names, and what refers to what.  Whether a well-formed file could break a rule is
`proof`'s to say; `load_and_prove` in `proof` does both.
"""

from __future__ import annotations

import difflib
import ipaddress
import math
import re
import tomllib
import typing
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from flintplank.interface import Effect
from heronreel.routes import schema
from heronreel.routes.model import (
    EFFECTS,
    GROUPS,
    Exhausted,
    Limits,
    Listener,
    Match,
    Member,
    Path,
    Policy,
    Pool,
    Problem,
    Process,
    Reach,
    Route,
    RoutesFile,
    Share,
    Tenant,
)
from heronreel.routes.source import lines_of

BYTES_MOST = 4 << 20  # 10,000 routes take some 2 MB; TOML is read by slow code, and a reload must not stall
LINE_MOST = 16 << 10  # characters; a key of thousands of dotted parts costs their square
PROBLEMS_MOST = 500
MEMBERS_MOST, ROUTES_MOST = 10_000, 20_000
METHODS = frozenset(("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))  # that the proxy takes at all
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}")  # RFC 9110, 5.6.2
_HOST = re.compile(
    r"(\*\.)?[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?(\.[a-z0-9_]([a-z0-9_-]*[a-z0-9_])?)*|\[[0-9a-f:.]+\]"
)
_SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%-]*")  # RFC 3986, 3.3
_PARAMETER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]{0,31}\}")
_PLACE = re.compile(r"\(at (?:line (\d+), column \d+|end of document)\)")
SEGMENTS_MOST = 32


class BadFile(Exception):
    """A file that can't be used; `problems` holds all that is wrong with it, by line."""

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("; ".join(str(problem) for problem in self.problems[:3]))


def shown(value: object) -> str:
    """A value as the file would have it, short."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return f"a table of {len(value)}"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if isinstance(value, str):
        return f'"{value[:40]}{"…" if len(value) > 40 else ""}"'
    if isinstance(value, int) and abs(value) > 10**15:
        return "a number of over 15 digits"
    return str(value)[:40]


def load(data: bytes) -> RoutesFile:
    """The file's records.  Raises BadFile with every problem of form."""
    raw, lines = _parse(data)
    return _Loader(raw, lines).load()


def _parse(data: bytes) -> tuple[dict[str, Any], dict[Path, int]]:
    def refuse(line: int, wrong: str, right: str) -> BadFile:
        return BadFile([Problem(line, "file", wrong, right, "text")])

    if len(data) > BYTES_MOST:
        raise refuse(0, f"has {len(data):,} bytes", f"at most {BYTES_MOST:,} are read")
    data = data.removeprefix(b"\xef\xbb\xbf")  # editors on some systems put a byte order mark first
    if (place := data.find(b"\0")) >= 0:
        raise refuse(data.count(b"\n", 0, place) + 1, "holds a NUL byte", "expected TOML in UTF-8")
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        raise refuse(line, f"byte {error.start} is not UTF-8", "expected TOML in UTF-8") from None
    for number, row in enumerate(text.split("\n"), 1):
        if len(row) > LINE_MOST:
            raise refuse(number, f"a line of {len(row):,} characters", f"at most {LINE_MOST:,} are read")
    text = text.replace("\r\n", "\n")
    try:
        raw = tomllib.loads(text)
        return raw, lines_of(text)
    except RecursionError:
        raise refuse(0, "is nested too deeply", "expected tables and lists a few levels deep") from None
    except ValueError as error:
        found = _PLACE.search(str(error))
        line = int(found[1]) if found and found[1] else text.count("\n") + 1 if found else 0
        raise refuse(line, f"is no TOML: {_PLACE.sub('', str(error)).strip()}", "see toml.io") from None


def _fields(spec: type[msgspec.Struct]) -> dict[str, Any]:
    return {field.encode_name: field for field in msgspec.structs.fields(spec)}


_SPECS: dict[type[msgspec.Struct], dict[str, Any]] = {
    spec: _fields(spec)
    for spec in (
        schema.Top, schema.ProxyTable, schema.ListenerTable, schema.PoolTable, schema.MemberTable,
        schema.TenantTable, schema.MatchTable, schema.PolicyFields, schema.RouteTable, schema.SplitTable,
    )
}  # fmt: skip


def _wanted(kind: Any) -> str:
    """The description of a field's type; of its first part where it may be absent."""
    for part in (kind, *typing.get_args(kind)):
        for meta in getattr(part, "__metadata__", ()):
            if isinstance(meta, msgspec.Meta) and meta.description:
                return f"expected {meta.description}"
    return "expected another value"


class _Loader:
    def __init__(self, raw: dict[str, Any], lines: dict[Path, int]) -> None:
        self.raw = raw
        self.lines = lines
        self.problems: list[Problem] = []
        self.dropped = 0

    def wrong(self, path: Path, wrong: str, right: str, rule: str = "form") -> None:
        if len(self.problems) >= PROBLEMS_MOST:
            self.dropped += 1
            return
        at = path
        while at and at not in self.lines:
            at = at[:-1]
        self.problems.append(Problem(self.lines.get(at, 0), self._spoken(path), wrong, right, rule))

    def _spoken(self, path: Path) -> str:
        """("routes", 3, "attempts") as routes.salva-profilo.attempts."""
        words: list[str] = []
        here: Any = self.raw
        for step in path:
            here = (
                here[step]
                if isinstance(here, list) and isinstance(step, int) and step < len(here)
                else (here.get(step) if isinstance(here, dict) else None)
            )
            if isinstance(step, str):
                words.append(f".{step}")
            elif isinstance(here, dict) and isinstance(here.get("name"), str) and here["name"]:
                words.append(f".{here['name'][:64]}")
            else:
                words.append(f"[{step}]")
        return "".join(words).lstrip(".") or "file"

    def load(self) -> RoutesFile:
        top = self.table(self.raw, (), schema.Top)
        file = RoutesFile(
            self._process(top.get("proxy", {})),
            self._listeners(),
            self._pools(),
            self._tenants(),
            (),
            self.lines,
        )
        routes = self._routes(file)
        if self.problems:
            if self.dropped:
                more = Problem(0, "file", f"{self.dropped} more problems", "mend the others first")
                self.problems.append(more)
            raise BadFile(self.problems)
        return RoutesFile(file.process, file.listeners, file.pools, file.tenants, routes, self.lines)

    def table(self, raw: object, path: Path, spec: type[msgspec.Struct]) -> dict[str, Any]:
        """The fields that are set and right, by name; a problem for each that is not."""
        fields = _SPECS[spec]
        if not isinstance(raw, dict):
            self.wrong(path, f"is {shown(raw)}", "expected a table")
            return {}
        values: dict[str, Any] = {}
        for name, value in raw.items():
            field = fields.get(name)
            if field is None:
                near = difflib.get_close_matches(name, fields, 1)
                right = f"did you mean {near[0]!r}?" if near else f"known here: {', '.join(sorted(fields))}"
                self.wrong((*path, name), "no such field", right, "unknown-field")
                continue
            try:
                values[name] = msgspec.convert(value, field.type, strict=True)
            except msgspec.ValidationError as error:
                place = re.search(r"`\$(.*)`", str(error))
                where = f" at {place[1]}" if place else ""
                self.wrong((*path, name), f"is {shown(value)}{where}", _wanted(field.type))
        for name, field in fields.items():
            if field.required and name not in raw:
                self.wrong(path, f"{name} is missing", _wanted(field.type), "missing-field")
        return values

    def tables(self, raw: object, path: Path, most: int) -> list[tuple[Path, dict[str, Any]]]:
        """An array of tables, with the path of each."""
        if raw is msgspec.UNSET or raw is None:
            return []
        if not isinstance(raw, list) or not all(isinstance(row, dict) for row in raw):
            self.wrong(
                path, f"is {shown(raw)}", f"expected tables, each under [[{'.'.join(map(str, path))}]]"
            )
            return []
        if len(raw) > most:
            self.wrong(path, f"has {len(raw):,} entries", f"at most {most:,} are allowed")
            return []
        return [((*path, place), row) for place, row in enumerate(raw)]

    def once(self, rows: Iterable[tuple[Path, str]], what: str) -> None:
        """Each name once; a second one names the line of the first."""
        seen: dict[str, Path] = {}
        for path, name in rows:
            if name in seen:
                first = self.lines.get(seen[name], 0)
                self.wrong(
                    path, f"{what} {name!r} stands on line {first} already", f"each {what} once", "duplicate"
                )
            seen.setdefault(name, path)

    def _address(self, text: str, path: Path, any_port: bool) -> tuple[str, int]:
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        try:
            ipaddress.ip_address(host)
            number = int(port) if port.isascii() and port.isdigit() else -1
            if not (0 if any_port else 1) <= number < 65536:
                raise ValueError
        except ValueError:
            # names are not looked up: a resolver that stalls would stall every request behind it
            self.wrong(
                path, f"is {shown(text)}", 'expected an IP address and a port, such as "127.0.0.1:8080"'
            )
            return "127.0.0.1", 0
        return host, number

    def _process(self, raw: object) -> Process:
        told = self.table(raw, ("proxy",), schema.ProxyTable)
        names = {field for field in Limits.__dataclass_fields__ if field in told}
        if "discovery" in told:
            told["discovery"] = self._address(told["discovery"], ("proxy", "discovery"), False)
        limits = Limits(**{name: told.pop(name) for name in names})
        return Process(**told, limits=limits)

    def _listeners(self) -> tuple[Listener, ...]:
        made = []
        rows = self.tables(self.raw.get("listeners"), ("listeners",), 64)
        for path, row in rows:
            told = self.table(row, path, schema.ListenerTable)
            if "name" in told and "address" in told:
                made.append(Listener(told["name"], self._address(told["address"], (*path, "address"), True)))
        self.once(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "listener")
        fixed = ((p, r["address"]) for p, r in rows if isinstance(r.get("address"), str))
        self.once(((p, a) for p, a in fixed if not a.endswith(":0")), "address")
        return tuple(made)

    def _pools(self) -> dict[str, Pool]:
        pools: dict[str, Pool] = {}
        names: list[tuple[Path, str]] = []
        addresses: list[tuple[Path, str]] = []
        for path, row in self.tables(self.raw.get("pools"), ("pools",), MEMBERS_MOST):
            told = self.table(row, path, schema.PoolTable)
            discovered = told.get("discovery") == "platform"
            members = []
            rows = self.tables(row.get("members"), (*path, "members"), MEMBERS_MOST)
            for place, entry in rows:
                member = self.table(entry, place, schema.MemberTable)
                if "name" not in member or "address" not in member:
                    continue
                address = self._address(member["address"], (*place, "address"), False)
                addresses.append(((*place, "address"), f"{address[0]}:{address[1]}"))
                members.append(Member(**{**member, "address": address}))
            if discovered and rows:
                self.wrong(
                    (*path, "members"), "members beside the platform's discovery", "use one of the two"
                )
            elif not discovered and not rows and "name" in told:
                self.wrong(
                    path, "has no members", f"add [[pools.members]] or discovery = {shown('platform')}"
                )
            self.once(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "member")
            if "name" in told:
                names.append((path, told["name"]))
                pools.setdefault(told["name"], Pool(told["name"], tuple(members), discovered))
        self.once(names, "pool")
        found = [path for path, name in names if pools[name].discovered]
        if len(found) > 1:  # discovery tells of no pools
            self.wrong(found[1], "a second pool from the platform's discovery", "one at most")
        # one backend in two pools would be booked twice, and a cold one be sent twice what it bears
        self.once(addresses, "address")
        return pools

    def _tenants(self) -> tuple[Tenant, ...]:
        rows = self.tables(self.raw.get("tenants"), ("tenants",), 10_000)
        told = [self.table(row, path, schema.TenantTable) for path, row in rows]
        self.once(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "tenant")
        return tuple(Tenant(**row) for row in told if "name" in row)

    def _routes(self, file: RoutesFile) -> tuple[Route, ...]:
        defaults = self.table(self.raw.get("defaults", {}), ("defaults",), schema.PolicyFields)
        if "class" in defaults:
            self.wrong(
                ("defaults", "class"), "a class for all routes", "set it on each route, or leave it out"
            )
        made: list[Route] = []
        rows = self.tables(self.raw.get("routes"), ("routes",), ROUTES_MOST)
        if not rows:
            self.wrong(
                ("routes",), "no routes", "expected at least one table under [[routes]]", "missing-field"
            )
        for path, row in rows:
            told = self.table(row, path, schema.RouteTable)
            match = self._match(row.get("match"), path)
            split = self._split(row, told, path, file.pools)
            if "name" not in told or match is None:
                continue
            policy, origins = _inherit(told["name"], told, defaults)
            place = int(path[1])
            made.append(Route(told["name"], place, match, policy, split, told.get("priority", 0), origins))
        self.once(((p, r["name"]) for p, r in rows if isinstance(r.get("name"), str)), "route")
        return tuple(made)

    def _split(
        self, row: dict[str, Any], told: dict[str, Any], path: Path, pools: Mapping[str, Pool]
    ) -> tuple[Share, ...]:
        shares: list[Share] = []
        if "pool" in row and "split" in row:
            self.wrong((*path, "split"), "pool and split together", "use one of the two")
        elif "pool" in told:
            shares.append(Share(told["pool"], 1.0))
            self._known(told["pool"], (*path, "pool"), pools)
        elif "split" in row:
            parts = self.tables(row["split"], (*path, "split"), 1000)
            for place, part in parts:
                share = self.table(part, place, schema.SplitTable)
                if "pool" in share:
                    self._known(share["pool"], (*place, "pool"), pools)
                    shares.append(Share(share["pool"], share.get("weight", 1.0)))
            self.once(((p, r["pool"]) for p, r in parts if isinstance(r.get("pool"), str)), "pool")
            if shares and not any(share.weight for share in shares):
                self.wrong(
                    (*path, "split"), "every weight is 0", "at least one weight over 0", "zero-weights"
                )
            elif not shares and not parts:
                self.wrong((*path, "split"), "names no pool", 'expected [{ pool = "...", weight = 1 }]')
        elif "pool" not in row:
            self.wrong(path, "names no pool", "expected pool or split", "missing-field")
        return tuple(shares)

    def _known(self, name: str, path: Path, pools: Mapping[str, Pool]) -> None:
        if name not in pools:
            near = difflib.get_close_matches(name, pools, 1)
            right = (
                f"did you mean {near[0]!r}?" if near else f"known: {', '.join(sorted(pools)[:10]) or 'none'}"
            )
            self.wrong(path, f"no pool is named {name!r}", right, "missing-pool")

    # What a request must look like.

    def _match(self, raw: object, path: Path) -> Match | None:
        if raw is None:
            self.wrong(
                path, "match is missing", 'expected match = { path_prefix = "/" } or another', "missing-field"
            )
            return None
        path = (*path, "match")
        told = self.table(raw, path, schema.MatchTable)
        if not isinstance(raw, dict):
            return None
        before = len(self.problems) + self.dropped
        paths = [name for name in ("path", "path_prefix", "path_pattern") if name in raw]
        if len(paths) != 1:
            what = "no path" if not paths else " and ".join(paths) + " together"
            self.wrong(path, what, "expected one of path, path_prefix and path_pattern")
            return None
        kind = paths[0]
        text = told.get(kind, "/")
        self._path(text, kind, (*path, kind))
        host = told.get("host", "").lower()
        if host and not _HOST.fullmatch(host):
            self.wrong(
                (*path, "host"), f"is {shown(host)}", 'expected a host name without port, or "*." before one'
            )
        methods = told.get("methods", [])
        for place, method in enumerate(methods):
            if method not in METHODS:
                right = f"expected some of {', '.join(sorted(METHODS))}"
                self.wrong(
                    (*path, "methods", place), f"{shown(method)} never arrives", right, "never-matches"
                )
        if "methods" in told and not methods:
            self.wrong((*path, "methods"), "is empty", "leave it out to take any method", "never-matches")
        headers = self._headers(told.get("headers", {}), (*path, "headers"))
        if len(self.problems) + self.dropped > before:
            return None
        return Match(host, **{kind: text}, methods=frozenset(methods), headers=headers)

    def _headers(self, told: dict[str, str], path: Path) -> tuple[tuple[str, str], ...]:
        found: dict[str, str] = {}
        for name, value in told.items():
            lower = name.lower()
            if not _TOKEN.fullmatch(name):
                self.wrong(
                    (*path, name), f"{shown(name)} is no header name", "see RFC 9110, 5.1", "never-matches"
                )
            elif lower in found:
                self.wrong(
                    (*path, name), "stands there in other letters already", "each header once", "duplicate"
                )
            elif value != value.strip() or not value.isascii() or not value.isprintable():
                right = "expected visible ASCII without spaces around it"
                self.wrong((*path, name), f"{shown(value)} never arrives", right, "never-matches")
            found[lower] = value
        return tuple(sorted(found.items()))

    def _path(self, text: str, kind: str, path: Path) -> None:
        if not text.startswith("/"):
            self.wrong(path, f"is {shown(text)}", 'expected a path that begins with "/"', "never-matches")
            return
        segments = text.split("/")[1:]
        if len(segments) > SEGMENTS_MOST:
            self.wrong(path, f"has {len(segments)} segments", f"at most {SEGMENTS_MOST} are matched")
        names = []
        for segment in segments:
            if kind == "path_pattern" and _PARAMETER.fullmatch(segment):
                names.append(segment)
            elif segment in (".", ".."):
                self.wrong(
                    path,
                    f"has a segment {segment!r}",
                    "clients take these out (RFC 3986, 5.2.4)",
                    "never-matches",
                )
            elif not _SEGMENT.fullmatch(segment):
                right = "letters, digits and the marks of RFC 3986, 3.3"
                if kind == "path_pattern":
                    right += ", or one {name} for the whole segment"
                self.wrong(path, f"has a segment {shown(segment)}", right, "never-matches")
        if len(set(names)) < len(names):
            self.wrong(path, "has one name twice", "each name in braces once", "duplicate")
        if kind == "path_pattern" and not names:
            self.wrong(path, "has no name in braces", "use path for a fixed text")
        if text == "/_health" and kind == "path":
            self.wrong(path, "is answered by the proxy itself", "another path", "never-matches")


def _inherit(name: str, told: dict[str, Any], defaults: dict[str, Any]) -> tuple[Policy, dict[str, str]]:
    """The policy in force and, by the field's name in the file, where each value came from."""
    defaults = dict(defaults)
    copies = ("second_copy_after_ms", "second_copy_percentile")
    if any(field in told for field in copies):  # the two are one choice, made in one place
        for field in copies:
            defaults.pop(field, None)
    values: dict[str, Any] = {}
    origins: dict[str, str] = {}
    for field in schema.policy_fields():
        if field in told:
            values[field], origins[field] = told[field], "route"
        elif field in defaults and field != "class":
            values[field], origins[field] = defaults[field], "defaults"
        else:
            origins[field] = "built in"
    values["klass"] = values.pop("class", name)
    words: tuple[tuple[str, Any], ...] = (
        ("effect", EFFECTS.__getitem__), ("group", GROUPS.__getitem__), ("retry_on", frozenset),
        ("retry_to", Reach), ("second_copy_to", Reach), ("when_exhausted", Exhausted),
    )  # fmt: skip
    for field, read in words:
        if field in values:
            values[field] = read(values[field])
    if values.get("effect") is Effect.IDEMPOTENT:  # nothing binds these to the first attempt's group
        for field in ("retry_to", "second_copy_to"):
            values.setdefault(field, Reach.POOL)
    return Policy(**values), origins
