"""Long lists are read in parts, between which requests have their turn; in force whole or not at all."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.list_turns import LISTS, Chain, zoned
from glenchute.core import gateway as gateways
from glenchute.core.types import EndpointUpdate
from glenchute.policy.balancing.subset_size import MAX_SUBSET_SIZE
from glenchute.policy.events import EndpointList, EndpointListKind
from glenchute.protocol import endpoint_list as discoveries
from glenchute.protocol.endpoint_list import ROWS_PER_PART, CurrentList, decode_list, decode_list_in_parts
from glenchute.upstreams.connection_pool import GRACE_MARGIN_S, ConnectionPool
from lab.peers import DiscoveryPeer, http, listing, play, row, until
from tests.loopback import Script, Site, site

MANY = [row(f"n{n}", 9) for n in range(1_000)]  # some 100 KB


def whole(body: bytes, held: CurrentList | None) -> EndpointUpdate:
    return decode_list(json.loads(body), held=held)


def parted(body: bytes, held: CurrentList | None) -> EndpointUpdate:
    parts = decode_list_in_parts(body, held)
    while True:
        try:
            next(parts)
        except StopIteration as end:
            news: EndpointUpdate = end.value
            return news


def outcome(
    read: Callable[[bytes, CurrentList | None], EndpointUpdate], body: bytes, held: CurrentList | None
) -> Any:
    """The list, or that there is none."""
    try:
        return read(body, held)
    except (ValueError, RecursionError):
        return None


ROWS = json.dumps([row(f"n{n}", 9) for n in range(2 * ROWS_PER_PART + 5)])
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


@pytest.mark.parametrize("held", [None, CurrentList()])
@pytest.mark.parametrize("number", range(len(BODIES)))
def test_the_same_lists_are_read_and_the_same_refused(number: int, held: CurrentList | None) -> None:
    body = BODIES[number].encode("utf-8", "surrogatepass")
    assert outcome(parted, body, held) == outcome(whole, body, held)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(BODIES[:4]), st.integers(0, 400), st.integers(0, 3),
    st.text('{}[],:"0 \n', max_size=3), st.booleans(),
)  # fmt: skip
def test_what_was_spoilt_is_read_alike(text: str, at: int, cut: int, put: str, hold: bool) -> None:
    body = (text[:at] + put + text[at + cut :]).encode()
    held = CurrentList() if hold else None
    assert outcome(parted, body, held) == outcome(whole, body, held)


LONG = json.dumps(
    {"version": 3, "full": True, "servers": [row(f"n{n}", 9) for n in range(MAX_SUBSET_SIZE + 9)]}
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(0, len(LONG)), st.integers(0, 40), st.text('{}[],:"09 \n', max_size=3),
    st.sampled_from([", ", ",", " , \n"]),
)  # fmt: skip
def test_a_row_whose_text_was_read_before_is_read_alike(at: int, cut: int, put: str, comma: str) -> None:
    """After a long list, of which the texts are kept: the same list spoilt somewhere or written otherwise."""
    held, other = CurrentList(), CurrentList()
    held.apply(parted(LONG.encode(), held))
    other.rows = dict(held.rows)
    assert len(held.rows_by_text) == MAX_SUBSET_SIZE + 9
    body = (LONG[:at] + put + LONG[at + cut :]).replace("}, {", "}" + comma + "{").encode()
    assert outcome(parted, body, held) == outcome(whole, body, other)


def test_a_row_that_is_known_is_not_read_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of a whole list read anew only the rows that differ are; no more texts are kept than it has rows."""
    read: list[str] = []
    sound = discoveries.decode_row
    held, rows = CurrentList(), [row(f"n{n}", 9) for n in range(1_000)]

    def read_row(one: Any) -> Any:
        read.append(one["id"])
        return sound(one)

    monkeypatch.setattr(discoveries, "decode_row", read_row)
    for changed, expected in (([], 1_000), ([], 0), ([3, 999], 2), (list(range(1_000)), 1_000)):
        read.clear()
        for n in changed:
            rows[n] = {**rows[n], "weight": 1.5 + len(changed)}
        news = parted(json.dumps({"version": 3, "full": True, "servers": rows}).encode(), held)
        assert len(read) == expected and [entry.address for entry in news.event.endpoints][3] == "n3"
        assert [entry.weight for entry in news.event.endpoints] == [one.get("weight", 1.0) for one in rows]
        assert len(held.rows_by_text) == len(rows)


