"""Mends that changed decisions since the captures of format 1 and the messages in `tests/messages` were
recorded, each with what it replaced.

A mend's `undo` puts the decision code as it was in place of today's. With every mend undone, today's engine
has to decide each stored record, and to write each stored message, as the recorded one did; with all but one
undone, the first difference in a capture has to be the one listed for that mend.

``python -m tests.capture.mends`` runs the simulator's adapter with every mend undone.
"""

from __future__ import annotations

import sys
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import pytest

from glenchute.policy.admission.backlog import Backlog
from glenchute.policy.admission.counter_calls import CounterCall
from glenchute.policy.admission.counter_sync import CounterSync
from glenchute.policy.admission.tenant import Tenant
from glenchute.policy.admission.tenants import TenantTable
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    DID_NOT_RUN,
    NEVER_REACHED_SERVER,
    AttemptEnded,
    CounterReply,
    Outcome,
    Request,
)
from glenchute.policy.request_execution import RequestExecution
from glenchute.policy.requests import Attempt, PendingRequest
from glenchute.policy.retries import hedging
from glenchute.policy.settings import Idempotency, RequestClass
from glenchute.simulator import serve


@dataclass(frozen=True)
class Change:
    """One value among a record's actions that differs; all others are equal."""

    path: str  # indices and field names, separated by dots
    captured: Any
    replayed: Any


@dataclass(frozen=True)
class FirstDifference:
    """The first record of a file that a mend decides in another way; `event` is its representation."""

    record_index: int  # in the run
    event: str
    changes: list[Change]


def changes_between(captured: Any, replayed: Any, path: str = "") -> list[Change]:
    """Returns the values that differ; parts of other lengths or fields differ as a whole."""
    if isinstance(captured, list) and isinstance(replayed, list) and len(captured) == len(replayed):
        keys: Sequence[Any] = range(len(captured))
    elif isinstance(captured, dict) and isinstance(replayed, dict) and captured.keys() == replayed.keys():
        keys = list(captured)
    else:
        return [] if captured == replayed else [Change(path, captured, replayed)]
    prefix = f"{path}." if path else ""
    return [
        change for key in keys for change in changes_between(captured[key], replayed[key], f"{prefix}{key}")
    ]


@dataclass(frozen=True)
class Mend:
    """One mend. Files that `first_differences` does not name replay equal with it."""

    name: str
    undo: Callable[[pytest.MonkeyPatch], None]
    first_differences: dict[str, FirstDifference]


def undo_unpinning(patch: pytest.MonkeyPatch) -> None:
    """A request with an idempotency key stayed marked as one that may have run from its first try to hedge
    on, though no hedged attempt had started or no attempt had run."""

    def hedge(self: RequestExecution, now_ms: float, pending: PendingRequest) -> None:
        first = self.attempts.get((pending.request.request_id, 0))
        if first is None or not hedging.may_hedge(pending) or not self.retry_budget.has(1.0):
            return
        if pending.request_class.idempotency is Idempotency.WITH_KEY:
            pending.may_have_run_ms, pending.pinned_endpoint = first.sent_ms, first.endpoint
        if not self.retry_policy.may_retry(now_ms, pending, None):
            return
        server = self.chooser.pick(now_ms, pending)
        if server is not None and server.endpoint.address not in pending.attempted_addresses:
            self.retry_budget.spend(1.0)
            self.start_attempt(now_ms, pending, server)

    def end_attempt(self: RequestExecution, now_ms: float, event: AttemptEnded) -> None:
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        pending = attempt.pending
        self.reports.count(f"attempt: {event.outcome.value}")
        self.update_estimates(now_ms, attempt, event)
        pending.in_flight -= 1
        pending.has_reached_server |= event.outcome not in NEVER_REACHED_SERVER
        if event.request_id not in self.requests:
            self.refund(pending)
        elif event.is_final:
            del self.requests[event.request_id]
            self.cancel_attempts(pending)
        else:
            if event.outcome not in DID_NOT_RUN and pending.may_have_run_ms is None:
                pending.may_have_run_ms = attempt.sent_ms
                pending.pinned_endpoint = attempt.endpoint
            if pending.in_flight <= 0:
                self.retry_or_finish(now_ms, pending, event)

    patch.setattr(RequestExecution, "hedge", hedge)
    patch.setattr(RequestExecution, "end_attempt", end_attempt)


def undo_unknown_window(patch: pytest.MonkeyPatch) -> None:
    """The units of the window that a tenant was last seen in counted as those of the window before, however
    long ago it was."""

    def units_before(self: TenantTable, start_ms: float, tenant: Tenant) -> float:
        return max(tenant.counter_others_units, tenant.member_others_units)

    patch.setattr(TenantTable, "units_before", units_before)


