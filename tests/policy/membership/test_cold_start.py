"""Cold start of many gateways at once: load on the discovery service, implausible lists, quota overshoot,
and sharing of the list among members."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
import signal
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.admission.quota_bounds import overshoot_bound, start_overshoot_units
from glenchute.policy.endpoints import notification, polling
from glenchute.policy.endpoints.list_confirmation import ListConfirmation
from glenchute.policy.endpoints.polling import PollingSettings, PollScheduler, max_first_polls_per_s
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from glenchute.policy.membership.endpoint_sharing import (
    EndpointListPart,
    SharedEndpoint,
    SharedEndpointList,
    SharingMessage,
)
from glenchute.policy.membership.outgoing import Outgoing
from lab.coldstart import (
    GatewayFleet,
    PollSimulation,
    max_calls_per_s,
    rejection_fraction,
    run_outage,
    run_release,
    run_start,
)
from lab.fleet.processes import FleetSite
from lab.load import Account, Load, RequestKind
from lab.peers import run_scenario, server_row
from lab.sim.members import overshoot
from lab.sim.world import World
from lab.site import with_longer_deadlines

MAX_LIST_AGE_S = 30.0  # configured limit on the age of a list


def waves(crowd: PollSimulation) -> None:
    """A supervisor restarts a third of the gateways every two seconds."""
    for third in range(3):
        crowd.start(range(third, crowd.count, 3))
        crowd.run(2.0)
    crowd.run(60.0)


def lose_watches(crowd: PollSimulation) -> None:
    """The service loses all watches."""
    run_start(crowd)
    crowd.calls.clear()
    crowd.break_watches()
    crowd.run(40.0)


def list_change(crowd: PollSimulation) -> None:
    """The list changes, which answers all watches at once."""
    run_start(crowd)
    crowd.calls.clear()
    crowd.change_list()
    crowd.run(40.0)


def crash_loops(crowd: PollSimulation) -> None:
    """A tenth of the gateways crashes every five seconds."""
    crowd.start(range(crowd.count))
    for _ in range(12):
        crowd.run(5.0)
        crowd.start(range(0, crowd.count, 10))
    crowd.run(30.0)


SCENES: dict[str, Callable[[PollSimulation], None]] = {
    "all at once": run_start, "in waves": waves, "the service down for 30 s": run_outage,
    "the service loses all watches": lose_watches, "a change for all": list_change, "a release": run_release,
    "restart loops": crash_loops,
}  # fmt: skip


# After these scenes, all gateways poll again within `notification.max_backoff_s`, which takes precedence over
# the service's rate.
OUTAGE_SCENES = ("the service down for 30 s", "the service loses all watches")


@pytest.mark.parametrize("count", [200, 500, 520])
@pytest.mark.parametrize("scene", SCENES)
def test_a_service_with_a_configured_rate_is_not_overloaded(scene: str, count: int) -> None:
    """No second has much more than 1.5 times the service's rate of calls, and at most one call in twenty is
    rejected. After an outage the rate is what the polling settings require of the service."""
    rate = (
        count / (polling.POLL_RATE_SHARE * notification.max_backoff_s())
        if scene in OUTAGE_SCENES
        else count / 15.0
    )
    crowd = PollSimulation(count, lambda n: PollingSettings(count, n, rate, MAX_LIST_AGE_S), rate)
    SCENES[scene](crowd)
    assert len(crowd.first_answer_at) == count  # all gateways have their list
    assert max_calls_per_s(crowd.calls) <= 1.5 * rate + 12.0 and rejection_fraction(crowd.calls) <= 0.05


@pytest.mark.parametrize("count", [200, 520])
def test_a_service_slower_than_the_terms_require_recovers(count: int) -> None:
    """At about a fifth of the required rate each gateway keeps to the pace of the polling settings, and the
    service answers at its full rate until all gateways have a list."""
    rate = count / 15.0
    crowd = PollSimulation(count, lambda n: PollingSettings(count, n, rate, MAX_LIST_AGE_S), rate)
    run_start(crowd)
    crowd.down = True
    crowd.break_watches()
    crowd.run(30.0)
    crowd.calls.clear()
    crowd.first_answer_at.clear()
    crowd.down, started_at = False, crowd.now
    crowd.run(120.0)
    assert max_calls_per_s(crowd.calls) <= 1.2 * count / (
        polling.REPEATED_FAILURE_MIN_SHARE * notification.max_backoff_s()
    )
    answered = [call for call in crowd.calls if call.outcome == "answered" and call.at < started_at + 20.0]
    assert len(answered) >= 0.95 * 20.0 * rate
    assert len(crowd.first_answer_at) == count and max(crowd.first_answer_at.values()) <= started_at + 60.0
    assert rejection_fraction(crowd.calls, started_at + 90.0) == 0.0


def no_delay(self: PollScheduler, *_: object) -> float:
    """Replaces a delay of `PollScheduler` that spreads the gateways' polls over time."""
    return 0.0


