"""Direct usage messages: their recipients, unreported usage, lost messages, and usage that counts as
known."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.clients.membership.node import TICK_S, MemberNode
from glenchute.config.operator import parse
from glenchute.policy.admission.windows import window_length_ms
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.membership import direct_messages
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
from lab.fleet.direct_message_network import DirectMessageNetwork

PLAN = Plan("p", rate_per_s=4.0, burst_units=12.0)


def settled(count: int, **more: object) -> DirectMessageNetwork:
    """Returns a network whose gateways know each other's usage."""
    network = DirectMessageNetwork(count, 1, **more)  # type: ignore[arg-type]
    network.run(20.0, lambda: all(network.known_gateways(name, 3) == 2 for name in network.names))
    return network


# --- recipients ------------------------------------------------------------------------------------------


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(2, 40), st.integers(0, 39), st.integers(1, 40), st.integers(0, 39))
def test_candidates_cover_every_possible_subset(count: int, own: int, spread: int, first: int) -> None:
    own, spread, first = own % count, min(spread, count), first % count
    names = [f"gw-{n:03d}" for n in range(count)]
    ring = GatewayRing(names[own], names, gateway_numbers(dict.fromkeys(names)), count)
    members = [names[(first + step) % count] for step in range(spread)]
    if names[own] not in members:
        return
    candidates = ring.subset_candidates(spread)
    assert set(members) - {names[own]} <= set(candidates) and names[own] not in candidates
    assert len(candidates) == len(set(candidates)) == ring.expected_candidates(spread) <= 2 * spread
    # Members already seen exclude no member of the subset; all of them together exclude all other members.
    others = [name for name in members if name != names[own]]
    for seen in (others[:1], others[-1:], others):
        assert set(others) <= set(ring.subset_candidates(spread, seen)) <= set(candidates)
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
def test_numbers_are_configured_or_taken_from_the_end_of_names(
    rows: dict[str, int | None], numbers: object
) -> None:
    assert gateway_numbers(rows) == numbers


@pytest.mark.parametrize(
    ("names", "gateways", "numbered"),
    [
        ([f"g{n + 1}" for n in range(12)], 12, True),  # numbers from 1 have the same distances
        ([f"g{n}" for n in range(12)], 6, True),  # there are more members than the platform has gateways
        (["zagreb", "split", *(f"g{n}" for n in range(10))], 12, True), ([], 12, False),
    ],
)  # fmt: skip
def test_without_valid_numbers_the_subset_gets_usage_all_the_same(
    names: list[str], gateways: int, numbered: bool
) -> None:
    network = DirectMessageNetwork(12, 1, names, gateways, has_numbers=numbered)
    network.run(3.0)
    network.admit(network.names[0], "a", 5.0)
    network.run(0.3)
    assert [network.units_of_peers(name, "a") for name in network.names[1:3]] == [5.0, 5.0]


def test_with_wrong_numbers_usage_is_lost_but_never_invented() -> None:
    """With numbers in another order, the subset's members get no usage, and no member counts more than was
    admitted."""
    names = [f"g{7 * n % 12}" for n in range(12)]
    network = DirectMessageNetwork(12, 1, names)
    network.run(3.0)
    network.admit(names[0], "a", 5.0)
    network.run(1.0)
    assert sorted(network.units_of_peers(name, "a") for name in names) == [0.0] * 8 + [5.0] * 4
    assert network.units_of_peers(names[1], "a") == 0.0


# --- cost --------------------------------------------------------------------------------------------------


def test_the_cost_of_a_row_depends_on_its_subset_and_not_on_the_number_of_members() -> None:
    entry_counts, message_counts = [], []
    for count in (12, 120):
        network = settled(count)
        network.sent_entry_counts.clear()
        network.message_counts.clear()
        for n in range(200):
            network.admit(f"g{n % 3}", "a", plan=PLAN)
            network.run(0.05)
        entry_counts.append(sum(network.sent_entry_counts.values()))
        message_counts.append(network.message_counts["g0"])
        assert {to for _, to in network.sent_entry_counts if network.sent_entry_counts[_, to]} <= {
            f"g{n % count}" for n in range(-2, 5)
        }
    assert (
        entry_counts[0] == entry_counts[1]
        and abs(message_counts[0] - message_counts[1]) <= 0.1 * message_counts[0]
    )
    assert entry_counts[0] <= 2 * 200 + 12  # once the subset is known, each row goes to its two other members


