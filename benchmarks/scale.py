"""Measures what each role of a site costs at a size, with simulated (hollow) gateways beside real ones.

``python -m benchmarks.scale --servers 5700 --tenants 41000 --gateways 520 --real 4 --rate 163 --seconds 20``;
``--compare`` compares what a hollow gateway sends with a real one, on a small site; ``--scene`` injects a
fault in the middle of the run (`scenes` has the names).
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
from dataclasses import fields, replace
from pathlib import Path

from benchmarks.machine import machine
from lab.scale.run import Figures, ScaleRun
from lab.scale.site import Site, SiteFault

COMPARED = (  # figures of one gateway, in which a hollow one should equal a real one
    "list calls/min",
    "list bytes/call",
    "list bytes/answer",
    "counter calls/request",
    "counter bytes/call",
)


def scenes(site: Site, seconds: float) -> dict[str, Site]:
    """Returns the site with each scripted fault, in the middle of the measured time."""
    start, end = 0.25 * seconds, 0.6 * seconds
    return {
        "zone back": replace(site, faults=(SiteFault("restart", start, end),)),
        "zone gone": replace(site, faults=(SiteFault("zone", start, end),)),
        "rack gone": replace(site, faults=(SiteFault("rack", start, end),)),
        "counter slow": replace(site, faults=(SiteFault("counter slow", start, end, delay_ms=80.0),)),
        "lists silent": replace(site, faults=(SiteFault("lists silent", start, end),)),
        "one asks half": replace(site, has_dominant_tenant=True),
    }


async def run_site(site: Site, seconds: float, warm_up_s: float) -> Figures:
    """Starts the site, runs the measurement and returns its figures."""
    with tempfile.TemporaryDirectory() as folder:
        async with ScaleRun(site, Path(folder), warm_up_s) as scale:
            return await scale.run(seconds)


def equal_load_site(site: Site, requests: int) -> Site:
    """Returns the site with the same requests at each gateway. Its list changes as fast as all gateways poll
    it, at most 20 times a second."""
    return replace(
        site, equal_load=True, requests=requests, spread=site.gateways, hollow_rate=site.rate, most_known=0,
        changes=20.0,
    )  # fmt: skip


def comparison_table(figures: Figures) -> list[str]:
    """Returns the table that compares a hollow gateway with a real one."""
    lines = [f"{'one gateway':24} {'real':>10} {'hollow':>10} {'ratio':>7}"]
    for name in COMPARED:
        real, hollow = figures.per_gateway["real"][name], figures.per_gateway["hollow"][name]
        lines.append(f"{name:24} {real:10.3f} {hollow:10.3f} {hollow / real if real else float('nan'):7.3f}")
    return lines


def main() -> int:
    """Performs the run that the flags describe."""
    parser = argparse.ArgumentParser(description=__doc__)
    for size in fields(Site):
        if size.name in ("faults", "has_dominant_tenant", "hollow_rate", "equal_load", "requests"):
            continue
        number_type = {"int": int, "float": float}[str(size.type)]
        parser.add_argument(f"--{size.name.replace('_', '-')}", type=number_type, default=size.default)
    parser.add_argument("--hollow-rate", type=float, help="default: as `rate`, but 600 in all at most")
    parser.set_defaults(most_known=40)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--warm", type=float, default=4.0)
    parser.add_argument("--scene", default="")
    parser.add_argument("--compare", action="store_true")
    args = vars(parser.parse_args())
    seconds, warm_up_s, scene = args.pop("seconds"), args.pop("warm"), args.pop("scene")
    is_comparison, hollow_rate = args.pop("compare"), args.pop("hollow_rate")
    if hollow_rate is None:
        hollow_rate = min(args["rate"], 600.0 / max(1, args["gateways"] - args["real"]))
    site = Site(**args, hollow_rate=hollow_rate)
    if scene:
        site = scenes(site, seconds)[scene]
    if is_comparison:
        site = equal_load_site(site, round(site.rate * seconds))
    print(f"{machine()}, load average {os.getloadavg()[0]:.1f}")
    figures = asyncio.run(run_site(site, seconds, warm_up_s))
    print("\n".join(figures.lines()))
    if is_comparison:
        print("\n".join(comparison_table(figures)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
