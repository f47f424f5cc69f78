"""Defines how the kinds of stored and sent data are written and read; `stored_control.py` has the cases."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple, TypeVar
from unittest.mock import patch

import msgspec
from aiohttp import web
from aiohttp.test_utils import TestServer
from immutables import Map

from heronreel.coordination.gateway import STREAMED_PATHS, request_path
from heronreel.coordination.gateway_client import decode_response, encode_request
from heronreel.coordination.gateway_server import ResponseHeader, decode_request, encode_response
from heronreel.coordination.keyspace import Content
from heronreel.coordination.model import Request, Response
from heronreel.coordinator.transport import decode_messages, encode_messages
from heronreel.store import Store

FOLDER = Path(__file__).parent / "stored" / "control"
# Replaces the random hexadecimal tokens of the program.
FIXED_TOKEN = "00112233aabbccdd"
T = TypeVar("T")
# The header of each response.
HEADER = ResponseHeader(123, 456, 3)


class Form(NamedTuple):
    """A committed file: the value that it represents, and how the program writes and reads it."""

    value: Any
    write: Callable[[], bytes]
    read: Callable[[bytes], Any]


# -- kinds of data


def as_json(value: T, write: Callable[[T], bytes] = msgspec.json.encode) -> Form:
    """Describe a record that is stored as JSON and decoded with its type."""
    return Form(value, lambda: write(value), lambda data: msgspec.json.decode(data, type=type(value)))


def as_msgpack(value: object) -> Form:
    """Describe a record that is stored as MessagePack and decoded with its type."""
    kind: Any = type(value)
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    return Form(value, lambda: encode(value), lambda data: decode(data, type=kind))


def as_message(message: Any) -> Form:
    """Describe a message as one member posts it to another, in a list of messages."""
    return Form([message], lambda: encode_messages([message]), decode_messages)


def as_request(request: Request) -> Form:
    """Describe a client request as a line with the path, followed by the body."""

    def write() -> bytes:
        return f"{request_path(request)}\n{json.dumps(encode_request(request))}".encode()

    def read(data: bytes) -> Request:
        path, _, body = data.partition(b"\n")
        return decode_request(path.decode(), body)

    return Form(request, write, read)


def as_response(request: Request, result: Response) -> Form:
    """Describe the body of a response."""

    def write() -> bytes:
        raw = encode_response(HEADER, result)
        return json.dumps({"result": raw} if request_path(request) in STREAMED_PATHS else raw).encode()

    return Form(result, write, lambda data: decode_response(request, json.loads(data)))


def as_rows(value: object, rows: Callable[[], Mapping[bytes, bytes]], read: Callable[[Content], Any]) -> Form:
    """Describe the records of a map or store as JSON with hexadecimal keys and values."""

    def write() -> bytes:
        return json.dumps({key.hex(): data.hex() for key, data in sorted(rows().items())}, indent=1).encode()

    return Form(value, write, lambda data: read(rows_of(data)))


def as_constants(value: dict[str, Any]) -> Form:
    """Describe constants as JSON, by names that are used only in that file."""
    return Form(value, lambda: json.dumps(value, indent=1).encode(), json.loads)


def rows_of(data: bytes) -> Content:
    """Return the records of a file that `as_rows` wrote."""
    return Map({bytes.fromhex(key): bytes.fromhex(row) for key, row in json.loads(data).items()})


def fixed_token_hex(size: int) -> str:
    """Replace `secrets.token_hex` with a fixed token of the same length."""
    return FIXED_TOKEN * (size // 8)


def with_store(work: Callable[[Path], T]) -> T:
    """Call `work` with an empty folder while all random tokens are `FIXED_TOKEN`."""
    with tempfile.TemporaryDirectory() as folder, patch("secrets.token_hex", fixed_token_hex):
        return work(Path(folder))


def create_store(path: Path, rows: Mapping[bytes, bytes]) -> Store:
    """Create a store with these records."""
    store = Store.open(path)
    for key, data in rows.items():
        store.put(key, data)
    return store


class Server:
    """Responds to every request with the response set for its path, and records the requests."""

    def __init__(self, answers: Mapping[str, bytes]) -> None:
        self.answers = dict(answers)
        self.calls: list[tuple[str, bytes]] = []
        app = web.Application()
        app.router.add_post("/{path:.*}", self._answer)
        self.server = TestServer(app, host="127.0.0.1")

    async def _answer(self, request: web.Request) -> web.Response:
        self.calls.append((request.path, await request.read()))
        return web.Response(body=self.answers.get(request.path, b"{}"), content_type="application/json")

    async def __aenter__(self) -> Server:
        await self.server.start_server()
        self.address = f"127.0.0.1:{self.server.port}"
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.server.close()
