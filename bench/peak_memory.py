"""Measures the peak memory of a proxy under crowds of clients that make it hold memory.

    .venv-ci/bin/python bench/peak_memory.py [KIND...]

Prints one row for each kind of `tests/support/memory_load.py`, and one for all kinds together with a third of
the clients each: the peak resident memory in MB for each limit on memory and descriptors, with an exclamation
mark if it is above the limit, and how many requests of the usual client were served.  Takes a few minutes.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.support.memory_load import KINDS, Crowd, Kind, peak_kb, proxy_with_backends

LIMITS = [(32, 256), (32, 1024), (64, 256), (64, 1024), (192, 256), (192, 1024)]
KB_PER_MB = 1 << 10
ALL_KINDS = "all"


async def measure(memory_mb: int, sockets: int, kinds: list[Kind]) -> str:
    """Run crowds of these kinds at once and return one cell of the table."""
    with tempfile.TemporaryDirectory() as folder:
        async with proxy_with_backends(Path(folder), memory_mb, sockets) as proxy:
            crowd = Crowd(proxy)
            await crowd.run(kinds)
            peak_mb = peak_kb(proxy) / KB_PER_MB
    mark = "!" if peak_mb > memory_mb else " "
    return f"{peak_mb:6.1f}{mark} {crowd.statuses['200']:3}/{crowd.statuses.total():<3}"


def main() -> None:
    """Print the table."""
    names = sys.argv[1:] or [*KINDS, ALL_KINDS]
    print(f"{'':27}" + "".join(f"{f'{memory} MB, {sockets}':>16}" for memory, sockets in LIMITS))
    for name in names:
        kinds = (
            [KINDS[name]]
            if name != ALL_KINDS
            else [replace(k, clients=k.clients // 3) for k in KINDS.values()]
        )
        cells = [asyncio.run(measure(memory, sockets, kinds)) for memory, sockets in LIMITS]
        print(f"{name:27}" + "".join(f"{cell:>16}" for cell in cells), flush=True)


if __name__ == "__main__":
    main()
