"""Draws the work of each attempt and the clients' hints about it.

The draws do not depend on the policy, so that policies can be compared on the same work.
"""

from __future__ import annotations

from collections.abc import Sequence
from statistics import NormalDist

from heronreel.emulator.client_request import ClientRequest
from heronreel.emulator.model import RequestClass
from heronreel.emulator.random_streams import hashed_uniform
from heronreel.emulator.requests import InboundRequest

# Separate these uses of `hashed_uniform` from each other and from others.
ATTEMPT_PURPOSE = 5
HINT_PURPOSE = 6
# Maximum attempts of a proxy per request; keeps the draws of a client's retries distinct.
ATTEMPTS_PER_REQUEST = 16
MIN_NOISE_FACTOR = 0.2
STANDARD_NORMAL = NormalDist()


class WorkModel:
    """Work and hints, in ms of a core at speed 1."""

    def __init__(self, classes: Sequence[RequestClass], seed: int) -> None:
        self.classes, self.seed = classes, seed

    def attempt_work(self, request: InboundRequest, number: int) -> float:
        """Return the work of an attempt: that of the request with the attempt's own noise."""
        client_request, noise = request.client_request, request.request_class.attempt_noise
        if not noise:
            return client_request.work
        attempt = client_request.attempts * ATTEMPTS_PER_REQUEST + number
        drawn = hashed_uniform(self.seed, client_request.ident, attempt, ATTEMPT_PURPOSE)
        return client_request.work * max(MIN_NOISE_FACTOR, 1.0 + noise * STANDARD_NORMAL.inv_cdf(drawn))

    def hint(self, client_request: ClientRequest) -> float:
        """Return the client's estimate of the work, or 0 if the class sends no hints."""
        request_class = self.classes[client_request.class_index]
        if not request_class.hints:
            return 0.0
        if not request_class.hint_noise:
            return client_request.work
        drawn = STANDARD_NORMAL.inv_cdf(hashed_uniform(self.seed, client_request.ident, HINT_PURPOSE))
        return client_request.work * max(MIN_NOISE_FACTOR, 1.0 + request_class.hint_noise * drawn)
