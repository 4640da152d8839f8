"""Replicas: merging is a CRDT join, replicas converge whatever the network does, bounds hold."""

from __future__ import annotations

import itertools
import math
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.membership.direct_messages import (
    MAX_ENTRIES_PER_MESSAGE,
    UsageEntry,
    UsageMessage,
    UsageRequest,
)
from glenchute.policy.membership.endpoint_sharing import (
    MAX_ROWS_PER_PART,
    EndpointListPart,
    SharedEndpoint,
    VersionQuery,
    VersionReply,
)
from glenchute.policy.membership.gossip import (
    MAX_ROW_HASHES,
    Delta,
    Digest,
    LeafRequest,
    MatchingBuckets,
    RowHashes,
)
from glenchute.policy.membership.leases import Ballot, LeaseMessage, LeaseMessageKind
from glenchute.policy.membership.members import MemberState, MemberUpdate, SwimMessage, SwimMessageKind
from glenchute.policy.membership.replica import (
    DEFAULT_KIND_RULES,
    PER_PROCESS_KINDS,
    KindRules,
    Replica,
    Row,
    RowKind,
)
from glenchute.policy.membership.usage import AccountUsage, known_usage_share
from glenchute.protocol.member_datagrams import (
    MAX_DATAGRAM_BYTES,
    VERSION,
    InvalidDatagram,
    MemberMessage,
    Packet,
    decode,
    encode,
)
from lab.fleet.simulated_networks import GossipNetwork, cut_off, rows_of

ROWS = st.builds(
    lambda kind, key, writer, *rest: Row(kind, key, writer if kind in PER_PROCESS_KINDS else "", *rest),
    st.sampled_from(RowKind),
    st.sampled_from("ab"),
    st.sampled_from("xy"),
    st.integers(0, 3),
    st.sampled_from((0.0, 1.0, 2.0, 7.5)),
)


