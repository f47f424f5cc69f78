"""Inputs and outputs of the lifecycle of an instance: commands, persisted state, timeouts and actions."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from heronreel.fleet.model import Condition


class DesiredState(enum.Enum):
    """What an instance is to be."""

    RUNNING = "running"
    DRAINED = "drained"  # runs, and accepts no new clients
    STOPPED = "stopped"


class ProcessStage(enum.Enum):
    """How far the process of an instance is."""

    NONE = "none"
    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    DRAINED = "drained"
    TERMINATING = "ending"  # SIGTERM was sent
    KILLED = "killed"  # SIGKILL was sent, and its exit is not known yet


class ProcessIdentity(msgspec.Struct, frozen=True):
    """One process of the operating system; the pid alone may be reused."""

    pid: int
    start_time: int = msgspec.field(name="began")  # clock ticks from the machine's boot to its start
    version: str


class PersistedState(msgspec.Struct, frozen=True):
    """What an agent keeps on its disk about an instance."""

    fencing_token: int = msgspec.field(default=0, name="number")  # of the last command accepted
    sequence: int = msgspec.field(default=0, name="order")  # of that command, under its token
    desired_state: DesiredState = msgspec.field(default=DesiredState.STOPPED, name="want")
    version: str = ""  # that is to run
    process: ProcessIdentity | None = None


class Command(NamedTuple):
    """What an operation commands an agent to do with an instance."""

    fencing_token: int
    sequence: int  # counts the commands under one fencing token, from 1
    desired_state: DesiredState
    version: str = ""  # "": unchanged


class LifecycleTimeouts(NamedTuple):
    """Limits, in seconds."""

    start: float = 30.0  # until a started process is ready
    drain: float = 60.0  # until a draining process is terminated although it has clients left
    termination: float = 10.0  # from SIGTERM to SIGKILL


class LifecycleGuards(NamedTuple):
    """The safety checks of the lifecycle; tests disable them one by one and expect a violation."""

    durable: bool = True  # a command is acknowledged only once it is on the disk
    ordered: bool = True  # an older command is rejected
    single_process: bool = True  # a process that is alive is not started again


class Persist(NamedTuple):
    """Make the state durable, then call `persisted`; later actions wait for it."""

    state: PersistedState


class CommandResult(NamedTuple):
    """The response to the last command."""

    accepted: bool
    fencing_token: int  # the greatest known
    observation: int  # observations up to this one were made before the command


class StartProcess(NamedTuple):
    """Start a process of this version, then call `started` or `exited`."""

    version: str


class SignalProcess(NamedTuple):
    """Send SIGTERM or SIGKILL to the process, if it is still the same one."""

    process: ProcessIdentity
    kill: bool


class SetQuiesced(NamedTuple):
    """Have the process accept no new clients, or accept them again."""

    quiesced: bool


Action = Persist | CommandResult | StartProcess | SignalProcess | SetQuiesced
Actions = list[Action]


class Observation(NamedTuple):
    """What is reported about an instance."""

    sequence: int  # grows with each observation
    condition: Condition
    fencing_token: int  # the greatest known by then
