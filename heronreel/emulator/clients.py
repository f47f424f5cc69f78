"""Client behaviour: attempts, retries with backoff, Retry-After and patience.

With open arrivals, requests are due at times that do not depend on the responses.  With closed arrivals, each
user sends its next request after a think time that starts at the last response.  The proxy of an attempt
depends only on the numbers of the request and the attempt, and on which proxies are available.
"""

from __future__ import annotations

from collections.abc import Callable

from heronreel.emulator.client_request import ClientRequest, RequestResult
from heronreel.emulator.context import SimulationContext
from heronreel.emulator.front_end import FrontEnd
from heronreel.emulator.proxy import Proxy
from heronreel.emulator.random_streams import RandomStream, hashed_uniform
from heronreel.emulator.requests import InboundRequest
from heronreel.emulator.traffic import Traffic

MIN_TIME_LEFT_MS = 1.0
# Separate these uses of `hashed_uniform` from each other and from others.
HONOR_PURPOSE = 2
ABANDON_PURPOSE = 3


class ClientPool:
    """All clients of a rehearsal.  Times are ms."""

    def __init__(self, context: SimulationContext, traffic: Traffic, front_end: FrontEnd) -> None:
        self.context, self.traffic, self.front_end = context, traffic, front_end
        self.events, self.seed = context.events, context.streams.seed
        self.config = context.rehearsal.clients
        self.classes = context.rehearsal.classes
        self.arrival_stream: RandomStream = context.streams.stream("arrivals")
        self.inbound_requests = 0
        self.open_requests: dict[int, ClientRequest] = {}
        self.newest_attempts: dict[int, InboundRequest] = {}  # by client request
        self.on_finished: dict[int, Callable[[], None]] = {}  # called at the end of a closed user's request

    def start(self) -> None:
        """Start sending requests."""
        config = self.traffic.config
        if config.arrivals == "open":
            self._schedule_arrival(0.0)
            return
        for user in range(config.users):
            stream = self.context.streams.stream(f"user {user}")
            self.events.schedule(stream.uniform(0.0, config.think_ms), self._user_sends, stream)

    def stop_sending(self) -> None:
        """Stop creating new requests."""
        self.traffic.ends_at = self.events.now

    def _schedule_arrival(self, now: float) -> None:
        if now >= self.traffic.ends_at:
            return
        at, is_arrival = self.traffic.wait_for_arrival(now, self.arrival_stream)
        self.events.schedule(at, self._open_arrival if is_arrival else self._schedule_arrival, at)

    def _open_arrival(self, at: float) -> None:
        """Send the request that is due at `at`, and schedule the next one.

        On a wall clock this may run late; the next request is still scheduled from `at`.
        """
        if at < self.traffic.ends_at:
            self._send_new_request(self.arrival_stream, at)
            self._schedule_arrival(at)

    def _user_sends(self, stream: RandomStream) -> None:
        if self.events.now >= self.traffic.ends_at:
            return
        request = self._send_new_request(stream, self.events.now)

        def think() -> None:
            wait = stream.exponential(self.traffic.config.think_ms)
            self.events.schedule(self.events.now + wait, self._user_sends, stream)

        self.on_finished[request.ident] = think

    def _send_new_request(self, stream: RandomStream, due_at: float) -> ClientRequest:
        request = self.traffic.draw_request(stream, due_at)
        self.open_requests[request.ident] = request
        self.start_attempt(request)
        return request

    # Attempts.

    def start_attempt(self, request: ClientRequest) -> None:
        """Send an attempt of a request, either the first or a retry."""
        if request.result:
            return
        now, config, network = self.events.now, self.config, self.context.network
        deadline_ms = self.classes[request.class_index].deadline_ms
        request.attempts += 1
        time_left = deadline_ms * (
            config.attempt_timeout_share if request.attempts <= config.retries else 1.0
        )
        proxy = self.front_end.choose(request.zone, request.ident, request.attempts)
        if proxy is None or not proxy.alive:
            self.events.schedule(now + 2.0 * network.client_latency(), self.connect_failed, request)
            return
        if hashed_uniform(self.seed, request.ident, ABANDON_PURPOSE) < config.abandon_share:
            self.events.schedule(now + deadline_ms * config.abandon_after, self._abandon, request)
        self.events.schedule(
            now + network.client_latency(),
            self._reach_proxy,
            request,
            proxy,
            max(MIN_TIME_LEFT_MS, time_left),
            proxy.incarnation,
        )

    def _reach_proxy(
        self, client_request: ClientRequest, proxy: Proxy, time_left: float, incarnation: int
    ) -> None:
        if not proxy.alive or proxy.incarnation != incarnation:
            self.connect_failed(client_request)
            return
        self.inbound_requests += 1
        request = InboundRequest(
            self.inbound_requests,
            client_request,
            self.classes[client_request.class_index],
            proxy,
            self.events.now + time_left,
            client_request.attempts > 1,
        )
        self.newest_attempts[client_request.ident] = request
        proxy.receive(request, time_left)

    def _abandon(self, request: ClientRequest) -> None:
        """Disconnect the client before the request's deadline."""
        if not request.result:
            newest = self.newest_attempts.get(request.ident)
            if newest is not None:
                newest.proxy.client_disconnected(newest)
            self._finish(request, RequestResult.LEFT)

    def response_sent(self, request: InboundRequest, result: RequestResult, retry_after_ms: float) -> None:
        """Schedule the arrival of a proxy's response at the client after the network latency."""
        at = self.events.now + self.context.network.client_latency()
        self.events.schedule(at, self._response_received, request, result, retry_after_ms)

    def _response_received(
        self, request: InboundRequest, result: RequestResult, retry_after_ms: float
    ) -> None:
        client_request = request.client_request
        if client_request.result or self.newest_attempts.get(client_request.ident) is not request:
            return
        if result is RequestResult.SERVED:
            self._finish(client_request, result)
            return
        may_retry = result is RequestResult.REFUSED or request.request_class.effect == "safe"
        if not may_retry or not self._schedule_retry(client_request, retry_after_ms):
            self._finish(client_request, result)

    def connect_failed(self, client_request: ClientRequest) -> None:
        """Retry or fail a request whose client could not reach a proxy."""
        if not client_request.result and not self._schedule_retry(client_request, 0.0):
            self._finish(client_request, RequestResult.FAILED)

    def connection_lost(self, request: InboundRequest) -> None:
        """Retry or fail a request that was in flight when the proxy's process ended."""
        client_request = request.client_request
        if client_request.result:
            return
        if request.request_class.effect != "safe" or not self._schedule_retry(client_request, 0.0):
            self._finish(client_request, RequestResult.FAILED)

    def _schedule_retry(self, request: ClientRequest, retry_after_ms: float) -> bool:
        """Schedule a retry after the backoff or Retry-After; return whether the client retries."""
        config = self.config
        if request.attempts > config.retries:
            return False
        wait = config.backoff_ms * (2.0 ** (request.attempts - 1) if config.backoff == "exp" else 1.0)
        if retry_after_ms:
            honors = hashed_uniform(self.seed, request.ident, HONOR_PURPOSE) < config.honor_retry_after
            wait = max(wait, retry_after_ms) if honors else wait
        self.events.schedule(self.events.now + wait, self.start_attempt, request)
        return True

    def _finish(self, request: ClientRequest, result: RequestResult) -> None:
        request_class = self.classes[request.class_index]
        self.context.scoring.request_finished(
            request, result, self.events.now, request_class.latency_objective_ms, request_class.late_weight
        )
        self.newest_attempts.pop(request.ident, None)
        self.open_requests.pop(request.ident, None)
        follow_up = self.on_finished.pop(request.ident, None)
        if follow_up is not None:
            follow_up()

    def abandon_open_requests(self) -> None:
        """Count the requests that are still open at the end of the rehearsal as lost."""
        for request in list(self.open_requests.values()):
            objective_ms = self.classes[request.class_index].latency_objective_ms
            self.context.scoring.request_finished(
                request, RequestResult.LOST, self.events.now, objective_ms, 0.0
            )
