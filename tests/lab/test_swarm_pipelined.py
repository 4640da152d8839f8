"""Pipelined connections at the simulated site: all rules hold over seeds, and injected bugs are found."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import pytest

from glenchute.policy.connections import pipeline_types
from glenchute.policy.connections.class_compatibility import ClassCompatibility, Compatibility
from glenchute.policy.connections.connection_queues import ConnectionQueue
from glenchute.policy.connections.pipelined_connection import CommandOutcome, CommandPipeline, MatchedReply
from glenchute.policy.connections.pipelining import PipelineScheduler
from glenchute.policy.connections.placement_choice import PlacementChooser
from glenchute.policy.connections.stall_detector import StallDetector
from glenchute.policy.events import Outcome
from lab.sim import pipelined_world
from lab.sim.pipelined_world import PIPELINED_KINDS, PipelinedWorld
from lab.sim.swarm import Fault, Script, draw_script, find_failure, run_script, search

SEEDS = range(14)
BUGS: dict[str, tuple[str, Callable[[pytest.MonkeyPatch], None]]] = {}


def bug(rule: str) -> Callable[[Callable[[pytest.MonkeyPatch], None]], Callable[[pytest.MonkeyPatch], None]]:
    """Registers an injected bug by the rule that it breaks."""

    def register(inject: Callable[[pytest.MonkeyPatch], None]) -> Callable[[pytest.MonkeyPatch], None]:
        BUGS[inject.__name__] = rule, inject
        return inject

    return register


@bug("nothing twice")
def sent_commands_are_reported_as_never_sent(patch: pytest.MonkeyPatch) -> None:
    original = CommandPipeline.close

    def close(
        self: CommandPipeline[Any], cause: Any = None, outcome: Outcome = Outcome.RESET
    ) -> list[CommandOutcome[Any]]:
        outcomes = original(self, cause, outcome)
        return [
            CommandOutcome(item, Outcome.UNREACHABLE if ended is Outcome.RESET else ended)
            for item, ended in outcomes
        ]

    patch.setattr(CommandPipeline, "close", close)


@bug("pairing")
def a_partly_sent_batch_counts_as_unsent(patch: pytest.MonkeyPatch) -> None:
    """While some of a batch is buffered, none of it counts as sent."""
    original = CommandPipeline.update_sent
    patch.setattr(
        CommandPipeline,
        "update_sent",
        lambda self, buffered: original(self, buffered) if not buffered else None,
    )


@bug("one answer")
def crossed_replies_are_trusted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(pipelined_world, "NETWORK_DELAY_MS", 0.0)
    original = CommandPipeline.match_reply

    def match_reply(self: CommandPipeline[Any], now_ms: float) -> Any:
        matched = original(self, now_ms)
        return None if matched is None else MatchedReply(matched.command, True)

    patch.setattr(CommandPipeline, "match_reply", match_reply)


@bug("sharing")
def non_idempotent_attempts_are_queued(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ClassCompatibility, "between", lambda self, ahead, behind: Compatibility.UNTIL_STALL)
    original = pipeline_types.placement_request

    def placement_request(*args: Any) -> Any:
        request = original(*args)
        if request.retry_by_ms == -math.inf:
            return request._replace(retry_by_ms=request.expires_at_ms)
        return request

    patch.setattr(pipelined_world, "placement_request", placement_request)


@bug("head-of-line blocking")
def no_connection_is_aborted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(PipelineScheduler, "check", lambda self, now_ms: [])


@bug("head-of-line blocking")
def any_connection_may_be_joined(patch: pytest.MonkeyPatch) -> None:
    """Attempts join connections without a check that they can wait for those ahead, and no connection is
    aborted when they can't."""
    patch.setattr(PlacementChooser, "blocked_until_ms", lambda self, now_ms, connection, request: now_ms)
    patch.setattr(StallDetector, "is_stalled", lambda self, now_ms, connection: False)
    patch.setattr(PipelineScheduler, "is_worth_aborting", lambda self, now_ms, connection: False)
    patch.setattr(ConnectionQueue, "abort_by_ms", lambda self: math.inf)


