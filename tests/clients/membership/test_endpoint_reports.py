"""What members say of servers: drains on trial until discovery has had its say, and looks that serve all."""

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
from glenchute.policy.membership import endpoint_health as looks
from glenchute.policy.membership import gossiped_drains as trials
from glenchute.policy.membership.endpoint_health import EndpointHealth
from glenchute.policy.membership.gossip import Delta
from glenchute.policy.membership.gossiped_drains import SETTLE_S, GossipedDrains
from glenchute.policy.membership.replica import Row, RowKind
from glenchute.protocol.member_datagrams import encode
from lab.fleet import checks
from lab.fleet.processes import FleetSite
from lab.load import Account
from lab.peers import play
from lab.sim.members import gone_run

NAMES = [f"s{n}" for n in range(6)]
ASKS = [Account(b"%016x" % (700 + n), "korporativni", 1.0, ",spread=3,first=0") for n in range(30)]


def entry(name: str, state: EndpointState = EndpointState.ACTIVE) -> Endpoint:
    return Endpoint(name, "a", state=state)


def listed() -> GossipedDrains:
    restraint = GossipedDrains()
    restraint.apply_discovery_list(10, True, [entry(name) for name in NAMES])
    return restraint


Step = Callable[[GossipedDrains], object]
GONE = EndpointState.REMOVED


def word(at: float, server: str, version: int = 11, rank: float = 2.0, age: float = 0.0) -> Step:
    return lambda one: one.receive(at, server, version, rank, age, "g1")


def said(at: float, version: int) -> Step:
    return lambda one: [row.address for row in one.confirm_version(at, version)[0]]


def news(version: int, *entries: Endpoint, full: bool = False) -> Step:
    return lambda one: one.apply_discovery_list(version, full, entries)


TRIALS: dict[str, list[tuple[Step, object]]] = {
    # steps, and what each is to give
    "borne out": [(word(0.0, "s0"), True), (news(11, entry("s0", GONE)), None), (said(9.0, 11), [])],
    "denied by a later version": [(word(0.0, "s0"), True), (news(12, entry("s1", GONE)), None),
                                  (said(1.0, 12), ["s0"])],
    "denied as discovery stays": [(word(0.0, "s0"), True), (said(SETTLE_S - 0.1, 10), []),
                                  (said(SETTLE_S, 10), ["s0"])],
    "its age counts": [(word(0.0, "s0", age=5.0), True), (said(1.0, 10), ["s0"])],
    "not again for a while": [(word(0.0, "s0"), True), (said(9.0, 10), ["s0"]), (word(9.5, "s0", 99), False),
                              (said(70.0, 10), []), (word(70.0, "s0", 99), True)],
    "old, unknown, of no state": [(word(0.0, "s0", 10), False), (word(0.0, "x"), False),
                                  (word(0.0, "s0", rank=0.0), False), (word(0.0, "s0", rank=7.0), False)],
    "half at most": [*((word(0.0, name), name in NAMES[:3]) for name in NAMES), (said(9.0, 10), NAMES[:3])],
    "drains, then gone": [(word(0.0, "s0", rank=1.0), True), (word(0.1, "s0", 12), True),
                          (word(0.2, "s0", 13, 1.0), False)],
    "a whole list settles all": [(word(0.0, "s0"), True), (news(3, *map(entry, NAMES), full=True), None),
                                 (said(9.0, 3), [])],
}  # fmt: skip


@pytest.mark.parametrize("name", TRIALS)
def test_words_on_drains_are_on_trial(name: str) -> None:
    restraint = listed()
    assert [step(restraint) for step, _ in TRIALS[name]] == [wanted for _, wanted in TRIALS[name]]


