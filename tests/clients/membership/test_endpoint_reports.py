"""Members' reports on endpoints: gossiped drains that are on trial until discovery confirms or revokes them,
and unreachable endpoints that all members avoid."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from glenchute.policy.events import Endpoint, EndpointState, Outcome
from glenchute.policy.membership import endpoint_health, gossiped_drains
from glenchute.policy.membership.endpoint_health import EndpointHealth
from glenchute.policy.membership.gossip import Delta
from glenchute.policy.membership.gossiped_drains import SETTLE_S, GossipedDrains
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.protocol.member_datagrams import encode
from lab.fleet import checks
from lab.fleet.processes import FleetSite
from lab.load import Account
from lab.peers import run_scenario
from lab.sim.members import run_downtime

NAMES = [f"s{n}" for n in range(6)]
ACCOUNTS = [Account(b"%016x" % (700 + n), "korporativni", 1.0, ",spread=3,first=0") for n in range(30)]


def entry(name: str, state: EndpointState = EndpointState.ACTIVE) -> Endpoint:
    return Endpoint(name, "a", state=state)


def drains_after_full_list() -> GossipedDrains:
    """No gossiped drains yet; discovery has listed `NAMES` as active in version 10."""
    drains = GossipedDrains()
    drains.apply_discovery_list(10, True, [entry(name) for name in NAMES])
    return drains


Step = Callable[[GossipedDrains], object]
REMOVED = EndpointState.REMOVED


def gossip(at: float, server: str, version: int = 11, rank: float = 2.0, age: float = 0.0) -> Step:
    """A gossiped drain arrives; whether it is applied."""
    return lambda drains: drains.receive(at, server, version, rank, age, "g1")


def confirm(at: float, version: int) -> Step:
    """Discovery answers that it has nothing newer; the endpoints that are restored."""
    return lambda drains: [row.address for row in drains.confirm_version(at, version)[0]]


def apply_list(version: int, *entries: Endpoint, full: bool = False) -> Step:
    """Discovery answers with changes, or with a full list."""
    return lambda drains: drains.apply_discovery_list(version, full, entries)


TRIALS: dict[str, list[tuple[Step, object]]] = {
    # Each step with its expected result.
    "confirmed by discovery": [
        (gossip(0.0, "s0"), True), (apply_list(11, entry("s0", REMOVED)), None), (confirm(9.0, 11), [])],
    "revoked by a later version": [
        (gossip(0.0, "s0"), True), (apply_list(12, entry("s1", REMOVED)), None), (confirm(1.0, 12), ["s0"])],
    "revoked without a change": [
        (gossip(0.0, "s0"), True), (confirm(SETTLE_S - 0.1, 10), []), (confirm(SETTLE_S, 10), ["s0"])],
    "age counts towards settling": [(gossip(0.0, "s0", age=5.0), True), (confirm(1.0, 10), ["s0"])],
    "ignored after a revocation": [
        (gossip(0.0, "s0"), True), (confirm(9.0, 10), ["s0"]), (gossip(9.5, "s0", 99), False),
        (confirm(70.0, 10), []), (gossip(70.0, "s0", 99), True)],
    "old version, unknown endpoint, invalid rank": [
        (gossip(0.0, "s0", 10), False), (gossip(0.0, "x"), False), (gossip(0.0, "s0", rank=0.0), False),
        (gossip(0.0, "s0", rank=7.0), False)],
    "at most half withheld": [
        *((gossip(0.0, name), name in NAMES[:3]) for name in NAMES), (confirm(9.0, 10), NAMES[:3])],
    "draining, then removed": [
        (gossip(0.0, "s0", rank=1.0), True), (gossip(0.1, "s0", 12), True),
        (gossip(0.2, "s0", 13, 1.0), False)],
    "a full list settles all": [
        (gossip(0.0, "s0"), True), (apply_list(3, *map(entry, NAMES), full=True), None),
        (confirm(9.0, 3), [])],
}  # fmt: skip


@pytest.mark.parametrize("name", TRIALS)
def test_gossiped_drains_are_on_trial(name: str) -> None:
    drains = drains_after_full_list()
    assert [step(drains) for step, _ in TRIALS[name]] == [expected for _, expected in TRIALS[name]]


class Trials(RuleBasedStateMachine):
    """Whatever members gossip: at most half of the endpoints that discovery has as active are withheld, and
    none for longer than until discovery's next answer `SETTLE_S` after the drain."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.version = 0.0, 10
        self.drains = drains_after_full_list()
        self.active = set(NAMES)  # by discovery's last list

    @rule(server=st.sampled_from(NAMES), ahead=st.integers(-2, 30), rank=st.sampled_from((1.0, 2.0)),
          age=st.floats(0.0, 50.0))  # fmt: skip
    def receive_false_drain(self, server: str, ahead: int, rank: float, age: float) -> None:
        self.drains.receive(self.now, server, self.version + ahead, rank, age, "g9")

    @rule(server=st.sampled_from(NAMES))
    def change_list(self, server: str) -> None:
        self.version += 1
        is_restored = server not in self.active
        (self.active.add if is_restored else self.active.discard)(server)
        state = EndpointState.ACTIVE if is_restored else REMOVED
        self.drains.apply_discovery_list(self.version, False, [entry(server, state)])
        self.drains.confirm_version(self.now, self.version)

    @rule(seconds=st.floats(0.1, 8.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.drains.confirm_version(self.now, self.version)
        assert all(self.now - drain.created_at < SETTLE_S for drain in self.drains.provisional.values())

    @invariant()
    def at_most_half_are_withheld(self) -> None:
        withheld = set(self.drains.provisional)
        assert withheld <= self.active == set(self.drains.active_endpoints)
        assert len(withheld) <= 0.5 * len(NAMES) + 1.0


TestTrials = Trials.TestCase
TestTrials.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)


def health_of(writer: str = "g0#1") -> EndpointHealth:
    return EndpointHealth(writer, random.Random(1))


def report_unreachable(health: EndpointHealth, now: float, server: str = "s0") -> Row:
    """The row that a member publishes after a failed connection."""
    row = health.attempt_ended(now, server, Outcome.UNREACHABLE)
    assert row is not None
    return row


def test_one_failed_connection_serves_all_members_and_so_does_recovery() -> None:
    one, other = health_of(), health_of("g1#1")
    other.receive(0.0, report_unreachable(one, 0.0), 0.0)
    assert 1000.0 <= other.take_changes(0.0, 6)[0].duration_ms <= 2000.0 and other.take_changes(0.0, 6) == []
    assert one.attempt_ended(0.5, "s0", Outcome.UNREACHABLE) is None  # covered by the current avoidance
    other.receive(2.1, report_unreachable(one, 2.1), 0.0)
    # The avoidance doubles once, up to its maximum.
    assert 2000.0 <= other.take_changes(2.1, 6)[0].duration_ms <= 4000.0
    other.receive(6.0, report_unreachable(one, 6.0), 0.0)
    assert other.take_changes(6.0, 6)[0].duration_ms <= 4000.0
    recovery = one.attempt_ended(7.0, "s0", Outcome.OK)
    assert recovery is not None and recovery.value == 0.0
    other.receive(7.0, recovery, 0.0)
    assert (
        other.take_changes(7.0, 6)[0].duration_ms == 0.0
        and not other.peer_reports
        and not other.avoided_by_writer
    )


def test_own_evidence_overrules_reports() -> None:
    one, other = health_of(), health_of("g1#1")
    other.attempt_ended(0.0, "s0", Outcome.OK)
    other.receive(0.5, report_unreachable(one, 0.5), 0.0)
    assert other.take_changes(0.5, 6)[0].duration_ms == 0.0 and other.ignored_count == 1
    # An error response shows that the endpoint can be reached.
    denial = other.attempt_ended(0.6, "s0", Outcome.ERROR)
    assert denial is not None and denial.value == 0.0
    assert other.attempt_ended(0.7, "s0", Outcome.TIMEOUT) is None


def test_one_writer_withholds_a_third_at_most_and_two_what_both_report() -> None:
    wrong_reporter, second_reporter, other = health_of("g8#1"), health_of("g9#1"), health_of()
    for name in NAMES:
        other.receive(0.0, report_unreachable(wrong_reporter, 0.0, name), 0.0)
    assert [avoid.duration_ms for avoid in other.take_changes(0.0, 6)] == [0.0] * 6
    for name in NAMES[:4]:
        other.receive(0.0, report_unreachable(second_reporter, 0.0, name), 0.0)
    assert sum(avoid.duration_ms > 0.0 for avoid in other.take_changes(0.0, 6)) == 4


@pytest.mark.parametrize(
    ("value", "age", "kept"),
    [(1e11, 0.0, True), (1000.0, 3.0, False), (0.0, 0.0, False), (1000.0, 0.5, True)],
)
def test_a_report_lasts_no_longer_than_its_limit(value: float, age: float, kept: bool) -> None:
    one = health_of()
    one.receive(10.0, Row(RowKind.HEALTH, "s0", "g1#1", 1, value), age)
    assert bool(one.peer_reports) is kept
    assert all(
        avoid.duration_ms <= 1000.0 * endpoint_health.MAX_AVOIDANCE_S * endpoint_health.MAX_STRETCH
        for avoid in one.take_changes(10.0, 6)
    )
    one.expire(10.0 + endpoint_health.MAX_AVOIDANCE_S * endpoint_health.MAX_STRETCH)
    assert not one.peer_reports and not one.avoided_by_writer


def test_stored_reports_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_health, "MAX_ENDPOINTS", 4)
    one = health_of()
    for number in range(20):
        one.receive(0.0, Row(RowKind.HEALTH, f"x{number}", "g1#1", number + 1, 900.0), 0.0)
        one.attempt_ended(0.0, f"y{number}", Outcome.OK)
        one.attempt_ended(0.0, f"z{number}", Outcome.UNREACHABLE)
    assert len(one.peer_reports) == len(one.last_answer_at) == len(
        one.own_reports
    ) == 4 and one.avoided_by_writer == {"g1#1": set(one.peer_reports)}


