"""Subsets of servers: met alike without talk, kept through changes, widened by load; few connections."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from benchmarks.subsets import SCHEMES, balance, churn
from glenchute.core.limits import UpstreamLimits
from glenchute.policy.actions import Action, StartAttempt
from glenchute.policy.balancing import subset as subsets
from glenchute.policy.balancing.endpoint_choice import EndpointChooser
from glenchute.policy.balancing.subset import (
    GROWTH_INTERVAL_MS,
    MIN_WEIGHT,
    UNREACHABLE_MS,
    Subset,
    SubsetTerms,
    first_position,
)
from glenchute.policy.balancing.subset_size import (
    MAX_SUBSET_SIZE,
    MIN_SUBSET_SIZE,
    STOP_SUBSETTING_SIZE,
    subset_size,
)
from glenchute.policy.balancing.subsetting_engine import SubsettingEngine
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    Outcome,
    Request,
    SuccessorStarted,
    TimerFired,
)
from glenchute.policy.settings import Settings, SlowStart
from glenchute.upstreams.connection import Connection
from glenchute.upstreams.connection_pool import ConnectionPool
from glenchute.upstreams.server_pools import ServerPools
from lab.coldstart import Herd
from lab.load import Account, Kind, Load
from lab.load import Outcome as LoadOutcome
from lab.peers import DiscoveryPeer, listing, play, row, until
from lab.sim.swarm import drawn, tried
from lab.sim.world import World
from lab.site import patient
from tests.loopback import Script, site
from tests.rig import SETTINGS


def listed(
    names: list[str],
    kind: EndpointListKind = EndpointListKind.FULL,
    state: EndpointState = EndpointState.ACTIVE,
) -> EndpointList:
    return EndpointList(kind, tuple(Endpoint(name, "ab"[int(name[1:]) % 2], state=state) for name in names))


class Module:
    """Follows the list as the decision engine does, and sends each request to all that it knows in turn."""

    def __init__(self) -> None:
        self.known: dict[str, Endpoint] = {}
        self.of = self.turn = 0

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        if isinstance(event, EndpointList):
            self.of = event.total_endpoints
            if event.kind is EndpointListKind.FULL:
                self.known.clear()
            for entry in event.endpoints:
                if entry.state is EndpointState.ACTIVE:
                    self.known[entry.address] = entry
                else:
                    self.known.pop(entry.address, None)
        elif isinstance(event, Request) and self.known:
            self.turn += 1
            return [StartAttempt(event.request_id, sorted(self.known)[self.turn % len(self.known)])]
        return []


def narrow(gateways: int = 10, number: int = 3, servers: int = 4) -> tuple[SubsettingEngine, Module]:
    module = Module()
    return SubsettingEngine(module, SETTINGS, SubsetTerms(gateways, number, servers)), module


class Lives(RuleBasedStateMachine):
    """Whatever happens, the module knows only what is in service, of each zone, and enough of it."""

    def __init__(self) -> None:
        super().__init__()
        self.subsetting, self.module = narrow()
        self.now, self.serial, self.out = 1e6, 0, []  # type: ignore[var-annotated]
        self.serving = {f"s{n}" for n in range(12)}
        self.told(listed(sorted(self.serving)))

    def told(self, event: Event) -> None:
        for action in self.subsetting.handle(self.now, event):
            if isinstance(action, StartAttempt):
                assert action.address in self.serving
                self.out.append(action)

    @rule(number=st.integers(0, 30), state=st.sampled_from(EndpointState))
    def changes(self, number: int, state: EndpointState) -> None:
        name = f"s{number}"
        (self.serving.add if state is EndpointState.ACTIVE else self.serving.discard)(name)
        self.told(listed([name], EndpointListKind.CHANGES, state))

    @rule(numbers=st.sets(st.integers(0, 30)))
    def whole(self, numbers: set[int]) -> None:
        self.serving = {f"s{number}" for number in numbers}
        self.told(listed(sorted(self.serving)))

    @rule(count=st.integers(1, 40))
    def asks(self, count: int) -> None:
        for _ in range(count):
            self.serial += 1
            self.told(Request(f"r{self.serial}", "read", "wide", "c", 900.0))

    @rule(ending=st.sampled_from((Outcome.OK, Outcome.UNREACHABLE)))
    def ends(self, ending: Outcome) -> None:
        out, self.out = self.out, []
        for one in out:
            self.told(AttemptEnded(one.request_id, 0, one.address, ending, 5.0, ending is Outcome.OK))

    @rule(ms=st.floats(1.0, 20_000.0))
    def waits(self, ms: float) -> None:
        self.now += ms
        self.told(TimerFired(0))

    @invariant()
    def known_is_in_service_and_enough(self) -> None:
        known, subset = set(self.module.known), self.subsetting.subset
        assert known == set(subset.in_use) <= self.serving
        assert len(known) >= min(4, len(self.serving))
        assert {int(name[1:]) % 2 for name in known} == {int(name[1:]) % 2 for name in self.serving}
        assert self.module.of == len(self.serving) or not self.serving
        assert sum(self.subsetting.in_flight.values()) == len(self.out)


TestLives = Lives.TestCase
TestLives.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)


def test_the_last_that_are_listed_are_in_use_though_they_could_not_be_reached() -> None:
    """All were lost; of those listed next one was among them. It is one of three, and four may be used."""
    one = Lives()
    one.asks(40)
    one.ends(Outcome.UNREACHABLE)
    for numbers in (set(), {0, 1, 13}):
        one.whole(numbers)
        one.known_is_in_service_and_enough()


def test_load_widens_within_a_step_and_calm_narrows() -> None:
    subsetting, module = narrow()
    names = [f"s{n}" for n in range(40)]
    subsetting.handle(0.0, listed(names))
    first, now = len(module.known), 0.0
    for number in range(8 * first):
        subsetting.handle(now, Request(f"r{number}", "read", "wide", "c", 900.0))
    for _ in range(12):
        subsetting.handle(now := now + GROWTH_INTERVAL_MS, TimerFired(0))
    wide = len(module.known)
    assert wide >= 2 * first
    for number in range(8 * first):
        subsetting.handle(now, AttemptEnded(f"r{number}", 0, "s0", Outcome.OK, 5.0, True))
    subsetting.in_flight.clear()
    for _ in range(200):
        subsetting.handle(now := now + 2_000.0, TimerFired(0))
    assert len(module.known) <= first + 1


@pytest.mark.parametrize("trouble", ["unreachable", "cold"])
def test_servers_that_can_not_serve_are_not_counted(trouble: str) -> None:
    """Those that can't be reached are made up for at once, and cold ones by their warmth."""
    subsetting, module = narrow(servers=4)
    names = [f"s{n}" for n in range(20)]
    if trouble == "cold":
        entries = tuple(Endpoint(name, "a", started_ms=1e6) for name in names)
        subsetting.handle(1e6, EndpointList(EndpointListKind.FULL, entries))
        assert len(module.known) == 16  # at a quarter each
        return
    subsetting.handle(1e6, listed(names))
    before = set(module.known)
    for number, server in enumerate(sorted(before)):
        subsetting.handle(1e6 + 10.0, AttemptEnded(f"r{number}", 0, server, Outcome.UNREACHABLE, 1.0, False))
    subsetting.handle(1e6 + 10.0 + GROWTH_INTERVAL_MS, TimerFired(0))
    assert len(set(module.known) - before) >= 4
    for step in range(100):
        subsetting.handle(1e6 + UNREACHABLE_MS + 2_000.0 * step, TimerFired(0))
    assert len(module.known) <= len(before) + 1


