"""Use by account against the counter's totals: what is told of, and what is not."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from glenchute.policy.admission.windows import stable_key, window_length_ms, window_start_ms
from glenchute.policy.membership import usage_audit as audits
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.policy.membership.usage_audit import MAX_QUERIES_PER_STEP, UsageAudit
from glenchute.policy.settings import Plan
from lab.fleet.acting import MORE
from lab.fleet.processes import FleetSite
from lab.load import Account
from lab.peers import play
from lab.site import SETTINGS

PLAN = Plan("p", rate_per_s=4.0, burst_units=12.0)
HARD = Plan("h", rate_per_s=4.0, burst_units=12.0, ceiling_rate_per_s=8.0, ceiling_burst_units=20.0)
NOW = 1_700_000_000_000.0
SPAN = window_length_ms(PLAN)
MARK = 1000.0


def begins(account: str, ago: int = 2) -> int:
    """The start of a window that is over and settled."""
    return round(window_start_ms(NOW, account, PLAN) - ago * SPAN)


def used(account: str, units: float, writer: str = "g0#1", ago: int = 2) -> Row:
    return Row(RowKind.USE, f"{account}/{begins(account, ago)}", writer, 1, units)


def prepared(plan: Plan = PLAN) -> UsageAudit:
    audit = UsageAudit()
    for number in range(40):
        audit.note_account(f"a{number}", plan)
    return audit


def test_windows_are_looked_at_once_the_busiest_first_and_only_sound_ones() -> None:
    audit = prepared()
    rows = [used(f"a{n}", float(n), writer) for n in range(30) for writer in ("g0#1", "g1#1")]
    rows += [
        Row(RowKind.USE, f"a1/{begins('a1') + 700}", "g9#1", 1, 1e6),
        Row(RowKind.USE, "a1/²", "g9#1", 1, 1e6),
        used("stranger", 1e6),
        used("a2", 1e6, ago=0),
        used("a2", 1e6, ago=9),
    ]
    first = audit.due_queries(NOW, rows)
    assert [look.reported_units for look in first] == [
        2.0 * n for n in range(29, 29 - MAX_QUERIES_PER_STEP, -1)
    ]
    at = begins("a29")
    assert first[0][2:] == (at, stable_key(f"a29/{at}"), 58.0, MARK)
    second = audit.due_queries(NOW, rows)
    assert {look.account for look in (*first, *second)} == {f"a{n}" for n in range(30)}
    assert audit.due_queries(NOW, rows) == []


CASES: dict[str, tuple[Plan, Any, list[bool | None]]] = {
    # plan; units of members and the total, window by window; what is told: the counter holds less, more
    "alike, with three marks": (PLAN, [(10.0, 3 * MARK + 11.0)] * 5, [None] * 5),
    "within the slack": (PLAN, [(100.0, MARK + 89.0)] * 5, [None] * 5),
    "less, three in a row, once": (PLAN, [(20.0, 5.0)] * 6, [None, None, True, None, None, None]),
    "less, and agrees, and less": (PLAN, [(20.0, 5.0)] * 3 + [(20.0, 20.0)] + [(20.0, 5.0)] * 3,
                                   [None, None, True, None, None, None, True]),
    "not in a row": (PLAN, [(20.0, 5.0), (20.0, 5.0), (20.0, 20.0)] * 3, [None] * 9),
    "less, then more": (PLAN, [(20.0, 5.0)] * 3 + [(5.0, 20.0)] * 3, [None, None, True, None, None, False]),
    "more under a ceiling is refused asks": (HARD, [(5.0, 20.0)] * 5, [None] * 5),
    "no answers": (PLAN, [(20.0, None)] * 5, [None] * 5),
    "refused asks taken off in the next window": (PLAN, [(1.0, MARK - 0.5)] * 5, [None] * 5),
}  # fmt: skip


@pytest.mark.parametrize("name", CASES)
def test_what_is_told_of(name: str) -> None:
    plan, windows, wanted = CASES[name]
    audit, told = prepared(plan), []
    for ago, (units, total) in enumerate(windows):
        at = NOW + ago * SPAN
        row = Row(RowKind.USE, f"a1/{round(window_start_ms(at, 'a1', PLAN) - 2 * SPAN)}", "g0#1", 1, units)
        (look,) = audit.due_queries(at, [row])
        found = audit.receive_total(look, total)
        told.append(found.is_counter_lower if found is not None else None)
    assert told == wanted


def test_books_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    for bound in ("MAX_ACCOUNTS", "MAX_CHECKED_WINDOWS"):
        monkeypatch.setattr(audits, bound, 5)
    audit = prepared()
    for number in range(40):
        audit.note_account(f"a{number}", PLAN)
        for ago in range(3):
            for look in audit.due_queries(NOW + ago * SPAN, [used(f"a{number}", 50.0, ago=2 - ago)]):
                audit.receive_total(look, 0.0)
    assert (
        max(len(audit.plans), len(audit.checked_windows), len(audit.mismatch_runs), len(audit.mismatches))
        <= 5
    )


def test_a_gateway_cut_off_from_the_counter_is_found_out_by_one_of_three(tmp_path: Path) -> None:
    """Calm while all count, and through a counter that forgot; told by one process, while g2 is cut off, and
    by another where g2 itself had the task."""
    accounts = [Account(b"%016x" % n, "quick", 1.0, ",spread=3,first=0") for n in (88, 89)]
    settings = {**SETTINGS, "packages": [{"name": "quick", "per_second": 20.0, "most_at_once": 20.0}]}
    tail = (
        '[fleet.leases]\nvoters = ["g0", "g1", "g2"]\nlongest_s = 1.0\n'
        '[[fleet.leases.tasks]]\nname = "audit"\nkind = "audit"\ninterval_s = 0.5\n'
    )

    async def scenario() -> None:
        async with FleetSite(tmp_path, 3, settings=settings, more=MORE, tail=tail) as site:

            async def total(what: str) -> int:
                rows = [await site.asked(number, "state") for number in range(3)]
                return sum(row[0][what] for row in rows if row)

            async def compared(count: int) -> None:
                wanted = await total("audited") + count

                async def enough() -> bool:
                    return await total("audited") >= wanted

                await site.until(enough, 30.0)

            async def told(which: str = "holds=less") -> bool:
                return any("audit.use" in log and which in log for log in logs())

            def logs() -> list[str]:
                return [gateway.log.read_text() for gateway in site.gateways]

            await site.start()
            await site.until(lambda: site.whole(range(3), 1.0))
            rates = {0: 2.0, 1: 2.0, 2: 12.0}
            load = [asyncio.create_task(site.load(90.0, rate, accounts, [n])) for n, rate in rates.items()]
            await compared(6)
            site.parts.replace()
            await compared(6)
            assert not await told("")
            site.to_counter[2].cut()
            await site.until(told, 30.0)
            site.to_counter[2].cut(cut=False)

            async def agrees() -> bool:
                return await total("use_apart") == 0

            await site.until(agrees, 30.0)
            assert sum("audit.use" in log for log in logs()) == 1
            for task in load:
                task.cancel()

    play(scenario())
