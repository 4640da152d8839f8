"""The watch on the list: silent, late, reset, crossing and moved calls, by a model and on sockets."""

from __future__ import annotations

import asyncio
import json
import math
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.cli.run import LIST_WAIT_S
from glenchute.clients.discovery import PART_BODY, Discovery, ListError, read_list
from glenchute.clients.discovery import Held as HeldList
from glenchute.policy.endpoints import notification as told
from glenchute.policy.endpoints import polling as pacing
from glenchute.policy.endpoints import watch
from glenchute.policy.endpoints.polling import Pacing, Terms
from glenchute.policy.endpoints.watch import Ask, Close, Open, Watch
from glenchute.policy.events import EndpointList
from glenchute.policy.membership import endpoint_sharing as coldstart
from glenchute.policy.membership.endpoint_sharing import SharedEndpointList
from lab.peers import Peer, always, http, listing, play, row, until
from tests.loopback import Script, config, site


class Agent:
    """What answers a gateway's calls, under a simulated clock. Calls made before `silent_at` that have not
    been answered by then never are; a later one is answered `late` after it was made, with what is new."""

    def __init__(self, terms: Terms, seed: int, silent_at: float, late: list[float]) -> None:
        self.turns = Pacing(terms, random.Random(seed))
        self.watch = Watch(self.turns)
        self.silent_at, self.late = silent_at, late
        self.now = 0.0
        self.answers: dict[int, float] = {}  # when a line's call is answered
        self.calls: list[tuple[float, float]] = []  # when each was made, and its wait
        self.most_out = 0

    def carry_out(self, actions: list[watch.Action]) -> None:
        for action in actions:
            if isinstance(action, Close):
                self.answers.pop(action.line, None)
                continue
            assert isinstance(action, Open | Ask)
            self.calls.append((self.now, action.wait_s))
            if self.now >= self.silent_at:
                late = self.late[min(len(self.late) - 1, self.made_since() - 1)]
                self.answers[action.line] = self.now + late
            elif self.now + action.wait_s < self.silent_at:
                self.answers[action.line] = self.now + action.wait_s
            self.most_out = max(self.most_out, len(self.watch.out))

    def made_since(self) -> int:
        return sum(at >= self.silent_at for at, _ in self.calls)

    def heard_at(self) -> float:
        """When the news of the silence are in force."""
        self.watch.begin(0.0, 0.0, False)
        for _ in range(10_000):
            line, at = min(self.answers.items(), key=lambda one: one[1], default=(0, float("inf")))
            self.now = max(self.now, min(at, self.watch.due))
            if at <= self.watch.due:
                del self.answers[line]
                if self.now >= self.silent_at:
                    return self.now
                self.carry_out(self.watch.answered(self.now, line, 0.0))
            else:
                self.carry_out(self.watch.tick(self.now, True))
        raise AssertionError("nothing was ever heard")


def told_at(agent: Agent) -> float:
    """When it counts as told: the terms of PROTOCOL and of the standing test, by the silent call."""
    began, wait_s = max(one for one in agent.calls if one[0] < agent.silent_at)
    return max(agent.silent_at + told.TOLD_S, began + wait_s + told.TOLD_AFTER_WAIT_S)


@st.composite
def silences(draw: st.DrawFn) -> tuple[Agent, float]:
    pushed, gateways = draw(st.booleans()), draw(st.sampled_from([1, 3, 40, 200, 2000]))
    silent_at = draw(st.floats(0.0, 60.0, exclude_min=True))
    reach = 0.75 if pushed else 1.0  # of the watch's calls: checked against the decider's word below
    # Lateness of the calls after the silence; in each pair one is within reach, the other may never be.
    first, share = draw(st.sampled_from([0, 1] if pushed else [0])), draw(st.floats(0.0, 1.0))
    late = [1e9] * first + [share * reach]
    return Agent(Terms(gateways, 0, pushed=pushed), draw(st.integers(0, 99)), silent_at, late), reach


@settings(max_examples=600, deadline=None)
@given(silences())
def test_what_a_silent_watch_misses_is_in_force_before_it_counts_as_told(made: tuple[Agent, float]) -> None:
    agent, reach = made
    for wait_s in (0.0, 2.25, 3.0) if agent.turns.terms.pushed else (0.0, 3.0, 4.0, 9.0, 20.0, 55.0):
        assert agent.watch.reach(wait_s) >= reach  # what the page of the decider promises
    heard = agent.heard_at()
    assert heard <= told_at(agent)
    assert agent.most_out <= watch.MOST_OUT
    pushed = agent.turns.terms.pushed
    assert sum(at >= agent.silent_at for at, _ in agent.calls) <= (2 + watch.TRIES_PUSHED if pushed else 2)


