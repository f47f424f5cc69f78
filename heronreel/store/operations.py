"""Operations (a put or a deletion of one key) and their encoding in the log and in SSTable blocks."""

from __future__ import annotations

import struct

from heronreel.store.errors import MalformedOperationsError

_LENGTHS = struct.Struct("<HI")  # The lengths of the key and of the value.
OPERATION_HEADER_BYTES = _LENGTHS.size
_DELETED = 0xFFFFFFFF  # Marks a deletion in the field of the value's length.

Operation = tuple[bytes, bytes | None]
"""A key and its new value, or None if the key is deleted."""

Memtable = dict[bytes, bytes | None]
"""The newest value of each key, or None if the key is deleted."""


def operation_size(key: bytes, value: bytes | None) -> int:
    """Return the size of the encoded operation in bytes."""
    return OPERATION_HEADER_BYTES + len(key) + len(value or b"")


def encode_operation(key: bytes, value: bytes | None) -> bytes:
    """Encode an operation for a group of the log or for a block of an SSTable."""
    if value is None:
        return _LENGTHS.pack(len(key), _DELETED) + key
    return _LENGTHS.pack(len(key), len(value)) + key + value


def encode_operations(operations: list[Operation]) -> bytes:
    """Encode operations one after another."""
    return b"".join([encode_operation(key, value) for key, value in operations])


def decode_operations(data: bytes, offset: int = 0) -> list[Operation]:
    """Decode the operations in `data` from `offset` on.

    Raises:
        MalformedOperationsError: The data ends within an operation. This never happens in data whose checksum
            matches.
    """
    operations: list[Operation] = []
    end = len(data)
    while offset < end:
        try:
            key_length, value_length = _LENGTHS.unpack_from(data, offset)
        except struct.error:
            raise MalformedOperationsError(f"an operation is cut short at byte {offset}") from None
        offset += OPERATION_HEADER_BYTES
        key = data[offset : offset + key_length]
        offset += key_length
        if value_length == _DELETED:
            operations.append((key, None))
        else:
            operations.append((key, data[offset : offset + value_length]))
            offset += value_length
    if offset != end:
        raise MalformedOperationsError(f"an operation extends {offset - end} bytes past the end of its group")
    return operations


def match_operation(data: bytes, offset: int, key: bytes) -> tuple[bytes, bytes | None]:
    """Decode the operation at `offset`; its value is only returned if its key equals `key`."""
    key_length, value_length = _LENGTHS.unpack_from(data, offset)
    offset += OPERATION_HEADER_BYTES
    stored_key = data[offset : offset + key_length]
    if stored_key != key or value_length == _DELETED:
        return stored_key, None
    offset += key_length
    return stored_key, data[offset : offset + value_length]
