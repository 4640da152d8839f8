"""Which unfinished requests are abandoned for finished replies behind them, and which never are."""

from __future__ import annotations

import asyncio
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.listeners.resp2 import listener as listener_module
from glenchute.policy.connections.response_order import PendingReply, ReleaseDecision, decide_release
from tests.loopback import CHARGE, CUSTOMER, Script, play, send_to, until
from tests.upstreams.test_pipelined_servers import ScriptedServer, burst, change_rules, pipelined_site, value

MARGIN = 0.02
AHEAD_S = 0.2  # from the last answer to the moment at which what keeps it is given up


def order(text: str, **deadline_s: float) -> list[PendingReply]:
    """`s`: an unfinished read, `u`: an unfinished charge, others: a finished one with this deadline
    (0.01)."""
    open_ones = {"s": PendingReply(9.0, False, True), "u": PendingReply(9.0, False, False)}
    return [open_ones.get(one) or PendingReply(deadline_s.get(one, 0.01), True, False) for one in text]


@pytest.mark.parametrize(
    ("text", "due", "expected"),
    [
        ("", {}, ReleaseDecision(0, math.inf)),
        ("s", {}, ReleaseDecision(0, math.inf)),
        ("ab", {}, ReleaseDecision(0, math.inf)),  # they go out by themselves
        ("sa", {}, ReleaseDecision(0, math.inf)),  # one for one is no gain
        ("sab", {}, ReleaseDecision(3, math.inf)),
        ("usab", {}, ReleaseDecision(0, math.inf)),  # a charge is never given up, nor what is behind it
        ("sabuss", {}, ReleaseDecision(3, math.inf)),
        ("ssab", {}, ReleaseDecision(0, math.inf)),
        ("ssabc", {}, ReleaseDecision(5, math.inf)),
        ("sabsc", {}, ReleaseDecision(3, math.inf)),  # the second is not worth one more
        ("sabscde", {}, ReleaseDecision(7, math.inf)),
        ("sab", {"b": 0.5}, ReleaseDecision(0, 0.48)),  # not urgent yet
        ("sabc", {"c": 0.5}, ReleaseDecision(3, 0.48)),
        ("sab", {"a": -1.0, "b": 0.0}, ReleaseDecision(0, math.inf)),  # late already: nothing is gained
        ("sab", {"a": math.inf}, ReleaseDecision(0, math.inf)),  # a PING waits for ever
    ],
)
def test_which_requests_are_abandoned(text: str, due: dict[str, float], expected: ReleaseDecision) -> None:
    found = decide_release(0.0, order(text, **due), MARGIN)
    assert found.release_count == expected.release_count and found.next_check_s == pytest.approx(
        expected.next_check_s
    )


@given(st.lists(st.builds(PendingReply, st.floats(-1, 2), st.booleans(), st.booleans()), max_size=40))
@settings(derandomize=True, deadline=None)
def test_more_replies_gain_than_requests_are_abandoned(rows: list[PendingReply]) -> None:
    found = decide_release(0.0, rows, MARGIN)
    taken = rows[: found.release_count]
    given_up = [row for row in taken if not row.is_finished]
    assert all(row.may_fail for row in given_up)
    first = next((at for at, row in enumerate(taken) if not row.is_finished), 0)
    gain = [row for row in taken[first:] if row.is_finished and 0.0 < row.deadline_s <= MARGIN]
    assert not found.release_count or len(gain) > len(given_up) > 0
    assert found.next_check_s > 0.0


