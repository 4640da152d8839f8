"""Long lists are read in parts, between which requests have their turn; in force whole or not at all."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.core.types import News
from glenchute.peers import discovery as discoveries
from glenchute.peers.discovery import PART_ROWS, Held, read_in_parts, read_list
from heathglade.interface import ListKind, ServerList
from lab.peers import DiscoveryPeer, http, listing, play, row, until

from .loopback import Script, Site, site

MANY = [row(f"n{n}", 9) for n in range(1_000)]  # some 100 KB


def whole(body: bytes, held: Held | None) -> News:
    return read_list(json.loads(body), held=held)


def parted(body: bytes, held: Held | None) -> News:
    parts = read_in_parts(body, held)
    while True:
        try:
            next(parts)
        except StopIteration as end:
            news: News = end.value
            return news


def outcome(read: Callable[[bytes, Held | None], News], body: bytes, held: Held | None) -> Any:
    """The list, or that there is none."""
    try:
        return read(body, held)
    except (ValueError, RecursionError):
        return None


ROWS = json.dumps([row(f"n{n}", 9) for n in range(2 * PART_ROWS + 5)])
BODIES = [
    f'{{"version": 3, "full": true, "servers": {ROWS}}}',
    f'{{"servers": {ROWS}, "full": false, "version": "3"}}',
    ' {\n"version":3,"servers" : [ \n] , "full": true }\n ',
    '{"version": 3, "full": true, "servers": [{"id": "a", "addr": "h:1"}, {"id": "b"}, 7, null]}',
    '{"version": 3, "full": true, "servers": [{"id": "b"}, 7, {"addr": "h:1", "state": "Ready"}]}',
    '{"version": 3, "full": true, "servers": [{"id": "a", "addr": "h:1"},]}',
    '{"version": 3, "full": true, "servers": [{"id": "a", "addr": "h:1"} {"id": "b"}]}',
    '{"version": 3, "full": true, "servers": [{"id": "a", "addr": "h:1"}]',
    '{"version": 3, "full": true, "servers": [',
    '{"version": 3, "full": true, "servers": []} more',
    '{"version": null, "full": true, "servers": []}',
    '{"full": true, "servers": []}',
    '{"version": 3, "servers": []}',
    '{"version": 3, "full": true, "servers": 7}',
    '{"version": 3, "full": true, "servers": {"a": []}}',
    '{"x": {"servers": [{"id": "a", "addr": "h:1"}]}, "version": 3, "full": true, "servers": []}',
    '{"x": "\\"servers\\": [", "version": 3, "full": true, "servers": [{"id": "a", "addr": "h:1"}]}',
    '{"servers": [{"id": "a", "addr": "h:1"}], "version": 3, "full": true, "servers": [{"id": "b"}]}',
    '[{"servers": []}]', "7", "", "{}", "\ud83d",
    '{"version": 3, "full": true, "servers": [' + "[" * 100_000,
]  # fmt: skip


@pytest.mark.parametrize("held", [None, Held()])
@pytest.mark.parametrize("number", range(len(BODIES)))
def test_the_same_lists_are_read_and_the_same_refused(number: int, held: Held | None) -> None:
    body = BODIES[number].encode("utf-8", "surrogatepass")
    assert outcome(parted, body, held) == outcome(whole, body, held)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(BODIES[:4]), st.integers(0, 400), st.integers(0, 3),
    st.text('{}[],:"0 \n', max_size=3), st.booleans(),
)  # fmt: skip
def test_what_was_spoilt_is_read_alike(text: str, at: int, cut: int, put: str, hold: bool) -> None:
    body = (text[:at] + put + text[at + cut :]).encode()
    held = Held() if hold else None
    assert outcome(parted, body, held) == outcome(whole, body, held)


class Parts:
    """Holds the reading of a list between two parts until the test lets it go on."""

    def __init__(self, patch: pytest.MonkeyPatch, one: Site) -> None:
        self.held: list[Any] = []
        self.one = one
        patch.setattr(one.program.discovery, "read_on", self.read_on)

    def read_on(self, reading: Any) -> None:
        self.held.append(reading)

    async def go_on(self, parts: int) -> None:
        """So many parts; what comes after them waits again."""
        discovery = self.one.program.discovery
        for _ in range(parts):
            await until(lambda: self.held or discovery.reading is None)
            waiting, self.held = self.held, []
            for reading in waiting:
                type(discovery).read_on(discovery, reading)


def lists(module: Script) -> list[ServerList]:
    return module.of(ServerList)


@pytest.mark.parametrize("end", ["stays", "closes", "moves", "ends", "another"])
def test_what_happens_between_two_parts(end: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The list comes into force whole once it is read, also where its connection has ended meanwhile; where
    the gateway follows another address, ends, or has taken another answer, it never does. Requests have their
    turn."""
    module = Script(lambda event: [])

    async def scenario() -> None:
        first = listing(2, [row("s0", 9)])
        answers = DiscoveryPeer(first)
        other = DiscoveryPeer(listing(9, [row("s1", 9)]))
        await other.start()
        async with site(decisions=module, discovery=answers) as one:
            discovery = one.program.discovery
            await until(lambda: discovery.since == 2)
            parts = Parts(monkeypatch, one)
            body = json.dumps({"version": 3, "full": True, "servers": MANY}).encode()
            answers.answers.append(http(body))
            await until(lambda: parts.held)
            await parts.go_on(3)
            before = len(lists(module))
            client = await one.client()
            assert await client.ask(b"PING") == b"PONG" and parts.held and len(lists(module)) == before
            if end == "closes":
                line = discovery.reading.line  # type: ignore[union-attr]
                answers.writers[-1].close()
                await until(lambda: line not in discovery.lines or discovery.lines[line].transport is None)
            elif end == "moves":
                discovery.move(("127.0.0.1", other.port))
                await until(lambda: discovery.since == 9)
            elif end == "ends":
                discovery.close()
            elif end == "another":
                discovery.watch.due = asyncio.get_running_loop().time()
                discovery.tick()  # a call beside the one whose answer is being read
                answers.answers.append(listing(4, [row("s0", 9, "Terminating")], full=False))
                await until(lambda: discovery.since == 4)
            await parts.go_on(40)
            told = [event for event in lists(module)[before:] if len(event.entries) > 100]
            if end in ("stays", "closes"):
                assert discovery.since == 3 and discovery.reading is None
                assert [event.kind for event in told] == [ListKind.FULL]
                answers.answers.append(listing(5, [row("n0", 9, "Terminating")], full=False))
                await until(lambda: discovery.since == 5)  # the watch goes on
            else:
                assert discovery.since != 3 and not told and not parts.held
        await other.stop()

    play(scenario())


