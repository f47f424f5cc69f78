"""Selection of the instances that an operation is about, by words that an operator gives."""

from __future__ import annotations

import fnmatch
from collections.abc import Callable, Iterable

from heronreel.fleet.errors import InvalidSelectorError
from heronreel.fleet.model import Instance, InstanceKind

# the value of an instance that `FIELD=VALUE` is compared with
SELECTABLE_FIELDS: dict[str, Callable[[Instance], str]] = {
    "zone": lambda instance: instance.zone,
    "group": lambda instance: instance.group,
    "version": lambda instance: instance.version,
    "state": lambda instance: instance.condition.value,
}


def select_instances(instances: Iterable[Instance], selectors: Iterable[str]) -> tuple[str, ...]:
    """IDs of the proxies that match every selector, in the order in which an operation starts with them.

    A selector is a name (`p*`) or `zone=`, `group=`, `state=` or `version=` with a value.  Zones alternate,
    so that a halt leaves no zone with many more instances changed than the others.

    Raises:
        InvalidSelectorError: A selector has an unknown field.
    """
    matchers = [_matcher(selector) for selector in selectors]
    proxies = [each for each in instances if each.kind is InstanceKind.PROXY]
    return _alternating_zones(each for each in proxies if all(matches(each) for matches in matchers))


def _matcher(selector: str) -> Callable[[Instance], bool]:
    field, equals, value = selector.partition("=")
    if not equals:
        return lambda instance: fnmatch.fnmatchcase(instance.name, selector)
    if field not in SELECTABLE_FIELDS:
        expected = "expected a name, or zone=, group=, state= or version="
        raise InvalidSelectorError(f"{selector!r}: {expected}")
    value_of = SELECTABLE_FIELDS[field]
    return lambda instance: value_of(instance) == value


def _alternating_zones(instances: Iterable[Instance]) -> tuple[str, ...]:
    """IDs with the first instance of each zone before the second of any."""
    counts: dict[str, int] = {}
    ranked: list[tuple[int, str]] = []
    for instance in sorted(instances, key=lambda each: each.name):
        rank = counts.get(instance.zone, 0) + 1
        counts[instance.zone] = rank
        ranked.append((rank, instance.id))
    return tuple(instance_id for _, instance_id in sorted(ranked))
