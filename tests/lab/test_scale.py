"""The scale run: hollow gateways send what real ones send, a seed determines the site, and no process is left
behind."""

from __future__ import annotations

import ast
import asyncio
import itertools
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.scale import COMPARED, equal_load_site
from lab.scale.run import ScaleRun
from lab.scale.site import MAX_TENANT_SHARE, Site, SiteFault, TenantDraw, arrivals, gateway_set

ROOT = Path(__file__).resolve().parents[2]
SMALL = Site(gateways=4, real=2, servers=20, tenants=1000, rate=60.0, seed=7)


def test_a_hollow_gateway_sends_what_a_real_one_sends(tmp_path: Path) -> None:
    """Compares calls and bytes to discovery and the counter, for the same requests and the same list
    changes."""

    async def play() -> None:
        async with ScaleRun(equal_load_site(SMALL, 120), tmp_path, 0.6) as scale:
            figures = await scale.run(0.0)
        assert figures.real_outcomes["served"] > 200 and "lost" not in figures.real_outcomes
        assert figures.hollow_outcomes["asked"] == 240 and figures.hollow_outcomes["no answer"] == 0
        real, hollow = figures.per_gateway["real"], figures.per_gateway["hollow"]
        assert real["list calls/min"] * figures.duration_s / 60.0 > 5 and real["counter calls/request"] > 0.2
        for what in COMPARED:
            assert 0.9 <= hollow[what] / real[what] <= 1.1, (what, real[what], hollow[what])

    asyncio.run(play())


def running_of(pids: Iterable[int]) -> list[int]:
    """Returns those of `pids` whose processes run; zombies don't count."""
    running = []
    for pid in pids:
        try:
            state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        except OSError:
            continue
        if state not in "ZX":
            running.append(pid)
    return running


def children(parent: int) -> list[int]:
    """Returns the child processes of a process."""
    pids = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                fields = (entry / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            if int(fields[1]) == parent:
                pids.append(int(entry.name))
    return pids


def test_all_ends_where_a_part_fails(tmp_path: Path) -> None:
    async def play() -> list[int]:
        pids: list[int] = []
        with pytest.raises((RuntimeError, ConnectionError)):
            async with ScaleRun(replace(SMALL, gateways=2, real=1), tmp_path, 0.1) as scale:
                pids += children(os.getpid())
                os.kill(scale.counter.pid, signal.SIGKILL)
                await scale.run(30.0)
        return pids

    pids = asyncio.run(play())
    assert len(pids) >= 5 and not running_of(pids)


def test_all_ends_where_the_run_is_killed() -> None:
    """Real gateways have process groups of their own, so a kill of the run does not reach them: another
    process of the run ends them."""
    sizes = ["--gateways", "2", "--real", "1", "--rate", "5", "--seconds", "60", "--warm", "0"]
    with subprocess.Popen(
        [sys.executable, "-m", "benchmarks.scale", *sizes], cwd=ROOT, stdout=subprocess.DEVNULL
    ) as run:
        try:
            end = time.monotonic() + 30.0
            while not any(b"lab.scale\0hollow" in arguments(pid) for pid in children(run.pid)):
                assert run.poll() is None and time.monotonic() < end
                time.sleep(0.02)
            pids = children(run.pid)  # the hollow gateways are started last
        finally:
            run.kill()
    assert len(pids) >= 6
    end = time.monotonic() + 20.0
    while left := running_of(pids):
        assert time.monotonic() < end, [arguments(pid) for pid in left]
        time.sleep(0.02)


def arguments(pid: int) -> bytes:
    """Returns the command line of a process, or nothing if it has ended."""
    try:
        return Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        return b""


@pytest.mark.parametrize("package", ["glenchute", "glenchute/policy"])
def test_the_program_does_not_import_it(package: str) -> None:
    files = sorted((ROOT / package).rglob("*.py")) + sorted((ROOT / "lab").glob("*.py"))
    assert len(files) > 20
    for file in files:
        for node in ast.walk(ast.parse(file.read_text())):
            names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
            if isinstance(node, ast.ImportFrom):
                names = [f"{node.module}.{a.name}" if node.module else a.name for a in node.names]
            assert not any("scale" in name.split(".") for name in names), file


BIG = Site(
    gateways=520, real=4, servers=5700, services=360, regions=3, zones=7, tenants=4100, rate=163.0, seed=3
)


@pytest.mark.parametrize(
    "site", [SMALL, BIG, replace(BIG, has_dominant_tenant=True), replace(BIG, zipf=0.6, spread=1)]
)
def test_a_seed_is_a_site(site: Site) -> None:
    """Each process derives the same site from the description that it was given."""
    other = Site.from_dict(site.to_dict())
    number = site.real_numbers()[-1]
    draws = [TenantDraw(same, [number]) for same in (site, other)]
    assert other == site and draws[0].accounts == draws[1].accounts
    first, second = (list(itertools.islice(arrivals(site, draw, number, 50.0), 500)) for draw in draws)
    assert first == second
    for _, _, account in first:
        spread, start = gateway_set(account)
        assert (number - start) % site.gateways < spread <= site.gateways
    shares = site.shares()
    assert sum(shares) == pytest.approx(1.0) and shares == sorted(shares, reverse=True)
    assert shares[0] == pytest.approx(0.5) or not site.has_dominant_tenant
    # No tenant makes more than MAX_TENANT_SHARE of a gateway's requests, unless it already uses all gateways.
    for share, account in zip(shares, draws[0].accounts, strict=True):
        spread, _ = gateway_set(account)
        assert spread == site.gateways or share * site.gateways / spread <= MAX_TENANT_SHARE + 1e-9
    assert len(set(site.real_numbers())) == site.real


def test_a_zone_takes_its_servers_and_no_others() -> None:
    zone, rack = SiteFault("zone", 0.0, 1.0, zone=3), SiteFault("rack", 0.0, 1.0, zone=3, rack=1)
    down = {n for n in range(BIG.servers) if BIG.takes_down(zone, n)}
    assert down == {n for n in range(BIG.servers) if BIG.zone_of(n) == 3}
    rack_down = {n for n in range(BIG.servers) if BIG.takes_down(rack, n)}
    assert rack_down < down and len(rack_down) == pytest.approx(len(down) / BIG.racks, abs=1)
    assert not any(
        BIG.takes_down(SiteFault("lists silent", 0.0, 1.0), n)
        for n in random.Random(1).sample(range(5700), 50)
    )
