"""The limits of a store: fixed ones of keys, values and batches, and sizes that an owner may choose."""

from __future__ import annotations

from dataclasses import dataclass

from heronreel.store.errors import InvalidArgumentError
from heronreel.store.log_format import MAX_FRAGMENT_BYTES

MAX_KEY_BYTES = 4096  # a key has at least one byte
MAX_VALUE_BYTES = 16 << 20
MAX_BATCH_BYTES = 64 << 20  # of the encoded operations: keys and values, and 6 bytes for each operation


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes.  The defaults hold a store to some 10 MiB of memory and 4 bytes a key.

    Attributes:
        memtable_bytes: Size at which the memtable is flushed; a second one may be on its way to the disk.
        segment_bytes: Size at which a log segment ends; one more frame may exceed it.
        fragment_bytes: Payload of one log frame; a larger group has several, perhaps in several segments.
        log_bytes: Size of the log behind the sorted runs at which the memtable is flushed: a key written
            over and over does not fill the memtable.
        block_bytes: Size of an SSTable block, which is what a read of one key reads; one more record may
            exceed it.
        table_bytes: Size of an SSTable file; one more block may exceed it.
        step_bytes: Work of one step of a flush or compaction, and so the pause that it causes.
        sync_interval_bytes: Written to an SSTable between two fsyncs, which bounds the longest of them.
        compaction_ratio: Bytes of flushing and compaction that a write does at most for each of its own.
        group_bytes: Size of the writes that share an fsync.
    """

    memtable_bytes: int = 4 << 20
    segment_bytes: int = 4 << 20
    fragment_bytes: int = MAX_FRAGMENT_BYTES
    log_bytes: int = 16 << 20
    block_bytes: int = 4096
    table_bytes: int = 16 << 20
    step_bytes: int = 64 << 10
    sync_interval_bytes: int = 1 << 20
    compaction_ratio: int = 16
    group_bytes: int = 1 << 20

    def __post_init__(self) -> None:
        if self.fragment_bytes > MAX_FRAGMENT_BYTES:
            raise InvalidArgumentError(
                f"fragment_bytes: {self.fragment_bytes}, and it should be at most {MAX_FRAGMENT_BYTES}"
            )
        for name in self.__slots__:
            if getattr(self, name) < 1:
                raise InvalidArgumentError(f"{name}: {getattr(self, name)}, and it should be at least 1")


def validated_key(key: bytes) -> bytes:
    """`key`, once it is known to be valid.

    Raises:
        InvalidArgumentError: It is not bytes, is empty or exceeds `MAX_KEY_BYTES`.
    """
    if not isinstance(key, bytes):
        raise InvalidArgumentError(f"key: {type(key).__name__}, and it should be bytes")
    if not 1 <= len(key) <= MAX_KEY_BYTES:
        raise InvalidArgumentError(f"key: {len(key)} bytes, and it should have 1 to {MAX_KEY_BYTES}")
    return key


def validated_value(value: bytes) -> bytes:
    """`value`, once it is known to be valid.

    Raises:
        InvalidArgumentError: It is not bytes or exceeds `MAX_VALUE_BYTES`.
    """
    if not isinstance(value, bytes):
        raise InvalidArgumentError(f"value: {type(value).__name__}, and it should be bytes")
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidArgumentError(f"value: {len(value)} bytes, and it should have at most {MAX_VALUE_BYTES}")
    return value
