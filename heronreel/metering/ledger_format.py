"""The layout of a ledger: little-endian words of eight bytes.  Pure: no I/O.

A ledger consists of eight header words (`WORD_*`), the header as JSON, which is padded with spaces to whole
words, and the cells.  The cells are the number of responses in flight of each tenant, followed by one row of
counts by kind for each of the two pages and each tenant.
"""

from __future__ import annotations

import msgspec
import xxhash

from heronreel.metering.counts import KIND_NAMES
from heronreel.metering.errors import HeaderTooLargeError, InvalidLedgerError

MAGIC = int.from_bytes(b"hrcount1", "little")
WORD_BYTES = 8
MAX_HEADER_BYTES = 1 << 20
PAGE_COUNT = 2

# The indexes of the header words.  The remaining header words are reserved.
WORD_MAGIC = 0
WORD_OPEN_PAGE = 1
WORD_CONFIRMED_PAGE = 2
WORD_HEADER_LENGTH = 3
WORD_HEADER_CHECKSUM = 4
WORD_REGISTERED = 5
WORD_LAST_PAGE = 6
HEADER_WORDS = 8


class LedgerHeader(msgspec.Struct, frozen=True):
    """The identity of a ledger.

    Attributes:
        id: the unique id of the ledger, which is generated at random when it is created.
        proxy: the name of the proxy that counts in the ledger.
        zone: the zone of the proxy.
        tenants: the configured tenants.  In the cells, `NO_TENANT` precedes them.
    """

    id: str
    proxy: str
    zone: str
    tenants: tuple[str, ...]


def _cell_count(header: LedgerHeader) -> int:
    return (len(header.tenants) + 1) * (PAGE_COUNT * len(KIND_NAMES) + 1)


def encode_new_ledger(header: LedgerHeader) -> bytes:
    """Return the content of a new ledger without counts, whose open page is page 1.

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
    """Return the header of a ledger, and the index of the word at which its cells begin.

    Raises:
        InvalidLedgerError: the buffer does not contain a valid ledger.
    """
    words = _header_words(buffer)
    header = _decode_json(buffer, words)
    first_cell = HEADER_WORDS + words[WORD_HEADER_LENGTH] // WORD_BYTES
    if len(buffer) != WORD_BYTES * (first_cell + _cell_count(header)):
        raise InvalidLedgerError(f"the ledger's size of {len(buffer):,} bytes does not fit its header")
    open_page, confirmed_page = words[WORD_OPEN_PAGE], words[WORD_CONFIRMED_PAGE]
    if not 1 <= open_page - confirmed_page <= PAGE_COUNT:
        raise InvalidLedgerError(f"page {open_page} is open and page {confirmed_page} confirmed")
    return header, first_cell


def _header_words(buffer: bytes | memoryview) -> list[int]:
    raw = bytes(buffer[: WORD_BYTES * HEADER_WORDS])
    if len(raw) < WORD_BYTES * HEADER_WORDS:
        raise InvalidLedgerError("the ledger is truncated")
    starts = range(0, WORD_BYTES * HEADER_WORDS, WORD_BYTES)
    return [int.from_bytes(raw[start : start + WORD_BYTES], "little") for start in starts]


def _decode_json(buffer: bytes | memoryview, words: list[int]) -> LedgerHeader:
    length = words[WORD_HEADER_LENGTH]
    if words[WORD_MAGIC] != MAGIC or length > MAX_HEADER_BYTES or length % WORD_BYTES:
        raise InvalidLedgerError("not a usage ledger")
    start = WORD_BYTES * HEADER_WORDS
    data = bytes(buffer[start : start + length])
    if len(data) != length or xxhash.xxh3_64_intdigest(data) != words[WORD_HEADER_CHECKSUM]:
        raise InvalidLedgerError("the header is truncated or overwritten")
    try:
        return msgspec.json.decode(data, type=LedgerHeader)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidLedgerError(f"the header is not valid: {error}") from None
