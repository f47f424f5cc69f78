"""Errors of this package.  All derive from `MeteringError`."""

from __future__ import annotations


class MeteringError(Exception):
    """The base of every error that this package raises by itself."""


class InvalidLedgerError(MeteringError, ValueError):
    """A buffer holds no ledger, or one that was truncated or overwritten."""


class HeaderTooLargeError(MeteringError, ValueError):
    """The header of a new ledger does not fit: its tenants are too many, or their names too long."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"a header of {size:,} bytes, and at most {limit:,} are allowed")
        self.size = size
        self.limit = limit


class PagePendingError(MeteringError, ValueError):
    """A page can't be sealed while the one before it is not confirmed."""

    def __init__(self, page: int) -> None:
        super().__init__(f"page {page} is not confirmed")
        self.page = page


class PeriodTaskLostError(MeteringError):
    """Another process holds the claim on the task that closes periods."""

    def __init__(self) -> None:
        super().__init__("another process holds the task")
