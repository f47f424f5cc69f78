"""Real proxy processes, their clients' side, and the list service's side of each.

A `RealProxy` takes the place of the emulated one: it is told of arrivals and carries them over a socket to
`python -m heronreel.proxy`, and it speaks the list's protocol to that process.  What the process does on
its way to the nodes is seen by `nodes`.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import httptools

from heronreel.emulator.lists import Entry, Shape
from heronreel.emulator.proxies import Ask, Proxy
from heronreel.emulator.world import World
from heronreel.stubs.http_client import ClientStats, HttpClient
from heronreel.stubs.http_peer import HttpPeer

if TYPE_CHECKING:
    from heronreel.realtime.engine import Engine

ROOT = Path(__file__).parent.parent.parent
STATUS = {Shape.UP: "active", Shape.LEAVING: "leaving", Shape.LEFT: "left"}
EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}
SCOPES = {"rack": "cell", "zone": "zone", "all": "all"}
HEARTBEAT_S = 2.0
READY_S, DEADLINE_SLACK_MS = 20.0, 400.0  # of a busy machine: an answer this late is still told as what it is


class ListPeer(HttpPeer):
    """One call of a proxy process to the list service."""

    parser: httptools.HttpRequestParser

    def __init__(self, proxy: RealProxy) -> None:
        super().__init__()
        self.proxy = proxy
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.streams = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        self.streams = b"stream=1" in self.url
        self.url = b""
        self.proxy.call(self)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.proxy.call_over(self)

    def write(self, told: dict[str, Any] | None) -> None:
        if self.transport is None:
            return
        line = (json.dumps(told) if told is not None else "").encode() + b"\n"
        if self.streams:
            self.transport.write(b"%x\r\n%b\r\n" % (len(line), line))
        else:
            self.transport.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))

    def begin(self) -> None:
        if self.streams and self.transport:
            self.transport.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")

    def fail(self) -> None:
        if self.transport:
            self.transport.abort()


class RealProxy(Proxy):
    """The wire's side of one proxy; `alive` while its process answers for its health."""

    engine: Engine

    def __init__(self, world: World, name: str, zone: str, slot: int) -> None:
        super().__init__(world, name, zone, slot)
        self.running: asyncio.subprocess.Process | None = None
        self.address = ("127.0.0.1", 0)
        self.killed = False  # outright: what it has in hand is its clients' to repeat
        self.clients = HttpClient(self.address, ClientStats())
        self.peer: ListPeer | None = None  # the newest call
        self.list_server: asyncio.Server | None = None
        self.index = 0

    # Its process.

    def start(self) -> None:
        self.engine.spawn(self.launch())

    async def launch(self) -> None:
        engine, world = self.engine, self.world
        self.process += 1
        process = self.process
        if self.list_server is None:
            self.list_server = await engine.loop.create_server(lambda: ListPeer(self), "127.0.0.1", 0)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.address = probe.getsockname()
        self.clients = HttpClient(self.address, ClientStats())
        folder = Path(engine.folder) / f"{self.name}-{process}"
        folder.mkdir()
        config = folder / "config.json"
        config.write_text(json.dumps(self._configuration()))
        listen = f"{self.address[0]}:{self.address[1]}"
        environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith("LB_")}, "LB_NAME": self.name,
            "LB_LISTEN": listen, "LB_CONFIG": str(config), "PYTHONPATH": str(ROOT),
            "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        with open(folder / "log", "wb") as log:
            self.running = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "heronreel.proxy", env=environment, stdout=log, stderr=log, cwd=folder
            )
        engine.clock.update()
        self._started()
        await self._healthy()
        if process == self.process and not engine.over:
            self.alive, self.draining, self.killed = True, False, False
            world.front.change(self, True)
            engine.spawn(self._watch_end(self.running, process))

    async def _healthy(self) -> None:
        async with asyncio.timeout(READY_S):
            while True:
                try:
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                    if b" 200 " in line:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def _watch_end(self, running: asyncio.subprocess.Process, process: int) -> None:
        code = await running.wait()
        if not self.engine.over:
            self.engine.clock.update()
            if not self.draining and code != -signal.SIGKILL:
                self.engine.crashes.append(f"{self.name} ended by itself with {code}")
            self._end(process, not self.draining)

    def term(self, limit_ms: float) -> None:
        self.draining = True
        if self.running:
            self.running.send_signal(signal.SIGTERM)
        self.world.events.at(self.world.events.now + limit_ms, self._kill_process, self.process)

    def _kill_process(self, process: int) -> None:
        if process == self.process and self.alive and self.running and self.running.returncode is None:
            self.killed = not self.draining
            self.running.kill()

    def kill(self) -> None:
        self._kill_process(self.process)

    def _end_if_done(self) -> None:
        """Its process ends by itself, and `_watch_end` sees it."""

    def _end(self, process: int, killed: bool) -> None:
        self.clients.close()
        super()._end(process, killed)

    def reload(self) -> None:
        if self.running and self.running.returncode is None:
            self.running.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        if self.running and self.running.returncode is None:
            self.running.kill()
            await self.running.wait()
        if self.list_server:
            self.list_server.close()
        self.clients.close()

    def _configuration(self) -> dict[str, Any]:
        """What the platform tells a proxy, in its words; times are stretched as the clock is."""
        engine, rehearsal = self.engine, self.world.rehearsal
        scale, rules, proxies, prices = (
            engine.clock.scale,
            rehearsal.rules,
            rehearsal.proxies,
            rehearsal.prices,
        )
        told = self.settings
        assert self.list_server
        host, port = self.list_server.sockets[0].getsockname()
        return {
            "name": self.name, "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"{host}:{port}",
            "seed": f"{self.seeds.seed():x}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self._lines(True, list(self.known.values())),
            "settings": {
                "Balancers": proxies.count, "SlotNo": self.slot, "Zone": self.zone,
                "FailureDomains": list(rehearsal.fleet.zones), "Discovery": "ask",
                "Categories": [
                    {
                        "Name": k.name, "OnTimeMs": k.aim_ms * scale, "HardLimitMs": k.deadline_ms * scale,
                        "Worth": k.worth, "LateWorth": k.late_worth, "Effect": EFFECTS[k.effect],
                        "DedupScope": SCOPES[k.group],
                        "RepeatWindowMs": k.window_ms * scale if k.effect == "keyed" else 0.0,
                    }
                    for k in rehearsal.classes
                ],
                "Tenants": [
                    {"Name": t.name, "Portion": t.share, "QuotaPerS": t.quota_per_s / scale}
                    for t in told.tenants
                ],
                "Limits": {
                    "MostTries": proxies.max_attempts, "SecondCopies": proxies.second_copies,
                    "RetryAfter": True,
                    "MaxRetryAfterMs": proxies.max_retry_after_ms * scale,
                    "ConnectTimeoutMs": proxies.connect_timeout_ms * scale, "ConnIdleMs": 15_000.0 * scale,
                },
                "Rules": {
                    "MustAskInMs": rules.ask_within_ms * scale, "DrainGraceMs": rules.drain_grace_ms * scale,
                    "ColdFrom": told.slow_start_from, "ColdMs": told.slow_start_ms * scale,
                    "OverloadFactor": rules.overload_factor, "FallMs": rules.fall_ms * scale,
                },
                "FamilyInfo": {"WarmKeys": told.key_affinity},
                "OverShareWorth": rehearsal.score.over_share_worth,
                "Deductions": {
                    "CrossZone": prices.cross_zone, "LateFail": prices.late_failure, "Waste": prices.waste,
                    "Connection": prices.connection, "Handshake": prices.handshake,
                },
            },
        }  # fmt: skip

    # The list.

    def _lines(self, whole: bool, entries: list[Entry]) -> dict[str, Any]:
        self.index += 1
        rows = []
        for entry in entries:
            host, port = self.engine.servers[entry.ident].address
            since = self.engine.unix_ms + entry.since * self.engine.clock.scale if entry.since else 0.0
            rows.append({
                "name": entry.name, "address": f"{host}:{port}", "zone": entry.zone, "type": entry.kind,
                "group": entry.rack, "status": STATUS[entry.shape], "weight": 1.0, "since_ms": since,
            })  # fmt: skip
        return {"index": self.index, "snapshot": whole, "endpoints": rows}

    def call(self, peer: ListPeer) -> None:
        now = self.engine.clock.update()
        self.peer = peer
        self.world.observer.asks(self.name, now, True)
        self.world.judge.meter.list_calls += 1
        self.world.lists.call(self)

    def call_over(self, peer: ListPeer) -> None:
        if peer is self.peer:
            self.engine.clock.update()
            self.peer = None
            self.world.lists.end(self)
            self.world.observer.asks(self.name, self.engine.clock.now, False)

    def _listens(self) -> bool:
        return self.peer is not None

    def _pass_on(self, whole: bool, entries: list[Entry]) -> None:
        assert self.peer
        if whole:
            self.peer.begin()
            self.engine.loop.call_later(HEARTBEAT_S, self._beat, self.peer)
        self.peer.write(self._lines(whole, entries))

    def _beat(self, peer: ListPeer) -> None:
        if peer is self.peer and peer.streams and not self.engine.over:
            peer.write(None)
            self.engine.loop.call_later(HEARTBEAT_S, self._beat, peer)

    def call_failed(self) -> None:
        if self.peer is not None:
            peer, self.peer = self.peer, None
            self.world.observer.asks(self.name, self.engine.clock.now, False)
            peer.fail()

    # Requests.

    def arrive(self, ask: Ask, left_ms: float) -> None:
        self._take(ask)
        self.engine.count()
        self.engine.asks[b"%016x" % ask.ident] = ask
        self.engine.spawn(self._carry(ask, left_ms))

    async def _carry(self, ask: Ask, left_ms: float) -> None:
        scale = self.engine.clock.scale
        wait_s = (left_ms + DEADLINE_SLACK_MS) * scale / 1000.0
        status, body, caller = await self.clients.exchange(self._head(ask, left_ms), wait_s)
        self.engine.clock.update()
        self.engine.asks.pop(b"%016x" % ask.ident, None)
        if ask.over or self.engine.over or self.killed:
            return  # what a killed process has in hand is cut off with it
        if caller is None:
            self._over(ask)
            self.world.observer.left(ask.ident)  # it was never taken
            self.world.clients.unreachable(ask.line)
        elif not status or (status == 200 and body != b"%x" % ask.ident):
            self._overdue(ask)
        else:
            what = "served" if status == 200 else "refused" if status in (429, 503) else "failed"
            self._finish(ask, what, caller.retry_after_s * 1000.0 / scale)

    def _head(self, ask: Ask, left_ms: float) -> bytes:
        klass, line, scale = ask.klass, ask.line, self.engine.clock.scale
        lines = [
            f"{'GET' if klass.effect == 'safe' else 'POST'} /{klass.name}/{line.key:x} HTTP/1.1", "Host: x",
            f"X-Request-Id: {ask.ident:016x}", f"X-Class: {klass.name}",
            f"X-Deadline-Ms: {int(left_ms * scale)}",
        ]  # fmt: skip
        if line.tenant:
            lines.append(f"X-Tenant: {line.tenant}")
        if hint := self.world.hint_of(line):
            lines.append(f"X-Cost-Hint: {int(hint * scale * 1000.0)}")
        if klass.effect == "keyed":
            lines.append(f"Idempotency-Key: {line.ident:032x}")
        if ask.retry and self.world.rehearsal.clients.marks:
            lines.append("X-Retry: 1")
        if klass.effect != "safe":
            lines.append("Content-Length: 2")
        return "\r\n".join([*lines, "", ""]).encode() + (b"xx" if klass.effect != "safe" else b"")

    def _ended(self, attempt: Any, outcome: Any) -> None:
        """The answer of a node's model arrives: its connection carries it."""
        attempt.connection.answer(attempt, outcome)

    def node_died(self, node: Any) -> None:
        self.engine.servers[node.ident].died()
