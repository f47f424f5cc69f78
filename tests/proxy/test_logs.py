"""The proxy's log: its limit of lines a second, and the lines that pass it."""

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
from heronreel.proxy.logs import MAX_LINES_PER_S, NOT_RATE_LIMITED, RateLimit
from tests.support.loopback import Backend, configuration, entry, run

NO_DISCOVERY = "127.0.0.1:9"  # nobody listens there
STORM_LINES = 50


def test_a_storm_of_lines_is_dropped_and_what_an_operator_waits_for_is_not() -> None:
    limit = RateLimit()
    usual = [limit.filter(logging.makeLogRecord({"msg": "discovery: late"})) for _ in range(STORM_LINES)]
    # the storm may lie across the end of a second
    assert MAX_LINES_PER_S <= sum(usual) <= 2 * MAX_LINES_PER_S
    assert limit.filter(logging.makeLogRecord({"msg": "listening on 127.0.0.1:1", **NOT_RATE_LIMITED}))


def test_the_limit_never_drops_where_a_proxy_listens(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Its calls to an agent that is down fail ten times a second, and each is a line."""

    async def scenario() -> None:
        async with Backend() as backend:
            config = configuration(NO_DISCOVERY, entry("b1", backend.address))
            config["settings"] = config["settings"] | {"Discovery": "push"}
            file = tmp_path / "config.json"
            file.write_text(json.dumps(config))
            monkeypatch.setattr(gc, "freeze", lambda: None)  # this process lives on
            environ = {"LB_NAME": "n0", "LB_LISTEN": "127.0.0.1:0", "LB_CONFIG": str(file)}
            serving = asyncio.create_task(serve(load(environ)))
            while not (lines := [record for record in caplog.records if "listening on" in record.msg]):
                assert not serving.done(), serving.exception()
                await asyncio.sleep(0.01)
            os.kill(os.getpid(), signal.SIGTERM)
            await serving
            limit = RateLimit()
            limit.limit.count, limit.limit.second = MAX_LINES_PER_S, int(time.monotonic())
            assert all(limit.filter(line) for line in lines)

    with caplog.at_level(logging.INFO):
        run(scenario())
