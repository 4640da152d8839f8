"""Measures quota errors of many gateways with a working counter, and their causes, in simulated time.

    python -m benchmarks.quota_errors causes    # which exact input removes which error
    python -m benchmarks.quota_errors options   # other ways to keep the token bucket, for the same requests
    python -m benchmarks.quota_errors owed      # the main rows, where units over quota are charged as well

The decision engines are real. Each row has the units admitted over quota (as a fraction of the admitted
units), the requests rejected with half of the token bucket or more unused, those rejected though the bucket
held their units (as fractions of all requests), and the calls to the counter per request.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Iterable

from glenchute.policy.admission.ceiling import COUNTED_FRACTION
from lab.sim.counter_state_model import CounterStateModel, Scheme
from lab.sim.informed_quotas import EXACT
from lab.sim.quota_demand import SITES, Workload, generate_workload
from lab.sim.quota_ledger import QuotaLedger
from lab.sim.quotas import modified_quota_settings, run_workload

SEEDS = (1, 2)
GATEWAYS, SECONDS, REQUESTS_PER_S = 32, 20.0, 450.0
HEAD = "| {} | over quota | half unused | rejected in quota | calls |\n| --- | --- | --- | --- | --- |"


def row(name: str, ledger: QuotaLedger) -> str:
    """Returns a line of a table."""
    over_quota, half_unused, false_rejections, calls = ledger.ratios()
    percentages = (f"{100 * ratio:.1f} %" for ratio in (over_quota, half_unused, false_rejections))
    return f"| {name} | {' | '.join(percentages)} | {calls:.2f} |"


def describe_workload(workload: Workload, seed: int) -> str:
    """Returns a headline with the workload's site, seed and sizes."""
    sizes = f"{workload.gateways} gateways, {len(workload.accounts)} customers"
    requests = f"{len(workload.requests)} requests without retries"
    return f"\n{workload.site.name}, seed {seed}: {sizes}, {requests}"


def causes(workload: Workload, seed: int, lost_fraction: float) -> Iterable[str]:
    """Yields rows with one input exact, with all but one, with all, and with the exact bucket itself."""
    all_inputs = frozenset(EXACT)
    base = run_workload(workload, seed, frozenset(), lost_fraction)
    yield row("engine, unmodified", base)
    rejection_causes = base.rejection_causes.most_common()
    fractions = ", ".join(
        f"{cause} {100 * n / max(1, base.half_unused_rejections):.0f} %" for cause, n in rejection_causes
    )
    yield f"| by the engine's rejection cause: {fractions} | | | | |"
    for cause in EXACT:
        yield row(f"exact: {cause}", run_workload(workload, seed, frozenset({cause}), lost_fraction))
    for cause in EXACT:
        yield row(
            f"all exact but: {cause}", run_workload(workload, seed, all_inputs - {cause}, lost_fraction)
        )
    yield row("all exact", run_workload(workload, seed, all_inputs, lost_fraction))
    yield row(
        "exact bucket at each decision", run_workload(workload, seed, frozenset({"store"}), lost_fraction)
    )
    yield row(
        "the same, no ceiling", run_workload(workload, seed, frozenset({"store", "ceiling"}), lost_fraction)
    )


# Inputs that are exact at each gateway if the counter holds the bucket's state.
STATE = frozenset({"window", "overflow"})


