"""Keeps the header fields of a message that is being received in little more memory than their bytes.

A field as a tuple of two objects needs about 180 bytes, however short it is.
"""

from __future__ import annotations

from heronreel.proxy.errors import UnreadableMessageError
from heronreel.proxy.http1 import OPTIONAL_WHITESPACE, Headers

# Can't be part of a field (RFC 9110, section 5.5).
_SEPARATOR = b"\n"


class FieldBuffer:
    """The header fields received so far, in order."""

    __slots__ = ("_joined", "count")

    def __init__(self) -> None:
        self._joined = b""
        self.count = 0

    def add(self, name: bytes, value: bytes) -> int:
        """Add a field, and return by how many bytes the buffer grew.

        Raises:
            UnreadableMessageError: The field contains the end of a line.
        """
        field = b"%b\n%b\n" % (name.lower(), value.rstrip(OPTIONAL_WHITESPACE))
        if field.count(_SEPARATOR) != 2:
            raise UnreadableMessageError
        self._joined += field
        self.count += 1
        return len(field)

    def take(self) -> Headers:
        """Return the fields, their names in lower case, and empty the buffer."""
        parts = self._joined.split(_SEPARATOR)
        self.clear()
        return list(zip(parts[0:-1:2], parts[1::2], strict=True))

    def clear(self) -> None:
        """Empty the buffer."""
        self._joined, self.count = b"", 0
