"""Batches: groups of writes that are committed atomically."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType

from heronreel.store.errors import InvalidArgumentError
from heronreel.store.limits import MAX_BATCH_BYTES, validated_key, validated_value
from heronreel.store.operations import Operation, operation_size


class Batch:
    """Writes that are applied to the store atomically: all of them or none.

    They are committed at the end of the `with` block, unless it ends with an exception.
    """

    def __init__(self, write: Callable[[list[list[Operation]]], None]) -> None:
        """Create an empty batch whose `commit` calls `write`."""
        self._write = write
        self._operations: dict[bytes, bytes | None] = {}
        self._size = 0

    def put(self, key: bytes, value: bytes) -> None:
        """Add setting `key` to `value` to the batch.

        Raises:
            InvalidArgumentError: The key, the value or the batch exceeds its limit; the batch is unchanged.
        """
        self._add(validated_key(key), validated_value(value))

    def delete(self, key: bytes) -> None:
        """Add the deletion of `key` to the batch; raises as `put` does."""
        self._add(validated_key(key), None)

    def take(self) -> list[Operation]:
        """Return the operations of the batch, and empty it."""
        operations, self._operations, self._size = list(self._operations.items()), {}, 0
        return operations

    def commit(self) -> None:
        """Write the operations of the batch, and empty it.  Raises as `Store.put` does."""
        if operations := self.take():
            self._write([operations])

    def __enter__(self) -> Batch:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if kind is None:
            self.commit()

    def _add(self, key: bytes, value: bytes | None) -> None:
        size = self._size + operation_size(key, value)
        if size > MAX_BATCH_BYTES:
            raise InvalidArgumentError(f"batch has {size} bytes; it may have at most {MAX_BATCH_BYTES}")
        self._size = size
        self._operations[key] = value
