"""Keys, revisions and leases, and how requests change them.

The replicated map is a flat mapping from bytes to bytes, which the members agree on and which a store keeps.
A `Keyspace` is the state decoded from such a map.  States are immutable: a request yields a list of writes to
the map and the state after them, so a request that is never committed has no effect.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from typing import NamedTuple, TypeVar

import msgspec
from immutables import Map

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import (
    ALL_FOLLOWING_KEYS,
    MAX_KEY_BYTES,
    MAX_LEASE_ID,
    MAX_LEASES,
    MAX_STATE_BYTES,
    MAX_TTL_S,
    MAX_TXN_OPERATIONS,
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
    OperationResponse,
    Put,
    PutResponse,
    Range,
    RangeResponse,
    Record,
    Response,
    StateRequest,
    Txn,
    TxnResponse,
    key_in_range,
)

Content = Map[bytes, bytes]
Writes = tuple[tuple[bytes, bytes | None], ...]  # None as the value deletes the record

HEADER_KEY = b"h"  # The record holds revision, lease counter and size.
KEY_PREFIX = b"k"  # The prefix is followed by the key.
LEASE_PREFIX = b"l"  # The prefix is followed by the lease's id as 8 bytes.
RECORD_OVERHEAD_BYTES = 64  # added to the size of a record's key and value
EMPTY_CONTENT: Content = Map()


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The record of the state as a whole."""

    revision: int = 1
    lease_counter: int = 0  # the last lease id that the group chose
    size: int = 0  # the size of all records in bytes, as limited by `MAX_STATE_BYTES`


class _StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored encoding of a `Record`."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


Value = TypeVar("Value", int, bytes)

_header_decoder = msgspec.msgpack.Decoder(Header)
_record_decoder = msgspec.msgpack.Decoder(_StoredRecord)
_ttl_decoder = msgspec.msgpack.Decoder(int)
_encode = msgspec.msgpack.Encoder().encode


class AppliedRequest(NamedTuple):
    """The outcome of a request: its response, the state after it, and the writes that lead to that state."""

    response: Response
    state: Keyspace
    writes: Writes
    events: tuple[Event, ...]


class Keyspace:
    """The state decoded from a map.  It is immutable; `apply` returns the next state."""

    __slots__ = ("_sorted_keys", "header", "keys", "lease_keys", "leases")

    def __init__(
        self,
        header: Header,
        keys: Map[bytes, Record],
        leases: Map[int, int],
        lease_keys: Map[int, frozenset[bytes]],
        sorted_keys: list[bytes] | None = None,
    ) -> None:
        """Create a state from its parts.

        Args:
            header: the record of the state as a whole.
            keys: records by key.
            leases: seconds to live by lease id.
            lease_keys: attached keys by lease id; leases without keys are missing.
            sorted_keys: the keys in order, if they are known already.
        """
        self.header = header
        self.keys = keys
        self.leases = leases
        self.lease_keys = lease_keys
        self._sorted_keys = sorted_keys  # None: sorted on first use

    @classmethod
    def from_content(cls, content: Content) -> Keyspace:
        """Decode a map.

        Raises:
            msgspec.DecodeError: a record is malformed.
        """
        header = _header_decoder.decode(content[HEADER_KEY]) if HEADER_KEY in content else Header()
        keys: dict[bytes, Record] = {}
        leases: dict[int, int] = {}
        lease_keys: dict[int, set[bytes]] = {}
        for name, data in content.items():
            if name[:1] == KEY_PREFIX:
                record = Record(*msgspec.structs.astuple(_record_decoder.decode(data)))
                keys[name[1:]] = record
                if record.lease:
                    lease_keys.setdefault(record.lease, set()).add(name[1:])
            elif name[:1] == LEASE_PREFIX:
                leases[int.from_bytes(name[1:], "big")] = _ttl_decoder.decode(data)
        frozen = {lease: frozenset(names) for lease, names in lease_keys.items()}
        return cls(header, Map(keys), Map(leases), Map(frozen))

    @property
    def revision(self) -> int:
        """The revision of this state."""
        return self.header.revision

    def keys_in_range(self, first: bytes, end: bytes) -> list[bytes]:
        """Return the keys of a range, in order."""
        if not end:
            return [first] if first in self.keys else []
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self.keys)
        start = bisect.bisect_left(self._sorted_keys, first)
        stop = None if end == ALL_FOLLOWING_KEYS else bisect.bisect_left(self._sorted_keys, end)
        return self._sorted_keys[start:stop]

    def keys_of_lease(self, lease: int) -> frozenset[bytes]:
        """Return the keys that are attached to a lease."""
        return self.lease_keys.get(lease, frozenset())

    def apply(self, request: StateRequest) -> AppliedRequest:
        """Execute a request.

        Raises:
            RequestError: the request is invalid or cannot be executed, and nothing has changed.
        """
        execution = _Execution(self)
        response: Response
        if isinstance(request, LeaseGrant):
            response = execution.grant(request)
        elif isinstance(request, LeaseRevoke):
            response = execution.revoke(request)
        elif isinstance(request, Txn):
            response = execution.transaction(request)
        else:
            response = execution.operation(request)
        return execution.finish(response)

    def successor(
        self,
        header: Header,
        keys: Map[bytes, Record],
        leases: Map[int, int],
        lease_keys: Map[int, frozenset[bytes]],
        *,
        key_set_unchanged: bool,
    ) -> Keyspace:
        """Return the next state; `key_set_unchanged` means that no key was created or deleted."""
        return Keyspace(header, keys, leases, lease_keys, self._sorted_keys if key_set_unchanged else None)


