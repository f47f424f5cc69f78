"""The lease of one process and its claims, tested without a service: the tests supply the responses.

They guard against a process that acts after its lease has expired or its claim was lost, and against requests
whose lost responses leave a lease or a claim unused.
"""

from __future__ import annotations

import pytest

from heronreel.coordination.errors import RequestError, StatusCode
from heronreel.coordination.model import (
    LeaseGrant,
    LeaseKeepAlive,
    LeaseResponse,
    LeaseRevoke,
    RangeResponse,
    Record,
    TxnResponse,
)
from heronreel.leases.backoff import MAX_BACKOFF_S, MIN_BACKOFF_S, JitteredBackoff
from heronreel.leases.claim import Action, Claim, ClaimAcquired, ClaimHolder, ClaimLost
from heronreel.leases.lease import LeaseClient, LeaseTerms
from heronreel.leases.requests import SendRequest

TERMS = LeaseTerms(ttl_s=6, safety_margin_s=1.0, response_timeout_s=1.0)
KEY = b"held/upkeep"
OWN_VALUE = b"me"
LEASE_ID = 7
TOKEN = 11


def new_lease() -> LeaseClient:
    """Return a lease that has not been requested; its ids are 7, 8, 9 and so on."""
    lease_ids = iter(range(LEASE_ID, 100))
    return LeaseClient(TERMS, 0.0, lambda: next(lease_ids))


def single_request(actions: list[Action]) -> SendRequest:
    """Return the only request among the actions."""
    (request,) = (action for action in actions if isinstance(action, SendRequest))
    return request


def granted_lease() -> LeaseClient:
    lease = new_lease()
    request = single_request(lease.tick(0.0))
    assert request.request == LeaseGrant(TERMS.ttl_s, LEASE_ID)
    lease.on_response(0.2, request.request_id, LeaseResponse(1, LEASE_ID, TERMS.ttl_s, TERMS.ttl_s))
    return lease


def claim_exists(value: bytes, token: int, lease_id: int) -> TxnResponse:
    """Return the response to a request that failed because the claim's key already exists."""
    record = Record(value, token, token, 1, lease_id)
    return TxnResponse(token, False, (RangeResponse(token, ((KEY, record),), 1, False),))


def claim_absent() -> TxnResponse:
    """Return the response to a request that failed because the claim's key does not exist."""
    return TxnResponse(TOKEN, False, (RangeResponse(TOKEN, (), 0, False),))


def held_claim(lease: LeaseClient) -> Claim:
    claim = lease.claim(KEY, OWN_VALUE)
    request = single_request(lease.tick(0.3))
    response = TxnResponse(TOKEN, True, ())
    assert lease.on_response(0.4, request.request_id, response) == [ClaimAcquired(KEY, TOKEN)]
    return claim


def next_claim_request(lease: LeaseClient, claim: Claim) -> tuple[float, SendRequest]:
    """Return the time at which the claim is checked again, and the request that checks it."""
    now = claim.next_wakeup()
    return now, single_request(list(claim.tick(now)))


def test_lease_is_valid_from_its_request_until_the_safety_margin_before_its_expiry() -> None:
    lease = granted_lease()
    assert lease.valid(4.9) and not lease.valid(5.0)


def test_response_after_the_timeout_does_not_extend_the_lease() -> None:
    lease = new_lease()
    request = single_request(lease.tick(0.0))
    lease.tick(1.0)
    late_response = LeaseResponse(1, LEASE_ID, TERMS.ttl_s, TERMS.ttl_s)
    assert lease.on_response(1.01, request.request_id, late_response) == [] and not lease.valid(1.01)


def test_lease_whose_grant_response_was_lost_is_renewed_before_it_is_used() -> None:
    lease = new_lease()
    request = single_request(lease.tick(0.0))
    lease_exists = RequestError(StatusCode.FAILED_PRECONDITION, "")
    lease.on_response(0.1, request.request_id, lease_exists)
    assert not lease.valid(0.1)  # The time of its expiry is unknown.
    assert single_request(lease.tick(0.1)).request == LeaseKeepAlive(LEASE_ID)


