"""The proxy's log: its rate limit, and the lines that are exempt from it."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import time
from pathlib import Path

import pytest

from heronreel.proxy.__main__ import serve
from heronreel.proxy.config import load
from heronreel.proxy.logs import MAX_LINES_PER_S, NOT_RATE_LIMITED, RateLimitFilter
from tests.support.loopback import Backend, configuration, entry, proxy_with_backend, run

UNREACHABLE_ADDRESS = "127.0.0.1:9"  # no process listens on this port
BURST_LINES = 50


def test_a_burst_of_lines_is_dropped_but_exempt_lines_pass() -> None:
    rate_limit = RateLimitFilter()
    passed = [
        rate_limit.filter(logging.makeLogRecord({"msg": "discovery: late"})) for _ in range(BURST_LINES)
    ]
    # The burst may extend over the end of a second.
    assert MAX_LINES_PER_S <= sum(passed) <= 2 * MAX_LINES_PER_S
    assert rate_limit.filter(logging.makeLogRecord({"msg": "listening on 127.0.0.1:1", **NOT_RATE_LIMITED}))


def test_the_line_with_the_listening_address_is_never_dropped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Calls to an agent that is down fail ten times a second, and each failure logs a line."""

    async def scenario() -> None:
        async with Backend() as backend:
            config = configuration(UNREACHABLE_ADDRESS, entry("b1", backend.address))
            config["settings"] = config["settings"] | {"Discovery": "push"}
            file = tmp_path / "config.json"
            file.write_text(json.dumps(config))
            monkeypatch.setattr(gc, "freeze", lambda: None)  # the test process continues
            environ = {"LB_NAME": "n0", "LB_LISTEN": "127.0.0.1:0", "LB_CONFIG": str(file)}
            serving = asyncio.create_task(serve(load(environ)))
            while not (lines := [record for record in caplog.records if "listening on" in record.msg]):
                assert not serving.done(), serving.exception()
                await asyncio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
            await serving
            rate_limit = RateLimitFilter()
            rate_limit.limiter.count, rate_limit.limiter.second = MAX_LINES_PER_S, int(time.monotonic())
            assert all(rate_limit.filter(line) for line in lines)

    with caplog.at_level(logging.INFO):
        run(scenario())


def test_the_memory_of_the_process_and_the_reason_of_a_failed_attempt_are_logged(tmp_path: Path) -> None:
    async def scenario() -> None:
        backend = Backend(lambda head, body: b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n")
        async with proxy_with_backend(tmp_path, backend) as proxy:
            line = await proxy.log_line("msg=memory")
            assert " peak_mb=" in line and " limit_mb=64.0 " in line and " requests_bytes=" in line
            assert (await proxy.send_request("a1"))[0] == "502"
            assert 'reason="malformed response"' in await proxy.log_line('msg="attempt ended"')

    run(scenario())
