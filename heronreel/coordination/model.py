"""What is asked of a group and what it answers.  The names are those of etcd's v3 interface.

Keys and values are bytes.  A revision counts the changes of the whole state, from 1 for the empty one;
times to live are whole seconds, as there.
"""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

MAX_KEY_BYTES = 1024  # bytes of a key
MAX_VALUE_BYTES = 256 << 10  # bytes of a value
MAX_OPERATIONS = 128  # in one transaction, each way, and as many compares
MAX_STATE_BYTES = 8 << 20  # bytes of all keys, values and leases together: a whole state is one message
MAX_LEASES = 20_000
MAX_TTL_S = 24 * 3600  # seconds
MAX_LEASE_ID = (1 << 63) - 1


def prefix_end(prefix: bytes) -> bytes:
    """The end of the range of keys that begin with `prefix`."""
    return prefix[:-1] + bytes([prefix[-1] + 1])


class Record(NamedTuple):
    """What a key holds."""

    value: bytes
    create: int  # the revision that made the key; 0 would be: none
    mod: int  # the revision that wrote it last
    version: int  # writes since it was made, from 1
    lease: int  # the lease that it ends with; 0: none


class CompareTarget(enum.Enum):
    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class CompareOperator(enum.Enum):
    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


class Compare(msgspec.Struct, frozen=True):
    """Whether what `key` has stands so to `value`; a key that is not there has 0 of all, and no value."""

    key: bytes
    target: CompareTarget
    relation: CompareOperator
    value: int | bytes


class Range(msgspec.Struct, frozen=True):
    """The keys from `key` up to `end`: `end` empty means the one key, and one NUL byte means all behind."""

    key: bytes
    end: bytes = b""
    limit: int = 0  # records answered at most; 0: all
    revision: int = 0  # 0: the newest; an older one is not kept
    keys_only: bool = False
    count_only: bool = False


class Put(msgspec.Struct, frozen=True):
    key: bytes
    value: bytes
    lease: int = 0
    previous: bool = False  # answer what was there before


class DeleteRange(msgspec.Struct, frozen=True):
    key: bytes
    end: bytes = b""
    previous: bool = False


Operation = Range | Put | DeleteRange


class Txn(msgspec.Struct, frozen=True):
    """If all compares hold, `success` is done, `failure` otherwise; as a whole either way."""

    compares: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()

    @property
    def writes(self) -> bool:
        """Whether it may change anything."""
        return any(not isinstance(each, Range) for each in (*self.success, *self.failure))


class LeaseGrant(msgspec.Struct, frozen=True):
    """A lease of `ttl` seconds.  With `id` 0 the group chooses one; a chosen one is granted once."""

    ttl: int
    id: int = 0


class LeaseRevoke(msgspec.Struct, frozen=True):
    id: int


class LeaseKeepAlive(msgspec.Struct, frozen=True):
    id: int


class LeaseTimeToLive(msgspec.Struct, frozen=True):
    id: int
    keys: bool = False


class LeaseList(msgspec.Struct, frozen=True):
    """All leases, by number."""


Request = (
    Range | Put | DeleteRange | Txn | LeaseGrant | LeaseRevoke | LeaseKeepAlive | LeaseTimeToLive | LeaseList
)


class RangeResponse(NamedTuple):
    revision: int
    records: tuple[tuple[bytes, Record], ...]
    total: int  # of the keys there are, whatever the limit
    more: bool


class PutResponse(NamedTuple):
    revision: int
    previous: Record | None


class DeleteRangeResponse(NamedTuple):
    revision: int
    deleted: int
    previous: tuple[tuple[bytes, Record], ...]


class TxnResponse(NamedTuple):
    revision: int
    succeeded: bool
    results: tuple[RangeResponse | PutResponse | DeleteRangeResponse, ...]


class LeaseResponse(NamedTuple):
    """Of grant, revoke, keep-alive and time-to-live; `ttl` is 0 or below where the lease has ended."""

    revision: int
    id: int
    ttl: int
    granted: int = 0
    keys: tuple[bytes, ...] = ()


class LeaseListResponse(NamedTuple):
    revision: int
    ids: tuple[int, ...]


class StatusCode(enum.IntEnum):
    """Why a request was not done: the numbers are gRPC's codes, as the gateway answers them."""

    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4  # it may have been done
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    OUT_OF_RANGE = 11
    UNKNOWN = 2  # it was begun, and may have been done
    UNAVAILABLE = 14  # it was not done


class RequestError(Exception):
    """A request that was not done, or of which nobody knows whether it was (`outcome_unknown`)."""

    def __init__(self, code: StatusCode, what: str) -> None:
        super().__init__(what)
        self.code = code
        self.what = what

    @property
    def outcome_unknown(self) -> bool:
        return self.code in (StatusCode.DEADLINE_EXCEEDED, StatusCode.UNKNOWN)


Response = RangeResponse | PutResponse | DeleteRangeResponse | TxnResponse | LeaseResponse | LeaseListResponse
ResponseOrError = Response | RequestError


class Event(NamedTuple):
    """One change of one key, as watches tell it."""

    key: bytes
    record: Record | None  # None: the key is gone
    previous: Record | None
    revision: int
