"""The demo's scenario: the routes file, the requests, and the schedule of faults.  Does no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from heronreel.stubs.http_server import ServerBehaviour

# The deduplication group of each server, by its index.
DEDUPLICATION_GROUPS = ("etna", "etna", "madonie", "madonie", "iblei", "iblei")
REQUESTS_PER_SECOND = 120.0
TENANTS = ("ciclisti-etna", "pedale-madonie")
SECOND_TENANT_SHARE = 0.45

# Shares of all requests; the remaining requests are payments.
WRITE_SHARE = 0.7
READ_SHARE = 0.2

# The number of different rides that the client reads.
RIDE_COUNT = 50


@dataclass(slots=True, frozen=True)
class ScheduledFault:
    """A server's behaviour during a part of the demo.

    `start` and `end` are shares of the demo's length, from 0 to 1; `server` is the server's index.
    """

    start: float
    end: float
    server: int
    behaviour: ServerBehaviour
    description: str

    def is_active(self, progress: float) -> bool:
        """Return whether the fault applies when this share of the demo's length has passed."""
        return self.start <= progress < self.end


FAULTS = (
    ScheduledFault(0.10, 0.45, 0, ServerBehaviour(work_s=0.25), "slow: twelve times the usual service time"),
    ScheduledFault(
        0.20, 0.60, 2, ServerBehaviour(error_share=0.6), "fails: 60 % of requests run and are answered 500"
    ),
    ScheduledFault(
        0.35,
        0.70,
        3,
        ServerBehaviour(reset_share=0.4),
        "resets: 40 % of connections are reset after the request ran",
    ),
    ScheduledFault(
        0.50, 0.80, 4, ServerBehaviour(hang_share=0.3), "hangs: 30 % of requests run and are never answered"
    ),
    ScheduledFault(
        0.60,
        0.90,
        1,
        ServerBehaviour(reject_share=0.8),
        "full: 80 % of requests are rejected before they run",
    ),
)


class ScheduledDrain(NamedTuple):
    """Drains a server by a changed routes file and SIGHUP.

    `start` is a share of the demo's length, from 0 to 1; `server` is the server's index.
    """

    start: float
    server: int


DRAIN = ScheduledDrain(0.70, 5)


class StubRequest(NamedTuple):
    """A request that the client sends: its route, the ID of its effect, and its bytes."""

    route: str
    effect_id: bytes
    data: bytes


ROUTES = """
[[routes]]
name = "salva-profilo"
match = { path_prefix = "/salva-profilo", methods = ["POST"] }
effect = "keyed"
window_ms = 5000
attempts = 3
attempt_timeout_ms = 700
retry_on = ["not-run", "error", "reset", "timeout"]
pool = "profiles"

[[routes]]
name = "read-profile"
match = { path_pattern = "/profiles/{ride}", methods = ["GET"] }
effect = "safe"
attempts = 3
attempt_timeout_ms = 700
second_copy_percentile = 95
retry_on = ["not-run", "error", "reset", "timeout"]
pool = "profiles"

[[routes]]
name = "pay"
match = { path = "/pay", methods = ["POST"] }
effect = "unsafe"
attempts = 4
pool = "profiles"
"""


def routes_file(addresses: list[tuple[str, int]], draining: int | None = None) -> str:
    """Return the proxy's routes file in TOML; the server with the index `draining`, if any, is draining."""
    members = "".join(
        f'[[pools.members]]\nname = "n{index}"\naddress = "{host}:{port}"\n'
        f'rack = "{DEDUPLICATION_GROUPS[index]}"\n{"draining = true" if index == draining else ""}\n'
        for index, (host, port) in enumerate(addresses)
    )
    return f"""\
[proxy]
name = "demo"
second_copies = true
max_retry_after_ms = 1000
connect_timeout_ms = 250

[[listeners]]
name = "riders"
address = "127.0.0.1:0"

[[pools]]
name = "profiles"
{members}
[[tenants]]
name = "{TENANTS[0]}"
share = 0.55
[[tenants]]
name = "{TENANTS[1]}"
share = 0.45

[defaults]
deadline_ms = 2500
aim_ms = 500
{ROUTES}"""


def requests(seed: int) -> Iterator[StubRequest]:
    """Yield an endless random mix of writes with an idempotency key, reads and payments."""
    rng = random.Random(seed)
    number = 0
    while True:
        number += 1
        effect_id = b"e%d" % number
        tenant = TENANTS[rng.random() < SECOND_TENANT_SHARE].encode()
        headers = b"Host: demo\r\nX-Tenant: %b\r\nX-Effect-Id: %b\r\n" % (tenant, effect_id)
        kind = rng.random()
        if kind < WRITE_SHARE:
            rest = b"Idempotency-Key: k%d\r\nContent-Length: 4\r\n\r\nride" % number
            data = b"POST /salva-profilo/r%d HTTP/1.1\r\n%b%b" % (number, headers, rest)
            yield StubRequest("salva-profilo", effect_id, data)
        elif kind < WRITE_SHARE + READ_SHARE:
            data = b"GET /profiles/r%d HTTP/1.1\r\n%b\r\n" % (rng.randrange(RIDE_COUNT), headers)
            yield StubRequest("read-profile", effect_id, data)
        else:
            data = b"POST /pay HTTP/1.1\r\n%bContent-Length: 2\r\n\r\n10" % headers
            yield StubRequest("pay", effect_id, data)
