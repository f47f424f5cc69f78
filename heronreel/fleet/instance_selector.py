"""Selection of the instances of an operation by the selectors that an operator enters."""

from __future__ import annotations

import fnmatch
from collections.abc import Callable, Iterable

from heronreel.fleet.errors import InvalidSelectorError
from heronreel.fleet.model import Instance, InstanceKind

# functions that return the instance's value for the selector `FIELD=VALUE`
SELECTABLE_FIELDS: dict[str, Callable[[Instance], str]] = {
    "zone": lambda instance: instance.zone,
    "group": lambda instance: instance.group,
    "version": lambda instance: instance.version,
    "state": lambda instance: instance.condition.value,
}


def select_instances(instances: Iterable[Instance], selectors: Iterable[str]) -> tuple[str, ...]:
    """IDs of the proxies that match every selector, in the order in which an operation processes them.

    A selector is a name pattern (`p*`), or `zone=`, `group=`, `state=` or `version=` with a value.  The order
    alternates between the zones, so that a halted operation has changed similar numbers of instances in each.

    Raises:
        InvalidSelectorError: A selector names an unknown field.
    """
    matchers = [_matcher(selector) for selector in selectors]
    proxies = [instance for instance in instances if instance.kind is InstanceKind.PROXY]
    return _alternating_zones(
        instance for instance in proxies if all(matches(instance) for matches in matchers)
    )


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
    """IDs ordered by rank within the zone: the first instance of each zone, then the second of each, ..."""
    counts: dict[str, int] = {}
    ranked: list[tuple[int, str]] = []
    for instance in sorted(instances, key=lambda unranked: unranked.name):
        rank = counts.get(instance.zone, 0) + 1
        counts[instance.zone] = rank
        ranked.append((rank, instance.id))
    return tuple(instance_id for _, instance_id in sorted(ranked))
