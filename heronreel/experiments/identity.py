"""Identifies plays by the digests of script and code, the policy, the seed and the settings."""

from __future__ import annotations

import hashlib
import importlib
import itertools
import re
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from heronreel.emulator.model import EndpointListConfig, Fault, InvariantLimits, Rehearsal
from heronreel.experiments.errors import InvalidSettingError
from heronreel.experiments.renamed import RENAMED_CONSTANTS

ROOT = Path(__file__).parent.parent.parent
CODE_PATHS = ("heronreel/balancer", "heronreel/emulator", "heronreel/serve/policies.py", "heronreel/routes")
MAX_PLAYS = 100_000
MAX_SEED = 2**63 - 1
# Hexadecimal digits of the digests of scripts and code.
DIGEST_DIGITS = 16
# Hexadecimal digits of the keys of plays.
KEY_DIGITS = 24
# Characters of invalid input that an error message quotes.
MAX_QUOTED_SEEDS = 40
MAX_QUOTED_SETTING = 60
_SEEDS = re.compile(r"(\d+)(?:\.\.(\d+))?")
# "flintplank" was the name of the balancer's package up to version 0.2.0.  Scripts and result tables of those
# versions contain keys with that name, which stay valid.
_CONSTANT = re.compile(r"(?:flintplank|heronreel\.balancer)\.([a-z_]+)\.([A-Z][A-Z0-9_]*)")


class AddedFields(NamedTuple):
    """Fields that were added to a table of the script after digests were first stored."""

    record: type[msgspec.Struct]
    names: tuple[str, ...]


# Added fields by table.  A digest leaves them out when they have their default values, so that the digests of
# older scripts do not change.
ADDED_FIELDS = {
    "list": AddedFields(EndpointListConfig, ("call_ms", "snapshot_share", "snapshot_omits_draining")),
    "rules": AddedFields(InvariantLimits, ("untold_ms", "failed_call_ms")),
    "troubles": AddedFields(Fault, ("instead_of_change",)),
}


def script_digest(rehearsal: Rehearsal) -> str:
    """Return the digest of the script's contents, independent of comments and of the order of tables."""
    script = msgspec.to_builtins(rehearsal)
    for table, added in ADDED_FIELDS.items():
        defaults = {field.encode_name: field.default for field in msgspec.structs.fields(added.record)}
        for row in [script[table]] if isinstance(script[table], dict) else script[table]:
            for name in added.names:
                if row[name] == defaults[name]:
                    del row[name]
    return hashlib.sha256(msgspec.json.encode(script)).hexdigest()[:DIGEST_DIGITS]


@cache
def code_version() -> str:
    """Return the digest of the source files that determine the result of a play."""
    digest = hashlib.sha256()
    for code_path in CODE_PATHS:
        path = ROOT / code_path
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            digest.update(f"{file.relative_to(ROOT)}\0".encode() + file.read_bytes() + b"\0")
    return digest.hexdigest()[:DIGEST_DIGITS]


def parse_seeds(text: str) -> list[int]:
    """Parse seeds from text such as `1..20` or `1,4,9..12`; duplicates are dropped and the order is kept.

    Raises:
        InvalidSettingError: The text has another form, a range runs backwards, or the seeds are too many or
            too large.
    """
    seeds: list[int] = []
    for part in text.split(","):
        match = _SEEDS.fullmatch(part.strip())
        quoted = repr(part[:MAX_QUOTED_SEEDS])
        if not match:
            raise InvalidSettingError(f"seeds: {quoted} is neither a number nor a range such as 1..20")
        first = int(match[1])
        last = int(match[2] or match[1])
        if last < first or last > MAX_SEED or last - first >= MAX_PLAYS:
            raise InvalidSettingError(f"seeds: {quoted} runs backwards, or has too many or too large seeds")
        seeds += range(first, last + 1)
    return list(dict.fromkeys(seeds))


@dataclass(frozen=True, slots=True)
class Setting:
    """A value for a field of the script or for a constant of the balancer."""

    key: str
    value: Any

    def __str__(self) -> str:
        return f"{self.key}={self.value}"

    @property
    def is_constant(self) -> bool:
        """Whether the key names a constant of the balancer."""
        return _CONSTANT.fullmatch(self.key) is not None


