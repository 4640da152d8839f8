"""The simulated site with members: the rules hold over seeds, and quotas stay within the stated bound."""

from __future__ import annotations

from typing import Any

import pytest

from glenchute.policy.admission.quota_bounds import members_overshoot_units
from glenchute.policy.membership.gossip import Gossip
from glenchute.policy.membership.usage import AccountUsage
from lab.sim.members import OF_MEMBERS, MembersWorld, mute_run
from lab.sim.swarm import draw_script, find_failure


def test_the_rules_hold_among_members_over_seeds() -> None:
    for seed in range(300, 314):
        failure = find_failure(draw_script(seed, OF_MEMBERS), make_world=MembersWorld)
        assert failure is None, failure


CASES = [(3, 10.0), (10, 12.0), (40, 20.0)]


@pytest.mark.parametrize(("gateways", "rate"), CASES)
@pytest.mark.parametrize("split", [False, True])
def test_quotas_hold_by_members_words_and_are_used(gateways: int, rate: float, split: bool) -> None:
    over, served = mute_run(1, gateways, rate, split, True)
    assert over <= min(members_overshoot_units(rate, gateways, 1.0, split), 20.0) and served >= 0.85


def test_without_members_a_large_fleet_passes_a_quota_by_more() -> None:
    assert mute_run(1, 40, 20.0, False, False)[0] > 3.0 * mute_run(1, 40, 20.0, False, True)[0]


def reports_ignored(patch: pytest.MonkeyPatch) -> None:
    """The usage that other members report is ignored."""
    patch.setattr(AccountUsage, "receive", lambda self, row: None)


def late_reports_dropped(patch: pytest.MonkeyPatch) -> None:
    """Late reports for an earlier window are dropped. Ten gateways show it, as each of them reports
    seldom."""
    original = AccountUsage.admitted_by_peers
    last: dict[str, float] = {}

    def by_others(self: AccountUsage, customer: str, window_ms: float) -> float:
        newest = max(last.get(customer, 0.0), window_ms)
        last[customer] = newest
        return original(self, customer, window_ms) if window_ms == newest else 0.0

    patch.setattr(AccountUsage, "admitted_by_peers", by_others)


def partial_copy_trusted(patch: pytest.MonkeyPatch) -> None:
    """Each half of a partitioned fleet takes its copy of the usage for the whole fleet's."""
    patch.setattr("lab.sim.members.known_usage_share", lambda *args: 1.0)


@pytest.mark.parametrize(
    ("bug", "split", "most"),
    [(reports_ignored, False, 14.8), (late_reports_dropped, False, 5.0), (partial_copy_trusted, True, 5.0)],
)
def test_a_bug_that_was_put_in_is_found(
    bug: Any, split: bool, most: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert mute_run(1, 10, 12.0, split, True)[0] <= most
    bug(monkeypatch)
    assert mute_run(1, 10, 12.0, split, True)[0] > most


def test_a_copy_that_is_not_whole_lends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gossip, "has_matched_all", lambda self, alive: False)
    alone, among = mute_run(1, 10, 12.0, False, False), mute_run(1, 10, 12.0, False, True)
    assert among[0] <= alone[0] + 0.5  # equal shares as without members; reported usage only tightens them