def test_without_the_call_beside_it_would_be_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """As it was: an answer was given up 3 s after its wait."""
    monkeypatch.setattr(Watch, "reach", lambda self, wait_s: 3.0)
    agent = Agent(Terms(200, 0), 1, 30.0, [0.0])
    assert agent.heard_at() > told_at(agent)


def test_a_service_that_answers_within_a_second_gets_no_call_more() -> None:
    """What the calls beside cost a fleet of 200 that asks: none at a service that takes up to a second for an
    answer, one for each call that takes longer, and no crowd when nothing is answered at all."""
    made = {}
    for late in (0.0, 0.9, 1.9, 1e9):
        calls = 0
        for number in range(200):
            agent = Watch(Pacing(Terms(200, number), random.Random(number)))
            now, answers = 0.0, dict[int, float]()
            agent.begin(0.0, number * 0.1, False)
            while now < 120.0:
                line, at = min(answers.items(), key=lambda one: one[1], default=(0, 1e18))
                now = min(at, agent.due)
                if at <= agent.due:
                    answers.clear()
                    agent.answered(now, line, 0.0)
                    continue
                for action in agent.tick(now, True):
                    if not isinstance(action, Close):
                        calls += 1
                        answers[action.line] = now + action.wait_s + late
                    else:
                        answers.pop(action.line, None)
        made[late] = calls / 120.0
    assert made[0.9] <= made[0.0] <= 12.5 and made[1.9] <= 2.0 * made[0.0]
    assert made[1e9] <= 200 / 1.5  # each asks again at a bounded pace


@pytest.mark.parametrize("wait_s", [0.0, 3.0, 4.0, 20.0, 55.0])
def test_the_budget_is_what_the_terms_leave(wait_s: float) -> None:
    for silent in (0.0, 0.5 * wait_s, wait_s):
        counts = max(silent + told.TOLD_S, wait_s + told.TOLD_AFTER_WAIT_S)
        assert wait_s + told.budget(wait_s) <= counts


@pytest.mark.parametrize("gateways", [1, 40, 200, 2000])
@pytest.mark.parametrize("retry_after_s", [None, 0.0, 3.0, 60.0])
@pytest.mark.parametrize("age", [None, 2.5, 30.0, 3600.0])
@pytest.mark.parametrize("listed", [False, True])
def test_who_is_turned_away_hears_all_in_time(
    gateways: int, retry_after_s: float | None, age: float | None, listed: bool
) -> None:
    """A 503 is no reason to be late with a drain: pause and answer fit, also at the tenth 503 in a row, and
    whatever the operators state. Who comes again is out of step, though the service names one moment."""
    turns = Pacing(Terms(gateways, 0, list_age_s=age), random.Random(1))
    pauses = [turns.busy(retry_after_s, listed) for _ in range(10)]
    assert max(pauses) + told.ANSWER_S <= told.TOLD_S and min(pauses) > 0.0
    assert len(set(pauses)) == 10
    pauses = [turns.failed() for _ in range(10)] + [turns.moved() + told.TOLD_S - told.TOLD_MOVED_S]
    assert max(pauses) + told.ANSWER_S <= told.TOLD_S


@pytest.mark.parametrize("retry_after_s", [None, 30.0])
def test_an_agent_that_answers_503_is_asked_again_at_once(retry_after_s: float | None) -> None:
    """Where lists are pushed, what the agent has counts as told, and its calls cost nobody else."""
    turns = Pacing(Terms(200, 199, pushed=True), random.Random(1))
    assert max(turns.busy(retry_after_s, True) for _ in range(10)) <= pacing.BACKOFF_S[0]


# What becomes of a call to a service that is away: how long after it was made that is told, and whether the
# connection ends with it.
FATES = ("refused", "reset", "busy", "garbage", "hung")