def test_members_waste_fewer_attempts_on_lost_servers() -> None:
    """Counts the attempts that reached no server, as the simulated site records them, over two seeds."""
    with_members, alone = (
        sum(run_downtime(seed, 40, on, 300.0, 3000.0, 0.0).unreachable_count for seed in (1, 2))
        for on in (True, False)
    )
    assert with_members < 0.9 * alone, (with_members, alone)


# --- processes -------------------------------------------------------------------------------------------


async def read_state(site: FleetSite, number: int, field: str) -> Any:
    rows = await site.query(number, "state")
    return rows[0][field] if rows else None


async def send_false_removals(site: FleetSite, versions: range) -> None:
    """Sends g0, as g1, removals of all servers in so many versions."""
    boot = int((await site.query(0, "members"))[1]["boot"], 16)
    for version in versions:
        for name in ("s0", "s1", "s2"):
            row = Row(RowKind.SERVER, name, "", 10**9 + version, 2.0)
            site.member_links[0, 1].forge(1, encode("lab", "g1", boot, Delta(((row, 0),))))


def test_a_peer_that_removes_all_servers_by_gossip_is_overruled(tmp_path: Path) -> None:
    """A gateway that receives removals of all servers continues with half, and soon uses all again."""

    async def scenario() -> None:
        async with FleetSite(tmp_path, 3) as site:
            await site.start()
            await site.wait_until(lambda: site.all_see(range(3)))
            await send_false_removals(site, range(3))

            async def is_on_trial() -> bool:
                return bool(await read_state(site, 0, "on_trial"))

            async def is_settled() -> bool:
                return await read_state(site, 0, "on_trial") == 0 and bool(
                    await read_state(site, 0, "denied")
                )

            await site.wait_until(is_on_trial)
            outcomes = await site.run_load(2.0, 20.0, ACCOUNTS, [0])
            assert sum(outcome.answer == "served" for outcome in outcomes) >= 0.9 * len(outcomes) > 20
            await site.wait_until(is_settled, 15.0)
            runs_before = [len(node.effects) for node in site.services.nodes]

            async def are_all_used() -> bool:
                outcomes.extend(await site.run_load(1.0, 40.0, ACCOUNTS, [0]))
                return all(
                    len(node.effects) > count
                    for node, count in zip(site.services.nodes, runs_before, strict=True)
                )

            await site.wait_until(are_all_used, 30.0)
            assert sum(outcome.answer == "served" for outcome in outcomes) >= 0.9 * len(outcomes)
            assert checks.lost_count(outcomes) == 0
            assert "word.denied" in site.gateways[0].log_file.read_text()

    run_scenario(scenario())