class Parts:
    """Holds the reading of a list between two parts until the test lets it go on."""

    def __init__(self, patch: pytest.MonkeyPatch, one: Site) -> None:
        self.held: list[Any] = []
        self.one = one
        patch.setattr(one.program.discovery, "decode_next_part", self.read_on)

    def read_on(self, reading: Any) -> None:
        self.held.append(reading)

    async def go_on(self, parts: int) -> None:
        """So many parts; what comes after them waits again."""
        discovery = self.one.program.discovery
        for _ in range(parts):
            await until(lambda: self.held or discovery.partial_decode is None)
            waiting, self.held = self.held, []
            for reading in waiting:
                type(discovery).decode_next_part(discovery, reading)


def lists(module: Script) -> list[EndpointList]:
    return module.of(EndpointList)


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
            await until(lambda: discovery.version == 2)
            parts = Parts(monkeypatch, one)
            body = json.dumps({"version": 3, "full": True, "servers": MANY}).encode()
            answers.answers.append(http(body))
            await until(lambda: parts.held)
            await parts.go_on(3)
            before = len(lists(module))
            client = await one.client()
            assert await client.ask(b"PING") == b"PONG" and parts.held and len(lists(module)) == before
            if end == "closes":
                line = discovery.partial_decode.connection_id  # type: ignore[union-attr]
                answers.writers[-1].close()
                await until(
                    lambda: line not in discovery.connections or discovery.connections[line].transport is None
                )
            elif end == "moves":
                discovery.change_address(("127.0.0.1", other.port))
                await until(lambda: discovery.version == 9)
            elif end == "ends":
                discovery.close()
            elif end == "another":
                discovery.watch.next_poll_at = asyncio.get_running_loop().time()
                discovery.on_timer()  # a call beside the one whose answer is being read
                answers.answers.append(listing(4, [row("s0", 9, "Terminating")], full=False))
                await until(lambda: discovery.version == 4)
            await parts.go_on(40)
            told = [event for event in lists(module)[before:] if len(event.endpoints) > 100]
            if end in ("stays", "closes"):
                assert discovery.version == 3 and discovery.partial_decode is None
                assert [event.kind for event in told] == [EndpointListKind.FULL]
                answers.answers.append(listing(5, [row("n0", 9, "Terminating")], full=False))
                await until(lambda: discovery.version == 5)  # the watch goes on
            else:
                assert discovery.version != 3 and not told and not parts.held
        await other.stop()

    play(scenario())


def test_drains_in_an_ordinary_answer_are_in_force_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Changes of 300 rows, a drain last: read in the turn in which they come."""
    module = Script(lambda event: [])

    async def scenario() -> None:
        answers = DiscoveryPeer(listing(2, [row("s0", 9)]))
        async with site(decisions=module, discovery=answers) as one:
            await until(lambda: one.program.discovery.version == 2)
            parts = Parts(monkeypatch, one)
            rows = [*MANY[:300], row("s0", 9, "Terminating")]
            answers.answers.append(listing(3, rows, full=False))
            await until(lambda: one.program.discovery.version == 3)
            assert not parts.held and one.program.servers.pools["s0"].stop_at is not None

    play(scenario())


def test_a_part_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """No part reads more rows than `PART_ROWS`, be they readable or not."""
    read, most = 0, 0
    sound = discoveries.decode_row

    def read_row(one: Any) -> Any:
        nonlocal read
        read += 1
        return sound(one)

    monkeypatch.setattr(discoveries, "decode_row", read_row)
    rows = [one if n % 3 else {"id": n} for n, one in enumerate(MANY)]
    for _ in decode_list_in_parts(
        json.dumps({"version": 3, "full": True, "servers": rows}).encode(), CurrentList()
    ):
        most, read = max(most, read), 0
    assert 0 < most <= ROWS_PER_PART


# --- what a list costs in one turn -----------------------------------------------------------------------


@pytest.fixture
def chain() -> Iterator[Chain]:
    one = Chain()
    yield one
    one.close()


@contextmanager
def calls() -> Iterator[list[int]]:
    """Counts the calls made meanwhile, of Python's functions and built-in ones alike."""
    count = [0]

    def one(frame: Any, event: str, arg: Any) -> None:
        count[0] += event in ("call", "c_call")

    sys.setprofile(one)
    try:
        yield count
    finally:
        sys.setprofile(None)


