"""Use by account, as members' copies have it, against the shared counter's totals. No I/O; wall milliseconds
are the names of windows only.

Both tell of the same units by ways that have nothing in common, so where they differ for a window that is
over and whose words have come, one of them has lost something: a counter that forgot, was split or replaced
holds less than members let in; members that are not heard let in what only the counter knows. One process
looks for all, as each look is a call to the counter; at the windows with the most use first, each once.

What differs for good reasons is left out or allowed for: units of requests that were refused after asking
stay in totals of plans with a ceiling (`Quota.call`), so there only "less" is judged; calls that had no
answer in time may have been added or not, `SLACK` and `SHARE` are for those.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..admission.epoch_markers import marker_value
from ..admission.windows import stable_key, window_length_ms, window_start
from ..settings import Plan
from .replica import Row, RowKind

SETTLED_S = 3.0  # after a window's end all words of it have come, to the counter too
RETAINED_S = 12.0  # ... and members' rows of it are still held
MAX_QUERIES_PER_STEP = 16  # at most in a step
TOLERANCE_UNITS, TOLERANCE_SHARE = 2.0, 0.1  # units, and share of the larger side, by which they may differ
# Windows of an account in a row that have to differ alike before it is told of. They have to begin further
# apart than what a counter that forgot has lost of windows that were over and not yet looked at.
MIN_MISMATCHED_WINDOWS = 3
MAX_ACCOUNTS = 5_000
MAX_CHECKED_WINDOWS = 20_000


class CounterQuery(NamedTuple):
    """One total to be asked for."""

    account: str
    plan: Plan
    window_start_ms: int  # the window, milliseconds
    counter_name: int  # on the counter
    reported_units: float  # units that members let in
    epoch_marker: float


class UsageMismatch(NamedTuple):
    """An account of which both sides tell otherwise, now, or no longer."""

    account: str
    is_counter_lower: bool  # the counter holds less than members let in; else more
    member_units: float
    counter_units: float


class UsageAudit:
    """What one process knows for it."""

    def __init__(self) -> None:
        self.plans: dict[str, Plan] = {}  # of accounts that this process has seen
        self.checked_windows: dict[tuple[str, int], None] = {}  # windows, each once
        # Accounts: how they differ, in how many windows in a row, and when the first of these began.
        self.mismatch_runs: dict[str, tuple[bool, int, int]] = {}
        self.mismatches: dict[str, UsageMismatch] = {}
        self.compared_count = self.unanswered_count = 0

    def note_account(self, account: str, plan: Plan) -> None:
        """A request of this account; only of such is the plan known, and with it where windows end."""
        if plan.rate_per_s and account not in self.plans:
            if len(self.plans) >= MAX_ACCOUNTS:
                del self.plans[next(iter(self.plans))]
            self.plans[account] = plan

    def due_queries(self, now_ms: float, rows: Iterable[Row]) -> list[CounterQuery]:
        """Totals that are worth a look now; `rows` as this process holds them, `now_ms` by the clock that
        windows are named by."""
        told: dict[tuple[str, int], float] = {}
        for row in rows:
            account, _, start = row.key.rpartition("/")
            plan = self.plans.get(account)
            if row.kind is not RowKind.USE or plan is None or not (start.isascii() and start.isdigit()):
                continue
            age_s = (now_ms - int(start) - window_length_ms(plan)) / 1000.0
            window = account, int(start)
            if (
                SETTLED_S <= age_s <= RETAINED_S
                and window not in self.checked_windows
                and self.is_window(window, plan)
            ):
                told[window] = told.get(window, 0.0) + row.value
        chosen = sorted(told, key=lambda window: (-told[window], window))[:MAX_QUERIES_PER_STEP]
        looks = []
        for account, begins in chosen:
            self.checked_windows[account, begins] = None
            if len(self.checked_windows) > MAX_CHECKED_WINDOWS:
                del self.checked_windows[next(iter(self.checked_windows))]
            plan = self.plans[account]
            mark = marker_value(
                plan.burst_units, plan.rate_per_s, window_length_ms(plan) / 1000.0, plan.ceiling_burst_units
            )
            name = stable_key(f"{account}/{begins}")
            looks.append(CounterQuery(account, plan, begins, name, told[account, begins], mark))
        return looks

    @staticmethod
    def is_window(window: tuple[str, int], plan: Plan) -> bool:
        """Whether such a window there is: a row may say anything."""
        account, begins = window
        return abs(window_start(begins + 0.5 * window_length_ms(plan), account, plan) - begins) <= 1.0

    def receive_total(self, look: CounterQuery, total: float | None) -> UsageMismatch | None:
        """The total of a look, None where none came. What is to be told of now: an account that has come to
        differ, once, until it agrees again."""
        if total is None:
            self.unanswered_count += 1
            return None
        self.compared_count += 1
        units = total - round(total / look.epoch_marker) * look.epoch_marker
        most = TOLERANCE_UNITS + TOLERANCE_SHARE * max(look.reported_units, units)
        less, more = (
            units < look.reported_units - most,
            units > look.reported_units + most and not look.plan.ceiling_rate_per_s,
        )
        if not less and not more:
            self.mismatch_runs.pop(look.account, None)
            self.mismatches.pop(look.account, None)
            return None
        before, count, first = self.mismatch_runs.get(look.account, (less, 0, look.window_start_ms))
        if before is not less:
            count, first = 0, look.window_start_ms
        count += 1
        if look.account not in self.mismatch_runs and len(self.mismatch_runs) >= MAX_ACCOUNTS:
            del self.mismatch_runs[next(iter(self.mismatch_runs))]
        self.mismatch_runs[look.account] = less, count, first
        if (
            count < MIN_MISMATCHED_WINDOWS
            or look.window_start_ms - first < 1000.0 * SETTLED_S + window_length_ms(look.plan)
        ):
            return None
        known, found = (
            self.mismatches.get(look.account),
            UsageMismatch(look.account, less, look.reported_units, units),
        )
        self.mismatches[look.account] = found
        if len(self.mismatches) > MAX_ACCOUNTS:
            del self.mismatches[next(iter(self.mismatches))]
        return found if known is None or known.is_counter_lower is not less else None