class Away:
    """A service that is away from `gone` to `back`, and one gateway that calls it. Each call made in between
    meets a fate of its own, told when it likes, also after the return; so does the watch that was out then.
    From `back` on calls are answered `late` after they were made, with what is new."""

    def __init__(self, terms: Terms, rng: random.Random, gone: float, back: float, late: float) -> None:
        self.turns, self.rng = Pacing(terms, rng), rng
        self.watch = Watch(self.turns)
        self.gone, self.back, self.late = gone, back, late
        self.now = 0.0
        self.due: dict[int, tuple[float, str]] = {}  # what becomes of a line's call, and when
        self.sound = (0.0, 0.0)  # when the last call that met a sound service was made, and its wait
        self.calls: list[float] = []

    def carry_out(self, actions: list[watch.Action]) -> None:
        for action in actions:
            if isinstance(action, Close):
                self.due.pop(action.line, None)
                continue
            assert isinstance(action, Open | Ask)
            self.calls.append(self.now)
            fate = self.rng.choice(FATES), self.rng.choice([0.0, 0.1, 1.0, 5.0, 60.0]) * self.rng.random()
            if self.now >= self.back:
                self.due[action.line] = self.now + self.late, "news"
                continue
            if self.now < self.gone or len(self.calls) == 1:
                self.sound = self.now, action.wait_s
                if self.now + action.wait_s < self.gone:
                    self.due[action.line] = self.now + action.wait_s, "nothing new"
                    continue
            if fate[0] != "hung":
                self.due[action.line] = max(self.now, self.gone) + fate[1], fate[0]

    def heard_at(self, awaited: bool, retry_after_s: float | None) -> float:
        """When the news are in force."""
        self.watch.begin(0.0, 0.0, awaited)
        for _ in range(100_000):
            line, (at, how) = min(self.due.items(), key=lambda one: one[1], default=(0, (float("inf"), "")))
            self.now = max(self.now, min(at, self.watch.due))
            if self.watch.due < at:
                self.carry_out(self.watch.tick(self.now, True))
                continue
            del self.due[line]
            if how == "news":
                return self.now
            if how == "nothing new":
                self.turns.answered()
                self.carry_out(self.watch.answered(self.now, line, 0.0))
            elif how in ("busy", "garbage"):
                pause = self.turns.busy(retry_after_s, True) if how == "busy" else self.turns.failed()
                self.carry_out(self.watch.failed(self.now, line, pause))
            else:
                self.watch.lost(self.now, line)
        raise AssertionError("nothing was ever heard")


@settings(max_examples=500, deadline=None)
@given(
    st.sampled_from([1, 40, 200, 520, 2000]), st.sampled_from([0.5, 15.0, 500.0]),
    st.sampled_from([None, 2.5, 30.0, 3600.0]), st.sampled_from([None, 0.0, 1.0, 30.0, 99999.0]),
    st.booleans(), st.booleans(), st.floats(0.0, 60.0), st.floats(0.0, 120.0), st.floats(0.0, 1.0),
    st.integers(0, 10**6),
)  # fmt: skip
def test_what_discovery_has_at_its_return_is_in_force_in_time(
    gateways: int, rate: float, age: float | None, retry_after_s: float | None,
    pushed: bool, awaited: bool, gone: float, away: float, share: float, seed: int,
) -> None:  # fmt: skip
    """Whatever became of the calls before, and whenever that was told. Only the watch that was out when the
    service went away has its wait (or the first call, if that came later): a silent one counts 2 s after."""
    reach = 0.75 if pushed else 1.0
    terms = Terms(gateways, 0, rate, None if pushed else age, pushed)  # nobody states both
    one = Away(terms, random.Random(seed), gone, gone + away, share * reach)
    heard = one.heard_at(awaited, retry_after_s)
    made, wait_s = one.sound
    counts = max(one.back + told.TOLD_S, made + wait_s + told.TOLD_AFTER_WAIT_S)
    assert heard <= counts + 1e-6


@pytest.mark.parametrize("word_s", [0.0, 1.0, 2.9, 7.0])
@pytest.mark.parametrize("how", ["failed", "lost"])
def test_a_pause_counts_from_the_call_not_from_the_late_word_of_its_failure(how: str, word_s: float) -> None:
    """The service may have come back right after the call was made."""
    one = Watch(Pacing(Terms(200, 199, 13.0, 30.0), random.Random(1)))
    one.begin(0.0, 0.0, True)
    one.tick(0.0, True)
    _ = one.failed(word_s, 1, 4.0) if how == "failed" else one.lost(word_s, 1)
    assert one.due <= max(word_s, told.TOLD_S - told.ANSWER_S)


