"""The requests to a group and its responses.  The names are those of etcd's v3 interface.

Keys and values are bytes.  A revision counts the changes of the whole state, from 1 for the empty one.
Times to live are whole seconds.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from heronreel.coordination.errors import RequestError

MAX_KEY_BYTES = 1024  # bytes of a key
MAX_VALUE_BYTES = 256 << 10  # bytes of a value
MAX_TXN_OPERATIONS = 128  # in one transaction, each way, and as many compares
MAX_STATE_BYTES = 8 << 20  # bytes of all keys, values and leases together: a whole state is one message
MAX_LEASES = 20_000
MAX_TTL_S = 24 * 3600  # seconds
MAX_LEASE_ID = (1 << 63) - 1


ALL_FOLLOWING_KEYS = b"\0"  # as the end of a range


def prefix_end(prefix: bytes) -> bytes:
    """The end of the range of keys that begin with `prefix`."""
    return prefix[:-1] + bytes([prefix[-1] + 1])


def key_in_range(key: bytes, first: bytes, end: bytes) -> bool:
    """Whether a key is in the range from `first` up to `end`, in the notation of `Range`."""
    if not end:
        return key == first
    return key >= first and (end == ALL_FOLLOWING_KEYS or key < end)


class Record(NamedTuple):
    """What a key holds."""

    value: bytes
    create_revision: int  # that created the key
    mod_revision: int  # that last wrote it
    version: int  # writes since it was created, from 1
    lease: int  # the lease that it is deleted with; 0: none


class CompareTarget(enum.Enum):
    """What of a record is compared."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class CompareOperator(enum.Enum):
    """How the record's part, on the left, is compared with the given value."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


class Compare(msgspec.Struct, frozen=True):
    """A condition on a key's record.  A missing key has 0 of everything, and no value."""

    key: bytes
    target: CompareTarget
    relation: CompareOperator
    value: int | bytes


class Range(msgspec.Struct, frozen=True):
    """The keys from `key` up to, and without, `end`.

    An empty `end` means the one key, and `ALL_FOLLOWING_KEYS` all from `key` on.
    """

    key: bytes
    end: bytes = b""
    limit: int = 0  # of records in the response; 0: none
    revision: int = 0  # 0: the newest; older ones are not kept
    keys_only: bool = False
    count_only: bool = False


class Put(msgspec.Struct, frozen=True):
    """Write a key."""

    key: bytes
    value: bytes
    lease: int = 0
    previous: bool = False  # whether the response has the record before


class DeleteRange(msgspec.Struct, frozen=True):
    """Delete the keys of a range, which is given as in `Range`."""

    key: bytes
    end: bytes = b""
    previous: bool = False  # whether the response has the deleted records


Operation = Range | Put | DeleteRange


class Txn(msgspec.Struct, frozen=True):
    """Carry out `success` if all compares hold, and `failure` otherwise; atomically either way."""

    compares: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()

    @property
    def writes(self) -> bool:
        """Whether it may change anything."""
        return any(not isinstance(each, Range) for each in (*self.success, *self.failure))


class LeaseGrant(msgspec.Struct, frozen=True):
    """Grant a lease of `ttl` seconds.  With `id` 0 the group chooses one; a given one must not exist."""

    ttl: int
    id: int = 0


class LeaseRevoke(msgspec.Struct, frozen=True):
    """End a lease, and delete its keys."""

    id: int


class LeaseKeepAlive(msgspec.Struct, frozen=True):
    """Renew a lease for its granted time."""

    id: int


class LeaseTimeToLive(msgspec.Struct, frozen=True):
    """The time a lease has left, and with `keys` the keys attached to it."""

    id: int
    keys: bool = False


class LeaseList(msgspec.Struct, frozen=True):
    """The ids of all leases, in ascending order."""


StateRequest = Range | Put | DeleteRange | Txn | LeaseGrant | LeaseRevoke  # the state alone decides these
LeaseTimeRequest = LeaseKeepAlive | LeaseTimeToLive | LeaseList  # only the leader knows the time of leases
Request = StateRequest | LeaseTimeRequest


class RangeResponse(NamedTuple):
    """The records of a range, in the order of their keys."""

    revision: int
    records: tuple[tuple[bytes, Record], ...]
    total: int  # of keys in the range, whatever the limit
    more: bool  # whether the limit cut some off


class PutResponse(NamedTuple):
    """The response to `Put`."""

    revision: int
    previous: Record | None


class DeleteRangeResponse(NamedTuple):
    """The response to `DeleteRange`."""

    revision: int
    deleted: int  # how many keys
    previous: tuple[tuple[bytes, Record], ...]


OperationResponse = RangeResponse | PutResponse | DeleteRangeResponse


class TxnResponse(NamedTuple):
    """The response to `Txn`: which branch was carried out, and the responses to its operations."""

    revision: int
    succeeded: bool
    responses: tuple[OperationResponse, ...]


class LeaseResponse(NamedTuple):
    """The response to grant, revoke, keep-alive and time-to-live.

    The `ttl` is 0 or below if the lease has ended.
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
    """One change of one key, as watches report it."""

    key: bytes
    record: Record | None  # None: the key was deleted
    previous: Record | None
    revision: int
