"""The records that the group stores about the fleet: instances, budget rules, claims, halt and operation.

Every write of a rule, an instance, a claim or the halt also writes the revision key.  A transaction that
compares the revision key therefore succeeds only if none of these records changed since they were read.

Where a field's name differs from its stored name, `msgspec.field` gives the stored name.
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
    """The type of process that an instance is."""

    PROXY = "proxy"
    BACKEND = "backend"


class Condition(enum.Enum):
    """The state of an instance, as its owner last observed it."""

    SERVING = "serving"
    WARMING_UP = "cold"  # serves requests with `capacity_fraction` of its full capacity
    OUT_OF_SERVICE = "out"  # drained or stopped by a command
    FAILED = "failed"  # the process crashed, rejects requests, or does not become ready
    UNKNOWN = "unknown"  # no owner currently observes the instance

    @property
    def is_serving(self) -> bool:
        """Whether an instance in this condition serves requests."""
        return self in (Condition.SERVING, Condition.WARMING_UP)


class Instance(msgspec.Struct, frozen=True, omit_defaults=True):
    """One proxy or backend, as its owner last reported it."""

    kind: InstanceKind
    name: str
    zone: str = ""
    group: str = ""
    pool: str = ""
    capacity: float = 1.0  # when warm; the unit is arbitrary, but the same for all instances
    condition: Condition = Condition.UNKNOWN
    # fraction of `capacity` that is available while the instance warms up
    capacity_fraction: Fraction = msgspec.field(default=1.0, name="share")
    owner: str = ""  # presence name of the agent that reports the instance; "" if reported manually
    incarnation: str = msgspec.field(default="", name="start")  # identifies one run of its process
    observation: int = msgspec.field(default=0, name="looked")  # increases with each observation
    # the greatest fencing token that the owner had accepted when it made the observation
    fencing_token: int = msgspec.field(default=0, name="number")
    version: str = ""  # version of the running process; "" without a process or if it is unknown

    @property
    def key(self) -> bytes:
        """The key that this record is stored under."""
        return INSTANCE_PREFIX + self.id.encode()

    @property
    def id(self) -> str:
        """Kind and name, such as `proxy/p1`."""
        return f"{self.kind.value}/{self.name}"

    @property
    def available_capacity(self) -> float:
        """The capacity that the instance currently provides."""
        if self.condition is Condition.SERVING:
            return self.capacity
        return self.capacity * self.capacity_fraction if self.condition is Condition.WARMING_UP else 0.0


class Scope(enum.Enum):
    """The grouping that a budget rule is evaluated over.

    Every value except that of FLEET names a field of `Instance`.
    """

    FLEET = "fleet"
    ZONE = "zone"
    GROUP = "group"
    POOL = "pool"


class BudgetRule(msgspec.Struct, frozen=True, omit_defaults=True):
    """A limit on unavailable instances, on the capacity that stays available, or on both."""

    name: str
    kind: InstanceKind
    scope: Scope = Scope.FLEET
    # the only zone, group or pool that the rule applies to; "" for every one
    scope_value: str = msgspec.field(default="", name="only")
    max_unavailable: int | None = msgspec.field(default=None, name="most_out")
    # fraction of the total capacity in the scope
    min_available: Fraction | None = msgspec.field(default=None, name="least_serving")

    def scope_of(self, instance: Instance) -> str | None:
        """The zone, group or pool that the rule counts an instance under; None if the rule does not apply."""
        if instance.kind is not self.kind:
            return None
        value = "" if self.scope is Scope.FLEET else str(getattr(instance, self.scope.value))
        return value if not self.scope_value or self.scope_value == value else None


class DisruptionClaim(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claim on the disruption budget that was granted to one operation for one instance."""

    instance_id: str = msgspec.field(name="ident")
    operation_id: str = msgspec.field(name="operation")  # identifies the claim to a retry after a crash
    operator: str = msgspec.field(name="by")  # shown to operators only
    reason: str = msgspec.field(name="why")  # shown to operators only: drain, restart, upgrade ...
    fencing_token: int = msgspec.field(name="number")
    # the last observation of the instance before the claim was granted
    observation: int = msgspec.field(default=0, name="looked")
    # the revision of the snapshot that the grant is based on
    granted_revision: int = msgspec.field(default=0, name="taken")

    @property
    def key(self) -> bytes:
        """The key that this record is stored under."""
        return DISRUPTION_CLAIM_PREFIX + self.instance_id.encode()


class Halt(msgspec.Struct, frozen=True):
    """A halt of the fleet: while this record exists, no claim is granted.

    The record persists across restarts of every process.
    """

    operator: str = msgspec.field(name="by")
    reason: str = msgspec.field(name="why")


class OperationKind(enum.Enum):
    """The change that an operation makes to each of its instances."""

    DRAIN = "drain"
    UNDRAIN = "undrain"
    START = "start"
    STOP = "stop"
    RESTART = "restart"
    UPGRADE = "upgrade"

    @property
    def restores_service(self) -> bool:
        """Whether the operation only returns instances to service.

        Such an operation needs no claim, and a halt does not stop it.
        """
        return self in (OperationKind.START, OperationKind.UNDRAIN)


class FleetOperation(msgspec.Struct, frozen=True, omit_defaults=True):
    """The current or last operation on the fleet, with the outcomes recorded so far.

    A controller that takes over continues with the instances that have no outcome.
    """

    id: str = msgspec.field(name="name")  # random; the `operation_id` of the operation's claims
    kind: OperationKind = msgspec.field(name="verb")
    operator: str = msgspec.field(name="by")
    instance_ids: tuple[str, ...] = msgspec.field(name="idents")  # in the order of processing
    version: str = ""
    max_parallel: int = msgspec.field(default=1, name="at_once")
    outcomes: dict[str, str] = {}  # by instance ID
    final_status: str = msgspec.field(default="", name="ended")  # "" while in progress or halted

    @property
    def pending(self) -> tuple[str, ...]:
        """IDs of the instances that have no outcome yet."""
        return tuple(instance_id for instance_id in self.instance_ids if instance_id not in self.outcomes)


def encode_record(record: Instance | DisruptionClaim | Halt | FleetOperation) -> bytes:
    """The stored form of a record."""
    return msgspec.json.encode(record)


def encode_rules(rules: tuple[BudgetRule, ...]) -> bytes:
    """The stored form of all budget rules."""
    return msgspec.json.encode(rules)
