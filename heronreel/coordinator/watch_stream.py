"""The response to a watch: a line of JSON for each batch of events."""

from __future__ import annotations

import asyncio
import json

from aiohttp import web

from heronreel.coordination import gateway
from heronreel.coordination.kv_service import WatchNotified
from heronreel.coordination.model import RequestError, StatusCode
from heronreel.coordinator.node import MemberNode


async def stream_watch(
    node: MemberNode, request: web.Request, wanted: gateway.WatchAsked
) -> web.StreamResponse:
    """Stream a watch's events until the client or this member ends it.

    Raises:
        RequestError: The watch was not created.
    """
    number = next(node.tickets)
    notifications = node.watches.open(number)
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    try:
        node.handle_event(lambda _: node.service.watch(number, wanted.key, wanted.end, wanted.start))
        first = await notifications.get()
        if first.ended:
            raise RequestError(StatusCode.UNAVAILABLE, "etcdserver: no leader, or too many watches")
        await response.prepare(request)
        created = {"header": node.response_header().at(first.revision), "created": True}
        await response.write(encode_line(created))
        await _write_events(node, request, response, first, notifications, with_previous=wanted.previous)
    except (ConnectionError, OSError):
        pass  # the client has gone
    finally:
        node.watches.close(number)
        node.service.unwatch(number)
    return response


async def _write_events(
    node: MemberNode,
    request: web.Request,
    response: web.StreamResponse,
    first: WatchNotified,
    notifications: asyncio.Queue[WatchNotified],
    *,
    with_previous: bool,
) -> None:
    notification = first
    while not notification.ended:
        header = node.response_header()
        revision = notification.revision
        if notification.compacted:
            await response.write(encode_line(_canceled(header, notification)))
            return
        if notification.events:
            events = gateway.events_of(header, revision, notification.events, with_previous)
            await response.write(encode_line(events))
        notification = await notifications.get()
    request.protocol.force_close()


def _canceled(header: gateway.Header, notification: WatchNotified) -> gateway.Json:
    return {
        "header": header.at(notification.revision),
        "canceled": True,
        "compact_revision": str(notification.compacted),
    }


def encode_line(result: gateway.Json) -> bytes:
    """One line of a streamed response."""
    return json.dumps({"result": result}, separators=(",", ":")).encode() + b"\n"
