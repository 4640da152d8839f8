"""Guarantees of membership over a simulated network with loss, delay, partitions and paused processes."""

from __future__ import annotations

import random

import pytest

from glenchute.policy.membership import members as membership
from glenchute.policy.membership.members import (
    MAX_PIGGYBACKED_UPDATES,
    MemberList,
    MemberState,
    MemberUpdate,
    SwimMessage,
    SwimMessageKind,
    SwimSettings,
)
from lab.fleet.simulated_networks import TICK_S, SwimNetwork, cut_off


@pytest.mark.parametrize(("count", "lose", "within"), [(2, 0, 1), (5, 0.2, 4), (40, 0, 5), (100, 0.1, 12)])
def test_all_find_each_other(count: int, lose: float, within: float) -> None:
    net = SwimNetwork(count, 1, lose)
    assert net.run(within, net.all_participate) < within
    net.run(2.0)
    assert not net.declared_dead


@pytest.mark.parametrize("seed", range(4))
def test_only_a_member_that_stops_for_good_is_declared_dead_by_all(seed: int) -> None:
    net = SwimNetwork(20, seed, loss=0.05)
    net.run(5.0)
    net.stopped.add("g3")
    assert net.run(20.0, lambda: net.all_see("g3", MemberState.DEAD)) < 16.0
    assert {name for _, _, name in net.declared_dead} == {"g3"}


@pytest.mark.parametrize("seed", range(4))
def test_a_member_paused_for_two_seconds_is_suspected_but_not_declared_dead(seed: int) -> None:
    net = SwimNetwork(20, seed)
    net.run(5.0)
    net.stopped.add("g3")
    net.run(2.0)
    assert any(
        net.state_of("g3", observer) is MemberState.SUSPECT for observer in net.names if observer != "g3"
    )
    net.stopped.discard("g3")
    assert net.run(5.0, net.all_alive) < 5.0 and not net.declared_dead


def test_without_a_suspicion_timeout_a_pause_counts_as_death(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(MemberList, "suspicion_timeout_s", lambda self, member: 0.0)
    net = SwimNetwork(20, 0)
    net.run(5.0)
    net.stopped.add("g3")
    net.run(2.0)
    assert net.declared_dead


def test_a_one_way_partition_keeps_a_member_that_others_reach() -> None:
    net = SwimNetwork(10, 5)
    net.run(4.0)
    # g0 gets nothing from g1, but g1 gets g0's messages.
    net.cut = lambda sender, to: (sender, to) == ("g1", "g0")
    net.run(20.0)
    assert not net.declared_dead


def test_without_indirect_probes_a_one_way_partition_makes_a_member_suspected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(membership, "INDIRECT_PROBES", 0)
    net = SwimNetwork(10, 5)
    net.run(4.0)
    net.cut = lambda sender, to: (sender, to) == ("g1", "g0")
    net.run(20.0, lambda: net.members["g1"].incarnation > 0)
    assert net.members["g1"].incarnation > 0  # it had to refute a suspicion


def test_partitioned_halves_declare_each_other_dead_and_rejoin() -> None:
    net = SwimNetwork(11, 6)
    net.run(4.0)
    half = set(net.names[:5])
    net.cut = cut_off(half)
    net.run(25.0)
    assert net.state_of("g9", "g0") is MemberState.DEAD and net.state_of("g0", "g9") is MemberState.DEAD
    net.cut = lambda sender, to: False
    assert net.run(20.0, net.all_alive) < 20.0


def test_a_process_that_starts_under_a_known_name_takes_it_over() -> None:
    net = SwimNetwork(8, 7)
    net.run(4.0)
    net.members["g2"].incarnation = 7  # as after many refutations
    net.members["g2"].queue_update("g2")
    net.run(3.0)
    old_boot = net.members["g2"].boot
    net.restart("g2")

    def boots() -> set[int]:
        return {net.members[observer].members["g2"].boot for observer in net.names if observer != "g2"}

    assert net.run(8.0, lambda: boots() == {net.members["g2"].boot}) < 8.0
    assert old_boot not in boots() and net.members["g2"].incarnation > 7


def test_two_processes_under_one_name_are_detected_and_cost_one_message_per_period() -> None:
    net = SwimNetwork(6, 8)
    net.run(4.0)
    duplicate = net.make_member("g2")
    before = net.members["g2"].incarnation
    for _ in range(100):
        net.now += TICK_S
        for to in net.names:
            if to != "g2":
                ping = SwimMessage(SwimMessageKind.PING, 1, "", (duplicate.update_for("g2"),))
                net.send(to, net.members[to].receive(net.now, "g2", duplicate.boot, ping))
        duplicate.apply_update(net.now, "g0", net.members["g0"].update_for("g2"))
        net.now -= TICK_S
        net.run(TICK_S)
    assert sum(net.members[n].name_conflicts.get("g2", 0) for n in net.names) > 0
    assert net.members["g2"].incarnation - before <= 100 * TICK_S / SwimSettings().period_s + 2


def test_a_leave_is_announced_and_raises_no_suspicion() -> None:
    net = SwimNetwork(12, 9)
    net.run(4.0)
    net.send("g4", net.members["g4"].leave(net.now))
    assert net.run(4.0, lambda: net.all_see("g4", MemberState.LEFT)) < 4.0
    assert not net.declared_dead


def test_the_message_rate_stays_bounded_while_members_fail() -> None:
    net = SwimNetwork(30, 10)
    net.run(6.0)
    baseline = sum(net.sent_counts.values())
    net.run(6.0)
    baseline = sum(net.sent_counts.values()) - baseline
    net.stopped |= set(net.names[:10])
    before = sum(net.sent_counts.values())
    net.run(6.0)
    # Indirect probes are added, without a message storm.
    assert sum(net.sent_counts.values()) - before < 2.5 * baseline
    assert net.max_updates <= MAX_PIGGYBACKED_UPDATES


def test_members_that_are_not_configured_are_ignored() -> None:
    node = MemberList("g0", 1, ["g0", "g1"], SwimSettings(), random.Random(1))
    updates = (MemberUpdate("g1", MemberState.ALIVE, 0, 5), MemberUpdate("stranger", MemberState.ALIVE, 9, 9))
    assert node.receive(0.1, "stranger", 9, SwimMessage(SwimMessageKind.PING, 1, "", updates)) == []
    assert node.receive(0.1, "g1", 5, SwimMessage(SwimMessageKind.PING, 1, "", updates))
    assert set(node.members) == {"g1"} and node.members["g1"].state is MemberState.ALIVE


def test_a_resumed_process_blames_its_own_pause_first() -> None:
    net = SwimNetwork(6, 11)
    net.run(4.0)
    net.stopped.add("g0")
    net.run(1.9)
    net.stopped.discard("g0")
    net.now += 4.0  # worst case: all others advanced while g0 was paused
    net.members["g0"].tick(net.now)
    assert net.members["g0"].local_health > 0
    assert all(m.state is not MemberState.DEAD for m in net.members["g0"].members.values())
