"""Keys, revisions and leases, and what a request does to them.

The state is a flat map of records, bytes by bytes, as the members agree on it and as a store keeps it;
`Keyspace` is the reading of one.  Nothing here is changed in place: what a request does is a list of writes
to the map and the state after them, so that one which is never agreed on leaves no trace.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from immutables import Map

from heronreel.coordination.model import (
    MAX_KEY_BYTES,
    MAX_LEASE_ID,
    MAX_LEASES,
    MAX_OPERATIONS,
    MAX_STATE_BYTES,
    MAX_TTL_S,
    MAX_VALUE_BYTES,
    Compare,
    CompareOperator,
    CompareTarget,
    DeleteRange,
    DeleteRangeResponse,
    Event,
    LeaseGrant,
    LeaseResponse,
    LeaseRevoke,
    Operation,
    Put,
    PutResponse,
    Range,
    RangeResponse,
    Record,
    RequestError,
    Response,
    StatusCode,
    Txn,
    TxnResponse,
)

Content = Map[bytes, bytes]
Writes = tuple[tuple[bytes, bytes | None], ...]  # None: the record goes

HEAD = b"h"  # revision, the lease counter
KEY = b"k"  # and the key
LEASE = b"l"  # and the lease's number in 8 bytes
RECORD_COST = 64  # bytes counted for a record beside its key and value
EMPTY_CONTENT: Content = Map()
ALL_BEHIND = b"\0"


class _Head(msgspec.Struct, frozen=True, array_like=True):
    revision: int = 1
    leases: int = 0  # numbers given to leases so far
    size: int = 0  # bytes counted


class _Row(msgspec.Struct, frozen=True, array_like=True):
    value: bytes
    create: int
    mod: int
    version: int
    lease: int


_head = msgspec.msgpack.Decoder(_Head)
_row = msgspec.msgpack.Decoder(_Row)
_ttl = msgspec.msgpack.Decoder(int)
_encode = msgspec.msgpack.Encoder().encode


class RequestApplied(NamedTuple):
    """What a request came to: its answer, the state after it, and what has to be written for that."""

    result: Response
    state: Keyspace
    writes: Writes
    events: tuple[Event, ...]


class Keyspace:
    """One reading of the map.  Frozen; `apply` gives the next."""

    __slots__ = ("_order", "attached", "head", "keys", "leases")

    def __init__(
        self,
        head: _Head,
        keys: Map[bytes, Record],
        leases: Map[int, int],
        attached: Map[int, frozenset[bytes]],
        order: list[bytes] | None = None,
    ) -> None:
        self.head = head
        self.keys = keys
        self.leases = leases  # seconds to live by number
        self.attached = attached  # the keys that end with a lease
        self._order = order  # of the keys; made when it is asked for

    @classmethod
    def of(cls, content: Content) -> Keyspace:
        """Read a map; raises msgspec.DecodeError or ValueError for what no state wrote."""
        head = _head.decode(content[HEAD]) if HEAD in content else _Head()
        keys: dict[bytes, Record] = {}
        leases: dict[int, int] = {}
        attached: dict[int, set[bytes]] = {}
        for name, data in content.items():
            if name[:1] == KEY:
                row = _row.decode(data)
                keys[name[1:]] = Record(row.value, row.create, row.mod, row.version, row.lease)
                if row.lease:
                    attached.setdefault(row.lease, set()).add(name[1:])
            elif name[:1] == LEASE:
                leases[int.from_bytes(name[1:], "big")] = _ttl.decode(data)
        frozen = {lease: frozenset(names) for lease, names in attached.items()}
        return cls(head, Map(keys), Map(leases), Map(frozen))

    @property
    def revision(self) -> int:
        return self.head.revision

    def named(self, key: bytes, end: bytes) -> list[bytes]:
        """The keys of a range, in order."""
        if not end:
            return [key] if key in self.keys else []
        if self._order is None:
            self._order = sorted(self.keys)
        first = bisect.bisect_left(self._order, key)
        return self._order[first : None if end == ALL_BEHIND else bisect.bisect_left(self._order, end)]

    def apply(self, request: Range | Put | DeleteRange | Txn | LeaseGrant | LeaseRevoke) -> RequestApplied:
        """What `request` comes to.  Raises Refused, and nothing is changed then."""
        change = _Change(self)
        result: Response
        if isinstance(request, LeaseGrant):
            result = change.grant(request)
        elif isinstance(request, LeaseRevoke):
            result = change.revoke(request)
        elif isinstance(request, Txn):
            result = change.transaction(request)
        else:
            result = change.operation(request)
        return change.done(result)

    def next(
        self,
        head: _Head,
        keys: Map[bytes, Record],
        leases: Map[int, int],
        attached: Map[int, frozenset[bytes]],
        moved: bool,
    ) -> Keyspace:
        return Keyspace(head, keys, leases, attached, None if moved else self._order)


class _Change:
    """One request at work."""

    def __init__(self, state: Keyspace) -> None:
        self.before = state
        self.keys = state.keys
        self.leases = state.leases
        self.attached = state.attached
        self.size = state.head.size
        self.granted = state.head.leases
        self.touched: dict[bytes, Record | None] = {}  # keys that were written or removed
        self.written: list[tuple[bytes, bytes | None]] = []  # of leases
        self.moved = False  # keys came or went
        self.revision = state.revision + 1  # of whatever this request writes

    @property
    def reached(self) -> int:
        """The revision of the state as it is now, in the middle of the request."""
        return self.revision if self.touched else self.revision - 1

    def done(self, result: Response) -> RequestApplied:
        if not self.touched and not self.written:
            return RequestApplied(result, self.before, (), ())
        head = _Head(self.reached, self.granted, self.size)
        writes: list[tuple[bytes, bytes | None]] = [(HEAD, _encode(head)), *self.written]
        events: list[Event] = []
        for key, record in self.touched.items():
            writes.append((KEY + key, None if record is None else _encode(_Row(*record))))
            previous = self.before.keys.get(key)
            if record is not None or previous is not None:
                events.append(Event(key, record, previous, self.revision))
        state = self.before.next(head, self.keys, self.leases, self.attached, self.moved)
        return RequestApplied(result, state, tuple(writes), tuple(events))

    # -- keys

    def transaction(self, txn: Txn) -> TxnResponse:
        for part, name in ((txn.compares, "compare"), (txn.success, "success"), (txn.failure, "failure")):
            if len(part) > MAX_OPERATIONS:
                raise RequestError(
                    StatusCode.INVALID_ARGUMENT, f"{name}: {len(part)} of at most {MAX_OPERATIONS}"
                )
        for branch in (txn.success, txn.failure):
            _once_each(branch)
        holds = all(self.holds(compare) for compare in txn.compares)
        results = tuple(self.operation(operation) for operation in (txn.success if holds else txn.failure))
        return TxnResponse(self.reached, holds, results)

    def holds(self, compare: Compare) -> bool:
        record = self.keys.get(_checked_key(compare.key))
        if compare.target is CompareTarget.VALUE:
            if not isinstance(compare.value, bytes):
                raise RequestError(StatusCode.INVALID_ARGUMENT, "compare: a value is bytes")
            if record is None:
                return False  # as in etcd: what is not there has no value to compare
            return _related(record.value, compare.relation, compare.value)
        if not isinstance(compare.value, int):
            raise RequestError(StatusCode.INVALID_ARGUMENT, "compare: expected a number")
        found = 0
        if record is not None:
            found = {
                CompareTarget.VERSION: record.version,
                CompareTarget.CREATE: record.create,
                CompareTarget.MOD: record.mod,
                CompareTarget.LEASE: record.lease,
            }[compare.target]
        return _related(found, compare.relation, compare.value)

    def operation(self, operation: Operation) -> RangeResponse | PutResponse | DeleteRangeResponse:
        if isinstance(operation, Put):
            return self.put(operation)
        if isinstance(operation, DeleteRange):
            return self.delete(operation)
        return self.range(operation)

    def _named(self, key: bytes, end: bytes) -> list[bytes]:
        _checked_key(key)
        _checked_key(end, empty=True)
        if not self.moved:
            return self.before.named(key, end)
        now = Keyspace(self.before.head, self.keys, self.leases, self.attached)
        return now.named(key, end)

    def range(self, asked: Range) -> RangeResponse:
        if asked.revision < 0 or asked.limit < 0:
            raise RequestError(StatusCode.INVALID_ARGUMENT, "range: revision and limit are 0 or more")
        if asked.revision > self.before.revision:
            raise RequestError(StatusCode.OUT_OF_RANGE, "required revision is a future revision")
        if asked.revision and asked.revision < self.before.revision:
            raise RequestError(StatusCode.OUT_OF_RANGE, "required revision has been compacted")
        names = self._named(asked.key, asked.end)
        taken = [] if asked.count_only else names[: asked.limit or None]
        records = tuple((name, self.keys[name]) for name in taken)
        if asked.keys_only:
            records = tuple((name, record._replace(value=b"")) for name, record in records)
        return RangeResponse(
            self.reached, records, len(names), len(taken) < len(names) and not asked.count_only
        )

    def put(self, asked: Put) -> PutResponse:
        _checked_key(asked.key)
        if len(asked.value) > MAX_VALUE_BYTES:
            raise RequestError(
                StatusCode.INVALID_ARGUMENT, f"value: {len(asked.value)} bytes of at most {MAX_VALUE_BYTES}"
            )
        if asked.lease and asked.lease not in self.leases:
            raise RequestError(StatusCode.NOT_FOUND, "requested lease not found")
        old = self.keys.get(asked.key)
        size = self.size + len(asked.value) - (len(old.value) if old else -len(asked.key) - RECORD_COST)
        if size > MAX_STATE_BYTES and size > self.size:
            raise RequestError(StatusCode.RESOURCE_EXHAUSTED, f"the state would pass {MAX_STATE_BYTES} bytes")
        self.size = size
        if old is None:
            record = Record(asked.value, self.revision, self.revision, 1, asked.lease)
            self.moved = True
        else:
            record = Record(asked.value, old.create, self.revision, old.version + 1, asked.lease)
            self._detach(asked.key, old)
        if asked.lease:
            held = self.attached.get(asked.lease, frozenset())
            self.attached = self.attached.set(asked.lease, held | {asked.key})
        self.keys = self.keys.set(asked.key, record)
        self.touched[asked.key] = record
        return PutResponse(self.revision, old if asked.previous else None)

    def delete(self, asked: DeleteRange) -> DeleteRangeResponse:
        names = list(self._named(asked.key, asked.end))
        gone = tuple((name, self.keys[name]) for name in names)
        for name, record in gone:
            self._remove(name, record)
        return DeleteRangeResponse(self.reached, len(gone), gone if asked.previous else ())

    def _remove(self, key: bytes, record: Record) -> None:
        self._detach(key, record)
        self.keys = self.keys.delete(key)
        self.touched[key] = None
        self.size -= len(key) + len(record.value) + RECORD_COST
        self.moved = True

    def _detach(self, key: bytes, record: Record) -> None:
        if not record.lease:
            return
        left = self.attached[record.lease] - {key}
        self.attached = self.attached.set(record.lease, left) if left else self.attached.delete(record.lease)

    # -- leases

    def grant(self, asked: LeaseGrant) -> LeaseResponse:
        if not 1 <= asked.ttl <= MAX_TTL_S:
            raise RequestError(
                StatusCode.INVALID_ARGUMENT, f"TTL: {asked.ttl}, expected 1 to {MAX_TTL_S} seconds"
            )
        if not 0 <= asked.id <= MAX_LEASE_ID:
            raise RequestError(StatusCode.INVALID_ARGUMENT, "ID: expected 0 or a positive 64-bit number")
        if asked.id in self.leases:
            raise RequestError(StatusCode.FAILED_PRECONDITION, "lease already exists")
        if len(self.leases) >= MAX_LEASES:
            raise RequestError(StatusCode.RESOURCE_EXHAUSTED, f"{MAX_LEASES} leases are held already")
        number = asked.id
        while not number or number in self.leases:
            self.granted += 1
            number = self.granted
        self.leases = self.leases.set(number, asked.ttl)
        self.written.append((lease_key(number), _encode(asked.ttl)))
        return LeaseResponse(self.reached, number, asked.ttl, asked.ttl)

    def revoke(self, asked: LeaseRevoke) -> LeaseResponse:
        if asked.id not in self.leases:
            raise RequestError(StatusCode.NOT_FOUND, "requested lease not found")
        for key in sorted(self.attached.get(asked.id, frozenset())):
            self._remove(key, self.keys[key])
        self.leases = self.leases.delete(asked.id)
        self.written.append((lease_key(asked.id), None))
        return LeaseResponse(self.reached, asked.id, 0)


def lease_key(number: int) -> bytes:
    return LEASE + number.to_bytes(8, "big")


def apply_writes(content: Content, writes: Iterable[tuple[bytes, bytes | None]]) -> Content:
    """The map after the writes."""
    change = content.mutate()
    for name, data in writes:
        if data is not None:
            change[name] = data
        elif name in change:
            del change[name]
    return change.finish()


def _checked_key(key: bytes, *, empty: bool = False) -> bytes:
    if not key and not empty:
        raise RequestError(StatusCode.INVALID_ARGUMENT, "key is not provided")
    if len(key) > MAX_KEY_BYTES:
        raise RequestError(StatusCode.INVALID_ARGUMENT, f"key: {len(key)} bytes of at most {MAX_KEY_BYTES}")
    return key


def _once_each(branch: tuple[Operation, ...]) -> None:
    """No key is written twice by one transaction, so that the order of its writes says nothing."""
    puts: set[bytes] = set()
    for operation in branch:
        if isinstance(operation, Put):
            if operation.key in puts:
                raise RequestError(StatusCode.INVALID_ARGUMENT, "duplicate key given in txn request")
            puts.add(operation.key)
    for operation in branch:
        if isinstance(operation, DeleteRange) and any(_within(key, operation) for key in puts):
            raise RequestError(StatusCode.INVALID_ARGUMENT, "duplicate key given in txn request")


def _within(key: bytes, asked: DeleteRange) -> bool:
    if not asked.end:
        return key == asked.key
    return key >= asked.key and (asked.end == ALL_BEHIND or key < asked.end)


def _related(found: int | bytes, relation: CompareOperator, value: int | bytes) -> bool:
    if relation is CompareOperator.EQUAL:
        return found == value
    if relation is CompareOperator.NOT_EQUAL:
        return found != value
    if relation is CompareOperator.GREATER:
        return found > value  # type: ignore[operator]  # of one type: the caller looked
    return found < value  # type: ignore[operator]
