"""Balancing by 40 gateways over 60 servers: each gateway has little information about each server, and the
load has to be balanced all the same."""

from __future__ import annotations

import random
from collections import Counter, defaultdict, deque
from dataclasses import replace

import pytest

from glenchute.policy.actions import Action, LogMessage, StartAttempt
from glenchute.policy.balancing.pool import ServerPool
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, Event
from glenchute.policy.settings import SlowStart
from lab.sim.swarm import replace_node
from lab.sim.world import SERVICE_MS, SETTINGS, World

GATEWAYS, NODES = 40, 60
SLOW = 10.0  # factor on the service time of a server, which makes it a quarter of a second


class LargeWorld(World):
    """A simulated site that records the attempts, the log messages and the number of actions of each type."""

    def __init__(self, seed: int, gateways: int = GATEWAYS, nodes: int = NODES) -> None:
        self.attempts: list[tuple[float, str]] = []
        self.action_counts: Counter[str] = Counter()
        self.log_lines: list[str] = []
        super().__init__(seed, gateways, nodes, watch=self.record_actions)
        for node in self.nodes.values():
            node.slots, node.slow = 2, SLOW

    def record_actions(self, number: int, now: float, event: Event, actions: list[Action]) -> None:
        """Records the actions of a gateway."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self.attempts.append((self.now - self.began, action.address))
            elif isinstance(action, LogMessage):
                self.log_lines.append(action.message)
            self.action_counts[type(action).__name__] += 1

    def replace_nodes(self, share: float) -> set[str]:
        """Replaces this share of the nodes by new ones; returns the names of the new nodes."""
        old = set(self.nodes)
        for name in sorted(old)[: round(share * len(old))]:
            replace_node(self, self.nodes[name])
        new = set(self.nodes) - old
        for name in new:
            self.nodes[name].slots, self.nodes[name].slow = 2, SLOW
        return new

    def attempts_by_node(self, from_s: float, until_s: float) -> Counter[str]:
        """Counts attempts by node from `from_s` until `until_s`, in seconds of the simulation."""
        return Counter(name for at, name in self.attempts if from_s * 1000.0 <= at < until_s * 1000.0)


def max_relative_load(world: LargeWorld, new: set[str], started_ms: float) -> float:
    """Returns the largest number of attempts that a new node got within the overload window, relative to its
    capacity at the time."""
    rules, largest = world.settings.slow_start, 0.0
    recent: defaultdict[str, deque[float]] = defaultdict(deque)
    for at, name in world.attempts:
        age = at - started_ms
        if name not in new or age > rules.warm_up_ms:
            continue
        recent[name].append(at)
        while recent[name][0] < at - rules.overload_window_ms:
            recent[name].popleft()
        weight = min(
            1.0, rules.initial_fraction + (1.0 - rules.initial_fraction) * max(0.0, age) / rules.warm_up_ms
        )
        capacity = 2 / (SERVICE_MS * SLOW) * weight * rules.overload_window_ms
        largest = max(largest, len(recent[name]) / capacity)
    return largest


def test_new_servers_get_work_while_the_old_ones_are_overloaded() -> None:
    """Guards against warm servers that get all requests after 60 % of the servers were replaced: no gateway
    knows that they are full, as load reports are old if a gateway uses each server only every few seconds."""
    world = LargeWorld(1)
    world.load(11_000.0, 260.0, ("wide",))
    world.run(3000.0)
    new = world.replace_nodes(0.6)
    started_ms = world.now - world.began
    world.run(10_000.0)
    counts = world.attempts_by_node(5.0, 11.0)
    to_new = sum(counts[name] for name in new)
    assert to_new > 0.25 * counts.total(), (to_new, counts.total())
    assert max_relative_load(world, new, started_ms) < world.settings.slow_start.overload_factor


def test_few_warm_servers_give_the_rate_of_those_that_warm_up() -> None:
    """Guards against taking the mean rate of all servers for that of a warm one: while most servers warm up,
    the mean is a fraction of it."""
    world = LargeWorld(2)
    world.load(6_000.0, 260.0, ("wide",))
    world.run(3000.0)
    before = [engine.pool.slow_start.warm_response_rate_per_s for engine in world.engines]
    world.replace_nodes(0.6)
    world.run(2000.0)
    after = [engine.pool.slow_start.warm_response_rate_per_s for engine in world.engines]
    assert sum(after) > 1.2 * sum(before)


def test_load_spreads_over_equal_servers() -> None:
    world = LargeWorld(3)
    world.load(6000.0, 240.0, ("wide",))
    world.run(7000.0)
    counts = world.attempts_by_node(1.0, 6.0)
    mean = counts.total() / NODES
    assert max(counts.values()) < 2.0 * mean and len(counts) == NODES


def test_a_log_message_counts_how_requests_and_calls_ended() -> None:
    world = LargeWorld(4, 3, 9)
    world.load(12_000.0, 60.0)
    world.run(12_000.0)
    log_lines = [line for line in world.log_lines if line.startswith("in ")]
    assert len(log_lines) == 6  # in 12 s, one every 5 s at each of the 3 gateways
    assert all("attempt: ok" in line and "counter: ok" in line for line in log_lines)


@pytest.mark.parametrize("gateways", [3, 40, 200])
@pytest.mark.parametrize("idle_s", [0, 3, 9])
def test_slow_start_tokens_are_not_saved_up(gateways: int, idle_s: int) -> None:
    """A server that warms up gets no requests for a while, in which every gateway could save tokens. Then all
    of them spend their tokens: within the overload window the server gets no more than it can handle."""
    rules, capacity_per_s = SlowStart(0.27, 18_000.0, 2.0, 3000.0), 15.0  # requests per second, once warm
    settings = replace(SETTINGS, gateway_count=gateways, slow_start=rules)
    pools = [ServerPool(settings, random.Random(number)) for number in range(gateways)]
    sent: list[float] = []
    for pool in pools:
        pool.update(EndpointList(EndpointListKind.FULL, (Endpoint("s", "a", started_ms=1.0),)), 1.0)
        pool.slow_start.warm_response_rate_per_s = 0.9 * capacity_per_s / gateways
    for now in range(1, 1000 * idle_s + 6000, 20):
        for pool in pools:
            server = pool.servers["s"]
            if (
                pool.slow_start.refill_and_check(server, now, pool.slow_start.weight(server, now))
                and now > 1000 * idle_s
            ):
                pool.record_start(now, server)
                sent.append(now)
    for at in sent:
        count_in_window = sum(at - rules.overload_window_ms < other_at <= at for other_at in sent)
        assert count_in_window <= rules.overload_factor * capacity_per_s * 3.0 * pools[0].slow_start.weight(
            server, at - 3000.0
        )
    assert len(sent) > 0.4 * 6.0 * capacity_per_s * rules.initial_fraction  # most of the allowed rate is used


def test_removed_servers_of_an_old_list_cost_few_attempts() -> None:
    """After a restart most servers of the list may no longer exist. Guards against counting failed connects
    only above the servers' median failure rate: with more than half of the servers unreachable, all would be
    chosen as before."""
    world = LargeWorld(6)
    world.run(100.0)
    names = sorted(world.nodes)
    for name in names[: round(0.6 * len(names))]:
        world.nodes[name].alive = False  # the list still has it
    world.load(16_000.0, 200.0, ("wide",))
    world.run(17_000.0)
    dead = set(names[: round(0.6 * len(names))])
    late_counts = world.attempts_by_node(12.0, 16.0)
    assert sum(late_counts[name] for name in dead) < 0.42 * late_counts.total()
    # A failed connect does not use up the attempts of a request.
    assert world.action_counts["Reject"] < 700


def test_a_server_that_comes_back_is_found_again() -> None:
    """A server is unreachable for a while, and the list does not change: later attempts find it again."""
    world = LargeWorld(7, nodes=9)
    world.run(100.0)
    name = min(world.nodes)
    world.nodes[name].alive = False
    world.load(24_000.0, 40.0, ("wide",))
    world.run(8000.0)
    world.nodes[name].alive = True
    world.run(16_000.0)
    counts = world.attempts_by_node(14.0, 24.0)
    assert counts[name] > 0.3 * counts.total() / len(world.nodes)
