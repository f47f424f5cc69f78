"""Forwarding of clients' requests to the leader."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from heronreel.coordination import gateway
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordinator.node import MemberNode

FORWARDED_BY_HEADER = "X-Heronreel-Via"
LEADER_GRACE_S = 0.5  # Added to the leader's own time limit for a request.

_CONTENT_TYPE = "application/json"


async def forward_to_leader(node: MemberNode, request: web.Request, body: bytes) -> web.StreamResponse:
    """Forward a request to the leader, and relay its response.

    A request is forwarded at most once: a member that is not the leader rejects a forwarded request.

    Raises:
        RequestError: There is no leader, it is unreachable, or its response was lost.
    """
    leader = node.leader_connection()
    if leader is None or FORWARDED_BY_HEADER in request.headers:
        raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: no leader")
    forwarding = _Forwarding(node, request)
    try:
        async with node.transport.forwarding_session.post(
            leader.base_url + request.path, data=body, headers={FORWARDED_BY_HEADER: node.name}
        ) as response:
            if request.path == gateway.WATCH_PATH:
                return await forwarding.stream(response)
            return await forwarding.relay(response)
    except aiohttp.ClientConnectorError:
        raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: the leader is not reached") from None
    except (aiohttp.ClientError, TimeoutError, OSError):
        if forwarding.streamed is not None:
            request.protocol.force_close()
            return forwarding.streamed
        raise RequestError(StatusCode.UNKNOWN, "etcdserver: the leader did not answer") from None


class _Forwarding:
    """Relays the leader's response to one request to the client."""

    def __init__(self, node: MemberNode, request: web.Request) -> None:
        self.timeout_s = node.group.settings.request_ms / 1000 + LEADER_GRACE_S
        self.request = request
        self.streamed: web.StreamResponse | None = None  # the response to the client, once it has started

    async def relay(self, response: aiohttp.ClientResponse) -> web.Response:
        """Return the complete response."""
        async with asyncio.timeout(self.timeout_s):
            body = await response.read()
        return web.Response(body=body, status=response.status, content_type=_CONTENT_TYPE)

    async def stream(self, response: aiohttp.ClientResponse) -> web.StreamResponse:
        """Stream the response to a watch until either side ends it."""
        self.streamed = web.StreamResponse(status=response.status, headers={"Content-Type": _CONTENT_TYPE})
        await self.streamed.prepare(self.request)
        async for chunk in response.content.iter_any():
            await self.streamed.write(chunk)
        return self.streamed
