"""The process of one member: sockets, the disk and the clock around `KeyValueService`.

One address serves clients (the gateway's paths) and the other members (`/member`).  A member that does not
lead passes what clients ask to the one that does; one that knows none says 503 at once.  Whatever peers do
is bounded: in bytes, in time, in number.
"""

from __future__ import annotations

import asyncio
import functools
import json
import random
import secrets
import signal
import socket
import zlib
from collections import deque
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
import structlog
from aiohttp import web

from heronreel.coordination import gateway
from heronreel.coordination.clock import CrashPoints, boot_clock
from heronreel.coordination.consensus import (
    Accept,
    AnyMessage,
    ConsensusMember,
    Deposed,
    Elected,
    EraseDisk,
    Persist,
    Send,
)
from heronreel.coordination.kv_service import (
    KeyValueService,
    LeaseExpired,
    Outputs,
    RequestCompleted,
    WatchNotified,
)
from heronreel.coordination.model import (
    Request,
    RequestError,
    Response,
    ResponseOrError,
    StatusCode,
    prefix_end,
)
from heronreel.coordination.settings import Group, GroupTable, MemberAddress, addresses_of
from heronreel.coordinator.disk import MemberDisk
from heronreel.leases.lease import CLAIM_PREFIX, LeaseTerms
from heronreel.leases.session import LeaseSession
from heronreel.leases.task_runner import StepContext, TaskRunner
from heronreel.leases.tasks import Priority, Task
from heronreel.store import StoreError, StoreLockedError, WriteFailedError

CALL_MOST = 1 << 20  # bytes of a client's call
MEMBER_MOST = 24 << 20  # bytes of one call between members: a whole state and what goes with it
CONNECTIONS_MOST = 4096
IDLE_S = 30.0  # a connection without a call under way
BODY_S = 5.0  # for a call's body
QUEUE_BYTES = 16 << 20
QUEUE_MOST = 256  # messages that wait for one member
EMBEDDED = "embedded"  # the member of a group of one inside other processes
UPKEEP_S = 60.0  # that it may take
LOOK_S = 0.3  # between two looks at whether the disk is free
WATCH_MOST = 1000  # batches of events that wait for one watcher
VIA = "X-Heronreel-Via"
HELD = CLAIM_PREFIX  # a line is logged for each change of these

log = structlog.get_logger()
_messages = msgspec.msgpack.Decoder(list[AnyMessage])
_encode = msgspec.msgpack.Encoder().encode
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PeerConnection:
    """The way to one other member: what waits goes with the next call, and what can't go is dropped, since
    whoever needs an answer asks again.
    """

    def __init__(self, node: MemberNode, row: MemberAddress) -> None:
        self.node = node
        self.url = f"http://{row.address}/member"
        self.base = f"http://{row.address}"
        self.queue: deque[AnyMessage] = deque(maxlen=QUEUE_MOST)
        self.size = 0  # bytes of the rounds that wait
        self.fresh = asyncio.Event()
        self.task = asyncio.ensure_future(self._run())

    def send(self, message: AnyMessage) -> None:
        if isinstance(message, Accept):
            if self.queue and self.queue[-1] == message:
                return  # said again, before it went
            self.size += sum(len(data or b"") for _, data in message.writes)
        if self.size > QUEUE_BYTES:  # who is that far behind gets the whole state once it answers
            self.queue.clear()
            self.size = 0
        self.queue.append(message)
        self.fresh.set()

    async def _run(self) -> None:
        while True:
            await self.fresh.wait()
            self.fresh.clear()
            messages = list(self.queue)
            self.queue.clear()
            self.size = 0
            self.node.points.reach("send")
            try:
                async with self.node.session.post(self.url, data=_encode(messages)) as response:
                    await response.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                await asyncio.sleep(0.02)  # a member that is gone is not asked in a circle
            self.node.points.reach("sent")


