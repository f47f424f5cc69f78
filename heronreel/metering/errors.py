"""Errors of usage metering.  All of them derive from `MeteringError`."""

from __future__ import annotations


class MeteringError(Exception):
    """Base class of the errors that this package defines."""


class InvalidLedgerError(MeteringError, ValueError):
    """A buffer does not contain a ledger, or the ledger was truncated or overwritten."""


class HeaderTooLargeError(MeteringError, ValueError):
    """The header of a new ledger is too large, because of too many tenants or too long names."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"the header of a ledger has {size:,} bytes, and at most {limit:,} are allowed")
        self.size = size
        self.limit = limit


class PagePendingError(MeteringError, ValueError):
    """A page can't be sealed while the page before it is not confirmed."""

    def __init__(self, page: int) -> None:
        super().__init__(f"the previous page {page} is not confirmed")
        self.page = page


class PeriodTaskLostError(MeteringError):
    """Another process holds the claim on the task that closes periods."""

    def __init__(self) -> None:
        super().__init__("another process holds the task that closes periods")
