"""Tests that the control plane writes and reads its data in the same format as earlier versions.

The files in `stored/control` were written by the program at commit 60fa931 and must never be regenerated for
a refactoring.  `stored_control.py` has a case for each file.
"""

import asyncio
import json
from pathlib import Path
from unittest.mock import patch

import pytest
from aiohttp.test_utils import TestClient, TestServer

from heronreel.coordination.client import Client, WatchEvents
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.gateway import REQUEST_PATHS, WATCH_PATH, request_path
from heronreel.coordination.gateway_server import WatchRequest, decode_request, decode_watch_request
from heronreel.coordination.model import DeleteRange, LeaseGrant, LeaseTimeToLive, Put, Range
from heronreel.coordination.settings import GroupConfig, MemberAddress
from heronreel.coordinator.disk import MemberDisk
from heronreel.coordinator.http_listener import HttpListener
from heronreel.coordinator.node import MemberNode
from tests.compatibility.stored_control import FORMS, MEMBER
from tests.compatibility.stored_forms import FIXED_TOKEN, FOLDER, Server, fixed_token_hex
from tests.compatibility.stored_group import ANSWERS, DURABLE, EVENTS, opened_folder


@pytest.mark.parametrize("name", FORMS)
def test_the_program_writes_the_committed_bytes(name: str) -> None:
    assert FORMS[name].write() == (FOLDER / name).read_bytes()


@pytest.mark.parametrize("name", FORMS)
def test_the_program_reads_the_committed_bytes(name: str) -> None:
    form = FORMS[name]
    assert form.read((FOLDER / name).read_bytes()) == form.value


def test_each_committed_file_has_a_case() -> None:
    assert {path.name for path in FOLDER.iterdir()} == {*FORMS, MEMBER.name}


def test_a_member_opens_the_committed_store_folder() -> None:
    assert opened_folder(MEMBER) == DURABLE


def test_a_client_sends_requests_and_accepts_the_committed_responses() -> None:
    async def talk() -> None:
        async with Server({WATCH_PATH: (FOLDER / "watch-events.json").read_bytes()}) as server:
            async with Client([server.address]) as client:
                for name, (request, result) in ANSWERS.items():
                    path = request_path(request)
                    server.answers[path] = (FOLDER / f"answer-{name}.json").read_bytes()
                    assert await client.call(request) == result
                    assert server.calls[-1][0] == path
                    assert decode_request(*server.calls[-1]) == request
                async for changes in client.watch(b"x", b"z", 8):
                    assert changes == WatchEvents(11, EVENTS)
                    break
                path, body = server.calls[-1]
                assert path == WATCH_PATH == "/v3/watch"
                assert json.loads(body) == {
                    "create_request": {"key": "eA==", "range_end": "eg==", "start_revision": "8"}
                }
                assert decode_watch_request(body) == WatchRequest(b"x", b"z", 8, False)

    asyncio.run(talk())


def test_a_member_posts_the_committed_message_to_another(tmp_path: Path) -> None:
    async def talk() -> None:
        async with Server({}) as server:
            with patch("secrets.token_hex", fixed_token_hex):
                disk = MemberDisk(tmp_path, "a")
            node = MemberNode(
                GroupConfig((MemberAddress("a", "127.0.0.1:1"), MemberAddress("b", server.address))),
                "a",
                disk,
            )
            await node.start()
            async with asyncio.timeout(5):
                while not server.calls:
                    await asyncio.sleep(0.005)
            await node.stop()
            assert server.calls[0] == ("/member", (FOLDER / "message-hello.msgpack").read_bytes())

    asyncio.run(talk())


def test_a_member_serves_exactly_these_paths(tmp_path: Path) -> None:
    async def talk() -> None:
        with patch("secrets.token_hex", fixed_token_hex):
            disk = MemberDisk(tmp_path, "a")
        node = MemberNode(GroupConfig((MemberAddress("a", "127.0.0.1:1"),)), "a", disk)
        await node.start()
        app = HttpListener(node).runner.app
        assert app is not None
        paths = {
            f"{route.method} {route.resource.canonical}" for route in app.router.routes() if route.resource
        }
        calls = {f"POST {path}" for path in REQUEST_PATHS.values()}
        assert paths == calls | {"POST /member", "POST /v3/watch", "GET /health", "HEAD /health"}
        async with TestClient(TestServer(app, host="127.0.0.1")) as client:
            async with asyncio.timeout(5):
                while not node.service.member.is_leader:
                    await asyncio.sleep(0.005)
            async with client.post("/v3/kv/put", data=b'{"key": "eA==", "value": "AA=="}') as response:
                head = {
                    "cluster_id": "2656889371",
                    "member_id": "3904355907",
                    "revision": "2",
                    "raft_term": "1",
                }
                assert response.status == 200 and await response.json() == {"header": head}
            hello = (FOLDER / "message-hello.msgpack").read_bytes()
            async with client.post("/member", data=hello) as response:
                assert response.status == 204
            async with client.get("/health") as response:
                health = await response.json()
            assert health.pop("version")[:2] == [1, f"a/{FIXED_TOKEN}"]
            assert health == {
                "member": "a", "leader": "a", "role": "leader", "disk": FIXED_TOKEN,
                "disks": {"a": FIXED_TOKEN},
                "wish": None, "listed": ["a"], "promised": [1, f"a/{FIXED_TOKEN}"],
            }  # fmt: skip
        await node.stop()

    asyncio.run(talk())


@pytest.mark.parametrize(
    ("path", "body", "request_"),
    [
        ("/v3/kv/range", {"key": "eA==", "rangeEnd": "eg==", "keysOnly": 1}, Range(b"x", b"z", 0, 0, True)),
        ("/v3/kv/range", {"key": "eA==", "limit": 2, "sort_order": 1, "sortTarget": 0}, Range(b"x", b"", 2)),
        ("/v3/kv/put", {"key": "eA==", "prevKv": True, "lease": 77}, Put(b"x", b"", 77, True)),
        ("/v3/kv/deleterange", {"key": "eA==", "rangeEnd": "AA=="}, DeleteRange(b"x", b"\0")),
        ("/v3/lease/grant", {"TTL": 6, "ID": "77"}, LeaseGrant(6, 77)),
        ("/v3/lease/timetolive", {"ID": 77, "keys": True}, LeaseTimeToLive(77, True)),
    ],
)  # fmt: skip
def test_alternative_spellings_of_requests_are_accepted(
    path: str, body: dict[str, object], request_: object
) -> None:
    assert decode_request(path, json.dumps(body).encode()) == request_


@pytest.mark.parametrize("body", [b"{", b'{"key": "eA==", "values": ""}', b'{"key": 5}'])
def test_a_malformed_request_is_rejected(body: bytes) -> None:
    with pytest.raises(RequestError) as raised:
        decode_request("/v3/kv/put", body)
    assert raised.value.code is StatusCode.INVALID_ARGUMENT
