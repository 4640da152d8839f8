"""Use told straight: to whom, what is left unsaid, what is lost on the way, and what is taken for known."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.clients.membership.node import TICK_S, MemberNode
from glenchute.config.operator import parse
from glenchute.policy.admission.windows import window_length_ms
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.membership import direct_messages as directmail
from glenchute.policy.membership.direct_messages import (
    MAX_ENTRIES_PER_MESSAGE,
    MAX_REQUESTS_PER_S,
    DirectMessenger,
    UsageEntry,
    UsageMessage,
)
from glenchute.policy.membership.gateway_ring import GatewayRing, gateway_numbers
from glenchute.policy.membership.gossip import Delta, Gossip, GossipSettings
from glenchute.policy.membership.members import MemberList, MemberState, MemberUpdate, SwimMessage
from glenchute.policy.membership.members import SwimMessageKind as Probes
from glenchute.policy.membership.replica import DEFAULT_KIND_RULES, Replica, Row, RowKind
from glenchute.policy.membership.usage import (
    MAX_WINDOWS,
    MAX_WRITERS_PER_WINDOW,
    REPORTED_SHARE,
    AccountUsage,
    window_allowance_units,
)
from glenchute.policy.settings import Plan, Settings, SlowStart
from glenchute.protocol.member_datagrams import encode
from lab.fleet.posted import DirectMessageNetwork

PLAN = Plan("p", rate_per_s=4.0, burst_units=12.0)


def settled(count: int, **more: object) -> DirectMessageNetwork:
    """Gateways that know each other's use."""
    posts = DirectMessageNetwork(count, 1, **more)  # type: ignore[arg-type]
    posts.run(20.0, lambda: all(posts.known(name, 3) == 2 for name in posts.names))
    return posts


# --- whom it concerns ------------------------------------------------------------------------------------


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(2, 40), st.integers(0, 39), st.integers(1, 40), st.integers(0, 39))
def test_all_that_share_a_set_are_told_and_counted(count: int, me: int, spread: int, first: int) -> None:
    me, spread, first = me % count, min(spread, count), first % count
    names = [f"gw-{n:03d}" for n in range(count)]
    ring = GatewayRing(names[me], names, gateway_numbers(dict.fromkeys(names)), count)
    members = [names[(first + step) % count] for step in range(spread)]
    if names[me] not in members:
        return
    near = ring.subset_candidates(spread)
    assert set(members) - {names[me]} <= set(near) and names[me] not in near
    assert len(near) == len(set(near)) == ring.expected_candidates(spread) <= 2 * spread
    # Whoever of the set has been heard of takes nobody of it away, and the whole set leaves nobody else.
    others = [name for name in members if name != names[me]]
    for seen in (others[:1], others[-1:], others):
        assert set(others) <= set(ring.subset_candidates(spread, seen)) <= set(near)
    if 2 * spread <= count:
        assert set(ring.subset_candidates(spread, others)) == set(others)


@pytest.mark.parametrize(
    ("rows", "numbers"),
    [
        ({"g0": None, "g12": None}, {"g0": 0, "g12": 12}), ({"a": 3, "b9": 4}, {"a": 3, "b9": 4}),
        ({"zagreb": None, "g1": None}, None), ({"a-1": None, "b-01": None}, None),
        ({"a1": 2, "b2": None}, None), ({"g\u0663": None, "g1": None}, None),
    ],
)  # fmt: skip
def test_numbers_are_stated_or_the_names_end(rows: dict[str, int | None], numbers: object) -> None:
    assert gateway_numbers(rows) == numbers


@pytest.mark.parametrize(
    ("names", "gateways", "numbered"),
    [
        ([f"g{n + 1}" for n in range(12)], 12, True),  # counted from 1: distances are the same
        ([f"g{n}" for n in range(12)], 6, True),  # more members than the platform has gateways
        (["zagreb", "split", *(f"g{n}" for n in range(10))], 12, True), ([], 12, False),
    ],
)  # fmt: skip
def test_without_sound_numbers_the_set_is_told_all_the_same(
    names: list[str], gateways: int, numbered: bool
) -> None:
    posts = DirectMessageNetwork(12, 1, names, gateways, numbered=numbered)
    posts.run(3.0)
    posts.admit(posts.names[0], "a", 5.0)
    posts.run(0.3)
    assert [posts.units_of_peers(name, "a") for name in posts.names[1:3]] == [5.0, 5.0]


