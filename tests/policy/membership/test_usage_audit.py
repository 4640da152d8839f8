"""Audit of usage by account against the counter's totals: which mismatches are reported, and which are
not."""

from __future__ import annotations

import asyncio
import math
import random
from pathlib import Path
from typing import Any

import pytest

from glenchute.policy.admission.windows import stable_key, window_length_ms, window_start_ms
from glenchute.policy.membership import usage_audit
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.policy.membership.usage_audit import MAX_QUERIES_PER_STEP, UsageAudit
from glenchute.policy.settings import Plan
from lab.fleet.leased_tasks import FLEET_OPTIONS
from lab.fleet.processes import FleetSite
from lab.load import Account
from lab.peers import run_scenario
from lab.site import SETTINGS

PLAN = Plan("p", rate_per_s=4.0, burst_units=12.0)
CEILING_PLAN = Plan("h", rate_per_s=4.0, burst_units=12.0, ceiling_rate_per_s=8.0, ceiling_burst_units=20.0)
NOW_MS = 1_700_000_000_000.0
WINDOW_MS = window_length_ms(PLAN)
MARKER = 1000.0


def window_start(account: str, windows_ago: int = 2) -> int:
    """Returns the start of an earlier window; by default of one that has ended and is settled."""
    return round(window_start_ms(NOW_MS, account, PLAN) - windows_ago * WINDOW_MS)


def usage_row(account: str, units: float, writer: str = "g0#1", windows_ago: int = 2) -> Row:
    return Row(RowKind.USE, f"{account}/{window_start(account, windows_ago)}", writer, 1, units)


def make_audit(plan: Plan = PLAN) -> UsageAudit:
    audit = UsageAudit()
    for number in range(40):
        audit.note_account(f"a{number}", plan)
    return audit


def test_valid_windows_are_queried_once_and_the_busiest_first() -> None:
    audit = make_audit()
    rows = [usage_row(f"a{n}", float(n), writer) for n in range(30) for writer in ("g0#1", "g1#1")]
    rows += [
        Row(RowKind.USE, f"a1/{window_start('a1') + 700}", "g9#1", 1, 1e6),
        Row(RowKind.USE, "a1/²", "g9#1", 1, 1e6),
        usage_row("stranger", 1e6),
        usage_row("a2", 1e6, windows_ago=0),
        usage_row("a2", 1e6, windows_ago=9),
    ]
    first = audit.due_queries(NOW_MS, rows)
    assert [query.reported_units for query in first] == [
        2.0 * n for n in range(29, 29 - MAX_QUERIES_PER_STEP, -1)
    ]
    start = window_start("a29")
    assert first[0][2:] == (start, stable_key(f"a29/{start}"), 58.0, MARKER)
    second = audit.due_queries(NOW_MS, rows)
    assert {query.account for query in (*first, *second)} == {f"a{n}" for n in range(30)}
    assert audit.due_queries(NOW_MS, rows) == []


CASES: dict[str, tuple[Plan, Any, list[bool | None]]] = {
    # Plan; members' units and the counter's total in each window; the report after each window: True where
    # the counter is lower, False where it is higher, None for no report.
    "alike, with three markers": (PLAN, [(10.0, 3 * MARKER + 11.0)] * 5, [None] * 5),
    "within the tolerance": (PLAN, [(100.0, MARKER + 89.0)] * 5, [None] * 5),
    # The third of them began before the first was audited, so the counter may have been reset once.
    "less, four in a row, once": (PLAN, [(20.0, 5.0)] * 6, [None, None, None, True, None, None]),
    "less, three in a row": (PLAN, [(20.0, 5.0)] * 3 + [(20.0, 20.0)] * 2, [None] * 5),
    "less, and agrees, and less": (PLAN, [(20.0, 5.0)] * 4 + [(20.0, 20.0)] + [(20.0, 5.0)] * 4,
                                   [None, None, None, True, None, None, None, None, True]),
    "not in a row": (PLAN, [(20.0, 5.0), (20.0, 5.0), (20.0, 20.0)] * 3, [None] * 9),
    "less, then more": (PLAN, [(20.0, 5.0)] * 4 + [(5.0, 20.0)] * 4,
                        [None, None, None, True, None, None, None, False]),
    "more under a ceiling comes from rejected requests": (CEILING_PLAN, [(5.0, 20.0)] * 5, [None] * 5),
    "no answers": (PLAN, [(20.0, None)] * 5, [None] * 5),
    "rejected units are deducted in the next window": (PLAN, [(1.0, MARKER - 0.5)] * 5, [None] * 5),
}  # fmt: skip


@pytest.mark.parametrize("name", CASES)
def test_persistent_mismatches_are_reported_once(name: str) -> None:
    plan, windows, expected = CASES[name]
    audit, reported = make_audit(plan), []
    for index, (units, total) in enumerate(windows):
        now_ms = NOW_MS + index * WINDOW_MS
        row = Row(
            RowKind.USE,
            f"a1/{round(window_start_ms(now_ms, 'a1', PLAN) - 2 * WINDOW_MS)}",
            "g0#1",
            1,
            units,
        )
        (query,) = audit.due_queries(now_ms, [row])
        mismatch = audit.receive_total(now_ms, query, total)
        reported.append(mismatch.is_counter_lower if mismatch is not None else None)
    assert reported == expected


