"""Odd lists that wait for a second word (`doubt` in the operator's file): what they forbid holds at once, and
they are in force within the terms."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from typing import Any, NamedTuple

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from glenchute.cli.run import Program
from glenchute.core.types import EndpointUpdate
from glenchute.policy.endpoints import notification as told
from glenchute.policy.endpoints import polling as pacing
from glenchute.policy.endpoints.polling import Doubt, Pacing, Terms
from glenchute.policy.endpoints.watch import Ask, Close, Open, Watch
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState
from tests.loopback import Script, always, config, http, play, row, site, until
from tests.policy.endpoints.test_watch import Held, states

TEN = [f"s{n}" for n in range(10)]
READY, DRAINING, GONE = EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED


def servers(*names: str, **others: EndpointState) -> EndpointList:
    """A whole list: these take work, the others are as told."""
    rows = [Endpoint(name, "a") for name in names]
    return EndpointList(
        EndpointListKind.FULL, (*rows, *(Endpoint(n, "b", state=s) for n, s in others.items()))
    )


class Forbids(NamedTuple):
    """A list in doubt, and which servers get nothing new by it."""

    version: int
    news: EndpointList
    stopped: set[str]


FORBIDS: dict[str, Forbids] = {
    "a drain in an older list": Forbids(4, servers(*TEN[1:], s0=DRAINING), {"s0"}),
    "one gone in an older list": Forbids(4, servers(*TEN[1:], s0=GONE), {"s0"}),
    "drains in a list of few": Forbids(6, servers("s3", s0=DRAINING, s1=DRAINING), {"s0", "s1"}),
    "half of all": Forbids(4, servers(*TEN[5:], **dict.fromkeys(TEN[:5], DRAINING)), set(TEN[:5])),
    "more than half": Forbids(4, servers(*TEN[6:], **dict.fromkeys(TEN[:6], DRAINING)), set()),
    "all of them": Forbids(4, servers(**dict.fromkeys(TEN, GONE)), set()),
    "few, and all absent": Forbids(6, servers("s3"), set()),
    "nobody": Forbids(6, servers(), set()),
    "a stranger": Forbids(4, servers(*TEN, new=DRAINING), set()),
}


@pytest.mark.parametrize("name", FORBIDS)
def test_what_a_list_in_doubt_forbids_holds_at_once_and_nothing_in_it_loosens(name: str) -> None:
    """A false list can't end service by it: half of what took work is left, however many come."""
    doubt, (version, news, stopped) = Doubt(), FORBIDS[name]
    doubt.follow(5, servers(*TEN))
    assert not doubt.takes(version, news, True)
    found = doubt.forbids(news)
    assert {entry.address for entry in found} == stopped
    assert all(entry.state is DRAINING and entry.zone == "a" for entry in found)
    assert doubt.forbids(news) == ()  # told once
    for at in range(3):
        doubt.forbids(servers(**dict.fromkeys(TEN[3 * at : 3 * at + 3], DRAINING)))
    assert sum(entry.state is READY for entry in doubt.servers.values()) >= 5


def test_a_drain_that_is_known_stays_whatever_a_list_in_doubt_says() -> None:
    doubt = Doubt()
    doubt.follow(5, servers(*TEN[1:], s0=DRAINING))
    assert not doubt.takes(4, servers(*TEN), True)
    assert doubt.forbids(servers(*TEN)) == () and doubt.servers["s0"].state is DRAINING


SAID: dict[str, list[tuple[int, list[str], bool]]] = {
    # answers in turn: version, names, whether it is taken
    "the same": [(6, TEN[:4], False), (6, TEN[:4], True)],
    "versions go on meanwhile": [(6, TEN[:4], False), (7, TEN[:4], True)],
    "servers come meanwhile": [(6, TEN[:4], False), (8, [*TEN[:4], "new"], True)],
    "... and go": [(6, TEN[:4], False), (8, ["new", *TEN[1:4]], True)],
    "another half": [(6, TEN[:4], False), (6, TEN[6:], False)],
    "another half, twice": [(6, TEN[:4], False), (6, TEN[6:], False), (7, TEN[6:], True)],
    "something else each time": [(6, [f"{n}"], False) for n in range(6)],
    "a version that falls again": [(4, TEN, False), (3, TEN, False)],
    "nobody, then few": [(6, [], False), (6, TEN[:1], False)],
    "nobody, while servers answer": [(6, [], False), (7, [], False), (8, [], False)],
}


