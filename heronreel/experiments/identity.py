"""What a play was a play of: the script's digest, the code's, the seed, and what was set otherwise."""

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
from typing import Any

import msgspec

from heronreel.emulator.model import Rehearsal
from heronreel.experiments.errors import InvalidSettingError
from heronreel.experiments.renamed import RENAMED_CONSTANTS

ROOT = Path(__file__).parent.parent.parent
CODE_PATHS = ("heronreel/balancer", "heronreel/emulator", "heronreel/serve/policies.py", "heronreel/routes")
MAX_PLAYS = 100_000
MAX_SEED = 2**63 - 1
_SEEDS = re.compile(r"(\d+)(?:\.\.(\d+))?")
# "flintplank" was the balancer's package up to version 0.2.0: keys in scripts and tables of then still hold.
_CONSTANT = re.compile(r"(?:flintplank|heronreel\.balancer)\.([a-z_]+)\.([A-Z][A-Z0-9_]*)")


def script_digest(rehearsal: Rehearsal) -> str:
    """Of what the script says; comments and order of tables don't count."""
    return hashlib.sha256(msgspec.json.encode(rehearsal, order="deterministic")).hexdigest()[:16]


@cache
def code_version() -> str:
    """Of the code that decides a play's outcome."""
    digest = hashlib.sha256()
    for place in CODE_PATHS:
        path = ROOT / place
        for file in sorted(path.rglob("*.py")) if path.is_dir() else [path]:
            digest.update(f"{file.relative_to(ROOT)}\0".encode() + file.read_bytes() + b"\0")
    return digest.hexdigest()[:16]


def parse_seeds(text: str) -> list[int]:
    """1..20 or 1,4,9..12."""
    seeds: list[int] = []
    for part in text.split(","):
        found = _SEEDS.fullmatch(part.strip())
        if not found:
            raise InvalidSettingError(f"seeds: {part[:40]!r} is no number and no range such as 1..20")
        low, high = int(found[1]), int(found[2] or found[1])
        if high < low or high > MAX_SEED or high - low >= MAX_PLAYS:
            raise InvalidSettingError(f"seeds: {part[:40]!r} runs backwards, or is too many or too large")
        seeds += range(low, high + 1)
    return list(dict.fromkeys(seeds))


@dataclass(frozen=True, slots=True)
class Setting:
    """A place in the script or a constant of the module, and a value for it."""

    key: str
    value: Any

    def __str__(self) -> str:
        return f"{self.key}={self.value}"


def parse_settings(text: str) -> list[Setting]:
    """KEY=A,B,C as the settings that it stands for."""
    key, equals, values = text.partition("=")
    if not equals or not key or not values:
        raise InvalidSettingError(f"set: {text[:60]!r} is not KEY=A,B,C")
    return [Setting(key.strip(), _parse_value(part.strip())) for part in values.split(",")]


def _parse_value(text: str) -> Any:
    if text in ("true", "false"):
        return text == "true"
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def setting_combinations(sets: list[list[Setting]]) -> Iterator[tuple[Setting, ...]]:
    return itertools.product(*sets)


def apply_settings(rehearsal: Rehearsal, settings: tuple[Setting, ...]) -> Rehearsal:
    """The script with settings of its own; those of constants are left to `overridden_constants`."""
    raw = msgspec.to_builtins(rehearsal)
    for setting in settings:
        if _CONSTANT.fullmatch(setting.key):
            _resolve_constant(setting)
            continue
        here: Any = raw
        path = setting.key.split(".")
        for place, step in enumerate(path):
            key: Any = int(step) if isinstance(here, list | tuple) and step.isdigit() else step
            try:
                if place == len(path) - 1:
                    old = here[key]
                    here[key] = float(setting.value) if _needs_float(old, setting.value) else setting.value
                else:
                    here = here[key]
            except (KeyError, IndexError, TypeError):
                raise InvalidSettingError(
                    f"set: the script has no {setting.key!r} (lost at {step!r})"
                ) from None
    try:
        return msgspec.convert(raw, Rehearsal)
    except msgspec.ValidationError as error:
        raise InvalidSettingError(f"set: {', '.join(map(str, settings))}: {error}") from None


def _needs_float(old: Any, new: Any) -> bool:
    return isinstance(old, float) and isinstance(new, int) and not isinstance(new, bool)


def _resolve_constant(setting: Setting) -> tuple[Any, str]:
    found = _CONSTANT.fullmatch(setting.key)
    assert found
    key = f"{found[1]}.{found[2]}"
    module_name, constant = RENAMED_CONSTANTS.get(key, key).split(".")
    name = f"heronreel.balancer.{module_name}"
    try:
        module = importlib.import_module(name)
    except ImportError:
        raise InvalidSettingError(f"set: there is no module {name!r}") from None
    if not isinstance(getattr(module, constant, None), int | float):
        raise InvalidSettingError(f"set: {name} has no number {constant!r}")
    return module, constant


@contextmanager
def overridden_constants(settings: tuple[Setting, ...]) -> Iterator[None]:
    """Constants of the module set otherwise for a while: a change rehearsed before it is made."""
    before: list[tuple[Any, str, Any]] = []
    try:
        for setting in settings:
            if _CONSTANT.fullmatch(setting.key):
                module, name = _resolve_constant(setting)
                old = getattr(module, name)
                before.append((module, name, old))
                setattr(module, name, type(old)(setting.value))
        yield
    finally:
        for module, name, old in reversed(before):
            setattr(module, name, old)


def play_key(script: str, code: str, policy: str, seed: int, settings: Mapping[str, Any]) -> str:
    """One play's identity: the same key, the same result."""
    told = msgspec.json.encode(
        [script, code, policy, seed, sorted((k, repr(v)) for k, v in settings.items())]
    )
    return hashlib.sha256(told).hexdigest()[:24]
