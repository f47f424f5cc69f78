"""Reading a request's body within bounds of size and time."""

from __future__ import annotations

import asyncio

from aiohttp import web

from heronreel.coordination.errors import RequestError, StatusCode

MAX_BODY_S = 5.0

_UNREAD = "unread"  # set on a request whose body was not read to its end


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """The whole body.

    Raises:
        RequestError: It is larger than `max_bytes`, or did not arrive in time.
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
    """Whether `read_body` gave up, so that the connection can't be used for another request."""
    return _UNREAD in request


def _rejected(request: web.Request, code: StatusCode, reason: str) -> RequestError:
    request[_UNREAD] = True
    return RequestError(code, reason)