def longest(chain: Chain, rows: list[dict[str, Any]], full: bool = True) -> int:
    """The calls made in the turn that makes most."""
    most, turns, ended = 0, chain.turns(rows, full), False
    while not ended:
        with calls() as count:
            ended = next(turns, True) is True
        most = max(most, count[0])
    return most


@pytest.mark.parametrize("name", LISTS)
def test_no_turn_of_a_long_list_walks_all_of_it(name: str, chain: Chain) -> None:
    """From one list to another: calls in the longest turn, some 2,300 of which read `PART_ROWS` rows, where
    5,700 rows are 20,000 and more if each has its own. What drains has some, and rows that leave rings or
    come on them by changes."""
    before, after, full = LISTS[name]
    chain.tell(before)
    most = longest(chain, after, full)
    more = {"half of it drains": 4 * 2_850, "a zone gone": 10_000, "a zone back": 10_000}
    assert most <= 3_000 + more.get(name, 0)
    listed = {one["id"] for one in after if one["state"] == "Ready"}
    if full:
        assert chain.used() <= listed
    assert chain.used()


def test_nothing_of_a_list_is_in_force_before_all_of_it(chain: Chain) -> None:
    """Whole lists and changes: between two turns all is as before, to requests as to the next list; after the
    last all is as told, drains among it."""
    chain.tell(zoned(0, 5_700))
    used = chain.used()
    drained = sorted(used)[:10]
    for full in (True, False):
        rows = [{**one, "state": "Terminating"} if one["id"] in drained else one for one in zoned(0, 3_000)]
        before, turns = json.dumps(sorted(chain.used())), 0
        state = chain.state()
        for _ in chain.turns(rows, full):
            turns += 1
            assert json.dumps(sorted(chain.used())) == before and chain.state() == state
        assert turns > 3_000 // ROWS_PER_PART
        assert all(chain.servers.stops(name) for name in drained) and chain.used().isdisjoint(drained)
        drained = sorted(chain.used())[:10]


def test_a_list_given_up_half_way_leaves_nothing(chain: Chain) -> None:
    """As where its line is closed, another answer is taken, or the process ends: the next list is taken in
    full, also one of the same rows."""
    chain.tell(zoned(0, 600))
    state = chain.state()
    for stop in (1, 30, 90):
        turns = chain.turns(zoned(100, 5_700, weight=2.0))
        for _ in range(stop):
            next(turns)
        turns.close()
        assert chain.state() == state
    chain.tell(zoned(100, 5_700, weight=2.0))
    assert set(chain.servers.server_ids()) == {f"n{n}" for n in range(100, 5_800)}
    assert all(entry.endpoint.weight == 2.0 for entry in chain.policy.pool.servers.values())


def test_a_name_that_is_no_text_hides_nothing_of_a_long_list(chain: Chain) -> None:
    """Half of a surrogate pair, as JSON can have it: the list is in force, that server like the others."""
    odd = {**row("x\ud83d", 9), "zone": "z"}
    chain.tell([*zoned(0, 600), odd])
    assert len(chain.servers.server_ids()) == 601 and len(chain.used()) >= 48 and odd["id"] in chain.used()
    chain.tell([{**odd, "state": "Gone"}], False)
    assert odd["id"] not in chain.servers.server_ids() and odd["id"] not in chain.used()


