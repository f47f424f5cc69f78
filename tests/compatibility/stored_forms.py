"""Kinds of stored and sent forms: how each is written and read.  The cases: `stored_control.py`."""

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
DRAWN = "00112233aabbccdd"  # stands for what the program draws at random
T = TypeVar("T")
HEADER = ResponseHeader(123, 456, 3)  # of each answer


class Form(NamedTuple):
    """One committed file: what it stands for, and the program's way to write it and to read it."""

    value: Any
    write: Callable[[], bytes]
    read: Callable[[bytes], Any]


# -- kinds of forms


def as_json(value: T, write: Callable[[T], bytes] = msgspec.json.encode) -> Form:
    """A record of its own type in JSON."""
    return Form(value, lambda: write(value), lambda data: msgspec.json.decode(data, type=type(value)))


def as_msgpack(value: object) -> Form:
    """A record of its own type in MessagePack."""
    kind: Any = type(value)
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    return Form(value, lambda: encode(value), lambda data: decode(data, type=kind))


def as_message(message: Any) -> Form:
    """What one member posts to another: a list of messages."""
    return Form([message], lambda: encode_messages([message]), decode_messages)


def as_call(request: Request) -> Form:
    """A client's call: a line with the path, and the body."""

    def write() -> bytes:
        return f"{request_path(request)}\n{json.dumps(encode_request(request))}".encode()

    def read(data: bytes) -> Request:
        path, _, body = data.partition(b"\n")
        return decode_request(path.decode(), body)

    return Form(request, write, read)


def as_answer(request: Request, result: Response) -> Form:
    """The body of an answer."""

    def write() -> bytes:
        raw = encode_response(HEADER, result)
        return json.dumps({"result": raw} if request_path(request) in STREAMED_PATHS else raw).encode()

    return Form(result, write, lambda data: decode_response(request, json.loads(data)))


def as_rows(value: object, rows: Callable[[], Mapping[bytes, bytes]], read: Callable[[Content], Any]) -> Form:
    """A map or a store of records, as JSON with keys and values in hex."""

    def write() -> bytes:
        return json.dumps({key.hex(): data.hex() for key, data in sorted(rows().items())}, indent=1).encode()

    return Form(value, write, lambda data: read(rows_of(data)))


def as_text(value: dict[str, Any]) -> Form:
    """Constants by names that belong to this file alone; read and written as JSON."""
    return Form(value, lambda: json.dumps(value, indent=1).encode(), json.loads)


def rows_of(data: bytes) -> Content:
    """The records of a file that `as_rows` wrote."""
    return Map({bytes.fromhex(key): bytes.fromhex(row) for key, row in json.loads(data).items()})


def drawn(size: int) -> str:
    """In the place of `secrets.token_hex`: as many digits as are asked for."""
    return DRAWN * (size // 8)


def with_store(work: Callable[[Path], T]) -> T:
    """What `work` returns for an empty folder, while what is drawn at random is `DRAWN`."""
    with tempfile.TemporaryDirectory() as folder, patch("secrets.token_hex", drawn):
        return work(Path(folder))


def stored(path: Path, rows: Mapping[bytes, bytes]) -> Store:
    """A new store with these records."""
    store = Store.open(path)
    for key, data in rows.items():
        store.put(key, data)
    return store


class Server:
    """Answers every call with what is set for its path, and keeps what it got."""

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
