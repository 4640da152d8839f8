"""Decisions on attempts that a proxy makes: pure functions of what the proxy reports.

The engine decides on servers, retries and rejections. The rules here are those that only a proxy needs: what
its response means as an attempt's outcome, whether an attempt of an earlier process may go on, whether an
attempt that asks may go now, and what the client is shown. The tables are in docs/design/extproc.md.
"""

from __future__ import annotations

import re
from enum import Enum

from ..events import Outcome
from ..record import record
from ..settings import Idempotency
from .retry_policy import EXPIRY_MARGIN_MS

# Response code details of a proxy's own replies, as Envoy's page "Response code details" lists them. Only
# these prove that no byte reached a server; every other one, also unknown ones, counts as "may have run".
UNREACHABLE_DETAILS = re.compile(
    r"no_healthy_upstream|cluster_not_found|route_not_found|no_cluster|maintenance_mode|"
    r"upstream_reset_before_response_started\{(?:connection_failure|remote_connection_failure|"
    r"local_connection_failure|connection_timeout|overflow)\b"
)
TIMEOUT_DETAILS = re.compile(r"(?:upstream_)?(?:response_timeout|per_try_timeout)|upstream_per_try_timeout")
CANCELLED_DETAILS = re.compile(r"downstream_remote_disconnect|downstream_local_disconnect")


def classify_response(status: int, details: str, rejected_status: int) -> Outcome:
    """An attempt's outcome from what the proxy saw.

    `status` is that of the response, 0 without one; `details` are the response code details, where the proxy
    sends that attribute; `rejected_status` is the status by which servers reject a request unread, 0 if they
    have none.
    """
    if details.startswith("via_upstream") or not details:
        pass
    elif UNREACHABLE_DETAILS.match(details):
        return Outcome.UNREACHABLE
    elif TIMEOUT_DETAILS.match(details):
        return Outcome.TIMEOUT
    elif CANCELLED_DETAILS.match(details):
        return Outcome.CANCELLED
    elif details.startswith("upstream_reset"):
        return Outcome.RESET
    if rejected_status and status == rejected_status:
        return Outcome.REJECTED
    if 200 <= status < 500:
        return Outcome.OK
    if status == 504 and not details:
        return Outcome.TIMEOUT  # of a proxy that sends no details
    return Outcome.ERROR if status else Outcome.RESET


def may_send_after_takeover(
    idempotency: Idempotency, is_resumable: bool, age_ms: float, window_ms: float
) -> bool:
    """Whether a request that an earlier process decided on `age_ms` ago, and that it may or may not have
    sent, may be sent.

    A non-idempotent one never may; one with a key only within its idempotency window, by the age of the first
    decision, which is before its first attempt; none where the operator keeps the class closed after a
    restart. A negative age is another clock's or forged, and proves nothing.
    """
    if not is_resumable or idempotency is Idempotency.NON_IDEMPOTENT or age_ms < 0.0:
        return False
    return idempotency is Idempotency.IDEMPOTENT or age_ms < window_ms - EXPIRY_MARGIN_MS


class AttemptVerdict(Enum):
    """The answer to an attempt that asks whether it may go."""

    ALLOW = "pass"
    WAIT = "hold"  # until what it waits for has happened, at most until the deadline
    REQUEST_FINISHED = "over"  # the request has its final response
    WRONG_SERVER = "node"  # it goes to another server than the chosen one
    TOO_LATE = "late"  # the chosen server takes nothing any more, or may have forgotten the key


@record(frozen=True, slots=True)
class AttemptState:
    """What is known when an attempt asks."""

    is_request_finished: bool  # it has its final response
    has_chosen_server: bool  # the engine has chosen a server, and the choice has not been used
    has_open_attempts: bool  # an earlier attempt's stream is open: its connection may be
    requested_address: str  # the server's address as the proxy reports it; "" if it does not
    chosen_address: str  # the chosen server's address
    is_server_accepting: bool  # by the endpoint list and its drain
    is_in_time: bool  # before the time after which no byte may be sent


def judge_attempt(state: AttemptState) -> AttemptVerdict:
    """Whether the attempt may go; no byte of it has been sent yet. After WAIT it asks again, after any other
    answer but ALLOW it never goes."""
    if state.is_request_finished:
        return AttemptVerdict.REQUEST_FINISHED
    if not state.has_chosen_server or state.has_open_attempts:
        return AttemptVerdict.WAIT
    if not state.is_server_accepting or not state.is_in_time:
        return AttemptVerdict.TOO_LATE
    if state.requested_address and state.requested_address != state.chosen_address:
        return AttemptVerdict.WRONG_SERVER
    return AttemptVerdict.ALLOW


class ResponseVerdict(Enum):
    """What becomes of the response that a proxy is about to give its client."""

    PASS_THROUGH = "through"  # as it is
    REJECTION = "refusal"  # replaced by a rejection, which promises that nothing ran
    FAILURE = "unknown"  # replaced by a failure without a promise


class FinalOutcome(Enum):
    """The engine's final response to a proxied request. The values are the words of the counters."""

    SERVED = "served"
    STREAMED = "streamed"
    REJECTED = "refused"
    FAILED = "failed"
    NONE = ""  # the proxy responds by itself


RETRYABLE_STATUSES = (429, 503)  # clients take them as "not executed, retry later"


def judge_response(outcome: FinalOutcome, may_have_run: bool, status: int) -> ResponseVerdict:
    """What the client gets of a response with this status. A request that may have run must not end with a
    status that clients read as a promise that it did not."""
    if outcome is FinalOutcome.SERVED:
        return ResponseVerdict.PASS_THROUGH
    if outcome is FinalOutcome.REJECTED:
        return ResponseVerdict.REJECTION
    if outcome is FinalOutcome.FAILED or may_have_run:
        return (
            ResponseVerdict.FAILURE
            if status in RETRYABLE_STATUSES or status < 400
            else ResponseVerdict.PASS_THROUGH
        )
    return ResponseVerdict.PASS_THROUGH