def test_with_wrong_numbers_words_are_lost_and_none_is_made_up() -> None:
    """Numbers of another order: the set hears nothing, and never more than was let in."""
    names = [f"g{7 * n % 12}" for n in range(12)]
    posts = DirectMessageNetwork(12, 1, names)
    posts.run(3.0)
    posts.admit(names[0], "a", 5.0)
    posts.run(1.0)
    assert sorted(posts.units_of_peers(name, "a") for name in names) == [0.0] * 8 + [5.0] * 4
    assert posts.units_of_peers(names[1], "a") == 0.0


# --- cost --------------------------------------------------------------------------------------------------


def test_what_a_row_costs_is_by_its_set_and_not_by_the_members() -> None:
    words, letters = [], []
    for count in (12, 120):
        posts = settled(count)
        posts.sent.clear()
        posts.message_counts.clear()
        for n in range(200):
            posts.admit(f"g{n % 3}", "a", plan=PLAN)
            posts.run(0.05)
        words.append(sum(posts.sent.values()))
        letters.append(posts.message_counts["g0"])
        assert {to for _, to in posts.sent if posts.sent[_, to]} <= {f"g{n % count}" for n in range(-2, 5)}
    assert words[0] == words[1] and abs(letters[0] - letters[1]) <= 0.1 * letters[0]
    assert words[0] <= 2 * 200 + 12  # each goes to the two others, once the set has shown itself


def test_use_is_not_passed_on_and_lies_in_no_comparison() -> None:
    gossip = Gossip(Replica(), GossipSettings(), random.Random(1))
    blank = gossip.replica.child_hashes(0.0, None)
    gossip.receive(0.0, "g1", Delta(((Row(RowKind.USE, "a/0", "g2#1", 1, 5.0), 0),)), 5)
    assert not gossip.transmissions_left and not gossip.replica.rows and gossip.replica.rejected_count == 1
    assert gossip.replica.merge(0.0, Row(RowKind.USE, "a/0", "g2#1", 1, 5.0))
    assert gossip.replica.child_hashes(0.0, None) == blank and not gossip.replica.leaves


def test_a_word_is_small() -> None:
    def size(count: int) -> int:
        words = tuple(
            UsageEntry(f"{4096 + n:016x}/{1_700_000_000_000 + 37 * n}", 9, 7.0) for n in range(count)
        )
        return len(encode("zagreb", "g17", 1 << 60, UsageMessage(9, False, True, words)))

    assert (size(MAX_ENTRIES_PER_MESSAGE) - size(0)) / MAX_ENTRIES_PER_MESSAGE <= directmail.ENTRY_BYTES
    assert size(0) <= directmail.HEADER_BYTES and size(MAX_ENTRIES_PER_MESSAGE) <= 1_400


@pytest.mark.parametrize("spread", [3, 30])
def test_the_budget_holds_and_who_is_behind_is_not_taken_for_known(spread: int) -> None:
    posts = DirectMessageNetwork(60, 2, budget=1_000.0)
    posts.run(8.0)
    before, began = posts.messengers["g0"].sent_bytes, posts.now
    for n in range(400):  # far more than it may say
        for account in range(5):
            posts.admit("g0", f"a{n % 40}{account}", 5.0, spread, PLAN)
        posts.run(0.05)
    post = posts.messengers["g0"]
    assert post.sent_bytes - before <= 1_000.0 * (posts.now - began + 0.25) + 64 * 18 + 48
    assert post.pending_count == sum(map(len, post.pending.values())) <= directmail.MAX_PENDING_ENTRIES
    assert post.pending_count and posts.known("g1", 3) < 2
    posts.run(60.0, lambda: posts.known("g1", 3) == 2 and not post.pending_count)
    assert posts.known("g1", 3) == 2 and not post.pending_count


def test_what_is_owed_and_kept_is_bounded_and_what_fell_out_is_asked_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(directmail, "MAX_PENDING_ENTRIES", 50)
    monkeypatch.setattr(directmail, "MAX_REPORTED_WINDOWS", 40)
    posts = settled(6)
    for n in range(300):
        posts.admit("g0", f"a{n}", 5.0)
    post = posts.messengers["g0"]
    post.queue_changed_windows(posts.now)
    assert post.pending_count <= 50 and post.dropped_batches and len(post.reported_windows) == 40
    posts.run(10.0)
    assert posts.units_of_peers("g1", "a299") == 5.0 == posts.units_of_peers("g1", "a290")
    assert (
        len(Replica().rules) == len(DEFAULT_KIND_RULES) and DEFAULT_KIND_RULES[RowKind.USE].max_rows <= 8_000
    )