def test_usage_rows_are_neither_gossiped_nor_compared() -> None:
    gossip = Gossip(Replica(), GossipSettings(), random.Random(1))
    empty_hashes = gossip.replica.child_hashes(0.0, None)
    gossip.receive(0.0, "g1", Delta(((Row(RowKind.USE, "a/0", "g2#1", 1, 5.0), 0),)), 5)
    assert not gossip.transmissions_left and not gossip.replica.rows and gossip.replica.rejected_count == 1
    assert gossip.replica.merge(0.0, Row(RowKind.USE, "a/0", "g2#1", 1, 5.0))
    assert gossip.replica.child_hashes(0.0, None) == empty_hashes and not gossip.replica.leaves


def test_encoded_entries_stay_within_their_sizes_in_the_budget() -> None:
    def size(count: int) -> int:
        entries = tuple(
            UsageEntry(f"{4096 + n:016x}/{1_700_000_000_000 + 37 * n}", 9, 7.0) for n in range(count)
        )
        return len(encode("zagreb", "g17", 1 << 60, UsageMessage(9, False, True, entries)))

    assert (size(MAX_ENTRIES_PER_MESSAGE) - size(0)) / MAX_ENTRIES_PER_MESSAGE <= direct_messages.ENTRY_BYTES
    assert size(0) <= direct_messages.HEADER_BYTES and size(MAX_ENTRIES_PER_MESSAGE) <= 1_400


@pytest.mark.parametrize("spread", [3, 30])
def test_the_budget_holds_and_usage_that_lags_behind_is_not_known(spread: int) -> None:
    network = DirectMessageNetwork(60, 2, budget_bytes_per_s=1_000.0)
    network.run(8.0)
    before, started_at = network.messengers["g0"].sent_bytes, network.now
    for n in range(400):  # far more rows than the budget covers
        for account in range(5):
            network.admit("g0", f"a{n % 40}{account}", 5.0, spread, PLAN)
        network.run(0.05)
    messenger = network.messengers["g0"]
    # A quarter of a second's budget accumulates, and the last message may exceed it by its full size.
    assert messenger.sent_bytes - before <= 1_000.0 * (network.now - started_at + 0.25) + 64 * 18 + 48
    assert (
        messenger.pending_count
        == sum(map(len, messenger.pending.values()))
        <= direct_messages.MAX_PENDING_ENTRIES
    )
    assert messenger.pending_count and network.known_gateways("g1", 3) < 2
    network.run(60.0, lambda: network.known_gateways("g1", 3) == 2 and not messenger.pending_count)
    assert network.known_gateways("g1", 3) == 2 and not messenger.pending_count


