"""Fleet-wide tasks, and the cursor that records the progress of a task.

A task consists of steps.  Its cursor is a key of the coordination service, in which a step is recorded as
started before it is run, and as confirmed afterwards.  Each of these writes is a transaction that succeeds
only while the claim on the task has the fencing token under which the step is run.
"""

from __future__ import annotations

import enum

import msgspec

from heronreel.leases.keys import claim_key, cursor_key


class Priority(enum.IntEnum):
    """The priority classes of tasks, the most urgent first."""

    URGENT = 0
    NORMAL = 1
    IDLE = 2

    @property
    def stored_name(self) -> str:
        """The name of the class in budget keys and in settings."""
        return _STORED_NAMES[self]

    @classmethod
    def from_stored_name(cls, name: str) -> Priority:
        """Return the class that has this name in settings.

        Raises:
            KeyError: no class has this name.
        """
        return _BY_STORED_NAME[name]


_STORED_NAMES = {Priority.URGENT: "urgent", Priority.NORMAL: "usual", Priority.IDLE: "idle"}
_BY_STORED_NAME = {name: priority for priority, name in _STORED_NAMES.items()}


class Task(msgspec.Struct, frozen=True):
    """A fleet-wide task.

    Attributes:
        name: the name of the task.
        period_s: the time between two steps; 0 means that steps run only when they are triggered.
        priority: the priority class of the task.
        step_timeout_s: the longest time that a step may take.
        rotates: whether the holder releases the claim after each step, so that another process runs the next.
        zone: only processes present in this zone run the task; "" means all processes.
        deadline_s: a step is late if it is not confirmed this long after it was due; 0 means never.
    """

    name: str
    period_s: float = 0.0
    priority: Priority = Priority.NORMAL
    step_timeout_s: float = 30.0
    rotates: bool = False
    zone: str = ""
    deadline_s: float = 0.0

    @property
    def cursor_key(self) -> bytes:
        """The key of the task's cursor."""
        return cursor_key(self.name)

    @property
    def claim_key(self) -> bytes:
        """The key of the claim on the task."""
        return claim_key(self.name)


class Cursor(msgspec.Struct, frozen=True):
    """The stored progress of a task.

    Attributes:
        confirmed_step: the last confirmed step.
        started_step: the step that was started and is not confirmed; 0 if there is none.
        attempts: the number of holders that have started the started step.
        fencing_token: the fencing token of the grant under which the cursor was written.
        holder: the name of the process that wrote the cursor.
        suspended: whether the task is suspended until an operator restarts it.
        late_steps: the number of steps that were confirmed after their deadline.
    """

    confirmed_step: int = msgspec.field(default=0, name="step")
    started_step: int = msgspec.field(default=0, name="begun")
    attempts: int = msgspec.field(default=0, name="tries")
    fencing_token: int = msgspec.field(default=0, name="number")
    holder: str = msgspec.field(default="", name="by")
    suspended: bool = msgspec.field(default=False, name="aside")
    late_steps: int = msgspec.field(default=0, name="late")


def encode_cursor(cursor: Cursor) -> bytes:
    """Encode a cursor into its stored form."""
    return msgspec.json.encode(cursor)


def decode_cursor(data: bytes) -> Cursor:
    """Decode a cursor from its stored form.

    Raises:
        msgspec.DecodeError: `data` is not a valid cursor.
    """
    return msgspec.json.decode(data, type=Cursor)


def restart_suspended(cursor: Cursor) -> Cursor:
    """Return the cursor that restarts a suspended task at the step at which it was suspended."""
    return msgspec.structs.replace(cursor, attempts=0, suspended=False)
