"""The HTTP interface of an agent: its paths, and the message bodies, which are JSON."""

from __future__ import annotations

import msgspec

from heronreel.fleet.lifecycle_messages import DesiredState, ProcessIdentity, ProcessStage
from heronreel.fleet.model import Condition

COMMAND_PATH = "/order"
STATUS_PATH = "/status"
AGENT_KIND = "agent"  # value of `AgentPresence.kind`


class CommandRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /order`."""

    instance: str
    fencing_token: int = msgspec.field(name="number")
    sequence: int = msgspec.field(name="order")
    desired_state: DesiredState = msgspec.field(name="want")
    version: str = ""


class CommandResponse(msgspec.Struct, frozen=True):
    """The body of the response to a command: status 200 if the command is accepted, else 409."""

    accepted: bool = msgspec.field(name="taken")
    fencing_token: int = msgspec.field(name="number")  # the greatest fencing token that the agent knows
    # observations up to this number were made before the command took effect
    observation: int = msgspec.field(name="looked")


class AgentPresence(msgspec.Struct, frozen=True):
    """The value of an agent's presence key, in which controllers look up its address."""

    kind: str
    version: str
    address: str


class ErrorResponse(msgspec.Struct, frozen=True):
    """The body of the response to a command that the agent can't execute, with status 400 or 404."""

    error: str = ""


class InstanceStatus(msgspec.Struct, frozen=True):
    """The state of one instance in the response to `GET /status`."""

    condition: Condition
    stage: ProcessStage
    failure_reason: str = msgspec.field(name="why")
    desired_state: DesiredState = msgspec.field(name="want")
    version: str
    fencing_token: int = msgspec.field(name="number")
    sequence: int = msgspec.field(name="order")
    process: ProcessIdentity | None