def merged(rows: list[Row]) -> Replica:
    replica = Replica()
    for row in rows:
        replica.merge(0.0, row)
    return replica


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(ROWS, max_size=12), st.randoms(use_true_random=False))
def test_merging_is_commutative_associative_and_idempotent(rows: list[Row], rng: random.Random) -> None:
    once = merged(rows)
    shuffled = rows + rng.sample(rows, len(rows) // 2)
    rng.shuffle(shuffled)
    assert rows_of(merged(shuffled)) == rows_of(once)
    middle = len(rows) // 2
    halves = [*rows_of(merged(rows[:middle])), *rows_of(merged(rows[middle:]))]
    assert rows_of(merged(halves)) == rows_of(once)
    assert merged(shuffled).child_hashes(0.0, None) == once.child_hashes(0.0, None)


def test_two_values_of_one_version_are_a_conflict_won_by_the_safe_value() -> None:
    for rows in itertools.permutations(
        [Row(RowKind.USE, "a/0", "g1#1", 4, units) for units in (3.0, 8.0, 5.0)]
    ):
        replica = merged(list(rows) * 2)
        assert rows_of(replica) == {Row(RowKind.USE, "a/0", "g1#1", 4, 8.0)}
        assert replica.conflict_count >= 2 and all(
            c.retained.value > c.discarded.value for c in replica.conflicts
        )
    drains = merged([Row(RowKind.SERVER, "s1", "", 9, 1.0), Row(RowKind.SERVER, "s1", "", 9, 2.0)])
    assert rows_of(drains) == {Row(RowKind.SERVER, "s1", "", 9, 2.0)}


@pytest.mark.parametrize(
    "row",
    [
        Row(RowKind.USE, "", "w", 1, 1.0),
        Row(RowKind.USE, "k" * 99, "w", 1, 1.0),
        Row(RowKind.USE, "k", "", 1, 1.0),
        Row(RowKind.SERVER, "k", "w", 1, 1.0),
        Row(RowKind.USE, "k", "w", -1, 1.0),
        Row(RowKind.USE, "k", "w", 1, -1),
        Row(RowKind.USE, "k", "w", 1, float("nan")),
        Row(RowKind.USE, "k", "w", 1, float("inf")),
    ],
)
def test_invalid_rows_are_counted_and_rejected(row: Row) -> None:
    replica = merged([row])
    assert not replica.rows and replica.rejected_count == 1


def test_a_full_replica_evicts_rows_unchanged_for_longest_and_old_rows_do_not_return() -> None:
    replica = Replica({RowKind.USE: KindRules(10.0, 3), RowKind.SERVER: DEFAULT_KIND_RULES[RowKind.SERVER]})
    for number in range(5):
        replica.merge(float(number), Row(RowKind.USE, f"k{number}", "w", 1, 1.0))
    assert {row.key for row in rows_of(replica)} == {"k2", "k3", "k4"} and replica.evicted_counts[
        RowKind.USE
    ] == 2
    assert sum(map(len, replica.leaves.values())) == 3
    for version in range(2, 9000):  # the deadlines of replaced versions are bounded
        replica.merge(5.0, Row(RowKind.USE, "k4", "w", version, 1.0))
    assert len(replica.comparison_deadlines) < 2000
    # At 13.5 s the rows are too old to be compared.
    assert replica.child_hashes(5.0, None) != replica.child_hashes(13.5, None) == (0,) * 64
    replica.expire(20.0)
    assert not replica.rows and not replica.leaves and not replica.keys_by_age[RowKind.USE]
    assert not replica.merge(20.0, Row(RowKind.USE, "k", "w", 1, 1.0), age_s=10.0)


@pytest.mark.parametrize(("count", "loss"), [(2, 0.0), (5, 0.3), (40, 0.1)])
def test_replicas_converge_and_become_complete(count: int, loss: float) -> None:
    network = GossipNetwork(count, 3, loss)
    assert network.run(10.0, network.are_complete) < 10.0
    network.publish_rows(3)
    assert network.run(12.0, network.are_equal) < 12.0


def test_partitioned_halves_converge_after_the_partition() -> None:
    network = GossipNetwork(10, 4)
    network.run(3.0)
    half = set(network.names[:4])
    network.cut = cut_off(half)
    network.publish_rows(20)
    network.run(4.0)
    assert not network.are_equal()
    network.cut = lambda sender, to: False
    assert network.run(8.0, network.are_equal) < 8.0


def test_a_restarted_member_catches_up_from_another_when_its_first_source_dies() -> None:
    network = GossipNetwork(4, 5, row_count=2000)
    network.run(2.0)
    network.restart("g0")
    network.run(0.3)
    assert 0 < len(network.gossips["g0"].replica.rows) < 2000 and not network.gossips["g0"].is_complete
    network.is_alive["g1"] = network.is_alive["g2"] = False
    assert network.run(15.0, lambda: network.gossips["g0"].is_complete) < 15.0
    assert len(network.gossips["g0"].replica.rows) == 2000


def test_many_restarts_at_once_do_not_make_the_others_exceed_their_budget() -> None:
    network = GossipNetwork(12, 6, row_count=400)
    network.run(3.0)
    running_names = network.names[:4]
    for name in network.names[4:]:
        network.restart(name)
    before = {name: network.gossips[name].sent_bytes for name in running_names}
    assert network.run(20.0, network.are_complete) < 20.0
    assert network.are_equal()
    elapsed_s = network.now - 3.0
    for name in running_names:
        node = network.gossips[name]
        assert node.sent_bytes - before[name] <= node.settings.budget_bytes_per_s * (elapsed_s + 0.25) + 4096


def test_drains_spread_even_if_digests_match_by_chance(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Replica, "differing_children", lambda self, now, bucket, theirs: [])
    network = GossipNetwork(3, 7)
    network.gossips["g0"].replica.merge(0.0, Row(RowKind.SERVER, "s1", "", 5, 2.0))
    network.gossips["g0"].replica.merge(0.0, Row(RowKind.HEALTH, "a/0", "g0#1", 1, 1.0))
    network.run(4.0)
    assert all(node.replica.get(RowKind.SERVER, "s1") for node in network.gossips.values())
    # Other rows are not repeated.
    assert network.gossips["g1"].replica.get(RowKind.HEALTH, "a/0", "g0#1") is None


def last_value_wins(self: Replica, now: float, row: Row, age_s: float = 0.0, sender: str = "") -> bool:
    """Injects a bug: of two values of one version the last merged one wins."""
    stored = self.rows.get((row.kind, row.key, row.writer))
    if stored is not None and row.version == stored.row.version and row.value != stored.row.value:
        self.rows.pop((row.kind, row.key, row.writer))
        del self.keys_by_age[row.kind][row.kind, row.key, row.writer]
    return ORIGINAL_MERGE(self, now, row, age_s, sender)


def last_row_wins(self: Replica, now: float, row: Row, age_s: float = 0.0, sender: str = "") -> bool:
    """Injects a bug: the last merged row wins, whatever its version."""
    row_key = (row.kind, row.key, row.writer)
    if row_key in self.rows:
        self.rows.pop(row_key)
        del self.keys_by_age[row.kind][row_key]
    return ORIGINAL_MERGE(self, now, row, age_s, sender)


ORIGINAL_MERGE = Replica.merge


@pytest.mark.parametrize("bug", [last_value_wins, last_row_wins])
def test_an_injected_bug_in_merging_is_found(bug: object, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Replica, "merge", bug)
    with pytest.raises(AssertionError):
        test_merging_is_commutative_associative_and_idempotent()


@pytest.mark.parametrize(
    "body",
    [
        SwimMessage(SwimMessageKind.PING_REQ, 4, "g2", (MemberUpdate("g1", MemberState.SUSPECT, 3, 7),)),
        Delta(((Row(RowKind.USE, "a", "b", 1, 2.0), 9),)),
        Digest(-1, (0, (1 << 64) - 1) * 32, True),
        LeafRequest(3, (1, 2)),
        MatchingBuckets((1, 5), False),
        RowHashes(tuple(range(1 << 31, (1 << 31) + MAX_ROW_HASHES)), True),
        VersionReply(1, 2, 3),
        VersionQuery(4, -1),
        EndpointListPart(
            1, 5, 0, 2, (SharedEndpoint(5, "s0", "127.0.0.1:80", "a", 1, 1.0, 0.0, 1),) * MAX_ROWS_PER_PART
        ),
        LeaseMessage(LeaseMessageKind.PROPOSE, "task", Ballot(7, "g1", 9), Ballot(6, "g2", 8), 3.5),
        UsageRequest(-1),
        UsageMessage(
            1 << 40, True, False, (UsageEntry(f"{4242:016x}/170", 1, 0.125), UsageEntry("a/b/5", 9, 2e6, 7))
        ),
        UsageMessage(
            3, False, True, (UsageEntry(f"{'f' * 16}/17", 1 << 40, 1e9, 1 << 62),) * MAX_ENTRIES_PER_MESSAGE
        ),
    ],
)
def test_datagrams_round_trip_and_corrupted_ones_raise_no_other_error(body: MemberMessage) -> None:
    data = encode("lab", "g1", 7, body)
    assert decode("lab", data) == ("g1", 7, body) and len(data) <= MAX_DATAGRAM_BYTES
    rng = random.Random(1)
    for position in range(len(data)):
        flipped = bytearray(data)
        flipped[position] ^= 1 << rng.randrange(8)
        for corrupted in (data[:position], bytes(flipped)):
            try:
                decode("lab", corrupted)
            except InvalidDatagram:
                continue


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (random.Random(1).randbytes(65_000), "too long"),
        (random.Random(2).randbytes(900), "noise"),
        (encode("other", "g1", 1, LeafRequest(0, ())), "fleet"),
        (encode("lab", "", 1, LeafRequest(0, ())), "name"),
        (msgspec.msgpack.encode(Packet(VERSION + 1, "lab", "g1", 1, 3, msgspec.Raw(b"\x90"))), "version"),
        (msgspec.msgpack.encode(Packet(VERSION, "lab", "g1", 1, 9, msgspec.Raw(b"\x90"))), "body"),
        (encode("lab", "g1", 1, LeafRequest(0, tuple(range(300)))), "body"),
        (
            encode(
                "lab",
                "g1",
                1,
                EndpointListPart(1, 5, 0, 1, (SharedEndpoint(5, "s", "x", "a", 1, 1.0, 0.0, 1),)),
            ),
            "body",
        ),
        (
            encode(
                "lab",
                "g1",
                1,
                EndpointListPart(1, 5, 0, 1, (SharedEndpoint(5, "s", "", "a", 1, -1.0, 0.0, 1),)),
            ),
            "body",
        ),
        (
            encode(
                "lab",
                "g1",
                1,
                LeaseMessage(LeaseMessageKind.PROPOSE, "t", Ballot(7, "g", 9), span_s=math.nan),
            ),
            "body",
        ),
        (
            encode(
                "lab",
                "g1",
                1,
                UsageMessage(1, True, True, (UsageEntry("a/0", 1, 1.0),) * (MAX_ENTRIES_PER_MESSAGE + 1)),
            ),
            "body",
        ),
        (encode("lab", "g1", 1, UsageMessage(-1, True, True, ())), "body"),
        (encode("lab", "g1", 1, UsageMessage(1, True, True, (UsageEntry("a/0", 1, -1.0),))), "body"),
        (encode("lab", "g1", 1, UsageMessage(1, True, True, (UsageEntry("a" * 65 + "/0", 1, 1.0),))), "body"),
        (encode("lab", "g1", 1, UsageMessage(1, True, True, (UsageEntry("a/0", 1, 1.0, -3),))), "body"),
    ],
)
def test_foreign_datagrams_are_rejected_with_their_reason(data: bytes, reason: str) -> None:
    with pytest.raises(InvalidDatagram, match=reason):
        decode("lab", data)


