"""The manifest in force: replacing it on the disk, atomically and durably."""

from __future__ import annotations

from msgspec.structs import replace

from heronreel.store.counters import Counters
from heronreel.store.disk import Disk, write_all
from heronreel.store.errors import Lost
from heronreel.store.health import Health
from heronreel.store.manifest import MANIFEST_NAME, NEW_MANIFEST_NAME, DamageEntry, Manifest, encode_manifest

_SYNCS = 3  # that an installation takes


class ManifestFile:
    """The manifest of a store open for writing; whoever installs one holds the maintenance lock."""

    def __init__(self, disk: Disk, manifest: Manifest, health: Health, counters: Counters) -> None:
        self._disk = disk
        self._health = health
        self._counters = counters
        self.current = manifest

    def allocate_table_number(self) -> int:
        """A number that no table has had; durable with the next manifest."""
        number = self.current.next_table_number
        self.current = replace(self.current, next_table_number=number + 1)
        return number

    def install(self, manifest: Manifest) -> None:
        """Make `manifest`, under the next generation, the one in force.

        Raises:
            OSError: Before the rename, the old one stays in force. After it nobody can say which one a crash
                would leave: both are complete, and their files are all there, so writes end and nothing is
                removed.
        """
        disk = self._disk
        manifest = replace(manifest, generation=self.current.generation + 1)
        file = disk.create(NEW_MANIFEST_NAME)
        try:
            write_all(file, encode_manifest(manifest))
            file.sync()
        finally:
            file.close()
        disk.sync_directory()  # the names of the tables that it refers to
        try:
            disk.rename(NEW_MANIFEST_NAME, MANIFEST_NAME)
            disk.sync_directory()
        except OSError as error:
            self._health.fail(f"a new manifest could not be made durable: {error}")
            raise
        self._counters.syncs += _SYNCS
        self.current = manifest

    def record_damage(self, lost: tuple[Lost, ...]) -> None:
        """Have the manifest remember what is lost, if it does not yet; raises as `install` does."""
        known = {(entry.file, entry.offset) for entry in self.current.damage}
        unknown = [DamageEntry.of(each) for each in lost if (each.file, each.offset) not in known]
        if unknown:
            self.install(replace(self.current, damage=[*self.current.damage, *unknown]))
