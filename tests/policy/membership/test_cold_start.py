"""Gateways that start in one moment: what the list service, the lists and the servers see of it."""

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
from glenchute.policy.endpoints.polling import PollingTerms, PollScheduler, max_first_polls_per_s
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from glenchute.policy.membership.endpoint_sharing import (
    EndpointListPart,
    SharedEndpoint,
    SharedEndpointList,
    SharingMessage,
)
from glenchute.policy.membership.outgoing import Outgoing
from lab.coldstart import Crowd, Herd, busiest, outage, release, starts, turned_away
from lab.fleet.processes import FleetSite
from lab.load import Account, Kind, Load
from lab.peers import play, row
from lab.sim.members import overshoot
from lab.sim.world import World
from lab.site import patient

STATED = 30.0  # seconds that a list may be old, where the operators say so


def waves(crowd: Crowd) -> None:
    """A supervisor restarts in step: a third, each two seconds."""
    for third in range(3):
        crowd.start(range(third, crowd.count, 3))
        crowd.run(2.0)
    crowd.run(60.0)


def forgets(crowd: Crowd) -> None:
    starts(crowd)
    crowd.calls.clear()
    crowd.lose()
    crowd.run(40.0)


def news(crowd: Crowd) -> None:
    starts(crowd)
    crowd.calls.clear()
    crowd.news()
    crowd.run(40.0)


def loops(crowd: Crowd) -> None:
    """A tenth crashes after five seconds, again and again."""
    crowd.start(range(crowd.count))
    for _ in range(12):
        crowd.run(5.0)
        crowd.start(range(0, crowd.count, 10))
    crowd.run(30.0)


SCENES: dict[str, Callable[[Crowd], None]] = {
    "all at once": starts, "in waves": waves, "the service down for 30 s": outage,
    "the service forgets all watches": forgets, "news for all": news, "a release": release,
    "restart loops": loops,
}  # fmt: skip


# After these all come again within `notification.longest_pause`, which goes before the service's rate.
LOST = ("the service down for 30 s", "the service forgets all watches")


@pytest.mark.parametrize("count", [200, 500, 520])
@pytest.mark.parametrize("scene", SCENES)
def test_a_service_whose_rate_is_known_is_not_overrun(scene: str, count: int) -> None:
    """No second brings much more than 1.5 times what the service bears, and one call in twenty at most is
    turned away. Where calls came to nothing it has to bear them within the terms."""
    rate = count / (polling.POLL_RATE_SHARE * notification.max_backoff_s()) if scene in LOST else count / 15.0
    crowd = Crowd(count, lambda n: PollingTerms(count, n, rate, STATED), rate)
    SCENES[scene](crowd)
    assert len(crowd.heard) == count  # all have their list
    assert busiest(crowd.calls) <= 1.5 * rate + 12.0 and turned_away(crowd.calls) <= 0.05


@pytest.mark.parametrize("count", [200, 520])
def test_a_service_that_bears_less_than_the_terms_want_recovers(count: int) -> None:
    """At a quarter of that rate each gateway goes on at the pace that the terms want, no faster, and the
    service answers all that it can until all have heard."""
    rate = count / 15.0
    crowd = Crowd(count, lambda n: PollingTerms(count, n, rate, STATED), rate)
    starts(crowd)
    crowd.down = True
    crowd.lose()
    crowd.run(30.0)
    crowd.calls.clear()
    crowd.heard.clear()
    crowd.down, began = False, crowd.now
    crowd.run(120.0)
    assert busiest(crowd.calls) <= 1.2 * count / (
        polling.REPEATED_FAILURE_MIN_SHARE * notification.max_backoff_s()
    )
    answered = [call for call in crowd.calls if call.how == "answered" and call.at < began + 20.0]
    assert len(answered) >= 0.95 * 20.0 * rate
    assert len(crowd.heard) == count and max(crowd.heard.values()) <= began + 60.0
    assert turned_away(crowd.calls, began + 90.0) == 0.0


def at_once(self: PollScheduler, *_: object) -> float:
    """What the program did: a start asks at once, a loss is retried within 0.1 s."""
    return 0.0


