"""Measures quota errors of many gateways with a working counter, and their causes, in simulated time.

    python -m benchmarks.quota_errors causes          # which exact input removes which error
    python -m benchmarks.quota_errors options         # other ways to keep the token bucket, on the same tries
    python -m benchmarks.quota_errors owed            # the main rows with units beyond quotas owed

The modules are real. Each row has units beyond quotas (as a share of the units sent on), tries refused with
half of the token bucket or more unused, tries refused though the bucket held their units (as shares of all
tries), and calls to the counter per try.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Iterable

from glenchute.policy.admission.ceiling import COUNTED_FRACTION
from lab.sim.quotas import EXACT, SITES, Books, Day, Model, Scheme, changed, demand, play

SEEDS = (1, 2)
GATEWAYS, SECONDS, TRIES_PER_S = 32, 20.0, 450.0
HEAD = "| {} | beyond | half unused | any room | calls |\n| --- | --- | --- | --- | --- |"


def row(name: str, books: Books) -> str:
    """Returns a line of a table."""
    beyond, roomy, wrong, calls = books.shares()
    return f"| {name} | {100 * beyond:.1f} % | {100 * roomy:.1f} % | {100 * wrong:.1f} % | {calls:.2f} |"


def describe_day(day: Day, seed: int) -> str:
    """Returns a headline with the day's site, seed and sizes."""
    sizes = f"{day.gateways} gateways, {len(day.accounts)} customers, {len(day.tries)} first tries"
    return f"\n{day.site.name}, seed {seed}: {sizes}"


def causes(day: Day, seed: int, lost: float) -> Iterable[str]:
    """Yields rows with one input exact, with all but one, with all, and with the true bucket itself."""
    whole = frozenset(EXACT)
    base = play(day, seed, frozenset(), lost)
    yield row("the module as it is", base)
    most = base.causes.most_common()
    words = ", ".join(f"{cause} {100 * n / max(1, base.roomy):.0f} %" for cause, n in most)
    yield f"| by the module's own word: {words} | | | | |"
    for cause in EXACT:
        yield row(f"exact: {cause}", play(day, seed, frozenset({cause}), lost))
    for cause in EXACT:
        yield row(f"all exact but: {cause}", play(day, seed, whole - {cause}, lost))
    yield row("all exact", play(day, seed, whole, lost))
    yield row("the true store at each decision", play(day, seed, frozenset({"store"}), lost))
    yield row("the same, no ceiling", play(day, seed, frozenset({"store", "ceiling"}), lost))


# Inputs that each gateway learns if the counter holds the bucket's state.
STATE = frozenset({"window", "overflow"})


def options(day: Day, seed: int, lost: float) -> Iterable[str]:
    """Yields rows for changes to the module, then for models without the ceiling's guard and the cap."""

    def module(
        name: str, *exact: str, counted: float = COUNTED_FRACTION, spans: float = 1.0, state: bool = False
    ) -> str:
        told = frozenset(exact) | (STATE if state else frozenset())
        with changed(counted, spans):
            return row(f"module: {name}", play(day, seed, told, lost))

    yield module("as it is")
    for spans in (0.25, 0.5, 4.0):
        yield module(f"windows of {spans:g} times the length", spans=spans)
    yield module("0.75 of a ceiling's burst counted", counted=0.75)
    yield module("asks near empty only read", "reads")
    yield module("the state at the counter", state=True)
    yield module("the state, asks near empty only read", "reads", state=True)
    yield module("the state, refused asks off at once", "refused", state=True)
    yield module("the same, no ceiling", "refused", "ceiling", state=True)
    for name, scheme, missing in (
        ("all overflow added, asks add", Scheme(0.0), lost),
        ("the same, every call answered", Scheme(0.0), 0.0),
        ("all overflow added, asks near empty read", Scheme(0.0, read_below=0.5), lost),
        ("overflow over 1/4 burst added, asks near empty read", Scheme(0.25, read_below=0.5), lost),
        ("overflow over 1/2 burst added, asks near empty read", Scheme(0.5, read_below=0.5), lost),
        ("1/4, reads, a call for two requests far from the limit", Scheme(0.25, 2, read_below=0.5), lost),
        ("1/4, reads, a call for four requests", Scheme(0.25, 4, read_below=0.5), lost),
        ("1/4, reads, 10 % without answer in time", Scheme(0.25, read_below=0.5), 0.1),
        ("1/4, reads, epochs of 10 s", Scheme(0.25, read_below=0.5, epoch_ms=10_000.0), lost),
        ("1/4, reads, counter emptied at 13 s", Scheme(0.25, read_below=0.5, empty_at=13_000.0), lost),
    ):
        yield row(f"model: {name}", Model(day, seed, scheme, missing).run())


def owed(day: Day, seed: int, lost: float) -> Iterable[str]:
    """Yields the main rows with units beyond quotas counted as owed."""
    for name, exact in (
        ("module: as it is", frozenset[str]()),
        ("module: exact: window", frozenset({"window"})),
        ("module: exact: refused", frozenset({"refused"})),
        ("module: exact: ceiling", frozenset({"ceiling"})),
        ("module: the state, refused asks off at once", STATE | {"refused"}),
        ("module: the same, no ceiling", STATE | {"refused", "ceiling"}),
    ):
        yield row(name, play(day, seed, exact, lost, owed=True))
    for name, scheme in (("asks add", Scheme(0.25)), ("asks near empty read", Scheme(0.25, read_below=0.5))):
        yield row(f"model: overflow over 1/4 burst, {name}", Model(day, seed, scheme, lost, owed=True).run())


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("what", choices=("causes", "options", "owed"))
    parser.add_argument("--site", choices=sorted(SITES), action="append")
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--tries", type=float, default=TRIES_PER_S, help="first tries a second")
    parser.add_argument("--lost", type=float, default=0.05, help="calls without an answer in time, share")
    args = parser.parse_args()
    tables: dict[str, Callable[[Day, int, float], Iterable[str]]]
    tables = {"causes": causes, "options": options, "owed": owed}
    rows = tables[args.what]
    began = time.monotonic()
    for site in args.site or sorted(SITES):
        for seed in args.seed or SEEDS:
            day = demand(SITES[site], seed, args.gateways, args.seconds, args.tries)
            print(describe_day(day, seed))
            print(HEAD.format(args.what), flush=True)
            for line in rows(day, seed, args.lost):
                print(line, flush=True)
    print(f"\n{time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
