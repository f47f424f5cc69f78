"""The proxy's program: start, reload on SIGHUP, graceful shutdown on SIGTERM, and the exit status."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from heronreel.proxy import shared_state
from heronreel.proxy.client_listener import ClientListener
from heronreel.proxy.config import Config, load
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.drain import drain, record_signal_time, run_until_exit
from heronreel.proxy.errors import ConfigError
from heronreel.proxy.logs import NOT_RATE_LIMITED, log_to_stderr
from heronreel.proxy.memory_report import MemoryReport
from heronreel.proxy.shared_state import SharedState

if TYPE_CHECKING:
    from heronreel.proxy.admin_api import AdminServer

# How long a successor waits for a list from discovery.  It must serve within 6 s.
SUCCESSOR_LIST_TIMEOUT_S = 3.0
# How long a process waits for a list from a local agent, which responds unless discovery is down.
PUSHED_LIST_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.02
# By then the predecessor has noticed a successor and told the ids of its requests, also if it was held up.
IDS_TOLD_WITHIN_S = 3 * shared_state.POLL_INTERVAL_S
EXIT_UNUSABLE = 2  # the configuration or an address can't be used

log = logging.getLogger(__name__)


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    Raises:
        OSError: An address can't be bound.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_exception)
    stop: asyncio.Future[float] = loop.create_future()  # when the stop signal arrived
    reload = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, record_signal_time, stop)
    # Installed before the slower steps of the start: the default action of SIGHUP ends the process.
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    dispatcher = Dispatcher(loop, config)
    clients = ClientListener(loop, config, dispatcher)
    inherited, shared = inherited_descriptor(os.environ), open_shared_state(os.environ, config)
    registered_at = time.monotonic()
    ready = asyncio.Event()
    admin = None
    if config.admin_address:
        admin = _start_admin_api(loop, config.admin_address, dispatcher, clients, shared, ready)
    if inherited is not None and shared and _finds_any(shared.other_serving_processes):
        # The predecessor serves until this process has a list from discovery too.
        await _wait_for_list(dispatcher, SUCCESSOR_LIST_TIMEOUT_S, stop)
    elif config.discovery and not config.settings.watch_list:
        # Draining backends must get no new requests.  The agent's list counts as notified from the start of
        # this process, and the list in the file may be old.
        await _wait_for_list(dispatcher, PUSHED_LIST_TIMEOUT_S, stop)
    if shared and _finds_any(shared.other_processes):
        await asyncio.sleep(max(0.0, registered_at + IDS_TOLD_WITHIN_S - time.monotonic()))
    dispatcher.measure_base_memory()
    log.info("listening on %s:%d", *clients.listen(config.listen, inherited), extra=NOT_RATE_LIMITED)
    ready.set()
    gc.collect()
    gc.freeze()  # objects that live as long as the process need not be scanned again
    MemoryReport(
        loop, lambda: clients.config.memory_bytes, dispatcher.memory, lambda: len(clients.connections)
    )
    reloading = loop.create_task(_reload_on_signal(reload, dispatcher, clients))
    signalled_at = await stop
    has_successor = _begin_draining(shared) and inherited is not None
    await drain(clients, signalled_at, has_successor)
    if admin:
        await admin.close()
    if shared:
        shared.unregister_process()
    reloading.cancel()


def _begin_draining(shared: SharedState | None) -> bool:
    """Tell the proxy's other processes that this one drains, and return whether another one serves."""
    if shared is None:
        return False
    try:
        shared.begin_draining()
    except OSError as error:
        log.error("shared folder: %s; other processes may take this one for a successor", error)
    return _finds_any(shared.other_serving_processes)


def _finds_any(find_processes: Callable[[], list[int]]) -> bool:
    """Return whether a look at the shared folder finds a process; a failure is logged and finds none."""
    try:
        return bool(find_processes())
    except OSError as error:
        log.error("shared folder: %s; no other process is known", error)
        return False


def inherited_descriptor(environ: Mapping[str, str]) -> int | None:
    """Return the descriptor of an inherited listening socket, which the parent keeps open for successors."""
    number = environ.get("LB_ACCEPT_FD", "")
    return int(number) if number.isascii() and number.isdigit() else None


def open_shared_state(environ: Mapping[str, str], config: Config) -> SharedState | None:
    """Open the state that this proxy's processes share; None without an admin API or without a folder."""
    if not config.admin_address or not environ.get("TMPDIR"):
        return None
    try:
        shared = SharedState(Path(environ["TMPDIR"]) / f"heronreel-{config.name}")
        shared.register_process()
    except OSError as error:
        log.error("shared folder: %s; cordons end with this process", error)
        return None
    return shared


def _start_admin_api(
    loop: asyncio.AbstractEventLoop,
    address: tuple[str, int],
    dispatcher: Dispatcher,
    clients: ClientListener,
    shared: SharedState | None,
    ready: asyncio.Event,
) -> AdminServer:
    # Imported here so that a proxy without an admin API does not load it.
    from heronreel.proxy.admin_api import AdminCommands, AdminServer

    commands = AdminCommands(loop, dispatcher, clients, shared)
    commands.synchronize()  # cordons apply from the first request on
    server = AdminServer(
        loop, lambda: ready.is_set() and not clients.draining and dispatcher.is_serving(), commands.execute
    )
    log.info("admin API on %s:%d", *server.listen(address), extra=NOT_RATE_LIMITED)
    return server


async def _wait_for_list(dispatcher: Dispatcher, timeout_s: float, stop: asyncio.Future[float]) -> None:
    """Wait until discovery has sent a list with a backend, until `stop`, or for `timeout_s` at most."""
    ends_at = time.monotonic() + timeout_s
    while not (dispatcher.has_received_list and dispatcher.is_serving()) and time.monotonic() < ends_at:
        if stop.done():
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _reload_on_signal(
    requested: asyncio.Event, dispatcher: Dispatcher, clients: ClientListener
) -> None:
    """Apply a new configuration on SIGHUP, whole or not at all; signals that arrive together count once."""
    while True:
        await requested.wait()
        requested.clear()
        try:
            config = load(os.environ)
            dispatcher.reload(config)
            clients.reload(config)
        except ConfigError as error:
            log.error("reload: %s; the old configuration stays in force", error, extra=NOT_RATE_LIMITED)
        except Exception as error:  # a failed reload must not end the service
            log.exception("reload: %s", error)
        else:
            log.info(
                "reload: done, discovery is %s:%d", *(config.discovery or ("", 0)), extra=NOT_RATE_LIMITED
            )


def _log_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception")
    log.error("%s: %s: %s", context.get("message"), type(error).__name__, error)


def main() -> int:
    """Run the proxy that the environment describes, and return the exit status."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"heronreel: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    log_to_stderr(config.name)
    try:
        uvloop.run(run_until_exit(serve(config)))
    except OSError as error:
        print(f"heronreel: LB_LISTEN: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return 0


if __name__ == "__main__":
    sys.exit(main())
