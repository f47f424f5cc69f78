"""Counts of responses by tenant and kind.  Pure: no I/O."""

from __future__ import annotations

import enum

KIND_NAMES = ("served", "refused", "failed", "unknown")  # The order is that of `ResponseKind`.
NO_TENANT = ""  # Stands for requests that name no tenant, or a tenant that is not configured.


class ResponseKind(enum.IntEnum):
    """The outcome of a response.  The value is the index in a row of counts."""

    SERVED = 0  # A backend's response was delivered.
    REFUSED = 1  # The proxy responded with its own status 503.
    FAILED = 2  # The proxy responded with another error of its own, or the response was cut short.
    UNKNOWN = 3  # The response was in flight when the process was killed.


TenantCounts = tuple[int, int, int, int]  # One number for each `ResponseKind`, in its order.
Counts = dict[str, TenantCounts]  # The counts of each tenant.


def merge_counts(left: Counts, right: Counts) -> Counts:
    """Return the sum of both counts for each tenant."""
    merged = dict(left)
    for tenant, row in right.items():
        served, refused, failed, unknown = merged.get(tenant, (0, 0, 0, 0))
        merged[tenant] = (served + row[0], refused + row[1], failed + row[2], unknown + row[3])
    return merged


def kind_of_status(status: int) -> ResponseKind:
    """Return the kind of a delivered response.

    The proxy delivers backend responses only with a status below 500, so higher statuses are its own errors.
    """
    if status < 500:
        return ResponseKind.SERVED
    return ResponseKind.REFUSED if status == 503 else ResponseKind.FAILED
