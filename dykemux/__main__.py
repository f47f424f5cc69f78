"""Start, SIGTERM and exit code of one real proxy."""

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
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    proxy = Proxy(loop, config)
    clients = Clients(loop, config, proxy)
    await clients.listen(config.listen)
    gc.collect()
    gc.freeze()  # what lives as long as the process need not be searched again
    await stop.wait()
    await clients.drain()


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