def test_pending_and_reported_windows_are_bounded_and_dropped_ones_are_requested(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(direct_messages, "MAX_PENDING_ENTRIES", 50)
    monkeypatch.setattr(direct_messages, "MAX_REPORTED_WINDOWS", 40)
    network = settled(6)
    for n in range(300):
        network.admit("g0", f"a{n}", 5.0)
    messenger = network.messengers["g0"]
    messenger.queue_changed_windows(network.now)
    assert (
        messenger.pending_count <= 50 and messenger.dropped_batches and len(messenger.reported_windows) == 40
    )
    network.run(10.0)
    assert network.units_of_peers("g1", "a299") == 5.0 == network.units_of_peers("g1", "a290")
    assert (
        len(Replica().rules) == len(DEFAULT_KIND_RULES) and DEFAULT_KIND_RULES[RowKind.USE].max_rows <= 8_000
    )


# --- unreported usage -------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "plan", [PLAN, Plan("short", rate_per_s=8.0, burst_units=2.0), Plan("long", 1.0, 0.1, 30.0)]
)
def test_half_of_the_allowance_in_each_window_empties_no_token_bucket(plan: Plan) -> None:
    """Usage up to half of a window's allowance need not be reported, as it can't empty a token bucket. The
    worst case is all of it at the end of one window and again at the start of the next, in every pair of
    windows."""
    tokens, last_use_s = plan.burst_units, 0.0
    for window in range(50):
        # Uses fall on the start of even windows and the end of odd ones.
        use_s = (window + window % 2) * window_length_ms(plan) / 1000.0
        tokens = min(
            plan.burst_units, tokens + plan.rate_per_s * (use_s - last_use_s)
        ) - 2.0 * REPORTED_SHARE * window_allowance_units(plan)
        last_use_s = use_s
        assert tokens >= -1e-9


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from((0.5, 1.0, 3.0))), max_size=30))
def test_once_half_of_an_allowance_is_used_all_usage_is_reported(requests: list[tuple[int, float]]) -> None:
    network = settled(8)
    admitted = [0.0] * 3
    for number, units in requests:
        network.admit(f"g{number}", "a", units, 3, PLAN)
        admitted[number] += units
    network.run(1.0)
    for number in range(3):
        known, others = network.units_of_peers(f"g{number}", "a"), sum(admitted) - admitted[number]
        assert known <= others
        if sum(admitted) >= 2.0 * REPORTED_SHARE * window_allowance_units(PLAN):
            assert known == others
        assert others - known <= REPORTED_SHARE * window_allowance_units(PLAN)


def test_usage_far_below_the_limit_is_not_reported() -> None:
    network = settled(8)
    network.sent_entry_counts.clear()
    for number in range(3):
        network.admit(f"g{number}", "a", 1.0, 3, PLAN)
    network.run(1.0)
    assert not sum(network.sent_entry_counts.values())


# --- lost messages -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("lose", [0.1, 0.4])
def test_lost_messages_are_requested_again(lose: float) -> None:
    network = settled(10)
    network.loss = lose
    for n in range(60):
        network.admit(f"g{n % 3}", f"a{n % 7}", 1.0, 3)
        network.run(0.02)
    expected = {(name, f"a{a}"): sum(n % 7 == a and f"g{n % 3}" != name for n in range(60))
            for name in ("g0", "g1", "g2") for a in range(7)}  # fmt: skip
    assert (
        network.run(
            15.0,
            lambda: all(
                network.units_of_peers(*name_and_account) == units
                for name_and_account, units in expected.items()
            ),
        )
        < 15.0
    )


def test_a_partition_between_two_members_alone_is_detected_and_caught_up_after() -> None:
    """The other members reach both, so membership keeps them alive; only missing messages show the
    partition."""
    network = settled(8)
    network.cut = lambda sender, to: {sender, to} == {"g0", "g1"}
    network.admit("g0", "a", 5.0)
    network.run(2.0)
    assert network.units_of_peers("g1", "a") == 0.0 and network.units_of_peers("g2", "a") == 5.0
    assert network.known_gateways("g1", 3) < 2 and network.known_gateways("g0", 3) < 2
    network.cut = lambda sender, to: False
    assert (
        network.run(
            5.0, lambda: network.units_of_peers("g1", "a") == 5.0 and network.known_gateways("g1", 3) == 2
        )
        < 5.0
    )


def test_one_lost_message_makes_usage_unknown() -> None:
    network = settled(8)
    network.cut = lambda sender, to: (sender, to) == ("g0", "g1")
    network.admit("g0", "a", 5.0)
    network.run(0.05)
    network.cut = lambda sender, to: to == "g0"  # requests to g0 are lost
    network.admit("g0", "b", 5.0)
    network.run(2.0)
    assert (
        network.units_of_peers("g1", "b") == 5.0
        and network.units_of_peers("g1", "a") == 0.0
        and network.known_gateways("g1", 3) < 2
    )
    network.cut = lambda sender, to: False
    network.run(3.0)
    assert network.units_of_peers("g1", "a") == 5.0


