"""Hedged requests: a second, concurrent attempt when the first is slow and a repeat is harmless."""

from __future__ import annotations

from ..requests import Attempt, PendingRequest
from ..settings import Idempotency


def may_hedge(pending: PendingRequest) -> bool:
    """Returns whether a request may have a hedged attempt: only its first attempt has started and is still in
    flight, and the request may be repeated."""
    if pending.in_flight != 1 or pending.attempt_count != 1:
        return False
    return pending.request_class.idempotency is not Idempotency.NON_IDEMPOTENT


def pin_to_first(pending: PendingRequest, first: Attempt) -> None:
    """Marks the first attempt of a request with an idempotency key as one that may have run, so that the
    hedged attempt goes to a server that recognizes repeats of it. The mark remains even if no hedged attempt
    starts. Other requests are not changed."""
    if pending.request_class.idempotency is Idempotency.WITH_KEY:
        pending.may_have_run_ms, pending.pinned_endpoint = first.sent_ms, first.endpoint
