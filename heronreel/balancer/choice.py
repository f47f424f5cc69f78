"""The balancer of one proxy; heronreel/balancer/interface.py defines its events and actions."""

import random

from heronreel.balancer import interface as api
from heronreel.balancer import rates, requests, slow_start
from heronreel.balancer.admission import Admission, TenantQuotas
from heronreel.balancer.endpoints import Backend, Endpoints
from heronreel.balancer.requests import Attempt, Request, RetryRules
from heronreel.balancer.turns import TurnQueue
from heronreel.balancer.watch_schedule import WatchSchedule

# Tokens of the two periodic timers.  The timers of backoffs and hedged requests get the tokens that follow.
UPDATE_TIMER = 0
WATCH_TIMER = 1
# A timeout counts against its backend if the attempt lasted at least this share of its timeout.
MIN_TIMEOUT_SHARE = 0.9


class Balancer:
    """Makes the decisions of one proxy.

    Events of requests that have ended are ignored.  The end of an attempt that was never started is a fault
    of the host and raises KeyError.
    """

    # An emulator replaces these types by ones that share tables between many proxies.
    endpoints_type, turns_type = Endpoints, TurnQueue
    grant_credit = staticmethod(slow_start.grant_credit)

    def __init__(self, settings: api.Settings, seed: int, limits: api.RouteLimits | None = None) -> None:
        self.random = random.Random(seed)
        self.watch = WatchSchedule(settings.watch_within_ms, settings.proxies)
        self.endpoints = self.endpoints_type(settings, self.random)
        self.turns = self.turns_type(self.endpoints)
        self.quotas, self.admission = TenantQuotas(settings), Admission(settings, self.random)
        self.retries = RetryRules(settings, limits)
        self.rejection_rate, self.served_work = rates.RejectionRate(), rates.SmoothedRate()
        self._configure(settings)
        self.timers: dict[int, tuple[int, bool]] = {}  # By token: the request, and whether to hedge it.
        self.requests: dict[int, Request] = {}
        # The attempts in flight, including those of requests that have ended.
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.last_token, self.started, self.updated_at = WATCH_TIMER, False, 0.0
        self.actions: list[api.Action] = []

    def _configure(self, settings: api.Settings) -> None:
        self.settings = self.retries.settings = settings
        self.watch.within_ms, self.watch.proxies = settings.watch_within_ms, settings.proxies
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.min_objective_ms = min(request_class.latency_objective_ms for request_class in settings.classes)
        self.quotas.configure(settings)
        self.admission.configure(settings)

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Process an event and return the actions that the host must carry out, in order."""
        self.actions = []
        match event:
            case api.Arrival():
                self._request_arrived(now_ms, event)
            case api.AttemptEnded():
                self._attempt_ended(now_ms, event)
            case api.AttemptStalled():
                self._attempt_stalled(now_ms, event)
            case api.TimerFired():
                self._timer_fired(now_ms, event.token)
            case api.RequestClosed():
                self.requests.pop(event.request, None)
            case _:
                self._handle_general(now_ms, event)
        return self.actions

    def _handle_general(self, now: float, event: api.Event) -> None:
        """Process an event that does not concern a single request."""
        match event:
            case api.BackendList():
                self._list_received(now, event)
            case api.BeginMaintenance():
                self.endpoints.begin_maintenance(event)
                self.turns.rebuild()
            case api.EndMaintenance():
                if self.endpoints.end_maintenance(now, event, self.turns.mean_cost_ms):
                    self.turns.rebuild()
            case api.NewSettings():
                self._configure(event.settings)
                self.endpoints.configure(event.settings)
                self.turns.rebuild()

    def _timer_fired(self, now: float, token: int) -> None:
        if token == UPDATE_TIMER:
            self._update(now)
        elif token == WATCH_TIMER:
            self.watch.call_started(now)
            self.actions.append(api.WatchList())
        else:
            ident, hedge = self.timers.pop(token)
            request = self.requests.get(ident)
            if request is not None and hedge:
                self._hedge(now, request)
            elif request is not None:
                self._advance(now, request)
                request.backing_off = False

    def _update(self, now: float) -> None:
        self.actions.append(api.SetTimer(UPDATE_TIMER, rates.UPDATE_PERIOD_MS))
        began, self.updated_at = self.updated_at, now
        periods = max(1.0, (now - began) / rates.UPDATE_PERIOD_MS)
        self.quotas.update(periods)
        self.rejection_rate.roll()
        self.turns.update(now, periods)
        self.admission.update(began, periods, len(self.in_flight), self.turns.sends.mean)
        self.served_work.roll(periods)
        self.grant_credit(self.endpoints, now, periods, self.served_work.mean)
        self.turns.requeue_waiting()

    def _list_received(self, now: float, event: api.BackendList) -> None:
        if not self.started:
            self.started, self.updated_at = True, now
            self.actions.append(
                api.SetTimer(UPDATE_TIMER, rates.UPDATE_PERIOD_MS * self.random.uniform(0.1, 1.0))
            )
            if self.settings.watch_list:
                self.actions.append(api.SetTimer(WATCH_TIMER, self.watch.first_delay(self.random)))
        if event.kind is api.ListKind.FAILED:
            delay = self.watch.call_failed(now, self.random, event.failure)
            if delay is not None:
                self.actions.append(api.SetTimer(WATCH_TIMER, delay))
            return
        self.watch.list_received(now)
        self.endpoints.update(now, event, self.turns.mean_cost_ms)
        self.turns.rebuild()

    def _request_arrived(self, now: float, arrival: api.Arrival) -> None:
        policy, name = arrival.policy, arrival.request_class
        request_class = policy.request_class if policy else self.classes.get(name) or api.RequestClass(name)
        deadline, within_quota = now + arrival.time_left_ms, self.quotas.take(now, arrival)
        request = Request(arrival, request_class, now, deadline, within_quota, policy)
        self.requests[arrival.request] = request
        self.retries.add_request()
        self.admission.arrived += 1
        self._advance(now, request)

    def _attempt_ended(self, now: float, ended: api.AttemptEnded) -> None:
        attempt = self.in_flight.pop((ended.request, ended.attempt))
        self.turns.release(attempt, ended.outcome)
        request = (self.requests.pop if ended.finished else self.requests.get)(ended.request, None)
        attempt.may_have_run, attempt.in_flight = ended.outcome not in api.NEVER_RAN, False
        self.admission.completions.current += attempt.may_have_run
        self._observe(now, attempt, ended)
        if ended.outcome is api.Outcome.SERVED and request and request.policy and self.retries.route_limits:
            self.retries.route_limits.record_served(request.policy, ended.latency_ms)
        if request and not ended.finished:
            request.last_outcome = ended.outcome
            # Another attempt that is in flight may still be served.
            if any(other.in_flight for other in request.attempts):
                self._hedge_stalled(now, request)
            else:
                self._advance(now, request)

    def _attempt_stalled(self, now: float, stalled: api.AttemptStalled) -> None:
        request = self.requests.get(stalled.request)
        if request is not None:
            request.attempts[stalled.attempt].stalled = True
            self._hedge_stalled(now, request)

    def _observe(self, now: float, attempt: Attempt, ended: api.AttemptEnded) -> None:
        """Update the failures and the speed of a backend from the end of an attempt."""
        backend, outcome = attempt.backend, ended.outcome
        min_timeout_ms = MIN_TIMEOUT_SHARE * attempt.timeout_ms or self.min_objective_ms
        # A timeout after a shorter time says nothing about the backend.
        if outcome is not api.Outcome.TIMEOUT or ended.latency_ms >= min_timeout_ms:
            backend.record(now, outcome, self.random)
        if outcome is api.Outcome.REJECTED:
            self.rejection_rate.rejected += 1.0
        elif outcome is api.Outcome.SERVED:
            self.served_work.current += attempt.cost_ms
            backend.last_served_at = now
            ratio = max(1.0, ended.latency_ms) / attempt.cost_ms * attempt.capacity_share
            speeds, kind = self.endpoints.speeds, backend.info.kind
            speeds.learn(kind, backend.speed, ratio, attempt.capacity_share >= 1.0)
            backend.cost_factor = speeds.factor(kind, backend.speed)

    def _advance(self, now: float, request: Request) -> None:
        """Start an attempt or a backoff for a request that has no attempt in flight, or end the request."""
        ident = request.arrival.request
        executed = next((attempt for attempt in request.attempts if attempt.may_have_run), None)
        backoff_ms = self.retries.backoff(now, request, executed)
        if backoff_ms:
            if executed is not None:
                self.retries.spend_retry(request)
            request.backing_off = True
            self._set_timer(ident, backoff_ms, False)
            return
        backend = None if backoff_ms is None else self._choose(now, request, executed)
        if backend is not None:
            self._send(now, request, backend, executed)
            return
        del self.requests[ident]
        if self.retries.rejectable(request, executed):
            self.admission.rejected += 1
            self.actions.append(api.Reject(ident, self.admission.retry_after(now, request.request_class)))
        else:
            self.actions.append(api.Fail(ident))

    def _set_timer(self, ident: int, delay_ms: float, hedge: bool) -> None:
        self.last_token += 1
        self.timers[self.last_token] = (ident, hedge)  # The entry is removed when the timer fires.
        self.actions.append(api.SetTimer(self.last_token, delay_ms))

    def _hedge(self, now: float, request: Request) -> None:
        """Send a hedged request if the first attempt is still in flight."""
        policy, first = request.policy, request.attempts[0]
        first_in_flight = len(request.attempts) == 1 and first.in_flight
        if policy is None or not first_in_flight or not self.retries.allow(now, request, first):
            return
        backend = self._choose_repeat(now, request, first, policy.hedge_in_group)
        if backend is not None:
            self._send(now, request, backend, first)

    def _hedge_stalled(self, now: float, request: Request) -> None:
        """Send a hedged request if the only attempt in flight has stalled."""
        in_flight = [attempt for attempt in request.attempts if attempt.in_flight]
        policy, first = request.policy, next(attempt for attempt in request.attempts if attempt.may_have_run)
        if len(in_flight) != 1 or not in_flight[0].stalled:
            return
        if not self.settings.hedging or (policy and not policy.hedges()):
            return
        if not self.retries.allow(now, request, first):
            return
        backend = self._choose_repeat(now, request, first, bool(policy and policy.hedge_in_group))
        if backend is not None:
            self._send(now, request, backend, first)

    def _choose(self, now: float, request: Request, executed: Attempt | None) -> Backend | None:
        if executed is not None:
            in_group = bool(request.policy and request.policy.retry_in_group)
            return self._choose_repeat(now, request, executed, in_group)
        if not self.rejection_rate.allows(len(request.attempts)):
            return None
        # With nothing in flight there is no queue, even if a rare slow response raised the mean delay.
        admitted = not self.in_flight or self.admission.admits(now, request)
        return self.turns.choose(now, request, self.admission.queueing_delay) if admitted else None

    def _choose_repeat(
        self, now: float, request: Request, executed: Attempt, in_group: bool
    ) -> Backend | None:
        if in_group or request.request_class.effect is api.Effect.KEYED:
            return self.turns.choose_in_group(now, request, executed)
        return self.turns.next_backend(now, request, self.admission.queueing_delay)

    def _send(self, now: float, request: Request, backend: Backend, executed: Attempt | None) -> None:
        ident, policy, limits = request.arrival.request, request.policy, self.retries.route_limits
        attempt = self.turns.book(now, backend, requests.BASE_COST_MS + request.arrival.hint_ms)
        self.in_flight[ident, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        self.rejection_rate.sent += 1.0
        within_ms = 0.0
        if executed is not None:
            self.retries.spend_retry(request)
            # The host must not send a keyed request after its repeat window, even if it stalls.
            if request.request_class.effect is api.Effect.KEYED:
                within_ms = executed.sent_at + request.request_class.repeat_window_ms - now
        attempt.timeout_ms = policy.attempt_timeout_ms if policy else 0.0
        self.actions.append(api.StartAttempt(ident, backend.info.backend, attempt.timeout_ms, within_ms))
        if policy and len(request.attempts) == 1 and limits:
            delay_ms = limits.hedge_delay(policy)
            if delay_ms is not None and self.settings.hedging and policy.max_attempts > 1:
                self._set_timer(ident, delay_ms, True)
