"""Counts of responses by tenant and kind.  Pure."""

from __future__ import annotations

import enum

KIND_NAMES = ("served", "refused", "failed", "unknown")  # in the order of `ResponseKind`
NO_TENANT = ""  # requests that name no tenant, or none of the configured ones


class ResponseKind(enum.IntEnum):
    """What became of a response.  The value is the place in a row of counts."""

    SERVED = 0  # a backend's response, delivered
    REFUSED = 1  # the proxy's own 503
    FAILED = 2  # the proxy's other errors, and responses that were cut short
    UNKNOWN = 3  # in flight when the process was killed


TenantCounts = tuple[int, int, int, int]  # one number for each of `ResponseKind`
Counts = dict[str, TenantCounts]  # by tenant


def merge_counts(one: Counts, other: Counts) -> Counts:
    """The sum of both, tenant by tenant."""
    merged = dict(one)
    for tenant, row in other.items():
        served, refused, failed, unknown = merged.get(tenant, (0, 0, 0, 0))
        merged[tenant] = (served + row[0], refused + row[1], failed + row[2], unknown + row[3])
    return merged


def kind_of_status(status: int) -> ResponseKind:
    """Responses of backends have a status below 500; from 500 on they are the proxy's own."""
    if status < 500:
        return ResponseKind.SERVED
    return ResponseKind.REFUSED if status == 503 else ResponseKind.FAILED
