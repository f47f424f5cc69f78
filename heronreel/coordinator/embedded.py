"""A group of one member that runs inside one of several processes on a machine."""

from __future__ import annotations

import asyncio

import structlog

from heronreel.coordination.settings import GroupConfig, GroupSettings, MemberAddress, parse_addresses
from heronreel.coordinator.disk import MemberDisk
from heronreel.coordinator.http_listener import HttpListener, bind_socket
from heronreel.coordinator.node import MemberNode
from heronreel.store import StoreError, StoreLockedError

MEMBER_NAME = "embedded"  # The name is stored on the member's disk.
LOCK_RETRY_S = 0.3  # The retry interval while another process holds the lock of the disk.
FAILURE_RETRY_S = 3.0  # The delay before the next attempt after the start has failed.

log = structlog.get_logger()


class EmbeddedServer:
    """The server in one of several processes that may run the member.

    The process that holds the lock of the disk serves the others; when it ends, another one takes over.
    """

    def __init__(self, address: str, folder: str) -> None:
        """Create a server that `run` starts; the processes of one machine share `address` and `folder`."""
        self.group = GroupConfig((MemberAddress(MEMBER_NAME, address, folder),), GroupSettings())
        self.folder = folder

    async def run(self) -> None:
        """Serve whenever this process obtains the lock of the disk, until cancelled."""
        while True:
            try:
                disk = await asyncio.to_thread(MemberDisk, self.folder, MEMBER_NAME)
            except StoreLockedError:
                await asyncio.sleep(LOCK_RETRY_S)
                continue
            except (StoreError, OSError) as error:
                log.error("start failed", member=MEMBER_NAME, error=str(error))
                await asyncio.sleep(FAILURE_RETRY_S)
                continue
            await self._serve(disk)

    async def _serve(self, disk: MemberDisk) -> None:
        (address,) = parse_addresses([self.group.members[0].address])
        try:
            listening_socket = bind_socket(address)
        except OSError as error:
            log.error("start failed", member=MEMBER_NAME, error=str(error))
            await asyncio.to_thread(disk.close)
            await asyncio.sleep(FAILURE_RETRY_S)
            return
        node = MemberNode(self.group, MEMBER_NAME, disk)
        listener = HttpListener(node)
        await node.start()
        await listener.listen(listening_socket)
        log.info("listening", member=MEMBER_NAME, port=listening_socket.getsockname()[1])
        try:
            await node.exit_code  # Completes only if the disk fails.
        finally:
            await node.stop()
            await listener.close()
