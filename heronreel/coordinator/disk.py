"""What a member has on its disk, in a store: its names and promises in one record, the agreed map in
others.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Iterable

import msgspec
from immutables import Map

from heronreel.coordination.consensus import NO_BALLOT, NO_VERSION, Ballot, DurableState, Persist, Version
from heronreel.coordination.keyspace import Content, apply_writes
from heronreel.store import Limits, Store

NAMES = b"M"  # the record of names and promises
ROW = b"R"  # and the name of a record of the map
LIMITS = Limits(memtable_bytes=2 << 20, segment_bytes=2 << 20, log_bytes=8 << 20)


class WrongMemberError(Exception):
    """The folder is of a member of another name."""


class _Names(msgspec.Struct, frozen=True, array_like=True):
    name: str
    incarnation: str
    group: str = ""
    promised: Ballot = NO_BALLOT
    version: Version = NO_VERSION


class MemberDisk:
    """One member's store.  `keep` may be called from a thread; one call at a time."""

    def __init__(self, path: str | os.PathLike[str], name: str) -> None:
        """Open it, or make it with a new incarnation.

        Raises what `Store.open` raises, and OtherMember.
        """
        self.name = name
        self.store = Store.open(path, limits=LIMITS)
        try:
            data = self.store.get(NAMES)
            if data is None:
                self.durable = DurableState(secrets.token_hex(8))
                names = _Names(name, self.durable.incarnation)
                self.store.put(NAMES, msgspec.msgpack.encode(names))
                return
            names = msgspec.msgpack.decode(data, type=_Names)
            if names.name != name:
                raise WrongMemberError(f"the folder is of member {names.name!r}, and not of {name!r}")
            content: Content = Map({key[len(ROW) :]: value for key, value in self.store.scan(ROW)})
            self.durable = DurableState(
                names.incarnation, names.group, names.promised, names.version, content
            )
        except BaseException:
            self.store.close()
            raise

    def keep(self, persists: Iterable[Persist]) -> None:
        """Make them durable, in their order and as one.  Raises StoreError and OSError; nothing is kept
        then.
        """
        durable = self.durable
        rows: dict[bytes, bytes | None] = {}
        content = durable.content
        for persist in persists:
            if persist.whole:
                rows.update((key, None) for key in content)
                content = Map()
            content = apply_writes(content, persist.writes)
            rows.update(persist.writes)
            durable = DurableState(
                durable.incarnation, persist.group, persist.promised, persist.version, content
            )
        names = _Names(self.name, durable.incarnation, durable.group, durable.promised, durable.version)
        with self.store.batch() as batch:
            for key, value in rows.items():
                if value is not None:
                    batch.put(ROW + key, value)
                elif key in self.durable.content:
                    batch.delete(ROW + key)
            batch.put(NAMES, msgspec.msgpack.encode(names))
        self.durable = durable

    def wipe(self) -> None:
        """Begin anew, as a disk that knows nothing."""
        fresh = DurableState(secrets.token_hex(8))
        with self.store.batch() as batch:
            for key in self.durable.content:
                batch.delete(ROW + key)
            batch.put(NAMES, msgspec.msgpack.encode(_Names(self.name, fresh.incarnation)))
        self.durable = fresh

    def compact(self) -> None:
        """Let go of what was written over; writes go on meanwhile.  Raises StoreError and OSError."""
        self.store.compact()

    def close(self) -> None:
        self.store.close()