@pytest.mark.parametrize("count", [200, 520])
def test_a_service_that_is_away_is_called_at_a_bounded_pace(count: int) -> None:
    """What the terms cost it: one call a gateway in 3 to 4 s."""
    calls: list[float] = []
    for number in range(count):
        terms = Terms(count, number, count / 15.0, 30.0)
        one = Away(terms, random.Random(number), 0.0, 1e9, 0.0)
        one.rng = random.Random(0)
        one.watch.begin(0.0, number * 4.0 / count, True)
        while one.now < 60.0:
            one.now = one.watch.due
            actions = one.watch.tick(one.now, True)
            for action in actions:
                if not isinstance(action, Close):
                    calls.append(one.now)
                    one.watch.failed(one.now, action.line, one.turns.busy(30.0, True))
    seconds = [sum(s <= at < s + 1.0 for at in calls) for s in range(10, 60)]
    assert sum(seconds) / 50.0 <= count / 3.5 and max(seconds) <= 1.5 * count / 3.5


def heard_beside_members(terms: Terms, words: list[tuple[float, float]], change: float, late: float) -> float:
    """When one that leaves asking to its members has a change in force of which none of them tells. `words`:
    when they come, and for when each confirms the list held, a moment before the change."""
    share = SharedEndpointList("m9", 0.0, random.Random(1))
    share.version, share.confirmed_at = 5, 0.0
    share.is_lease_holder = False  # others ask
    one = Watch(Pacing(terms, random.Random(1)), lambda: share.poll_delay_s(now, ["m0"]))
    now, answers, words = 0.0, dict[int, float](), sorted(words, reverse=True)
    one.begin(0.0, 0.0, False)
    while True:
        line, at = min(answers.items(), key=lambda pair: pair[1], default=(0, math.inf))
        told_at = words[-1][0] if words else math.inf
        now = max(now, min(at, one.due, told_at))
        if told_at <= now:
            share.confirmed_at = max(share.confirmed_at, words.pop()[1])
        elif one.due <= now:
            for action in one.tick(now, True):
                if isinstance(action, Close):
                    answers.pop(action.line, None)
                else:
                    answers[action.line] = now + late if now >= change else max(now + late, change)
        elif now >= change:
            return now
        else:
            one.answered(now, line, 0.0)
            answers.clear()


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from([1, 40, 520]), st.sampled_from([0.5, 15.0]), st.sampled_from([None, 2.5, 30.0, 3600.0]),
    st.lists(st.tuples(st.floats(0.0, 40.0), st.floats(0.0, 3.0))), st.floats(0.0, 40.0), st.floats(0.0, 1.0),
)  # fmt: skip
def test_who_leaves_asking_to_members_hears_a_change_in_time(
    gateways: int, rate: float, age: float | None, words: list[tuple[float, float]], change: float,
    share: float,
) -> None:  # fmt: skip
    """Words of members may stop at any moment, whatever age of lists the operators state."""
    confirming = [(at, max(0.0, at - old)) for at, old in words if at - old <= change]
    terms = Terms(gateways, gateways - 1, rate, age)
    heard = heard_beside_members(terms, confirming, change, share * told.ANSWER_S)
    assert heard <= change + told.TOLD_S + 1e-6


def test_a_members_word_is_no_fresher_than_the_terms_take_it_for() -> None:
    assert coldstart.FRESH_S <= told.FRESH_S


# --- on sockets ------------------------------------------------------------------------------------------