@pytest.mark.parametrize(("gateways", "servers"), [(3, 10), (40, 60), (200, 100)])
def test_all_servers_are_used_alike_and_changes_move_little(gateways: int, servers: int) -> None:
    """Against rendezvous hashing and drawn subsets; the ring alone is as even, and moves more."""
    used = min(20, servers // 2)
    even = {name: balance(scheme, gateways, servers, used) for name, scheme in SCHEMES.items()}
    moved = {name: churn(scheme, gateways, servers, used) for name, scheme in SCHEMES.items()}
    assert even["kept ring"] <= 1.0 + 1.0 / (gateways * used / servers) + 1e-9
    assert even["kept ring"] <= even["rendezvous"] and even["kept ring"] <= even["drawn"]
    assert moved["kept ring"] <= 1.05 * moved["rendezvous"] + 0.05


def test_the_engine_behind_a_subset_keeps_the_rules_over_seeds() -> None:
    """The simulated site, its books and rules, with faults; each gateway uses three of nine servers."""
    met: Counter[bool] = Counter()
    for seed in range(3):
        numbers = iter(range(1000))

        def make(made: Settings, given: int, numbers: object = numbers) -> object:
            number = next(numbers) % made.gateway_count  # type: ignore[call-overload]
            return _Behind(DecisionEngine(made, given), made, SubsetTerms(made.gateway_count, number, 3))

        world = World(seed, 6, 9, make)
        world.load(20_000.0, 60.0)
        world.flood(20_000.0, 60.0)
        rng = random.Random(seed)
        for node in list(world.nodes.values())[:3]:
            world.at(rng.uniform(0.0, 15_000.0), setattr, node, "alive", False)
            world.at(16_000.0, setattr, node, "alive", True)
        world.run(5_000.0)
        world.die(1, 500.0)
        world.run(20_000.0)
        met[len(world.sent) > 600] += 1
    assert met == {True: 3}


class _Behind:
    """An subsetting with the module's own books in sight, as the site checks these."""

    def __init__(self, inner: DecisionEngine, made: Settings, terms: SubsetTerms) -> None:
        self.inner, self.subsetting = inner, SubsettingEngine(inner, made, terms)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        return self.subsetting.handle(now_ms, event)

    def __getattr__(self, name: str) -> object:
        return getattr(self.inner, name)


def test_eight_processes_use_each_of_eight_servers_few_at_a_time(tmp_path: Path) -> None:
    """By the servers' own books of whose requests ran: three gateways a server; without subsets 47 of 60 met
    one server (`benchmarks.subsets start`). Each gateway has four requests out at a time then: more would
    widen its subset, and under an open load the machine says how many are out. Then a third of the servers
    dies, one gateway stands still, and another is killed and started again; service goes on throughout."""

    async def scenario() -> None:
        operator = "[subset]\nservers = 3\n"
        async with Herd(tmp_path, 8, 100.0, 200, operator, patient(), servers=8) as herd:
            await herd.start(range(8))

            def client(number: int, rate: float, seed: int) -> Load:
                """Each gateway's accounts are its own, so that the servers' books tell it."""
                mine = [Account(b"%016x" % (1000 * number + at), "korporativni") for at in range(40)]
                port = herd.gateways[number].port
                return Load(lambda: port, (Kind("report-read", 1.0, 20_000),), mine, rate, seed + number)

            async def by_fours(number: int) -> Load:
                made = client(number, 0.0, 100)
                for first in range(0, 80, 4):
                    names = [b"%04x%04x" % (number, at) for at in range(first, first + 4)]
                    asked = [
                        LoadOutcome(made.kinds[0], made.accounts[int(name[4:], 16) % 40], name, herd.now)
                        for name in names
                    ]
                    await asyncio.gather(*map(made.ask, asked))
                return made

            async def load(seconds: float, numbers: range, seed: int) -> list[Load]:
                made = [client(number, 20.0, seed) for number in numbers]
                await asyncio.gather(*(one.run(seconds) for one in made))
                return made

            loads = list(await asyncio.gather(*map(by_fours, range(8))))
            met = [len({int(run.customer, 16) // 1000 for run in node.ran}) for node in herd.site.nodes]
            assert max(met) <= 4, met
            for node in herd.site.nodes[:3]:
                await node.stop()
            herd.gateways[7].signal(signal.SIGSTOP)
            herd.kill([6])
            loads += await load(2.0, range(6), 200)
            herd.gateways[7].signal(signal.SIGCONT)
            await herd.start([6])
            loads += await load(1.0, range(8), 300)
            told = [outcome.answer for one in loads for outcome in one.outcomes]
            assert len(told) > 900 and told.count("lost") == 0
            assert told.count("served") >= 0.95 * len(told)

    play(scenario())


# --- long lists, used in part by themselves ----------------------------------------------------------------


def fleet_of(count: int, zones: int = 7, first: int = 0, **more: Any) -> list[Endpoint]:
    """So many servers, spread over the zones unevenly."""
    return [
        Endpoint(f"n{n}", "abcdefg"[min(zones - 1, n % (zones + 3))], **more)
        for n in range(first, first + count)
    ]


def by_itself(gateways: int = 520, number: int = 7) -> tuple[SubsettingEngine, Module]:
    module = Module()
    return SubsettingEngine(
        module, replace(SETTINGS, gateway_count=gateways), SubsetTerms(gateways, number)
    ), module


def news(entries: Sequence[Endpoint], kind: EndpointListKind = EndpointListKind.CHANGES) -> EndpointList:
    return EndpointList(kind, tuple(entries))


def out_of(entries: Iterable[Endpoint], state: EndpointState = EndpointState.REMOVED) -> list[Endpoint]:
    return [replace(entry, state=state) for entry in entries]


class Steps:
    """Counts what a subset walks, one by one."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.count = 0
        for name in ("weight", "ring_position"):
            owner: Any = subsets.Subset if name == "weight" else subsets
            patch.setattr(owner, name, self.counted(getattr(owner, name)))

    def counted(self, sound: Callable[..., Any]) -> Callable[..., Any]:
        def one(*args: Any) -> Any:
            self.count += 1
            return sound(*args)

        return one


@pytest.mark.parametrize("count", [0, 1, 20, 200, MAX_SUBSET_SIZE])
def test_a_list_that_a_gateway_can_use_whole_is_passed_on_event_by_event(count: int) -> None:
    told: list[Event] = []

    class Told(Module):
        def handle(self, now_ms: float, event: Event) -> list[Action]:
            told.append(event)
            return super().handle(now_ms, event)

    subsetting = SubsettingEngine(Told(), SETTINGS, SubsetTerms(2, 1))
    fleet = fleet_of(count)
    events: list[Event] = [news(fleet, EndpointListKind.CACHED), news(fleet, EndpointListKind.FULL)]
    events += [Request(f"r{n}", "read", "wide", "c", 900.0) for n in range(20)]
    events += [news(out_of(fleet[:3], EndpointState.DRAINING)), news(out_of(fleet[:3]))]
    events += [EndpointList(EndpointListKind.FAILED)]
    events += [AttemptEnded(f"r{n}", 0, "n5", Outcome.UNREACHABLE, 5.0, False) for n in range(20)]
    events += [news(fleet[:2]), TimerFired(0), SuccessorStarted(), ClientDisconnected("r1")]
    for at, event in enumerate(events):
        subsetting.handle(1e6 + 300.0 * at, event)
    assert len(told) == len(events) and all(one is other for one, other in zip(told, events, strict=True))


SIZES = [
    # listed, gateways: how many are used, and how many gateways then meet a server at least and at most
    (257, 520, MIN_SUBSET_SIZE, 94, 99),
    (570, 520, MIN_SUBSET_SIZE, 41, 46),
    (5_700, 520, MIN_SUBSET_SIZE, 3, 6),
    (5_700, 384, 60, 3, 6),
    (5_700, 200, 114, 3, 6),
    (5_700, 40, MAX_SUBSET_SIZE, 1, 3),
    (5_700, 3, MAX_SUBSET_SIZE, 0, 1),
    (5_700, 0, MAX_SUBSET_SIZE, 0, 0),
    (5_700, 10**9, MIN_SUBSET_SIZE, 0, 0),
]


@pytest.mark.parametrize(("listed", "gateways", "used", "least", "most"), SIZES)
def test_the_settings_alone_give_the_subset_size(
    listed: int, gateways: int, used: int, least: int, most: int
) -> None:
    """And that all are met alike: over all zones, whatever the number of gateways."""
    assert subset_size(listed, gateways) == used
    first = Subset(SubsetTerms(gateways, 0), SlowStart())
    first.replace_list(fleet := fleet_of(listed))
    met: Counter[str] = Counter()
    for number in range(gateways if most else 0):
        one = Subset(SubsetTerms(gateways, number), SlowStart())
        one.listed, one.rings = first.listed, first.rings
        one.refresh(0.0)
        assert len(one.in_use) == used
        met.update(one.in_use.keys())
    assert {met[entry.address] for entry in fleet} <= set(range(least, most + 1))


@pytest.mark.parametrize("gateways", [1, 3, 40, 200, 384, 520, 999])
def test_first_positions_are_spread_evenly_by_the_number_alone(gateways: int) -> None:
    """No gap between neighbours is over twice the even one, nor under half of it; numbers too large for the
    fleet, as of a seed, have a place as well."""
    at = sorted(first_position(number) for number in range(gateways))
    gaps = [b - a for a, b in zip(at, [*at[1:], 1.0 + at[0]], strict=True)]
    assert 0.5 / gateways <= min(gaps) and max(gaps) <= 2.0 / gateways
    assert all(0.0 <= first_position(number) < 1.0 for number in (0x8C1F30D27A5BE964, 10**40, 2**64 - 1))


@pytest.mark.parametrize("number", [0, 7, 519, 520, 99_999, 2**63])
@pytest.mark.parametrize("gateways", [0, 1, 52, 520, 100_000])
def test_a_wrong_number_or_fleet_size_leaves_a_gateway_with_servers_of_each_zone(
    number: int, gateways: int
) -> None:
    subsetting, module = by_itself(gateways, number)
    subsetting.handle(1e6, news(fleet_of(5_700), EndpointListKind.FULL))
    assert MIN_SUBSET_SIZE <= len(module.known) <= MAX_SUBSET_SIZE
    assert {entry.zone for entry in module.known.values()} == set("abcdefg")


@pytest.mark.parametrize("kind", [EndpointListKind.FULL, EndpointListKind.CHANGES])
def test_a_list_that_grows_and_shrinks_in_one_answer(kind: EndpointListKind) -> None:
    """20, 5,700, 20 and 5,700 others: the module knows each time what it may use, in one event, and how many
    there are."""
    subsetting, module = by_itself()
    few, many, others = fleet_of(20), fleet_of(5_700), fleet_of(5_700, first=10_000)
    subsetting.handle(1e6, news(few, EndpointListKind.FULL))
    assert module.known == {entry.address: entry for entry in few} and module.of == 0
    now = 1e6
    turns = ((few, many, MIN_SUBSET_SIZE), (many, few, 20), (few, others, MIN_SUBSET_SIZE), (others, few, 20))
    for before, after, count in turns:
        names = {entry.address for entry in after}
        change = [*(entry for entry in out_of(before) if entry.address not in names), *after]
        subsetting.handle(now := now + 10.0, news(after if kind is EndpointListKind.FULL else change, kind))
        assert len(module.known) == count and module.known.keys() <= names
        assert module.of == len(after)
    subsetting.handle(now + 10.0, news(out_of(few[:1])))
    assert module.of == len(module.known) == 19


def test_a_list_around_the_limit_switches_once() -> None:
    subsetting, module = by_itself()
    fleet = fleet_of(MAX_SUBSET_SIZE + 10)
    subsetting.handle(1e6, news(fleet[:MAX_SUBSET_SIZE], EndpointListKind.FULL))
    sides = []
    for step in range(20):
        change = fleet[MAX_SUBSET_SIZE:] if step % 2 == 0 else out_of(fleet[STOP_SUBSETTING_SIZE + 4 :])
        subsetting.handle(1e6 + 1000.0 * step, news(change))
        sides.append(subsetting.is_subsetting)
    assert all(sides) and len(module.known) < STOP_SUBSETTING_SIZE
    subsetting.handle(2e6, news(out_of(fleet[STOP_SUBSETTING_SIZE - 4 :])))
    assert not subsetting.is_subsetting and len(module.known) == STOP_SUBSETTING_SIZE - 4


def test_all_names_new() -> None:
    """As after a restart of the list service: none of the old is known from this event on."""
    subsetting, module = by_itself()
    subsetting.handle(1e6, news(fleet_of(5_700), EndpointListKind.FULL))
    subsetting.handle(2e6, news(fresh := fleet_of(5_700, first=6_000), EndpointListKind.FULL))
    assert len(module.known) == MIN_SUBSET_SIZE and module.known.keys() <= {entry.address for entry in fresh}


def test_most_of_the_subset_drains_together() -> None:
    """One answer takes all but one of those in use: as many others are in use with the same event."""
    subsetting, module = by_itself()
    subsetting.handle(1e6, news(fleet_of(5_700), EndpointListKind.FULL))
    used = list(module.known.values())
    subsetting.handle(2e6, news(out_of(used[1:], EndpointState.DRAINING)))
    assert len(module.known) == MIN_SUBSET_SIZE and module.known.keys().isdisjoint(
        entry.address for entry in used[1:]
    )


def test_a_zone_is_removed_at_once_and_returns_warming_up() -> None:
    """With some of its servers listed the zone is never without one in use, and its cold ones are as many as
    their warmth asks for, with a bound; warm again, they are no more than before."""
    subsetting, module = by_itself()
    rest, zone = fleet_of(4_900, 6), [Endpoint(f"z{n}", "z") for n in range(800)]
    subsetting.handle(1e6, news([*rest, *zone], EndpointListKind.FULL))

    def used() -> int:
        return sum(entry.zone == "z" for entry in module.known.values())

    before = used()
    assert before in (6, 7)
    subsetting.handle(2e6, news(out_of(zone)))
    assert used() == 0 and len(module.known) >= MIN_SUBSET_SIZE - before
    subsetting.handle(2e6 + GROWTH_INTERVAL_MS, TimerFired(0))
    assert len(module.known) >= MIN_SUBSET_SIZE
    cold = [replace(entry, started_ms=3e6) for entry in zone]
    for entry in cold[:5]:
        subsetting.handle(3e6, news([entry]))
        assert used() >= 1
    subsetting.handle(3e6, news(cold[5:]))
    subsetting.handle(3e6 + GROWTH_INTERVAL_MS, TimerFired(0))
    assert before < used() <= (before + 1) / SETTINGS.slow_start.initial_fraction
    for step in range(200):
        subsetting.handle(3e6 + 20_000.0 * step, TimerFired(0))
    assert used() <= before + 1 and len(module.known) <= MIN_SUBSET_SIZE + 1


def test_a_changed_row_costs_by_what_is_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    """2,000 rows in one second, each an answer of its own, at 5,700 listed: so many steps a row, the looks of
    that second among them. All rows in one answer cost a few steps each."""
    subsetting, module = by_itself()
    fleet = fleet_of(5_700)
    subsetting.handle(1e6, news(fleet, EndpointListKind.FULL))
    rng, steps = random.Random(1), Steps(monkeypatch)
    rows = [replace(one, weight=2.0, started_ms=rng.choice((0.0, 9e5))) for one in rng.sample(fleet, 2_000)]
    for at, entry in enumerate(rows):
        subsetting.handle(1e6 + 0.5 * at, news([replace(entry, zone=rng.choice("abcdefg"))]))
        subsetting.handle(1e6 + 0.5 * at, TimerFired(0))
    assert steps.count <= 12 * len(rows)
    assert module.known.keys() == subsetting.subset.in_use.keys()
    steps.count = 0
    subsetting.handle(2e6, news(rows))
    assert steps.count <= 3 * len(rows)


def test_reviews_cost_by_what_is_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    """Looks without news, and then with all unreachable: the same steps at 2,000 and at 5,700 listed."""
    counts = []
    for listed in (2_000, 5_700):
        with monkeypatch.context() as patch:
            subsetting, module = by_itself()
            subsetting.handle(1e6, news(fleet_of(listed), EndpointListKind.FULL))
            steps = Steps(patch)
            for at in range(400):
                now = 1e6 + at * GROWTH_INTERVAL_MS
                for server in list(module.known) if at > 200 else ():
                    subsetting.handle(now, AttemptEnded("r", 0, server, Outcome.UNREACHABLE, 1.0, False))
                subsetting.handle(now, TimerFired(0))
            counts.append(steps.count)
            assert (
                len(module.known) <= 2 * MIN_SUBSET_SIZE / MIN_WEIGHT + 7
            )  # one more a zone, as weights add up
    assert counts[1] <= 1.1 * counts[0]


def test_a_pick_looks_at_as_many_servers_at_5700_as_at_100(monkeypatch: pytest.MonkeyPatch) -> None:
    """The decision engine itself behind the subset, counted by its looks at a server."""
    looks = 0
    sound = EndpointChooser.expected_delay

    def delay(*args: Any) -> float:
        nonlocal looks
        looks += 1
        return sound(*args)

    monkeypatch.setattr(EndpointChooser, "expected_delay", delay)
    found = {}
    for listed in (20, 5_700):
        made = replace(SETTINGS, gateway_count=520)
        subsetting = SubsettingEngine(DecisionEngine(made, 1), made, SubsetTerms(520, 7))
        subsetting.handle(1e6, news(fleet_of(listed), EndpointListKind.FULL))
        looks = sent = 0
        for n in range(500):
            for action in subsetting.handle(1e6 + 6.0 * n, Request(f"r{n}", "read", "wide", "c", 900.0)):
                if isinstance(action, StartAttempt):
                    sent += 1
                    ended = AttemptEnded(
                        f"r{n}", 0, action.address, Outcome.OK, 5.0, True, active_requests=1.0
                    )
                    subsetting.handle(1e6 + 6.0 * n + 5.0, ended)
        found[listed] = looks / sent
    assert found[20] == 20 and found[5_700] <= MIN_SUBSET_SIZE


def test_the_rules_hold_in_swarm_runs_with_many_servers() -> None:
    """The simulated site with more servers than a gateway uses whole, so that each gateway uses some of them;
    without its cold turns or its drains this is found."""
    parts: list[_Behind] = []

    def make(made: Settings, given: int) -> _Behind:
        parts.append(_Behind(DecisionEngine(made, given), made, SubsetTerms(520, len(parts))))
        return parts[-1]

    def large(seed: int, gateways: int, nodes: int, make: Any, watch: Any = None) -> World:
        return World(seed, gateways, MAX_SUBSET_SIZE + 44, make, watch)

    for seed in range(6):
        failure = tried(drawn(seed), make, large)
        assert failure is None, failure
    used = [len(part.inner.pool.servers) for part in parts]
    assert all(part.subsetting.is_subsetting for part in parts) and max(used) < MAX_SUBSET_SIZE


def test_a_gateway_without_a_file_uses_a_part_of_a_long_list() -> None:
    """A process's own parts: as the list grows past the limit the module is told of some, and drains of these
    come at once. A short list is told as it is."""
    module = Script(lambda event: [])

    async def scenario() -> None:
        rows = [{**row(f"n{n}", 9), "zone": "ab"[n % 2]} for n in range(MAX_SUBSET_SIZE + 40)]
        answers = DiscoveryPeer(listing(2, rows[:20]), listing(3, rows[20:], full=False))
        async with site(decisions=module, discovery=answers) as one:
            await until(lambda: one.program.discovery.version == 3)
            lists = module.of(EndpointList)
            assert [event.total_endpoints for event in lists] == [0, 0, MAX_SUBSET_SIZE + 40]
            assert len(lists[1].endpoints) == 20
            subsetting: Any = one.program.gateway.decisions
            used = subsetting.subset.in_use
            assert len(used) == subset_size(MAX_SUBSET_SIZE + 40, SETTINGS.gateway_count)
            gone = next(iter(used))
            answers.answers.append(listing(4, [row(gone, 9, "Terminating")], full=False))
            await until(lambda: one.program.discovery.version == 4)
            assert gone not in used and len(used) == MAX_SUBSET_SIZE
            assert gone in {entry.address for entry in module.of(EndpointList)[-1].endpoints}

    play(scenario())


def test_connections_cost_by_the_servers_that_have_any(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sweeps, and the look for room before each new connection, walk no pool that has none."""
    walked = 0

    class Ends(asyncio.Transport):
        """Tells its connection of its end at once."""

        def __init__(self, conn: Connection) -> None:
            super().__init__()
            self.conn = conn

        def abort(self) -> None:
            self.conn.connection_lost(None)

        def is_closing(self) -> bool:
            return False

    class Counted(ConnectionPool):
        def close_idle(self, before: float | None = None) -> None:
            nonlocal walked
            walked += 1
            super().close_idle(before)

    async def scenario() -> None:
        servers = ServerPools(asyncio.get_running_loop(), UpstreamLimits(0.25, 13.0, 0.25, 3))
        monkeypatch.setattr(servers, "new_pool", lambda server, address: Counted(servers, address))
        for n in range(5_700):
            servers.activate_server(f"n{n}", ("127.0.0.1", 9), False)
        conns = []
        for n in (5, 7, 7):
            conns.append(Connection(servers.pools[f"n{n}"]))
            conns[-1].connection_made(Ends(conns[-1]))
        assert servers.connection_count() == 3 and not servers.may_open() and not servers.make_room()
        servers.pools["n7"].give_back(conns[1])
        assert servers.may_open() and servers.make_room() and servers.connection_count() == 2
        servers.remove_server("n5")
        servers.sweep()
        assert walked <= 3 and servers.connection_count() == 2 and len(servers.active_pools) == 2
        servers.close()
        assert servers.connection_count() == 0 and not servers.active_pools

    play(scenario())


def test_a_start_does_not_import_the_subset() -> None:
    code = "import sys, glenchute.cli.run; sys.exit('glenchute.policy.balancing.subset' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_without_growth_or_weights_the_checks_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subsets, "GROWTH_FRACTION", 0.0)
    monkeypatch.setattr(subsets.Subset, "adjust_size", lambda self, now_ms, in_flight: None)
    with pytest.raises(AssertionError):
        test_load_widens_within_a_step_and_calm_narrows()
    monkeypatch.setattr(subsets.Subset, "weight", lambda self, now_ms, server: 1.0)
    with pytest.raises(AssertionError):
        test_servers_that_can_not_serve_are_not_counted("unreachable")