@pytest.mark.parametrize(
    ("scene", "bug"), [("all at once", "first_poll_delay_s"), ("a change for all", "synchronized_delay_s")]
)
def test_without_delays_the_same_service_is_overloaded(
    scene: str, bug: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(PollScheduler, bug, no_delay)
    crowd = PollSimulation(300, lambda n: PollingSettings(300, n, 20.0, MAX_LIST_AGE_S), 20.0)
    SCENES[scene](crowd)
    assert max_calls_per_s(crowd.calls) >= 250


@pytest.mark.parametrize(
    ("gateways", "rate", "age"),
    [(3, 100.0, 6.0), (40, 100.0, 6.0), (300, 100.0, 6.0), (300, 20.0, MAX_LIST_AGE_S)],
)
def test_first_polls_stay_within_their_bound(gateways: int, rate: float, age: float) -> None:
    for has_list in (True, False):
        gateway_settings = [PollingSettings(gateways, number, rate, age) for number in range(gateways)]
        times = sorted(
            PollScheduler(one, random.Random(n)).first_poll_delay_s(has_list)
            for n, one in enumerate(gateway_settings)
        )
        peak_per_s = max(sum(at <= other < at + 1.0 for other in times) for at in times)
        assert (
            peak_per_s <= max_first_polls_per_s(gateway_settings[0], has_list)
            and times[-1] <= age - notification.ANSWER_ALLOWANCE_S
        )


@pytest.mark.parametrize(("gateways", "rate"), [(40, 12.0), (20, 6.0), (150, 20.0), (520, 60.0)])
def test_scheduled_polls_and_the_ends_of_waits_share_the_rate(gateways: int, rate: float) -> None:
    """Guards against polls that the service rejects in steady state, as their parts add up to more than its
    rate."""
    scheduler = PollScheduler(PollingSettings(gateways, 0, rate, MAX_LIST_AGE_S), random.Random(1))
    scheduled_per_s = gateways / scheduler.spread_s
    waits = [scheduler.watch_wait_s() for _ in range(10_000)]
    ends_per_s = gateways * len(waits) / sum(waits)
    assert scheduled_per_s + ends_per_s <= 1.005 * rate, "beyond the error of a mean of 10,000 draws"


def test_without_a_configured_list_age_only_rejected_calls_are_delayed() -> None:
    """Rejections at an earlier time of high load must not delay the poll after a change of the list, as that
    broke a drain in a benchmark run."""
    scheduler = PollScheduler(PollingSettings(200, 7), random.Random(1))
    assert scheduler.first_poll_delay_s(True) == scheduler.synchronized_delay_s() == 0.0
    delays = [scheduler.record_rejection(None, True) for _ in range(5)]
    assert max(delays) <= notification.max_backoff_s() and len(set(delays)) == 5
    assert scheduler.synchronized_delay_s() == scheduler.reset_for_new_address() == 0.0
    assert all(scheduler.record_failure() <= polling.MAX_BACKOFF_S for _ in range(9))
    assert scheduler.watch_wait_s() <= polling.MAX_WATCH_WAIT_S


def test_gateways_without_a_list_poll_before_those_that_have_one() -> None:
    crowd = PollSimulation(
        300, lambda n: PollingSettings(300, n, 20.0, MAX_LIST_AGE_S), 20.0, has_list=lambda n: n % 100 != 7
    )
    run_start(crowd)
    urgent = [crowd.first_answer_at.pop(n) for n in (7, 107, 207)]
    assert max(urgent) < min(crowd.first_answer_at.values()) + 0.5


@pytest.mark.parametrize(("configured", "actual"), [(300, 3), (3, 300)])
def test_a_wrong_gateway_count_delays_polls_but_does_not_overload_the_service(
    configured: int, actual: int
) -> None:
    """Three gateways configured as 300 get their lists late, but within the age limit. Of 300 gateways
    configured as three, many are rejected, and retry at the pace of the polling settings until all have been
    answered."""
    crowd = PollSimulation(
        actual, lambda n: PollingSettings(configured, n % configured, 20.0, MAX_LIST_AGE_S), 20.0
    )
    run_start(crowd)
    crowd.run(60.0)
    assert len(crowd.first_answer_at) == actual
    if actual < configured:
        assert max(crowd.first_answer_at.values()) < MAX_LIST_AGE_S and rejection_fraction(crowd.calls) == 0.0
    else:
        # A gateway that is rejected again retries no sooner than after this share of the longest backoff.
        pace = actual / (polling.REPEATED_FAILURE_MIN_SHARE * notification.max_backoff_s())
        assert (
            max_calls_per_s(crowd.calls, 20.0) <= 1.2 * pace
            and rejection_fraction(crowd.calls, MAX_LIST_AGE_S + 60.0) < 0.2
        )


def listing(*names: str, kind: EndpointListKind = EndpointListKind.FULL) -> EndpointList:
    return EndpointList(kind, tuple(Endpoint(name, "a") for name in names))


TEN = [f"s{n}" for n in range(10)]
REMOVAL = EndpointList(EndpointListKind.CHANGES, (Endpoint("s0", "a", state=EndpointState.REMOVED),))
LISTS: dict[str, list[tuple[int, EndpointList, bool, bool]]] = {
    # Version, list, whether servers answer, whether the list is accepted.
    "the same again": [(5, listing(*TEN), True, True)],
    "one fewer": [(6, listing(*TEN[1:]), True, True)],
    "half, then full": [(6, listing(*TEN[:4]), True, False), (6, listing(*TEN), True, True)],
    "half, repeated": [(6, listing(*TEN[:4]), True, False), (6, listing(*TEN[:4]), True, True)],
    "two halves": [(6, listing(*TEN[:4]), True, False), (6, listing(*TEN[6:]), True, False)],
    "older, then newer": [(4, listing(*TEN), True, False), (6, listing(*TEN), True, True)],
    "versions that restarted": [(1, listing(*TEN), True, False), (1, listing(*TEN), True, True)],
    "empty while servers answer": [(6, listing(), True, False)] * 3,
    "empty, and no server answers": [(6, listing(), True, False), (6, listing(), False, True)],
    "changes": [(6, REMOVAL, True, True), (7, listing(*TEN[1:5]), True, False)],
}  # fmt: skip


@pytest.mark.parametrize("name", LISTS)
def test_doubtful_lists_need_a_confirmation(name: str) -> None:
    confirmation = ListConfirmation()
    confirmation.apply(5, listing(*TEN))
    assert [
        confirmation.accepts(version, offered, serving) for version, offered, serving, _ in LISTS[name]
    ] == [accepted for *_, accepted in LISTS[name]]


def available_counter(world: World) -> None:
    """Leaves the counter available; it starts empty like the gateways."""


def slow_counter(world: World) -> None:
    world.counter_partitions.slow(45.0)


def unavailable_counter(world: World) -> None:
    world.counter_partitions.kill()


@pytest.mark.parametrize("counter", [available_counter, slow_counter, unavailable_counter])
@pytest.mark.parametrize(("gateways", "requests_per_s"), [(3, 60.0), (40, 60.0), (300, 300.0)])
def test_the_quota_overshoot_of_a_simultaneous_start_is_bounded(
    gateways: int, requests_per_s: float, counter: Callable[[World], None]
) -> None:
    """Measures the overshoot from the forwarded requests. With an unavailable counter the gateways' shares
    alone do not bound it: until the counter has missed three calls, each gateway spends from a full token
    bucket."""
    worst = 0.0
    for seed in (1, 2):
        world = World(seed, gateways, 6)
        plan = world.settings.plans[0]
        counter(world)
        world.flood(4000.0, requests_per_s, plan.name)
        world.run(6000.0)
        bound = overshoot_bound(plan, gateways, 100.0, 1.0)
        timeout_s = world.settings.counter_timeout_ms / 1000.0
        worst = max(worst, overshoot(world.sent, plan))
        assert worst <= start_overshoot_units(plan, bound, requests_per_s, gateways, timeout_s)
    assert counter is not unavailable_counter or worst > bound.unavailable_units


# --- processes -------------------------------------------------------------------------------------------

PROCESS_COUNT = 40
OPERATOR = f"[discovery]\ncalls_per_s = 12\nlist_age_s = {MAX_LIST_AGE_S:.0f}\ndoubt = true\n"
READS = (RequestKind("report-read", 1.0, 20_000),)
REQUEST_COUNT = 52 + 32  # requests that seeds 1 and 2 generate in 2 s at 20 per second
ACCOUNTS = [Account(b"%016x" % n, "korporativni", 1.0, ",spread=1,first=0") for n in range(20)]


def test_forty_processes_start_and_restart_with_a_rate_limited_service(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with GatewayFleet(tmp_path, PROCESS_COUNT, 12.0, 10, OPERATOR) as fleet:
            await fleet.start(range(PROCESS_COUNT))
            await fleet.until(lambda: len(fleet.lists.calls) >= PROCESS_COUNT)
            killed = range(0, PROCESS_COUNT, 2)
            fleet.kill(killed)
            fleet.lists.update(server_row("s9", 9, "Gone"))  # a change for all others at the same time
            await fleet.start(killed)
            before = len(fleet.lists.calls)
            await fleet.until(lambda: len(fleet.lists.calls) >= before + PROCESS_COUNT // 2)
            assert max_calls_per_s(fleet.lists.calls) <= 24 and rejection_fraction(fleet.lists.calls) <= 0.05
            for gateway in fleet.gateways:
                gateway.send_signal(signal.SIGTERM)
            processes = [gateway.process for gateway in fleet.gateways if gateway.process is not None]
            assert [process.wait(10) for process in processes] == [0] * PROCESS_COUNT

    run_scenario(scenario())


@pytest.mark.parametrize("mode", ["empty", "half", "older", "silent"])
def test_a_faulty_or_silent_discovery_service_keeps_no_process_from_serving(
    mode: str, tmp_path: Path
) -> None:
    """Processes restart under load while the service is faulty; one of them is paused during its start."""

    async def scenario() -> None:
        async with GatewayFleet(tmp_path, 3, 50.0, 30, OPERATOR, with_longer_deadlines()) as fleet:
            fleet.lists.mode = mode
            if mode in ("half", "older"):
                # The only server on the faulty list: a gateway that accepts the list can't serve.
                await fleet.site.nodes[0].stop()
            fleet.gateways[2].start()
            fleet.gateways[2].send_signal(signal.SIGSTOP)
            await fleet.start(range(2))
            ports = [gateway.port for gateway in fleet.gateways[:2]]
            loads = [
                Load(lambda port=port: port, READS, ACCOUNTS, 20.0, seed)  # type: ignore[misc]
                for seed, port in enumerate(ports, 1)
            ]
            await asyncio.gather(*(load.run(2.0) for load in loads))
            fleet.gateways[2].send_signal(signal.SIGCONT)
            await fleet.gateways[2].ready(20.0)
            outcomes = [outcome for load in loads for outcome in load.outcomes]
            answered = [outcome for outcome in outcomes if outcome.answer == "served"]
            assert len(outcomes) == REQUEST_COUNT and len(answered) >= 0.95 * len(outcomes)
            unconfirmed_count = sum(
                "not confirmed yet" in gateway.log_file.read_text() for gateway in fleet.gateways[:2]
            )
            assert unconfirmed_count == (0 if mode == "silent" else 2)

    run_scenario(scenario())


# --- list sharing among members --------------------------------------------------------------------------


def server(version: int, name: str, state: int = 0, started: float = 0.0) -> SharedEndpoint:
    return SharedEndpoint(version, name, "127.0.0.1:80", "a", 0, 1.0, started, state)


class MergeCase(NamedTuple):
    """A member's row, a row that another member sends, and the row that changes."""

    known: tuple[int, SharedEndpoint]  # version and row
    received: SharedEndpoint
    merged: SharedEndpoint | None


MERGES: dict[str, MergeCase] = {
    "a new server": MergeCase((4, server(4, "a")), server(5, "b"), server(5, "b")),
    "a drain": MergeCase((4, server(4, "a")), server(5, "a", 1), server(5, "a", 1)),
    "back from a drain": MergeCase((4, server(4, "a", 1)), server(5, "a", 0), None),
    "back from removal": MergeCase((4, server(4, "a", 2)), server(5, "a", 0), None),
    "started again": MergeCase((4, server(4, "a", 0, 1.0)), server(5, "a", 0, 9.0), server(5, "a", 0, 9.0)),
    "an earlier start": MergeCase((4, server(4, "a", 0, 9.0)), server(5, "a", 0, 1.0), None),
    "an older row": MergeCase((4, server(4, "a")), server(3, "a", 2), None),
    "an invalid state": MergeCase((4, server(4, "a")), server(5, "a", 7), None),
}


@pytest.mark.parametrize("name", MERGES)
def test_a_members_row_may_remove_a_server_but_never_restores_one(name: str) -> None:
    (version, row), received, expected = MERGES[name]
    share = SharedEndpointList("g0", 0.0, random.Random(1))
    share.receive_discovery(0.0, version, True, [row], ())
    _, changed = share.receive(
        1.0, "g1", EndpointListPart(version, max(5, received.version), 0, 1, (received,))
    )
    assert changed == ([expected] if expected is not None else [])


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6), st.integers(3, 40), st.sampled_from([0.0, 0.1, 0.3]))
def test_shared_lists_are_correct_whatever_messages_are_lost(seed: int, count: int, lose: float) -> None:
    """Each member's list always equals the service's list at that version, and no member counts a list as
    confirmed at a time when the service had a newer one."""
    rng = random.Random(seed)
    names = [f"g{n}" for n in range(count)]
    shares = {name: SharedEndpointList(name, 0.0, rng) for name in names}
    others = {name: [other for other in names if other != name] for name in names}
    truth = {f"s{n}": 0 for n in range(30)}
    past: dict[int, tuple[dict[str, int], float]] = {}  # by version: list, and when it was replaced
    due: list[tuple[float, int, str, str, Any]] = []
    order = itertools.count()
    version, now = 1, 0.0

    def post(sender: str, messages: list[Outgoing[SharingMessage]]) -> None:
        for sent in messages:
            for _ in range(1 + (rng.random() < 0.1)):
                if rng.random() >= lose:
                    late = rng.choice([0.005, 0.02, 0.4])
                    heapq.heappush(due, (now + late, next(order), sender, sent.to, sent.message))

    while now < 12.0:
        now += 0.1
        if now < 8.0 and rng.random() < 0.2:
            past[version] = dict(truth), now
            version += 1
            truth[rng.choice([name for name, state in truth.items() if state < 2])] += 1
        for name, share in shares.items():
            if share.poll_delay_s(now, others[name]) == 0.0 and rng.random() < 0.3:
                rows = [server(version, name, state) for name, state in truth.items() if state < 2]
                post(name, share.receive_discovery(now, version, True, rows, others[name]))
            post(name, share.tick(now, others[name]))
        while due and due[0][0] <= now:
            _, _, sender, to, body = heapq.heappop(due)
            post(to, shares[to].receive(now, sender, body)[0])
        past[version] = dict(truth), math.inf
        for share in shares.values():
            if share.version > 0:
                listed, until = past[share.version]
                held = {name: row.state for name, row in share.endpoints.items() if row.state < 2}
                assert held == {name: state for name, state in listed.items() if state < 2}
                assert share.confirmed_at <= until + 0.11
    assert {share.version for share in shares.values()} == {version}


def test_three_of_ten_processes_poll_and_are_replaced_when_they_die(tmp_path: Path) -> None:
    """Kills the polling gateways, then partitions one gateway from all others; the list's changes reach every
    gateway."""

    async def scenario() -> None:
        more = "share_list = true\nperiod_ms = 100\npatience_ms = 1000\n"
        async with FleetSite(tmp_path, 10, fleet_options=more, discovery_calls_per_s=50.0) as site:
            lists = site.list_service
            assert lists is not None
            all_gateways = range(10)

            async def list_state(number: int) -> dict[str, Any]:
                rows = await site.query(number, "list")
                return rows[0] if rows else {"version": -1, "asks": False}

            async def have_newest(numbers: Iterable[int]) -> bool:
                return all([(await list_state(n))["version"] == lists.version for n in numbers])

            await site.start()
            await site.wait_until(lambda: site.all_see(all_gateways))
            pollers = [n for n in all_gateways if (await list_state(n))["asks"]]
            assert len(pollers) == 3
            calls_before = len(lists.calls)
            since = lists.calls[-1].at
            lists.update(server_row("s1", site.services.nodes[1].port, "Terminating"))
            await site.wait_until(lambda: have_newest(all_gateways))
            while lists.calls[-1].at < since + 4.0:
                await asyncio.sleep(0.02)
            # Three gateways poll with watches of 1.1 to 1.5 s.
            assert max_calls_per_s(lists.calls[calls_before:]) <= 6
            for number in pollers:
                site.send_signal(number, signal.SIGKILL)
            rest = [n for n in all_gateways if n not in pollers]
            lists.update(server_row("s2", site.services.nodes[2].port, "Terminating"))
            await site.wait_until(lambda: have_newest(rest), 8.0)
            isolated = [n for n in rest if not (await list_state(n))["asks"]][:1]
            site.split([isolated, [n for n in all_gateways if n not in isolated]])
            lists.update(server_row("s0", site.services.nodes[0].port, "Ready", 5.0))
            await site.wait_until(lambda: have_newest(rest), 8.0)

    run_scenario(scenario())