def test_connections_to_processes_that_ended_are_closed(
    chain: Chain, monkeypatch: pytest.MonkeyPatch
) -> None:
    """By a whole list as by changes: those of the servers started anew, and no others."""
    chain.tell(zoned(0, 5_700))
    opened = sorted(chain.used())[:20]
    assert all(chain.servers.open_pool(name) is not None for name in opened)
    where = {id(pool): name for name, pool in chain.servers.pools.items()}
    closed: list[str] = []
    monkeypatch.setattr(
        ConnectionPool, "close_idle", lambda self, before=None: closed.append(where[id(self)])
    )
    for step, full in ((1, True), (2, False)):
        anew = set(opened[:step])
        rows = [{**one, "started_ms": float(step)} if one["id"] in anew else one for one in zoned(0, 5_700)]
        chain.tell(rows, full)
        chain.tell(rows, full)  # the same again closes none
        assert closed == opened[:step] and len(chain.servers.pools) == len(opened)
        closed.clear()


def test_servers_without_pools_drain_as_others_do(chain: Chain, monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing new by the list's word; attempts that were sent before may start until the grace is over, which
    runs from the first word; and one that comes back takes work."""
    chain.tell(zoned(0, 5_700))
    now = 100.0
    monkeypatch.setattr(Chain, "time", lambda self: now, raising=False)
    chain.servers.loop = chain  # type: ignore[assignment]
    drain = zoned(300, 600, state="Terminating")
    for full in (True, False):
        chain.tell([*zoned(0, 300), *drain, *zoned(900, 4_800)] if full else drain, full)
        assert all(chain.servers.stops(one["id"]) for one in drain)
        now += 0.1
    grace_s = chain.servers.limits.drain_grace_s - GRACE_MARGIN_S
    now = 100.0 + grace_s
    pool = chain.servers.open_pool("n300")
    assert pool is not None and pool.stop_at == now and chain.servers.stops("n300")
    now += 0.01
    assert all(chain.servers.open_pool(one["id"]) is None for one in drain[:20])
    chain.tell(zoned(300, 300), False)
    assert all(not chain.servers.stops(one["id"]) for one in drain[:300])
    assert all(chain.servers.stops(one["id"]) for one in drain[300:])
    assert chain.servers.open_pool("n300") is not None and chain.servers.open_pool("n599") is not None
    chain.tell([*zoned(0, 600), *zoned(900, 4_800)])
    assert len(chain.servers.server_ids()) == 5_400 and chain.servers.open_pool("n700") is None


def drawn(rng: random.Random, names: int) -> list[dict[str, Any]]:
    """Rows of all kinds, also of such as no service should send."""
    rows: list[Any] = []
    for n in rng.sample(range(names), rng.randint(names // 3, names)):
        one = {**row(f"n{n}", 9 + rng.randint(0, 9) // 9), "zone": rng.choice("aaab")}
        one["started_ms"] = float(rng.randint(0, 9) // 9)
        one["state"] = rng.choice(["Ready"] * 20 + ["Terminating", "Gone", "Odd"])
        rows.append(one)
    fault = rng.random()
    if fault < 0.15:
        rows.append({**rng.choice(rows), "state": rng.choice(["Ready", "Gone", "Terminating"])})
    elif fault < 0.3:
        rows.insert(rng.randrange(len(rows)), rng.choice([7, {"id": "n3"}, {"id": 5}]))
    return rows


@pytest.mark.parametrize("seed", range(12))
def test_parts_and_tables_made_ahead_change_nothing(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Lists and changes of all lengths, one after another: read in parts, with what follows from them worked
    out ahead, they leave what they leave read at once and brought into force row by row."""
    rng = random.Random(seed)
    new, old = Chain(), Chain(parted=False)
    for step in range(25):
        names = rng.choice([60, 600, 900])
        rows, full = drawn(rng, names), step == 0 or rng.random() < 0.5
        new.tell(rows, full)
        with monkeypatch.context() as patch:
            patch.setattr(gateways, "MANY_ROWS", 10**9)
            old.tell(rows, full)
        for name in rng.sample(sorted(new.used()), len(new.used()) // 3):  # pools that are made by use
            assert new.servers.open_pool(name) is not None
        for name in rng.sample(sorted(new.servers.server_ids()), 9):  # ... also of some that drain
            first, second = new.servers.open_pool(name), old.servers.open_pool(name)
            assert first is None or second is None or first.address == second.address
        ours, theirs = new.state(), old.state()
        assert ours == theirs, step
    new.close()
    old.close()
