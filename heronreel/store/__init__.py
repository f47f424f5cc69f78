"""A small embedded store that survives torn writes: `docs/store.md` for operators, `docs/store-format.md`
for its bytes.

* `store`: the store itself; `aio`: the same for asyncio, with one flush for many writers.
* `opening`: reading what a folder holds; `views`: what reads look at.
* `disk`: the seam to files; `simulated`: a disk that does all that POSIX allows, for tests and rehearsals.
* `frames`, `tables`, `manifest`: the bytes of logs, runs and of the list of both.
* `levels`: which runs are merged, and when.
* `check`: reading every byte, and salvaging what is left of a damaged store.
"""

from heronreel.store.aio import AsyncStore
from heronreel.store.errors import (
    Damaged,
    InvalidArgument,
    Lost,
    ReadOnly,
    StoreClosed,
    StoreError,
    StoreLocked,
    UnknownFormat,
    WriteFailed,
)
from heronreel.store.store import BATCH_MOST, Batch, Limits, Store
from heronreel.store.views import KEY_MOST, VALUE_MOST, Snapshot

__all__ = [
    "BATCH_MOST", "KEY_MOST", "VALUE_MOST", "AsyncStore", "Batch", "Damaged", "InvalidArgument", "Limits",
    "Lost", "ReadOnly", "Snapshot", "Store", "StoreClosed", "StoreError", "StoreLocked", "UnknownFormat",
    "WriteFailed",
]  # fmt: skip