def test_drains_in_an_ordinary_answer_are_in_force_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Changes of 300 rows, a drain last: read in the turn in which they come."""
    module = Script(lambda event: [])

    async def scenario() -> None:
        answers = DiscoveryPeer(listing(2, [row("s0", 9)]))
        async with site(decisions=module, discovery=answers) as one:
            await until(lambda: one.program.discovery.since == 2)
            parts = Parts(monkeypatch, one)
            rows = [*MANY[:300], row("s0", 9, "Terminating")]
            answers.answers.append(listing(3, rows, full=False))
            await until(lambda: one.program.discovery.since == 3)
            assert not parts.held and one.program.servers.pools["s0"].stop_at is not None

    play(scenario())


def test_a_part_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """No part reads more rows than `PART_ROWS`, be they readable or not."""
    read, most = 0, 0
    sound = discoveries.read_row

    def read_row(one: Any) -> Any:
        nonlocal read
        read += 1
        return sound(one)

    monkeypatch.setattr(discoveries, "read_row", read_row)
    rows = [one if n % 3 else {"id": n} for n, one in enumerate(MANY)]
    for _ in read_in_parts(json.dumps({"version": 3, "full": True, "servers": rows}).encode(), Held()):
        most, read = max(most, read), 0
    assert 0 < most <= PART_ROWS
