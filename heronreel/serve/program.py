"""The process of `heronreel serve`: start, readiness, reload on SIGHUP and drain on SIGTERM."""

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

MAX_LOGGED_FINDINGS = 4  # The most findings of a rejected file that a reload logs.

log = logging.getLogger(__name__)


def read_report(path: str, platform: Config | None = None) -> Report:
    """Return the report on a file, with findings for whatever can't be served.

    On a platform the file is checked against the platform's settings, and its only pool must be the
    platform's.
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
                0, "pools", "are not the platform's pool alone", 'one, discovery = "platform"', "unserved"
            )
            return Report(report.file, (Finding(problem),))
        return report
    return Report(report.file, tuple(_unserved(report.file)), report.index)


def _unserved(file: RoutesFile) -> list[Finding]:
    """Return findings for settings that are missing.

    A file may omit them on a platform, but not for a proxy without one.
    """
    problems = []
    if not file.listeners:
        problems.append(Problem(0, "listeners", "none", "at least one table under [[listeners]]", "unserved"))
    if discovered_pool(file) and file.process.discovery is None:
        right = 'discovery = "ADDRESS:PORT" in [proxy]'
        problems.append(
            Problem(
                file.line("pools"),
                "pools",
                "members come from discovery, but its address is not set",
                right,
                "unserved",
            )
        )
    return [Finding(problem) for problem in problems]


class Server:
    """A proxy and its listeners, configured by one file at a time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: str, file: RoutesFile, platform: Config | None = None
    ) -> None:
        self.path = path
        self.file = file
        self.platform = platform is not None
        config = platform or config_of(file)
        self.pools = Pools(config.settings, config.seed, discovered_pool(file))
        self.fleet_member = None
        if file.fleet is not None:  # Proxies outside a fleet don't load its modules.
            from heronreel.serve.fleet import FleetMember

            self.fleet_member = FleetMember(file)
        make_proxy = Dispatcher if self.fleet_member is None else self.fleet_member.make_proxy
        self.proxy = make_proxy(loop, config, self.pools, Router(file))
        self.config = config
        self.down: Collection[tuple[str, str]] = ()  # members that health checks found down, by pool and name
        self.health_checks = None
        if file.probe is not None:
            from heronreel.serve.health_checks import HealthChecks

            self.health_checks = HealthChecks(file, self.mark_down)
        self.clients = ClientListener(loop, config, self.proxy)

    def listen(self) -> dict[str, tuple[str, int]]:
        """Bind all listeners; return the bound address of each by name."""
        self.proxy.measure_base_memory()
        if self.platform:
            return {"clients": self.clients.listen(self.clients.address)}
        return {row.name: self.clients.listen(row.address) for row in self.file.listeners}

    def mark_down(self, down: Collection[tuple[str, str]]) -> None:
        """Set the members that health checks found down; they get no new requests."""
        self.down = down
        self.config = replace(self.config, endpoints=members_of(self.file, down))
        self.proxy.reload(self.config)

    async def reload(self) -> Report:
        """Reload the file, completely or not at all.

        Nothing changes before the new file is ready.  With thousands of routes that takes seconds, so a
        thread prepares it while the event loop keeps serving.  Requests in progress keep the policy that they
        started with; those on a removed pool end on the backend that they use.
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
            log.error("reload: fleet: joining a fleet needs a restart")
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
    """Serve until SIGTERM or SIGINT, then drain.

    Raises:
        OSError: a listener can't be bound.
    """
    loop = asyncio.get_running_loop()
    stop: asyncio.Future[float] = loop.create_future()  # resolved with the time of the signal
    reload_requested = asyncio.Event()
    health_check_task = None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, record_signal_time, stop)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    server = Server(loop, path, file, platform)
    bound = server.listen()
    ready(bound)
    if server.fleet_member is not None:
        server.fleet_member.start("{}:{}".format(*next(iter(bound.values()))), server.health_checks)
    elif server.health_checks is not None:
        health_check_task = loop.create_task(server.health_checks.run())
    gc.collect()
    gc.freeze()
    reload_task = loop.create_task(_reload_on_request(reload_requested, server))
    signalled_at = await stop
    log.info("draining")
    await drain(server.clients, signalled_at)
    if health_check_task is not None:
        health_check_task.cancel()
    if server.fleet_member is not None:
        await server.fleet_member.stop()
    reload_task.cancel()


async def _reload_on_request(requested: asyncio.Event, server: Server) -> None:
    """Reload the file whenever it is requested; a failed reload leaves the old file in force."""
    while True:
        await requested.wait()
        requested.clear()
        try:
            log.info("reload: reading %s", server.path, extra=NOT_RATE_LIMITED)
            report = await server.reload()
        except ConfigError as error:
            log.error("reload: %s; the old file stays in force", error, extra=NOT_RATE_LIMITED)
            continue
        except Exception as error:  # A failed reload must not end the service.
            log.exception("reload: %s; the old file may stay in force", error)
            continue
        for finding in report.findings[:MAX_LOGGED_FINDINGS]:
            log.error("reload: %s:%s", server.path, finding.problem)
        if report.safe:
            log.info("reload: done, %d routes", len(server.file.routes), extra=NOT_RATE_LIMITED)
        else:
            message = "reload: %d findings; the old file stays in force"
            log.error(message, len(report.findings), extra=NOT_RATE_LIMITED)


def main(path: str, on_platform: bool = False) -> int:
    """Serve a file and return the exit status.

    The status is 0 after a drain, 1 if the file is rejected, and 2 if the platform's configuration can't be
    loaded or an address can't be bound.
    """
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
