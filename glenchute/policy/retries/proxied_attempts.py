"""Decisions on attempts that a proxy makes, as pure functions of what the proxy reports.

The engine decides on servers, retries and rejections. The rules here apply to proxied attempts only: which
outcome a proxy's response stands for, whether a request that an earlier process decided on may be sent,
whether an attempt may be sent now, and which response the client gets. The tables are in
docs/design/extproc.md.
"""

from __future__ import annotations

import re
from enum import Enum

from ..events import Outcome
from ..record import record
from ..settings import Idempotency
from .retry_policy import EXPIRY_MARGIN_MS

# Response code details of replies that the proxy itself generates, from Envoy's page "Response code details".
# Only these prove that no byte reached a server; with any other, known or unknown, the attempt may have run.
UNREACHABLE_DETAILS = re.compile(
    r"no_healthy_upstream|cluster_not_found|route_not_found|no_cluster|maintenance_mode|"
    r"upstream_reset_before_response_started\{(?:connection_failure|remote_connection_failure|"
    r"local_connection_failure|connection_timeout|overflow)\b"
)
TIMEOUT_DETAILS = re.compile(r"(?:upstream_)?(?:response_timeout|per_try_timeout)|upstream_per_try_timeout")
CANCELLED_DETAILS = re.compile(r"downstream_remote_disconnect|downstream_local_disconnect")


def classify_response(status: int, details: str, rejected_status: int) -> Outcome:
    """Returns an attempt's outcome from what the proxy reports.

    `status`: the response's status, 0 if there is no response. `details`: the response code details, "" if
    the proxy does not send that attribute. `rejected_status`: the status with which servers reject a request
    without processing it, 0 if there is none.
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
        return Outcome.TIMEOUT  # the proxy sends no details, so the status alone indicates the timeout
    return Outcome.ERROR if status else Outcome.RESET


def may_send_after_takeover(
    idempotency: Idempotency, is_resumable: bool, age_ms: float, window_ms: float
) -> bool:
    """Returns whether a request may be sent that an earlier process first decided on `age_ms` ago and may
    have sent already.

    A non-idempotent request may never be sent. One with an idempotency key may be sent only within its
    idempotency window, measured from the first decision, which precedes its first attempt. If the operator
    does not let the class resume after a restart (`is_resumable`), none may be sent. A negative age comes
    from another clock or is forged, and proves nothing.
    """
    if not is_resumable or idempotency is Idempotency.NON_IDEMPOTENT or age_ms < 0.0:
        return False
    return idempotency is Idempotency.IDEMPOTENT or age_ms < window_ms - EXPIRY_MARGIN_MS


class AttemptVerdict(Enum):
    """The decision whether a proxied attempt may be sent."""

    ALLOW = "pass"
    WAIT = "hold"  # not before a server is chosen and earlier streams are closed; at most until the deadline
    REQUEST_FINISHED = "over"  # the request has its final response
    WRONG_SERVER = "node"  # the attempt goes to another server than the chosen one
    TOO_LATE = "late"  # the chosen server accepts no requests any more, or may have forgotten the key


@record(frozen=True, slots=True)
class AttemptState:
    """What is known when the proxy asks whether an attempt may be sent."""

    is_request_finished: bool  # the request has its final response
    has_chosen_server: bool  # the engine has chosen a server for an attempt that has not been sent yet
    has_open_attempts: bool  # the stream of an earlier attempt is open, so its connection may be open too
    requested_address: str  # address of the attempt's server as the proxy reports it; "" if it does not
    chosen_address: str  # address of the chosen server
    is_server_accepting: bool  # the chosen server is in the endpoint list and not draining
    is_in_time: bool  # the time after which no byte may be sent has not come yet


def judge_attempt(state: AttemptState) -> AttemptVerdict:
    """Decides whether an attempt, of which no byte has been sent yet, may be sent. After WAIT the caller asks
    again later; after any other verdict but ALLOW the attempt is never sent."""
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
    """What happens to the response that a proxy is about to send to its client."""

    PASS_THROUGH = "through"  # sent unchanged
    REJECTION = "refusal"  # replaced by a rejection, which guarantees that no attempt ran
    FAILURE = "unknown"  # replaced by a failure, which does not say whether an attempt ran


class FinalOutcome(Enum):
    """The engine's final response to a proxied request. The values are names of the counts in reports."""

    SERVED = "served"
    STREAMED = "streamed"
    REJECTED = "refused"
    FAILED = "failed"
    NONE = ""  # the engine gave no response; the proxy responds on its own


RETRYABLE_STATUSES = (429, 503)  # clients interpret these as "not executed, retry later"


def judge_response(outcome: FinalOutcome, may_have_run: bool, status: int) -> ResponseVerdict:
    """Decides what the client gets for a response with this status. A request that may have run must not end
    with a status that clients interpret as a guarantee that it did not."""
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
