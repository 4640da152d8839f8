"""Forty gateways before sixty servers: what each sees seldom, all together must still get right."""

from __future__ import annotations

import random
from collections import Counter, defaultdict, deque
from dataclasses import replace

import pytest

from glenchute.policy.actions import Action, LogMessage, StartAttempt
from glenchute.policy.balancing.pool import ServerPool
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, Event
from glenchute.policy.settings import SlowStart
from lab.sim.swarm import gone
from lab.sim.world import SERVICE_MS, SETTINGS, World

GATEWAYS, NODES = 40, 60
SLOW = 10.0  # a command takes a quarter of a second


class Large(World):
    """The site at its size, with a book of what was sent where and how each request ended."""

    def __init__(self, seed: int, gateways: int = GATEWAYS, nodes: int = NODES) -> None:
        self.sends: list[tuple[float, str]] = []
        self.answers: Counter[str] = Counter()
        self.lines: list[str] = []
        super().__init__(seed, gateways, nodes, watch=self.seen)
        for node in self.nodes.values():
            node.slots, node.slow = 2, SLOW

    def seen(self, number: int, now: float, event: Event, actions: list[Action]) -> None:
        """Books the actions."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self.sends.append((self.now - self.began, action.address))
            elif isinstance(action, LogMessage):
                self.lines.append(action.message)
            self.answers[type(action).__name__] += 1

    def replace(self, share: float) -> set[str]:
        """So many of the nodes go, and others come; the new ones' names."""
        old = set(self.nodes)
        for name in sorted(old)[: round(share * len(old))]:
            gone(self, self.nodes[name])
        new = set(self.nodes) - old
        for name in new:
            self.nodes[name].slots, self.nodes[name].slow = 2, SLOW
        return new

    def load_by_node(self, from_s: float, until_s: float) -> Counter[str]:
        """Attempts by node, between two moments."""
        return Counter(name for at, name in self.sends if from_s * 1000.0 <= at < until_s * 1000.0)


def most_of_cold(world: Large, new: set[str], born_ms: float) -> float:
    """The most that a new node was sent within the rule's time, against what it could do then."""
    safety, worst = world.settings.slow_start, 0.0
    lately: defaultdict[str, deque[float]] = defaultdict(deque)
    for at, name in world.sends:
        age = at - born_ms
        if name not in new or age > safety.warm_up_ms:
            continue
        lately[name].append(at)
        while lately[name][0] < at - safety.overload_window_ms:
            lately[name].popleft()
        warmth = min(
            1.0, safety.initial_fraction + (1.0 - safety.initial_fraction) * max(0.0, age) / safety.warm_up_ms
        )
        able = 2 / (SERVICE_MS * SLOW) * warmth * safety.overload_window_ms
        worst = max(worst, len(lately[name]) / able)
    return worst


def test_new_servers_get_work_while_the_old_ones_are_overloaded() -> None:
    """Six in ten are replaced. The warm ones answered for all that came, and none of forty gateways knew
    that they were full: reports are old when a gateway meets a server every few seconds."""
    world = Large(1)
    world.load(11_000.0, 260.0, ("wide",))
    world.run(3000.0)
    new = world.replace(0.6)
    born = world.now - world.began
    world.run(10_000.0)
    counts = world.load_by_node(5.0, 11.0)
    to_new = sum(counts[name] for name in new)
    assert to_new > 0.25 * counts.total(), (to_new, counts.total())
    assert most_of_cold(world, new, born) < world.settings.slow_start.overload_factor


def test_few_warm_servers_give_the_rate_of_those_that_warm_up() -> None:
    """A mean over all servers, most of them cold, told a fraction of what one can bear."""
    world = Large(2)
    world.load(6_000.0, 260.0, ("wide",))
    world.run(3000.0)
    before = [module.pool.slow_start.warm_response_rate_per_s for module in world.modules]
    world.replace(0.6)
    world.run(2000.0)
    after = [module.pool.slow_start.warm_response_rate_per_s for module in world.modules]
    assert sum(after) > 1.2 * sum(before)


def test_load_spreads_over_equal_servers() -> None:
    world = Large(3)
    world.load(6000.0, 240.0, ("wide",))
    world.run(7000.0)
    counts = world.load_by_node(1.0, 6.0)
    mean = counts.total() / NODES
    assert max(counts.values()) < 2.0 * mean and len(counts) == NODES


def test_a_log_message_counts_how_requests_and_calls_ended() -> None:
    world = Large(4, 3, 9)
    world.load(12_000.0, 60.0)
    world.run(12_000.0)
    lines = [line for line in world.lines if line.startswith("in ")]
    assert len(lines) == 6  # one in five seconds at each gateway
    assert all("attempt: ok" in line and "counter: ok" in line for line in lines)


@pytest.mark.parametrize("gateways", [3, 40, 200])
@pytest.mark.parametrize("idle_s", [0, 3, 9])
def test_slow_start_tokens_are_not_saved_up(gateways: int, idle_s: int) -> None:
    """Nothing goes to the cold server for a while, so that its turn comes up at each gateway. Then all spend
    what turns they have: within the rule's time not more than it bears."""
    safety, bears = SlowStart(0.27, 18_000.0, 2.0, 3000.0), 15.0  # requests a second, once warm
    settings = replace(SETTINGS, gateway_count=gateways, slow_start=safety)
    fleets = [ServerPool(settings, random.Random(number)) for number in range(gateways)]
    sent: list[float] = []
    for fleet in fleets:
        fleet.update(EndpointList(EndpointListKind.FULL, (Endpoint("s", "a", started_ms=1.0),)), 1.0)
        fleet.slow_start.warm_response_rate_per_s = 0.9 * bears / gateways
    for now in range(1, 1000 * idle_s + 6000, 20):
        for fleet in fleets:
            server = fleet.servers["s"]
            if (
                fleet.slow_start.refill_and_check(server, now, fleet.slow_start.weight(server, now))
                and now > 1000 * idle_s
            ):
                fleet.record_start(now, server)
                sent.append(now)
    for at in sent:
        within = sum(at - safety.overload_window_ms < each <= at for each in sent)
        assert within <= safety.overload_factor * bears * 3.0 * fleets[0].slow_start.weight(
            server, at - 3000.0
        )
    assert len(sent) > 0.4 * 6.0 * bears * safety.initial_fraction  # and its share is used


def test_removed_servers_of_an_old_list_cost_few_attempts() -> None:
    """After a restart the list may name mostly servers that are gone. Where more than half could not be
    reached, that counted as the usual state of a server, and all were tried as before."""
    world = Large(6)
    world.run(100.0)
    names = sorted(world.nodes)
    for name in names[: round(0.6 * len(names))]:
        world.nodes[name].alive = False  # and nobody is told
    world.load(16_000.0, 200.0, ("wide",))
    world.run(17_000.0)
    dead = set(names[: round(0.6 * len(names))])
    late = world.load_by_node(12.0, 16.0)
    assert sum(late[name] for name in dead) < 0.42 * late.total()
    assert world.answers["Refuse"] < 700  # a try that did not connect costs no other its try


def test_a_server_that_comes_back_is_found_again() -> None:
    """It could not be reached for a while and the list never spoke of it: the fleet's next looks find it."""
    world = Large(7, nodes=9)
    world.run(100.0)
    name = min(world.nodes)
    world.nodes[name].alive = False
    world.load(24_000.0, 40.0, ("wide",))
    world.run(8000.0)
    world.nodes[name].alive = True
    world.run(16_000.0)
    counts = world.load_by_node(14.0, 24.0)
    assert counts[name] > 0.3 * counts.total() / len(world.nodes)
