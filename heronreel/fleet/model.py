"""The records that the group stores about the fleet: instances, budget rules, claims, halt and operation.

Every write of a rule, an instance, a claim or the halt also writes the revision key, so a transaction that
compares the revision key depends on all of them as they were read.

Where a field's name differs from its stored name, the stored name is given with `msgspec.field`.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

INSTANCE_PREFIX = b"fleet/instance/"
DISRUPTION_CLAIM_PREFIX = b"fleet/part/"
RULES_KEY = b"fleet/rules"
REVISION_KEY = b"fleet/register"
HALT_KEY = b"fleet/halt"
OPERATION_KEY = b"fleet/work"

Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class InstanceKind(enum.Enum):
    """What an instance is."""

    PROXY = "proxy"
    BACKEND = "backend"


class Condition(enum.Enum):
    """What the owner of an instance observed last."""

    SERVING = "serving"
    WARMING_UP = "cold"  # serves with `capacity_fraction` of its capacity
    OUT_OF_SERVICE = "out"  # drained or stopped on purpose
    FAILED = "failed"  # crashed, rejects requests, or does not become ready
    UNKNOWN = "unknown"  # nobody can observe it

    @property
    def is_serving(self) -> bool:
        """Whether an instance in this condition serves requests."""
        return self in (Condition.SERVING, Condition.WARMING_UP)


class Instance(msgspec.Struct, frozen=True, omit_defaults=True):
    """One proxy or backend, as its owner reported it last."""

    kind: InstanceKind
    name: str
    zone: str = ""
    group: str = ""
    pool: str = ""
    capacity: float = 1.0  # when warm; any unit, as long as it is the same for all
    condition: Condition = Condition.UNKNOWN
    capacity_fraction: Fraction = msgspec.field(default=1.0, name="share")  # while it warms up
    owner: str = ""  # the agent that reports it, by the name of its presence; "": reported by hand
    incarnation: str = msgspec.field(default="", name="start")  # of its process
    observation: int = msgspec.field(default=0, name="looked")  # grows with each observation of the owner
    fencing_token: int = msgspec.field(default=0, name="number")  # the greatest that its owner knew then
    version: str = ""  # that its process runs; "": there is no process, or the version is unknown

    @property
    def key(self) -> bytes:
        """The key that this record is stored under."""
        return INSTANCE_PREFIX + self.id.encode()

    @property
    def id(self) -> str:
        """Kind and name, as `proxy/p1`."""
        return f"{self.kind.value}/{self.name}"

    @property
    def available_capacity(self) -> float:
        """The capacity that it provides at present."""
        if self.condition is Condition.SERVING:
            return self.capacity
        return self.capacity * self.capacity_fraction if self.condition is Condition.WARMING_UP else 0.0


class Scope(enum.Enum):
    """What a budget rule is evaluated over; except for FLEET the value names a field of `Instance`."""

    FLEET = "fleet"
    ZONE = "zone"
    GROUP = "group"
    POOL = "pool"


class BudgetRule(msgspec.Struct, frozen=True, omit_defaults=True):
    """A limit on unavailable instances, on the capacity that stays available, or on both."""

    name: str
    kind: InstanceKind
    scope: Scope = Scope.FLEET
    scope_value: str = msgspec.field(default="", name="only")  # only this zone, group or pool; "": each one
    max_unavailable: int | None = msgspec.field(default=None, name="most_out")
    min_available: Fraction | None = msgspec.field(default=None, name="least_serving")  # of all capacity

    def scope_of(self, instance: Instance) -> str | None:
        """The scope value that an instance counts under; None if the rule does not apply to it."""
        if instance.kind is not self.kind:
            return None
        value = "" if self.scope is Scope.FLEET else str(getattr(instance, self.scope.value))
        return value if not self.scope_value or self.scope_value == value else None


class DisruptionClaim(msgspec.Struct, frozen=True, omit_defaults=True):
    """One operation's granted claim on the disruption budget, for one instance."""

    instance_id: str = msgspec.field(name="ident")
    operation_id: str = msgspec.field(name="operation")  # a retry after a crash finds its claim by it
    operator: str = msgspec.field(name="by")  # for people
    reason: str = msgspec.field(name="why")  # for people: drain, restart, upgrade ...
    fencing_token: int = msgspec.field(name="number")
    observation: int = msgspec.field(default=0, name="looked")  # the instance's last one before the grant
    granted_revision: int = msgspec.field(default=0, name="taken")  # the revision that was read before it

    @property
    def key(self) -> bytes:
        """The key that this record is stored under."""
        return DISRUPTION_CLAIM_PREFIX + self.instance_id.encode()


class Halt(msgspec.Struct, frozen=True):
    """While this record exists no claim is granted, whichever processes end or start in between."""

    operator: str = msgspec.field(name="by")
    reason: str = msgspec.field(name="why")


class OperationKind(enum.Enum):
    """What an operation does to each of its instances."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    START = "start"
    STOP = "stop"
    RESTART = "restart"
    UPGRADE = "upgrade"

    @property
    def restores_service(self) -> bool:
        """Whether it only returns instances to service: it needs no claim and ignores a halt."""
        return self in (OperationKind.START, OperationKind.UNDRAIN)


class FleetOperation(msgspec.Struct, frozen=True, omit_defaults=True):
    """The operation on the fleet, with the outcomes recorded so far.

    A controller that takes over continues with the instances that have no outcome.
    """

    id: str = msgspec.field(name="name")  # drawn at random; claims are requested under it
    kind: OperationKind = msgspec.field(name="verb")
    operator: str = msgspec.field(name="by")
    instance_ids: tuple[str, ...] = msgspec.field(name="idents")  # in the order of their start
    version: str = ""
    max_parallel: int = msgspec.field(default=1, name="at_once")
    outcomes: dict[str, str] = {}  # by instance ID
    final_status: str = msgspec.field(default="", name="ended")  # "": in progress or halted

    @property
    def pending(self) -> tuple[str, ...]:
        """IDs of the instances that have no outcome yet."""
        return tuple(each for each in self.instance_ids if each not in self.outcomes)


def encode_record(record: Instance | DisruptionClaim | Halt | FleetOperation) -> bytes:
    """The stored form of a record."""
    return msgspec.json.encode(record)


def encode_rules(rules: tuple[BudgetRule, ...]) -> bytes:
    """The stored form of all budget rules."""
    return msgspec.json.encode(rules)
