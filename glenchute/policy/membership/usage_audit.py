"""Audit of usage: compares members' reports with the shared counter's totals. No I/O; wall-clock milliseconds
serve only to name windows.

Both count the same units independently, so where they differ for a window that has ended and whose reports
have arrived, one of them has lost units: a counter that was reset, partitioned or replaced has less than
members admitted; where members' reports do not arrive, the counter has more. One process audits for all, as
each comparison is a call to the counter. Each window is audited once, those with the most units first.

Expected differences are excluded or tolerated: units of requests rejected after the call to the counter stay
in the totals of plans with a ceiling (`CounterSync.make_call`), so for these plans only lower totals count;
the units of calls that timed out may have been added or not, which the tolerances cover.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..admission.epoch_markers import marker_value
from ..admission.windows import stable_key, window_length_ms, window_start_ms
from ..settings import Plan
from .replica import Row, RowKind

SETTLED_S = 3.0  # time after a window's end by which members and the counter have all reports of it
RETAINED_S = 12.0  # time after a window's end until which members still store its rows
MAX_QUERIES_PER_STEP = 16
TOLERANCE_UNITS, TOLERANCE_SHARE = 2.0, 0.1  # the share is of the larger of the two totals
# Successive windows of an account that have to differ in the same direction before a mismatch is reported.
# The last one also has to begin after the first was audited: a counter that was reset by then has lost all
# windows up to that moment, however late they are audited, and nothing of later ones.
MIN_MISMATCHED_WINDOWS = 3
MAX_ACCOUNTS = 5_000
MAX_CHECKED_WINDOWS = 20_000

Window = tuple[str, int]  # account, and start in milliseconds


class CounterQuery(NamedTuple):
    """A total to read from the counter. `reported_units`: units that members reported as admitted."""

    account: str
    plan: Plan
    window_start_ms: int
    counter_name: int
    reported_units: float
    epoch_marker: float


class UsageMismatch(NamedTuple):
    """An account for which the counter has fewer, or more, units than the members reported."""

    account: str
    is_counter_lower: bool
    member_units: float
    counter_units: float


class MismatchRun(NamedTuple):
    """Successive windows of an account that differ in the same direction."""

    is_counter_lower: bool
    window_count: int
    first_audited_ms: float  # when the counter's total of the first window had arrived


class UsageAudit:
    """The state of the audit in one process."""

    def __init__(self) -> None:
        self.plans: dict[str, Plan] = {}  # by account that this process has seen
        self.checked_windows: dict[Window, None] = {}
        self.mismatch_runs: dict[str, MismatchRun] = {}  # by account
        self.mismatches: dict[str, UsageMismatch] = {}  # by account
        self.compared_count = self.unanswered_count = 0

    def note_account(self, account: str, plan: Plan) -> None:
        """Records the plan of an account that has sent a request; without it, the ends of the account's
        windows are unknown."""
        if plan.rate_per_s and account not in self.plans:
            if len(self.plans) >= MAX_ACCOUNTS:
                del self.plans[next(iter(self.plans))]
            self.plans[account] = plan

    def due_queries(self, now_ms: float, rows: Iterable[Row]) -> list[CounterQuery]:
        """Returns the totals to read now. `rows`: all rows that this process has; `now_ms`: by the clock that
        names windows."""
        reported = self.reported_units(now_ms, rows)
        largest = sorted(reported, key=lambda window: (-reported[window], window))[:MAX_QUERIES_PER_STEP]
        return [self.query(window, reported[window]) for window in largest]

    def reported_units(self, now_ms: float, rows: Iterable[Row]) -> dict[Window, float]:
        """Returns the units that members reported, by window, for windows that are due and not yet
        audited."""
        reported: dict[Window, float] = {}
        for row in rows:
            account, _, start = row.key.rpartition("/")
            plan = self.plans.get(account)
            if row.kind is not RowKind.USE or plan is None or not (start.isascii() and start.isdigit()):
                continue
            age_s = (now_ms - int(start) - window_length_ms(plan)) / 1000.0
            window = account, int(start)
            is_due = SETTLED_S <= age_s <= RETAINED_S and window not in self.checked_windows
            if is_due and self.is_window(window, plan):
                reported[window] = reported.get(window, 0.0) + row.value
        return reported

    def query(self, window: Window, reported_units: float) -> CounterQuery:
        """Returns the query for a window, and marks the window as audited."""
        account, start_ms = window
        self.checked_windows[window] = None
        if len(self.checked_windows) > MAX_CHECKED_WINDOWS:
            del self.checked_windows[next(iter(self.checked_windows))]
        plan = self.plans[account]
        marker = marker_value(
            plan.burst_units, plan.rate_per_s, window_length_ms(plan) / 1000.0, plan.ceiling_burst_units
        )
        counter_name = stable_key(f"{account}/{start_ms}")
        return CounterQuery(account, plan, start_ms, counter_name, reported_units, marker)

    @staticmethod
    def is_window(window: Window, plan: Plan) -> bool:
        """Returns whether the plan has such a window; a received row may name any."""
        account, start_ms = window
        return abs(window_start_ms(start_ms + 0.5 * window_length_ms(plan), account, plan) - start_ms) <= 1.0

    def receive_total(self, now_ms: float, query: CounterQuery, total: float | None) -> UsageMismatch | None:
        """Handles the counter's total (None where it did not answer), and returns a mismatch that is to be
        reported now. An account is reported once, until its totals agree again or differ in the other
        direction. `now_ms`: by the clock that names windows."""
        if total is None:
            self.unanswered_count += 1
            return None
        self.compared_count += 1
        units = total - round(total / query.epoch_marker) * query.epoch_marker
        tolerance = TOLERANCE_UNITS + TOLERANCE_SHARE * max(query.reported_units, units)
        is_lower = units < query.reported_units - tolerance
        is_higher = units > query.reported_units + tolerance and not query.plan.ceiling_rate_per_s
        if not is_lower and not is_higher:
            self.mismatch_runs.pop(query.account, None)
            self.mismatches.pop(query.account, None)
            return None
        run = self.extend_run(now_ms, query, is_lower)
        is_short = run.window_count < MIN_MISMATCHED_WINDOWS
        if is_short or query.window_start_ms <= run.first_audited_ms:
            return None
        known = self.mismatches.get(query.account)
        found = UsageMismatch(query.account, is_lower, query.reported_units, units)
        self.mismatches[query.account] = found
        if len(self.mismatches) > MAX_ACCOUNTS:
            del self.mismatches[next(iter(self.mismatches))]
        return found if known is None or known.is_counter_lower is not is_lower else None

    def extend_run(self, now_ms: float, query: CounterQuery, is_lower: bool) -> MismatchRun:
        """Returns the account's run of mismatches including this window; a new run where the last window
        differed in the other direction."""
        run = self.mismatch_runs.get(query.account)
        if run is None or run.is_counter_lower is not is_lower:
            extended = MismatchRun(is_lower, 1, now_ms)
        else:
            extended = MismatchRun(is_lower, run.window_count + 1, run.first_audited_ms)
        if run is None and len(self.mismatch_runs) >= MAX_ACCOUNTS:
            del self.mismatch_runs[next(iter(self.mismatch_runs))]
        self.mismatch_runs[query.account] = extended
        return extended