# --- what is left unsaid ----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "plan", [PLAN, Plan("short", rate_per_s=8.0, burst_units=2.0), Plan("long", 1.0, 0.1, 30.0)]
)
def test_half_of_the_allowance_in_each_window_empties_no_store(plan: Plan) -> None:
    """The claim on which silence rests, by the store itself: all of it at the end of a window and at the
    beginning of the next, for ever."""
    store, at = plan.burst_units, 0.0
    for window in range(50):
        moment = (window + window % 2) * window_length_ms(plan) / 1000.0  # of every second one its end
        store = min(
            plan.burst_units, store + plan.rate_per_s * (moment - at)
        ) - 2.0 * REPORTED_SHARE * window_allowance_units(plan)
        at = moment
        assert store >= -1e-9


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from((0.5, 1.0, 3.0))), max_size=30))
def test_once_half_of_an_allowance_is_used_all_of_it_is_said(requests: list[tuple[int, float]]) -> None:
    posts = settled(8)
    asked = [0.0] * 3
    for number, units in requests:
        posts.admit(f"g{number}", "a", units, 3, PLAN)
        asked[number] += units
    posts.run(1.0)
    for number in range(3):
        heard, others = posts.units_of_peers(f"g{number}", "a"), sum(asked) - asked[number]
        assert heard <= others
        if sum(asked) >= 2.0 * REPORTED_SHARE * window_allowance_units(PLAN):
            assert heard == others
        assert others - heard <= REPORTED_SHARE * window_allowance_units(PLAN)


def test_nothing_is_said_of_an_account_far_from_its_limit() -> None:
    posts = settled(8)
    posts.sent.clear()
    for number in range(3):
        posts.admit(f"g{number}", "a", 1.0, 3, PLAN)
    posts.run(1.0)
    assert not sum(posts.sent.values())


# --- what is lost ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("lose", [0.1, 0.4])
def test_lost_mail_is_asked_for(lose: float) -> None:
    posts = settled(10)
    posts.loss = lose
    for n in range(60):
        posts.admit(f"g{n % 3}", f"a{n % 7}", 1.0, 3)
        posts.run(0.02)
    want = {(name, f"a{a}"): sum(n % 7 == a and f"g{n % 3}" != name for n in range(60))
            for name in ("g0", "g1", "g2") for a in range(7)}  # fmt: skip
    assert (
        posts.run(15.0, lambda: all(posts.units_of_peers(*at) == units for at, units in want.items())) < 15.0
    )


def test_a_way_that_is_cut_for_two_alone_is_no_longer_trusted_and_is_made_up_for() -> None:
    """Others reach both, so the probes go on calling them alive."""
    posts = settled(8)
    posts.cut = lambda sender, to: {sender, to} == {"g0", "g1"}
    posts.admit("g0", "a", 5.0)
    posts.run(2.0)
    assert posts.units_of_peers("g1", "a") == 0.0 and posts.units_of_peers("g2", "a") == 5.0
    assert posts.known("g1", 3) < 2 and posts.known("g0", 3) < 2
    posts.cut = lambda sender, to: False
    assert posts.run(5.0, lambda: posts.units_of_peers("g1", "a") == 5.0 and posts.known("g1", 3) == 2) < 5.0


def test_one_lost_message_is_enough_not_to_be_known() -> None:
    posts = settled(8)
    posts.cut = lambda sender, to: (sender, to) == ("g0", "g1")
    posts.admit("g0", "a", 5.0)
    posts.run(0.05)
    posts.cut = lambda sender, to: to == "g0"  # questions do not come through
    posts.admit("g0", "b", 5.0)
    posts.run(2.0)
    assert (
        posts.units_of_peers("g1", "b") == 5.0
        and posts.units_of_peers("g1", "a") == 0.0
        and posts.known("g1", 3) < 2
    )
    posts.cut = lambda sender, to: False
    posts.run(3.0)
    assert posts.units_of_peers("g1", "a") == 5.0


