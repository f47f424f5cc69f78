"""Requirements of RFC 9110 and 9112 on a proxy: requests it must reject, and how it forwards the others."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from heronreel.proxy.http1 import is_host, split_absolute_form
from tests.support.loopback import (
    Backend,
    ok,
    proxy_with_backend,
    read_head,
    read_response,
    request,
    run,
)

READ = b"GET /read/obj1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: r1\r\n"
SAVE = b"POST /save/obj1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: r1\r\nIdempotency-Key: k\r\n"
REJECTED = {
    "no Host (9112, 3.2)": (READ.replace(b"Host: api.internal\r\n", b"") + b"\r\n", "400"),
    "two Hosts (9112, 3.2)": (READ + b"Host: b\r\n\r\n", "400"),
    "an invalid Host (9112, 3.2)": (READ.replace(b"api.internal", b"api/internal") + b"\r\n", "400"),
    "HTTP/2.0 (9110, 15.6.6)": (READ.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n", "505"),
    "HTTP/0.9": (READ.replace(b"HTTP/1.1", b"HTTP/0.9") + b"\r\n", "505"),
    "chunks in HTTP/1.0 (9112, 6.1)": (
        SAVE.replace(b"HTTP/1.1", b"HTTP/1.0") + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "400",
    ),
    "a last coding other than chunked (9112, 6.1)": (
        SAVE + b"Transfer-Encoding: chunked, gzip\r\n\r\n",
        "400",
    ),
    "a list of lengths (9112, 6.3)": (SAVE + b"Content-Length: 4, 4\r\n\r\nride", "400"),
    "a space before the colon (9112, 5.1)": (READ + b"X-A : b\r\n\r\n", "400"),
    "a folded line (9112, 5.2)": (READ + b"X-A: b\r\n c\r\n\r\n", "400"),
    "space before the first field (9112, 2.2)": (READ.replace(b"Host", b" Host") + b"\r\n", "400"),
    "a bare CR (9112, 2.2)": (READ + b"X-A: b\rc\r\n\r\n", "400"),
    "a NUL in a value (9110, 5.5)": (READ + b"X-A: b\0c\r\n\r\n", "400"),
    "a target too long (9112, 3)": (READ.replace(b"/obj1", b"/" + b"o" * 9000) + b"\r\n", "414"),
    "an absolute target without a host": (READ.replace(b"/read", b"http:///read") + b"\r\n", "400"),
}


def test_whitespace_around_field_values_is_ignored(tmp_path: Path) -> None:
    """RFC 9110, 5.5: before and after the value, for lengths, transfer codings and ids."""

    async def scenario() -> None:
        backend = Backend(lambda head, body: b"HTTP/1.1 200 OK\r\nContent-Length: \t4 \t\r\n\r\ndone")
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            framings = (b"Content-Length:4 \r\n", b"transfer-encoding:   Chunked  \r\n")
            for number, framing in enumerate(framings):
                body = b"ride" if not number else b"4\r\nride\r\n0\r\nX-Sum: 1 \r\n\r\n"
                head = SAVE.replace(b"r1", b" \tr%d \t" % number).replace(b": k", b":k ")
                writer.write(head + b"X-Deadline-Ms:   2047 \r\n" + framing + b"\r\n" + body)
                assert await read_response(reader) == ("200", b"done")
            assert backend.seen == ["r0", "r1"]

    run(scenario())


@pytest.mark.parametrize(("sent", "status"), REJECTED.values(), ids=REJECTED.keys())
def test_invalid_requests_are_rejected_and_the_connection_is_closed(
    tmp_path: Path, sent: bytes, status: str
) -> None:
    async def scenario() -> None:
        backend = Backend()
        async with proxy_with_backend(tmp_path, backend) as proxy:
            reader, writer = await proxy.connect()
            writer.write(sent)
            assert (await read_response(reader))[0] == status
            assert await reader.read() == b""
            assert backend.seen == []

    run(scenario())


def test_requests_are_forwarded_as_a_proxy_must(tmp_path: Path) -> None:
    heads: list[dict[str, str]] = []

    def reply(head: dict[str, str], body: bytes) -> bytes:
        heads.append(head)
        return ok(b"ride")

    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Backend(reply)) as proxy:
            reader, writer = await proxy.connect()
            # The authority of an absolute target replaces Host (9112, 3.2.2), Via is added (9110, 7.6.3), and
            # fields that Connection lists are not forwarded (9110, 7.6.1).
            target = b"GET http://other.example:81/read/obj1?x=1 HTTP/1.1"
            lines = READ.replace(b"GET /read/obj1 HTTP/1.1", target) + b"Via: 1.0 a\r\n"
            writer.write(lines + b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n")
            head = await read_head(reader)
            assert head[""].split()[1] == "200"
            assert re.fullmatch(r"[A-Z][a-z]{2}, \d\d [A-Z][a-z]{2} \d{4} \d\d:\d\d:\d\d GMT", head["date"])
            assert await reader.readexactly(4) == b"ride"
            assert heads[0][""] == "GET /read/obj1?x=1 HTTP/1.1"
            assert heads[0]["host"] == "other.example:81"
            # `read_head` keeps the last of several lines with the same name.
            assert heads[0]["via"] == "1.1 heronreel" and "x-hop" not in heads[0]
            # Max-Forwards of OPTIONS is decremented; at 0 the proxy responds itself (9110, 7.6.2).
            for hops, forwarded in ((b"1", 2), (b"0", 2)):
                options = READ.replace(b"GET", b"OPTIONS") + b"Max-Forwards: %b\r\n\r\n" % hops
                writer.write(options)
                assert (await read_response(reader))[0] == "200"
                assert len(heads) == forwarded
            assert heads[1]["max-forwards"] == "0"

    run(scenario())


def test_an_http_1_0_client_gets_its_response_and_the_connection_is_closed(tmp_path: Path) -> None:
    """Closed even with keep-alive (9112, 9.3), no interim response (9110, 10.1.1), and no Host needed."""

    async def scenario() -> None:
        async with proxy_with_backend(tmp_path, Backend()) as proxy:
            reader, writer = await proxy.connect()
            sent = request("a1", extra="Expect: 100-continue\r\nConnection: keep-alive\r\n")
            writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"Host: api.internal\r\n", b""))
            assert await read_response(reader) == ("200", b"a1")
            assert await reader.read() == b""

    run(scenario())


def test_valid_and_invalid_hosts_and_absolute_targets() -> None:
    for valid in (b"", b"a", b"a.b:80", b"[::1]:8080", b"127.0.0.1", b"x_y", b"a%41"):
        assert is_host(valid), valid
    for invalid in (b"a b", b"a/b", b"a@b", b"a:b", b"[::1", b"a:123456", b"a,\x7f"):
        assert not is_host(invalid), invalid
    assert split_absolute_form(b"HTTP://a:1/b?c") == (b"a:1", b"/b?c")
    assert split_absolute_form(b"http://a?c") == (b"a", b"/?c")
    assert split_absolute_form(b"http://a") == (b"a", b"/")
    assert split_absolute_form(b"/a") is None
