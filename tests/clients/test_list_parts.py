"""Long lists are decoded in parts, with requests served in between, and come into force as a whole or not at
all."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.list_turns import LISTS, ListPath, zoned_rows
from glenchute.core import endpoint_updates
from glenchute.core.types import EndpointUpdate
from glenchute.policy.balancing.subset_size import MAX_SUBSET_SIZE
from glenchute.policy.events import EndpointList, EndpointListKind
from glenchute.protocol import endpoint_list
from glenchute.protocol.endpoint_list import ROWS_PER_PART, CurrentList, decode_list, decode_list_in_parts
from glenchute.upstreams.connection_pool import GRACE_MARGIN_S, ConnectionPool
from lab.peers import DiscoveryPeer, discovery_answer, http_response, run_scenario, server_row, wait_until
from tests.loopback import ScriptedEngine, Site, site

MANY = [server_row(f"n{n}", 9) for n in range(1_000)]  # about 100 KB of JSON


def decode_at_once(body: bytes, current: CurrentList | None) -> EndpointUpdate:
    return decode_list(json.loads(body), current=current)


def decode_in_parts(body: bytes, current: CurrentList | None) -> EndpointUpdate:
    parts = decode_list_in_parts(body, current)
    while True:
        try:
            next(parts)
        except StopIteration as end:
            update: EndpointUpdate = end.value
            return update


def outcome(
    decode: Callable[[bytes, CurrentList | None], EndpointUpdate], body: bytes, current: CurrentList | None
) -> Any:
    """Returns the update; None if the list is invalid."""
    try:
        return decode(body, current)
    except (ValueError, RecursionError):
        return None


ROWS = json.dumps([server_row(f"n{n}", 9) for n in range(2 * ROWS_PER_PART + 5)])
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
    # Guards against the first of two keys in force, where the last one is empty or no list.
    f'{{"servers": {ROWS}, "version": 3, "full": true, "servers": []}}',
    '{"servers": [{"id": "a", "addr": "h:1"}], "version": 3, "full": true, "servers": null}',
    '{"servers": [], "version": 3, "servers": {}, "full": true}',
    '{"servers": [{"id": "a", "addr": "h:1"}], "x": {"servers": 1}, "version": 3, "full": true}',
    '[{"servers": []}]', "7", "", "{}", "\ud83d",
    '{"version": 3, "full": true, "servers": [' + "[" * 100_000,
]  # fmt: skip


@pytest.mark.parametrize("current", [None, CurrentList()])
@pytest.mark.parametrize("number", range(len(BODIES)))
def test_parts_decode_and_reject_the_same_lists(number: int, current: CurrentList | None) -> None:
    body = BODIES[number].encode("utf-8", "surrogatepass")
    assert outcome(decode_in_parts, body, current) == outcome(decode_at_once, body, current)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(BODIES[:4]), st.integers(0, 400), st.integers(0, 3),
    st.text('{}[],:"0 \n', max_size=3), st.booleans(),
)  # fmt: skip
def test_parts_decode_corrupted_lists_alike(
    text: str, at: int, cut: int, inserted: str, has_list: bool
) -> None:
    body = (text[:at] + inserted + text[at + cut :]).encode()
    current = CurrentList() if has_list else None
    assert outcome(decode_in_parts, body, current) == outcome(decode_at_once, body, current)


LONG = json.dumps(
    {"version": 3, "full": True, "servers": [server_row(f"n{n}", 9) for n in range(MAX_SUBSET_SIZE + 9)]}
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.integers(0, len(LONG)), st.integers(0, 40), st.text('{}[],:"09 \n', max_size=3),
    st.sampled_from([", ", ",", " , \n"]),
)  # fmt: skip
def test_rows_known_by_their_text_are_decoded_alike(at: int, cut: int, inserted: str, comma: str) -> None:
    """A long list whose rows are kept by their text is followed by the same list with an edit or with other
    separators, which must give the same result as without kept rows."""
    current, other = CurrentList(), CurrentList()
    current.apply(decode_in_parts(LONG.encode(), current))
    other.rows = dict(current.rows)
    assert len(current.rows_by_text) == MAX_SUBSET_SIZE + 9
    body = (LONG[:at] + inserted + LONG[at + cut :]).replace("}, {", "}" + comma + "{").encode()
    assert outcome(decode_in_parts, body, current) == outcome(decode_at_once, body, other)


def test_known_rows_are_not_decoded_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only the rows of a complete list that differ from the previous one are decoded, and only the texts of
    the last list are kept."""
    decoded: list[str] = []
    decode_row = endpoint_list.decode_row
    current, rows = CurrentList(), [server_row(f"n{n}", 9) for n in range(1_000)]

    def counting_decode_row(raw: Any) -> Any:
        decoded.append(raw["id"])
        return decode_row(raw)

    monkeypatch.setattr(endpoint_list, "decode_row", counting_decode_row)
    for changed, expected in (([], 1_000), ([], 0), ([3, 999], 2), (list(range(1_000)), 1_000)):
        decoded.clear()
        for n in changed:
            rows[n] = {**rows[n], "weight": 1.5 + len(changed)}
        update = decode_in_parts(json.dumps({"version": 3, "full": True, "servers": rows}).encode(), current)
        assert len(decoded) == expected and [entry.address for entry in update.event.endpoints][3] == "n3"
        assert [entry.weight for entry in update.event.endpoints] == [row.get("weight", 1.0) for row in rows]
        assert len(current.rows_by_text) == len(rows)