def undo_reporting_again(patch: pytest.MonkeyPatch) -> None:
    """Units that a call for a request carried besides were lost if the counter did not add the call; units of
    other calls were reported again only once the tenant had another request."""

    def handle_failure(
        self: CounterSync, now_ms: float, call: CounterCall, outcome: Outcome, is_current: bool
    ) -> None:
        tenant = call.tenant
        may_have_been_added = outcome not in DID_NOT_RUN
        if not may_have_been_added:
            call.window_counter.marker_not_added(call.marker)
        self.pacing.record_failure(now_ms, outcome is Outcome.REJECTED)
        if not is_current:
            return
        if may_have_been_added:
            tenant.own_units_since_reply += call.units
        elif call.request_id is None:
            tenant.unreported_units += call.units
        if outcome is Outcome.TIMEOUT:
            self.calls.timed_out.setdefault(tenant.counter_key, deque()).append(call)

    def handle_late_reply(self: CounterSync, now_ms: float, reply: CounterReply) -> None:
        if not (calls := self.calls.timed_out.get(reply.key)):
            return
        call = calls.popleft()
        tenant = call.tenant
        if reply.outcome is Outcome.OK:
            self.pacing.consecutive_failures = 0
            later_units = sum(later.units for later in calls)
            self.apply_total(
                now_ms, tenant, call.window_counter, reply.total, call.units, call.marker, later_units
            )
        elif reply.outcome in DID_NOT_RUN:
            call.window_counter.marker_not_added(call.marker)
            tenant.own_units_since_reply -= call.units
            if call.request_id is None:
                tenant.unreported_units += call.units
                self.tenants.unreported[tenant.tenant_id] = tenant
        if not calls:
            del self.calls.timed_out[reply.key]

    patch.setattr(CounterSync, "handle_failure", handle_failure)
    patch.setattr(CounterSync, "handle_late_reply", handle_late_reply)


def undo_carrying_over(patch: pytest.MonkeyPatch) -> None:
    """Units of a call whose window had ended were lost if the counter did not add it."""

    def carry_over(self: CounterSync, call: CounterCall) -> None:
        pass

    patch.setattr(CounterSync, "carry_over", carry_over)


def undo_reporting_omitted(patch: pytest.MonkeyPatch) -> None:
    """What a call reserved for requests whose calls were omitted was lost if the counter did not add it."""

    def report_omitted(self: CounterSync, own_units: float) -> None:
        pass

    patch.setattr(CounterSync, "report_omitted", report_omitted)


def undo_backlog_floor(patch: pytest.MonkeyPatch) -> None:
    """With little traffic the backlog was compared with the demand, as if the servers could do no more."""

    def wait_ms(self: Backlog, servers_per_gateway: float) -> float:
        return self.in_flight_ms / self.peak_ms_per_s * 1000.0

    patch.setattr(Backlog, "wait_ms", wait_ms)


def undo_completed_work(patch: pytest.MonkeyPatch) -> None:
    """The work of a streamed response that had begun counted as backlog until its client had read it."""

    def start_response(self: RequestExecution, now_ms: float, request_id: str, attempt_number: int) -> None:
        self.requests.pop(request_id, None)
        if attempt := self.attempts.get((request_id, attempt_number)):
            attempt.response_started_ms = now_ms

    def end_work(self: RequestExecution, now_ms: float, attempt: Attempt, outcome: Outcome) -> None:
        self.shedder.backlog.remove(attempt.expected_latency_ms)
        if outcome is Outcome.OK:
            self.shedder.backlog.record_completed(now_ms, attempt.expected_latency_ms)

    patch.setattr(RequestExecution, "start_response", start_response)
    patch.setattr(RequestExecution, "end_work", end_work)


def undo_spread_reports(patch: pytest.MonkeyPatch) -> None:
    """When the counter was available again, all tenants' units were reported at once."""

    def earliest_report_ms(self: CounterSync, tenant: Tenant) -> float:
        return tenant.last_call_ms + self.report_gap_ms(tenant)

    patch.setattr(CounterSync, "earliest_report_ms", earliest_report_ms)


def undo_settled_objective(patch: pytest.MonkeyPatch) -> None:
    """The latency objective of a request of an unknown class was its own remaining time, and its responses
    counted in the estimates."""

    def class_of(self: DecisionEngine, request: Request) -> RequestClass:
        return self.classes.get(request.class_name) or RequestClass(
            "", request.time_left_ms, 1.0, Idempotency.NON_IDEMPOTENT
        )

    patch.setattr(DecisionEngine, "class_of", class_of)
    patch.setattr(RequestClass, "is_configured", True)