class Trials(RuleBasedStateMachine):
    """Whatever is said: what discovery has as in service is held back by half at most, and never for longer
    than until its next answer after a word has settled."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.version = 0.0, 10
        self.one = listed()
        self.serving = set(NAMES)  # by discovery's book

    @rule(server=st.sampled_from(NAMES), ahead=st.integers(-2, 30), rank=st.sampled_from((1.0, 2.0)),
          age=st.floats(0.0, 50.0))  # fmt: skip
    def lies(self, server: str, ahead: int, rank: float, age: float) -> None:
        self.one.receive(self.now, server, self.version + ahead, rank, age, "g9")

    @rule(server=st.sampled_from(NAMES))
    def changes(self, server: str) -> None:
        self.version += 1
        back = server not in self.serving
        (self.serving.add if back else self.serving.discard)(server)
        state = EndpointState.ACTIVE if back else GONE
        self.one.apply_discovery_list(self.version, False, [entry(server, state)])
        self.one.confirm_version(self.now, self.version)

    @rule(seconds=st.floats(0.1, 8.0))
    def waits(self, seconds: float) -> None:
        self.now += seconds
        self.one.confirm_version(self.now, self.version)
        assert all(self.now - one.created_at < SETTLE_S for one in self.one.on_trial.values())

    @invariant()
    def half_are_left(self) -> None:
        held = set(self.one.on_trial)
        assert held <= self.serving == set(self.one.active_endpoints)
        assert len(held) <= 0.5 * len(NAMES) + 1.0


TestTrials = Trials.TestCase
TestTrials.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)


def member(name: str = "g0#1") -> EndpointHealth:
    return EndpointHealth(name, random.Random(1))


def down(one: EndpointHealth, now: float, server: str = "s0") -> Row:
    row = one.attempt_ended(now, server, Outcome.UNREACHABLE)
    assert row is not None
    return row


def test_one_look_serves_all_and_the_way_back_too() -> None:
    one, other = member(), member("g1#1")
    other.receive(0.0, down(one, 0.0), 0.0)
    assert 1000.0 <= other.take_changes(0.0, 6)[0].duration_ms <= 2000.0 and other.take_changes(0.0, 6) == []
    assert one.attempt_ended(0.5, "s0", Outcome.UNREACHABLE) is None  # the same look
    other.receive(2.1, down(one, 2.1), 0.0)
    assert (
        2000.0 <= other.take_changes(2.1, 6)[0].duration_ms <= 4000.0
    )  # twice as long, and no longer from then on
    other.receive(6.0, down(one, 6.0), 0.0)
    assert other.take_changes(6.0, 6)[0].duration_ms <= 4000.0
    back = one.attempt_ended(7.0, "s0", Outcome.OK)
    assert back is not None and back.value == 0.0
    other.receive(7.0, back, 0.0)
    assert (
        other.take_changes(7.0, 6)[0].duration_ms == 0.0
        and not other.peer_reports
        and not other.avoided_by_writer
    )


def test_own_evidence_goes_before_words() -> None:
    one, other = member(), member("g1#1")
    other.attempt_ended(0.0, "s0", Outcome.OK)
    other.receive(0.5, down(one, 0.5), 0.0)
    assert other.take_changes(0.5, 6)[0].duration_ms == 0.0 and other.ignored_count == 1
    denial = other.attempt_ended(0.6, "s0", Outcome.ERROR)  # an error is an answer: it can be reached
    assert denial is not None and denial.value == 0.0
    assert other.attempt_ended(0.7, "s0", Outcome.TIMEOUT) is None


def test_one_writer_alone_empties_a_third_at_most_and_two_what_they_both_say() -> None:
    liar, honest, other = member("g8#1"), member("g9#1"), member()
    for name in NAMES:
        other.receive(0.0, down(liar, 0.0, name), 0.0)
    assert [avoid.duration_ms for avoid in other.take_changes(0.0, 6)] == [0.0] * 6
    for name in NAMES[:4]:
        other.receive(0.0, down(honest, 0.0, name), 0.0)
    assert sum(avoid.duration_ms > 0.0 for avoid in other.take_changes(0.0, 6)) == 4


@pytest.mark.parametrize(
    ("value", "age", "kept"),
    [(1e11, 0.0, True), (1000.0, 3.0, False), (0.0, 0.0, False), (1000.0, 0.5, True)],
)
def test_a_word_lasts_no_longer_than_stated(value: float, age: float, kept: bool) -> None:
    one = member()
    one.receive(10.0, Row(RowKind.HEALTH, "s0", "g1#1", 1, value), age)
    assert bool(one.peer_reports) is kept
    assert all(
        avoid.duration_ms <= 1000.0 * looks.MAX_AVOIDANCE_S * looks.MAX_STRETCH
        for avoid in one.take_changes(10.0, 6)
    )
    one.expire(10.0 + looks.MAX_AVOIDANCE_S * looks.MAX_STRETCH)
    assert not one.peer_reports and not one.avoided_by_writer


def test_books_of_words_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(looks, "MAX_ENDPOINTS", 4)
    one = member()
    for number in range(20):
        one.receive(0.0, Row(RowKind.HEALTH, f"x{number}", "g1#1", number + 1, 900.0), 0.0)
        one.attempt_ended(0.0, f"y{number}", Outcome.OK)
        one.attempt_ended(0.0, f"z{number}", Outcome.UNREACHABLE)
    assert len(one.peer_reports) == len(one.last_answer_at) == len(
        one.own_reports
    ) == 4 and one.avoided_by_writer == {"g1#1": set(one.peer_reports)}


def test_a_site_with_lost_servers_loses_fewer_tries_among_members() -> None:
    """By the site's book of attempts that found nobody, over two seeds."""
    among, alone = (
        sum(gone_run(seed, 40, on, 300.0, 3000.0, 0.0).lost for seed in (1, 2)) for on in (True, False)
    )
    assert among < 0.9 * alone, (among, alone)


