"""Finds chunks of a response that announce more than any body may have (RFC 9112, section 7.1).

Such a response never becomes complete.  The parser does not tell the size that a chunk announces, so that it
would look like a response whose backend pauses.
"""

from __future__ import annotations

from heronreel.proxy.streams import MAX_BODY_BYTES

HEAD_END = b"\r\n\r\n"
LINE_END_BYTES = 2
# A longer line is left to the parser.
MAX_LINE_BYTES = 1 << 10


class ChunkSizeCheck:
    """Reads the size of each chunk from the bytes of a response, beside the parser."""

    __slots__ = ("_head_tail", "_is_over", "_line", "_skipped_bytes")

    def __init__(self) -> None:
        self._head_tail = b""  # the last bytes received, while the head is incomplete
        self._line = b""
        self._skipped_bytes = 0  # the bytes up to the next size
        self._is_over = False

    def begin(self, data: bytes, heads: int) -> bool:
        """Find the first chunk in the bytes that complete the head, and check as `allows` does.

        Args:
            data: The bytes received last.
            heads: The number of heads that these bytes complete, with those of interim responses.
        """
        received, position = self._head_tail + data, 0
        for _ in range(heads):
            position = received.find(HEAD_END, position) + len(HEAD_END)
            if position < len(HEAD_END):
                self._is_over = True  # unusual line ends, which are left to the parser
                return True
        return self.allows(received[position:])

    def note_head(self, data: bytes) -> None:
        """Remember the bytes received last, which do not complete the head."""
        self._head_tail = (self._head_tail + data)[1 - len(HEAD_END) :]

    def allows(self, data: bytes) -> bool:
        """Return whether each chunk that begins in further bytes of the body has a size that is allowed."""
        position = 0
        while position < len(data) and not self._is_over:
            if self._skipped_bytes:
                step = min(self._skipped_bytes, len(data) - position)
                self._skipped_bytes -= step
                position += step
                continue
            end = data.find(b"\n", position)
            self._line += data[position : end if end >= 0 else len(data)]
            if end < 0:
                self._is_over = len(self._line) > MAX_LINE_BYTES
                return True
            position = end + 1
            if not self._take_size():
                return False
        return True

    def _take_size(self) -> bool:
        digits, self._line = self._line.partition(b";")[0].strip(), b""
        try:
            size = int(digits, 16)
        except ValueError:
            size = 0
        self._is_over = size == 0  # the last chunk, or a line that the parser rejects
        self._skipped_bytes = size + LINE_END_BYTES
        return size <= MAX_BODY_BYTES