class Held(Peer):
    """Discovery by hand: each call is kept, with its connection, until the test answers it."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list[tuple[str, asyncio.StreamWriter]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.calls.append((head.split(b" ")[1].decode(), writer))

    async def call(self, number: int) -> asyncio.StreamWriter:
        """The connection of a call, once it has come."""
        await until(lambda: len(self.calls) > number)
        return self.calls[number][1]

    async def answer(self, number: int, data: bytes) -> None:
        (await self.call(number)).write(data)

    def reset(self, number: int) -> None:
        writer = self.calls[number][1]
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    @property
    def open(self) -> int:
        return sum(not writer.transport.is_closing() for writer in self.writers)


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """The terms at a tenth of their size."""
    for name, value in (
        ("TOLD_S", 0.6), ("TOLD_AFTER_WAIT_S", 0.2), ("TOLD_MOVED_S", 0.4), ("ANSWER_S", 0.2),
        ("PUSHED_WAIT_S", 0.3),
    ):  # fmt: skip
        monkeypatch.setattr(told, name, value)


def states(script: Script) -> dict[str, str]:
    """What the module was told of each server last."""
    return {e.address: e.state.value for event in script.of(EndpointList) for e in event.endpoints}


DRAINS = listing(9, [row("a", 80, "Terminating")], full=False)
READY = listing(5, [row("a", 80), row("b", 81)])
STALE = listing(6, [row("a", 80)], full=False)
# One row of three can't be read: by its address, by what it is, by its number.
UNREADABLE = [
    row("b", 81) | {"addr": "nowhere"},
    {"id": "b", "state": "Ready"},
    ["b"],
    row("b", 81) | {"started_ms": "soon"},
]


async def first_answers(agent: Held) -> None:
    """A list is held, and a watch is out: the call of number 1. On a busy machine the first call gets others
    beside it before the process reads its answer: these are left out."""
    number = 0
    while "since=5&" not in (await agent.call(number), agent.calls[number][0])[1]:
        if not agent.calls[number][1].transport.is_closing():
            await agent.answer(number, READY)
        number += 1
    del agent.calls[1:number]


async def silent_then_beside(agent: Held, script: Script) -> None:
    """Both calls are answered in one moment, the older last: it takes nothing back."""
    await agent.call(2)
    agent.calls[2][1].write(DRAINS)
    agent.calls[1][1].write(STALE)  # both are read in one round of the loop, in either order
    await until(lambda: states(script)["a"] == "draining")
    assert "since=9&" in (await agent.call(3), agent.calls[3][0])[1]
    await until(lambda: agent.open == 1)


async def late_before_beside(agent: Held, script: Script) -> None:
    """The late call is answered while the second is out: the second is closed."""
    await agent.call(2)
    agent.calls[1][1].write(DRAINS)
    await until(lambda: states(script)["a"] == "draining")
    assert (await agent.call(3)) is agent.calls[1][1]
    await until(lambda: agent.open == 1)


async def reset_in_mid_answer(agent: Held, script: Script) -> None:
    agent.calls[1][1].write(DRAINS[:-20])
    await asyncio.sleep(0.01)
    agent.reset(1)
    assert states(script)["a"] == "active"
    await agent.answer(2, DRAINS)


def endless(data: bytes) -> bytes:
    """An answer that has no length: the end of the connection is its end."""
    return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + data.partition(b"\r\n\r\n")[2]


async def no_length_and_an_end(agent: Held, script: Script) -> None:
    agent.calls[1][1].write(endless(DRAINS))
    agent.calls[1][1].close()


async def no_length_and_a_reset(agent: Held, script: Script) -> None:
    """A reset is no end, however whole the answer looks."""
    agent.calls[1][1].write(endless(STALE.replace(b'"version": 6', b'"version": 8')))
    await asyncio.sleep(0.02)
    agent.reset(1)
    await agent.call(2)
    assert "since=5&" in agent.calls[2][0]
    await agent.answer(2, DRAINS)


async def stops_in_mid_answer(agent: Held, script: Script) -> None:
    """Half of an answer and silence: another call is made beside it once its wait is over."""
    agent.calls[1][1].write(DRAINS[:-20])
    await agent.answer(2, DRAINS)


async def trickles(agent: Held, script: Script) -> None:
    """A byte at a time is an answer too, if it is whole in time."""
    for at in range(len(DRAINS)):
        agent.calls[1][1].write(DRAINS[at : at + 1])
        if at % 20 == 0:
            await asyncio.sleep(0)


async def silent_for_long(agent: Held, script: Script) -> None:
    """Down: two calls are out at most, and the one that is answered at the return counts."""
    for number in range(2, 7):
        await agent.call(number)
        await until(lambda: agent.open <= watch.MOST_OUT)
    last = len(agent.calls) - 1
    agent.calls[last][1].write(DRAINS)


async def refused_beside(agent: Held, script: Script) -> None:
    """No connection can be opened for the second call; the first is answered after all."""
    assert agent.server is not None
    agent.server.close()
    await asyncio.sleep(0.5)
    agent.calls[1][1].write(DRAINS)


@pytest.mark.parametrize(
    "scene",
    [silent_then_beside, late_before_beside, reset_in_mid_answer, no_length_and_an_end, no_length_and_a_reset,
     stops_in_mid_answer, trickles, silent_for_long, refused_beside],
)  # fmt: skip
def test_a_drain_is_heard_of_whatever_becomes_of_the_call(scene: Any, quick: None) -> None:
    async def scenario() -> None:
        agent, script = Held(), Script(lambda event: [])
        task = asyncio.create_task(first_answers(agent))
        async with site(decisions=script, discovery=agent):  # type: ignore[arg-type]
            await task
            await scene(agent, script)
            await until(lambda: states(script)["a"] == "draining")
            assert states(script)["b"] == "active"

    play(scenario())


BUSY = http(b"", "503 Service Unavailable").replace(b"\r\n", b"\r\nRetry-After: 30\r\n", 1)
# What becomes of the calls from the watch on, until discovery is back; the next is told of the drain.
OUTAGES: dict[str, list[bytes | type[ConnectionResetError] | None]] = {
    "busy": [BUSY, BUSY, BUSY],
    "reset": [ConnectionResetError, ConnectionResetError, ConnectionResetError],
    "garbage": [http(b"{}"), http(b"[1, 2"), http(b"\xff", "500 Internal Server Error")],
    "busy, then silent": [BUSY, None],
    "reset, then silent": [ConnectionResetError, None],
    "busy at last": [ConnectionResetError, http(b"{}"), BUSY],
}


@pytest.mark.parametrize("name", OUTAGES)
def test_a_drain_at_the_return_is_heard_in_time_though_an_age_is_stated(
    name: str, quick: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One of 200, beside a service of 15 calls a second and lists that may be 30 s old. The terms are at a
    tenth of their size and the time to hear at its own, so that a busy machine has room."""

    async def scenario() -> None:
        agent, script = Held(), Script(lambda event: [])
        task = asyncio.create_task(first_answers(agent))
        operator = "[discovery]\ncalls_per_s = 15\nlist_age_s = 30\n"
        many = replace(config(1, 1, []).settings, gateway_count=200)
        more: dict[str, Any] = {"settings": many, "number": 150, "operator": operator}
        async with site(decisions=script, discovery=agent, **more) as one:  # type: ignore[arg-type]
            await task
            assert not one.program.discovery.turns.terms.pushed
            number = 1
            for fate in OUTAGES[name]:
                await agent.call(number)
                if fate is ConnectionResetError:
                    agent.reset(number)
                elif isinstance(fate, bytes):
                    await agent.answer(number, fate)
                number += 1
            async with asyncio.timeout(6.0):
                await agent.answer(number, DRAINS)
                await until(lambda: states(script)["a"] == "draining")

    # Turns at a start and after news are another matter.
    monkeypatch.setattr(Pacing, "first", lambda self, listed: 0.0)
    monkeypatch.setattr(Pacing, "in_step", lambda self: 0.0)
    play(scenario())


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    sent = b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + sent + b"0\r\n\r\n"


