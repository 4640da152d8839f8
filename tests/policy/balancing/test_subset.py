"""Subsetting: servers are used evenly without messages between gateways, subsets change little with the list
and grow with load, and the cost depends on the servers in use."""

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
    SubsetSettings,
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
from lab.coldstart import GatewayFleet
from lab.load import Account, Load, RequestKind
from lab.load import Outcome as LoadOutcome
from lab.peers import DiscoveryPeer, discovery_answer, run_scenario, server_row, wait_until
from lab.sim.swarm import draw_script, find_failure
from lab.sim.world import World
from lab.site import with_longer_deadlines
from tests.loopback import ScriptedEngine, site
from tests.rig import SETTINGS


def listed(
    names: list[str],
    kind: EndpointListKind = EndpointListKind.FULL,
    state: EndpointState = EndpointState.ACTIVE,
) -> EndpointList:
    """Returns a list event with these servers, spread over two zones."""
    return EndpointList(kind, tuple(Endpoint(name, "ab"[int(name[1:]) % 2], state=state) for name in names))


class FakeEngine:
    """A fake decision engine: follows the list as the real one does, and sends requests to the known servers
    in turn."""

    def __init__(self) -> None:
        self.known: dict[str, Endpoint] = {}
        self.total = self.request_count = 0

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        if isinstance(event, EndpointList):
            self.total = event.total_endpoints
            if event.kind is EndpointListKind.FULL:
                self.known.clear()
            for entry in event.endpoints:
                if entry.state is EndpointState.ACTIVE:
                    self.known[entry.address] = entry
                else:
                    self.known.pop(entry.address, None)
        elif isinstance(event, Request) and self.known:
            self.request_count += 1
            return [StartAttempt(event.request_id, sorted(self.known)[self.request_count % len(self.known)])]
        return []


def sized_subset(
    gateways: int = 10, number: int = 3, servers: int = 4
) -> tuple[SubsettingEngine, FakeEngine]:
    """Returns a subsetting engine with a configured subset size, and its fake engine."""
    engine = FakeEngine()
    return SubsettingEngine(engine, SETTINGS, SubsetSettings(gateways, number, servers)), engine


class SubsetMachine(RuleBasedStateMachine):
    """Checks after any events that the engine knows only active servers, enough of them, and some of each
    zone."""

    def __init__(self) -> None:
        super().__init__()
        self.subsetting, self.engine = sized_subset()
        self.now, self.serial, self.open_attempts = 1e6, 0, []  # type: ignore[var-annotated]
        self.serving = {f"s{n}" for n in range(12)}
        self.feed(listed(sorted(self.serving)))

    def feed(self, event: Event) -> None:
        for action in self.subsetting.handle(self.now, event):
            if isinstance(action, StartAttempt):
                assert action.address in self.serving
                self.open_attempts.append(action)

    @rule(number=st.integers(0, 30), state=st.sampled_from(EndpointState))
    def changes(self, number: int, state: EndpointState) -> None:
        name = f"s{number}"
        (self.serving.add if state is EndpointState.ACTIVE else self.serving.discard)(name)
        self.feed(listed([name], EndpointListKind.CHANGES, state))

    @rule(numbers=st.sets(st.integers(0, 30)))
    def whole(self, numbers: set[int]) -> None:
        self.serving = {f"s{number}" for number in numbers}
        self.feed(listed(sorted(self.serving)))

    @rule(count=st.integers(1, 40))
    def asks(self, count: int) -> None:
        for _ in range(count):
            self.serial += 1
            self.feed(Request(f"r{self.serial}", "read", "wide", "c", 900.0))

    @rule(ending=st.sampled_from((Outcome.OK, Outcome.UNREACHABLE)))
    def ends(self, ending: Outcome) -> None:
        open_attempts, self.open_attempts = self.open_attempts, []
        for one in open_attempts:
            self.feed(AttemptEnded(one.request_id, 0, one.address, ending, 5.0, ending is Outcome.OK))

    @rule(ms=st.floats(1.0, 20_000.0))
    def waits(self, ms: float) -> None:
        self.now += ms
        self.feed(TimerFired(0))

    @invariant()
    def known_is_in_service_and_enough(self) -> None:
        known, subset = set(self.engine.known), self.subsetting.subset
        assert known == set(subset.in_use) <= self.serving
        assert len(known) >= min(4, len(self.serving))
        assert {int(name[1:]) % 2 for name in known} == {int(name[1:]) % 2 for name in self.serving}
        assert self.engine.total == len(self.serving) or not self.serving
        assert sum(self.subsetting.in_flight.values()) == len(self.open_attempts)


