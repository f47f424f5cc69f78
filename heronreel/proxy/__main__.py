"""Start, SIGHUP, SIGTERM and exit code of one real proxy."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import uvloop

from heronreel.proxy.clients import Clients
from heronreel.proxy.config import Config, ConfigError, load
from heronreel.proxy.http1 import log_to_stderr
from heronreel.proxy.proxy import Proxy
from heronreel.proxy.shared import Shared

KNOWN_S = 3.0  # a successor waits so long for discovery; it is due to serve within 6 s
PUSHED_S = 1.0  # and a process whose agent has the list, which answers at once unless discovery is down

log = logging.getLogger(__name__)


async def serve(config: Config) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_exception)
    stop, reload = asyncio.Event(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # before anything else: what SIGHUP does by default is end the process
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    proxy = Proxy(loop, config)
    clients = Clients(loop, config, proxy)
    inherited, shared = _inherited(os.environ), _shared(os.environ, config)
    ready = asyncio.Event()
    if config.mgmt:
        await _take_orders(loop, config.mgmt, proxy, clients, shared, ready)
    if inherited is not None and shared and shared.others():
        await _known_to(proxy, KNOWN_S)  # the predecessor serves until we know as much as it does
    elif config.discovery and not config.settings.watch_list:
        # guards rule 3: what the agent has counts as told from our first moment on, and `known` may be old
        await _known_to(proxy, PUSHED_S)
    log.info("listening on %s:%d", *await clients.listen(config.listen, inherited))
    ready.set()
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be searched again
    reloading = loop.create_task(_reloads(reload, proxy, clients))
    await stop.wait()
    if shared:
        shared.resign()
    await clients.drain(succeeded=inherited is not None and bool(shared and shared.others()))
    reloading.cancel()


def _inherited(environ: Mapping[str, str]) -> int | None:
    """The descriptor of a listening socket that whoever started us holds open for our successors too."""
    number = environ.get("LB_ACCEPT_FD", "")
    return int(number) if number.isascii() and number.isdigit() else None


def _shared(environ: Mapping[str, str], config: Config) -> Shared | None:
    """What this proxy's processes share; only where operators call, and where there is a folder for it."""
    if not config.mgmt or not environ.get("TMPDIR"):
        return None
    try:
        shared = Shared(Path(environ["TMPDIR"]) / f"heronreel-{config.name}")
        shared.enrol()
    except OSError as error:
        log.error("shared folder: %s; holds end with this process", error)
        return None
    return shared


async def _take_orders(
    loop: asyncio.AbstractEventLoop,
    address: tuple[str, int],
    proxy: Proxy,
    clients: Clients,
    shared: Shared | None,
    ready: asyncio.Event,
) -> None:
    # only here: a proxy that nobody calls need not load it
    from heronreel.proxy.operators import Operators, Orders

    orders = Orders(loop, proxy, clients, shared)
    orders.look()  # before the first request: what was held stays held
    operators = Operators(
        loop, lambda: ready.is_set() and not clients.draining and proxy.serves(), orders.carry_out
    )
    log.info("operators call %s:%d", *await operators.listen(address))


async def _known_to(proxy: Proxy, most_s: float) -> None:
    """Until discovery has told a list, and at least some member is on it; `most_s` at most."""
    ends_at = time.monotonic() + most_s
    while not (proxy.heard and proxy.serves()) and time.monotonic() < ends_at:
        await asyncio.sleep(0.02)


async def _reloads(asked: asyncio.Event, proxy: Proxy, clients: Clients) -> None:
    """Take a new configuration on SIGHUP, as a whole or not at all; signals that come together count once."""
    while True:
        await asked.wait()
        asked.clear()
        try:
            config = load(os.environ)
            proxy.reload(config)
            clients.reload(config)
        except ConfigError as error:
            log.error("reload: %s; the old configuration stays in force", error)
        except Exception as error:  # a reload must never be what ends the service
            log.exception("reload: %s", error)
        else:
            log.info("reload: done, discovery is %s:%d", *(config.discovery or ("", 0)))


def _log_exception(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    error = context.get("exception")
    log.error("%s: %s: %s", context.get("message"), type(error).__name__, error)


def main() -> int:
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"heronreel: {error}", file=sys.stderr)
        return 2
    log_to_stderr(config.name)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"heronreel: LB_LISTEN: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
