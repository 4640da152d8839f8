"""What an external processor decides besides the module: pure functions of what a proxy told.

The module chooses server, retry and refusal. Left for here: what a proxy's response means as an attempt's
ending, whether an attempt of an earlier process may go on, whether an attempt that asks may go now, and what
the client is shown at the end. No I/O, no clock; the tables are in docs/design/extproc.md.
"""

from __future__ import annotations

import re
from enum import Enum

from ..events import Outcome
from ..record import record
from ..settings import Idempotency

# Response code details of a proxy's own replies, as Envoy's page "Response code details" lists them. Only
# these prove that no byte reached a node; every other one, and any of tomorrow's, counts as "may have run".
UNSENT_DETAILS = re.compile(
    r"no_healthy_upstream|cluster_not_found|route_not_found|no_cluster|maintenance_mode|"
    r"upstream_reset_before_response_started\{(?:connection_failure|remote_connection_failure|"
    r"local_connection_failure|connection_timeout|overflow)\b"
)
TIMEOUT_DETAILS = re.compile(r"(?:upstream_)?(?:response_timeout|per_try_timeout)|upstream_per_try_timeout")
CANCELLED_DETAILS = re.compile(r"downstream_remote_disconnect|downstream_local_disconnect")


def classify_response(status: int, details: str, full_status: int) -> Outcome:
    """An attempt's ending from what the proxy saw: the status of the response (0: none), and the response
    code details where the proxy sends that attribute. `full_status`: the status by which nodes turn a
    request away unseen, 0 if they have none."""
    if details.startswith("via_upstream") or not details:
        pass
    elif UNSENT_DETAILS.match(details):
        return Outcome.UNREACHABLE
    elif TIMEOUT_DETAILS.match(details):
        return Outcome.TIMEOUT
    elif CANCELLED_DETAILS.match(details):
        return Outcome.CANCELLED
    elif details.startswith("upstream_reset"):
        return Outcome.RESET
    if full_status and status == full_status:
        return Outcome.REJECTED
    if 200 <= status < 500:
        return Outcome.OK
    if status == 504 and not details:
        return Outcome.TIMEOUT  # a proxy that says no more
    return Outcome.ERROR if status else Outcome.RESET


def may_send_undecided(
    repeat: Idempotency, open_after_restart: bool, age_ms: float, memory_ms: float
) -> bool:
    """Whether a request that another process decided on `age_ms` ago may be sent, though nobody here knows
    whether it was sent before. An unsafe one never; a keyed one while the nodes drop repeats, by the age of
    its first decision, which is before its first sending; where the operator has the class closed, none. An
    age below zero is another clock's or a forgery, and proves nothing."""
    if not open_after_restart or repeat is Idempotency.NON_IDEMPOTENT or age_ms < 0.0:
        return False
    return repeat is Idempotency.IDEMPOTENT or age_ms < memory_ms - 5.0


class AttemptVerdict(Enum):
    """What an attempt that asks is told."""

    ALLOW = "pass"
    WAIT = "hold"  # until what it waits for has happened; each such wait ends at the deadline
    REQUEST_FINISHED = "over"  # the request has its final answer
    WRONG_SERVER = "node"  # goes to another node than the chosen one
    TOO_LATE = "late"  # the chosen node takes nothing any more, or repeats are no longer dropped


@record(frozen=True, slots=True)
class AttemptState:
    """What is known where an attempt asks."""

    is_request_finished: bool  # the request has its final answer
    has_chosen_server: bool  # the module has chosen, and this choice has not been used
    has_open_attempts: bool  # an earlier attempt's stream is open: its connection may be
    requested_address: str  # the node's address as the proxy tells it, "" if it does not
    chosen_address: str  # the chosen node's address
    is_server_accepting: bool  # the node's, by the list and its drain
    is_in_time: bool  # before the moment after which no byte may leave


def judge_attempt(asking: AttemptState) -> AttemptVerdict:
    """Whether the attempt may go. Where it may not, no byte of it has left and none will."""
    if asking.is_request_finished:
        return AttemptVerdict.REQUEST_FINISHED
    if not asking.has_chosen_server or asking.has_open_attempts:
        return AttemptVerdict.WAIT
    if not asking.is_server_accepting or not asking.is_in_time:
        return AttemptVerdict.TOO_LATE
    if asking.requested_address and asking.requested_address != asking.chosen_address:
        return AttemptVerdict.WRONG_SERVER
    return AttemptVerdict.ALLOW


class ResponseVerdict(Enum):
    """What becomes of the response that a proxy is about to give its client."""

    PASS_THROUGH = "through"  # as it is
    REJECTION = "refusal"  # replaced by a refusal, which promises that nothing ran
    FAILURE = "unknown"  # replaced by a failure without a promise


RETRYABLE_STATUSES = (429, 503)  # statuses that clients take for "not done, come again"


def judge_response(outcome: str, may_have_run: bool, status: int) -> ResponseVerdict:
    """`outcome` is "served", "refused", "failed", or "" where the proxy answers by itself. What may have run
    must not leave with a status that clients read as a promise that it did not."""
    if outcome == "served":
        return ResponseVerdict.PASS_THROUGH
    if outcome == "refused":
        return ResponseVerdict.REJECTION
    if outcome == "failed" or may_have_run:
        return (
            ResponseVerdict.FAILURE
            if status in RETRYABLE_STATUSES or status < 400
            else ResponseVerdict.PASS_THROUGH
        )
    return ResponseVerdict.PASS_THROUGH
