"""Hedged requests: a second attempt beside the first, where that is slow and a repeat does no harm."""

from __future__ import annotations

from ..requests import Attempt, PendingRequest
from ..settings import Idempotency


def may_hedge(pending: PendingRequest) -> bool:
    """Whether a request may have a hedged attempt: beside its first, and no other."""
    if pending.in_flight != 1 or pending.attempt_count != 1:
        return False
    return pending.request_class.idempotency is not Idempotency.NON_IDEMPOTENT


def pin_to_first(pending: PendingRequest, first: Attempt) -> None:
    """With an idempotency key the first attempt counts as run from now on, even if no hedged one starts
    then, so that the hedged one goes to servers that drop repeats of it. Other requests are not changed."""
    if pending.request_class.idempotency is Idempotency.WITH_KEY:
        pending.may_have_run_ms, pending.pinned_endpoint = first.sent_ms, first.endpoint
