"""The layout of a ledger: words of eight bytes, little-endian.  Pure.

Eight header words (`WORD_*`), then the header as JSON, padded with spaces to whole words, then the cells: for
each tenant its responses in flight, then for each of the two pages and each tenant a row of counts by kind.
"""

from __future__ import annotations

import msgspec
import xxhash

from heronreel.metering.counts import KIND_NAMES
from heronreel.metering.errors import HeaderTooLargeError, InvalidLedgerError

MAGIC = int.from_bytes(b"hrcount1", "little")
WORD_BYTES = 8
MAX_HEADER_BYTES = 1 << 20
PAGES = 2

# Places of the header words; the rest of them is reserved.
WORD_MAGIC = 0
WORD_OPEN_PAGE = 1
WORD_CONFIRMED_PAGE = 2
WORD_HEADER_LENGTH = 3
WORD_HEADER_CHECKSUM = 4
WORD_REGISTERED = 5
WORD_LAST_PAGE = 6
HEADER_WORDS = 8


class LedgerHeader(msgspec.Struct, frozen=True):
    """Whose counts a ledger holds."""

    id: str  # unique: drawn when the ledger is created
    proxy: str
    zone: str
    tenants: tuple[str, ...]  # the configured ones; `NO_TENANT` comes before them


def _cell_count(header: LedgerHeader) -> int:
    return (len(header.tenants) + 1) * (PAGES * len(KIND_NAMES) + 1)


def encode_new_ledger(header: LedgerHeader) -> bytes:
    """A ledger in which nothing is counted yet; its open page is number 1.

    Raises:
        HeaderTooLargeError: the header exceeds `MAX_HEADER_BYTES`.
    """
    data = msgspec.json.encode(header)
    padded = data + b" " * (-len(data) % WORD_BYTES)
    if len(padded) > MAX_HEADER_BYTES:
        raise HeaderTooLargeError(len(padded), MAX_HEADER_BYTES)
    words = [0] * HEADER_WORDS
    words[WORD_MAGIC] = MAGIC
    words[WORD_OPEN_PAGE] = 1
    words[WORD_HEADER_LENGTH] = len(padded)
    words[WORD_HEADER_CHECKSUM] = xxhash.xxh3_64_intdigest(padded)
    head = b"".join(word.to_bytes(WORD_BYTES, "little") for word in words)
    return head + padded + bytes(WORD_BYTES * _cell_count(header))


def decode_header(buffer: bytes | memoryview) -> tuple[LedgerHeader, int]:
    """The header of a ledger, and the index of the word at which its cells begin.

    Raises:
        InvalidLedgerError: the buffer holds no ledger, or a damaged one.
    """
    words = _header_words(buffer)
    header = _decode_json(buffer, words)
    first_cell = HEADER_WORDS + words[WORD_HEADER_LENGTH] // WORD_BYTES
    if len(buffer) != WORD_BYTES * (first_cell + _cell_count(header)):
        raise InvalidLedgerError(f"has {len(buffer):,} bytes, which does not fit its header")
    open_page, confirmed_page = words[WORD_OPEN_PAGE], words[WORD_CONFIRMED_PAGE]
    if not 1 <= open_page - confirmed_page <= PAGES:
        raise InvalidLedgerError(f"page {open_page} is open and page {confirmed_page} confirmed")
    return header, first_cell


def _header_words(buffer: bytes | memoryview) -> list[int]:
    raw = bytes(buffer[: WORD_BYTES * HEADER_WORDS])
    if len(raw) < WORD_BYTES * HEADER_WORDS:
        raise InvalidLedgerError("truncated")
    starts = range(0, WORD_BYTES * HEADER_WORDS, WORD_BYTES)
    return [int.from_bytes(raw[start : start + WORD_BYTES], "little") for start in starts]


def _decode_json(buffer: bytes | memoryview, words: list[int]) -> LedgerHeader:
    length = words[WORD_HEADER_LENGTH]
    if words[WORD_MAGIC] != MAGIC or length > MAX_HEADER_BYTES or length % WORD_BYTES:
        raise InvalidLedgerError("not a usage ledger")
    start = WORD_BYTES * HEADER_WORDS
    data = bytes(buffer[start : start + length])
    if len(data) != length or xxhash.xxh3_64_intdigest(data) != words[WORD_HEADER_CHECKSUM]:
        raise InvalidLedgerError("its header is truncated or overwritten")
    try:
        return msgspec.json.decode(data, type=LedgerHeader)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidLedgerError(f"its header: {error}") from None
