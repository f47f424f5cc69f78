"""A running member: the core, connected to the clock, a timer, the disk and the other members.

The core (`KeyValueService` around `ConsensusMember`) makes all decisions and does no I/O.  `MemberNode`
passes events to the core, one at a time, and executes the outputs that it returns.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import secrets
import zlib
from collections.abc import Callable

import structlog

from heronreel.coordination import gateway_server
from heronreel.coordination.actions import Deposed, Elected, EraseDisk, Persist, Send
from heronreel.coordination.clock import boot_clock
from heronreel.coordination.consensus import ConsensusMember
from heronreel.coordination.crash_points import CrashPoints
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.kv_service import KeyValueService, LeaseExpired, Output, Outputs
from heronreel.coordination.messages import AnyMessage
from heronreel.coordination.model import Request, Response, prefix_end
from heronreel.coordination.request_batch import RequestCompleted
from heronreel.coordination.settings import GroupConfig
from heronreel.coordination.watches import WatchNotified
from heronreel.coordinator.claim_log import log_claim_changes
from heronreel.coordinator.disk import MemberDisk
from heronreel.coordinator.disk_writer import DiskWriter
from heronreel.coordinator.pending_requests import PendingRequests
from heronreel.coordinator.timers import EventTimer
from heronreel.coordinator.transport import PeerConnection, Transport
from heronreel.coordinator.watch_registry import WatchRegistry, WatchSubscription
from heronreel.leases.keys import CLAIM_PREFIX

EXIT_STOPPED = 0
EXIT_DISK_FAILED = 74  # EX_IOERR

log = structlog.get_logger()


class MemberNode:
    """One member of a group, without its HTTP interface.

    Attributes:
        service: The core; it is replaced when it restarts from the disk.
        exit_code: Completes with the exit code when the process should end.
    """

    def __init__(self, group: GroupConfig, name: str, disk: MemberDisk) -> None:
        """Create a member; `start` starts it.  An event loop must be running."""
        self.group = group
        self.name = name
        self.disk = disk
        self.clock = boot_clock()
        self.crash_points = CrashPoints()
        self.random = random.Random(secrets.randbits(64))
        self.transport = Transport(name, self.crash_points)
        self.request_ids = itertools.count(1)  # the ids of requests and watches
        self.pending_requests = PendingRequests()
        self.watches = WatchRegistry()
        self.claim_watch_id = 0  # the id of the watch whose events are logged
        self.disk_writer = DiskWriter(
            disk,
            self.crash_points,
            on_persisted=self._on_persisted,
            on_reset=self._restart_core,
            on_failed=lambda: self.request_exit(EXIT_DISK_FAILED),
        )
        self.timer = EventTimer(lambda: self.handle_event(self.service.tick))
        self.exit_code: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.stopping = False
        self.service = self._load_core()

    def _load_core(self) -> KeyValueService:
        member = ConsensusMember(
            self.name,
            (address.name for address in self.group.members),
            self.disk.durable,
            self.clock(),
            timing=self.group.timing,
            jitter=self.random.random,
        )
        return KeyValueService(member, max_clock_drift=self.group.settings.clock_drift)

    # -- start and stop

    async def start(self) -> None:
        """Connect to the other members, and start to take part in the group."""
        self.transport.update(self.group.members)
        self.handle_event(self.service.tick)

    def reload(self, group: GroupConfig) -> None:
        """Use the addresses of a reloaded configuration.

        The group decides its membership itself; the file does not change it.
        """
        self.group = group
        self.transport.update(group.members)
        names = [address.name for address in group.members]
        self.service.member.set_configured_members(names)
        log.info("configuration reloaded", member=self.name, listed=names)

    def request_exit(self, code: int) -> None:
        """Request that the process ends with this exit code; only the first request counts."""
        if not self.exit_code.done():
            self.exit_code.set_result(code)

    async def stop(self) -> None:
        """Fail all open requests, end all open watches, and close the disk."""
        self.stopping = True
        self.timer.cancel()
        self.pending_requests.fail_all(RequestError(StatusCode.UNKNOWN, "etcdserver: server stopped"))
        self.watches.end_all()
        self.transport.cancel()
        await self.disk_writer.wait_idle()
        await self.transport.close()
        await asyncio.to_thread(self.disk.close)

    # -- events and outputs of the core

    def handle_event(self, event: Callable[[float], Outputs]) -> None:
        """Pass an event to the core, execute its outputs, and set the timer for the next tick."""
        if self.stopping:
            return
        self._execute_outputs(event(self.clock()))
        self.timer.set(self.service.next_wakeup() - self.clock())

    def receive(self, message: AnyMessage) -> None:
        """Pass a message of another member to the core."""
        self.crash_points.reach("receive")

        def received(now: float) -> Outputs:
            return self.service.handle_actions(now, self.service.member.receive(now, message))

        self.handle_event(received)

    def _on_persisted(self, persist: Persist) -> None:
        for send in persist.sends:
            self.transport.send(send.to, send.message)

        def persisted(now: float) -> Outputs:
            return self.service.handle_actions(now, self.service.member.persisted(now, persist.number))

        self.handle_event(persisted)

    def _restart_core(self) -> None:
        """Restart the core from the disk, as after a crash: state that is not durable is lost."""
        outputs = self.service.stop_leading()
        self.disk_writer.discard_pending()
        self.service = self._load_core()
        self._execute_outputs(outputs)

    def _execute_outputs(self, outputs: Outputs) -> None:
        for output in outputs:
            self._execute_output(output)

    def _execute_output(self, output: Output) -> None:
        match output:
            case Send(to=to, message=message):
                self.transport.send(to, message)
            case Persist():
                self.disk_writer.persist(output)
            case RequestCompleted():
                self.pending_requests.complete(output)
            case WatchNotified():
                self._notify(output)
            case Elected(ballot=ballot):
                log.info("became leader", member=self.name, term=ballot.term)
                self.crash_points.reach("elected")
                self._watch_claims()
            case Deposed():
                log.info("leadership lost", member=self.name)
            case LeaseExpired(lease=lease):
                log.info("lease expired", member=self.name, lease=str(lease))
            case EraseDisk(reason=reason):
                log.warning("disk rollback detected", member=self.name, reason=reason)
                self.disk_writer.erase()

    def _notify(self, notification: WatchNotified) -> None:
        if notification.watch_id == self.claim_watch_id:
            log_claim_changes(self.name, notification)
        elif not self.watches.publish(notification):
            self.service.cancel_watch(notification.watch_id)

    def _watch_claims(self) -> None:
        self.claim_watch_id = next(self.request_ids)
        self._execute_outputs(
            self.service.watch(self.claim_watch_id, CLAIM_PREFIX, prefix_end(CLAIM_PREFIX), 0)
        )

    # -- clients

    def response_header(self) -> gateway_server.ResponseHeader:
        """Return the header of this member's responses."""
        member = self.service.member
        return gateway_server.ResponseHeader(
            _numeric_id(member.group_id), _numeric_id(self.name), member.ballot.term
        )

    async def request(self, request: Request) -> Response:
        """Have the group execute a client's request.

        Raises:
            RequestError: The request was not executed, or its outcome is unknown.
        """
        self._require_running()
        request_id = next(self.request_ids)
        timeout_s = self.group.settings.request_ms / 1000
        deadline = self.clock() + timeout_s
        self.pending_requests.add(request_id)
        self.handle_event(lambda now: self.service.submit(now, request_id, request, deadline))
        return await self.pending_requests.wait(request_id, timeout_s)

    def open_watch(self, watch_request: gateway_server.WatchRequest) -> WatchSubscription:
        """Open a watch; its first notification tells whether the core created it.

        Raises:
            RequestError: This member is stopping.
        """
        self._require_running()
        subscription = self.watches.open(next(self.request_ids))
        watch_id = subscription.watch_id
        self.handle_event(
            lambda _: self.service.watch(
                watch_id, watch_request.key, watch_request.end, watch_request.start_revision
            )
        )
        return subscription

    def _require_running(self) -> None:
        """Reject requests once `stop` has failed the open ones, since nothing would complete a later one.

        Raises:
            RequestError: This member is stopping.
        """
        if self.stopping:
            raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: server stopped")

    def close_watch(self, subscription: WatchSubscription) -> None:
        """End a watch."""
        self.watches.close(subscription.watch_id)
        self.service.cancel_watch(subscription.watch_id)

    def leader_connection(self) -> PeerConnection | None:
        """Return the connection to the leader; None if there is no leader or this member is the leader."""
        name = self.service.member.leader
        return self.transport.peers.get(name) if name is not None else None


def _numeric_id(name: str) -> int:
    """Return a numeric id for a name, because ids are numbers in etcd's interface."""
    return zlib.crc32(name.encode())