@bug("drains")
def drains_are_ignored_when_writing(patch: pytest.MonkeyPatch) -> None:
    original = PipelinedWorld.abort_if_blocked

    def abort_if_blocked(self: PipelinedWorld, conn: Any) -> None:
        if any(self.now >= entry.item.write_by - 2.0 for entry in conn.pipeline.in_flight):
            original(self, conn)

    patch.setattr(PipelinedWorld, "abort_if_blocked", abort_if_blocked)


@bug("depth")
def depth_is_unlimited(patch: pytest.MonkeyPatch) -> None:
    original = PlacementChooser.joinable

    def joinable(self: PlacementChooser, now_ms: float, server: Any, request: Any) -> Any:
        rules, limit = self.rules, server.depth_limit.limit
        self.rules, server.depth_limit.limit = rules._replace(max_depth=50, max_queued_per_server=100), 50.0
        try:
            return original(self, now_ms, server, request)
        finally:
            self.rules, server.depth_limit.limit = rules, limit

    patch.setattr(PlacementChooser, "joinable", joinable)


@bug("pairing")
def replies_go_to_the_newest_command(patch: pytest.MonkeyPatch) -> None:
    original = CommandPipeline.match_reply

    def match_reply(self: CommandPipeline[Any], now_ms: float) -> Any:
        self.in_flight = deque(reversed(self.in_flight))
        return original(self, now_ms)

    patch.setattr(CommandPipeline, "match_reply", match_reply)


def test_the_rules_hold_over_seeds_and_connections_are_shared() -> None:
    joined = aborted = 0
    for seed in SEEDS:
        script = draw_script(seed, PIPELINED_KINDS)
        world = run_script(script, make_world=PipelinedWorld)
        assert isinstance(world, PipelinedWorld)
        joined, aborted = joined + world.joined, aborted + world.aborted_shared
        connections = [
            connection
            for scheduler in world.schedulers.values()
            for connection in scheduler.connections.values()
        ]
        # No connection has queued attempts at the end.
        assert not any(len(connection.attempts) > 1 for connection in connections)
    assert joined > 1000 and aborted > 20


@pytest.mark.parametrize("kind", ["hang", "resets", "stuck lines", "extra replies", "drain", "half die"])
def test_each_fault_alone(kind: str) -> None:
    faults = tuple(Fault(500.0 + 1500.0 * n, kind, 0.9, n) for n in range(4))
    for seed in (2, 7):
        failure = find_failure(
            Script(seed, (Fault(100.0, "burst", 0.5, 1), *faults)), make_world=PipelinedWorld
        )
        assert failure is None, failure


def severe_script(seed: int) -> Script:
    """Builds a script of blocked writes, surplus replies, drains and hangs throughout, under bursts."""
    stuck, extra = "stuck lines", "extra replies"
    kinds = [
        ("volley", stuck, "volley", "drain", stuck, "burst", "volley", "hang"),
        ("burst", extra, "burst", extra, "volley", extra, "hang", extra),
        ("burst", stuck, "drain", stuck, "burst", "drain", stuck, "drain"),
    ][seed % 3]
    rows = [(300.0 * n, kinds[n % len(kinds)], 0.9 if n % 8 != 3 else 0.1, seed + n // 2) for n in range(24)]
    return Script(seed, tuple(Fault(*row) for row in rows))


def test_the_rules_hold_when_all_goes_wrong_at_once() -> None:
    for seed in range(8):
        failure = find_failure(severe_script(seed), make_world=PipelinedWorld)
        assert failure is None, failure


@pytest.mark.parametrize("name", sorted(BUGS))
def test_an_injected_bug_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    rule, inject = BUGS[name]
    inject(monkeypatch)
    failures = (find_failure(severe_script(seed), make_world=PipelinedWorld) for seed in range(24))
    failure = next((failure for failure in failures if failure is not None), None)
    failure = failure or search(range(10), make_world=PipelinedWorld, kinds=PIPELINED_KINDS)
    assert failure is not None, f"{name} was not found"
    assert failure.rule == rule, failure
    print(f"{name}: seed {failure.script.seed}, {failure.detail}, {failure.script.faults}")