def test_who_returns_is_told_all_and_what_its_predecessor_let_in() -> None:
    posts = settled(8)
    posts.admit("g0", "a", 5.0)
    posts.admit("g1", "a", 4.0)
    posts.admit("g2", "a", 3.0)
    posts.run(0.5)
    posts.restart("g1")
    assert posts.known("g1", 3) == 0
    assert posts.run(5.0, lambda: posts.known("g1", 3) == 2) < 5.0
    assert (
        posts.units_of_peers("g1", "a") == 5.0 + 4.0 + 3.0
    )  # its own of before too, once though two tell it
    posts.admit("g1", "a", 1.0)
    posts.run(0.5)
    assert posts.units_of_peers("g0", "a") == 4.0 + 1.0 + 3.0  # two writers under one name


def test_who_is_not_there_is_sent_nothing_and_told_all_when_it_is_back() -> None:
    posts = settled(8)
    posts.dead.add("g1")
    posts.cut = lambda sender, to: "g1" in (sender, to)
    posts.sent.clear()
    posts.admit("g0", "a", 5.0)
    posts.run(1.0)
    assert not posts.sent["g0", "g1"] and posts.known("g0", 3) < 2
    posts.dead.clear()
    posts.cut = lambda sender, to: False
    assert posts.run(5.0, lambda: posts.units_of_peers("g1", "a") == 5.0 and posts.known("g0", 3) == 2) < 5.0


def test_mail_that_is_late_repeated_or_foreign_tells_no_more_than_it_says() -> None:
    use, replica = AccountUsage("g1#2"), Replica()
    names = ["g0", "g1", "g2"]
    ring = GatewayRing("g1", names, gateway_numbers(dict.fromkeys(names)), 3)
    post = DirectMessenger(use, replica, ring, lambda name: True, random.Random(1))
    late, new = (
        UsageMessage(5, True, True, (UsageEntry("a/0", 1, 2.0),)),
        UsageMessage(6, False, True, (UsageEntry("a/0", 2, 3.0),)),
    )
    for mail in (late, new, late, new, new):
        post.receive(1.0, "g0", 7, mail)
    assert use.admitted_by_peers("a", 0.0) == 3.0
    post.receive(
        1.0, "g0", 7, UsageMessage(7, False, True, (UsageEntry("a/0", 9, 50.0, boot=2),))
    )  # of this very process
    assert replica.get(RowKind.USE, "a/0", "g1#2") is None
    post.receive(
        1.0, "g0", 7, UsageMessage(8, False, True, (UsageEntry("a/0", 1, 4.0, boot=1),))
    )  # of the one before
    assert use.admitted_by_peers("a", 0.0) == 7.0
    post.receive(
        1.0,
        "g0",
        7,
        UsageMessage(9, False, True, (UsageEntry("", 1, 4.0), UsageEntry("a/0", 3, float("nan")))),
    )
    assert use.admitted_by_peers("a", 0.0) == 7.0 and replica.rejected_count == 2
    post.receive(
        1.0, "g0", 7, UsageMessage(9, False, True, (UsageEntry("a/0", 2, 9.0),))
    )  # two copies of one version
    assert replica.conflict_count == 1 and use.admitted_by_peers("a", 0.0) == 13.0


def test_a_member_that_makes_things_up_makes_nothing_grow_without_a_bound() -> None:
    posts = settled(8)
    post = posts.messengers["g1"]
    for n in range(12_000):
        words = (UsageEntry("a/0", 1, 1.0, boot=n + 5), UsageEntry(f"{n}/0", 1, 1.0))
        post.receive(posts.now, ("g0", "g2")[n % 2], 1, UsageMessage(7 * n, n % 4 < 2, True, words))
    assert len(post.replica.keys_by_age[RowKind.USE]) <= DEFAULT_KIND_RULES[RowKind.USE].max_rows
    assert len(post.usage.units_by_writer) == len(post.usage.peer_units) <= MAX_WINDOWS
    assert (
        len(post.usage.units_by_writer["a/0"])
        == MAX_WRITERS_PER_WINDOW
        == post.usage.admitted_by_peers("a", 0.0)
    )
    assert len(post.channels) <= 7 and len(post.request_round) <= 2 * 7 + 1


def test_questions_are_bounded_however_many_members_there_are() -> None:
    for count, spread in ((8, 8), (300, 300)):
        posts = DirectMessageNetwork(count, 1)
        post = posts.messengers["g0"]
        post.known_gateways(0.0, spread)
        asked = sum(len(post.tick(0.025 * n)) for n in range(400))
        assert asked <= 10.0 * MAX_REQUESTS_PER_S + 5


