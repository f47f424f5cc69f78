"""The lease terms of the processes under test."""

from __future__ import annotations

from heronreel.leases.lease import LeaseTerms

MARGIN_SHARE = 0.15  # safety margin as a share of the time to live
RESPONSE_SHARE = 0.15  # response timeout as a share of the time to live


def lease_terms(ttl_s: int) -> LeaseTerms:
    """Return terms for a lease of `ttl_s` seconds, which may be shorter than the product's default."""
    return LeaseTerms(
        ttl_s=ttl_s, safety_margin_s=MARGIN_SHARE * ttl_s, response_timeout_s=RESPONSE_SHARE * ttl_s
    )
