"""Reads the body of a request, with limits of size and time."""

from __future__ import annotations

import asyncio

from aiohttp import web

from heronreel.coordination.errors import RequestError, StatusCode

MAX_BODY_S = 5.0

_UNREAD = "unread"  # The key is set on a request whose body was not read completely.


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """Read the whole body.

    Raises:
        RequestError: The body is larger than `max_bytes`, or did not arrive within `MAX_BODY_S` seconds.
    """
    declared = request.content_length or 0
    if declared > max_bytes:
        raise _rejected(
            request, StatusCode.RESOURCE_EXHAUSTED, f"body: {declared} bytes of at most {max_bytes}"
        )
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(MAX_BODY_S):
            async for chunk in request.content.iter_any():
                size += len(chunk)
                if size > max_bytes:
                    raise _rejected(request, StatusCode.RESOURCE_EXHAUSTED, f"body: over {max_bytes} bytes")
                chunks.append(chunk)
    except TimeoutError:
        reason = f"body: not here within {MAX_BODY_S:g} s"
        raise _rejected(request, StatusCode.INVALID_ARGUMENT, reason) from None
    return b"".join(chunks)


def has_unread_body(request: web.Request) -> bool:
    """Return whether `read_body` rejected the request before its end.

    The connection can't be used for another request then.
    """
    return _UNREAD in request


def _rejected(request: web.Request, code: StatusCode, reason: str) -> RequestError:
    request[_UNREAD] = True
    return RequestError(code, reason)
