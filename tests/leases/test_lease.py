"""The lease of one process and its claims, without a service: requests out, responses in."""

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
    """Lease ids are 7, 8, 9, ..."""
    lease_ids = iter(range(LEASE_ID, 100))
    return LeaseClient(TERMS, 0.0, lambda: next(lease_ids))


def the_request(actions: list[Action]) -> SendRequest:
    (request,) = (action for action in actions if isinstance(action, SendRequest))
    return request


def granted_lease() -> LeaseClient:
    lease = new_lease()
    request = the_request(lease.tick(0.0))
    assert request.request == LeaseGrant(TERMS.ttl_s, LEASE_ID)
    lease.on_response(0.2, request.request_id, LeaseResponse(1, LEASE_ID, TERMS.ttl_s, TERMS.ttl_s))
    return lease


def holds(value: bytes, token: int, lease_id: int) -> TxnResponse:
    """The claim's key is there, made by another request than the one responded to."""
    record = Record(value, token, token, 1, lease_id)
    return TxnResponse(token, False, (RangeResponse(token, ((KEY, record),), 1, False),))


def absent() -> TxnResponse:
    return TxnResponse(TOKEN, False, (RangeResponse(TOKEN, (), 0, False),))


def held_claim(lease: LeaseClient) -> Claim:
    claim = lease.claim(KEY, OWN_VALUE)
    request = the_request(lease.tick(0.3))
    response = TxnResponse(TOKEN, True, ())
    assert lease.on_response(0.4, request.request_id, response) == [ClaimAcquired(KEY, TOKEN)]
    return claim


def next_claim_request(lease: LeaseClient, claim: Claim) -> tuple[float, SendRequest]:
    """When the claim is checked again, and by which request."""
    now = claim.next_wakeup()
    return now, the_request(list(claim.tick(now)))


def test_a_lease_counts_from_before_its_request_and_stops_a_margin_before_its_end() -> None:
    lease = granted_lease()
    assert lease.valid(4.9) and not lease.valid(5.0)


def test_a_response_after_the_timeout_does_not_extend_a_lease() -> None:
    lease = new_lease()
    request = the_request(lease.tick(0.0))
    lease.tick(1.0)
    late = LeaseResponse(1, LEASE_ID, TERMS.ttl_s, TERMS.ttl_s)
    assert lease.on_response(1.01, request.request_id, late) == [] and not lease.valid(1.01)


def test_a_grant_whose_response_was_lost_is_renewed() -> None:
    lease = new_lease()
    request = the_request(lease.tick(0.0))
    exists = RequestError(StatusCode.FAILED_PRECONDITION, "")
    lease.on_response(0.1, request.request_id, exists)
    assert not lease.valid(0.1)  # nobody knows how long it lasts
    assert the_request(lease.tick(0.1)).request == LeaseKeepAlive(LEASE_ID)


def test_an_expired_lease_loses_its_claims_and_is_replaced_by_another() -> None:
    lease = granted_lease()
    held_claim(lease)
    renewal = the_request([action for action in lease.tick(1.9) if is_renewal(action)])
    not_found = RequestError(StatusCode.NOT_FOUND, "")
    assert lease.on_response(2.0, renewal.request_id, not_found) == [ClaimLost(KEY, TOKEN, "lease expired")]
    assert lease.lease_id == LEASE_ID + 1 and not lease.valid(2.0)


def is_renewal(action: Action) -> bool:
    return isinstance(action, SendRequest) and isinstance(action.request, LeaseKeepAlive)


def test_a_lease_that_is_not_renewed_loses_its_claims_when_it_ends() -> None:
    lease = granted_lease()
    claim = held_claim(lease)
    assert claim.fencing_token(4.9) == TOKEN and claim.fencing_token(5.0) == 0
    assert ClaimLost(KEY, TOKEN, "not renewed for 5.0 s") in lease.tick(5.0)


def test_a_claim_that_another_process_holds_shows_its_holder() -> None:
    lease = granted_lease()
    claim = lease.claim(KEY, OWN_VALUE)
    request = the_request(lease.tick(0.3))
    assert lease.on_response(0.4, request.request_id, holds(b"other", 5, 99)) == []
    assert claim.holder == ClaimHolder(b"other", 5) and claim.fencing_token(0.4) == 0


def test_a_claim_whose_response_was_lost_is_recognised_as_its_own() -> None:
    lease = granted_lease()
    lease.claim(KEY, OWN_VALUE)
    request = the_request(lease.tick(0.3))
    own = holds(OWN_VALUE, 5, LEASE_ID)
    assert lease.on_response(0.4, request.request_id, own) == [ClaimAcquired(KEY, 5)]


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (absent(), [ClaimLost(KEY, TOKEN, "revoked")]),
        (holds(b"other", 20, 99), [ClaimLost(KEY, TOKEN, "held by another process")]),
        (holds(OWN_VALUE, 20, LEASE_ID), [ClaimLost(KEY, TOKEN, "revoked"), ClaimAcquired(KEY, 20)]),
        (holds(OWN_VALUE, TOKEN, LEASE_ID), []),
    ],
)
def test_a_held_claim_is_checked_again(response: TxnResponse, expected: list[Action]) -> None:
    lease = granted_lease()
    claim = held_claim(lease)
    now, request = next_claim_request(lease, claim)
    assert lease.on_response(now, request.request_id, response) == expected


def test_a_released_claim_stops_at_once_and_is_reported_when_the_service_confirms() -> None:
    lease = granted_lease()
    claim = held_claim(lease)
    claim.release(0.5)
    assert claim.fencing_token(0.5) == 0
    request = the_request(lease.tick(0.5))
    response = TxnResponse(TOKEN + 1, True, ())
    assert lease.on_response(0.6, request.request_id, response) == [ClaimLost(KEY, TOKEN, "released")]
    lease.tick(0.7)
    assert lease.claims == []


def test_a_revoked_lease_gives_up_its_claims_and_repeats_the_request_until_confirmed() -> None:
    lease = granted_lease()
    held_claim(lease)
    actions = lease.revoke(0.5)
    assert actions[0] == ClaimLost(KEY, TOKEN, "released")
    request = the_request(actions)
    assert request.request == LeaseRevoke(LEASE_ID)
    lease.on_response(0.6, request.request_id, RequestError(StatusCode.UNKNOWN, ""))
    assert not lease.revoked
    repeated = the_request(lease.tick(lease.next_wakeup()))
    lease.on_response(0.9, repeated.request_id, RequestError(StatusCode.NOT_FOUND, ""))
    assert lease.revoked


def test_backoff_doubles_up_to_its_limit_and_starts_anew_after_a_success() -> None:
    backoff = JitteredBackoff(lambda: 0.5)
    delays = [backoff.next_delay() for _ in range(12)]
    assert delays[:3] == [MIN_BACKOFF_S, 2 * MIN_BACKOFF_S, 4 * MIN_BACKOFF_S]
    assert delays == sorted(delays) and delays[-1] == MAX_BACKOFF_S
    backoff.reset()
    assert backoff.next_delay() == MIN_BACKOFF_S
