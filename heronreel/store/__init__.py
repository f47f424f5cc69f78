"""A small embedded key-value store that survives torn writes.

`docs/store.md` is for operators, `docs/store-design.md` says why it is built so, and `docs/store-format.md`
has its bytes.

* `store`: the public interface; `async_store`: the same for asyncio; `batch`, `limits`, `errors`.
* `writer`: recovery, commits and closing; `group_commit`: one fsync for many writers; `write_ahead_log`.
* `maintenance`: flushes and compactions in steps; `run_writer`; `compaction_policy`: which runs are merged.
* `health`, `counters`, `progress`, `stat`: what the parts of an open store share.
* `reader`: a store opened for reading; `snapshot`, `current_view`, `merge`: what reads see.
* `recovery`, `log_reader`: reading what a directory holds; `manifest_file`: replacing the manifest.
* `log_format`, `operations`, `sstable_format`, `bloom_filter`, `manifest`, `checksum`, `durable_note`: bytes.
* `sstable`, `sstable_writer`, `block_scan`: SSTables.
* `disk`: the interface to files; `fault_injecting_disk`, `page_cache`: one for tests that does all that POSIX
  permits.
* `verify`, `repair`, `manifest_rebuild`: checking every byte, and salvaging a damaged store.
"""

from heronreel.store.async_store import AsyncStore
from heronreel.store.batch import Batch
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
from heronreel.store.limits import MAX_BATCH_BYTES, MAX_KEY_BYTES, MAX_VALUE_BYTES, Limits
from heronreel.store.snapshot import Snapshot
from heronreel.store.store import Store

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
