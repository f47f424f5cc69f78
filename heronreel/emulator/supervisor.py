"""What the platform does about proxy processes: SIGTERM, restarts, and the front end's view of them."""

from __future__ import annotations

from heronreel.emulator.context import SimulationContext
from heronreel.emulator.front_end import FrontEnd
from heronreel.emulator.proxy import Proxy

FRONT_END_LAG_MS = 300.0  # after SIGTERM new requests come for this long


class ProxySupervisor:
    """Restarts processes that have ended."""

    def __init__(self, context: SimulationContext, front_end: FrontEnd) -> None:
        self.context, self.events, self.front_end = context, context.events, front_end

    def terminate(self, proxy: Proxy) -> None:
        """Shut a process down gracefully."""
        if proxy.alive and not proxy.draining:
            proxy.terminate(self.context.rehearsal.proxies.shutdown_limit_ms)
            at = self.events.now + FRONT_END_LAG_MS
            self.events.schedule(at, self.front_end.set_available, proxy, False)

    def process_started(self, proxy: Proxy) -> None:
        """A process is ready for requests."""
        self.front_end.set_available(proxy, True)

    def process_ended(self, proxy: Proxy) -> None:
        """A process has ended: the front end finds out, and a new one is started."""
        now, rehearsal = self.events.now, self.context.rehearsal
        self.context.timeline.record(now, "ended", "proxy", [proxy.name])
        detected = now + rehearsal.front_end.detection_ms
        self.events.schedule(detected, self._end_detected, proxy, proxy.incarnation)
        self.events.schedule(now + rehearsal.proxies.restart_ms, proxy.start)

    def _end_detected(self, proxy: Proxy, incarnation: int) -> None:
        if proxy.incarnation == incarnation and not proxy.alive:
            self.front_end.set_available(proxy, False)
