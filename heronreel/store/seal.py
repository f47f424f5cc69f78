"""What every file of a store shares: the format's number, and a checksum behind each fixed part."""

from __future__ import annotations

import xxhash

from heronreel.store.errors import UnknownFormat

FORMAT = 1
SEAL_BYTES = 8


def digest(data: bytes | memoryview, seed: int = 0) -> bytes:
    return xxhash.xxh3_64_intdigest(data, seed).to_bytes(SEAL_BYTES, "little")


def sealed(body: bytes, seed: int = 0) -> bytes:
    return body + digest(body, seed)


def unsealed(data: bytes, length: int, seed: int = 0) -> bytes | None:
    """The `length` bytes before the checksum at the begin of `data`; None unless all is there and holds."""
    body = data[:length]
    return body if data[length : length + SEAL_BYTES] == digest(body, seed) else None


def know_format(version: int, file: str) -> None:
    """UnknownFormat for any other than ours."""
    if version != FORMAT:
        raise UnknownFormat(f"{file}: format {version}, and this program knows {FORMAT}")
