"""The requests to a group and its responses.  The names are those of etcd's v3 interface.

Keys and values are bytes.  A revision is the number of a state: the empty state has revision 1, and each
request that changes keys adds one.  Times to live are whole seconds.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from heronreel.coordination.errors import RequestError

MAX_KEY_BYTES = 1024
MAX_VALUE_BYTES = 256 << 10
MAX_TXN_OPERATIONS = 128  # Limits each of a transaction's compares, success branch and failure branch.
# Limits the size of all keys and values together, because a snapshot of the state is sent as one message.
MAX_STATE_BYTES = 8 << 20
MAX_LEASES = 20_000
MAX_TTL_S = 24 * 3600
MAX_LEASE_ID = (1 << 63) - 1


ALL_FOLLOWING_KEYS = b"\0"  # As the end of a range, this means that the range has no upper bound.


def prefix_end(prefix: bytes) -> bytes:
    """Return the end of the range of keys that begin with `prefix`.

    The last byte of `prefix` must be below 0xFF.
    """
    return prefix[:-1] + bytes([prefix[-1] + 1])


def key_in_range(key: bytes, first: bytes, end: bytes) -> bool:
    """Return whether a key is in the range from `first` to `end`, which are given as in `Range`."""
    if not end:
        return key == first
    return key >= first and (end == ALL_FOLLOWING_KEYS or key < end)


class Record(NamedTuple):
    """The value of a key and its metadata."""

    value: bytes
    create_revision: int  # the revision at which the key was created
    mod_revision: int  # the revision of the last write
    version: int  # the number of writes since the key was created, starting at 1
    lease: int  # the id of the lease whose end deletes the key; 0: none


class CompareTarget(enum.Enum):
    """The field of a record that a transaction compares."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class CompareOperator(enum.Enum):
    """The comparison of a record's field (left operand) with the given value (right operand)."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


class Compare(msgspec.Struct, frozen=True):
    """A condition on a key's record.

    All numeric fields of a missing key are 0; a comparison of its value is false.
    """

    key: bytes
    target: CompareTarget
    relation: CompareOperator
    value: int | bytes


class Range(msgspec.Struct, frozen=True):
    """Read the keys from `key` (inclusive) to `end` (exclusive).

    An empty `end` selects only `key`, and `ALL_FOLLOWING_KEYS` selects every key from `key` on.
    """

    key: bytes
    end: bytes = b""
    limit: int = 0  # the maximum number of records in the response; 0: no limit
    revision: int = 0  # the revision to read; 0: the newest.  Older revisions are not kept.
    keys_only: bool = False
    count_only: bool = False


class Put(msgspec.Struct, frozen=True):
    """Write a key."""

    key: bytes
    value: bytes
    lease: int = 0
    previous: bool = False  # whether the response includes the replaced record


class DeleteRange(msgspec.Struct, frozen=True):
    """Delete the keys of a range, which is given as in `Range`."""

    key: bytes
    end: bytes = b""
    previous: bool = False  # whether the response includes the deleted records


Operation = Range | Put | DeleteRange


class Txn(msgspec.Struct, frozen=True):
    """Execute the operations of `success` if all compares are true, else those of `failure`, atomically."""

    compares: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()

    @property
    def writes(self) -> bool:
        """Whether the transaction contains an operation that may change the state."""
        return any(not isinstance(each, Range) for each in (*self.success, *self.failure))


class LeaseGrant(msgspec.Struct, frozen=True):
    """Grant a lease of `ttl` seconds.

    With `id` 0 the group chooses an id.  No lease with a given id may exist already.
    """

    ttl: int
    id: int = 0


class LeaseRevoke(msgspec.Struct, frozen=True):
    """End a lease, and delete the keys attached to it."""

    id: int


class LeaseKeepAlive(msgspec.Struct, frozen=True):
    """Renew a lease for its granted time to live."""

    id: int


class LeaseTimeToLive(msgspec.Struct, frozen=True):
    """Read the remaining time of a lease, and with `keys` also the keys attached to it."""

    id: int
    keys: bool = False


class LeaseList(msgspec.Struct, frozen=True):
    """Read the ids of all leases, in ascending order."""


# The response to these requests depends on the replicated state only.
StateRequest = Range | Put | DeleteRange | Txn | LeaseGrant | LeaseRevoke
# These requests are answered by the leader, which alone measures the time of leases.
LeaseTimeRequest = LeaseKeepAlive | LeaseTimeToLive | LeaseList
Request = StateRequest | LeaseTimeRequest


class RangeResponse(NamedTuple):
    """The response to `Range`: the records, in the order of their keys."""

    revision: int
    records: tuple[tuple[bytes, Record], ...]
    total: int  # the number of keys in the range, regardless of the limit
    more: bool  # whether the limit excluded keys of the range


class PutResponse(NamedTuple):
    """The response to `Put`."""

    revision: int
    previous: Record | None


class DeleteRangeResponse(NamedTuple):
    """The response to `DeleteRange`."""

    revision: int
    deleted: int  # the number of deleted keys
    previous: tuple[tuple[bytes, Record], ...]


OperationResponse = RangeResponse | PutResponse | DeleteRangeResponse


class TxnResponse(NamedTuple):
    """The response to `Txn`: which branch was executed, and the responses to its operations."""

    revision: int
    succeeded: bool
    responses: tuple[OperationResponse, ...]


class LeaseResponse(NamedTuple):
    """The response to `LeaseGrant`, `LeaseRevoke`, `LeaseKeepAlive` and `LeaseTimeToLive`.

    The `ttl` is 0 or negative if the lease does not exist any more.
    """

    revision: int
    id: int
    ttl: int
    granted_ttl: int = 0
    keys: tuple[bytes, ...] = ()


class LeaseListResponse(NamedTuple):
    """The response to `LeaseList`."""

    revision: int
    ids: tuple[int, ...]


Response = RangeResponse | PutResponse | DeleteRangeResponse | TxnResponse | LeaseResponse | LeaseListResponse
ResponseOrError = Response | RequestError


class Event(NamedTuple):
    """A change of one key, as reported to watches."""

    key: bytes
    record: Record | None  # the record after the change; None: the key was deleted
    previous: Record | None  # the record before the change; None: the key did not exist
    revision: int
