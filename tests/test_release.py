"""Replies in the order of their commands: what is given up for finished ones behind it, and what never is."""

from __future__ import annotations

import asyncio
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.deciders.release import Verdict, Waiting, verdict

from .loopback import CHARGE, CUSTOMER, Script, play, send_to, until
from .test_lines_loopback import Book, burst, sharing

MARGIN = 0.02


def order(text: str, **due: float) -> list[Waiting]:
    """`s`: an unanswered read, `u`: an unanswered charge, others: an answered one, due as told (0.01)."""
    open_ones = {"s": Waiting(9.0, False, True), "u": Waiting(9.0, False, False)}
    return [open_ones.get(one) or Waiting(due.get(one, 0.01), True, False) for one in text]


@pytest.mark.parametrize(
    ("text", "due", "expected"),
    [
        ("", {}, Verdict(0, math.inf)),
        ("s", {}, Verdict(0, math.inf)),
        ("ab", {}, Verdict(0, math.inf)),  # they go out by themselves
        ("sa", {}, Verdict(0, math.inf)),  # one for one is no gain
        ("sab", {}, Verdict(3, math.inf)),
        ("usab", {}, Verdict(0, math.inf)),  # a charge is never given up, nor what is behind it
        ("sabuss", {}, Verdict(3, math.inf)),
        ("ssab", {}, Verdict(0, math.inf)),
        ("ssabc", {}, Verdict(5, math.inf)),
        ("sabsc", {}, Verdict(3, math.inf)),  # the second is not worth one more
        ("sabscde", {}, Verdict(7, math.inf)),
        ("sab", {"b": 0.5}, Verdict(0, 0.48)),  # not urgent yet
        ("sabc", {"c": 0.5}, Verdict(3, 0.48)),
        ("sab", {"a": -1.0, "b": 0.0}, Verdict(0, math.inf)),  # late already: nothing is gained
        ("sab", {"a": math.inf}, Verdict(0, math.inf)),  # a PING waits for ever
    ],
)
def test_what_is_given_up(text: str, due: dict[str, float], expected: Verdict) -> None:
    found = verdict(0.0, order(text, **due), MARGIN)
    assert found.through == expected.through and found.next_look == pytest.approx(expected.next_look)


@given(st.lists(st.builds(Waiting, st.floats(-1, 2), st.booleans(), st.booleans()), max_size=40))
@settings(derandomize=True, deadline=None)
def test_more_gain_than_are_given_up(rows: list[Waiting]) -> None:
    found = verdict(0.0, rows, MARGIN)
    taken = rows[: found.through]
    given_up = [row for row in taken if not row.answered]
    assert all(row.may_fail for row in given_up)
    first = next((at for at, row in enumerate(taken) if not row.answered), 0)
    gain = [row for row in taken[first:] if row.answered and 0.0 < row.due <= MARGIN]
    assert not found.through or len(gain) > len(given_up) > 0
    assert found.next_look > 0.0


@pytest.mark.parametrize("release", [True, False])
def test_a_portal_with_64_reads_on_one_connection(release: bool) -> None:
    """The first stalls; the others, done long before, have 300 ms. Where that is asked for, the first is
    failed in time for them; else they go out once it ends."""

    async def scenario() -> None:
        book = Book()
        asked = str(release).lower()
        operator = f'[pipeline]\nclasses = ["read"]\nleast_stall_ms = 5000\nrelease = {asked}\n'
        async with sharing(book, decisions=Script(send_to("s0")), operator=operator) as (one, lines):
            lines.pipeline.rules = lines.pipeline.rules._replace(depth=1)  # each alone: only the client waits
            client = await one.client()
            loop = asyncio.get_running_loop()
            began = loop.time()
            slow, quick = b"c=read,t=basic,d=1200", b"c=read,t=basic,d=300"
            words = [(b"CALL.GET", CUSTOMER, b"%d" % n, quick if n else slow) for n in range(64)]
            await burst(client, *words)
            await until(lambda: len(book.ran) == 64)
            for number, ran in list(book.ran):
                if ran[2] != b"0":
                    book.send(b"*3\r\n$1\r\nv\r\n*-1\r\n*-1\r\n", number)
            replies = [await client.reply() for _ in range(64)]
            took = loop.time() - began
            assert str(replies[0]) == "ERR failed" and replies[1:] == [b"v"] * 63
            assert took < 0.6 if release else took > 1.1
            assert not one.program.gateway.live and not one.program.listener.looks

    play(scenario())


def test_a_charge_is_not_given_up_and_the_order_stands() -> None:
    async def scenario() -> None:
        book = Book()
        operator = '[pipeline]\nclasses = ["read"]\nrelease = true\n'
        async with sharing(book, decisions=Script(send_to("s0")), operator=operator) as (one, _):
            client = await one.client()
            quick = b"c=read,t=basic,d=150"
            charge = (b"CALL.POST", CUSTOMER, b"x", CHARGE.replace(b"d=20000", b"d=600"), b"body")
            await burst(client, charge, *[(b"CALL.GET", CUSTOMER, b"%d" % n, quick) for n in range(3)])
            await until(lambda: len(book.ran) == 4)
            for number, ran in list(book.ran):
                if ran[2] != b"x":
                    book.send(b"*3\r\n$1\r\nv\r\n*-1\r\n*-1\r\n", number)
            await asyncio.sleep(0.3)
            at = next(number for number, ran in book.ran if ran[2] == b"x")
            book.send(b"*3\r\n$2\r\nok\r\n*-1\r\n*-1\r\n", at)
            assert await client.reply() == b"ok"
            assert all([await client.reply() for _ in range(3)])

    play(scenario())
