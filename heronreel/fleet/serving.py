"""An agent's process: its owners, the address for orders, and what it tells the account."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import msgspec
import structlog
from aiohttp import web

import heronreel
from heronreel.fleet.agent import Order, Want
from heronreel.fleet.machine import Machine
from heronreel.fleet.operation import tell
from heronreel.fleet.owner import Owner
from heronreel.leases.lease import LeaseTerms
from heronreel.leases.session import LeaseSession
from heronreel.store import Store

TELL_S = 1.0  # between two looks where nothing changed
ORDER_MOST = 16 << 10  # bytes

log = structlog.get_logger()


class Told(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order as it comes over HTTP."""

    instance: str
    number: int
    order: int
    want: Want
    version: str = ""


class Serving:
    """Orders for the owners: `POST /order`, and `GET /status`."""

    def __init__(self, machine: Machine, store: Store) -> None:
        self.machine = machine
        self.owners = {row.name: Owner(machine, row, store) for row in machine.instances}
        app = web.Application(client_max_size=ORDER_MOST)
        app.router.add_post("/order", self._order)
        app.router.add_get("/status", self._status)
        self.runner = web.AppRunner(app, access_log=None, handle_signals=False, shutdown_timeout=1.0)

    async def _order(self, request: web.Request) -> web.Response:
        """200 with `taken`, or 409: it is older than one that was taken; the number is told either way."""
        try:
            told = msgspec.json.decode(await request.read(), type=Told)
            if not 0 < told.number < 1 << 63 or not 0 < told.order < 1 << 31:
                raise ValueError("expected a number and an order from 1")
            if told.version and told.version not in self.machine.versions:
                raise ValueError(f"version {told.version!r} is none of {', '.join(self.machine.versions)}")
        except (msgspec.MsgspecError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        owner = self.owners.get(told.instance)
        if owner is None:
            return web.json_response({"error": f"no instance {told.instance!r} here"}, status=404)
        answer = await owner.order(Order(told.number, told.order, told.want, told.version))
        body = {"taken": answer.taken, "number": answer.number, "looked": answer.looked}
        return web.json_response(body, status=200 if answer.taken else 409)

    async def _status(self, request: web.Request) -> web.Response:
        rows: dict[str, Any] = {}
        for name, owner in self.owners.items():
            core = owner.core
            process = core.process
            rows[name] = {
                "condition": core.condition().value, "stage": core.stage.value, "why": core.why,
                "want": core.kept_record.want.value, "version": core.kept_record.version,
                "number": core.kept_record.number, "order": core.kept_record.order,
                "process": None if process is None else msgspec.to_builtins(process),
            }  # fmt: skip
        return web.json_response(rows)

    async def run(self) -> None:
        """Until SIGTERM; the instances go on.  Raises OSError where the address can't be bound."""
        agent = self.machine.agent
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        await self.runner.setup()
        host, _, port = agent.address.rpartition(":")
        site = web.TCPSite(self.runner, host, int(port))
        await site.start()
        assert site._server is not None
        log.info("listens", agent=agent.name, port=site._server.sockets[0].getsockname()[1])  # type: ignore[attr-defined]
        terms = LeaseTerms(agent.lease_s, agent.margin_s, agent.answer_s)
        async with LeaseSession(agent.group, agent.name, terms) as holding:
            what = {"kind": "agent", "version": heronreel.__version__, "address": agent.address}
            holding.announce_presence(agent.name, msgspec.json.encode(what))
            running = [asyncio.ensure_future(owner.run()) for owner in self.owners.values()]
            running += [asyncio.ensure_future(self._tell(holding, owner)) for owner in self.owners.values()]
            await stop.wait()
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        await self.runner.cleanup()

    async def _tell(self, holding: LeaseSession, owner: Owner) -> None:
        """Tell the account of each look.  Without the group nothing is told, and nothing else changes."""
        while True:
            owner.changed.clear()
            await tell(holding.client, owner.look())
            try:
                async with asyncio.timeout(TELL_S):
                    await owner.changed.wait()
            except TimeoutError:
                pass


async def serve(machine: Machine) -> None:
    """Run an agent.  Raises StoreError where its folder can't be used, or another agent has it, and
    OSError.
    """
    folder = Path(machine.agent.folder)
    folder.mkdir(parents=True, exist_ok=True)
    store = await asyncio.to_thread(Store.open, folder / "orders")
    try:
        await Serving(machine, store).run()
    finally:
        await asyncio.to_thread(store.close)
