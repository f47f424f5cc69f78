"""A small embedded store that survives torn writes: `docs/store.md` for operators, `docs/store-format.md`
for its bytes.

* `store`: the store itself; `aio`: the same for asyncio, with one flush for many writers.
* `opening`: reading what a folder holds; `views`: what reads look at.
* `disk`: the seam to files; `simulated`: a disk that does all that POSIX allows, for tests and rehearsals.
* `frames`, `tables`, `manifest`: the bytes of logs, runs and of the list of both.
* `levels`: which runs are merged, and when.
* `check`: reading every byte, and salvaging what is left of a damaged store.
"""

from heronreel.store.async_store import AsyncStore
from heronreel.store.errors import (
    CorruptionError,
    InvalidArgumentError,
    Lost,
    ReadOnlyError,
    StoreClosedError,
    StoreError,
    StoreLockedError,
    UnknownFormatError,
    WriteFailedError,
)
from heronreel.store.snapshot import MAX_KEY_BYTES, MAX_VALUE_BYTES, Snapshot
from heronreel.store.store import MAX_BATCH_BYTES, Batch, Limits, Store

__all__ = [
    "MAX_BATCH_BYTES",
    "MAX_KEY_BYTES",
    "MAX_VALUE_BYTES",
    "AsyncStore",
    "Batch",
    "CorruptionError",
    "InvalidArgumentError",
    "Limits",
    "Lost",
    "ReadOnlyError",
    "Snapshot",
    "Store",
    "StoreClosedError",
    "StoreError",
    "StoreLockedError",
    "UnknownFormatError",
    "WriteFailedError",
]
