"""Logs each change of a claim's holder; only the leader does so."""

from __future__ import annotations

import structlog

from heronreel.coordination.model import Event
from heronreel.coordination.watches import WatchNotified
from heronreel.leases.keys import CLAIM_PREFIX

MAX_HOLDER_CHARACTERS = 200  # Longer names are cut, because a value may be large.

log = structlog.get_logger()


def log_claim_changes(member: str, notification: WatchNotified) -> None:
    """Log the events in a notification of the watch on all claims."""
    for event in notification.events:
        _log_change(member, event)


def _log_change(member: str, event: Event) -> None:
    task = event.key[len(CLAIM_PREFIX) :].decode(errors="replace")
    if event.record is None:
        log.info("claim released", member=member, task=task, revision=event.revision)
        return
    holder = event.record.value.decode(errors="replace")[:MAX_HOLDER_CHARACTERS]
    log.info(
        "claim acquired", member=member, task=task, holder=holder, fencing_token=event.record.create_revision
    )
