"""The current manifest, and its atomic, durable replacement on the disk."""

from __future__ import annotations

from msgspec.structs import replace

from heronreel.store.counters import Counters
from heronreel.store.disk import Disk, write_all
from heronreel.store.errors import Lost
from heronreel.store.health import Health
from heronreel.store.manifest import MANIFEST_NAME, NEW_MANIFEST_NAME, DamageEntry, Manifest, encode_manifest

_SYNCS_PER_INSTALL = 3


class ManifestFile:
    """The manifest of a store open for writing.  Callers that change it hold the maintenance lock."""

    def __init__(self, disk: Disk, manifest: Manifest, health: Health, counters: Counters) -> None:
        self._disk = disk
        self._health = health
        self._counters = counters
        self.current = manifest

    def allocate_table_number(self) -> int:
        """Return an unused table number; the allocation becomes durable with the next manifest."""
        number = self.current.next_table_number
        self.current = replace(self.current, next_table_number=number + 1)
        return number

    def install(self, manifest: Manifest) -> None:
        """Make `manifest` the current one, with the next generation number.

        Raises:
            OSError: If it was raised before the rename, the old manifest stays current. After the rename it
                is unknown which manifest a crash would leave. Both are complete and all their files exist, so
                the store rejects further writes and removes nothing.
        """
        disk = self._disk
        manifest = replace(manifest, generation=self.current.generation + 1)
        file = disk.create(NEW_MANIFEST_NAME)
        try:
            write_all(file, encode_manifest(manifest))
            file.sync()
        finally:
            file.close()
        disk.sync_directory()  # The manifest refers to new tables, whose names must be durable first.
        try:
            disk.rename(NEW_MANIFEST_NAME, MANIFEST_NAME)
            disk.sync_directory()
        except OSError as error:
            self._health.fail(f"a new manifest could not be made durable: {error}")
            raise
        self._counters.syncs += _SYNCS_PER_INSTALL
        self.current = manifest

    def record_damage(self, lost: tuple[Lost, ...]) -> None:
        """Record losses in the manifest that it does not have yet; raises as `install` does."""
        known = {(entry.file, entry.offset) for entry in self.current.damage}
        unknown = [DamageEntry.of(loss) for loss in lost if (loss.file, loss.offset) not in known]
        if unknown:
            self.install(replace(self.current, damage=[*self.current.damage, *unknown]))