MENDS = [
    # No capture of format 1 has a request of an unknown class; the session on the simulator's wire has.
    Mend("unknown_classes_change_no_estimate", undo_settled_objective, {}),
    Mend(
        "a_hedge_pins_a_request_only_while_it_starts",
        undo_unpinning,
        {
            "mid_life-000002.glcap": FirstDifference(
                1608,
                "AttemptEnded(request_id='r454', attempt=0, address='s0', "
                "outcome=<Outcome.REJECTED: 'full'>, duration_ms=96.08371948251667, is_final=False, "
                "queued_requests=5.51, active_requests=7.0, retry_delay_ms=0.0)",
                [Change("0.1.1", "s0", "s3"), Change("0.1.3", 1700000009244.3862, 0.0)],
            ),
            "whole_run-000000.glcap": FirstDifference(
                153,
                "AttemptEnded(request_id='r33', attempt=0, address='s1', "
                "outcome=<Outcome.REJECTED: 'full'>, duration_ms=193.17645516498365, is_final=False, "
                "queued_requests=4.58, active_requests=0.0, retry_delay_ms=0.0)",
                [Change("0.1.1", "s1", "s0"), Change("0.1.3", 1700000002352.7024, 0.0)],
            ),
        },
    ),
    Mend(
        "an_unseen_window_is_unknown",
        undo_unknown_window,
        {
            "mid_life-000001.glcap": FirstDifference(
                1306,
                "SuccessorStarted()",
                [Change("0.1.0.14.others_demand_per_s", 2.5778457271378015, 3.467983050887975)],
            ),
        },
    ),
    Mend(
        "reports_are_spread_when_the_counter_is_available_again",
        undo_spread_reports,
        {
            "mid_life-000001.glcap": FirstDifference(
                1331,
                "TimerFired(token=0)",
                [
                    Change(
                        "",
                        [[4, [0, 1700000006162.0427]], [5, [8450108826468943943, 1.0, 60000.0]]],
                        [[4, [0, 1700000006162.0427]]],
                    )
                ],
            ),
        },
    ),
    Mend("a_backlog_is_compared_with_what_servers_can_do", undo_backlog_floor, {}),
    Mend(
        "streamed_responses_that_have_begun_are_no_backlog",
        undo_completed_work,
        {
            "mid_life-000001.glcap": FirstDifference(
                1076,
                "Request(request_id='r302', class_name='read', plan='wide', tenant='c2wide', "
                "time_left_ms=3000.0, units=1.0, gateway_spread=2, attempt_timeout_ms=0.0, "
                "hedge_after_ms=40.0)",
                [
                    Change(
                        "",
                        [[2, ["r302", 500.0]]],
                        [[0, ["r302", "s0", 0.0, 0.0]], [4, [65, 1700000004887.2466]]],
                    )
                ],
            ),
        },
    ),
    Mend("units_of_an_ended_window_are_carried_over", undo_carrying_over, {}),
    Mend("units_of_omitted_calls_are_reported_again", undo_reporting_omitted, {}),
    Mend(
        "a_call_that_was_not_added_is_reported_again",
        undo_reporting_again,
        {
            "mid_life-000001.glcap": FirstDifference(
                839,
                "TimerFired(token=0)",
                [
                    Change(
                        "",
                        [[4, [0, 1700000004162.0427]], [5, [9059021013258388823, 14.0, 60000.0]]],
                        [
                            [4, [0, 1700000004162.0427]],
                            [5, [9059021013258388823, 14.0, 60000.0]],
                            [5, [8581842776781040675, 1.0, 60000.0]],
                        ],
                    )
                ],
            ),
            "whole_run-000000.glcap": FirstDifference(
                202,
                "TimerFired(token=0)",
                [
                    Change(
                        "",
                        [
                            [4, [0, 1700000001020.288]],
                            [7, ["requests fail on most servers: begins"]],
                            [5, [756097908789727331, 3.0, 60000.0]],
                        ],
                        [
                            [4, [0, 1700000001020.288]],
                            [7, ["requests fail on most servers: begins"]],
                            [5, [756097908789727331, 3.0, 60000.0]],
                            [5, [4487880286067036732, 1.0, 60000.0]],
                        ],
                    )
                ],
            ),
        },
    ),
]


def undo_mends(patch: pytest.MonkeyPatch, kept: Mend | None = None) -> None:
    """Puts the decision code as it was before the mends in place of today's; `kept` is not undone."""
    for mend in MENDS:
        if mend is not kept:
            mend.undo(patch)


if __name__ == "__main__":
    undo_mends(pytest.MonkeyPatch())
    sys.exit(serve(sys.stdin, sys.stdout))
