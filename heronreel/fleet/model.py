"""The records of the fleet's account: instances, allowances, and the parts of them that are taken.

Every write to any of them writes the register as well, so a transaction on the register's revision rests on
all of them as they were read.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

INSTANCES = b"fleet/instance/"
PARTS = b"fleet/part/"
RULES = b"fleet/rules"
REGISTER = b"fleet/register"
HALT = b"fleet/halt"
WORK = b"fleet/work"

Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class Kind(enum.Enum):
    PROXY = "proxy"
    BACKEND = "backend"


class Condition(enum.Enum):
    """What is known of an instance, by somebody who looked."""

    SERVING = "serving"
    COLD = "cold"  # serves, and can do `share` of its capacity
    OUT = "out"  # drained, stopped or held: by a part, or by discovery's own drain
    FAILED = "failed"  # crashed, refused, or does not come up
    UNKNOWN = "unknown"  # nobody can look

    @property
    def serves(self) -> bool:
        return self in (Condition.SERVING, Condition.COLD)


class Instance(msgspec.Struct, frozen=True, omit_defaults=True):
    """One proxy or backend, as whoever owns it told last."""

    kind: Kind
    name: str
    zone: str = ""
    group: str = ""
    pool: str = ""
    capacity: float = 1.0  # what it can do when warm, in any one unit
    condition: Condition = Condition.UNKNOWN
    share: Share = 1.0  # of its capacity, while cold
    owner: str = ""  # whoever tells of it is there by this name; "": somebody by hand
    start: str = ""  # drawn at each start: another one is another process
    looked: int = 0  # counts the looks of its owner: evidence is of a look after the act
    number: int = 0  # the greatest fencing number that its owner knew at that look
    version: str = ""  # that its process runs; "": there is none, or nobody knows

    @property
    def key(self) -> bytes:
        return INSTANCES + self.ident.encode()

    @property
    def ident(self) -> str:
        return f"{self.kind.value}/{self.name}"

    @property
    def serves(self) -> float:
        """What it does now."""
        if self.condition is Condition.SERVING:
            return self.capacity
        return self.capacity * self.share if self.condition is Condition.COLD else 0.0


class Scope(enum.Enum):
    """What an allowance is counted over, each value of it by itself."""

    FLEET = "fleet"
    ZONE = "zone"
    GROUP = "group"
    POOL = "pool"


class Rule(msgspec.Struct, frozen=True, omit_defaults=True):
    """At most so many out, or at least so much of the capacity serving, or both."""

    name: str
    kind: Kind
    scope: Scope = Scope.FLEET
    only: str = ""  # this one zone, group or pool alone; "": each of them
    most_out: int | None = None
    least_serving: Share | None = None  # of the capacity of all instances in the scope

    def scope_of(self, instance: Instance) -> str | None:
        """The value that an instance counts under; None where the rule does not concern it."""
        if instance.kind is not self.kind:
            return None
        value = "" if self.scope is Scope.FLEET else str(getattr(instance, self.scope.value))
        return value if not self.only or self.only == value else None


class Part(msgspec.Struct, frozen=True, omit_defaults=True):
    """A part of the allowance that an operation took for one instance, before it acted."""

    ident: str  # the instance's
    operation: str  # drawn once: the same one finds its part again
    by: str  # for people
    why: str  # drain, restart, upgrade, hold, replace
    number: int  # the fencing number that it was taken under
    looked: int = 0  # of the instance when it was taken: what was seen by then is no evidence
    taken: int = 0  # the register's revision then

    @property
    def key(self) -> bytes:
        return PARTS + self.ident.encode()


class Halt(msgspec.Struct, frozen=True):
    """While it stands, no part is taken by anybody, whoever dies or comes back in between."""

    by: str
    why: str


class Verb(enum.Enum):
    """What an operation does to each of its instances."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    START = "start"
    STOP = "stop"
    RESTART = "restart"
    UPGRADE = "upgrade"

    @property
    def brings_back(self) -> bool:
        """What is out by now: it takes nothing of an allowance, and no halt is against it."""
        return self in (Verb.START, Verb.UNDRAIN)


class Work(msgspec.Struct, frozen=True, omit_defaults=True):
    """The operation that goes through the fleet, as its controller has confirmed it.  Whoever follows goes on
    with what has no outcome.
    """

    name: str  # drawn once: parts are taken under it
    verb: Verb
    by: str
    idents: tuple[str, ...]  # in the order in which they are begun
    version: str = ""
    at_once: int = 1
    outcomes: dict[str, str] = {}  # by instance, of those that came to an end
    ended: str = ""  # done, or given up; "": it goes on, or is halted

    @property
    def left(self) -> tuple[str, ...]:
        return tuple(ident for ident in self.idents if ident not in self.outcomes)


def encoded(record: Instance | Part | Halt | Work) -> bytes:
    return msgspec.json.encode(record)


def rules_encoded(rules: tuple[Rule, ...]) -> bytes:
    return msgspec.json.encode(rules)
