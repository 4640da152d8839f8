"""Cold servers are not overloaded by the sum of what all gateways send them.

The bound in each overload window is N + 2 sqrt(N) + 2 requests, where N follows from the settings.
"""

from __future__ import annotations

import pytest

from lab.sim.cold import LENGTH_MS, SITES, Case, Cold, drawn, pressed

SITE = SITES["zagreb, depot"]  # the site with the smallest allowance


@pytest.mark.parametrize(("gateways", "seeds"), [(20, 4), (30, 4), (200, 1)])
@pytest.mark.parametrize("uneven", [1.0, 10.0])
def test_all_turns_together_stay_within_the_budget(gateways: int, seeds: int, uneven: float) -> None:
    """Every gateway sends whenever it may, and all at once after a lull.

    Gateways learn of the server at different times, and some restart meanwhile.
    """
    for seed in range(seeds):
        rows = pressed(seed, Case(gateways, 1, SITE, uneven=uneven))
        assert max(row.ratio for row in rows) < 1.0, max(rows)
        assert max(row.requests / row.allowed for row in rows) > 0.3  # the allowance is used


MILD = drawn(2, 30, 11, SITE)
HARD = Case(20, 11, SITE, spread=0.2, load=0.7, burst=(2.0, 2.0))


@pytest.mark.parametrize(("seed", "case"), [(2, MILD), (0, HARD)], ids=["mild", "full"])
def test_servers_that_come_under_a_burst_do_not_fall(seed: int, case: Case) -> None:
    """Servers join or return cold during a burst.

    Gateways learn of them one after the other, and some gateways restart.
    """
    world = Cold(seed, case)
    world.run(LENGTH_MS)
    windows, overloads = world.judged()
    assert not overloads, overloads
    assert len(world.came) >= 4 and world.restarts
    assert max(row.requests for row in windows) >= 8  # cold servers received requests