def test_lease_that_the_service_does_not_find_loses_its_claims_and_is_replaced() -> None:
    lease = granted_lease()
    held_claim(lease)
    renewal = single_request([action for action in lease.tick(1.9) if is_renewal(action)])
    not_found = RequestError(StatusCode.NOT_FOUND, "")
    assert lease.on_response(2.0, renewal.request_id, not_found) == [ClaimLost(KEY, TOKEN, "lease expired")]
    assert lease.lease_id == LEASE_ID + 1 and not lease.valid(2.0)


def is_renewal(action: Action) -> bool:
    return isinstance(action, SendRequest) and isinstance(action.request, LeaseKeepAlive)


def test_lease_that_is_not_renewed_loses_its_claims_when_it_is_no_longer_valid() -> None:
    lease = granted_lease()
    claim = held_claim(lease)
    assert claim.fencing_token(4.9) == TOKEN and claim.fencing_token(5.0) == 0
    assert ClaimLost(KEY, TOKEN, "not renewed for 5.0 s") in lease.tick(5.0)


def test_claim_held_by_another_process_reports_its_holder() -> None:
    lease = granted_lease()
    claim = lease.claim(KEY, OWN_VALUE)
    request = single_request(lease.tick(0.3))
    assert lease.on_response(0.4, request.request_id, claim_exists(b"other", 5, 99)) == []
    assert claim.holder == ClaimHolder(b"other", 5) and claim.fencing_token(0.4) == 0


def test_claim_whose_response_was_lost_is_recognised_as_held_by_this_process() -> None:
    lease = granted_lease()
    lease.claim(KEY, OWN_VALUE)
    request = single_request(lease.tick(0.3))
    own_claim = claim_exists(OWN_VALUE, 5, LEASE_ID)
    assert lease.on_response(0.4, request.request_id, own_claim) == [ClaimAcquired(KEY, 5)]


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (claim_absent(), [ClaimLost(KEY, TOKEN, "revoked")]),
        (claim_exists(b"other", 20, 99), [ClaimLost(KEY, TOKEN, "held by another process")]),
        (claim_exists(OWN_VALUE, 20, LEASE_ID), [ClaimLost(KEY, TOKEN, "revoked"), ClaimAcquired(KEY, 20)]),
        (claim_exists(OWN_VALUE, TOKEN, LEASE_ID), []),
    ],
)
def test_held_claim_is_checked_regularly(response: TxnResponse, expected: list[Action]) -> None:
    lease = granted_lease()
    claim = held_claim(lease)
    now, request = next_claim_request(lease, claim)
    assert lease.on_response(now, request.request_id, response) == expected


def test_released_claim_is_unusable_at_once_and_reported_lost_when_the_service_confirms() -> None:
    lease = granted_lease()
    claim = held_claim(lease)
    claim.release(0.5)
    assert claim.fencing_token(0.5) == 0
    request = single_request(lease.tick(0.5))
    response = TxnResponse(TOKEN + 1, True, ())
    assert lease.on_response(0.6, request.request_id, response) == [ClaimLost(KEY, TOKEN, "released")]
    lease.tick(0.7)
    assert lease.claims == []


def test_revoked_lease_loses_its_claims_and_repeats_the_request_until_it_is_confirmed() -> None:
    lease = granted_lease()
    held_claim(lease)
    actions = lease.revoke(0.5)
    assert actions[0] == ClaimLost(KEY, TOKEN, "released")
    request = single_request(actions)
    assert request.request == LeaseRevoke(LEASE_ID)
    lease.on_response(0.6, request.request_id, RequestError(StatusCode.UNKNOWN, ""))
    assert not lease.revoked
    repeated = single_request(lease.tick(lease.next_wakeup()))
    lease.on_response(0.9, repeated.request_id, RequestError(StatusCode.NOT_FOUND, ""))
    assert lease.revoked


def test_backoff_doubles_up_to_its_limit_and_returns_to_the_minimum_after_a_success() -> None:
    backoff = JitteredBackoff(lambda: 0.5)
    delays = [backoff.next_delay() for _ in range(12)]
    assert delays[:3] == [MIN_BACKOFF_S, 2 * MIN_BACKOFF_S, 4 * MIN_BACKOFF_S]
    assert delays == sorted(delays) and delays[-1] == MAX_BACKOFF_S
    backoff.reset()
    assert backoff.next_delay() == MIN_BACKOFF_S
