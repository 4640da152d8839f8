"""Hedged requests: a second, concurrent attempt when the first is slow and a repeat is harmless."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from ..requests import Attempt, PendingRequest
from ..settings import Idempotency


def may_hedge(pending: PendingRequest) -> bool:
    """Returns whether a request may have a hedged attempt: only its first attempt has started and is still in
    flight, and the request may be repeated."""
    if pending.in_flight != 1 or pending.attempt_count != 1:
        return False
    return pending.request_class.idempotency is not Idempotency.NON_IDEMPOTENT


@contextmanager
def pinned_to(pending: PendingRequest, first: Attempt) -> Iterator[None]:
    """While this context is active, the first attempt of a request with an idempotency key counts as one that
    may have run, so that a hedged attempt goes only where repeats of it are recognized, and only as long as
    they are. Whether it did run is decided when it ends. Other requests are not changed."""
    if pending.request_class.idempotency is not Idempotency.WITH_KEY:
        yield
        return
    before = pending.may_have_run_ms, pending.pinned_endpoint
    pending.may_have_run_ms, pending.pinned_endpoint = first.sent_ms, first.endpoint
    try:
        yield
    finally:
        pending.may_have_run_ms, pending.pinned_endpoint = before
