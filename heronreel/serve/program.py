"""The process of `heronreel serve`: start, readiness, SIGHUP, SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable, Collection
from dataclasses import replace

import uvloop

from heronreel.balancer.pools import Pools
from heronreel.proxy.client_listener import ClientListener
from heronreel.proxy.config import Config, load
from heronreel.proxy.dispatcher import Dispatcher
from heronreel.proxy.drain import drain, record_signal_time, run_until_exit
from heronreel.proxy.errors import ConfigError
from heronreel.proxy.logs import NOT_RATE_LIMITED, log_to_stderr
from heronreel.routes.findings import Finding, Report
from heronreel.routes.model import Problem, RoutesFile
from heronreel.routes.proof import platform_limits
from heronreel.serve.files import check_file
from heronreel.serve.policies import Router, config_of, discovered_pool, members_of

log = logging.getLogger(__name__)


def read_report(path: str, platform: Config | None = None) -> Report:
    """The report on a file; what can't be served is a finding too.

    On a platform the file is held against its settings, and its one pool is the platform's.
    """
    report = check_file(path, platform_limits(platform.settings) if platform else None)
    if report.file is None or not report.safe:
        return report
    if platform:
        pools = report.file.pools
        for name, table in (("fleet", report.file.fleet), ("probe", report.file.probe)):
            if table is not None:
                line = report.file.line(name)
                problem = Problem(line, name, "is of no use on a platform", "leave it out", "unserved")
                return Report(report.file, (Finding(problem),))
        if [pool.discovered for pool in pools.values()] != [True]:
            problem = Problem(
                0, "pools", "others than the platform's", 'one, discovery = "platform"', "unserved"
            )
            return Report(report.file, (Finding(problem),))
        return report
    return Report(report.file, tuple(_unserved(report.file)), report.index)


def _unserved(file: RoutesFile) -> list[Finding]:
    """What a file for the platform may lack, and a proxy of its own may not."""
    found = []
    if not file.listeners:
        found.append(Problem(0, "listeners", "none", "at least one table under [[listeners]]", "unserved"))
    if discovered_pool(file) and file.process.discovery is None:
        right = 'discovery = "ADDRESS:PORT" in [proxy]'
        found.append(
            Problem(
                file.line("pools"),
                "pools",
                "members come from discovery, and none is named",
                right,
                "unserved",
            )
        )
    return [Finding(problem) for problem in found]


class Server:
    """A proxy and its listeners, fed by one file at a time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: str, file: RoutesFile, platform: Config | None = None
    ) -> None:
        self.path = path
        self.file = file
        self.platform = platform is not None
        config = platform or config_of(file)
        self.pools = Pools(config.settings, config.seed, discovered_pool(file))
        self.fleet_member = None
        if file.fleet is not None:  # nothing of it is loaded otherwise
            from heronreel.serve.fleet import FleetMember

            self.fleet_member = FleetMember(file)
        make = Dispatcher if self.fleet_member is None else self.fleet_member.make_proxy
        self.proxy = make(loop, config, self.pools, Router(file))
        self.config = config
        self.down: Collection[tuple[str, str]] = ()  # members that probes found down
        self.health_checks = None
        if file.probe is not None:
            from heronreel.serve.health_checks import HealthChecks

            self.health_checks = HealthChecks(file, self.mark_down)
        self.clients = ClientListener(loop, config, self.proxy)

    def listen(self) -> dict[str, tuple[str, int]]:
        """The address that each listener is bound to, by its name."""
        if self.platform:
            return {"clients": self.clients.listen(self.clients.address)}
        return {row.name: self.clients.listen(row.address) for row in self.file.listeners}

    def mark_down(self, down: Collection[tuple[str, str]]) -> None:
        """Probes found these down, and no others: nothing new goes to them."""
        self.down = down
        self.config = replace(self.config, endpoints=members_of(self.file, down))
        self.proxy.reload(self.config)

    async def reload(self) -> Report:
        """Take the file as it is now, whole or not at all.

        Nothing is changed before all of the new file is ready, which takes seconds with thousands of routes:
        a thread makes it ready, so that the loop goes on answering.  Requests under way keep the policy they
        began with; those of pools that are gone end where they are.
        """
        platform = load(os.environ) if self.platform else None
        report = await asyncio.to_thread(read_report, self.path, platform)
        if report.file is None or not report.safe:
            return report
        file = report.file
        router = await asyncio.to_thread(Router, file, report.index)
        config = platform if platform else await asyncio.to_thread(config_of, file, self.down)
        if not platform and [row.address for row in file.listeners] != [
            row.address for row in self.file.listeners
        ]:
            log.error("reload: listeners: new addresses need a restart; the old ones stay")
        if discovered_pool(file) != discovered_pool(self.file):
            problem = Problem(
                file.line("pools"), "pools", "another pool is discovered", "a restart", "unserved"
            )
            return Report(None, (Finding(problem),))
        old_probe = self.file.probe
        if self.fleet_member is not None:
            self.fleet_member.reload(file)
        elif file.fleet is not None:
            log.error("reload: fleet: a restart is needed to be one of a fleet")
        self.proxy.reload(config)
        self.clients.reload(config)
        self.proxy.router = router
        self.pools.route_limits.keep(route.name for route in file.routes)
        self.file, self.config = file, config
        if self.health_checks is not None and file.probe is not None:
            self.health_checks.reload(file)
        if file.probe != old_probe:
            log.error("reload: probe: changes need a restart; the old ones stay")
        return report