@pytest.mark.parametrize("name", SAID)
def test_a_second_word_need_not_be_the_first_letter_by_letter(name: str) -> None:
    """While servers come and go each answer has another version."""
    doubt = Doubt()
    doubt.follow(5, servers(*TEN))
    assert [doubt.takes(version, servers(*names), True) for version, names, _ in SAID[name]] == [
        taken for *_, taken in SAID[name]
    ]


def test_a_service_that_says_something_else_each_time_gets_two_calls_a_pause() -> None:
    turns = Pacing(Terms(200, 199, 15.0, 30.0), random.Random(1))
    one, calls, now = Watch(turns, words=Doubt.WORDS), 0, 0.0
    one.begin(0.0, 0.0, True)
    while (now := one.due) < 60.0:
        for action in one.tick(now, False):
            calls += 1
            now += 0.01
            one.doubted(now, action.line, turns.failed())
    least_pause = pacing.AGAIN * told.longest_pause()
    assert 60.0 / told.TOLD_S <= calls <= 2 * 60.0 / least_pause + 4


# --- in force within the terms -----------------------------------------------------------------------------

FATES = ("refused", "busy", "garbage", "hung", "odd")


class Odd:
    """A service that is away, or lies, until `back`. From then on each answer is a list that lacks most of
    what is held, `late` after it was asked for, of another version each time. One gateway that doubts it."""

    def __init__(
        self, terms: Terms, rng: random.Random, back: float, late: float, first: float | None
    ) -> None:  # fmt: skip
        """`first`: when the first call is told a lie, if ever."""
        self.turns, self.rng, self.back, self.late = Pacing(terms, rng), rng, back, late
        self.first: float | None = first
        self.watch, self.doubt = Watch(self.turns, words=Doubt.WORDS), Doubt()
        self.doubt.follow(5, servers(*TEN))
        self.due: dict[int, tuple[float, str]] = {}
        self.wait_s = -1.0  # of the first call
        self.now, self.version, self.listed = 0.0, 6, True

    def carry_out(self, actions: list[Open | Ask | Close]) -> None:
        for action in actions:
            if isinstance(action, Close):
                self.due.pop(action.line, None)
            elif self.wait_s < 0.0:
                self.wait_s = action.wait_s
                if self.first is not None:
                    self.due[action.line] = self.first, "odd"
            elif self.now >= self.back:
                self.due[action.line] = self.now + self.late, "true"
            else:
                fate = self.rng.choice(FATES)
                if fate != "hung":
                    late = self.rng.random() * self.rng.choice([0.0, 1.0, 9.0])
                    self.due[action.line] = self.now + late, fate

    def answer(self, line: int, names: list[str]) -> bool:
        """A whole list; whether it is taken."""
        self.version += 1
        if self.doubt.takes(self.version, servers(*names), True):
            return True
        self.carry_out(self.watch.doubted(self.now, line, self.turns.failed()))
        return False

    def heard_at(self) -> float:
        """When the true list is in force."""
        self.watch.begin(0.0, 0.0, self.first is not None)
        for _ in range(100_000):
            line, (at, how) = min(self.due.items(), key=lambda one: one[1], default=(0, (float("inf"), "")))
            self.now = max(self.now, min(at, self.watch.due))
            if self.watch.due < at:
                self.carry_out(self.watch.tick(self.now, self.listed))
                continue
            del self.due[line]
            if how == "true":
                self.listed = False
                if self.answer(line, ["s1", "s2", "new"]):
                    return self.now
            elif how == "odd":
                self.listed = False
                if self.answer(line, [f"x{self.rng.random()}"]):
                    raise AssertionError("a lie is believed")
            elif how == "refused":
                self.watch.lost(self.now, line)
            else:
                pause = self.turns.busy(30.0, self.listed) if how == "busy" else self.turns.failed()
                self.carry_out(self.watch.failed(self.now, line, pause))
        raise AssertionError("nothing was ever heard")


@settings(max_examples=500, deadline=None)
@given(
    st.sampled_from([1, 40, 200, 2000]), st.sampled_from([0.5, 15.0, 500.0]),
    st.sampled_from([None, 2.5, 30.0, 3600.0]), st.floats(0.001, 60.0),
    st.one_of(st.none(), st.floats(0.0, 9.0)), st.floats(0.0, 1.0), st.integers(0, 10**6),
)  # fmt: skip
@example(200, 0.5, 30.0, 0.001, 1.9, 1.0, 1)  # the lie crosses the service's return
@example(200, 15.0, None, 0.001, None, 1.0, 1)
def test_an_odd_list_that_is_true_is_in_force_in_time(
    gateways: int, rate: float, age: float | None, back: float, first: float | None, share: float, seed: int
) -> None:
    """Whatever became of the calls before, also lies, while both words are answered in their part of what the
    terms leave: a third of the least of it. With no `first` answer that call is a watch, silent from its
    beginning, with a wait of its own."""
    reach = told.TOLD_AFTER_WAIT_S / 3.0
    one = Odd(Terms(gateways, 0, rate, age), random.Random(seed), back, share * reach, first)
    heard = one.heard_at()
    assert heard <= max(back + told.TOLD_S, one.wait_s + told.TOLD_AFTER_WAIT_S) + 1e-6


