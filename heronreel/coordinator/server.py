"""The process of the command `heronreel coordinate`."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

import structlog

from heronreel.coordination.settings import GroupConfig, parse_addresses
from heronreel.coordinator.compaction import CompactionTask
from heronreel.coordinator.disk import MemberDisk
from heronreel.coordinator.errors import UnknownMemberError
from heronreel.coordinator.http_listener import HttpListener, bind_socket
from heronreel.coordinator.node import EXIT_STOPPED, MemberNode

log = structlog.get_logger()


async def run_server(
    group: GroupConfig,
    name: str,
    disk: MemberDisk,
    listen: str | None,
    on_listening: Callable[[int], None],
    load_group: Callable[[], GroupConfig | None] = lambda: None,
) -> int:
    """Serve as the member `name` until SIGTERM or SIGINT.

    Args:
        group: The group's configuration.
        name: The name of the member to run.
        disk: The open disk of the member, which is closed at the end.
        listen: The address to listen on; None means the address in the configuration.
        on_listening: Called with the port once the server listens.
        load_group: Called on SIGHUP; returns the new configuration, or None if it is invalid.

    Returns:
        The process's exit code.

    Raises:
        UnknownMemberError: The configuration does not contain the member `name`.
        OSError: The socket can't be bound to the address; the disk is still open then.
    """
    member = group.member(name)
    if member is None:
        raise UnknownMemberError(f"{name!r} is not a member of the group")
    (address,) = parse_addresses([listen or member.address])
    listening_socket = bind_socket(address)
    node = MemberNode(group, name, disk)
    listener = HttpListener(node)
    await node.start()
    await listener.listen(listening_socket)
    _handle_signals(node, load_group)
    on_listening(listening_socket.getsockname()[1])
    code = await _run_until_exit(node)
    await node.stop()
    await listener.close()
    return code


def _handle_signals(node: MemberNode, load_group: Callable[[], GroupConfig | None]) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_exit, EXIT_STOPPED)
    loop.add_signal_handler(signal.SIGHUP, _reload, node, load_group)


def _reload(node: MemberNode, load_group: Callable[[], GroupConfig | None]) -> None:
    group = load_group()
    if group is None:
        log.error("configuration reload failed", member=node.name, reason="invalid configuration, see above")
    elif group.member(node.name) is None:
        log.error("configuration reload failed", member=node.name, reason="this member is not listed")
    else:
        node.reload(group)


async def _run_until_exit(node: MemberNode) -> int:
    if not node.group.settings.upkeep_s:
        return await node.exit_code
    compaction = asyncio.create_task(
        CompactionTask(node.group, node.name, node.disk, node.crash_points).run()
    )
    code = await node.exit_code
    compaction.cancel()
    await asyncio.gather(compaction, return_exceptions=True)
    return code