def test_a_server_unreachable_to_one_is_avoided_by_all_and_used_again(tmp_path: Path) -> None:
    """A listed server dies while only one gateway has traffic; the others avoid it without an attempt."""

    async def scenario() -> None:
        async with FleetSite(tmp_path, 3) as site:
            await site.start()
            await site.wait_until(lambda: site.all_see(range(3)))
            failed = site.services.nodes[0]
            await failed.stop()

            outcomes = []

            async def is_avoided_by_others() -> bool:
                outcomes.extend(await site.run_load(0.5, 40.0, ACCOUNTS, [0]))
                return all([await read_state(site, number, "avoided") for number in (1, 2)])

            await site.wait_until(is_avoided_by_others, 30.0)
            assert checks.lost_count(outcomes) == 0
            assert sum(outcome.answer == "served" for outcome in outcomes) >= 0.9 * len(outcomes)
            # A partitioned member relies on its own attempts.
            site.split([[0], [1, 2]])
            outcomes += await site.run_load(1.0, 20.0, ACCOUNTS)
            site.split([[0], [1, 2]], cut=False)
            await failed.start(failed.port)
            runs_before = len(failed.effects)

            async def is_used() -> bool:
                outcomes.extend(await site.run_load(0.5, 20.0, ACCOUNTS))
                return len(failed.effects) > runs_before

            await site.wait_until(is_used, 30.0)
            assert (
                checks.lost_count(outcomes) == 0
                and checks.rejected_but_ran_count(site.services.nodes, outcomes) == 0
            )

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("constant", "replacement", "check"),
    [("MAX_WITHHELD_SHARE", 1.0, "at most half withheld"), ("SETTLE_S", 1e9, "revoked without a change"),
     ("DISTRUST_S", 0.0, "ignored after a revocation")],
)  # fmt: skip
def test_the_checks_fail_without_each_limit(
    constant: str, replacement: float, check: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(gossiped_drains, constant, replacement)
    with pytest.raises(AssertionError):
        test_gossiped_drains_are_on_trial(check)
