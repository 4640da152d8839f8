"""The slow start of all gateways together keeps a cold server below its overload limit.

A cold server is overloaded by the work of more than n + 2 * sqrt(n) + 2 mean requests in one window, where n
follows from the slow start settings and the age of the server.
"""

from __future__ import annotations

import pytest

from lab.sim.cold import LENGTH_MS, SITES, Case, ColdStartWorld, draw_case, run_saturated

SITE = SITES["zagreb, depot"]  # has the smallest overload factor of the named sites


@pytest.mark.parametrize(("gateways", "seeds"), [(20, 4), (30, 4), (200, 1)])
@pytest.mark.parametrize("uneven", [1.0, 10.0])
def test_all_turns_together_stay_within_the_budget(gateways: int, seeds: int, uneven: float) -> None:
    """Every gateway sends whenever its slow start allows, and after pauses all send at once. They learn of
    the server at different times, and some are restarted."""
    for seed in range(seeds):
        rows = run_saturated(seed, Case(gateways, 1, SITE, peak_factor=uneven))
        assert max(row.ratio for row in rows) < 1.0, max(rows)
        assert max(row.requests / row.allowed for row in rows) > 0.3  # and the allowance is used


MILD = draw_case(2, 30, 11, SITE)
SEVERE = Case(20, 11, SITE, spread=0.2, load=0.7, burst=(2.0, 2.0))


@pytest.mark.parametrize(("seed", "case"), [(2, MILD), (0, SEVERE)], ids=["mild", "full"])
def test_servers_that_come_under_a_burst_do_not_fall(seed: int, case: Case) -> None:
    """Servers start or restart cold during a burst; gateways learn of them one after the other, and some
    gateways restart."""
    world = ColdStartWorld(seed, case)
    world.run(LENGTH_MS)
    windows, overloads = world.windows_and_overloads()
    assert not overloads, overloads
    assert len(world.arrivals) >= 4 and world.restarts
    assert max(row.requests for row in windows) >= 8  # cold servers got work
