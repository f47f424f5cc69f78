"""The response to a watch: one line of JSON for each batch of events."""

from __future__ import annotations

import json

from aiohttp import web

from heronreel.coordination import gateway, gateway_server
from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.watches import WatchNotified
from heronreel.coordinator.node import MemberNode


async def stream_watch(
    node: MemberNode, request: web.Request, watch_request: gateway_server.WatchRequest
) -> web.StreamResponse:
    """Stream a watch's events until the client or this member ends it.

    Raises:
        RequestError: The watch was not created.
    """
    watch = node.open_watch(watch_request)
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    try:
        first = await watch.notifications.get()
        if first.ended:
            raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: no leader, or too many watches")
        await response.prepare(request)
        created = {"header": node.response_header().at_revision(first.revision), "created": True}
        await response.write(encode_line(created))
        notification = first
        while not notification.ended:
            if line := _next_line(node.response_header(), notification, watch_request):
                await response.write(encode_line(line))
            if notification.compact_revision:
                return response
            notification = await watch.notifications.get()
        request.protocol.force_close()
    except (ConnectionError, OSError):
        pass  # The client has disconnected.
    finally:
        node.close_watch(watch)
    return response


def _next_line(
    header: gateway_server.ResponseHeader,
    notification: WatchNotified,
    watch_request: gateway_server.WatchRequest,
) -> gateway.Json | None:
    """Return the line to send for a notification; None if there is nothing to send."""
    if notification.compact_revision:
        return _canceled(header, notification)
    if notification.events:
        return gateway_server.encode_events(
            header, notification.revision, notification.events, with_previous=watch_request.previous
        )
    return None


def _canceled(header: gateway_server.ResponseHeader, notification: WatchNotified) -> gateway.Json:
    return {
        "header": header.at_revision(notification.revision),
        "canceled": True,
        "compact_revision": str(notification.compact_revision),
    }


def encode_line(result: gateway.Json) -> bytes:
    """Encode one line of a streamed response."""
    return json.dumps({"result": result}, separators=(",", ":")).encode() + b"\n"
