"""Takes one guard out of the store at a time, in a copy, and says which of its tests fail then.

    .venv-ci/bin/python bench/store_mutations.py [--workers 6]

Exit 1 if a mutation passes all tests, or if its text is no more in the code.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).parent.parent
STORE = "store.py"
MUTATIONS = [
    ("no fsync of the log", STORE, "            self._segment.sync()\n", "            pass\n"),
    ("no fsync of a new segment", STORE, "            file.sync()\n            self._disk.sync_folder()\n",
     "            self._disk.sync_folder()\n"),
    ("no folder sync after a new segment", STORE, "            file.sync()\n            self._disk.sync_folder()\n",
     "            file.sync()\n"),
    ("no fsync of the manifest", STORE, "            write_whole(file, encode_manifest(manifest))\n            file.sync()\n",
     "            write_whole(file, encode_manifest(manifest))\n"),
    ("no folder sync before the rename", STORE,
     "        disk.sync_folder()  # the names of the tables that it speaks of\n", ""),
    ("no folder sync after the rename", STORE,
     "            disk.rename(MANIFEST_NEW, MANIFEST)\n            disk.sync_folder()\n",
     "            disk.rename(MANIFEST_NEW, MANIFEST)\n"),
    ("no fsync of a table", "sstable.py", "        self._flush()\n        self._file.sync()\n        self._file.close()\n",
     "        self._flush()\n        self._file.close()\n"),
    ("a frame's checksum not checked", "log_format.py",
     "    if xxhash.xxh3_64_intdigest(memoryview(data)[offset + 8 : last], salt) != checksum:\n        return None\n",
     "    del checksum, salt\n"),
    ("a block's checksum not checked", "sstable.py",
     "            or digest(memoryview(data)[8:], (self.header.salt + offset) & MASK) != data[:8]\n", ""),
    ("old tables removed before the manifest", STORE,
     "        self._install(runs=[run_entry(run.info) for run in now])\n",
     "        for run in runs:\n            for part in run.info.parts:\n                _remove(self._disk, part.file)\n"
     "        self._install(runs=[run_entry(run.info) for run in now])\n"),
    ("old segments removed before the manifest", STORE,
     "        yield 1\n        runs = [*self._manifest.runs",
     "        yield 1\n        for number in range(log_from):\n            _remove(self._disk, log_format.file_name(number))\n"
     "        runs = [*self._manifest.runs"),
    ("an opening's segment counts like any other", "log_format.py", "and not header.fresh):\n", "):\n"),
    ("one salt for all segments", STORE, "            secrets.randbits(64),\n            fresh,\n", "            7,\n            fresh,\n"),
    ("a torn end is damage", "log_format.py", "and known <= at:\n", "and known < 0:\n"),
    ("damage is a torn end", "log_format.py",
     "                if declared is None and not sealed and known <= at:\n", "                if True:\n"),
    ("a former segment not synced before the next", STORE,
     "                    self._sync_segment()\n                    self._new_segment()\n", "                    self._new_segment()\n"),
    ("a group cut off is taken", "log_format.py",
     "        if self._parts:\n            why = \"a group begun and not ended\"\n",
     "        if self._parts:\n            with suppress(ValueError):\n                self._apply(0, decode_operations(b\"\".join(self._parts)))\n"
     "            why = \"a group begun and not ended\"\n"),
    ("writes go on after a failed fsync", STORE, "        self.failure = f\"{what}; writes are refused until the store is opened anew\"\n",
     "        self._segment_failed = True\n"),
    ("a failed write leaves its segment in use", STORE, "            self._segment_failed = True\n            raise WriteFailedError(f\"the log: {error}\", final=self.failure is not None) from error\n        try:\n            self._sync",
     "            raise WriteFailedError(f\"the log: {error}\", final=self.failure is not None) from error\n        try:\n            self._sync"),
    ("deletions dropped while older runs are there", STORE, "not oldest, \"merged\")", "False, \"merged\")"),
    ("writes are seen before they are durable", STORE, "            self._append(payload)\n            self._apply(group)\n",
     "            self._apply(group)\n            self._append(payload)\n"),
    ("damage met is not remembered", STORE, "                self._install(damage=[*self._manifest.damage, *fresh])\n",
     "                pass\n"),
    ("a reader beside a writer reads on", "recovery.py", "    return (number, durable) if magic == NOTE_MAGIC else None\n", "    return None\n"),
    ("a first write tidies up tables too", STORE, "            self._remove_segments(self._header.number)\n",
     "            self._clean()\n"),
    ("a write pays for four steps at most", STORE, "max(earned, 4 * limits.step)", "4 * limits.step"),
]  # fmt: skip


def tried(mutation: tuple[str, str, str, str]) -> tuple[str, bool, str]:
    name, file, old, new = mutation
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        for part in ("heronreel", "tests"):
            shutil.copytree(ROOT / part, Path(folder) / part, ignore=shutil.ignore_patterns("__pycache__"))
        path = Path(folder) / "heronreel/store" / file
        text = path.read_text()
        if text.count(old) != 1:
            return name, False, f"its text is {text.count(old)} times in {file}"
        if "suppress" in new and "import suppress" not in text:
            new_text = text.replace("import enum\n", "import enum\nfrom contextlib import suppress\n", 1)
        else:
            new_text = text
        path.write_text(new_text.replace(old, new))
        words = [sys.executable, "-m", "pytest", "-q", "-x", "--no-header", "-p", "no:cacheprovider"]
        done = subprocess.run(
            [*words, "tests/store/test_crashes.py", "tests/store/test_store.py"],
            cwd=folder, capture_output=True, text=True, timeout=600,
        )  # fmt: skip
        failed = [line for line in done.stdout.splitlines() if line.startswith("FAILED")]
        short = failed[0].split("::")[1].split(" - ")[0] if failed else ""
        return name, bool(failed), short or "all tests pass"


def main() -> None:
    words = argparse.ArgumentParser()
    words.add_argument("--workers", type=int, default=6)
    words.add_argument("--only", default="", help="part of a name")
    told = words.parse_args()
    chosen = [mutation for mutation in MUTATIONS if told.only in mutation[0]]
    good = True
    with ThreadPoolExecutor(told.workers) as pool:
        for name, caught, how in pool.map(tried, chosen):
            good = good and caught
            print(f"{'caught' if caught else 'MISSED'}  {name:48} {how}", flush=True)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