# --- processes -------------------------------------------------------------------------------------------


async def state(site: FleetSite, number: int, what: str) -> Any:
    rows = await site.asked(number, "state")
    return rows[0][what] if rows else None


async def lied_to(site: FleetSite, versions: range) -> None:
    """g1 says of all servers to g0 that they are gone, in so many versions."""
    boot = int((await site.asked(0, "members"))[1]["boot"], 16)
    for version in versions:
        for name in ("s0", "s1", "s2"):
            row = Row(RowKind.SERVER, name, "", 10**9 + version, 2.0)
            site.links[0, 1].send_as(1, encode("lab", "g1", boot, Delta(((row, 0),))))


def test_a_peer_that_takes_all_servers_away_is_found_out(tmp_path: Path) -> None:
    """Told that all servers are gone, a gateway goes on with half of them, and has them all again soon."""

    async def scenario() -> None:
        async with FleetSite(tmp_path, 3) as site:
            await site.start()
            await site.until(lambda: site.agree(range(3)))
            await lied_to(site, range(3))

            async def on_trial() -> bool:
                return bool(await state(site, 0, "on_trial"))

            async def settled() -> bool:
                return await state(site, 0, "on_trial") == 0 and bool(await state(site, 0, "denied"))

            await site.until(on_trial)
            outcomes = await site.load(2.0, 20.0, ASKS, [0])
            assert sum(one.answer == "served" for one in outcomes) >= 0.9 * len(outcomes) > 20
            await site.until(settled, 15.0)
            before = [len(node.ran) for node in site.site.nodes]

            async def all_used() -> bool:
                outcomes.extend(await site.load(1.0, 40.0, ASKS, [0]))
                return all(len(node.ran) > was for node, was in zip(site.site.nodes, before, strict=True))

            await site.until(all_used, 30.0)
            assert sum(one.answer == "served" for one in outcomes) >= 0.9 * len(outcomes)
            assert checks.lost(outcomes) == 0
            assert "word.denied" in site.gateways[0].log.read_text()

    play(scenario())


def test_a_server_that_one_found_gone_is_left_by_all_and_found_again(tmp_path: Path) -> None:
    """One gateway alone has traffic as a server dies, unlisted by nobody: the others know before they ask."""

    async def scenario() -> None:
        async with FleetSite(tmp_path, 3) as site:
            await site.start()
            await site.until(lambda: site.agree(range(3)))
            dead = site.site.nodes[0]
            await dead.stop()

            outcomes = []

            async def known() -> bool:
                outcomes.extend(await site.load(0.5, 40.0, ASKS, [0]))
                return all([await state(site, number, "avoided") for number in (1, 2)])

            await site.until(known, 30.0)
            assert checks.lost(outcomes) == 0
            assert sum(one.answer == "served" for one in outcomes) >= 0.9 * len(outcomes)
            site.split([[0], [1, 2]])  # and a member that is cut off goes by what it finds itself
            outcomes += await site.load(1.0, 20.0, ASKS)
            site.split([[0], [1, 2]], cut=False)
            await dead.start(dead.port)
            before = len(dead.ran)

            async def used() -> bool:
                outcomes.extend(await site.load(0.5, 20.0, ASKS))
                return len(dead.ran) > before

            await site.until(used, 30.0)
            assert checks.lost(outcomes) == 0 and checks.refused_and_ran(site.site.nodes, outcomes) == 0

    play(scenario())


@pytest.mark.parametrize(
    ("bound", "without", "check"),
    [("MAX_WITHHELD_SHARE", 1.0, "half at most"), ("SETTLE_S", 1e9, "denied as discovery stays"),
     ("DISTRUST_S", 0.0, "not again for a while")],
)  # fmt: skip
def test_without_the_part_the_checks_fail(
    bound: str, without: float, check: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(trials, bound, without)
    with pytest.raises(AssertionError):
        test_words_on_drains_are_on_trial(check)
