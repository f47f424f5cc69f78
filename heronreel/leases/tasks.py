"""Fleet-wide tasks, and the cursor that says how far one has come.

A task is done in steps.  Its cursor is a key of the coordination service: a step is recorded there as
started before it is run, and as confirmed afterwards, each time by a transaction that succeeds only while
the claim on the task has the fencing token that the step is run under.
"""

from __future__ import annotations

import enum

import msgspec

from heronreel.leases.keys import claim_key, cursor_key


class Priority(enum.IntEnum):
    """Classes of tasks, the most urgent first."""

    URGENT = 0
    NORMAL = 1
    IDLE = 2

    @property
    def stored_name(self) -> str:
        """The name in keys of budgets and in settings."""
        return _STORED_NAMES[self]

    @classmethod
    def from_stored_name(cls, name: str) -> Priority:
        """The class of a name in settings.

        Raises:
            KeyError: there is none of that name.
        """
        return _BY_STORED_NAME[name]


_STORED_NAMES = {Priority.URGENT: "urgent", Priority.NORMAL: "usual", Priority.IDLE: "idle"}
_BY_STORED_NAME = {name: priority for priority, name in _STORED_NAMES.items()}


class Task(msgspec.Struct, frozen=True):
    """What is to be done: a step every `period_s`, or whenever it is triggered with 0."""

    name: str
    period_s: float = 0.0
    priority: Priority = Priority.NORMAL
    step_timeout_s: float = 30.0
    rotates: bool = False  # whoever ran a step leaves the next one to others
    zone: str = ""  # only processes present in this zone run it; "": all
    deadline_s: float = 0.0  # a step is late if not confirmed so long after it was due; 0: never

    @property
    def cursor_key(self) -> bytes:
        """The key of its cursor."""
        return cursor_key(self.name)

    @property
    def claim_key(self) -> bytes:
        """The key of the claim on it."""
        return claim_key(self.name)


class Cursor(msgspec.Struct, frozen=True):
    """How far a task has come, as stored."""

    confirmed_step: int = msgspec.field(default=0, name="step")
    started_step: int = msgspec.field(default=0, name="begun")  # and not confirmed; 0: none
    attempts: int = msgspec.field(default=0, name="tries")  # holders that started it
    fencing_token: int = msgspec.field(default=0, name="number")  # of the grant that wrote this
    holder: str = msgspec.field(default="", name="by")
    suspended: bool = msgspec.field(default=False, name="aside")
    late_steps: int = msgspec.field(default=0, name="late")  # confirmed after their deadline


def encode_cursor(cursor: Cursor) -> bytes:
    """The stored form."""
    return msgspec.json.encode(cursor)


def decode_cursor(data: bytes) -> Cursor:
    """A cursor from its stored form.

    Raises:
        msgspec.DecodeError: `data` is no cursor.
    """
    return msgspec.json.decode(data, type=Cursor)


def restart_suspended(cursor: Cursor) -> Cursor:
    """The cursor of a suspended task, so that it is retried from the step at which it stood."""
    return msgspec.structs.replace(cursor, attempts=0, suspended=False)
