"""The simulated site with members: the rules hold over seeds, and the overshoot of quotas is bounded."""

from __future__ import annotations

from typing import Any

import pytest

from glenchute.policy.admission.quota_bounds import members_overshoot_units
from glenchute.policy.membership.gossip import Gossip
from glenchute.policy.membership.usage import AccountUsage
from lab.sim.members import MEMBER_KINDS, MembersWorld, run_without_counter
from lab.sim.swarm import draw_script, find_failure


def test_the_rules_hold_among_members_over_seeds() -> None:
    for seed in range(300, 314):
        failure = find_failure(draw_script(seed, MEMBER_KINDS), make_world=MembersWorld)
        assert failure is None, failure


CASES = [(3, 10.0), (10, 12.0), (40, 20.0)]


@pytest.mark.parametrize(("gateways", "rate"), CASES)
@pytest.mark.parametrize("split", [False, True])
def test_quotas_hold_by_members_words_and_are_used(gateways: int, rate: float, split: bool) -> None:
    over, served = run_without_counter(1, gateways, rate, split, True)
    assert over <= min(members_overshoot_units(rate, gateways, 1.0, split), 20.0) and served >= 0.85


def test_without_members_a_large_fleet_passes_a_quota_by_more() -> None:
    assert (
        run_without_counter(1, 40, 20.0, False, False)[0]
        > 3.0 * run_without_counter(1, 40, 20.0, False, True)[0]
    )


def reports_ignored(patch: pytest.MonkeyPatch) -> None:
    """The usage that other members report is ignored."""
    patch.setattr(AccountUsage, "receive", lambda self, row: None)


def late_reports_dropped(patch: pytest.MonkeyPatch) -> None:
    """Late reports for an earlier window are dropped. It takes ten gateways to see this, as each of them then
    reports seldom."""
    original = AccountUsage.admitted_by_peers
    newest_window_ms: dict[str, float] = {}

    def admitted_by_peers(self: AccountUsage, customer: str, window_ms: float) -> float:
        newest = max(newest_window_ms.get(customer, 0.0), window_ms)
        newest_window_ms[customer] = newest
        return original(self, customer, window_ms) if window_ms == newest else 0.0

    patch.setattr(AccountUsage, "admitted_by_peers", admitted_by_peers)


def partial_copy_trusted(patch: pytest.MonkeyPatch) -> None:
    """Each half of a partitioned fleet takes the usage that it knows for the usage of the whole fleet."""
    patch.setattr("lab.sim.members.known_usage_share", lambda *args: 1.0)


@pytest.mark.parametrize(
    ("bug", "split", "most"),
    [(reports_ignored, False, 14.8), (late_reports_dropped, False, 5.0), (partial_copy_trusted, True, 5.0)],
)
def test_a_bug_that_was_put_in_is_found(
    bug: Any, split: bool, most: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert run_without_counter(1, 10, 12.0, split, True)[0] <= most
    bug(monkeypatch)
    assert run_without_counter(1, 10, 12.0, split, True)[0] > most


def test_a_copy_that_is_not_whole_lends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gossip, "has_matched_all", lambda self, alive: False)
    without_members, with_members = (
        run_without_counter(1, 10, 12.0, False, False),
        run_without_counter(1, 10, 12.0, False, True),
    )
    # Gateways use equal shares as without members, which reported usage only lowers.
    assert with_members[0] <= without_members[0] + 0.5