def test_usage_is_kept_by_writer_and_window_and_a_predecessor_is_another_writer() -> None:
    usage = AccountUsage("g0#2")
    for row in (Row(RowKind.USE, "a/0", "g1#1", 1, 3.0), Row(RowKind.USE, "a/0", "g1#1", 2, 5.0),
                Row(RowKind.USE, "a/0", "g0#1", 4, 2.0), Row(RowKind.USE, "a/9", "g1#1", 1, 50.0),
                Row(RowKind.USE, "a/0", "g0#2", 1, 99.0)):  # fmt: skip
        usage.receive(row)
    assert usage.admitted_by_peers("a", 0.0) == 7.0
    assert [usage.add_admitted("a", 0.0, 1.5) for _ in range(2)][-1] == Row(
        RowKind.USE, "a/0", "g0#2", 2, 3.0
    )


@pytest.mark.parametrize(
    ("args", "share"),
    [
        ((True, 0, 4, 5, 0.1), 1.0),
        ((True, 0, 1, 5, 0.1), 0.4),
        ((False, 0, 4, 5, 0.1), 0.0),
        ((True, 4, 4, 5, 0.1), 0.0),
        ((True, 0, 4, 5, 1.5), 0.0),
        ((True, 0, 0, 1, 0.1), 0.0),
        ((True, 0, 9, 5, 0.1), 1.0),
    ],
)
def test_known_usage_share(args: tuple[bool, int, int, int, float], share: float) -> None:
    assert known_usage_share(*args) == pytest.approx(share)