@pytest.mark.parametrize(
    ("scene", "bug"), [("all at once", "first_poll_delay_s"), ("news for all", "synchronized_delay_s")]
)
def test_without_turns_the_same_service_is_overrun(
    scene: str, bug: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(PollScheduler, bug, at_once)
    crowd = Crowd(300, lambda n: PollingTerms(300, n, 20.0, STATED), 20.0)
    SCENES[scene](crowd)
    assert busiest(crowd.calls) >= 250


@pytest.mark.parametrize(
    ("gateways", "rate", "age"), [(3, 100.0, 6.0), (40, 100.0, 6.0), (300, 100.0, 6.0), (300, 20.0, STATED)]
)
def test_the_bound_that_is_told_holds(gateways: int, rate: float, age: float) -> None:
    for listed in (True, False):
        terms = [PollingTerms(gateways, number, rate, age) for number in range(gateways)]
        times = sorted(
            PollScheduler(one, random.Random(n)).first_poll_delay_s(listed) for n, one in enumerate(terms)
        )
        most = max(sum(at <= other < at + 1.0 for other in times) for at in times)
        assert (
            most <= max_first_polls_per_s(terms[0], listed)
            and times[-1] <= age - notification.ANSWER_ALLOWANCE_S
        )


def test_where_no_age_is_stated_only_a_call_that_was_turned_away_is_put_off() -> None:
    """A crowd long ago must not put off what comes after news: seen as a broken drain on a bench's day."""
    pacing_ = PollScheduler(PollingTerms(200, 7), random.Random(1))
    assert pacing_.first_poll_delay_s(True) == pacing_.synchronized_delay_s() == 0.0
    pauses = [pacing_.record_rejection(None, True) for _ in range(5)]
    assert max(pauses) <= notification.max_backoff_s() and len(set(pauses)) == 5
    assert pacing_.synchronized_delay_s() == pacing_.reset_for_new_address() == 0.0
    assert all(pacing_.record_failure() <= polling.MAX_BACKOFF_S for _ in range(9))
    assert pacing_.watch_wait_s() <= polling.MAX_WATCH_WAIT_S


def test_one_without_a_list_goes_before_those_that_have_one() -> None:
    crowd = Crowd(300, lambda n: PollingTerms(300, n, 20.0, STATED), 20.0, listed=lambda n: n % 100 != 7)
    starts(crowd)
    urgent = [crowd.heard.pop(n) for n in (7, 107, 207)]
    assert max(urgent) < min(crowd.heard.values()) + 0.5


@pytest.mark.parametrize(("believed", "there"), [(300, 3), (3, 300)])
def test_a_size_that_is_set_wrong_costs_time_not_the_service(believed: int, there: int) -> None:
    """Three that think they are 300 are late, but in time; 300 that think they are three are turned away, at
    the pace of the terms, until all have been answered."""
    crowd = Crowd(there, lambda n: PollingTerms(believed, n % believed, 20.0, STATED), 20.0)
    starts(crowd)
    crowd.run(60.0)
    assert len(crowd.heard) == there
    if there < believed:
        assert max(crowd.heard.values()) < STATED and turned_away(crowd.calls) == 0.0
    else:
        pace = there / (
            polling.REPEATED_FAILURE_MIN_SHARE * notification.max_backoff_s()
        )  # whoever is turned away comes again in time
        assert busiest(crowd.calls, 20.0) <= 1.2 * pace and turned_away(crowd.calls, STATED + 60.0) < 0.2


def listing(*names: str, kind: EndpointListKind = EndpointListKind.FULL) -> EndpointList:
    return EndpointList(kind, tuple(Endpoint(name, "a") for name in names))


TEN = [f"s{n}" for n in range(10)]
GONE = EndpointList(EndpointListKind.CHANGES, (Endpoint("s0", "a", state=EndpointState.REMOVED),))
LISTS: dict[str, list[tuple[int, EndpointList, bool, bool]]] = {
    # version, list, whether servers answer, whether it is taken
    "the same again": [(5, listing(*TEN), True, True)],
    "one fewer": [(6, listing(*TEN[1:]), True, True)],
    "half, then whole": [(6, listing(*TEN[:4]), True, False), (6, listing(*TEN), True, True)],
    "half, said twice": [(6, listing(*TEN[:4]), True, False), (6, listing(*TEN[:4]), True, True)],
    "two halves": [(6, listing(*TEN[:4]), True, False), (6, listing(*TEN[6:]), True, False)],
    "older, then newer": [(4, listing(*TEN), True, False), (6, listing(*TEN), True, True)],
    "a count that began anew": [(1, listing(*TEN), True, False), (1, listing(*TEN), True, True)],
    "empty while servers answer": [(6, listing(), True, False)] * 3,
    "empty, and nobody answers": [(6, listing(), True, False), (6, listing(), False, True)],
    "changes": [(6, GONE, True, True), (7, listing(*TEN[1:5]), True, False)],
}  # fmt: skip


@pytest.mark.parametrize("name", LISTS)
def test_odd_lists_wait_for_a_second_word(name: str) -> None:
    doubt = ListConfirmation()
    doubt.apply(5, listing(*TEN))
    assert [doubt.accepts(version, told, serving) for version, told, serving, _ in LISTS[name]] == [
        taken for *_, taken in LISTS[name]
    ]


def no_fault(world: World) -> None:
    """The counter is sound, and as fresh as the gateways."""


def slow(world: World) -> None:
    world.parts.slow(45.0)


def mute(world: World) -> None:
    world.parts.kill()


@pytest.mark.parametrize("counter", [no_fault, slow, mute])
@pytest.mark.parametrize(("gateways", "asked"), [(3, 60.0), (40, 60.0), (300, 300.0)])
def test_what_a_start_of_all_lets_in_past_a_quota_is_stated(
    gateways: int, asked: float, counter: Callable[[World], None]
) -> None:
    """By the book of what was sent on. With a mute counter the parts alone do not bound it: until three calls
    have been missed each gateway spends from a full store."""
    worst = 0.0
    for seed in (1, 2):
        world = World(seed, gateways, 6)
        plan = world.settings.plans[0]
        counter(world)
        world.flood(4000.0, asked, plan.name)
        world.run(6000.0)
        found = overshoot_bound(plan, gateways, 100.0, 1.0)
        timeout_s = world.settings.counter_timeout_ms / 1000.0
        worst = max(worst, overshoot(world.sent, plan))
        assert worst <= start_overshoot_units(plan, found, asked, gateways, timeout_s)
    assert counter is not mute or worst > found.unavailable_units


# --- processes -------------------------------------------------------------------------------------------

CI = 40
OPERATOR = f"[discovery]\ncalls_per_s = 12\nlist_age_s = {STATED:.0f}\ndoubt = true\n"
READS = (Kind("report-read", 1.0, 20_000),)
ASKED = 52 + 32  # what the seeds 1 and 2 draw in 2 s at 20 a second
ASKS = [Account(b"%016x" % n, "korporativni", 1.0, ",spread=1,first=0") for n in range(20)]


def test_forty_processes_start_die_and_start_beside_a_service_of_few_calls(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Herd(tmp_path, CI, 12.0, 10, OPERATOR) as herd:
            await herd.start(range(CI))
            await herd.until(lambda: len(herd.lists.calls) >= CI)
            killed = range(0, CI, 2)
            herd.kill(killed)
            herd.lists.update(row("s9", 9, "Gone"))  # news for all others in the same moment
            await herd.start(killed)
            before = len(herd.lists.calls)
            await herd.until(lambda: len(herd.lists.calls) >= before + CI // 2)
            assert busiest(herd.lists.calls) <= 24 and turned_away(herd.lists.calls) <= 0.05
            for gateway in herd.gateways:
                gateway.signal(signal.SIGTERM)
            assert [g.process.wait(10) for g in herd.gateways if g.process is not None] == [0] * CI

    play(scenario())


@pytest.mark.parametrize("mode", ["empty", "half", "older", "silent"])
def test_a_service_that_lies_or_is_silent_keeps_no_process_from_serving(mode: str, tmp_path: Path) -> None:
    """Restarted under load while the service answers so; one is stopped in mid-start, and goes on."""

    async def scenario() -> None:
        async with Herd(tmp_path, 3, 50.0, 30, OPERATOR, patient()) as herd:
            herd.lists.mode = mode
            if mode in ("half", "older"):
                await herd.site.nodes[0].stop()  # the only one on such a list: who believes it serves nobody
            herd.gateways[2].start()
            herd.gateways[2].signal(signal.SIGSTOP)
            await herd.start(range(2))
            ports = [gateway.port for gateway in herd.gateways[:2]]
            loads = [
                Load(lambda port=port: port, READS, ASKS, 20.0, seed)  # type: ignore[misc]
                for seed, port in enumerate(ports, 1)
            ]
            await asyncio.gather(*(load.run(2.0) for load in loads))
            herd.gateways[2].signal(signal.SIGCONT)
            await herd.gateways[2].ready(20.0)
            outcomes = [outcome for load in loads for outcome in load.outcomes]
            answered = [outcome for outcome in outcomes if outcome.answer == "served"]
            assert len(outcomes) == ASKED and len(answered) >= 0.95 * len(outcomes)
            odd = sum("not confirmed yet" in gateway.log.read_text() for gateway in herd.gateways[:2])
            assert odd == (0 if mode == "silent" else 2)

    play(scenario())


# --- members that ask for each other ---------------------------------------------------------------------


def server(version: int, name: str, state: int = 0, started: float = 0.0) -> SharedEndpoint:
    return SharedEndpoint(version, name, "127.0.0.1:80", "a", 0, 1.0, started, state)


class Told(NamedTuple):
    """What a member holds, and what another's words make of it."""

    held: tuple[int, SharedEndpoint]  # version, row
    word: SharedEndpoint
    taken: SharedEndpoint | None


MERGES: dict[str, Told] = {
    "a new server": Told((4, server(4, "a")), server(5, "b"), server(5, "b")),
    "a drain": Told((4, server(4, "a")), server(5, "a", 1), server(5, "a", 1)),
    "back from a drain": Told((4, server(4, "a", 1)), server(5, "a", 0), None),
    "back from the gone": Told((4, server(4, "a", 2)), server(5, "a", 0), None),
    "started again": Told((4, server(4, "a", 0, 1.0)), server(5, "a", 0, 9.0), server(5, "a", 0, 9.0)),
    "made warmer": Told((4, server(4, "a", 0, 9.0)), server(5, "a", 0, 1.0), None),
    "an older word": Told((4, server(4, "a")), server(3, "a", 2), None),
    "a state that is none": Told((4, server(4, "a")), server(5, "a", 7), None),
}


@pytest.mark.parametrize("name", MERGES)
def test_a_members_word_restrains_and_never_brings_a_server_back(name: str) -> None:
    (version, row), word, taken = MERGES[name]
    share = SharedEndpointList("g0", 0.0, random.Random(1))
    share.receive_discovery(0.0, version, True, [row], ())
    _, changed = share.receive(1.0, "g1", EndpointListPart(version, max(5, word.version), 0, 1, (word,)))
    assert changed == ([taken] if taken is not None else [])


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 10**6), st.integers(3, 40), st.sampled_from([0.0, 0.1, 0.3]))
def test_lists_pass_between_members_whatever_is_lost(seed: int, count: int, lose: float) -> None:
    """The others' lists are always what the service said at the version that they name, and nobody holds a
    list for confirmed when the service had a newer one."""
    rng = random.Random(seed)
    names = [f"g{n}" for n in range(count)]
    shares = {name: SharedEndpointList(name, 0.0, rng) for name in names}
    others = {name: [other for other in names if other != name] for name in names}
    truth = {f"s{n}": 0 for n in range(30)}
    past: dict[int, tuple[dict[str, int], float]] = {}  # version: the list, and until when it was the newest
    due: list[tuple[float, int, str, str, Any]] = []
    order = itertools.count()
    version, now = 1, 0.0

    def post(sender: str, sents: list[Outgoing[SharingMessage]]) -> None:
        for sent in sents:
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


def test_three_of_ten_processes_ask_and_are_replaced_when_they_die(tmp_path: Path) -> None:
    """Killed askers, a gateway cut off from all others, a service that is away for a while."""

    async def scenario() -> None:
        more = "share_list = true\nperiod_ms = 100\npatience_ms = 1000\n"
        async with FleetSite(tmp_path, 10, more=more, lists=50.0) as site:
            lists = site.lists
            assert lists is not None
            everyone = range(10)

            async def shown(number: int) -> dict[str, Any]:
                rows = await site.asked(number, "list")
                return rows[0] if rows else {"version": -1, "asks": False}

            async def newest(numbers: Iterable[int]) -> bool:
                return all([(await shown(n))["version"] == lists.version for n in numbers])

            await site.start()
            await site.until(lambda: site.agree(everyone))
            askers = [n for n in everyone if (await shown(n))["asks"]]
            assert len(askers) == 3
            began = len(lists.calls)
            since = lists.calls[-1].at
            lists.update(row("s1", site.site.nodes[1].port, "Terminating"))
            await site.until(lambda: newest(everyone))
            while lists.calls[-1].at < since + 4.0:
                await asyncio.sleep(0.02)
            assert busiest(lists.calls[began:]) <= 6  # three askers, a wait of 1.1 to 1.5 s each
            for number in askers:
                site.send_signal(number, signal.SIGKILL)
            rest = [n for n in everyone if n not in askers]
            lists.update(row("s2", site.site.nodes[2].port, "Terminating"))
            await site.until(lambda: newest(rest), 8.0)
            lonely = [n for n in rest if not (await shown(n))["asks"]][:1]
            site.split([lonely, [n for n in everyone if n not in lonely]])
            lists.update(row("s0", site.site.nodes[0].port, "Ready", 5.0))
            await site.until(lambda: newest(rest), 8.0)

    play(scenario())
