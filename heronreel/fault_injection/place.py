"""A guarded place in a process of its own: `python -m heronreel.fault_injection.place FOLDER HISTORY`.

`POST /enter` and `/write` with JSON; the guard and the table are the product's (`coordination.fence`), the
line of history beside each write that was taken is the judge's.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from aiohttp import web

from heronreel.fault_injection.histories import History
from heronreel.leases.fencing import FencedTable
from heronreel.store import Store


def main(folder: str, history_path: str) -> None:
    table = FencedTable(Store.open(folder))
    history = History(Path(history_path), "place")

    async def enter(request: web.Request) -> web.Response:
        row: dict[str, Any] = await request.json()
        verdict = table.register_holder(row["task"].encode(), row["number"])
        if verdict.admitted:
            history.begin("entered", row)
        steps = table.step_count(row["task"].encode())
        return web.json_response(
            {"admitted": verdict.admitted, "greatest": verdict.highest_token, "steps": steps}
        )

    async def write(request: web.Request) -> web.Response:
        row: dict[str, Any] = await request.json()
        task, number, step = row["task"].encode(), row["number"], row["step"]
        try:
            verdict, done = table.write(task, number, step, row["by"].encode())
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        history.begin("taken" if done else "again" if verdict.admitted else "refused", row)
        return web.json_response({"admitted": verdict.admitted, "greatest": verdict.highest_token})

    async def listening(app: web.Application) -> None:
        print("listens", port_of(app), flush=True)

    def port_of(app: web.Application) -> int:
        return int(app["port"])

    import socket

    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    app = web.Application()
    app["port"] = listener.getsockname()[1]
    app.router.add_post("/enter", enter)
    app.router.add_post("/write", write)
    app.on_startup.append(listening)
    web.run_app(app, sock=listener, print=lambda *_: None, access_log=None)


if __name__ == "__main__":
    main(*sys.argv[1:])