class Clock:
    """A loop that only tells the time."""

    now = 0.0

    def time(self) -> float:
        return self.now

    def call_later(self, *later: object) -> None:
        self.now += TICK_S


def test_a_quiet_tick_walks_over_no_list_of_who_is_there(monkeypatch: pytest.MonkeyPatch) -> None:
    walks: list[int] = []
    sound = MemberList.alive_names

    def counted(self: MemberList) -> list[str]:
        walks.append(1)
        return sound(self)

    monkeypatch.setattr(MemberList, "alive_names", counted)
    rows = [{"name": f"g{n}", "address": f"127.0.0.1:{7000 + n}"} for n in range(1, 520)]
    raw = {"fleet": "lab", "name": "g0", "listen": "127.0.0.1:7000", "members": rows}
    made = Settings("a", 520, (), (), SlowStart())
    fleet = MemberNode(raw, Clock(), DecisionEngine(made, 1), made, 1)  # type: ignore[arg-type]
    probes = [
        SwimMessage(Probes.ACK, n, "", (MemberUpdate(f"g{n}", MemberState.ALIVE, 0, n),)) for n in (1, 2)
    ]
    for n, probe in enumerate(probes, 1):
        walks.clear()
        for _ in range(3):
            fleet.tick()
        assert len(walks) <= 1 and len(fleet.alive) == n - 1
        fleet.datagram_received(encode("lab", f"g{n}", n, probe), ("127.0.0.1", 7000 + n))
        fleet.tick()
        assert fleet.alive == [f"g{m}" for m in range(1, n + 1)]


@pytest.mark.parametrize(
    ("name", "number", "stated", "numbered"),
    [
        ("g0", 0, None, True), ("g0", None, None, True), ("g0", 3, None, False),
        ("g0", 3, 3, True), ("g0", 3, 4, False), ("edge", 3, 3, True), ("edge", 3, None, False),
    ],
)  # fmt: skip
def test_numbers_that_are_not_the_platforms_are_not_gone_by(
    name: str, number: int | None, stated: int | None, numbered: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Those that share an account with this gateway would be told nothing, and be taken for idle."""
    rows: list[dict[str, object]] = [
        {"name": f"g{n}", "address": f"127.0.0.1:{7000 + n}"} for n in range(10, 19)
    ]
    raw: dict[str, object] = {"fleet": "lab", "name": name, "listen": "127.0.0.1:7000", "members": rows}
    if stated is not None:
        raw["number"] = stated
        for n, row in enumerate(rows, 10):
            row["number"] = n
    made = Settings("a", 20, (), (), SlowStart())
    fleet = MemberNode(raw, Clock(), DecisionEngine(made, 1), made, 1, number)  # type: ignore[arg-type]
    assert bool(fleet.messenger.ring.offsets) is numbered
    if not numbered:
        assert fleet.messenger.ring.subset_candidates(3) == tuple(f"g{n}" for n in range(10, 19))
    foreign = (name != "edge" and not numbered) or (number, stated) == (3, 4)
    assert ("numbers.foreign" in caplog.text) is foreign


# --- the operator's file -----------------------------------------------------------------------------------

HEAD = "[fleet]\nfleet = 'lab'\nname = 'g0'\nlisten = '127.0.0.1:7000'\n"


def members(count: int) -> str:
    return "".join(f"[[fleet.members]]\nname = 'g{n}'\naddress = '127.0.0.1:{7000 + n}'\n"
                   for n in range(1, count))  # fmt: skip


@pytest.mark.parametrize(
    ("text", "codes"),
    [
        (HEAD + members(4), []), (HEAD + members(520), []), (HEAD + members(1_001), []),
        (HEAD + members(1_002), ["too-many"]),
        (HEAD + "number = 0\n" + members(2) + "number = 1\n", []),
        (HEAD + "number = 0\n" + members(2), ["number-missing"]),
        (HEAD + members(2) + "number = 1\n", ["number-missing"]),
        (HEAD + "number = 1\n" + members(2) + "number = 1\n", ["number-twice"]),
        (HEAD + "number = -1\n" + members(2) + "number = 1.5\n", ["out-of-range", "wrong-type"]),
        (HEAD + "use_kib_s = 0\n" + members(2), ["out-of-range"]),
    ],
)  # fmt: skip
def test_numbers_and_members_in_the_operators_file(text: str, codes: list[str]) -> None:
    assert [finding.code for finding in parse(text, None).findings] == codes
