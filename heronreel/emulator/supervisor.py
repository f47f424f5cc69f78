"""Models the platform that runs proxy processes: SIGTERM, restarts, and updates of the front end."""

from __future__ import annotations

from heronreel.emulator.context import SimulationContext
from heronreel.emulator.front_end import FrontEnd
from heronreel.emulator.proxy import Proxy

FRONT_END_LAG_MS = 300.0  # the front end sends new requests for this long after SIGTERM


class ProxySupervisor:
    """Terminates proxy processes, restarts them when they have ended, and informs the front end."""

    def __init__(self, context: SimulationContext, front_end: FrontEnd) -> None:
        self.context, self.events, self.front_end = context, context.events, front_end

    def terminate(self, proxy: Proxy) -> None:
        """Shut down a proxy's process gracefully."""
        if proxy.alive and not proxy.draining:
            proxy.terminate(self.context.rehearsal.proxies.shutdown_limit_ms)
            at = self.events.now + FRONT_END_LAG_MS
            self.events.schedule(at, self.front_end.set_available, proxy, False)

    def process_started(self, proxy: Proxy) -> None:
        """Let the front end send requests to a process that has started."""
        self.front_end.set_available(proxy, True)

    def process_ended(self, proxy: Proxy) -> None:
        """Schedule the detection of the end by the front end, and the start of a new process."""
        now, rehearsal = self.events.now, self.context.rehearsal
        self.context.timeline.record(now, "ended", "proxy", [proxy.name])
        detected = now + rehearsal.front_end.detection_ms
        self.events.schedule(detected, self._end_detected, proxy, proxy.incarnation)
        self.events.schedule(now + rehearsal.proxies.restart_ms, proxy.start)

    def _end_detected(self, proxy: Proxy, incarnation: int) -> None:
        if proxy.incarnation == incarnation and not proxy.alive:
            self.front_end.set_available(proxy, False)