class MemberNode:
    """One member at work."""

    def __init__(self, group: Group, name: str, disk: MemberDisk) -> None:
        self.group = group
        self.name = name
        self.disk = disk
        self.clock = boot_clock()
        self.points = CrashPoints()
        self.random = random.Random(secrets.randbits(64))
        self.links: dict[str, PeerConnection] = {}
        self.tickets = 0
        self.waiting: dict[int, asyncio.Future[ResponseOrError]] = {}
        self.watchers: dict[int, asyncio.Queue[WatchNotified]] = {}
        self.log_watch = 0
        self.to_keep: list[Persist] = []
        self.keeping: asyncio.Task[None] | None = None
        self.wiping = False
        self.timer: asyncio.TimerHandle | None = None
        self.over: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.ending = False
        self.service = self._begin()

    def _begin(self) -> KeyValueService:
        """The core, from what the disk holds."""
        member = ConsensusMember(
            self.name,
            (row.name for row in self.group.members),
            self.disk.durable,
            self.clock(),
            timing=self.group.timing,
            jitter=self.random.random,
        )
        return KeyValueService(member, drift=self.group.table.clock_drift)

    async def start(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0, connect=0.5)
        self.session = aiohttp.ClientSession(timeout=timeout, headers={"Content-Type": "application/msgpack"})
        self.forwards = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=None, connect=0.5))
        self.links = {
            row.name: PeerConnection(self, row) for row in self.group.members if row.name != self.name
        }
        self.event(self.service.tick)

    def regroup(self, group: Group) -> None:
        """Another file: others, or others' addresses.  Who is in the group is not the file's to say."""
        old = {row.name: row for row in self.group.members}
        self.group = group
        rows = {row.name: row for row in group.members if row.name != self.name}
        for name in [name for name in self.links if rows.get(name) != old.get(name)]:
            self.links.pop(name).task.cancel()
        for name, row in rows.items():
            if name not in self.links:
                self.links[name] = PeerConnection(self, row)
        self.service.member.relist(row.name for row in group.members)
        log.info("file taken", member=self.name, listed=[row.name for row in group.members])

    async def stop(self) -> None:
        """Answer nobody any more, and close the disk."""
        self.ending = True
        if self.timer is not None:
            self.timer.cancel()
        for future in self.waiting.values():
            if not future.done():
                future.set_result(RequestError(StatusCode.UNKNOWN, "etcdserver: server stopped"))
        for queue in self.watchers.values():
            queue.put_nowait(WatchNotified(0, 0, (), ended=True))
        for link in self.links.values():
            link.task.cancel()
        if self.keeping is not None:
            await asyncio.wait([self.keeping])
        await self.session.close()
        await self.forwards.close()
        await asyncio.to_thread(self.disk.close)

    # -- the core's events and actions

    def event(self, call: Callable[[float], Outputs]) -> None:
        """One event, what it comes to, and the next time to look."""
        if self.ending:
            return
        self.carry_out(call(self.clock()))
        if self.timer is not None:
            self.timer.cancel()
        delay = max(0.001, self.service.wake() - self.clock())
        self.timer = asyncio.get_running_loop().call_later(min(delay, 1.0), self.event, self.service.tick)

    def carry_out(self, outputs: Outputs) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self._send(output)
            elif isinstance(output, Persist):
                self.to_keep.append(output)
                self._keep_soon()
            elif isinstance(output, RequestCompleted):
                future = self.waiting.pop(output.ticket, None)
                if future is not None and not future.done():
                    future.set_result(output.answer)
            elif isinstance(output, WatchNotified):
                self._tell(output)
            elif isinstance(output, Elected):
                log.info("leads", member=self.name, round=output.ballot.round)
                self.points.reach("elected")
                self._watch_claims()
            elif isinstance(output, Deposed):
                log.info("leads no more", member=self.name)
            elif isinstance(output, LeaseExpired):
                log.info("lease ended", member=self.name, lease=str(output.lease))
            elif isinstance(output, EraseDisk):
                log.warning("disk set back", member=self.name, why=output.why)
                self.wiping = True
                self._keep_soon()

    def _send(self, send: Send) -> None:
        if send.to in self.links:  # else our file does not say where it is
            self.links[send.to].send(send.message)

    def _keep_soon(self) -> None:
        if self.keeping is None:
            self.keeping = asyncio.ensure_future(self._keep())

    async def _keep(self) -> None:
        """Write what waits for the disk, and go on with what waited for that.  The one place where the disk
        is touched, and where the core is begun anew, so that the two never tell different stories.
        """
        while self.to_keep or self.wiping:
            persists, self.to_keep = self.to_keep, []
            self.points.reach("write")
            try:
                if self.wiping:
                    await asyncio.to_thread(self.disk.wipe)
                else:
                    await asyncio.to_thread(self.disk.keep, persists)
            except (StoreError, OSError) as error:
                log.error("disk refuses", member=self.name, error=str(error))
                if not isinstance(error, WriteFailedError) or error.final:
                    self._over(74)
                    return
                await asyncio.sleep(0.1)
                self._restart()
                continue
            self.points.reach("written")
            if self.wiping:
                self.wiping = False
                self._restart()
                continue
            for persist in persists:
                for send in persist.then:
                    self._send(send)
                self.event(functools.partial(self._persisted, persist.number))
        self.keeping = None

    async def upkeep(self, work: StepContext) -> None:
        """The disk's upkeep, beside its writes, as a step of the task that one member does at a time."""
        log.info("upkeep begins", member=self.name, step=work.step, number=work.number)
        self.points.reach("compact")
        await asyncio.to_thread(self.disk.compact)
        self.points.reach("compacted")
        log.info("upkeep ends", member=self.name, step=work.step, number=work.number)

    async def tend(self) -> None:
        """Have the upkeep done once a period, by one member of the group at a time."""
        table = self.group.table
        task = Task("upkeep", table.upkeep_s, Priority.IDLE, step_s=UPKEEP_S, turns=True)
        terms = LeaseTerms(table.lease_s, table.margin_s, table.answer_s)
        addresses = [row.address for row in self.group.members]
        async with LeaseSession(addresses, self.name, terms) as holding:
            await TaskRunner(holding, self.name, {task: self.upkeep}, what=None).run()

    def _persisted(self, number: int, now: float) -> Outputs:
        return self.service.settle(now, self.service.member.persisted(now, number))

    def _restart(self) -> None:
        """Begin again from the disk, as after a crash: what was not durable is forgotten."""
        outputs = self.service.end()
        self.to_keep.clear()
        self.service = self._begin()
        self.carry_out(outputs)

    def _over(self, code: int) -> None:
        if not self.over.done():
            self.over.set_result(code)

    def _watch_claims(self) -> None:
        """Log each change of a holder, as the leader sees it."""
        self.tickets += 1
        self.log_watch = self.tickets
        self.carry_out(self.service.watch(self.log_watch, HELD, prefix_end(HELD), 0))

    def _tell(self, told: WatchNotified) -> None:
        if told.watch == self.log_watch:
            for event in told.events:
                task = event.key[len(HELD) :].decode(errors="replace")
                if event.record is None:
                    log.info("held by none", member=self.name, task=task, revision=event.revision)
                else:
                    holder = event.record.value.decode(errors="replace")[:200]
                    log.info("held", member=self.name, task=task, by=holder, number=event.record.create)
            return
        queue = self.watchers.get(told.watch)
        if queue is None:
            return
        if queue.qsize() >= WATCH_MOST:  # it does not read: it is told that it missed some
            self.service.unwatch(told.watch)
            del self.watchers[told.watch]
            queue.put_nowait(WatchNotified(told.watch, told.revision, (), compacted=told.revision))
            return
        queue.put_nowait(told)

    # -- clients

    def header(self) -> gateway.Header:
        member = self.service.member
        return gateway.Header(_number(member.group), _number(self.name), member.ballot.round)

    async def ask(self, request: Request) -> Response:
        """What the group answers.  Raises Refused."""
        self.tickets += 1
        ticket = self.tickets
        future: asyncio.Future[ResponseOrError] = asyncio.get_running_loop().create_future()
        self.waiting[ticket] = future
        seconds = self.group.table.request_ms / 1000
        until = self.clock() + seconds
        self.event(lambda now: self.service.ask(now, ticket, request, until))
        try:
            async with asyncio.timeout(seconds):
                answer = await future
        except TimeoutError:
            raise RequestError(StatusCode.DEADLINE_EXCEEDED, "etcdserver: request timed out") from None
        finally:
            self.waiting.pop(ticket, None)
        if isinstance(answer, RequestError):
            raise answer
        return answer

    def leader(self) -> PeerConnection | None:
        """The way to whoever leads, if that is another."""
        name = self.service.member.leader
        return self.links.get(name) if name is not None else None


