"""A log line for each change of a claim's holder, as the leader sees it."""

from __future__ import annotations

import structlog

from heronreel.coordination.model import Event
from heronreel.coordination.watches import WatchNotified
from heronreel.leases.keys import CLAIM_PREFIX

MAX_HOLDER_CHARACTERS = 200  # a value may be of any size

log = structlog.get_logger()


def log_claim_changes(member: str, notification: WatchNotified) -> None:
    """Log the events of a watch on all claims."""
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
