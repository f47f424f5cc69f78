"""What all files of a store share: the format version, and a checksum behind each fixed-size structure."""

from __future__ import annotations

import xxhash

from heronreel.store.errors import UnknownFormatError

FORMAT_VERSION = 1
CHECKSUM_BYTES = 8


def checksum_bytes(data: bytes | memoryview, seed: int = 0) -> bytes:
    """The XXH3-64 checksum of `data` as it is stored, little-endian."""
    return xxhash.xxh3_64_intdigest(data, seed).to_bytes(CHECKSUM_BYTES, "little")


def append_checksum(body: bytes, seed: int = 0) -> bytes:
    """`body` followed by its checksum."""
    return body + checksum_bytes(body, seed)


def verified_body(data: bytes, length: int, seed: int = 0) -> bytes | None:
    """The first `length` bytes of `data`, or None unless the checksum that follows them matches."""
    body = data[:length]
    stored = data[length : length + CHECKSUM_BYTES]
    return body if stored == checksum_bytes(body, seed) else None


def check_format_version(version: int, file: str) -> None:
    """Reject a file of another format version.

    Raises:
        UnknownFormatError: The version is not `FORMAT_VERSION`.
    """
    if version != FORMAT_VERSION:
        raise UnknownFormatError(f"{file}: format {version}, and this program knows {FORMAT_VERSION}")
