"""The durable state of a member, kept in a store.

One record holds the member's identity and its promises to other members; each key of the replicated map has
its own record.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Iterable

import msgspec
from immutables import Map

from heronreel.coordination.actions import Persist
from heronreel.coordination.ballots import NO_BALLOT, NO_VERSION, Ballot, Version
from heronreel.coordination.keyspace import Content, apply_writes
from heronreel.coordination.member_state import DurableState
from heronreel.coordinator.errors import WrongMemberError
from heronreel.store import Limits, Store

MEMBER_KEY = b"M"  # The key of the `MemberRecord`.
CONTENT_PREFIX = b"R"  # Precedes each key of the replicated map.
STORE_LIMITS = Limits(memtable_bytes=2 << 20, segment_bytes=2 << 20, log_bytes=8 << 20)
INCARNATION_BYTES = 8


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member's identity, its promises, and the version of the map on its disk."""

    name: str
    incarnation: str
    group_id: str = ""
    promised: Ballot = NO_BALLOT
    version: Version = NO_VERSION


class MemberDisk:
    """One member's store.

    The methods that write may be called from a thread, one call at a time.

    Attributes:
        durable: The state on the disk; it changes only after a write has succeeded.
    """

    def __init__(self, path: str | os.PathLike[str], name: str) -> None:
        """Open the store at `path`, or create it with a new incarnation of the member `name`.

        Raises:
            WrongMemberError: The folder belongs to a member with another name.
            StoreError: The store can't be opened.
            OSError: As the system reports it.
        """
        self.name = name
        self.store = Store.open(path, limits=STORE_LIMITS)
        try:
            self.durable = self._load()
        except BaseException:
            self.store.close()
            raise

    def _load(self) -> DurableState:
        data = self.store.get(MEMBER_KEY)
        if data is None:
            durable = _new_incarnation()
            self.store.put(MEMBER_KEY, self._encode_record(durable))
            return durable
        record = msgspec.msgpack.decode(data, type=MemberRecord)
        if record.name != self.name:
            raise WrongMemberError(f"the folder belongs to member {record.name!r}, and not to {self.name!r}")
        content: Content = Map(
            {key[len(CONTENT_PREFIX) :]: value for key, value in self.store.scan(CONTENT_PREFIX)}
        )
        return DurableState(record.incarnation, record.group_id, record.promised, record.version, content)

    def _encode_record(self, durable: DurableState) -> bytes:
        record = MemberRecord(
            self.name, durable.incarnation, durable.group_id, durable.promised, durable.version
        )
        return msgspec.msgpack.encode(record)

    def persist(self, persists: Iterable[Persist]) -> None:
        """Make all of `persists` durable, in order and in one atomic write.

        Raises:
            StoreError: Nothing was written.
            OSError: Nothing was written.
        """
        durable = self.durable
        records: dict[bytes, bytes | None] = {}
        content = durable.content
        for persist in persists:
            if persist.replaces_all:
                records.update((key, None) for key in content)
                content = Map()
            content = apply_writes(content, persist.writes)
            records.update(persist.writes)
            durable = DurableState(
                durable.incarnation, persist.group_id, persist.promised, persist.version, content
            )
        with self.store.batch() as batch:
            for key, value in records.items():
                if value is not None:
                    batch.put(CONTENT_PREFIX + key, value)
                elif key in self.durable.content:
                    batch.delete(CONTENT_PREFIX + key)
            batch.put(MEMBER_KEY, self._encode_record(durable))
        self.durable = durable

    def erase(self) -> None:
        """Delete the map and all promises, and start a new incarnation.

        Raises:
            StoreError: Nothing was written.
            OSError: Nothing was written.
        """
        durable = _new_incarnation()
        with self.store.batch() as batch:
            for key in self.durable.content:
                batch.delete(CONTENT_PREFIX + key)
            batch.put(MEMBER_KEY, self._encode_record(durable))
        self.durable = durable

    def compact(self) -> None:
        """Reclaim the space of overwritten records; writes may go on at the same time.

        Raises:
            StoreError: As the store reports it.
            OSError: As the system reports it.
        """
        self.store.compact()

    def close(self) -> None:
        """Close the store."""
        self.store.close()


def _new_incarnation() -> DurableState:
    return DurableState(secrets.token_hex(INCARNATION_BYTES))
