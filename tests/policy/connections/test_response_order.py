"""Tests of which unfinished requests are abandoned for finished replies behind them."""

from __future__ import annotations

import asyncio
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.listeners.resp2 import listener as listener_module
from glenchute.policy.connections.response_order import PendingReply, ReleaseDecision, decide_release
from tests.loopback import CHARGE, CUSTOMER, ScriptedEngine, run_scenario, send_to, wait_until
from tests.upstreams.test_pipelined_servers import ScriptedServer, burst, change_rules, pipelined_site, value

MARGIN_S = 0.02
CHECK_DELAY_S = 0.2  # time from the last reply to the check that abandons what blocks it


def build_pending_replies(letters: str, **deadline_s: float) -> list[PendingReply]:
    """Builds pending replies: `s` is an unfinished read, `u` an unfinished charge, and any other letter a
    finished reply with its deadline in `deadline_s`, by default 0.01."""
    unfinished = {"s": PendingReply(9.0, False, True), "u": PendingReply(9.0, False, False)}
    return [
        unfinished.get(letter) or PendingReply(deadline_s.get(letter, 0.01), True, False)
        for letter in letters
    ]


@pytest.mark.parametrize(
    ("letters", "deadlines_s", "expected"),
    [
        ("", {}, ReleaseDecision(0, math.inf)),
        ("s", {}, ReleaseDecision(0, math.inf)),
        ("ab", {}, ReleaseDecision(0, math.inf)),  # nothing blocks them
        ("sa", {}, ReleaseDecision(0, math.inf)),  # one reply for one request is no gain
        ("sab", {}, ReleaseDecision(3, math.inf)),
        ("usab", {}, ReleaseDecision(0, math.inf)),  # a charge is never abandoned, nor anything behind it
        ("sabuss", {}, ReleaseDecision(3, math.inf)),
        ("ssab", {}, ReleaseDecision(0, math.inf)),
        ("ssabc", {}, ReleaseDecision(5, math.inf)),
        ("sabsc", {}, ReleaseDecision(3, math.inf)),  # abandoning the second gains only one more reply
        ("sabscde", {}, ReleaseDecision(7, math.inf)),
        ("sab", {"b": 0.5}, ReleaseDecision(0, 0.48)),  # not urgent yet
        ("sabc", {"c": 0.5}, ReleaseDecision(3, 0.48)),
        ("sab", {"a": -1.0, "b": 0.0}, ReleaseDecision(0, math.inf)),  # too late to gain anything
        ("sab", {"a": math.inf}, ReleaseDecision(0, math.inf)),  # a PING has no deadline
    ],
)
def test_which_requests_are_abandoned(
    letters: str, deadlines_s: dict[str, float], expected: ReleaseDecision
) -> None:
    decision = decide_release(0.0, build_pending_replies(letters, **deadlines_s), MARGIN_S)
    assert decision.release_count == expected.release_count and decision.next_check_s == pytest.approx(
        expected.next_check_s
    )


@given(st.lists(st.builds(PendingReply, st.floats(-1, 2), st.booleans(), st.booleans()), max_size=40))
@settings(derandomize=True, deadline=None)
def test_more_replies_are_delivered_in_time_than_requests_are_abandoned(
    pending_replies: list[PendingReply],
) -> None:
    found = decide_release(0.0, pending_replies, MARGIN_S)
    released = pending_replies[: found.release_count]
    abandoned = [reply for reply in released if not reply.is_finished]
    assert all(reply.may_fail for reply in abandoned)
    first = next((at for at, reply in enumerate(released) if not reply.is_finished), 0)
    delivered = [
        reply for reply in released[first:] if reply.is_finished and 0.0 < reply.deadline_s <= MARGIN_S
    ]
    assert not found.release_count or len(delivered) > len(abandoned) > 0
    assert found.next_check_s > 0.0