class PausedDecoding:
    """Pauses decoding between two parts until the test resumes it."""

    def __init__(self, patch: pytest.MonkeyPatch, gateway_site: Site) -> None:
        self.paused: list[Any] = []
        self.gateway_site = gateway_site
        patch.setattr(gateway_site.program.discovery, "decode_next_part", self.pause)

    def pause(self, decoding: Any) -> None:
        self.paused.append(decoding)

    async def resume(self, parts: int) -> None:
        """Decodes this many parts, then pauses again."""
        discovery = self.gateway_site.program.discovery
        for _ in range(parts):
            await wait_until(lambda: self.paused or discovery.partial_decode is None)
            paused, self.paused = self.paused, []
            for decoding in paused:
                type(discovery).decode_next_part(discovery, decoding)


def received_lists(script: ScriptedEngine) -> list[EndpointList]:
    return script.events_of(EndpointList)


@pytest.mark.parametrize("end", ["stays", "closes", "moves", "ends", "another"])
def test_events_between_two_parts(end: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The list comes into force once it is decoded, even if its connection has ended in between. It never
    does if the address changes, the process ends, or another answer is accepted before. Requests are served
    between the parts."""
    script = ScriptedEngine(lambda event: [])

    async def scenario() -> None:
        first = discovery_answer(2, [server_row("s0", 9)])
        answers = DiscoveryPeer(first)
        other = DiscoveryPeer(discovery_answer(9, [server_row("s1", 9)]))
        await other.start()
        async with site(decisions=script, discovery=answers) as gateway_site:
            discovery = gateway_site.program.discovery
            await wait_until(lambda: discovery.version == 2)
            parts = PausedDecoding(monkeypatch, gateway_site)
            body = json.dumps({"version": 3, "full": True, "servers": MANY}).encode()
            answers.answers.append(http_response(body))
            await wait_until(lambda: parts.paused)
            await parts.resume(3)
            before = len(received_lists(script))
            client = await gateway_site.client()
            assert (
                await client.ask(b"PING") == b"PONG"
                and parts.paused
                and len(received_lists(script)) == before
            )
            if end == "closes":
                connection_id = discovery.partial_decode.connection_id  # type: ignore[union-attr]
                answers.writers[-1].close()
                await wait_until(
                    lambda: (
                        connection_id not in discovery.connections
                        or discovery.connections[connection_id].transport is None
                    )
                )
            elif end == "moves":
                discovery.change_address(("127.0.0.1", other.port))
                await wait_until(lambda: discovery.version == 9)
            elif end == "ends":
                discovery.close()
            elif end == "another":
                discovery.watch.next_poll_at = asyncio.get_running_loop().time()
                discovery.on_timer()  # hedges the poll whose answer is being decoded
                answers.answers.append(discovery_answer(4, [server_row("s0", 9, "Terminating")], full=False))
                await wait_until(lambda: discovery.version == 4)
            await parts.resume(40)
            received = [event for event in received_lists(script)[before:] if len(event.endpoints) > 100]
            if end in ("stays", "closes"):
                assert discovery.version == 3 and discovery.partial_decode is None
                assert [event.kind for event in received] == [EndpointListKind.FULL]
                answers.answers.append(discovery_answer(5, [server_row("n0", 9, "Terminating")], full=False))
                await wait_until(lambda: discovery.version == 5)  # the watch goes on
            else:
                assert discovery.version != 3 and not received and not parts.paused
        await other.stop()

    run_scenario(scenario())


def test_drains_in_an_ordinary_answer_are_in_force_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against delayed drains: changes of 300 rows are decoded in the turn that receives them."""
    script = ScriptedEngine(lambda event: [])

    async def scenario() -> None:
        answers = DiscoveryPeer(discovery_answer(2, [server_row("s0", 9)]))
        async with site(decisions=script, discovery=answers) as gateway_site:
            await wait_until(lambda: gateway_site.program.discovery.version == 2)
            parts = PausedDecoding(monkeypatch, gateway_site)
            rows = [*MANY[:300], server_row("s0", 9, "Terminating")]
            answers.answers.append(discovery_answer(3, rows, full=False))
            await wait_until(lambda: gateway_site.program.discovery.version == 3)
            assert not parts.paused and gateway_site.program.servers.pools["s0"].stop_at is not None

    run_scenario(scenario())


def test_the_rows_of_a_part_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """No part decodes more rows than `ROWS_PER_PART`, readable or not."""
    row_count, most = 0, 0
    decode_row = endpoint_list.decode_row

    def counting_decode_row(raw: Any) -> Any:
        nonlocal row_count
        row_count += 1
        return decode_row(raw)

    monkeypatch.setattr(endpoint_list, "decode_row", counting_decode_row)
    rows = [row if n % 3 else {"id": n} for n, row in enumerate(MANY)]
    for _ in decode_list_in_parts(
        json.dumps({"version": 3, "full": True, "servers": rows}).encode(), CurrentList()
    ):
        most, row_count = max(most, row_count), 0
    assert 0 < most <= ROWS_PER_PART


# --- the cost of a list for each turn of the event loop --------------------------------------------------


@pytest.fixture
def path() -> Iterator[ListPath]:
    path = ListPath()
    yield path
    path.close()


@contextmanager
def counted_calls() -> Iterator[Counter[str]]:
    """Counts the calls of Python and built-in functions within the context, by name."""
    counts: Counter[str] = Counter()

    def count_call(frame: Any, event: str, arg: Any) -> None:
        if event == "call":
            counts[frame.f_code.co_qualname] += 1
        elif event == "c_call":
            counts[arg.__qualname__] += 1

    sys.setprofile(count_call)
    try:
        yield counts
    finally:
        sys.setprofile(None)


def most_calls_in_a_turn(path: ListPath, rows: list[dict[str, Any]], full: bool = True) -> Counter[str]:
    """Returns the calls in the turn that makes the most.

    What earlier tests left is collected before: a collection within a turn would call its finalizers.
    """
    most: Counter[str] = Counter()
    turns, ended = path.turns(rows, full), False
    gc.collect()
    while not ended:
        with counted_calls() as counts:
            ended = next(turns, True) is True
        most = max(most, counts, key=Counter.total)
    return most


@pytest.mark.parametrize("name", LISTS)
def test_no_turn_visits_all_rows_of_a_long_list(name: str, path: ListPath) -> None:
    """Limits the number of calls in the longest turn of a change from one list to another. Decoding
    `ROWS_PER_PART` rows takes about 2,300; a turn that visits all 5,700 rows would make about 20,000. Rows
    that drain, and those that changes add to the hash rings or remove from them, may take some calls each."""
    before, after, full = LISTS[name]
    path.apply(before)
    most = most_calls_in_a_turn(path, after, full)
    extra_calls = {"half of it drains": 4 * 2_850, "a zone gone": 10_000, "a zone back": 10_000}
    assert most.total() <= 3_000 + extra_calls.get(name, 0), most.most_common(10)
    listed = {row["id"] for row in after if row["state"] == "Ready"}
    if full:
        assert path.servers_in_use() <= listed
    assert path.servers_in_use()


def test_no_row_is_in_force_before_the_list_is_complete(path: ListPath) -> None:
    """Between two turns, requests and the next list find the state of before; after the last one all rows are
    in force, including drains. This holds for complete lists and for changes."""
    path.apply(zoned_rows(0, 5_700))
    used = path.servers_in_use()
    drained = sorted(used)[:10]
    for full in (True, False):
        rows = [
            {**row, "state": "Terminating"} if row["id"] in drained else row for row in zoned_rows(0, 3_000)
        ]
        before, turns = json.dumps(sorted(path.servers_in_use())), 0
        state = path.state()
        for _ in path.turns(rows, full):
            turns += 1
            assert json.dumps(sorted(path.servers_in_use())) == before and path.state() == state
        assert turns > 3_000 // ROWS_PER_PART
        assert all(path.servers.is_stopping(name) for name in drained) and path.servers_in_use().isdisjoint(
            drained
        )
        drained = sorted(path.servers_in_use())[:10]


def test_an_abandoned_list_leaves_no_state(path: ListPath) -> None:
    """A list is abandoned when its connection is closed, another answer is accepted, or the process ends. The
    next list must take full effect, even with the same rows."""
    path.apply(zoned_rows(0, 600))
    state = path.state()
    for stop in (1, 30, 90):
        turns = path.turns(zoned_rows(100, 5_700, weight=2.0))
        for _ in range(stop):
            next(turns)
        turns.close()
        assert path.state() == state
    path.apply(zoned_rows(100, 5_700, weight=2.0))
    assert set(path.servers.server_ids()) == {f"n{n}" for n in range(100, 5_800)}
    assert all(entry.endpoint.weight == 2.0 for entry in path.policy.pool.servers.values())


def test_a_name_with_a_lone_surrogate_does_not_affect_other_rows(path: ListPath) -> None:
    """JSON allows half of a surrogate pair in a server's name: the list comes into force with that server."""
    unusual = {**server_row("x\ud83d", 9), "zone": "z"}
    path.apply([*zoned_rows(0, 600), unusual])
    assert (
        len(path.servers.server_ids()) == 601
        and len(path.servers_in_use()) >= 48
        and unusual["id"] in path.servers_in_use()
    )
    path.apply([{**unusual, "state": "Gone"}], False)
    assert unusual["id"] not in path.servers.server_ids() and unusual["id"] not in path.servers_in_use()


def test_connections_to_restarted_servers_are_closed(path: ListPath, monkeypatch: pytest.MonkeyPatch) -> None:
    """A complete list, and changes, close the connections of the restarted servers and no others."""
    path.apply(zoned_rows(0, 5_700))
    opened = sorted(path.servers_in_use())[:20]
    assert all(path.servers.open_pool(name) is not None for name in opened)
    server_of = {id(pool): name for name, pool in path.servers.pools.items()}
    closed: list[str] = []
    monkeypatch.setattr(
        ConnectionPool, "close_idle", lambda self, before=None: closed.append(server_of[id(self)])
    )
    for step, full in ((1, True), (2, False)):
        restarted = set(opened[:step])
        rows = [
            {**row, "started_ms": float(step)} if row["id"] in restarted else row
            for row in zoned_rows(0, 5_700)
        ]
        path.apply(rows, full)
        path.apply(rows, full)  # the same list again closes no connections
        assert closed == opened[:step] and len(path.servers.pools) == len(opened)
        closed.clear()


def test_servers_without_pools_drain_like_others(path: ListPath, monkeypatch: pytest.MonkeyPatch) -> None:
    """A draining server gets no new requests. Attempts that were decided before may start until the end of
    the grace period, which begins with the first list that has the drain. A server that returns is used
    again."""
    path.apply(zoned_rows(0, 5_700))
    now = 100.0
    monkeypatch.setattr(ListPath, "time", lambda self: now, raising=False)
    path.servers.loop = path  # type: ignore[assignment]
    drain = zoned_rows(300, 600, state="Terminating")
    for full in (True, False):
        path.apply([*zoned_rows(0, 300), *drain, *zoned_rows(900, 4_800)] if full else drain, full)
        assert all(path.servers.is_stopping(row["id"]) for row in drain)
        now += 0.1
    grace_s = path.servers.limits.drain_grace_s - GRACE_MARGIN_S
    now = 100.0 + grace_s
    pool = path.servers.open_pool("n300")
    assert pool is not None and pool.stop_at == now and path.servers.is_stopping("n300")
    now += 0.01
    assert all(path.servers.open_pool(row["id"]) is None for row in drain[:20])
    path.apply(zoned_rows(300, 300), False)
    assert all(not path.servers.is_stopping(row["id"]) for row in drain[:300])
    assert all(path.servers.is_stopping(row["id"]) for row in drain[300:])
    assert path.servers.open_pool("n300") is not None and path.servers.open_pool("n599") is not None
    path.apply([*zoned_rows(0, 600), *zoned_rows(900, 4_800)])
    assert len(path.servers.server_ids()) == 5_400 and path.servers.open_pool("n700") is None


def random_rows(rng: random.Random, names: int) -> list[dict[str, Any]]:
    """Returns random rows of all kinds, including invalid ones."""
    rows: list[Any] = []
    for n in rng.sample(range(names), rng.randint(names // 3, names)):
        row = {**server_row(f"n{n}", 9 + rng.randint(0, 9) // 9), "zone": rng.choice("aaab")}
        row["started_ms"] = float(rng.randint(0, 9) // 9)
        row["state"] = rng.choice(["Ready"] * 20 + ["Terminating", "Gone", "Odd"])
        rows.append(row)
    fault = rng.random()
    if fault < 0.15:
        rows.append({**rng.choice(rows), "state": rng.choice(["Ready", "Gone", "Terminating"])})
    elif fault < 0.3:
        rows.insert(rng.randrange(len(rows)), rng.choice([7, {"id": "n3"}, {"id": 5}]))
    return rows


@pytest.mark.parametrize("seed", range(12))
def test_parts_and_prebuilt_tables_give_the_same_state(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """A sequence of lists and changes of all lengths: decoded in parts with hash rings that are built on the
    way, they give the same state as decoded at once and applied row by row."""
    rng = random.Random(seed)
    new, old = ListPath(), ListPath(in_parts=False)
    for step in range(25):
        names = rng.choice([60, 600, 900])
        rows, full = random_rows(rng, names), step == 0 or rng.random() < 0.5
        new.apply(rows, full)
        with monkeypatch.context() as patch:
            patch.setattr(endpoint_updates, "BULK_ROWS", 10**9)
            old.apply(rows, full)
        # Requests would open the pools of servers in use.
        for name in rng.sample(sorted(new.servers_in_use()), len(new.servers_in_use()) // 3):
            assert new.servers.open_pool(name) is not None
        for name in rng.sample(sorted(new.servers.server_ids()), 9):  # also servers that drain
            first, second = new.servers.open_pool(name), old.servers.open_pool(name)
            assert first is None or second is None or first.address == second.address
        state, expected = new.state(), old.state()
        assert state == expected, step
    new.close()
    old.close()


@pytest.mark.parametrize("in_parts", [True, False])
@pytest.mark.parametrize("full", [True, False])
@pytest.mark.parametrize("names", [20, 600])
@pytest.mark.parametrize("last", ["Ready", "Terminating", "Gone"])
def test_the_last_row_of_a_server_listed_twice_counts(
    last: str, names: int, full: bool, in_parts: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests decided for a server whose pool drains: both follow the last of its rows."""
    now = 100.0
    path = ListPath(in_parts)
    monkeypatch.setattr(path.loop, "time", lambda: now)
    path.apply(zoned_rows(0, names))
    server = min(path.servers_in_use())
    first = "Terminating" if last == "Ready" else "Ready"
    row_of_server = next(row for row in zoned_rows(0, names) if row["id"] == server)
    rows = zoned_rows(0, names) if full else []
    rows = [row for row in rows if row["id"] != server]
    path.apply([{**row_of_server, "state": first}, *rows, {**row_of_server, "state": last}], full)
    now += path.servers.limits.drain_grace_s
    assert (server in path.servers_in_use()) == (last == "Ready")
    assert (path.servers.open_pool(server) is not None) == (last == "Ready")
    assert all(path.servers.open_pool(used) is not None for used in path.servers_in_use())
    path.close()


@pytest.mark.parametrize("seed", range(40))
def test_no_server_in_use_has_a_draining_pool(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests decided for a server whose pool drains, after any sequence of lists at
    intervals of a second."""
    now = 100.0
    rng = random.Random(seed)
    path = ListPath()
    monkeypatch.setattr(path.loop, "time", lambda: now)
    for step in range(25):
        now += 1.0
        rows = random_rows(rng, rng.choice([60, 600, 900]))
        path.apply(rows, full=step == 0 or rng.random() < 0.5)
        assert not [server for server in path.servers_in_use() if path.servers.is_stopping(server)], step
    path.close()
