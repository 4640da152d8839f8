"""Tests of counter replies that arrive after their timeout: reported by the client, used by the engine."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.clients.counter import CounterClient
from glenchute.policy.actions import IncrementCounter, StartAttempt
from glenchute.policy.events import CounterReply, EndpointList, EndpointListKind, Outcome
from tests.loopback import RespPeer, ScriptedEngine, reply_with, run_scenario, site, wait_until
from tests.rig import EngineHarness, actions_of_type, make_endpoints

Report = tuple[str, float, Outcome]


async def collect_reports(reply: Any, release: asyncio.Event, calls: int) -> list[Report]:
    """Makes this many calls for one key to a counter that answers with `reply`, and sets `release` when all
    have timed out. Returns what the client reports, in order."""
    peer = RespPeer(reply)
    await peer.start()
    counter = CounterClient(asyncio.get_running_loop(), ("127.0.0.1", peer.port), 0.05)
    reports: list[Report] = []
    await wait_until(lambda: all(link.is_ready() for link in counter.connections))
    for _ in range(calls):
        counter.increment(
            7, 1.0, 4000.0,
            lambda total, ending, took: reports.append(("done", total, ending)),
            lambda total, ending, took: reports.append(("late", total, ending)),
        )  # fmt: skip
    await wait_until(lambda: len(reports) == calls)
    release.set()
    await wait_until(lambda: len(reports) == 2 * calls)
    await asyncio.sleep(0.05)
    counter.close()
    await asyncio.sleep(0.02)
    await peer.stop()
    return reports


@pytest.mark.parametrize(
    ("answer", "total", "ending"),
    [
        (b"$1\r\n5\r\n", 5.0, Outcome.OK),
        (b"-BUSY\r\n", 0.0, Outcome.REJECTED),
        (b"+noise\r\n", 0.0, Outcome.TIMEOUT),
    ],
)
def test_after_a_timeout_a_late_reply_is_reported_once(answer: bytes, total: float, ending: Outcome) -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            await release.wait()
            return answer

        reports = await collect_reports(reply, release, 3)
        assert reports[:3] == [("done", 0.0, Outcome.TIMEOUT)] * 3
        assert reports[3:] == [("late", total, ending)] * 3

    run_scenario(scenario())


def test_a_broken_connection_ends_late_replies() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            if words[0] == b"PING":
                return b"+PONG\r\n"
            await release.wait()
            writer.close()
            return None

        reports = await collect_reports(reply, release, 2)
        assert reports == [("done", 0.0, Outcome.TIMEOUT)] * 2 + [("late", 0.0, Outcome.TIMEOUT)] * 2

    run_scenario(scenario())


def test_the_core_passes_late_replies_to_the_engine() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reply_after_release(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
            if words[0] != b"PING":
                await release.wait()
            return b"+PONG\r\n" if words[0] == b"PING" else b"$1\r\n4\r\n"

        script = ScriptedEngine(lambda event: [])
        async with site(reply_with(b""), decisions=script, counter=reply_after_release) as gateway_site:
            counter = gateway_site.program.counter
            assert counter is not None
            counter.timeout_s = 0.05
            gateway_site.program.gateway.execute(IncrementCounter(12, 1.0, 4000.0))
            await wait_until(lambda: script.events_of(CounterReply))
            release.set()
            await wait_until(lambda: len(script.events_of(CounterReply)) == 2)
            first, second = script.events_of(CounterReply)
            assert (first.outcome, first.is_late) == (Outcome.TIMEOUT, False)
            assert (second.outcome, second.total, second.is_late) == (Outcome.OK, 4.0, True)

    run_scenario(scenario())


# --- the engine --------------------------------------------------------------------------------------------


class LateCounterRig(EngineHarness):
    """A gateway whose counter replies to every call after its timeout, or never."""

    def __init__(self) -> None:
        super().__init__()
        self.handle_event(EndpointList(EndpointListKind.CACHED, make_endpoints(3)))
        self.counter_outcome = Outcome.TIMEOUT
        self.totals: dict[int, float] = {}
        self.late_count = 0

    def answer_late(self, ending: Outcome = Outcome.OK, others_units: float = 0.0) -> None:
        """Sends the late replies to all calls that have timed out, in order."""
        calls = [action for _, action in self.action_log if isinstance(action, IncrementCounter)][
            self.late_count :
        ]
        self.late_count += len(calls)
        for call in calls:
            if ending is Outcome.OK:
                self.totals[call.key] = self.totals.get(call.key, 0.0) + call.amount + others_units
            total = self.totals.get(call.key, 0.0)
            self.handle_event(
                CounterReply(call.key, total if ending is Outcome.OK else 0.0, ending, 70.0, True)
            )

    def send_requests(self, requests: int, late: bool = True) -> int:
        """Sends requests of one tenant, 100 ms apart; returns how many were admitted."""
        admitted = 0
        for _ in range(requests):
            admitted += bool(actions_of_type(self.ask("read", "rate", "c", spread=2)[1], StartAttempt))
            self.answer_calls()
            if late:
                self.answer_late()
            self.advance(100.0)
            self.answer_calls()
            if late:
                self.answer_late()
        return admitted


def test_a_counter_that_replies_late_is_available() -> None:
    delayed, silent = LateCounterRig(), LateCounterRig()
    delayed.send_requests(15)
    silent.send_requests(15, late=False)
    assert (
        silent.gateway.quota.counter.pacing.is_unavailable
        and not delayed.gateway.quota.counter.pacing.is_unavailable
    )


def test_late_totals_show_the_others_use_and_own_units_count_once() -> None:
    without_others, with_others = LateCounterRig(), LateCounterRig()
    for rig, others_units in ((without_others, 0.0), (with_others, 2.0)):
        for _ in range(12):
            rig.ask("read", "rate", "c", spread=2)
            rig.advance(250.0)
            rig.answer_calls()
            rig.answer_late(others_units=others_units)
    assert without_others.gateway.quota.tenants.by_id["c"].others_demand_per_s < 0.2, (
        "own units were counted as the others' use"
    )
    assert with_others.gateway.quota.tenants.by_id["c"].others_demand_per_s > 1.0
    assert (
        with_others.gateway.quota.tenants.by_id["c"].bucket_units
        < without_others.gateway.quota.tenants.by_id["c"].bucket_units + 0.1
    )


def test_units_rejected_late_are_reported_again() -> None:
    rig = LateCounterRig()
    rig.ask("read", "rate", "c", spread=2)
    rig.advance(300.0)
    rig.answer_calls()
    tenant = rig.gateway.quota.tenants.by_id["c"]
    admitted_units = tenant.unreported_units + tenant.own_units_since_reply
    rig.answer_late(Outcome.REJECTED)
    assert tenant.own_units_since_reply == 0.0 and tenant.unreported_units <= admitted_units
    assert not rig.gateway.quota.counter.calls.timed_out


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(["ask", "wait", "late", "full", "never", "long"]), max_size=60))
def test_in_any_order_all_values_stay_in_their_range(steps: list[str]) -> None:
    rig = LateCounterRig()
    for step in steps:
        if step == "ask":
            rig.ask("read", "hard", "c", spread=2)
        elif step in ("wait", "long"):
            rig.advance(150.0 if step == "wait" else 9_000.0)
        else:
            endings = {"late": Outcome.OK, "full": Outcome.REJECTED, "never": Outcome.TIMEOUT}
            rig.answer_calls()
            rig.answer_late(endings[step])
        rig.answer_calls()
    quota = rig.gateway.quota
    for tenant in quota.tenants.by_id.values():
        assert (
            0.0 <= tenant.bucket_units <= tenant.plan.burst_units
            and tenant.own_demand_per_s >= 0.0
            and tenant.others_demand_per_s >= 0.0
        )
        assert (
            tenant.window_counter is None
            or not tenant.window_counter.marker_count
            or tenant.window_counter.marker_count <= 2
        )
    assert sum(map(len, quota.counter.calls.timed_out.values())) <= 60
    keys = {tenant.counter_key for tenant in quota.tenants.by_id.values()}
    assert set(quota.counter.calls.timed_out) <= keys, "a call of a window that has ended is kept"