class _Execution:
    """The execution of one request."""

    def __init__(self, state: Keyspace) -> None:
        """Start from `state`, which is not modified."""
        self.before = state
        self.keys = state.keys
        self.leases = state.leases
        self.lease_keys = state.lease_keys
        self.size = state.header.size
        self.lease_counter = state.header.lease_counter
        self.changed: dict[bytes, Record | None] = {}  # new records by key; None: the key was deleted
        self.lease_writes: list[tuple[bytes, bytes | None]] = []
        self.key_set_unchanged = True  # whether no key was created or deleted
        self.next_revision = state.revision + 1  # the revision of this request's writes

    @property
    def revision(self) -> int:
        """The revision of the state after the operations executed so far."""
        return self.next_revision if self.changed else self.next_revision - 1

    def finish(self, response: Response) -> AppliedRequest:
        """Return the outcome of the request, with the given response."""
        if not self.changed and not self.lease_writes:
            return AppliedRequest(response, self.before, (), ())
        header = Header(self.revision, self.lease_counter, self.size)
        writes: list[tuple[bytes, bytes | None]] = [(HEADER_KEY, _encode(header)), *self.lease_writes]
        events: list[Event] = []
        for key, record in self.changed.items():
            writes.append((KEY_PREFIX + key, None if record is None else _encode(_StoredRecord(*record))))
            previous = self.before.keys.get(key)
            if record is not None or previous is not None:
                events.append(Event(key, record, previous, self.next_revision))
        state = self.before.successor(
            header, self.keys, self.leases, self.lease_keys, key_set_unchanged=self.key_set_unchanged
        )
        return AppliedRequest(response, state, tuple(writes), tuple(events))

    # -- keys

    def transaction(self, txn: Txn) -> TxnResponse:
        """Execute the branch that the compares select."""
        for items, name in ((txn.compares, "compare"), (txn.success, "success"), (txn.failure, "failure")):
            if len(items) > MAX_TXN_OPERATIONS:
                raise _invalid(f"{name}: {len(items)} of at most {MAX_TXN_OPERATIONS}")
        for branch in (txn.success, txn.failure):
            _check_written_once(branch)
        succeeded = all(self._holds(compare) for compare in txn.compares)
        branch = txn.success if succeeded else txn.failure
        responses = tuple(self.operation(operation) for operation in branch)
        return TxnResponse(self.revision, succeeded, responses)

    def _holds(self, compare: Compare) -> bool:
        _check_key(compare.key)
        record = self.keys.get(compare.key)
        if compare.target is CompareTarget.VALUE:
            if not isinstance(compare.value, bytes):
                raise _invalid("compare: a value is bytes")
            if record is None:
                return False  # A missing key has no value to compare, as in etcd.
            return _compare(record.value, compare.relation, compare.value)
        if not isinstance(compare.value, int):
            raise _invalid("compare: expected a number")
        found = 0
        if record is not None:
            found = {
                CompareTarget.VERSION: record.version,
                CompareTarget.CREATE: record.create_revision,
                CompareTarget.MOD: record.mod_revision,
                CompareTarget.LEASE: record.lease,
            }[compare.target]
        return _compare(found, compare.relation, compare.value)

    def operation(self, operation: Operation) -> OperationResponse:
        """Execute one operation."""
        if isinstance(operation, Put):
            return self._put(operation)
        if isinstance(operation, DeleteRange):
            return self._delete(operation)
        return self._range(operation)

    def _keys_in_range(self, first: bytes, end: bytes) -> list[bytes]:
        _check_key(first)
        _check_key(end, may_be_empty=True)
        if self.key_set_unchanged:
            return self.before.keys_in_range(first, end)
        current = Keyspace(self.before.header, self.keys, self.leases, self.lease_keys)
        return current.keys_in_range(first, end)

    def _range(self, request: Range) -> RangeResponse:
        if request.revision < 0 or request.limit < 0:
            raise _invalid("range: revision and limit are 0 or more")
        if request.revision > self.before.revision:
            raise RequestError(StatusCode.OUT_OF_RANGE, "required revision is a future revision")
        if request.revision and request.revision < self.before.revision:
            raise RequestError(StatusCode.OUT_OF_RANGE, "required revision has been compacted")
        keys = self._keys_in_range(request.key, request.end)
        returned = [] if request.count_only else keys[: request.limit or None]
        records = tuple((key, self.keys[key]) for key in returned)
        if request.keys_only:
            records = tuple((key, record._replace(value=b"")) for key, record in records)
        more = len(returned) < len(keys) and not request.count_only
        return RangeResponse(self.revision, records, len(keys), more)

    def _put(self, request: Put) -> PutResponse:
        _check_key(request.key)
        if len(request.value) > MAX_VALUE_BYTES:
            raise _invalid(f"value: {len(request.value)} bytes of at most {MAX_VALUE_BYTES}")
        if request.lease and request.lease not in self.leases:
            raise RequestError(StatusCode.NOT_FOUND, "requested lease not found")
        previous = self.keys.get(request.key)
        self._grow(request, previous)
        if previous is None:
            record = Record(request.value, self.next_revision, self.next_revision, 1, request.lease)
            self.key_set_unchanged = False
        else:
            created, version = previous.create_revision, previous.version + 1
            record = Record(request.value, created, self.next_revision, version, request.lease)
            self._detach(request.key, previous)
        if request.lease:
            attached = self.lease_keys.get(request.lease, frozenset())
            self.lease_keys = self.lease_keys.set(request.lease, attached | {request.key})
        self.keys = self.keys.set(request.key, record)
        self.changed[request.key] = record
        return PutResponse(self.next_revision, previous if request.previous else None)

    def _grow(self, request: Put, previous: Record | None) -> None:
        """Add the size of a put to that of the state.

        A state at its limit still accepts puts that do not increase its size.
        """
        size = self.size + len(request.value)
        if previous is None:
            size += len(request.key) + RECORD_OVERHEAD_BYTES
        else:
            size -= len(previous.value)
        if size > MAX_STATE_BYTES and size > self.size:
            raise RequestError(StatusCode.RESOURCE_EXHAUSTED, f"the state would pass {MAX_STATE_BYTES} bytes")
        self.size = size

    def _delete(self, request: DeleteRange) -> DeleteRangeResponse:
        keys = self._keys_in_range(request.key, request.end)
        deleted = tuple((key, self.keys[key]) for key in keys)
        for key, record in deleted:
            self._remove(key, record)
        return DeleteRangeResponse(self.revision, len(deleted), deleted if request.previous else ())

    def _remove(self, key: bytes, record: Record) -> None:
        self._detach(key, record)
        self.keys = self.keys.delete(key)
        self.changed[key] = None
        self.size -= len(key) + len(record.value) + RECORD_OVERHEAD_BYTES
        self.key_set_unchanged = False

    def _detach(self, key: bytes, record: Record) -> None:
        if not record.lease:
            return
        attached = self.lease_keys[record.lease] - {key}
        if attached:
            self.lease_keys = self.lease_keys.set(record.lease, attached)
        else:
            self.lease_keys = self.lease_keys.delete(record.lease)

    # -- leases

    def grant(self, request: LeaseGrant) -> LeaseResponse:
        """Grant a lease."""
        if not 1 <= request.ttl <= MAX_TTL_S:
            raise _invalid(f"TTL: {request.ttl}, expected 1 to {MAX_TTL_S} seconds")
        if not 0 <= request.id <= MAX_LEASE_ID:
            raise _invalid("ID: expected 0 or a positive 64-bit number")
        if request.id in self.leases:
            raise RequestError(StatusCode.FAILED_PRECONDITION, "lease already exists")
        if len(self.leases) >= MAX_LEASES:
            raise RequestError(StatusCode.RESOURCE_EXHAUSTED, f"{MAX_LEASES} leases are held already")
        lease = request.id
        while not lease or lease in self.leases:
            self.lease_counter += 1
            lease = self.lease_counter
        self.leases = self.leases.set(lease, request.ttl)
        self.lease_writes.append((lease_key(lease), _encode(request.ttl)))
        return LeaseResponse(self.revision, lease, request.ttl, request.ttl)

    def revoke(self, request: LeaseRevoke) -> LeaseResponse:
        """End a lease, and delete the keys attached to it."""
        if request.id not in self.leases:
            raise RequestError(StatusCode.NOT_FOUND, "requested lease not found")
        for key in sorted(self.lease_keys.get(request.id, frozenset())):
            self._remove(key, self.keys[key])
        self.leases = self.leases.delete(request.id)
        self.lease_writes.append((lease_key(request.id), None))
        return LeaseResponse(self.revision, request.id, 0)


