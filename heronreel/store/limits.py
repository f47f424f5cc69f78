"""The limits of a store: fixed limits of keys, values and batches, and configurable sizes."""

from __future__ import annotations

from dataclasses import dataclass

from heronreel.store.errors import InvalidArgumentError
from heronreel.store.log_format import MAX_FRAGMENT_BYTES

MAX_KEY_BYTES = 4096
MAX_VALUE_BYTES = 16 << 20
MAX_BATCH_BYTES = 64 << 20  # Limit of the encoded operations: keys, values and 6 bytes for each operation.


@dataclass(frozen=True, slots=True)
class Limits:
    """Configurable sizes, in bytes unless stated otherwise.

    With the defaults, a store uses about 10 MiB of memory and 4 bytes for each key.

    Attributes:
        memtable_bytes: The size at which the memtable is flushed. A second memtable may be in memory while it
            is being flushed.
        segment_bytes: The size at which a log segment ends. Its last frame may exceed this size.
        fragment_bytes: The maximum payload of a log frame. A larger group is split into several frames, which
            may be in several segments.
        log_bytes: The size of the log since the last flush at which the memtable is flushed. This bounds the
            log when the same key is overwritten repeatedly, which does not fill the memtable.
        block_bytes: The size of an SSTable block, the unit that a read of one key reads. The last record of a
            block may exceed this size.
        table_bytes: The size of an SSTable file. Its last block may exceed this size.
        step_bytes: The work of one step of a flush or compaction, and so the length of the pause it causes.
        sync_interval_bytes: The bytes written to an SSTable between two fsyncs, which bounds the duration of
            an fsync.
        compaction_ratio: The maximum number of bytes of flushes and compactions per byte of a write (a ratio,
            not a size).
        group_bytes: The size of the writes that share an fsync.
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
                f"fragment_bytes: {self.fragment_bytes}, but it must be at most {MAX_FRAGMENT_BYTES}"
            )
        for name in self.__slots__:
            if getattr(self, name) < 1:
                raise InvalidArgumentError(f"{name}: {getattr(self, name)}, but it must be at least 1")


def validated_key(key: bytes) -> bytes:
    """Return `key` if it is valid.

    Raises:
        InvalidArgumentError: The key is not bytes, is empty or exceeds `MAX_KEY_BYTES`.
    """
    if not isinstance(key, bytes):
        raise InvalidArgumentError(f"key: {type(key).__name__}, but it must be bytes")
    if not 1 <= len(key) <= MAX_KEY_BYTES:
        raise InvalidArgumentError(f"key: {len(key)} bytes, but it must have 1 to {MAX_KEY_BYTES}")
    return key


def validated_value(value: bytes) -> bytes:
    """Return `value` if it is valid.

    Raises:
        InvalidArgumentError: The value is not bytes or exceeds `MAX_VALUE_BYTES`.
    """
    if not isinstance(value, bytes):
        raise InvalidArgumentError(f"value: {type(value).__name__}, but it must be bytes")
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidArgumentError(f"value: {len(value)} bytes, but it must have at most {MAX_VALUE_BYTES}")
    return value
