"""What the demo plays: the file of routes, the servers, the troubles and when they come.  No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from heronreel.stubs.servers import Manners

RACKS = ("etna", "etna", "madonie", "madonie", "iblei", "iblei")
RATE = 120.0  # requests a second
TENANTS = ("ciclisti-etna", "pedale-madonie")


@dataclass(slots=True, frozen=True)
class Trouble:
    """From `start` to `end`, shares of the demo's length, node number `node` behaves so."""

    start: float
    end: float
    node: int
    manners: Manners
    words: str


TROUBLES = (
    Trouble(0.10, 0.45, 0, Manners(work_s=0.25), "slow: twelve times its usual work"),
    Trouble(0.20, 0.60, 2, Manners(fails=0.6), "fails: 60 % answered 500 after they ran"),
    Trouble(0.35, 0.70, 3, Manners(breaks=0.4), "breaks: 40 % of connections end after the request ran"),
    Trouble(0.50, 0.80, 4, Manners(hangs=0.3), "hangs: 30 % run and are never answered"),
    Trouble(0.60, 0.90, 1, Manners(turns_away=0.8), "full: 80 % turned away unseen"),
)
DRAINED = (0.70, 5)  # when which node is drained, by a new file and SIGHUP


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


def file_of(addresses: list[tuple[str, int]], drained: int | None = None) -> str:
    """The proxy's file in TOML."""
    members = "".join(
        f'[[pools.members]]\nname = "n{n}"\naddress = "{host}:{port}"\nrack = "{RACKS[n]}"\n'
        f"{'draining = true' if n == drained else ''}\n"
        for n, (host, port) in enumerate(addresses)
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


def requests(seed: int) -> Iterator[tuple[str, bytes, bytes]]:
    """Route, effect id and bytes of one request after another."""
    draw = random.Random(seed)
    number = 0
    while True:
        number += 1
        ident = b"e%d" % number
        tenant = TENANTS[draw.random() < 0.45].encode()
        lines = b"Host: demo\r\nX-Tenant: %b\r\nX-Effect-Id: %b\r\n" % (tenant, ident)
        kind = draw.random()
        if kind < 0.7:
            key = b"Idempotency-Key: k%d\r\nContent-Length: 4\r\n\r\nride" % number
            yield "salva-profilo", ident, b"POST /salva-profilo/r%d HTTP/1.1\r\n%b%b" % (number, lines, key)
        elif kind < 0.9:
            ride = draw.randrange(50)
            yield "read-profile", ident, b"GET /profiles/r%d HTTP/1.1\r\n%b\r\n" % (ride, lines)
        else:
            yield "pay", ident, b"POST /pay HTTP/1.1\r\n%bContent-Length: 2\r\n\r\n10" % lines