def test_a_restarted_member_gets_all_usage_including_its_predecessors() -> None:
    network = settled(8)
    network.admit("g0", "a", 5.0)
    network.admit("g1", "a", 4.0)
    network.admit("g2", "a", 3.0)
    network.run(0.5)
    network.restart("g1")
    assert network.known_gateways("g1", 3) == 0
    assert network.run(5.0, lambda: network.known_gateways("g1", 3) == 2) < 5.0
    # The predecessor's 4 units count once, though two members report them.
    assert network.units_of_peers("g1", "a") == 5.0 + 4.0 + 3.0
    network.admit("g1", "a", 1.0)
    network.run(0.5)
    assert network.units_of_peers("g0", "a") == 4.0 + 1.0 + 3.0  # g1 has two writers


def test_a_dead_member_is_sent_nothing_and_gets_all_usage_on_its_return() -> None:
    network = settled(8)
    network.dead.add("g1")
    network.cut = lambda sender, to: "g1" in (sender, to)
    network.sent_entry_counts.clear()
    network.admit("g0", "a", 5.0)
    network.run(1.0)
    assert not network.sent_entry_counts["g0", "g1"] and network.known_gateways("g0", 3) < 2
    network.dead.clear()
    network.cut = lambda sender, to: False
    assert (
        network.run(
            5.0, lambda: network.units_of_peers("g1", "a") == 5.0 and network.known_gateways("g0", 3) == 2
        )
        < 5.0
    )


def test_late_repeated_or_foreign_messages_add_no_usage() -> None:
    usage, replica = AccountUsage("g1#2"), Replica()
    names = ["g0", "g1", "g2"]
    ring = GatewayRing("g1", names, gateway_numbers(dict.fromkeys(names)), 3)
    messenger = DirectMessenger(usage, replica, ring, lambda name: True, random.Random(1))
    first, second = (
        UsageMessage(5, True, True, (UsageEntry("a/0", 1, 2.0),)),
        UsageMessage(6, False, True, (UsageEntry("a/0", 2, 3.0),)),
    )
    for message in (first, second, first, second, second):
        messenger.receive(1.0, "g0", 7, message)
    assert usage.admitted_by_peers("a", 0.0) == 3.0
    # The entry names this process itself as its writer.
    messenger.receive(1.0, "g0", 7, UsageMessage(7, False, True, (UsageEntry("a/0", 9, 50.0, boot=2),)))
    assert replica.get(RowKind.USE, "a/0", "g1#2") is None
    # The entry's writer is this process' predecessor.
    messenger.receive(1.0, "g0", 7, UsageMessage(8, False, True, (UsageEntry("a/0", 1, 4.0, boot=1),)))
    assert usage.admitted_by_peers("a", 0.0) == 7.0
    messenger.receive(
        1.0,
        "g0",
        7,
        UsageMessage(9, False, True, (UsageEntry("", 1, 4.0), UsageEntry("a/0", 3, float("nan")))),
    )
    assert usage.admitted_by_peers("a", 0.0) == 7.0 and replica.rejected_count == 2
    # The version is known, but with other units.
    messenger.receive(1.0, "g0", 7, UsageMessage(9, False, True, (UsageEntry("a/0", 2, 9.0),)))
    assert replica.conflict_count == 1 and usage.admitted_by_peers("a", 0.0) == 13.0


def test_a_member_that_invents_usage_can_not_exhaust_memory() -> None:
    network = settled(8)
    messenger = network.messengers["g1"]
    for n in range(12_000):
        entries = (UsageEntry("a/0", 1, 1.0, boot=n + 5), UsageEntry(f"{n}/0", 1, 1.0))
        messenger.receive(network.now, ("g0", "g2")[n % 2], 1, UsageMessage(7 * n, n % 4 < 2, True, entries))
    assert len(messenger.replica.keys_by_age[RowKind.USE]) <= DEFAULT_KIND_RULES[RowKind.USE].max_rows
    assert len(messenger.usage.units_by_writer) == len(messenger.usage.peer_units) <= MAX_WINDOWS
    assert (
        len(messenger.usage.units_by_writer["a/0"])
        == MAX_WRITERS_PER_WINDOW
        == messenger.usage.admitted_by_peers("a", 0.0)
    )
    assert len(messenger.channels) <= 7 and len(messenger.request_round) <= 2 * 7 + 1