def options(workload: Workload, seed: int, lost_fraction: float) -> Iterable[str]:
    """Yields rows for changes to the engine, then for models without ceilings and concurrency limits."""

    def engine(
        name: str,
        *exact: str,
        counted_fraction: float = COUNTED_FRACTION,
        window_scale: float = 1.0,
        state: bool = False,
    ) -> str:
        inputs = frozenset(exact) | (STATE if state else frozenset())
        with modified_quota_settings(counted_fraction, window_scale):
            return row(f"engine: {name}", run_workload(workload, seed, inputs, lost_fraction))

    yield engine("unmodified")
    for window_scale in (0.25, 0.5, 4.0):
        yield engine(f"windows of {window_scale:g} times the length", window_scale=window_scale)
    yield engine("0.75 of a ceiling's burst counted", counted_fraction=0.75)
    yield engine("calls near empty only read", "reads")
    yield engine("bucket state at the counter", state=True)
    yield engine("bucket state at the counter, calls near empty only read", "reads", state=True)
    yield engine("bucket state at the counter, rejected units subtracted at once", "refused", state=True)
    yield engine("the same, no ceiling", "refused", "ceiling", state=True)
    for name, scheme, missing in (
        ("all overflow added, calls add", Scheme(0.0), lost_fraction),
        ("the same, every call answered", Scheme(0.0), 0.0),
        ("all overflow added, calls near empty read", Scheme(0.0, read_below_fraction=0.5), lost_fraction),
        (
            "overflow over 1/4 burst added, calls near empty read",
            Scheme(0.25, read_below_fraction=0.5),
            lost_fraction,
        ),
        (
            "overflow over 1/2 burst added, calls near empty read",
            Scheme(0.5, read_below_fraction=0.5),
            lost_fraction,
        ),
        (
            "1/4, reads, a call for two requests far from the limit",
            Scheme(0.25, 2, read_below_fraction=0.5),
            lost_fraction,
        ),
        ("1/4, reads, a call for four requests", Scheme(0.25, 4, read_below_fraction=0.5), lost_fraction),
        ("1/4, reads, 10 % without answer in time", Scheme(0.25, read_below_fraction=0.5), 0.1),
        (
            "1/4, reads, epochs of 10 s",
            Scheme(0.25, read_below_fraction=0.5, epoch_ms=10_000.0),
            lost_fraction,
        ),
        (
            "1/4, reads, counter emptied at 13 s",
            Scheme(0.25, read_below_fraction=0.5, counter_empty_at_ms=13_000.0),
            lost_fraction,
        ),
    ):
        yield row(f"model: {name}", CounterStateModel(workload, seed, scheme, missing).run())


def charges_over_quota(workload: Workload, seed: int, lost_fraction: float) -> Iterable[str]:
    """Yields the main rows, where units over quota are charged to the bucket as well."""
    for name, exact in (
        ("engine: unmodified", frozenset[str]()),
        ("engine: exact: window", frozenset({"window"})),
        ("engine: exact: refused", frozenset({"refused"})),
        ("engine: exact: ceiling", frozenset({"ceiling"})),
        ("engine: bucket state at the counter, rejected units subtracted at once", STATE | {"refused"}),
        ("engine: the same, no ceiling", STATE | {"refused", "ceiling"}),
    ):
        yield row(name, run_workload(workload, seed, exact, lost_fraction, charges_over_quota=True))
    for name, scheme in (
        ("calls add", Scheme(0.25)),
        ("calls near empty read", Scheme(0.25, read_below_fraction=0.5)),
    ):
        yield row(
            f"model: overflow over 1/4 burst, {name}",
            CounterStateModel(workload, seed, scheme, lost_fraction, charges_over_quota=True).run(),
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("what", choices=("causes", "options", "owed"))
    parser.add_argument("--site", choices=sorted(SITES), action="append")
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument(
        "--tries", type=float, default=REQUESTS_PER_S, help="requests per second, without retries"
    )
    parser.add_argument(
        "--lost", type=float, default=0.05, help="fraction of counter calls that are late or lost"
    )
    args = parser.parse_args()
    tables: dict[str, Callable[[Workload, int, float], Iterable[str]]]
    tables = {"causes": causes, "options": options, "owed": charges_over_quota}
    rows = tables[args.what]
    began = time.monotonic()
    for site in args.site or sorted(SITES):
        for seed in args.seed or SEEDS:
            workload = generate_workload(SITES[site], seed, args.gateways, args.seconds, args.tries)
            print(describe_workload(workload, seed))
            print(HEAD.format(args.what), flush=True)
            for line in rows(workload, seed, args.lost):
                print(line, flush=True)
    print(f"\n{time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