async def run(
    path: str,
    file: RoutesFile,
    ready: Callable[[dict[str, tuple[str, int]]], None],
    platform: Config | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then drain.  Raises OSError if a listener can't be bound."""
    loop = asyncio.get_running_loop()
    stop: asyncio.Future[float] = loop.create_future()  # when SIGTERM came
    reload = asyncio.Event()
    probing = None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, record_signal_time, stop)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    server = Server(loop, path, file, platform)
    bound = server.listen()
    ready(bound)
    if server.fleet_member is not None:
        server.fleet_member.start("{}:{}".format(*next(iter(bound.values()))), server.health_checks)
    elif server.health_checks is not None:
        probing = loop.create_task(server.health_checks.run())
    gc.collect()
    gc.freeze()
    reloading = loop.create_task(_reloads(reload, server))
    signalled_at = await stop
    log.info("draining")
    await drain(server.clients, signalled_at)
    if probing is not None:
        probing.cancel()
    if server.fleet_member is not None:
        await server.fleet_member.stop()
    reloading.cancel()


async def _reloads(requested: asyncio.Event, server: Server) -> None:
    while True:
        await requested.wait()
        requested.clear()
        try:
            log.info("reload: reading %s", server.path, extra=NOT_RATE_LIMITED)
            report = await server.reload()
        except ConfigError as error:
            log.error("reload: %s; the old file stays in force", error, extra=NOT_RATE_LIMITED)
            continue
        except Exception as error:  # a reload must never be what ends the service
            log.exception("reload: %s; the old file may stay in force", error)
            continue
        for finding in report.findings[:4]:
            log.error("reload: %s:%s", server.path, finding.problem)
        if report.safe:
            log.info("reload: done, %d routes", len(server.file.routes), extra=NOT_RATE_LIMITED)
        else:
            words = "reload: %d findings; the old file stays in force"
            log.error(words, len(report.findings), extra=NOT_RATE_LIMITED)


def main(path: str, on_platform: bool = False) -> int:
    """Serve a file; 0 after a drain, 1 for a file that is refused, 2 for an address that can't be bound."""
    try:
        platform = load(os.environ) if on_platform else None
    except ConfigError as error:
        print(f"heronreel: {error}", file=sys.stderr)
        return 2
    report = read_report(path, platform)
    for finding in report.findings:
        print(f"{path}:{finding}", file=sys.stderr)
    if report.file is None or not report.safe:
        return 1
    log_to_stderr(platform.name if platform else report.file.process.name)

    def ready(bound: dict[str, tuple[str, int]]) -> None:
        for name, address in bound.items():
            log.info(
                "listening on %s:%d for %s (process %d)", *address, name, os.getpid(), extra=NOT_RATE_LIMITED
            )

    try:
        uvloop.run(run_until_exit(run(path, report.file, ready, platform)))
    except OSError as error:
        print(f"heronreel: listeners: {error}", file=sys.stderr)
        return 2
    return 0
