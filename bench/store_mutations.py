"""Removes one safety measure of the store at a time, in a copy, and checks that the store's tests fail.

    .venv-ci/bin/python bench/store_mutations.py [--workers 6]

The exit code is 1 if all tests pass with a mutation, or if the text it replaces is no longer in the code.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
MAINTENANCE = "maintenance.py"
MANIFEST = "manifest_file.py"
LOG = "write_ahead_log.py"
READER = "log_reader.py"
WRITER = "writer.py"

TESTS = [
    f"tests/store/test_{name}.py"
    for name in ("crash_recovery", "corruption", "maintenance", "repair", "disk_faults", "model", "store",
                 "async_store", "processes", "store_command")
]  # fmt: skip


class Mutation(NamedTuple):
    """A change of one file of the store, in which `old` must occur exactly once."""

    name: str
    file: str
    old: str
    new: str


MUTATIONS = [Mutation(*mutation) for mutation in [
    ("no fsync of the log", LOG, "            self._segment.sync()\n", "            pass\n"),
    ("no fsync of a new segment", LOG, "            file.sync()\n            self._disk.sync_directory()\n",
     "            self._disk.sync_directory()\n"),
    ("no directory sync after a new segment", LOG, "            file.sync()\n            self._disk.sync_directory()\n",
     "            file.sync()\n"),
    ("no fsync of the manifest", MANIFEST, "            write_all(file, encode_manifest(manifest))\n            file.sync()\n",
     "            write_all(file, encode_manifest(manifest))\n"),
    ("no directory sync before the rename", MANIFEST,
     "        disk.sync_directory()  # The manifest refers to new tables, whose names must be durable first.\n", ""),
    ("no directory sync after the rename", MANIFEST,
     "            disk.rename(NEW_MANIFEST_NAME, MANIFEST_NAME)\n            disk.sync_directory()\n",
     "            disk.rename(NEW_MANIFEST_NAME, MANIFEST_NAME)\n"),
    ("no fsync of a table", "sstable_writer.py", "        self._flush_buffer()\n        self._file.sync()\n        self._file.close()\n",
     "        self._flush_buffer()\n        self._file.close()\n"),
    ("checksum of a frame not checked", "log_format.py",
     "    if xxhash.xxh3_64_intdigest(covered, salt) != checksum:\n        return None\n",
     "    del checksum, salt, covered\n"),
    ("checksum of a block not checked", "sstable.py",
     "        if not complete or not block_is_valid(data, self.header.salt, offset):\n", "        if not complete:\n"),
    ("old tables removed before the manifest", MAINTENANCE,
     "        self.manifest_file.install(\n            replace(self.manifest_file.current, runs=[RunEntry.of(run.info) for run in runs])\n        )\n",
     "        for run in merged:\n            for part in run.info.parts:\n                remove_table(self._disk, part.number)\n"
     "        self.manifest_file.install(\n            replace(self.manifest_file.current, runs=[RunEntry.of(run.info) for run in runs])\n        )\n"),
    ("old segments removed before the manifest", MAINTENANCE,
     "        yield 1\n        manifest = self.manifest_file.current\n",
     "        yield 1\n        self.remove_segments(end.next_segment)\n        manifest = self.manifest_file.current\n"),
    ("recovery segment treated as a normal segment", READER, "and not header.recovery):\n", "):\n"),
    ("same salt for all segments", LOG, "            secrets.randbits(64),\n            recovery,\n", "            7,\n            recovery,\n"),
    ("torn write treated as damage", READER, "and tail.durable <= offset:\n", "and tail.durable < 0:\n"),
    ("damage treated as a torn write", READER,
     "            if not segment.end_known and not segment.has_successor and tail.durable <= offset:\n", "            if True:\n"),
    ("previous segment not synced before the next", LOG,
     "                self.sync()\n                self.start_segment()\n", "                self.start_segment()\n"),
    ("incomplete group applied", READER,
     "        if self._fragments:\n            self._drop_group(\"a group begun and not ended\")\n",
     "        if self._fragments:\n            with suppress(ValueError):\n                self._apply(decode_operations(b\"\".join(self._fragments)))\n"
     "            self._drop_group(\"a group begun and not ended\")\n"),
    ("writes continue after a failed fsync", LOG,
     "            self._health.fail(f\"an fsync of the log failed: {error}\")\n", "            self._segment_failed = True\n"),
    ("segment still used after a failed write", WRITER,
     "            self._log.append_group(payload)\n        except OSError as error:\n            self._log.fail_segment()\n",
     "            self._log.append_group(payload)\n        except OSError as error:\n"),
    ("deletions dropped while older runs exist", MAINTENANCE, "keep_deletions=not oldest)", "keep_deletions=False)"),
    ("writes visible before they are durable", WRITER, "            self._append(payload)\n            self._apply(group)\n",
     "            self._apply(group)\n            self._append(payload)\n"),
    ("detected damage not recorded", MANIFEST,
     "            self.install(replace(self.current, damage=[*self.current.damage, *unknown]))\n", "            pass\n"),
    ("concurrent reader ignores the durable position", "durable_note.py", "    return LogPosition(segment, offset) if magic == _MAGIC else None\n",
     "    return None\n"),
    ("first write also removes unnamed tables", WRITER, "            self._maintenance.remove_segments(first_segment)\n",
     "            self._remove_unnamed_files()\n"),
    ("maintenance work per write limited to four steps", MAINTENANCE, "max(earned, MAX_SAVED_STEPS * step_bytes)",
     "MAX_SAVED_STEPS * step_bytes"),
]]  # fmt: skip


class Outcome(NamedTuple):
    """Whether the tests detected a mutation, and the failed test or the reason why it was not run."""

    name: str
    caught: bool
    detail: str


def run_mutation(mutation: Mutation) -> Outcome:
    """Run the store's tests on a copy of the code with one mutation."""
    name, file, old, new = mutation
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        for part in ("heronreel", "tests"):
            shutil.copytree(ROOT / part, Path(folder) / part, ignore=shutil.ignore_patterns("__pycache__"))
        path = Path(folder) / "heronreel/store" / file
        text = path.read_text()
        if text.count(old) != 1:
            return Outcome(name, False, f"the text to replace occurs {text.count(old)} times in {file}")
        mutated = text.replace(old, new)
        if "suppress" in new and "import suppress" not in text:
            first_import = "from __future__ import annotations\n"
            mutated = mutated.replace(first_import, f"{first_import}\nfrom contextlib import suppress\n", 1)
        path.write_text(mutated)
        command = [sys.executable, "-m", "pytest", "-q", "-x", "--no-header", "-p", "no:cacheprovider"]
        run = subprocess.run(
            [*command, *TESTS],
            cwd=folder, capture_output=True, text=True, timeout=600,
        )  # fmt: skip
        failed = [line for line in run.stdout.splitlines() if line.startswith("FAILED")]
        test = failed[0].split("::")[1].split(" - ")[0] if failed else "all tests pass"
        return Outcome(name, bool(failed), test)


def main() -> None:
    """Test all mutations, or those whose names contain the text of `--only`."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--only", default="", help="test only mutations whose names contain this")
    options = parser.parse_args()
    chosen = [mutation for mutation in MUTATIONS if options.only in mutation.name]
    all_caught = True
    with ThreadPoolExecutor(options.workers) as pool:
        for name, caught, detail in pool.map(run_mutation, chosen):
            all_caught = all_caught and caught
            print(f"{'caught' if caught else 'MISSED'}  {name:48} {detail}", flush=True)
    sys.exit(0 if all_caught else 1)


if __name__ == "__main__":
    main()
