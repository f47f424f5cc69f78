"""The guard at the place where a holder acts.

A lease cannot stop a process that slept between looking at its clock and acting.  So each action carries
the number of the grant it rests on, the place keeps the greatest it has seen for each task, and refuses
less.  A new holder *enters* every place before it acts anywhere: from then on nothing of the one before it
is taken there, however late it comes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from heronreel.store import Store

NAME_MOST = 256  # bytes of a task's name
NAMES_MOST = 4096  # tasks that one place knows


class Verdict(NamedTuple):
    """Whether an action may be done; `greatest` is the number to be told either way."""

    admitted: bool
    greatest: int


class FencingGuard:
    """The greatest number seen of each task.  Pure: `raised` says what has to be kept before acting."""

    def __init__(self, greatest: Iterable[tuple[bytes, int]] = ()) -> None:
        self.greatest = dict(greatest)

    def admit(self, name: bytes, number: int) -> Verdict:
        """Look, and raise the number if it is greater; equal numbers are of the same holder.

        Raises ValueError for a name or number that none can be, and where too many tasks are known: they are
        never forgotten, since a forgotten number would admit an old holder.
        """
        if not 0 < len(name) <= NAME_MOST or number < 1:
            raise ValueError(f"expected a name of 1 to {NAME_MOST} bytes and a number from 1")
        known = self.greatest.get(name, 0)
        if number < known:
            return Verdict(False, known)
        if number > known:
            if not known and len(self.greatest) >= NAMES_MOST:
                raise ValueError(f"{NAMES_MOST} tasks are known already")
            self.greatest[name] = number
        return Verdict(True, number)


class FencedTable:
    """A store's table whose writes carry a number: the number and the write are one batch, so that a crash
    leaves both or neither.

    A writer that has to know whether an unanswered write was done repeats it: an entry's place in the task's
    order (`step`) is kept, and one that is there already is told as done and not done again.
    """

    FENCE = b"fence/"
    STEP = b"step/"
    ROW = b"row/"

    def __init__(self, store: Store) -> None:
        self.store = store
        rows = store.scan(self.FENCE)
        self.fence = FencingGuard((name[len(self.FENCE) :], _number(data)) for name, data in rows)

    def enter(self, name: bytes, number: int) -> Verdict:
        """A holder begins: nothing of an earlier one is taken from now on."""
        before = self.fence.greatest.get(name, 0)
        verdict = self.fence.admit(name, number)
        if verdict.admitted and number > before:
            self._keep(name, before, [(self.FENCE + name, _data(number))])
        return verdict

    def write(self, name: bytes, number: int, step: int, value: bytes) -> tuple[Verdict, bool]:
        """The entry `step` (from 1) of a task; and whether it was done by this call.

        Raises ValueError for a step that is not the next one or an earlier one.
        """
        before = self.fence.greatest.get(name, 0)
        verdict = self.fence.admit(name, number)
        if not verdict.admitted:
            return verdict, False
        done = self.steps(name)
        if step > done + 1 or step < 1:
            self.fence.greatest[name] = before
            raise ValueError(f"step {step}, and the next one is {done + 1}")
        batch: list[tuple[bytes, bytes]] = []
        if number > before:
            batch.append((self.FENCE + name, _data(number)))
        if step == done + 1:
            batch.append((self.STEP + name, _data(step)))
            batch.append((self.ROW + name + b"/" + step.to_bytes(8, "big"), _data((number, value))))
        self._keep(name, before, batch)
        return verdict, step == done + 1

    def _keep(self, name: bytes, before: int, rows: list[tuple[bytes, bytes]]) -> None:
        try:
            with self.store.batch() as batch:
                for key, data in rows:
                    batch.put(key, data)
        except BaseException:
            self.fence.greatest[name] = before  # as on the disk: the write may still be found after a crash
            raise

    def steps(self, name: bytes) -> int:
        """How many entries the task has."""
        data = self.store.get(self.STEP + name)
        return 0 if data is None else _number(data)

    def rows(self, name: bytes) -> list[tuple[int, bytes]]:
        """The task's entries in order, each with the number it was written under."""
        rows = self.store.scan(self.ROW + name + b"/")
        return [msgspec.msgpack.decode(data, type=tuple[int, bytes]) for _, data in rows]


def _data(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def _number(data: bytes) -> int:
    return msgspec.msgpack.decode(data, type=int)
