"""Batches: writes that are committed together."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType

from heronreel.store.errors import InvalidArgumentError
from heronreel.store.limits import MAX_BATCH_BYTES, validated_key, validated_value
from heronreel.store.operations import Operation, operation_size


class Batch:
    """Writes that are all in the store or none of them.

    They are committed at the end of the `with` block, unless an exception ends it.
    """

    def __init__(self, write: Callable[[list[list[Operation]]], None]) -> None:
        """Create an empty batch that is committed by calling `write`."""
        self._write = write
        self._operations: dict[bytes, bytes | None] = {}
        self._size = 0

    def put(self, key: bytes, value: bytes) -> None:
        """Set `key` to `value` with the batch.

        Raises:
            InvalidArgumentError: Key, value or the whole batch exceeds its limit; the batch stays as it was.
        """
        self._add(validated_key(key), validated_value(value))

    def delete(self, key: bytes) -> None:
        """Delete `key` with the batch; raises as `put` does."""
        self._add(validated_key(key), None)

    def take(self) -> list[Operation]:
        """The operations in the batch, which is empty from then on."""
        operations, self._operations, self._size = list(self._operations.items()), {}, 0
        return operations

    def commit(self) -> None:
        """Write the operations in the batch, and empty it.  Raises as `Store.put` does."""
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
            raise InvalidArgumentError(f"batch: {size} bytes, and it should be at most {MAX_BATCH_BYTES}")
        self._size = size
        self._operations[key] = value
