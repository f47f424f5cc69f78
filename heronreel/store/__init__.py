"""A small embedded key-value store that survives torn writes.

`docs/store.md` is the operator's manual, `docs/store-design.md` gives the reasons behind the design, and
`docs/store-format.md` specifies the file formats.

* `store`: the public interface; `async_store`: its asyncio counterpart; `batch`, `limits`, `errors`.
* `writer`: recovery, commits and closing; `group_commit`: one fsync for several writers; `write_ahead_log`.
* `maintenance`: incremental flushes and compactions; `run_writer`; `compaction_policy`: which runs to merge.
* `health`, `counters`, `progress`, `stat`: state that the components of an open store share.
* `reader`: a store opened for reading; `snapshot`, `current_view`, `merge`: the data that a read sees.
* `recovery`, `log_reader`: reading a store's directory; `manifest_file`: replacing the manifest.
* `log_format`, `operations`, `sstable_format`, `bloom_filter`, `manifest`, `checksum`, `durable_note`:
  the encodings of stored data.
* `sstable`, `sstable_writer`, `block_scan`: reading and writing SSTables.
* `disk`: the interface to files; `fault_injecting_disk`, `page_cache`: an in-memory implementation for tests
  that shows every failure that POSIX permits.
* `verify`, `repair`, `manifest_rebuild`: checking every byte of a store, and salvaging a damaged one.
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