@pytest.mark.parametrize("release", [True, False])
def test_64_reads_on_one_connection_behind_a_stalled_one(
    release: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first stalls; the others are done long before it. Where that is asked for, the first is failed in
    time for them, and not before one's time is nearly up; else they go out once it ends.

    The margin is set once all but one are done, so that it is reached `AHEAD_S` later: the deadlines are far
    beyond any stall of the machine, and the order of what happens is the test's."""

    async def scenario() -> None:
        book, stall_ends = ScriptedServer(), asyncio.Event()
        operator = (
            f'[pipeline]\nclasses = ["read"]\nleast_stall_ms = 20000\nrelease = {str(release).lower()}\n'
        )
        async with pipelined_site(book, decisions=Script(send_to("s0")), operator=operator) as (
            one,
            upstream,
        ):
            change_rules(upstream, max_depth=1)  # each alone: only the client waits
            client = await one.client()
            loop = asyncio.get_running_loop()
            slow, quick = b"c=read,t=basic,d=20000", b"c=read,t=basic,d=10000"
            words = [(b"CALL.GET", CUSTOMER, b"%d" % n, quick if n else slow) for n in range(64)]
            await burst(client, *words)
            await until(lambda: len(book.ran) == 64)
            where = {ran[2]: number for number, ran in book.ran}
            assert len(where) == len(set(where.values())) == 64  # all at the node at once, each alone
            (connection,) = one.program.listener.clients
            for n in range(1, 63):
                book.send(value(b"v%d" % n), where[b"%d" % n])
            await until(lambda: sum(slot.reply is not None for slot in connection.slots) == 62)
            due = min(slot.deadline for slot in connection.slots if slot.reply is not None)
            look = loop.time() + AHEAD_S
            monkeypatch.setattr(listener_module, "RELEASE_MARGIN_S", due - look)
            book.send(value(b"v63"), where[b"63"])
            await until(lambda: not connection.slots or connection.slots[-1].reply is not None)

            async def ends() -> None:
                await asyncio.sleep(2.0 * AHEAD_S)
                stall_ends.set()
                assert len(connection.slots) == 64 and not client.reader._buffer  # type: ignore[attr-defined]
                book.send(b"-ERR gave up\r\n", where[b"0"])

            end = None if release else asyncio.create_task(ends())
            replies = [await client.reply()]
            assert stall_ends.is_set() is not release
            assert look - 0.001 <= loop.time() < due  # the loop's clock counts whole ms
            replies += [await client.reply() for _ in range(63)]
            assert str(replies[0]) == "ERR failed" and replies[1:] == [b"v%d" % n for n in range(1, 64)]
            assert loop.time() < due
            await until(lambda: not connection.slots)
            assert not one.program.gateway.active_requests and not one.program.listener.release_timers
            if release:
                await until(lambda: where[b"0"] in book.ended)  # nor is the stalled one left at the node
            if end is not None:
                await end

    play(scenario())


def test_a_non_idempotent_request_is_never_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """The moment comes at which a read in its place would be given up for those behind it."""

    async def scenario() -> None:
        book = ScriptedServer()
        operator = '[pipeline]\nclasses = ["read"]\nrelease = true\n'
        async with pipelined_site(book, decisions=Script(send_to("s0")), operator=operator) as (
            one,
            upstream,
        ):
            change_rules(upstream, max_depth=1)
            client = await one.client()
            loop = asyncio.get_running_loop()
            quick = b"c=read,t=basic,d=10000"
            charge = (b"CALL.POST", CUSTOMER, b"x", CHARGE, b"body")
            await burst(client, charge, *[(b"CALL.GET", CUSTOMER, b"%d" % n, quick) for n in range(3)])
            await until(lambda: len(book.ran) == 4)
            (connection,) = one.program.listener.clients
            look = loop.time() + AHEAD_S
            monkeypatch.setattr(
                listener_module, "RELEASE_MARGIN_S", min(slot.deadline for slot in connection.slots) - look
            )
            where = {ran[2]: number for number, ran in book.ran}
            for number, ran in book.ran:
                if ran[2] != b"x":
                    book.send(value(b"v" + ran[2]), number)
            await until(lambda: sum(slot.reply is not None for slot in connection.slots) == 3)
            await asyncio.sleep(2.0 * AHEAD_S)
            assert len(connection.slots) == 4 and loop.time() > look
            connection.flush()  # whatever happens on the connection then
            assert len(connection.slots) == 4 and not client.reader._buffer  # type: ignore[attr-defined]
            book.send(value(b"ok"), where[b"x"])
            assert [await client.reply() for _ in range(4)] == [b"ok", b"v0", b"v1", b"v2"]

    play(scenario())