def reports_after_a_reset(rng: random.Random, reset_ms: float, until_ms: float) -> int:
    """Audits an account with windows of 1 s at irregular times, with a counter that is reset at `reset_ms`.
    Returns the number of reported mismatches, all of which are false before `until_ms`, the time from which
    the counter gets no units."""
    plan = Plan("quick", rate_per_s=20.0, burst_units=20.0)
    audit, reports, now_ms = UsageAudit(), 0, NOW_MS + 10_000.0
    audit.note_account("a", plan)
    first = round(window_start_ms(NOW_MS, "a", plan))
    while now_ms < NOW_MS + 40_000.0:
        now_ms += rng.choice((500.0, 520.0, rng.uniform(500.0, 2500.0)))
        last = round(window_start_ms(now_ms, "a", plan))
        rows = [Row(RowKind.USE, f"a/{start}", "g0#1", 1, 16.0) for start in range(first, last, 1000)]
        for query in audit.due_queries(now_ms, rows):
            is_lost = query.window_start_ms <= reset_ms <= now_ms or query.window_start_ms >= until_ms
            reports += audit.receive_total(now_ms, query, 0.0 if is_lost else 16.0) is not None
    return reports


@pytest.mark.parametrize("seed", range(40))
def test_one_reset_of_the_counter_is_never_reported_and_lasting_loss_is(seed: int) -> None:
    """Guards against a false report where a window is audited later than at once, so that the windows a reset
    takes span one more than was allowed for."""
    rng = random.Random(seed)
    reset_ms = NOW_MS + rng.uniform(15_000.0, 17_000.0)
    assert reports_after_a_reset(rng, reset_ms, math.inf) == 0
    assert reports_after_a_reset(rng, reset_ms, NOW_MS + 25_000.0) == 1


def test_tables_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for bound in ("MAX_ACCOUNTS", "MAX_CHECKED_WINDOWS"):
        monkeypatch.setattr(usage_audit, bound, 5)
    audit = make_audit()
    for number in range(40):
        audit.note_account(f"a{number}", PLAN)
        for windows_ago in range(3):
            for query in audit.due_queries(
                NOW_MS + windows_ago * WINDOW_MS, [usage_row(f"a{number}", 50.0, windows_ago=2 - windows_ago)]
            ):
                audit.receive_total(NOW_MS, query, 0.0)
    assert (
        max(len(audit.plans), len(audit.checked_windows), len(audit.mismatch_runs), len(audit.mismatches))
        <= 5
    )


def test_a_gateway_partitioned_from_the_counter_is_reported_by_one_of_three(tmp_path: Path) -> None:
    """Nothing is reported while all gateways reach the counter, nor when the counter loses its memory. While
    g2 is partitioned from the counter, exactly one process reports it, also if g2 itself held the audit
    task."""
    accounts = [Account(b"%016x" % n, "quick", 1.0, ",spread=3,first=0") for n in (88, 89)]
    settings = {**SETTINGS, "packages": [{"name": "quick", "per_second": 20.0, "most_at_once": 20.0}]}
    tail = (
        '[fleet.leases]\nvoters = ["g0", "g1", "g2"]\nlongest_s = 1.0\n'
        '[[fleet.leases.tasks]]\nname = "audit"\nkind = "audit"\ninterval_s = 0.5\n'
    )

    async def scenario() -> None:
        async with FleetSite(
            tmp_path, 3, settings=settings, fleet_options=FLEET_OPTIONS, operator_tables=tail
        ) as site:

            async def sum_state(field: str) -> int:
                rows = [await site.query(number, "state") for number in range(3)]
                return sum(row[0][field] for row in rows if row)

            async def wait_for_audits(count: int) -> None:
                target = await sum_state("audited") + count

                async def is_reached() -> bool:
                    return await sum_state("audited") >= target

                await site.wait_until(is_reached, 30.0)

            async def is_reported(text: str = "holds=less") -> bool:
                return any("audit.use" in log and text in log for log in logs())

            def logs() -> list[str]:
                return [gateway.log_file.read_text() for gateway in site.gateways]

            await site.start()
            await site.wait_until(lambda: site.know_usage_of(range(3), 1.0))
            rates = {0: 2.0, 1: 2.0, 2: 12.0}
            load = [
                asyncio.create_task(site.run_load(90.0, rate, accounts, [n])) for n, rate in rates.items()
            ]
            await wait_for_audits(6)
            site.counter_partitions.replace()
            await wait_for_audits(6)
            assert not await is_reported("")
            site.counter_links[2].cut()
            await site.wait_until(is_reported, 30.0)
            site.counter_links[2].cut(cut=False)

            async def has_no_mismatch() -> bool:
                return await sum_state("use_apart") == 0

            await site.wait_until(has_no_mismatch, 30.0)
            assert sum("audit.use" in log for log in logs()) == 1
            for task in load:
                task.cancel()

    run_scenario(scenario())