@pytest.mark.parametrize("release", [True, False])
def test_64_reads_on_one_connection_behind_a_stalled_one(
    release: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first read stalls and the others finish long before it. If `release` is enabled, the first fails in
    time for the others, but not before one of them is close to its deadline; otherwise they are delivered
    when the first one ends.

    The margin is set when all but one are finished, so that it is reached `CHECK_DELAY_S` later. The
    deadlines are far longer than any stall of the machine, so the test controls the order of events."""

    async def scenario() -> None:
        server, stall_ends = ScriptedServer(), asyncio.Event()
        operator = (
            f'[pipeline]\nclasses = ["read"]\nleast_stall_ms = 20000\nrelease = {str(release).lower()}\n'
        )
        async with pipelined_site(server, decisions=ScriptedEngine(send_to("s0")), operator=operator) as (
            gateway_site,
            upstream,
        ):
            # One attempt per connection, so that only the replies to the client are blocked.
            change_rules(upstream, max_depth=1)
            client = await gateway_site.client()
            loop = asyncio.get_running_loop()
            slow_parameters, quick_parameters = b"c=read,t=basic,d=20000", b"c=read,t=basic,d=10000"
            commands = [
                (b"CALL.GET", CUSTOMER, b"%d" % n, quick_parameters if n else slow_parameters)
                for n in range(64)
            ]
            await burst(client, *commands)
            await wait_until(lambda: len(server.ran) == 64)
            command_numbers = {ran[2]: number for number, ran in server.ran}
            # All are at the server concurrently, each on its own connection.
            assert len(command_numbers) == len(set(command_numbers.values())) == 64
            (connection,) = gateway_site.program.listener.clients
            for n in range(1, 63):
                server.send(value(b"v%d" % n), command_numbers[b"%d" % n])
            await wait_until(lambda: sum(slot.reply is not None for slot in connection.slots) == 62)
            first_deadline = min(slot.deadline for slot in connection.slots if slot.reply is not None)
            check_at = loop.time() + CHECK_DELAY_S
            monkeypatch.setattr(listener_module, "RELEASE_MARGIN_S", first_deadline - check_at)
            server.send(value(b"v63"), command_numbers[b"63"])
            await wait_until(lambda: not connection.slots or connection.slots[-1].reply is not None)

            async def end_stall() -> None:
                await asyncio.sleep(2.0 * CHECK_DELAY_S)
                stall_ends.set()
                assert len(connection.slots) == 64 and not client.reader._buffer  # type: ignore[attr-defined]
                server.send(b"-ERR gave up\r\n", command_numbers[b"0"])

            stall_task = None if release else asyncio.create_task(end_stall())
            replies = [await client.reply()]
            assert stall_ends.is_set() is not release
            # The loop's clock has a resolution of 1 ms.
            assert check_at - 0.001 <= loop.time() < first_deadline
            replies += [await client.reply() for _ in range(63)]
            assert str(replies[0]) == "ERR failed" and replies[1:] == [b"v%d" % n for n in range(1, 64)]
            assert loop.time() < first_deadline
            await wait_until(lambda: not connection.slots)
            assert (
                not gateway_site.program.gateway.active_requests
                and not gateway_site.program.listener.release_timers
            )
            if release:
                # The stalled request is cancelled at the server as well.
                await wait_until(lambda: command_numbers[b"0"] in server.ended)
            if stall_task is not None:
                await stall_task

    run_scenario(scenario())


def test_a_non_idempotent_request_is_never_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check is made when a read in its place would be abandoned for the replies behind it."""

    async def scenario() -> None:
        server = ScriptedServer()
        operator = '[pipeline]\nclasses = ["read"]\nrelease = true\n'
        async with pipelined_site(server, decisions=ScriptedEngine(send_to("s0")), operator=operator) as (
            gateway_site,
            upstream,
        ):
            change_rules(upstream, max_depth=1)
            client = await gateway_site.client()
            loop = asyncio.get_running_loop()
            quick_parameters = b"c=read,t=basic,d=10000"
            charge = (b"CALL.POST", CUSTOMER, b"x", CHARGE, b"body")
            await burst(
                client, charge, *[(b"CALL.GET", CUSTOMER, b"%d" % n, quick_parameters) for n in range(3)]
            )
            await wait_until(lambda: len(server.ran) == 4)
            (connection,) = gateway_site.program.listener.clients
            check_at = loop.time() + CHECK_DELAY_S
            monkeypatch.setattr(
                listener_module,
                "RELEASE_MARGIN_S",
                min(slot.deadline for slot in connection.slots) - check_at,
            )
            command_numbers = {ran[2]: number for number, ran in server.ran}
            for number, ran in server.ran:
                if ran[2] != b"x":
                    server.send(value(b"v" + ran[2]), number)
            await wait_until(lambda: sum(slot.reply is not None for slot in connection.slots) == 3)
            await asyncio.sleep(2.0 * CHECK_DELAY_S)
            assert len(connection.slots) == 4 and loop.time() > check_at
            connection.flush()  # a further flush does not abandon the charge either
            assert len(connection.slots) == 4 and not client.reader._buffer  # type: ignore[attr-defined]
            server.send(value(b"ok"), command_numbers[b"x"])
            assert [await client.reply() for _ in range(4)] == [b"ok", b"v0", b"v1", b"v2"]

    run_scenario(scenario())
