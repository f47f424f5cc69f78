"""Common parts of all file formats: the format version, and the checksum after each fixed-size structure."""

from __future__ import annotations

import struct
from typing import Any

import xxhash

from heronreel.store.errors import UnknownFormatError

FORMAT_VERSION = 1
CHECKSUM_BYTES = 8


def checksum_bytes(data: bytes | memoryview, seed: int = 0) -> bytes:
    """Return the XXH3-64 checksum of `data` in its stored form, little-endian."""
    return xxhash.xxh3_64_intdigest(data, seed).to_bytes(CHECKSUM_BYTES, "little")


def append_checksum(body: bytes, seed: int = 0) -> bytes:
    """Return `body` followed by its checksum."""
    return body + checksum_bytes(body, seed)


def verified_body(data: bytes, length: int, seed: int = 0) -> bytes | None:
    """Return the first `length` bytes of `data`, or None unless the checksum that follows them matches."""
    body = data[:length]
    stored = data[length : length + CHECKSUM_BYTES]
    return body if stored == checksum_bytes(body, seed) else None


def check_format_version(version: int, file: str) -> None:
    """Reject a file with an unsupported format version.

    Raises:
        UnknownFormatError: The version is not `FORMAT_VERSION`.
    """
    if version != FORMAT_VERSION:
        raise UnknownFormatError(
            f"{file}: format version {version} is not supported; expected version {FORMAT_VERSION}"
        )


def decode_header(data: bytes, layout: struct.Struct, magic: bytes, file: str) -> tuple[Any, ...] | None:
    """Return the header fields after the magic number and the version, or None if the header is invalid.

    Args:
        data: The start of the file.
        layout: The header's layout without its checksum. The magic number and the version come first.
        magic: The magic number that the header begins with.
        file: The file's name, for the error message.

    Raises:
        UnknownFormatError: The header has an unsupported format version.
    """
    body = verified_body(data, layout.size)
    if body is None or not body.startswith(magic):
        return None
    _, version, *fields = layout.unpack(body)
    check_format_version(version, file)
    return tuple(fields)
