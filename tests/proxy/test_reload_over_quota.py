"""Reloads while requests over their tenant's quota are in flight: each still gets its final response."""

import pytest

from heronreel.balancer.interface import (
    BackendInfo,
    Effect,
    ListKind,
    NewSettings,
    Outcome,
    RequestClass,
    Settings,
    Tenant,
)
from tests.balancer.strict_host import Host
from tests.proxy.test_made_up_names import (
    CLASSES,
    NAMES_PER_RELOAD,
    TENANTS,
    numbered_names,
    run_with_reloads,
)

HIGH = RequestClass("high", priority_weight=9.0, effect=Effect.IDEMPOTENT)
LOW = RequestClass("low", priority_weight=0.5, effect=Effect.IDEMPOTENT)
QUOTA = (Tenant("t", 1.0, quota_per_s=0.1),)


def busy_host(*classes: RequestClass) -> Host:
    """Return a host whose tenant has used up its quota, with a request in flight."""
    host = Host(Settings(classes, tenants=QUOTA, max_attempts=3))
    host.listed(ListKind.CACHED, *(BackendInfo(100 + index) for index in range(3)))
    host.arrive(LOW.name, tenant="t")
    return host


def test_a_reload_may_remove_the_highest_weighted_class_while_its_request_over_quota_is_in_flight() -> None:
    host = busy_host(LOW, HIGH)
    request = host.arrive(HIGH.name, tenant="t")
    host._do(NewSettings(Settings((LOW,), tenants=QUOTA, max_attempts=3)))
    host.end(request, 0, Outcome.UNREACHABLE)
    assert len(host.requests[request].attempts) == 2 or host.requests[request].over


def test_a_request_over_its_quota_of_a_class_missing_from_the_settings_is_decided() -> None:
    host = busy_host(LOW)
    host.classes["dropped"] = RequestClass("dropped")
    request = host.arrive("dropped", tenant="t")
    assert host.requests[request].attempts or host.requests[request].over


@pytest.mark.parametrize("seed", range(20))
def test_each_request_gets_its_final_response_across_reloads_under_quotas(seed: int) -> None:
    names = numbered_names("name", CLASSES + TENANTS + 6 * NAMES_PER_RELOAD)
    own, spare = names[: CLASSES + TENANTS], list(names[CLASSES + TENANTS :])
    assert not run_with_reloads(seed, own, spare, quotas=True).balancer.requests
