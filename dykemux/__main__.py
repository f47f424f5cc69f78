"""Start, SIGHUP, SIGTERM and exit code of one real proxy."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import Any

import uvloop

from dykemux.clients import Clients
from dykemux.config import Config, ConfigError, load
from dykemux.http1 import log_to_stderr
from dykemux.proxy import Proxy

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
    log.info("listening on %s:%d", *await clients.listen(config.listen))
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be searched again
    reloading = loop.create_task(_reloads(reload, proxy, clients))
    await stop.wait()
    await clients.drain()
    reloading.cancel()


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
        print(f"dykemux: {error}", file=sys.stderr)
        return 2
    log_to_stderr(config.name)
    try:
        uvloop.run(serve(config))
    except OSError as error:
        print(f"dykemux: LB_LISTEN: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