def lease_key(lease: int) -> bytes:
    """Return the key of a lease's record in the map."""
    return LEASE_PREFIX + lease.to_bytes(8, "big")


def apply_writes(content: Content, writes: Iterable[tuple[bytes, bytes | None]]) -> Content:
    """Return the map after the writes."""
    change = content.mutate()
    for name, data in writes:
        if data is not None:
            change[name] = data
        elif name in change:
            del change[name]
    return change.finish()


def _invalid(message: str) -> RequestError:
    return RequestError(StatusCode.INVALID_ARGUMENT, message)


def _check_key(key: bytes, *, may_be_empty: bool = False) -> None:
    if not key and not may_be_empty:
        raise _invalid("key is not provided")
    if len(key) > MAX_KEY_BYTES:
        raise _invalid(f"key: {len(key)} bytes of at most {MAX_KEY_BYTES}")


def _check_written_once(branch: tuple[Operation, ...]) -> None:
    """Reject a transaction that writes a key twice, so that the order of its writes does not matter."""
    puts: set[bytes] = set()
    for operation in branch:
        if isinstance(operation, Put):
            if operation.key in puts:
                raise _invalid("duplicate key given in txn request")
            puts.add(operation.key)
    for operation in branch:
        if not isinstance(operation, DeleteRange):
            continue
        if any(key_in_range(key, operation.key, operation.end) for key in puts):
            raise _invalid("duplicate key given in txn request")


def _compare(found: Value, relation: CompareOperator, value: Value) -> bool:
    if relation is CompareOperator.EQUAL:
        return found == value
    if relation is CompareOperator.NOT_EQUAL:
        return found != value
    if relation is CompareOperator.GREATER:
        return found > value
    return found < value
