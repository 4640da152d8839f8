"""What one process of a gateway tells the next: the message, the module's part, the socket between."""

from __future__ import annotations

import asyncio
import json
import math
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.capture import format_1
from glenchute.capture.recorder import Recorder, Rule
from glenchute.capture.replay import replay as replayed
from glenchute.capture.replay import runs
from glenchute.clients import handover as way
from glenchute.policy.actions import IncrementCounter, SendState, StartAttempt
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    CounterReply,
    Event,
    OtherProcessEnded,
    Outcome,
    QuotaSnapshot,
    Request,
    StateReceived,
    SuccessorStarted,
)
from glenchute.policy.lifecycle.handover import (
    FIELDS,
    LEAST_SHARE,
    MOST_STOCKS,
    SuccessionError,
    Told,
    keeps,
    message,
    parse,
)
from tests.loopback import always, play, site, until
from tests.rig import SETTINGS, Rig, only

STOCK = QuotaSnapshot("c", "rate", 2, 3.0, 0.0, 1.0, 0.5, 2.0, 4.0, 1000.0, 7.0)
figures = st.floats(-1e12, 1e12)


# --- the message -------------------------------------------------------------------------------------------


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.builds(
            QuotaSnapshot, st.text(min_size=1, max_size=64), st.text(max_size=20), st.integers(1, 500),
            *[figures] * 6, st.floats(-1e15, 1e15), st.one_of(figures, st.just(math.inf)),
        ),
        max_size=5,
    ),
    st.floats(LEAST_SHARE, 1.0 - LEAST_SHARE),
)  # fmt: skip
def test_what_is_told_is_read(stocks: list[QuotaSnapshot], share: float) -> None:
    raw = message("g", share, stocks)
    assert parse("g", raw) == Told(share, tuple(stocks))
    for cut in (1, len(raw) // 2, len(raw) - 1):
        with pytest.raises(SuccessionError):
            parse("g", raw[:cut])


def changed(**changes: Any) -> bytes:
    told = json.loads(message("g", 0.5, [STOCK]))
    told.update(changes)
    return json.dumps(told).encode() + b"\n"


def row(at: int, value: Any) -> bytes:
    cells = json.loads(message("g", 0.5, [STOCK]))["stocks"][0]
    cells[at] = value
    return changed(stocks=[cells])


@pytest.mark.parametrize(
    ("raw", "why"),
    [
        (b"\n", "no JSON"),
        (b"[" * 100_000 + b"\n", "no JSON"),
        (b"\xff\xfe\n", "no JSON"),
        (b"[]\n", "format"),
        (changed(format=2), "format"),
        (changed(gateway="h"), "another gateway"),
        (changed(fields=["customer"]), "fields"),
        (changed(stocks={}), "customers"),
        (changed(stocks=[[]] * (MOST_STOCKS + 1)), "customers"),
        (changed(stocks=[[1]]), "not whole"),
        (changed(share=0.9), "range"),
        (changed(share=True), "range"),
        (row(0, ""), "name"),
        (row(0, "x" * 65), "name"),
        (row(1, 5), "name"),
        (row(2, 0), "spread"),
        (row(2, True), "spread"),
        (row(3, "1"), "range"),
        (row(3, 1e300), "range"),
        (row(9, None), "range"),
        (changed(stocks=[[*range(11)]]), "name"),
        (message("g", 0.5, [STOCK]).replace(b"3.0", b"NaN"), "no JSON"),
        (message("g", 0.5, [STOCK]).replace(b"3.0", b"Infinity"), "no JSON"),
    ],
)
def test_what_is_not_as_it_should_be_is_void_as_a_whole(raw: bytes, why: str) -> None:
    with pytest.raises(SuccessionError, match=why):
        parse("g", raw)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_no_bytes_do_harm(raw: bytes) -> None:
    with pytest.raises(SuccessionError):
        parse("g", raw + b"\n")


@given(st.integers(0, 5000), st.integers(64, 4096))
def test_both_shares_are_at_least_a_quarter_and_the_keeper_closes_nobody(held: int, whole: int) -> None:
    share = keeps(held, whole)
    assert LEAST_SHARE <= 1.0 - share <= 0.5
    assert share * whole >= min(held, 0.75 * whole)


# --- the module's part -------------------------------------------------------------------------------------


def busy(customer: str, plan: str, requests: int) -> Rig:
    """A gateway at which a customer has spent some."""
    rig = Rig()
    rig.feed(next_list())
    for _ in range(requests):
        rig.ask("read", plan, customer, spread=1)
        rig.answer_calls()
    return rig


def next_list() -> Any:
    from glenchute.policy.events import EndpointList, EndpointListKind
    from tests.rig import entries

    return EndpointList(EndpointListKind.CACHED, entries(3))


def succeed(old: Rig) -> Rig:
    """The next process, told all."""
    [handed] = only(old.feed(SuccessorStarted()), SendState)
    new = Rig()
    new.now = old.now
    new.feed(StateReceived(handed.quotas))
    new.feed(next_list())
    return new


def let_in(rig: Rig, plan: str, customer: str, requests: int = 60) -> int:
    """How many go on of so many at once. Calls to the counter get no answer."""
    return sum(
        bool(only(rig.ask("read", plan, customer, spread=1)[1], StartAttempt)) for _ in range(requests)
    )


def test_a_spent_quota_is_not_fresh_in_the_next_process() -> None:
    old = busy("c", "rate", 20)  # a burst of 6
    fresh = Rig()
    fresh.feed(next_list())
    assert let_in(fresh, "rate", "c") >= 5
    assert let_in(succeed(old), "rate", "c") <= 1


@pytest.mark.parametrize("spent", [0, 4, 30])
def test_two_processes_grant_no_more_than_one_under_a_ceiling(spent: int) -> None:
    alone = busy("c", "hard", spent)
    alone.ending = Outcome.TIMEOUT
    most = let_in(alone, "hard", "c")
    old = busy("c", "hard", spent)
    new = succeed(old)
    both = let_in(old, "hard", "c") + let_in(new, "hard", "c")
    assert both <= most + 1, (both, most)  # a request is not split


def test_only_the_next_process_marks_names_and_the_old_one_again_once_it_is_alone() -> None:
    old = busy("c", "hard", 2)
    new = succeed(old)

    def marks(rig: Rig) -> bool:
        """Whether a window that begins from now on is marked."""
        rig.advance(20_000.0)
        rig.ask("read", "hard", "c", spread=1)
        word = rig.gateway.quota.tenants.by_id["c"].window_counter
        assert word is not None
        return word.may_add_marker

    assert not marks(old)
    assert marks(new)
    old.feed(OtherProcessEnded())
    assert marks(old)


def test_parts_are_halved_beside_another_and_whole_again_alone() -> None:
    old = busy("c", "hard", 2)
    quota = old.gateway.quota
    before = quota.tenants.by_id["c"].gateway_spread
    old.feed(SuccessorStarted())
    assert quota.tenants.by_id["c"].gateway_spread == 2 * before
    old.ask("read", "hard", "c", spread=1)
    assert quota.tenants.by_id["c"].gateway_spread == 2
    old.feed(OtherProcessEnded())
    assert quota.tenants.by_id["c"].gateway_spread == before == 1


def test_the_old_process_use_is_not_taken_off_twice() -> None:
    old = Rig()
    old.feed(next_list())
    for _ in range(3):
        old.ask("read", "rate", "c", spread=1)
        old.answer_calls()
    old.advance(300.0)
    old.answer_calls()
    new = succeed(old)
    left = new.gateway.quota.tenants.by_id["c"].bucket_units
    new._totals = dict(old._totals)
    name = new.gateway.quota.tenants.by_id["c"].counter_key
    new.ask("read", "rate", "c", spread=1)
    calls = [action for _, action in new.log if isinstance(action, IncrementCounter) and action.key == name]
    if not calls:
        new.advance(1200.0)
        calls = [
            action for _, action in new.log if isinstance(action, IncrementCounter) and action.key == name
        ]
    assert calls
    total = old._totals.get(name, 0.0) + calls[0].amount
    new.feed(CounterReply(name, total, Outcome.OK))
    after = new.gateway.quota.tenants.by_id["c"].bucket_units
    assert after >= left - 1.0 - 0.5, (left, after)


# --- the socket --------------------------------------------------------------------------------------------


def door(loop: asyncio.AbstractEventLoop, raw: bytes, gone: list[str]) -> way.Door:
    return way.Door(loop, lambda: raw, lambda: gone.append("next"))


def test_either_side_hears_of_the_others_end(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        gone: list[str] = []
        path = way.path_in(str(tmp_path), "g", ("127.0.0.1", 1))
        assert path is not None and await way.ask(loop, path, "g", lambda: gone.append("old")) is None
        old = door(loop, message("g", 0.5, [STOCK]), gone)
        await old.open(path)
        assert path.stat().st_mode & 0o077 == 0
        for side in ("next", "old"):
            found = await way.ask(loop, path, "g", lambda: gone.append("old"))
            assert found is not None and found.told == Told(0.5, (STOCK,))
            assert await way.ask(loop, path, "g", lambda: gone.append("third")) is None  # one at a time
            assert not gone
            if side == "next":
                found.close()  # the new process dies: the old one is alone, and may be asked again
                await until(lambda: gone)
                assert "next" in gone and "third" not in gone
                gone.clear()
            else:
                old.close()
                await until(lambda: "old" in gone)

    play(scenario())


@pytest.mark.parametrize("raw", [b"", b"{", b"{}\n", message("h", 0.5, [])])
def test_void_torn_or_no_words_mean_a_start_without(tmp_path: Path, raw: bytes, monkeypatch: Any) -> None:
    monkeypatch.setattr(way, "WAIT_S", 0.2)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        gone: list[str] = []
        path = tmp_path / "s"
        old = door(loop, raw, gone)
        await old.open(path)
        assert await way.ask(loop, path, "g", lambda: gone.append("old")) is None
        old.close()
        await asyncio.sleep(0.02)
        assert "old" not in gone

    play(scenario())


def test_a_leftover_is_replaced_and_a_long_name_does_without(tmp_path: Path) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        path = tmp_path / "s"
        path.write_text("left over")
        assert await way.ask(loop, path, "g", lambda: None) is None
        one = door(loop, message("g", 0.5, []), [])
        await one.open(path)
        assert await way.ask(loop, path, "g", lambda: None) is not None
        one.close()
        assert way.path_in("/" + "x" * 200, "g", ("127.0.0.1", 1)) is None
        await door(loop, b"", []).open(tmp_path / "no" / "folder")  # serves all the same

    play(scenario())


def test_every_field_of_a_stock_is_told() -> None:
    assert len(QuotaSnapshot.__match_args__) == len(FIELDS)
    assert dict(zip(FIELDS, QuotaSnapshot.__match_args__, strict=True)) == {
        **format_1.QUOTA_SNAPSHOT,
        "plan": "plan",
    }


def test_a_replacement_is_recorded_and_replayed_to_the_bit(tmp_path: Path) -> None:
    clock = [0.0]
    keeper = Recorder(DecisionEngine(SETTINGS, 1), SETTINGS, 1, Rule(str(tmp_path)), lambda: clock[0])
    keeper.handle(1000.0, next_list())
    events: list[Event] = [
        StateReceived((STOCK, replace(STOCK, tenant="d", window_total_units=math.inf))),
        OtherProcessEnded(),
    ]
    for n in range(20):
        events.append(Request(f"r{n}", "read", "rate", "c", 900.0, 1.0, 2))
    events += [SuccessorStarted(), Request("last", "read", "rate", "c", 900.0, 1.0, 2), OtherProcessEnded()]
    for at, event in enumerate(events):
        keeper.handle(1001.0 + at, event)
    keeper.trigger("asked for")
    keeper.writer.close(10.0)
    (files,) = runs(tmp_path).values()
    report = replayed(files)
    assert not report.differences and not report.faults and report.records == len(events) + 1


def test_where_the_platform_asks_for_none_there_is_no_second_process_nor_a_socket_for_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """On the platform's other days no Unix socket is opened, and nothing of it is imported."""
    code = (
        "import sys, glenchute.cli.run\n"
        "for name in ('peers.succession', 'cli.succession', 'fronts.operations', 'backends.long'):\n"
        "    assert 'glenchute.' + name not in sys.modules, name\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
    monkeypatch.setenv("TMPDIR", str(tmp_path))

    async def scenario() -> None:
        async with site(always(b"")) as one:
            assert one.program.succession is None and one.program.operations is None
            assert not list(tmp_path.iterdir())

    play(scenario())
