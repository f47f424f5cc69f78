"""What every file of a store shares: the format's number, and a checksum behind each fixed part."""

from __future__ import annotations

import xxhash

from heronreel.store.errors import UnknownFormatError

FORMAT_VERSION = 1
CHECKSUM_BYTES = 8


def checksum_bytes(data: bytes | memoryview, seed: int = 0) -> bytes:
    return xxhash.xxh3_64_intdigest(data, seed).to_bytes(CHECKSUM_BYTES, "little")


def append_checksum(body: bytes, seed: int = 0) -> bytes:
    return body + checksum_bytes(body, seed)


def verified_body(data: bytes, length: int, seed: int = 0) -> bytes | None:
    """The `length` bytes before the checksum at the begin of `data`; None unless all is there and holds."""
    body = data[:length]
    return body if data[length : length + CHECKSUM_BYTES] == checksum_bytes(body, seed) else None


def check_format_version(version: int, file: str) -> None:
    """UnknownFormatError for any other than ours."""
    if version != FORMAT_VERSION:
        raise UnknownFormatError(f"{file}: format {version}, and this program knows {FORMAT_VERSION}")
