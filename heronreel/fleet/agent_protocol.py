"""The HTTP interface of an agent: paths and message bodies, all of them JSON."""

from __future__ import annotations

import msgspec

from heronreel.fleet.lifecycle_messages import DesiredState, ProcessIdentity, ProcessStage
from heronreel.fleet.model import Condition

COMMAND_PATH = "/order"
STATUS_PATH = "/status"
AGENT_KIND = "agent"  # of its presence


class CommandRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /order`."""

    instance: str
    fencing_token: int = msgspec.field(name="number")
    sequence: int = msgspec.field(name="order")
    desired_state: DesiredState = msgspec.field(name="want")
    version: str = ""


class CommandResponse(msgspec.Struct, frozen=True):
    """The body of the response to a command, with status 200 if it is accepted, else 409."""

    accepted: bool = msgspec.field(name="taken")
    fencing_token: int = msgspec.field(name="number")  # the greatest known
    observation: int = msgspec.field(name="looked")  # observations up to this one preceded the command


class AgentPresence(msgspec.Struct, frozen=True):
    """The value of an agent's presence key, by which controllers find its address."""

    kind: str
    version: str
    address: str


class ErrorResponse(msgspec.Struct, frozen=True):
    """The body of the response to a command that the agent can't carry out, with status 400 or 404."""

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