TestSubsetMachine = SubsetMachine.TestCase
TestSubsetMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)


def test_the_last_listed_servers_are_in_use_though_they_could_not_be_reached() -> None:
    """All servers are removed; the next list has three, fewer than the subset size of four, and one of them
    was unreachable before."""
    machine = SubsetMachine()
    machine.asks(40)
    machine.ends(Outcome.UNREACHABLE)
    for numbers in (set(), {0, 1, 13}):
        machine.whole(numbers)
        machine.known_is_in_service_and_enough()


def test_load_enlarges_a_subset_and_low_load_shrinks_it() -> None:
    subsetting, engine = sized_subset()
    names = [f"s{n}" for n in range(40)]
    subsetting.handle(0.0, listed(names))
    first, now = len(engine.known), 0.0
    for number in range(8 * first):
        subsetting.handle(now, Request(f"r{number}", "read", "wide", "c", 900.0))
    for _ in range(12):
        subsetting.handle(now := now + GROWTH_INTERVAL_MS, TimerFired(0))
    wide = len(engine.known)
    assert wide >= 2 * first
    for number in range(8 * first):
        subsetting.handle(now, AttemptEnded(f"r{number}", 0, "s0", Outcome.OK, 5.0, True))
    subsetting.in_flight.clear()
    for _ in range(200):
        subsetting.handle(now := now + 2_000.0, TimerFired(0))
    assert len(engine.known) <= first + 1


@pytest.mark.parametrize("trouble", ["unreachable", "cold"])
def test_servers_that_can_not_serve_are_not_counted(trouble: str) -> None:
    """Other servers are used in place of unreachable ones at once, and beside servers that warm up, by the
    weight that these lack."""
    subsetting, engine = sized_subset(servers=4)
    names = [f"s{n}" for n in range(20)]
    if trouble == "cold":
        entries = tuple(Endpoint(name, "a", started_ms=1e6) for name in names)
        subsetting.handle(1e6, EndpointList(EndpointListKind.FULL, entries))
        assert len(engine.known) == 16  # each has a weight of a quarter
        return
    subsetting.handle(1e6, listed(names))
    before = set(engine.known)
    for number, server in enumerate(sorted(before)):
        subsetting.handle(1e6 + 10.0, AttemptEnded(f"r{number}", 0, server, Outcome.UNREACHABLE, 1.0, False))
    subsetting.handle(1e6 + 10.0 + GROWTH_INTERVAL_MS, TimerFired(0))
    assert len(set(engine.known) - before) >= 4
    for step in range(100):
        subsetting.handle(1e6 + UNREACHABLE_MS + 2_000.0 * step, TimerFired(0))
    assert len(engine.known) <= len(before) + 1


