"""The note in the lock file, which tells concurrent readers how far the live writer's log is durable."""

from __future__ import annotations

import struct

from heronreel.store.log_reader import LogPosition

_NOTE = struct.Struct("<8sQQ")
_MAGIC = b"HRNNOTE\n"


def encode_durable_note(position: LogPosition) -> bytes:
    """Encode the position up to which the log is durable."""
    return _NOTE.pack(_MAGIC, position.segment, position.offset)


def decode_durable_note(note: bytes | None) -> LogPosition | None:
    """Decode the position up to which the log is durable; return None if the note holds no position."""
    if note is None or len(note) < _NOTE.size:
        return None
    magic, segment, offset = _NOTE.unpack_from(note)
    return LogPosition(segment, offset) if magic == _MAGIC else None