# --- on sockets --------------------------------------------------------------------------------------------

FOUR = [row(name, 80 + at) for at, name in enumerate("abcd")]
OPERATOR = "[discovery]\ncalls_per_s = 15\nlist_age_s = 30\ndoubt = true\n"


def whole(version: int, *rows: dict[str, Any]) -> bytes:
    return http(json.dumps({"version": version, "full": True, "servers": rows}).encode())


def drain(name: str, state: str = "Terminating") -> dict[str, Any]:
    return row(name, 80 + "abcd".index(name), state)


class Odds(NamedTuple):
    """A list in doubt, what holds before the second word, the second word, and what holds then."""

    first: bytes
    before: str  # of a, b, c, d: A takes work, D drains, - is gone
    second: bytes
    after: str


SCENES: dict[str, Odds] = {
    "older, with a drain": Odds(whole(4, drain("a"), *FOUR[1:]), "DAAA", whole(4, drain("a"), *FOUR[1:]),
                                "DAAA"),
    "few, with a drain, true": Odds(whole(6, drain("a")), "DAAA", whole(7, drain("a")), "D---"),
    "few, with one gone, false": Odds(whole(6, drain("a", "Gone")), "DAAA", whole(7, *FOUR), "AAAA"),
    "all drain, true": Odds(whole(4, *map(drain, "abcd")), "AAAA", whole(4, *map(drain, "abcd")), "DDDD"),
    "few, no drain, true": Odds(whole(6, FOUR[0]), "AAAA", whole(6, FOUR[0]), "A---"),
    "no address in the drain's row": Odds(whole(4, *FOUR[1:], {"id": "a", "state": "Terminating"}), "DAAA",
                                          whole(4, *FOUR[1:], {"state": "?"}), "DAAA"),
}  # fmt: skip


@pytest.mark.parametrize("name", SCENES)
def test_a_drain_in_a_list_in_doubt_holds_before_the_second_word(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second word is held back until what the first forbids is in force, and is asked for though any
    pause would be far too long. Members hear of no list that is in doubt."""
    monkeypatch.setattr(Pacing, "first", lambda self, listed: 0.0)
    monkeypatch.setattr(Pacing, "in_step", lambda self: 0.0)
    monkeypatch.setattr(Pacing, "failed", lambda self: 1000.0)
    monkeypatch.setattr(told, "TOLD_S", 1000.0)
    scene, passed_on, listed = SCENES[name], list[int](), Program.listed

    def recorded(self: Program, news: EndpointUpdate) -> None:
        """What members hear of is what passes here."""
        passed_on.append(news.version)
        listed(self, news)

    monkeypatch.setattr(Program, "listed", recorded)

    async def scenario() -> None:
        agent, script = Held(), Script(lambda event: [])
        task = asyncio.create_task(agent.answer(0, whole(5, *FOUR)))
        many = replace(config(1, 1, []).settings, gateway_count=200)
        more: dict[str, Any] = {"settings": many, "number": 150, "operator": OPERATOR, "known": None}
        async with site(always(None), decisions=script, discovery=agent, **more) as one:  # type: ignore[arg-type]
            await task
            discovery, servers = one.program.discovery, one.program.servers

            def stand() -> str:
                said = states(script)
                for name in "abcd":  # what is written on and what the module knows are one
                    assert servers.stops(name) is (name not in servers.server_ids() or said[name] != "active")
                return "".join("-" if n not in servers.server_ids() else said[n][0].upper() for n in "abcd")

            await until(lambda: discovery.since == 5)
            await agent.answer(1, scene.first)
            await agent.call(2)
            assert agent.calls[2][0] == "/v1/servers" and stand() == scene.before and passed_on == [5]
            await agent.answer(2, scene.second)
            await until(lambda: discovery.since is not None)
            assert stand() == scene.after and passed_on == [5, discovery.since]
            assert len(script.of(EndpointList)) <= 5

    play(scenario())
