"""Inputs and outputs of an instance's lifecycle: commands, persisted state, timeouts and actions."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from heronreel.fleet.model import Condition


class DesiredState(enum.Enum):
    """The state that an operation wants an instance to be in."""

    RUNNING = "running"
    DRAINED = "drained"  # the process runs but accepts no new clients
    STOPPED = "stopped"


class ProcessStage(enum.Enum):
    """The stage of the process of an instance."""

    NONE = "none"
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    TERMINATING = "ending"  # SIGTERM was sent
    KILLED = "killed"  # SIGKILL was sent, and the process has not exited yet


class ProcessIdentity(msgspec.Struct, frozen=True):
    """Identifies one process of the operating system; the pid alone does not, because pids are reused."""

    pid: int
    start_time: int = msgspec.field(name="began")  # clock ticks from the boot of the machine
    version: str


class PersistedState(msgspec.Struct, frozen=True):
    """The state of an instance that an agent keeps on disk."""

    fencing_token: int = msgspec.field(default=0, name="number")  # fencing token of the last accepted command
    sequence: int = msgspec.field(default=0, name="order")  # sequence number of that command
    desired_state: DesiredState = msgspec.field(default=DesiredState.STOPPED, name="want")
    version: str = ""  # the version to run
    process: ProcessIdentity | None = None


class Command(NamedTuple):
    """A command of an operation to an agent: the desired state of one instance."""

    fencing_token: int
    sequence: int  # numbers the commands under one fencing token, starting at 1
    desired_state: DesiredState
    version: str = ""  # "" leaves the version unchanged


class LifecycleTimeouts(NamedTuple):
    """Time limits, in seconds."""

    start: float = 30.0  # limit for a started process to become ready
    drain: float = 60.0  # a draining process that still has clients is terminated after this time
    termination: float = 10.0  # time from SIGTERM to SIGKILL


class LifecycleGuards(NamedTuple):
    """The safety checks of the lifecycle; tests disable them one by one and expect a violation."""

    durable: bool = True  # a command is acknowledged only once it is durable
    ordered: bool = True  # an older command is rejected
    single_process: bool = True  # no second process is started while one is alive
    confirmed_quiesce: bool = True  # a draining process is out of service only once it is quiesced


class Persist(NamedTuple):
    """Make the state durable, then call `persisted`; later actions wait for it."""

    state: PersistedState


class CommandResult(NamedTuple):
    """The response to the last command."""

    accepted: bool
    fencing_token: int  # the greatest known fencing token
    observation: int  # observations up to this number were made before the command


class StartProcess(NamedTuple):
    """Start a process of this version, then call `started` or `exited`."""

    version: str


class SignalProcess(NamedTuple):
    """Send SIGTERM or SIGKILL to the process, unless its pid belongs to another process by now."""

    process: ProcessIdentity
    kill: bool


class SetQuiesced(NamedTuple):
    """Make the process stop or resume accepting new clients, then report the result.

    The result is `quiesce_confirmed`, `quiesce_failed` or `quiesce_unavailable`.
    """

    quiesced: bool


Action = Persist | CommandResult | StartProcess | SignalProcess | SetQuiesced
Actions = list[Action]


class Observation(NamedTuple):
    """The report of an instance's state to the group."""

    sequence: int  # increases with each observation
    condition: Condition
    fencing_token: int  # the greatest fencing token known at that time
