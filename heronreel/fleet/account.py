"""What is out, and what more may be.  Pure: one reading of the group's records in, verdicts out.

An instance is out if a part was taken for it, whatever it does by now, and if nobody knows that it serves:
crashed, stopped and unknown ones count as out, cold ones at what they can do.  So an unplanned loss eats of
the same allowance as a drain, at once; planned work yields to it, and it forces nothing out.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from heronreel.coordination.model import Range, RangeResponse, Record, Txn, TxnResponse, prefix_end
from heronreel.fleet.model import (
    HALT,
    INSTANCES,
    PARTS,
    REGISTER,
    RULES,
    Condition,
    Halt,
    Instance,
    Part,
    Rule,
)
from heronreel.leases.keys import PRESENCE_PREFIX, present_names

READ = Txn(
    (),
    (
        Range(REGISTER),
        Range(RULES),
        Range(INSTANCES, prefix_end(INSTANCES)),
        Range(PARTS, prefix_end(PARTS)),
        Range(HALT),
        Range(PRESENCE_PREFIX, prefix_end(PRESENCE_PREFIX), keys_only=True),
    ),
)  # all of it at one moment


class Standing(NamedTuple):
    """One rule over one scope: what is out, what serves, and what it allows."""

    rule: Rule
    value: str  # of the scope: a zone's name, and so on
    out: tuple[str, ...]  # instances
    serving: float
    whole: float  # the capacity of all

    @property
    def left(self) -> int | None:
        """How many more may be out; below zero: so many are too many."""
        return None if self.rule.most_out is None else self.rule.most_out - len(self.out)

    @property
    def least(self) -> float:
        return self.whole * (self.rule.least_serving or 0.0)

    @property
    def broken(self) -> bool:
        # sums of shares are compared with room for rounding, far below any one instance
        few = self.rule.least_serving is not None and self.serving < self.least * (1.0 - 1e-9)
        return few or (self.left is not None and self.left < 0)

    def __str__(self) -> str:
        where = f" {self.rule.scope.value} {self.value}" if self.value else ""
        told = [f"{self.rule.name}:{where} {len(self.out)} out"]
        if self.rule.most_out is not None:
            told.append(f"at most {self.rule.most_out} may be")
        if self.rule.least_serving is not None:
            told.append(f"{self.serving:g} of {self.whole:g} serving, at least {self.least:g} has to")
        return ", ".join(told)


class Account(NamedTuple):
    """One reading."""

    register: int  # the revision that it is of; 0: nothing was ever written
    rules: tuple[Rule, ...]
    instances: Mapping[str, Instance]  # by kind and name
    parts: Mapping[str, Part]  # by instance
    halted: Halt | None = None

    def is_out(self, ident: str) -> bool:
        if ident in self.parts:
            return True
        instance = self.instances.get(ident)
        return instance is None or not instance.condition.serves

    def standings(self, taking: Collection[str] = ()) -> list[Standing]:
        """Every rule over every value of its scope, as it would be with those taken as well."""
        found: list[Standing] = []
        for rule in self.rules:
            rows: dict[str, list[Instance]] = {}
            for instance in self.instances.values():
                value = rule.scope_of(instance)
                if value is not None:
                    rows.setdefault(value, []).append(instance)
            for value, members in sorted(rows.items()):
                out = [i.ident for i in members if i.ident in taking or self.is_out(i.ident)]
                gone = set(out)
                serving = sum(i.serves for i in members if i.ident not in gone)
                whole = sum(i.capacity for i in members)
                found.append(Standing(rule, value, tuple(sorted(out)), serving, whole))
        return found

    def against(self, taking: Collection[str]) -> list[Standing]:
        """Why these may not be taken; nothing: they may.  A rule that is broken already lets nobody in its
        scope be taken, also where its figures would not change: planned work yields to a loss.
        """
        concerned: set[tuple[str, str]] = set()
        for rule in self.rules:
            for ident in taking:
                instance = self.instances.get(ident)
                value = None if instance is None else rule.scope_of(instance)
                if value is not None:
                    concerned.add((rule.name, value))
        return [s for s in self.standings(taking) if s.broken and (s.rule.name, s.value) in concerned]

    def unheard(self, taking: Iterable[str]) -> list[str]:
        """Instances that nobody told of: nothing is known of what would be lost with them."""
        return sorted(ident for ident in taking if ident not in self.instances)


def read(answer: TxnResponse) -> Account:
    """The account of an answer to `READ`.  Raises msgspec.DecodeError for records that are none: nothing is
    taken from an account that can't be read.
    """
    *rest, present = (r for r in answer.results if isinstance(r, RangeResponse))
    register, rules, instances, parts, halt = (r.records for r in rest)
    there = set(present_names(present))
    rows = (msgspec.json.decode(record.value, type=Instance) for _, record in instances)
    return Account(
        _mod(register),
        msgspec.json.decode(rules[0][1].value, type=tuple[Rule, ...]) if rules else (),
        {i.ident: _known(i, there) for i in rows},
        {p.ident: p for p in (msgspec.json.decode(r.value, type=Part) for _, r in parts)},
        msgspec.json.decode(halt[0][1].value, type=Halt) if halt else None,
    )


def _known(instance: Instance, there: Collection[str]) -> Instance:
    """What was told by an owner that is not there any more is not known by now."""
    if not instance.owner or instance.owner in there:
        return instance
    return msgspec.structs.replace(instance, condition=Condition.UNKNOWN)


def _mod(records: tuple[tuple[bytes, Record], ...]) -> int:
    return records[0][1].mod if records else 0