def _number(name: str) -> int:
    return zlib.crc32(name.encode())


class HttpListener:
    """The member's address: an application of aiohttp, and a bound on what connections may take."""

    def __init__(self, node: MemberNode) -> None:
        self.node = node
        self.active: dict[object, int] = {}  # calls under way, by connection
        self.since: dict[object, float] = {}  # idle, by connection
        app = web.Application(client_max_size=MEMBER_MOST, middlewares=[self._bounded])
        app.router.add_post("/member", self._member)
        app.router.add_post(gateway.WATCH, self._watch)
        for path in gateway.PATHS:
            app.router.add_post(path, self._call)
        app.router.add_get("/health", self._health)
        self.runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=1.0, lingering_time=1.0
        )
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def listen(self, listener: socket.socket) -> None:
        await self.runner.setup()
        assert self.runner.server is not None
        make = self.runner.server

        def connected() -> asyncio.Protocol:
            protocol = make()
            self.since[protocol] = asyncio.get_running_loop().time()
            return protocol

        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(connected, sock=listener, backlog=512)
        self.sweeper = asyncio.ensure_future(self._sweep())

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
        await self.runner.cleanup()

    async def _sweep(self) -> None:
        """End connections that ask nothing, or never come to the end of asking; the longest idle go first
        where there are too many.
        """
        while True:
            await asyncio.sleep(1.0)
            now = asyncio.get_running_loop().time()
            idle = [(since, each) for each, since in self.since.items() if each not in self.active]
            idle.sort(key=lambda row: row[0])
            over = len(self.since) - CONNECTIONS_MOST
            for place, (since, protocol) in enumerate(idle):
                transport = getattr(protocol, "transport", None)
                if transport is None or transport.is_closing():
                    if now - since > 1.0:
                        del self.since[protocol]
                elif now - since > IDLE_S or place < over:
                    transport.abort()

    @web.middleware
    async def _bounded(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        protocol = request.protocol
        self.active[protocol] = self.active.get(protocol, 0) + 1
        try:
            return await handler(request)
        except RequestError as refused:
            status, body = gateway.refusal_of(refused)
            response = web.json_response(body, status=status)
            if "unread" in request:  # what is left of its body is not waited for
                response.force_close()
            return response
        finally:
            self.active.pop(protocol, None)
            self.since[protocol] = asyncio.get_running_loop().time()

    async def _body(self, request: web.Request, most: int) -> bytes:
        """The call's body.  Raises Refused for one over `most`, and for one that does not come."""
        if (request.content_length or 0) > most:
            request["unread"] = True
            raise RequestError(
                StatusCode.RESOURCE_EXHAUSTED, f"body: {request.content_length} bytes of at most {most}"
            )
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(BODY_S):
                async for part in request.content.iter_any():
                    size += len(part)
                    if size > most:
                        request["unread"] = True
                        raise RequestError(StatusCode.RESOURCE_EXHAUSTED, f"body: over {most} bytes")
                    parts.append(part)
        except TimeoutError:
            request["unread"] = True
            raise RequestError(StatusCode.INVALID_ARGUMENT, f"body: not here within {BODY_S:g} s") from None
        return b"".join(parts)

    async def _member(self, request: web.Request) -> web.Response:
        data = await self._body(request, MEMBER_MOST)
        try:
            messages = _messages.decode(data)
        except msgspec.MsgspecError as error:
            raise RequestError(StatusCode.INVALID_ARGUMENT, str(error)) from None
        for message in messages:
            self.node.points.reach("receive")
            self.node.event(functools.partial(self._received, message))
        return web.Response(status=204)

    def _received(self, message: AnyMessage, now: float) -> Outputs:
        service = self.node.service
        return service.settle(now, service.member.receive(now, message))

    async def _health(self, request: web.Request) -> web.Response:
        member = self.node.service.member
        led = member.leads or self.node.leader() is not None
        body = {
            "member": self.node.name, "leader": member.leader or "", "role": member.role.value,
            "disk": member.incarnation, "version": list(member.version), "disks": dict(member.members),
            "wish": None if member.wish is None else sorted(member.wish), "listed": list(member.listed),
            "promised": list(member.promised),
        }  # fmt: skip
        return web.json_response(body, status=200 if led else 503)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        data = await self._body(request, CALL_MOST)
        asked = gateway.request_of(request.path, data)
        if not self.node.service.member.leads:
            return await self._forward(request, data)
        self.node.points.reach("asked")
        raw = gateway.answer_of(self.node.header(), await self.node.ask(asked))
        self.node.points.reach("answer")
        if request.path in gateway.STREAMED:
            raw = {"result": raw}
        return web.json_response(raw)

    async def _forward(self, request: web.Request, data: bytes) -> web.StreamResponse:
        """Have the leader answer: one step on, and no further."""
        link = self.node.leader()
        if link is None or VIA in request.headers:
            raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: no leader")
        seconds = self.node.group.table.request_ms / 1000 + 0.5
        response: web.StreamResponse | None = None
        try:
            async with self.node.forwards.post(
                link.base + request.path, data=data, headers={VIA: self.node.name}
            ) as answer:
                if request.path != gateway.WATCH:
                    async with asyncio.timeout(seconds):
                        body = await answer.read()
                    return web.Response(body=body, status=answer.status, content_type="application/json")
                headers = {"Content-Type": "application/json"}
                response = web.StreamResponse(status=answer.status, headers=headers)
                await response.prepare(request)
                async for part in answer.content.iter_any():
                    await response.write(part)
                return response
        except aiohttp.ClientConnectorError:
            raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: the leader is not reached") from None
        except (aiohttp.ClientError, TimeoutError, OSError):
            if response is not None:
                request.protocol.force_close()
                return response
            raise RequestError(StatusCode.UNKNOWN, "etcdserver: the leader did not answer") from None

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        data = await self._body(request, CALL_MOST)
        asked = gateway.watch_of(data)
        node = self.node
        if not node.service.member.leads:
            return await self._forward(request, data)
        node.tickets += 1
        number = node.tickets
        queue: asyncio.Queue[WatchNotified] = asyncio.Queue()
        node.watchers[number] = queue
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        try:
            node.event(lambda _: node.service.watch(number, asked.key, asked.end, asked.start))
            first = await queue.get()
            if first.ended:
                raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: no leader, or too many watches")
            await response.prepare(request)
            created = {"header": node.header().at(first.revision), "created": True}
            await response.write(_line(created))
            told: WatchNotified | None = first
            while told is not None:
                if told.compacted:
                    head = node.header().at(told.revision)
                    end = {"header": head, "canceled": True, "compact_revision": str(told.compacted)}
                    await response.write(_line(end))
                    break
                if told.ended:
                    request.protocol.force_close()
                    break
                if told.events:
                    line = gateway.events_of(node.header(), told.revision, told.events, asked.previous)
                    await response.write(_line(line))
                told = await queue.get()
            return response
        except (ConnectionError, OSError):
            return response
        finally:
            node.watchers.pop(number, None)
            node.service.unwatch(number)


def _line(result: gateway.Json) -> bytes:
    return json.dumps({"result": result}, separators=(",", ":")).encode() + b"\n"


class EmbeddedServer:
    """A group of one inside the processes of one machine: whichever of them has the disk serves the others,
    and when it ends another goes on.  The disk's own lock says who.
    """

    def __init__(self, address: str, folder: str) -> None:
        """Members of one machine name the same address and folder."""
        self.group = Group((MemberAddress(EMBEDDED, address, folder),), GroupTable())
        self.folder = folder
        self.serving = False

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            try:
                disk = await asyncio.to_thread(MemberDisk, self.folder, EMBEDDED)
            except StoreLockedError:
                await asyncio.sleep(LOOK_S)  # another process of this machine serves
                continue
            except (StoreError, OSError) as error:
                log.error("does not serve", member=EMBEDDED, error=str(error))
                await asyncio.sleep(10 * LOOK_S)
                continue
            await self._serve(disk)

    async def _serve(self, disk: MemberDisk) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(addresses_of([self.group.members[0].address])[0])
        except OSError as error:
            log.error("does not serve", member=EMBEDDED, error=str(error))
            listener.close()
            await asyncio.to_thread(disk.close)
            await asyncio.sleep(10 * LOOK_S)
            return
        node = MemberNode(self.group, EMBEDDED, disk)
        front = HttpListener(node)
        await node.start()
        await front.listen(listener)
        log.info("listens", member=EMBEDDED, port=listener.getsockname()[1])
        self.serving = True
        try:
            await node.over  # the disk can't be used any more
        finally:
            self.serving = False
            await node.stop()
            await front.close()


async def run_server(
    group: Group,
    name: str,
    disk: MemberDisk,
    listen: str | None,
    ready: Callable[[int], None],
    reread: Callable[[], Group | None] = lambda: None,
) -> int:
    """Serve as the member `name` until SIGTERM; the exit code.  `ready` is told the port; at SIGHUP `reread`
    gives the group as its file has it by then, or None where that can't be taken.
    """
    row = group.row(name)
    assert row is not None
    (address,) = addresses_of([listen or row.address])
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    node = MemberNode(group, name, disk)
    front = HttpListener(node)
    await node.start()
    await front.listen(listener)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node._over, 0)

    def again() -> None:
        fresh = reread()
        if fresh is not None and fresh.row(name) is not None:
            node.regroup(fresh)
        else:
            log.error("file not taken", member=name, why="see above" if fresh is None else "names us no more")

    loop.add_signal_handler(signal.SIGHUP, again)
    ready(listener.getsockname()[1])
    tending = asyncio.ensure_future(node.tend()) if group.table.upkeep_s else None
    code = await node.over
    if tending is not None:
        tending.cancel()
        await asyncio.gather(tending, return_exceptions=True)
    await node.stop()
    await front.close()
    return code