def test_the_request_rate_is_bounded_however_many_members_there_are() -> None:
    for count, spread in ((8, 8), (300, 300)):
        network = DirectMessageNetwork(count, 1)
        messenger = network.messengers["g0"]
        messenger.known_gateways(0.0, spread)
        request_count = sum(len(messenger.tick(0.025 * n)) for n in range(400))
        assert request_count <= 10.0 * MAX_REQUESTS_PER_S + 5


class Clock:
    """A replacement for the event loop that only keeps the time."""

    now = 0.0

    def time(self) -> float:
        return self.now

    def call_later(self, *later: object) -> None:
        self.now += TICK_S


def test_a_tick_without_changes_does_not_list_the_members(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[int] = []
    original = MemberList.alive_names

    def counting_alive_names(self: MemberList) -> list[str]:
        calls.append(1)
        return original(self)

    monkeypatch.setattr(MemberList, "alive_names", counting_alive_names)
    rows = [{"name": f"g{n}", "address": f"127.0.0.1:{7000 + n}"} for n in range(1, 520)]
    fleet_config = {"fleet": "lab", "name": "g0", "listen": "127.0.0.1:7000", "members": rows}
    policy_settings = Settings("a", 520, (), (), SlowStart())
    node = MemberNode(fleet_config, Clock(), DecisionEngine(policy_settings, 1), policy_settings, 1)  # type: ignore[arg-type]
    probes = [
        SwimMessage(Probes.ACK, n, "", (MemberUpdate(f"g{n}", MemberState.ALIVE, 0, n),)) for n in (1, 2)
    ]
    for n, probe in enumerate(probes, 1):
        calls.clear()
        for _ in range(3):
            node.tick()
        assert len(calls) <= 1 and len(node.alive) == n - 1
        node.datagram_received(encode("lab", f"g{n}", n, probe), ("127.0.0.1", 7000 + n))
        node.tick()
        assert node.alive == [f"g{m}" for m in range(1, n + 1)]


@pytest.mark.parametrize(
    ("name", "number", "configured", "numbered"),
    [
        ("g0", 0, None, True), ("g0", None, None, True), ("g0", 3, None, False),
        ("g0", 3, 3, True), ("g0", 3, 4, False), ("edge", 3, 3, True), ("edge", 3, None, False),
    ],
)  # fmt: skip
def test_numbers_that_differ_from_the_platforms_are_not_used(
    name: str, number: int | None, configured: int | None, numbered: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against wrong numbers, with which the other gateways of an account would get no usage from this
    one and count it as idle."""
    rows: list[dict[str, object]] = [
        {"name": f"g{n}", "address": f"127.0.0.1:{7000 + n}"} for n in range(10, 19)
    ]
    fleet_config: dict[str, object] = {
        "fleet": "lab",
        "name": name,
        "listen": "127.0.0.1:7000",
        "members": rows,
    }
    if configured is not None:
        fleet_config["number"] = configured
        for n, row in enumerate(rows, 10):
            row["number"] = n
    policy_settings = Settings("a", 20, (), (), SlowStart())
    engine = DecisionEngine(policy_settings, 1)
    node = MemberNode(fleet_config, Clock(), engine, policy_settings, 1, number)  # type: ignore[arg-type]
    assert bool(node.messenger.ring.offsets) is numbered
    if not numbered:
        assert node.messenger.ring.subset_candidates(3) == tuple(f"g{n}" for n in range(10, 19))
    is_logged = (name != "edge" and not numbered) or (number, configured) == (3, 4)
    assert ("numbers.foreign" in caplog.text) is is_logged


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
def test_member_numbers_in_the_operators_file_are_checked(text: str, codes: list[str]) -> None:
    assert [finding.code for finding in parse(text, None).findings] == codes