FORMS: dict[str, Callable[[Any], bytes]] = {
    "indented": lambda raw: http(json.dumps(raw, indent=4).encode()),
    "indented by tabs, in chunks": lambda raw: chunked(json.dumps(raw, indent="\t").encode(), 7),
    "with no space": lambda raw: http(json.dumps(raw, separators=(",", ":")).encode()),
    "in small chunks": lambda raw: chunked(json.dumps(raw).encode(), 1 + len(raw["servers"]) // 40),
    "a line break behind": lambda raw: http(json.dumps(raw, indent=2).encode() + b"\r\n\r\n"),
    "as it ends": lambda raw: endless(http(json.dumps(raw, indent=1).encode())),
}


@pytest.mark.parametrize("many", [0, 200])
@pytest.mark.parametrize("form", FORMS)
def test_a_list_is_read_in_any_form_and_in_pieces(form: str, many: int) -> None:
    """A short one, and one that is read in parts. It leaves out `b`, which has gone by that."""

    async def scenario() -> None:
        agent, script = Held(), Script(lambda event: [])
        task = asyncio.create_task(first_answers(agent))
        async with site(decisions=script, discovery=agent) as one:  # type: ignore[arg-type]
            await task
            others = [row(f"m{n}", 1000 + n) | {"note": "x" * 400} for n in range(many)]
            rows = [row("a", 80, "Terminating"), *others]
            data = FORMS[form]({"version": 9, "full": True, "servers": rows})
            assert (len(data) > PART_BODY) is (many > 0)
            writer = await agent.call(1)
            for at in range(0, len(data), 1 + len(data) // 50):
                writer.write(data[at : at + 1 + len(data) // 50])
                await asyncio.sleep(0)
            if form == "as it ends":
                writer.close()
            await until(lambda: states(script)["a"] == "draining")
            assert "b" not in one.program.servers.server_ids()
            assert len(one.program.servers.server_ids()) == 1 + many

    play(scenario())


@pytest.mark.parametrize("bad", UNREADABLE)
@pytest.mark.parametrize("full", [False, True])
def test_a_row_that_cant_be_read_hides_no_drain_in_another(bad: Any, full: bool, quick: None) -> None:
    async def scenario() -> None:
        agent, script = Held(), Script(lambda event: [])
        task = asyncio.create_task(first_answers(agent))
        async with site(decisions=script, discovery=agent) as one:  # type: ignore[arg-type]
            await task
            rows = {"version": 9, "full": full, "servers": [row("a", 80, "Terminating"), bad]}
            await agent.answer(1, http(json.dumps(rows).encode()))
            await until(lambda: states(script)["a"] == "draining")
            assert states(script)["b"] == "active" and set(one.program.servers.server_ids()) == {"a", "b"}
            assert "since=9&" in (await agent.call(2), agent.calls[2][0])[1]

    play(scenario())


def test_a_list_of_which_no_row_can_be_read_is_turned_down() -> None:
    """A form that is new to us must not end service."""
    with pytest.raises(ListError):
        read_list({"version": 1, "full": True, "servers": UNREADABLE}, held=None)
    with pytest.raises(ListError):
        read_list({"version": 1, "full": True, "servers": UNREADABLE}, held=HeldList())


@pytest.mark.parametrize("way", ["silent", "connecting", "twice", "back"])
def test_a_new_address_counts_whatever_was_under_way(way: str, quick: None) -> None:
    async def scenario() -> None:
        old, other, new, script = Held(), Held(), Held(), Script(lambda event: [])
        task = asyncio.create_task(first_answers(old))
        async with site(decisions=script, discovery=old) as one:  # type: ignore[arg-type]
            await task
            for peer in (other, new):
                await peer.start()
            discovery, first = one.program.discovery, one.program.discovery.where
            last = new
            if way == "silent":
                await old.call(2)  # a call is late, and another out beside it
            if way == "connecting":
                discovery.move(("127.0.0.1", other.port))
                await until(lambda: bool(discovery.opening))
            if way == "twice":
                discovery.move(("127.0.0.1", other.port))
                await other.call(0)
            if way == "back":
                discovery.move(("127.0.0.1", new.port))
                await new.call(0)
                last = old
            before = len(last.calls)
            discovery.move(first if way == "back" else ("127.0.0.1", new.port))
            # What the places left behind say now counts no more.
            for peer in {old, other, new} - {last}:
                for writer in [one for _, one in peer.calls if not one.transport.is_closing()]:
                    writer.write(listing(99, [row("a", 80, "Terminating"), row("b", 81, "Terminating")]))
            await last.call(before)
            assert last.calls[before][0] == "/v1/servers"  # versions of another place mean nothing
            await last.answer(before, listing(3, [row("a", 80, "Terminating"), row("b", 81)]))
            await until(lambda: states(script)["a"] == "draining")
            assert states(script)["b"] == "active"
            await until(lambda: sum(peer.open for peer in (old, other, new)) == 1)

            for peer in (other, new):
                await peer.stop()

    play(scenario())


def test_a_start_hears_of_a_drain_before_it_serves_by_a_saved_list(monkeypatch: pytest.MonkeyPatch) -> None:
    """The saved list has a server Ready that drains. The time that the start waits runs from the call: what
    the process needs to make it, on a fifth of a core, is not the agent's."""

    async def scenario() -> None:
        agent, script = Held(), Script(lambda event: [])
        task = asyncio.create_task(agent.answer(0, listing(2, [row("s0", 80, "Terminating")], full=False)))
        async with site(always(None), decisions=script, discovery=agent):  # type: ignore[arg-type]
            assert states(script)["s0"] == "draining"
        await task

    def late(self: Discovery, line: int, wait_s: float) -> None:
        self.loop.call_later(2.0 * LIST_WAIT_S, at_once, self, line, wait_s)

    at_once = Discovery.open
    monkeypatch.setattr(Discovery, "open", late)
    play(scenario())