def parse_settings(text: str) -> list[Setting]:
    """Parse `KEY=A,B,C` into one setting for each value.

    Raises:
        InvalidSettingError: The text has another form.
    """
    key, equals, values = text.partition("=")
    if not equals or not key or not values:
        raise InvalidSettingError(f"set: {text[:MAX_QUOTED_SETTING]!r} is not KEY=A,B,C")
    return [Setting(key.strip(), _parse_value(part.strip())) for part in values.split(",")]


def _parse_value(text: str) -> Any:
    if text in ("true", "false"):
        return text == "true"
    for number_type in (int, float):
        try:
            return number_type(text)
        except ValueError:
            continue
    return text


def setting_combinations(settings: list[list[Setting]]) -> Iterator[tuple[Setting, ...]]:
    """Iterate over all combinations of one setting from each list; the last list varies fastest."""
    return itertools.product(*settings)


def apply_settings(rehearsal: Rehearsal, settings: tuple[Setting, ...]) -> Rehearsal:
    """Return the script with these settings applied.

    Settings of constants are only checked here; `overridden_constants` applies them.

    Raises:
        InvalidSettingError: The script has no such field, the balancer has no such constant, or the value has
            the wrong type.
    """
    raw = msgspec.to_builtins(rehearsal)
    for setting in settings:
        if setting.is_constant:
            _resolve_constant(setting)
        else:
            _set_field(raw, setting)
    try:
        return msgspec.convert(raw, Rehearsal)
    except msgspec.ValidationError as error:
        raise InvalidSettingError(f"set: {', '.join(map(str, settings))}: {error}") from None


def _set_field(raw: Any, setting: Setting) -> None:
    """Set a field in the dict form of the script, in place."""
    *parents, last = setting.key.split(".")
    container = raw
    step = last
    try:
        for step in parents:
            container = container[_field_key(container, step)]
        step = last
        key = _field_key(container, last)
        old = container[key]
        container[key] = float(setting.value) if _needs_float(old, setting.value) else setting.value
    except (KeyError, IndexError, TypeError):
        raise InvalidSettingError(f"set: the script has no {setting.key!r} (no such key: {step!r})") from None


def _field_key(container: Any, step: str) -> Any:
    return int(step) if isinstance(container, list | tuple) and step.isdigit() else step


def _needs_float(old: Any, new: Any) -> bool:
    return isinstance(old, float) and isinstance(new, int) and not isinstance(new, bool)


def _resolve_constant(setting: Setting) -> tuple[Any, str]:
    """Return the module and the current name of the constant that the key of the setting refers to."""
    match = _CONSTANT.fullmatch(setting.key)
    assert match
    key = f"{match[1]}.{match[2]}"
    module_name, constant = RENAMED_CONSTANTS.get(key, key).split(".")
    full_name = f"heronreel.balancer.{module_name}"
    try:
        module = importlib.import_module(full_name)
    except ImportError:
        raise InvalidSettingError(f"set: there is no module {full_name!r}") from None
    if not isinstance(getattr(module, constant, None), int | float):
        raise InvalidSettingError(f"set: {full_name} has no numeric constant {constant!r}")
    return module, constant


@contextmanager
def overridden_constants(settings: tuple[Setting, ...]) -> Iterator[None]:
    """Set constants of the balancer to the values of these settings for the duration of the context.

    Settings of script fields are ignored.

    Raises:
        InvalidSettingError: The balancer has no such constant.
    """
    originals: list[tuple[Any, str, Any]] = []
    try:
        for setting in settings:
            if setting.is_constant:
                module, name = _resolve_constant(setting)
                original = getattr(module, name)
                originals.append((module, name, original))
                setattr(module, name, type(original)(setting.value))
        yield
    finally:
        for module, name, original in reversed(originals):
            setattr(module, name, original)


def play_key(script: str, code: str, policy: str, seed: int, settings: Mapping[str, Any]) -> str:
    """Return the key of a play; plays with the same key have the same result."""
    identity = msgspec.json.encode(
        [script, code, policy, seed, sorted((key, repr(value)) for key, value in settings.items())]
    )
    return hashlib.sha256(identity).hexdigest()[:KEY_DIGITS]