@pytest.mark.parametrize(("gateways", "servers"), [(3, 10), (40, 60), (200, 100)])
def test_all_servers_are_used_alike_and_changes_move_little(gateways: int, servers: int) -> None:
    """Compares the ring that keeps servers in use with rendezvous hashing and random subsets. A ring that
    keeps none balances as well, but replaces more servers."""
    size = min(20, servers // 2)
    imbalance = {name: balance(scheme, gateways, servers, size) for name, scheme in SCHEMES.items()}
    replaced = {name: churn(scheme, gateways, servers, size) for name, scheme in SCHEMES.items()}
    assert imbalance["kept ring"] <= 1.0 + 1.0 / (gateways * size / servers) + 1e-9
    assert imbalance["kept ring"] <= imbalance["rendezvous"] and imbalance["kept ring"] <= imbalance["drawn"]
    assert replaced["kept ring"] <= 1.05 * replaced["rendezvous"] + 0.05


def test_the_engine_behind_a_subset_keeps_the_rules_over_seeds() -> None:
    """Runs the simulated site with its checks and faults; each gateway uses three of nine servers."""
    has_sent_enough: Counter[bool] = Counter()
    for seed in range(3):
        numbers = iter(range(1000))

        def create_engine(policy_settings: Settings, engine_seed: int, numbers: object = numbers) -> object:
            number = next(numbers) % policy_settings.gateway_count  # type: ignore[call-overload]
            return InspectableEngine(
                DecisionEngine(policy_settings, engine_seed),
                policy_settings,
                SubsetSettings(policy_settings.gateway_count, number, 3),
            )

        world = World(seed, 6, 9, create_engine)
        world.load(20_000.0, 60.0)
        world.flood(20_000.0, 60.0)
        rng = random.Random(seed)
        for node in list(world.nodes.values())[:3]:
            world.schedule(rng.uniform(0.0, 15_000.0), setattr, node, "alive", False)
            world.schedule(16_000.0, setattr, node, "alive", True)
        world.run(5_000.0)
        world.kill_gateway(1, 500.0)
        world.run(20_000.0)
        has_sent_enough[len(world.sent) > 600] += 1
    assert has_sent_enough == {True: 3}


class InspectableEngine:
    """A subsetting engine with the attributes of the inner engine, which the simulated site checks."""

    def __init__(
        self, inner: DecisionEngine, policy_settings: Settings, subset_settings: SubsetSettings
    ) -> None:
        self.inner, self.subsetting = inner, SubsettingEngine(inner, policy_settings, subset_settings)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        return self.subsetting.handle(now_ms, event)

    def __getattr__(self, name: str) -> object:
        return getattr(self.inner, name)


def test_eight_processes_use_each_of_eight_servers_few_at_a_time(tmp_path: Path) -> None:
    """A server runs requests of three gateways on average, and of four at most, by its own records; without
    subsets, 47 of 60 gateways used one server (`benchmarks.subsets start`). Meanwhile each gateway has four
    requests in flight: more would enlarge its subset, and under an open load their number depends on the
    machine. Then three of the servers fail, one gateway is paused, and another is killed and restarted;
    requests are served throughout."""

    async def scenario() -> None:
        operator = "[subset]\nservers = 3\n"
        async with GatewayFleet(
            tmp_path, 8, 100.0, 200, operator, with_longer_deadlines(), servers=8
        ) as fleet:
            await fleet.start(range(8))

            def create_load(number: int, rate: float, seed: int) -> Load:
                """Returns a load on one gateway. Its accounts identify the gateway in the servers'
                records."""
                accounts = [Account(b"%016x" % (1000 * number + at), "korporativni") for at in range(40)]
                port = fleet.gateways[number].port
                return Load(
                    lambda: port, (RequestKind("report-read", 1.0, 20_000),), accounts, rate, seed + number
                )

            async def load_by_fours(number: int) -> Load:
                """Sends requests to one gateway, four at a time."""
                load = create_load(number, 0.0, 100)
                for first in range(0, 80, 4):
                    names = [b"%04x%04x" % (number, at) for at in range(first, first + 4)]
                    outcomes = [
                        LoadOutcome(load.kinds[0], load.accounts[int(name[4:], 16) % 40], name, fleet.now)
                        for name in names
                    ]
                    await asyncio.gather(*map(load.send_request, outcomes))
                return load

            async def run_loads(seconds: float, numbers: range, seed: int) -> list[Load]:
                loads = [create_load(number, 20.0, seed) for number in numbers]
                await asyncio.gather(*(load.run(seconds) for load in loads))
                return loads

            loads = list(await asyncio.gather(*map(load_by_fours, range(8))))
            gateways_by_node = [
                len({int(run.account_id, 16) // 1000 for run in node.effects}) for node in fleet.site.nodes
            ]
            assert max(gateways_by_node) <= 4, gateways_by_node
            for node in fleet.site.nodes[:3]:
                await node.stop()
            fleet.gateways[7].send_signal(signal.SIGSTOP)
            fleet.kill([6])
            loads += await run_loads(2.0, range(6), 200)
            fleet.gateways[7].send_signal(signal.SIGCONT)
            await fleet.start([6])
            loads += await run_loads(1.0, range(8), 300)
            results = [outcome.answer for load in loads for outcome in load.outcomes]
            assert len(results) > 900 and results.count("lost") == 0
            assert results.count("served") >= 0.95 * len(results)

    run_scenario(scenario())


# --- long lists, of which a subset is used by default -------------------------------------------------------


def servers_in_zones(count: int, zones: int = 7, first: int = 0, **more: Any) -> list[Endpoint]:
    """Returns servers that are unevenly spread over the zones."""
    return [
        Endpoint(f"n{n}", "abcdefg"[min(zones - 1, n % (zones + 3))], **more)
        for n in range(first, first + count)
    ]


def default_subset(gateways: int = 520, number: int = 7) -> tuple[SubsettingEngine, FakeEngine]:
    """Returns a subsetting engine without a configured subset size, and its fake engine."""
    engine = FakeEngine()
    return SubsettingEngine(
        engine, replace(SETTINGS, gateway_count=gateways), SubsetSettings(gateways, number)
    ), engine


def list_event(
    entries: Sequence[Endpoint], kind: EndpointListKind = EndpointListKind.CHANGES
) -> EndpointList:
    return EndpointList(kind, tuple(entries))


def with_state(entries: Iterable[Endpoint], state: EndpointState = EndpointState.REMOVED) -> list[Endpoint]:
    return [replace(entry, state=state) for entry in entries]


class StepCounter:
    """Counts the servers and ring positions that a subset visits."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.count = 0
        for name in ("weight", "ring_position"):
            owner: Any = subsets.Subset if name == "weight" else subsets
            patch.setattr(owner, name, self.wrap(getattr(owner, name)))

    def wrap(self, original: Callable[..., Any]) -> Callable[..., Any]:
        def count_step(*args: Any) -> Any:
            self.count += 1
            return original(*args)

        return count_step


@pytest.mark.parametrize("count", [0, 1, 20, 200, MAX_SUBSET_SIZE])
def test_a_list_that_a_gateway_can_use_whole_is_passed_on_event_by_event(count: int) -> None:
    received: list[Event] = []

    class RecordingEngine(FakeEngine):
        def handle(self, now_ms: float, event: Event) -> list[Action]:
            received.append(event)
            return super().handle(now_ms, event)

    subsetting = SubsettingEngine(RecordingEngine(), SETTINGS, SubsetSettings(2, 1))
    fleet = servers_in_zones(count)
    events: list[Event] = [
        list_event(fleet, EndpointListKind.CACHED),
        list_event(fleet, EndpointListKind.FULL),
    ]
    events += [Request(f"r{n}", "read", "wide", "c", 900.0) for n in range(20)]
    events += [list_event(with_state(fleet[:3], EndpointState.DRAINING)), list_event(with_state(fleet[:3]))]
    events += [EndpointList(EndpointListKind.FAILED)]
    events += [AttemptEnded(f"r{n}", 0, "n5", Outcome.UNREACHABLE, 5.0, False) for n in range(20)]
    events += [list_event(fleet[:2]), TimerFired(0), SuccessorStarted(), ClientDisconnected("r1")]
    for step, event in enumerate(events):
        subsetting.handle(1e6 + 300.0 * step, event)
    assert len(received) == len(events) and all(
        passed_on is original for passed_on, original in zip(received, events, strict=True)
    )


SIZES = [
    # listed servers, gateways, subset size, least and largest number of gateways that use a server
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


@pytest.mark.parametrize(("listed", "gateways", "size", "min_gateways", "max_gateways"), SIZES)
def test_the_settings_alone_give_the_subset_size(
    listed: int, gateways: int, size: int, min_gateways: int, max_gateways: int
) -> None:
    """Servers are also used evenly, over all zones and for any number of gateways."""
    assert subset_size(listed, gateways) == size
    first = Subset(SubsetSettings(gateways, 0), SlowStart())
    first.replace_list(fleet := servers_in_zones(listed))
    gateways_by_server: Counter[str] = Counter()
    for number in range(gateways if max_gateways else 0):
        subset = Subset(SubsetSettings(gateways, number), SlowStart())
        subset.listed, subset.rings = first.listed, first.rings
        subset.refresh(0.0)
        assert len(subset.in_use) == size
        gateways_by_server.update(subset.in_use.keys())
    assert {gateways_by_server[entry.address] for entry in fleet} <= set(
        range(min_gateways, max_gateways + 1)
    )


@pytest.mark.parametrize("gateways", [1, 3, 40, 200, 384, 520, 999])
def test_first_positions_are_spread_evenly_by_the_number_alone(gateways: int) -> None:
    """The gaps between neighbours are between half and twice the mean gap. Numbers larger than the number of
    gateways, such as random ones, have a position too."""
    positions = sorted(first_position(number) for number in range(gateways))
    gaps = [b - a for a, b in zip(positions, [*positions[1:], 1.0 + positions[0]], strict=True)]
    assert 0.5 / gateways <= min(gaps) and max(gaps) <= 2.0 / gateways
    assert all(0.0 <= first_position(number) < 1.0 for number in (0x8C1F30D27A5BE964, 10**40, 2**64 - 1))


@pytest.mark.parametrize("number", [0, 7, 519, 520, 99_999, 2**63])
@pytest.mark.parametrize("gateways", [0, 1, 52, 520, 100_000])
def test_a_wrong_number_or_fleet_size_leaves_a_gateway_with_servers_of_each_zone(
    number: int, gateways: int
) -> None:
    subsetting, engine = default_subset(gateways, number)
    subsetting.handle(1e6, list_event(servers_in_zones(5_700), EndpointListKind.FULL))
    assert MIN_SUBSET_SIZE <= len(engine.known) <= MAX_SUBSET_SIZE
    assert {entry.zone for entry in engine.known.values()} == set("abcdefg")


@pytest.mark.parametrize("kind", [EndpointListKind.FULL, EndpointListKind.CHANGES])
def test_a_list_that_grows_and_shrinks_in_one_answer(kind: EndpointListKind) -> None:
    """Lists of 20, 5,700, 20 and 5,700 other servers: one event each time tells the engine which servers it
    may use and how many there are."""
    subsetting, engine = default_subset()
    few, many, other_servers = (
        servers_in_zones(20),
        servers_in_zones(5_700),
        servers_in_zones(5_700, first=10_000),
    )
    subsetting.handle(1e6, list_event(few, EndpointListKind.FULL))
    assert engine.known == {entry.address: entry for entry in few} and engine.total == 0
    now = 1e6
    transitions = (
        (few, many, MIN_SUBSET_SIZE),
        (many, few, 20),
        (few, other_servers, MIN_SUBSET_SIZE),
        (other_servers, few, 20),
    )
    for before, after, count in transitions:
        names = {entry.address for entry in after}
        change = [*(entry for entry in with_state(before) if entry.address not in names), *after]
        subsetting.handle(
            now := now + 10.0, list_event(after if kind is EndpointListKind.FULL else change, kind)
        )
        assert len(engine.known) == count and engine.known.keys() <= names
        assert engine.total == len(after)
    subsetting.handle(now + 10.0, list_event(with_state(few[:1])))
    assert engine.total == len(engine.known) == 19


def test_a_list_around_the_limit_switches_once() -> None:
    subsetting, engine = default_subset()
    fleet = servers_in_zones(MAX_SUBSET_SIZE + 10)
    subsetting.handle(1e6, list_event(fleet[:MAX_SUBSET_SIZE], EndpointListKind.FULL))
    states = []
    for step in range(20):
        change = fleet[MAX_SUBSET_SIZE:] if step % 2 == 0 else with_state(fleet[STOP_SUBSETTING_SIZE + 4 :])
        subsetting.handle(1e6 + 1000.0 * step, list_event(change))
        states.append(subsetting.is_subsetting)
    assert all(states) and len(engine.known) < STOP_SUBSETTING_SIZE
    subsetting.handle(2e6, list_event(with_state(fleet[STOP_SUBSETTING_SIZE - 4 :])))
    assert not subsetting.is_subsetting and len(engine.known) == STOP_SUBSETTING_SIZE - 4


def test_all_names_new() -> None:
    """A full list in which every name is new, as after a restart of discovery, removes all old servers from
    the engine at once."""
    subsetting, engine = default_subset()
    subsetting.handle(1e6, list_event(servers_in_zones(5_700), EndpointListKind.FULL))
    subsetting.handle(2e6, list_event(fresh := servers_in_zones(5_700, first=6_000), EndpointListKind.FULL))
    assert len(engine.known) == MIN_SUBSET_SIZE and engine.known.keys() <= {entry.address for entry in fresh}


def test_most_of_the_subset_drains_together() -> None:
    """One answer drains all but one of the servers in use: the same event brings as many others into use."""
    subsetting, engine = default_subset()
    subsetting.handle(1e6, list_event(servers_in_zones(5_700), EndpointListKind.FULL))
    used = list(engine.known.values())
    subsetting.handle(2e6, list_event(with_state(used[1:], EndpointState.DRAINING)))
    assert len(engine.known) == MIN_SUBSET_SIZE and engine.known.keys().isdisjoint(
        entry.address for entry in used[1:]
    )


def test_a_zone_is_removed_at_once_and_returns_warming_up() -> None:
    """At least one server of a zone is in use while any of its servers is listed. While servers warm up, more
    of them are in use according to their weights, up to a bound; once warm, no more than before."""
    subsetting, engine = default_subset()
    other_zones, zone_servers = servers_in_zones(4_900, 6), [Endpoint(f"z{n}", "z") for n in range(800)]
    subsetting.handle(1e6, list_event([*other_zones, *zone_servers], EndpointListKind.FULL))

    def used() -> int:
        return sum(entry.zone == "z" for entry in engine.known.values())

    before = used()
    assert before in (6, 7)
    subsetting.handle(2e6, list_event(with_state(zone_servers)))
    assert used() == 0 and len(engine.known) >= MIN_SUBSET_SIZE - before
    subsetting.handle(2e6 + GROWTH_INTERVAL_MS, TimerFired(0))
    assert len(engine.known) >= MIN_SUBSET_SIZE
    cold = [replace(entry, started_ms=3e6) for entry in zone_servers]
    for entry in cold[:5]:
        subsetting.handle(3e6, list_event([entry]))
        assert used() >= 1
    subsetting.handle(3e6, list_event(cold[5:]))
    subsetting.handle(3e6 + GROWTH_INTERVAL_MS, TimerFired(0))
    assert before < used() <= (before + 1) / SETTINGS.slow_start.initial_fraction
    for step in range(200):
        subsetting.handle(3e6 + 20_000.0 * step, TimerFired(0))
    assert used() <= before + 1 and len(engine.known) <= MIN_SUBSET_SIZE + 1


def test_a_changed_row_costs_by_what_is_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    """2,000 changed rows in one second, each in a separate answer, of 5,700 listed: the steps per row are
    bounded, including the reviews of that second. Rows in one answer cost a few steps each."""
    subsetting, engine = default_subset()
    fleet = servers_in_zones(5_700)
    subsetting.handle(1e6, list_event(fleet, EndpointListKind.FULL))
    rng, steps = random.Random(1), StepCounter(monkeypatch)
    rows = [
        replace(entry, weight=2.0, started_ms=rng.choice((0.0, 9e5))) for entry in rng.sample(fleet, 2_000)
    ]
    for step, entry in enumerate(rows):
        subsetting.handle(1e6 + 0.5 * step, list_event([replace(entry, zone=rng.choice("abcdefg"))]))
        subsetting.handle(1e6 + 0.5 * step, TimerFired(0))
    assert steps.count <= 12 * len(rows)
    assert engine.known.keys() == subsetting.subset.in_use.keys()
    steps.count = 0
    subsetting.handle(2e6, list_event(rows))
    assert steps.count <= 3 * len(rows)


def test_reviews_cost_by_what_is_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reviews without changes, and then with all servers unreachable, take as many steps at 2,000 as at 5,700
    listed."""
    counts = []
    for listed in (2_000, 5_700):
        with monkeypatch.context() as patch:
            subsetting, engine = default_subset()
            subsetting.handle(1e6, list_event(servers_in_zones(listed), EndpointListKind.FULL))
            steps = StepCounter(patch)
            for step in range(400):
                now = 1e6 + step * GROWTH_INTERVAL_MS
                for server in list(engine.known) if step > 200 else ():
                    subsetting.handle(now, AttemptEnded("r", 0, server, Outcome.UNREACHABLE, 1.0, False))
                subsetting.handle(now, TimerFired(0))
            counts.append(steps.count)
            # In each of the seven zones the last server may raise the sum of weights over the zone's share.
            assert len(engine.known) <= 2 * MIN_SUBSET_SIZE / MIN_WEIGHT + 7
    assert counts[1] <= 1.1 * counts[0]


def test_a_pick_looks_at_as_many_servers_at_5700_as_at_100(monkeypatch: pytest.MonkeyPatch) -> None:
    """Counts the servers that the real decision engine compares behind a subset."""
    comparisons = 0
    original = EndpointChooser.expected_delay

    def counted_delay(*args: Any) -> float:
        nonlocal comparisons
        comparisons += 1
        return original(*args)

    monkeypatch.setattr(EndpointChooser, "expected_delay", counted_delay)
    comparisons_per_attempt = {}
    for listed in (20, 5_700):
        policy_settings = replace(SETTINGS, gateway_count=520)
        subsetting = SubsettingEngine(
            DecisionEngine(policy_settings, 1), policy_settings, SubsetSettings(520, 7)
        )
        subsetting.handle(1e6, list_event(servers_in_zones(listed), EndpointListKind.FULL))
        comparisons = sent = 0
        for n in range(500):
            for action in subsetting.handle(1e6 + 6.0 * n, Request(f"r{n}", "read", "wide", "c", 900.0)):
                if isinstance(action, StartAttempt):
                    sent += 1
                    ended = AttemptEnded(
                        f"r{n}", 0, action.address, Outcome.OK, 5.0, True, active_requests=1.0
                    )
                    subsetting.handle(1e6 + 6.0 * n + 5.0, ended)
        comparisons_per_attempt[listed] = comparisons / sent
    assert comparisons_per_attempt[20] == 20 and comparisons_per_attempt[5_700] <= MIN_SUBSET_SIZE


def test_the_rules_hold_in_swarm_runs_with_many_servers() -> None:
    """Runs the simulated site with more servers than a gateway uses whole, so that each gateway uses a
    subset. `tests/lab/test_swarm.py` tests that the site's checks find a broken engine."""
    engines: list[InspectableEngine] = []

    def make(policy_settings: Settings, engine_seed: int) -> InspectableEngine:
        engines.append(
            InspectableEngine(
                DecisionEngine(policy_settings, engine_seed),
                policy_settings,
                SubsetSettings(520, len(engines)),
            )
        )
        return engines[-1]

    def create_large_world(seed: int, gateways: int, nodes: int, make: Any, watch: Any = None) -> World:
        return World(seed, gateways, MAX_SUBSET_SIZE + 44, make, watch)

    for seed in range(6):
        failure = find_failure(draw_script(seed), make, create_large_world)
        assert failure is None, failure
    used = [len(engine.inner.pool.servers) for engine in engines]
    assert all(engine.subsetting.is_subsetting for engine in engines) and max(used) < MAX_SUBSET_SIZE


def test_a_gateway_without_a_file_uses_a_part_of_a_long_list() -> None:
    """Without an operator file, a gateway passes a short list on to the engine unchanged. Once the list
    exceeds the limit, the engine receives a subset, and at once each drain of a server in it."""
    engine = ScriptedEngine(lambda event: [])

    async def scenario() -> None:
        rows = [{**server_row(f"n{n}", 9), "zone": "ab"[n % 2]} for n in range(MAX_SUBSET_SIZE + 40)]
        discovery = DiscoveryPeer(discovery_answer(2, rows[:20]), discovery_answer(3, rows[20:], full=False))
        async with site(decisions=engine, discovery=discovery) as gateway_site:
            await wait_until(lambda: gateway_site.program.discovery.version == 3)
            lists = engine.events_of(EndpointList)
            assert [event.total_endpoints for event in lists] == [0, 0, MAX_SUBSET_SIZE + 40]
            assert len(lists[1].endpoints) == 20
            subsetting: Any = gateway_site.program.gateway.decisions
            in_use = subsetting.subset.in_use
            assert len(in_use) == subset_size(MAX_SUBSET_SIZE + 40, SETTINGS.gateway_count)
            drained = next(iter(in_use))
            discovery.answers.append(discovery_answer(4, [server_row(drained, 9, "Terminating")], full=False))
            await wait_until(lambda: gateway_site.program.discovery.version == 4)
            assert drained not in in_use and len(in_use) == MAX_SUBSET_SIZE
            assert drained in {entry.address for entry in engine.events_of(EndpointList)[-1].endpoints}

    run_scenario(scenario())


def test_connections_cost_by_the_servers_that_have_any(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sweeps, and the search for room before each new connection, visit only pools that have connections."""
    visited_pools = 0

    class EndingTransport(asyncio.Transport):
        """A transport that reports its end to its connection at once."""

        def __init__(self, conn: Connection) -> None:
            super().__init__()
            self.conn = conn

        def abort(self) -> None:
            self.conn.connection_lost(None)

        def is_closing(self) -> bool:
            return False

    class CountingPool(ConnectionPool):
        def close_idle(self, before: float | None = None) -> None:
            nonlocal visited_pools
            visited_pools += 1
            super().close_idle(before)

    async def scenario() -> None:
        servers = ServerPools(asyncio.get_running_loop(), UpstreamLimits(0.25, 13.0, 0.25, 3))
        monkeypatch.setattr(servers, "new_pool", lambda server, address: CountingPool(servers, address))
        for n in range(5_700):
            servers.activate_server(f"n{n}", ("127.0.0.1", 9), False)
        conns = []
        for n in (5, 7, 7):
            conns.append(Connection(servers.pools[f"n{n}"]))
            conns[-1].connection_made(EndingTransport(conns[-1]))
        assert servers.connection_count() == 3 and not servers.may_open() and not servers.make_room()
        servers.pools["n7"].release(conns[1])
        assert servers.may_open() and servers.make_room() and servers.connection_count() == 2
        servers.remove_server("n5")
        servers.sweep()
        assert visited_pools <= 3 and servers.connection_count() == 2 and len(servers.active_pools) == 2
        servers.close()
        assert servers.connection_count() == 0 and not servers.active_pools

    run_scenario(scenario())


def test_a_start_does_not_import_the_subset() -> None:
    code = "import sys, glenchute.cli.run; sys.exit('glenchute.policy.balancing.subset' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_without_growth_or_weights_the_checks_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subsets, "GROWTH_FRACTION", 0.0)
    monkeypatch.setattr(subsets.Subset, "adjust_size", lambda self, now_ms, in_flight: None)
    with pytest.raises(AssertionError):
        test_load_enlarges_a_subset_and_low_load_shrinks_it()
    monkeypatch.setattr(subsets.Subset, "weight", lambda self, now_ms, server: 1.0)
    with pytest.raises(AssertionError):
        test_servers_that_can_not_serve_are_not_counted("unreachable")
