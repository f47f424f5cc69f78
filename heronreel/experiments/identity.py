"""What identifies a play: digests of script and code, the policy, the seed, and the settings."""

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
DIGEST_DIGITS = 16  # of scripts and code, hexadecimal
KEY_DIGITS = 24  # of plays
MAX_QUOTED_SEEDS = 40  # characters of bad input that an error quotes
MAX_QUOTED_SETTING = 60
_SEEDS = re.compile(r"(\d+)(?:\.\.(\d+))?")
# "flintplank" was the balancer's package up to version 0.2.0: keys in scripts and tables of then still hold.
_CONSTANT = re.compile(r"(?:flintplank|heronreel\.balancer)\.([a-z_]+)\.([A-Z][A-Z0-9_]*)")


class AddedFields(NamedTuple):
    """The fields of a table that a script could not have when digests were first stored."""

    record: type[msgspec.Struct]
    names: tuple[str, ...]


# by table; left out of digests at their defaults, so that those of older scripts stay as they are
ADDED_FIELDS = {
    "list": AddedFields(EndpointListConfig, ("call_ms", "snapshot_share", "snapshot_omits_draining")),
    "rules": AddedFields(InvariantLimits, ("untold_ms", "failed_call_ms")),
    "troubles": AddedFields(Fault, ("instead_of_change",)),
}


def script_digest(rehearsal: Rehearsal) -> str:
    """Digest of what the script says; comments and the order of tables don't count."""
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
    """Digest of the code that decides a play's outcome."""
    digest = hashlib.sha256()
    for code_path in CODE_PATHS:
        path = ROOT / code_path
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            digest.update(f"{file.relative_to(ROOT)}\0".encode() + file.read_bytes() + b"\0")
    return digest.hexdigest()[:DIGEST_DIGITS]


def parse_seeds(text: str) -> list[int]:
    """Seeds from text such as `1..20` or `1,4,9..12`, each once, in the order given.

    Raises:
        InvalidSettingError: the text has another form, or the seeds are too many or too large.
    """
    seeds: list[int] = []
    for part in text.split(","):
        match = _SEEDS.fullmatch(part.strip())
        quoted = repr(part[:MAX_QUOTED_SEEDS])
        if not match:
            raise InvalidSettingError(f"seeds: {quoted} is no number and no range such as 1..20")
        first = int(match[1])
        last = int(match[2] or match[1])
        if last < first or last > MAX_SEED or last - first >= MAX_PLAYS:
            raise InvalidSettingError(f"seeds: {quoted} runs backwards, or is too many or too large")
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
    """A setting for each value of `KEY=A,B,C`.

    Raises:
        InvalidSettingError: the text has another form.
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
    """Every combination of one setting from each list, the last list innermost."""
    return itertools.product(*settings)


def apply_settings(rehearsal: Rehearsal, settings: tuple[Setting, ...]) -> Rehearsal:
    """The script with these settings; those of constants are only checked, see `overridden_constants`.

    Raises:
        InvalidSettingError: the script or the balancer has no such place, or the value does not fit.
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
    """Set a field of the script's plain form, in place."""
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
        raise InvalidSettingError(f"set: the script has no {setting.key!r} (lost at {step!r})") from None


def _field_key(container: Any, step: str) -> Any:
    return int(step) if isinstance(container, list | tuple) and step.isdigit() else step


def _needs_float(old: Any, new: Any) -> bool:
    return isinstance(old, float) and isinstance(new, int) and not isinstance(new, bool)


def _resolve_constant(setting: Setting) -> tuple[Any, str]:
    """The module and the name of the constant that the setting's key names."""
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
        raise InvalidSettingError(f"set: {full_name} has no number {constant!r}")
    return module, constant


@contextmanager
def overridden_constants(settings: tuple[Setting, ...]) -> Iterator[None]:
    """Context in which constants of the balancer have the values of these settings; others are ignored.

    Raises:
        InvalidSettingError: the balancer has no such constant.
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
    """Key of one play: plays with the same key have the same result."""
    identity = msgspec.json.encode(
        [script, code, policy, seed, sorted((key, repr(value)) for key, value in settings.items())]
    )
    return hashlib.sha256(identity).hexdigest()[:KEY_DIGITS]
