"""The note in the lock file: how far the live writer's log is durable, for readers beside it."""

from __future__ import annotations

import struct

from heronreel.store.log_reader import LogPosition

_NOTE = struct.Struct("<8sQQ")
_MAGIC = b"HRNNOTE\n"


def encode_durable_note(position: LogPosition) -> bytes:
    """The note that says that the log is durable up to a position."""
    return _NOTE.pack(_MAGIC, position.segment, position.offset)


def decode_durable_note(note: bytes | None) -> LogPosition | None:
    """How far the log is durable, or None where there is no such note."""
    if note is None or len(note) < _NOTE.size:
        return None
    magic, segment, offset = _NOTE.unpack_from(note)
    return LogPosition(segment, offset) if magic == _MAGIC else None
