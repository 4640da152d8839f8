"""Runs a site: starts the processes, lets them run, collects their figures and CPU, ends all."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from lab.coldstart import busiest_second
from lab.load import percentile
from lab.scale.site import Site
from lab.site import GatewayProcess, free_port

WARM_S = 4.0  # warm-up before the measurement
PATIENCE_S = 240.0  # longest wait for an answer of a part, which may start hundreds of hollow gateways first
MOST_HOLLOW = 90  # hollow gateways in one process, more if MOST_WORKERS processes are not enough
MOST_WORKERS = 6
ROOT = Path(__file__).resolve().parent.parent.parent


class Use(NamedTuple):
    """Use of a process so far: CPU seconds, seconds runnable without a core; and its resident MB."""

    cpu_s: float
    waited_s: float
    memory: float


def process_use(pid: int) -> Use:
    """Returns the use of a process; zeros if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        waited = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
    except OSError:
        return Use(0.0, 0.0, 0.0)
    ticks, page = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
    return Use((int(fields[11]) + int(fields[12])) / ticks, waited / 1e9, int(fields[21]) * page / 1e6)


class Part:
    """Process of `lab.scale`."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, site: Site, **more: Any) -> dict[str, Any]:
        """Starts the process and waits until it is ready; returns its first answer."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lab.scale", self.role, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, limit=256 * 1024 * 1024, cwd=ROOT,
        )  # fmt: skip
        return await self.ask(site=site.raw(), **more)

    async def tell(self, **what: Any) -> None:
        """Sends a message to the process."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(json.dumps(what).encode() + b"\n")
        await self.process.stdin.drain()

    async def ask(self, **what: Any) -> dict[str, Any]:
        """Sends a message and returns the answer; raises RuntimeError if the process has ended."""
        await self.tell(**what)
        assert self.process is not None and self.process.stdout is not None
        async with asyncio.timeout(PATIENCE_S):
            line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"the process for {self.role} ended with {await self.process.wait()}")
        found: dict[str, Any] = json.loads(line)
        return found

    @property
    def pid(self) -> int:
        """Returns the process id."""
        assert self.process is not None
        return self.process.pid

    async def stop(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()


@dataclass
class Role:
    """Cost of one role in the measured time; CPU in cores, memory in MB (of all its processes). `waited` is
    the fraction of the time that its processes were runnable without a core, on average."""

    name: str
    count: int
    processes: int
    cores: float
    waited: float
    memory: float
    calls: dict[str, float] = field(default_factory=dict)  # messages a second, by kind
    took: float = 0.0  # bytes received a second
    gave: float = 0.0  # bytes sent a second


@dataclass
class Figures:
    """Figures of a run. Bytes of gateways are those of lists and counter, without requests."""

    site: Site
    seconds: float
    roles: list[Role]
    added: tuple[float, float] = (0.0, 0.0)  # p50 and p99 of the latency added by real gateways, ms
    answers: dict[str, int] = field(default_factory=dict)  # answers of the real gateways
    hollow: dict[str, int] = field(default_factory=dict)  # answers of the hollow gateways
    # Traffic of one gateway, by kind of gateway.
    per: dict[str, dict[str, float]] = field(default_factory=dict)
    worst: int = 0  # calls to the list service in the worst second
    worst_at: float = 0.0
    names: int = 0  # most names held by the counter at once
    back: int = 0  # calls to the list service in the worst second of the five after a trouble's end

    def lines(self) -> list[str]:
        """Returns the lines of the table."""
        site = self.site
        shares = f"Zipf {site.zipf}{', one asks half' if site.half else ''}, set {site.spread} at least"
        out = [
            f"{site.gateways} gateways ({site.real} real), {site.servers} servers of {site.services} services"
            f" in {site.zones} zones, {site.tenants} tenants ({shares}), {site.rate:g} requests a second at a"
            f" real one, {site.hollow_rate:.3g} at one of {site.hollow} hollow ones,"
            f" {site.changes:g} rows changed a second, seed {site.seed}, {self.seconds:.1f} s",
            f"{'role':8} {'count':>6} {'proc':>5} {'cores':>7} {'waited':>7} {'MB':>8}"
            f" {'in B/s':>10} {'out B/s':>10}  messages a second",
        ]
        for role in self.roles:
            what = ", ".join(f"{name} {rate:.1f}" for name, rate in role.calls.items())
            out.append(
                f"{role.name:8} {role.count:6} {role.processes:5} {role.cores:7.3f} {role.waited:7.3f}"
                f" {role.memory:8.1f}"
                f" {role.took:10.0f} {role.gave:10.0f}  {what}"
            )
        for kind, row in self.per.items():
            out.append(f"one {kind}: " + ", ".join(f"{name} {value:.4g}" for name, value in row.items()))
        answers = ", ".join(f"{k} {v}" for k, v in sorted(self.answers.items()))
        out.append(
            f"real: {sum(self.answers.values())} asked: {answers};"
            f" added p50 {self.added[0]:.2f} ms, p99 {self.added[1]:.2f} ms"
        )
        out.append("hollow: " + ", ".join(f"{k} {v}" for k, v in sorted(self.hollow.items())))
        out.append(
            f"list service: {self.worst} calls in the worst second, from second {self.worst_at:.1f} on;"
            f" counter held {self.names} names at most"
        )
        for one in site.troubles:
            out.append(
                f"{one.what} from second {one.at_s:g} to {one.to_s:g}: {self.back} calls to the list service"
                " in the worst of the five seconds after it"
            )
        return out


def worst(times: list[float], first: float, last: float) -> tuple[int, float]:
    """Returns the most calls in a second, and the start of that second."""
    return busiest_second(at for at in times if first <= at < last)


class Scale:
    """Run of a site in a folder of its own."""

    def __init__(self, site: Site, folder: Path, warm_s: float = WARM_S) -> None:
        self.site, self.folder, self.warm_s = site, folder, warm_s
        self.lists, self.counter, self.clients = Part("lists"), Part("counter"), Part("clients")
        self.servers: list[Part] = []
        self.hollow: list[Part] = []
        self.gateways: dict[int, GatewayProcess] = {}

    async def __aenter__(self) -> Scale:
        try:
            await self.start_processes()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *failure: object) -> None:
        await self.stop()

    def parts(self) -> list[Part]:
        """Returns all processes but the real gateways."""
        return [self.lists, self.counter, *self.servers, *self.hollow, self.clients]

    async def start_processes(self) -> None:
        """Starts all processes."""
        site = self.site
        racks = [(zone, rack) for zone in range(site.zones) for rack in range(site.racks)]
        count = 2 if site.real * site.rate > 200 else 1
        self.servers = [Part("servers") for _ in range(count)]
        told = await asyncio.gather(
            *(part.start(site, racks=racks[at::count]) for at, part in enumerate(self.servers)),
            self.counter.start(site),
        )
        ports = {(zone, rack): port for one in told[:-1] for zone, rack, port in one["ports"]}
        rows = [site.row(n, ports[site.zone_of(n), site.rack_of(n)]) for n in range(site.servers)]
        lists = (await self.lists.start(site, rows=rows))["ports"]
        counter = told[-1]["ports"]
        saved = {"version": 1, "full": True, "servers": rows}

        def platform(number: int, role: str) -> dict[str, Any]:
            return {
                "name": f"g{number}", "listen": "127.0.0.1:1", "discovery": f"127.0.0.1:{lists[role]}",
                "counter": f"127.0.0.1:{counter[role]}", "seed": f"{7919 * number + 17:x}",
                "settings": site.settings(number), "known": saved,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            }  # fmt: skip

        shared = self.folder / "hollow.json"
        shared.write_text(json.dumps(platform(0, "hollow")))
        operator = site.operator()
        operator_path = None
        if operator is not None:
            operator_path = str(self.folder / "hollow.toml")
            Path(operator_path).write_text(operator)
        numbers = [n for n in range(site.gateways) if not site.is_real(n)][: site.hollow]
        count = min(MOST_WORKERS, -(-len(numbers) // MOST_HOLLOW))
        self.hollow = [Part("hollow") for _ in range(count)]
        for number in site.real_numbers():
            own = self.folder / f"g{number}"
            own.mkdir()
            wanted = platform(number, "real") | {"listen": f"127.0.0.1:{free_port()}"}
            self.gateways[number] = GatewayProcess(own, wanted, operator)
        await self.clients.start(site, ports={n: g.port for n, g in self.gateways.items()})
        groups: list[int] = []
        for gateway in self.gateways.values():
            gateway.start()
            assert gateway.process is not None
            groups.append(gateway.process.pid)
            await self.clients.tell(do="keep", groups=groups)
        await asyncio.gather(
            *(part.start(site, numbers=numbers[at::count], platform=str(shared), operator=operator_path)
              for at, part in enumerate(self.hollow)),
            *(gateway.ready(PATIENCE_S) for gateway in self.gateways.values()),
        )  # fmt: skip

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for gateway in self.gateways.values():
            gateway.send_signal(signal.SIGKILL)
        await asyncio.gather(*(part.stop() for part in self.parts()))
        for gateway in self.gateways.values():
            if gateway.process is not None:
                gateway.process.wait()

    def use(self) -> dict[str, list[Use]]:
        """Returns CPU and memory by role."""
        real = [g.process.pid for g in self.gateways.values() if g.process is not None]
        return {
            "real": [process_use(pid) for pid in real],
            "hollow": [process_use(part.pid) for part in self.hollow],
            "lists": [process_use(self.lists.pid)], "counter": [process_use(self.counter.pid)],
            "servers": [process_use(part.pid) for part in self.servers],
            "clients": [process_use(self.clients.pid)],
        }  # fmt: skip

    async def collect_counts(self) -> dict[str, list[dict[str, Any]]]:
        """Returns the counts of all parts at one moment, by role."""
        parts = [self.lists, self.counter, *self.servers, *self.hollow]
        told = await asyncio.gather(*(part.ask(do="mark") for part in parts))
        found: dict[str, list[dict[str, Any]]] = {}
        for part, book in zip(parts, told, strict=True):
            found.setdefault(part.role, []).append(book)
        return found

    async def run(self, seconds: float) -> Figures:
        """Warms up, measures for a time, and ends the load; returns the figures."""
        zero = time.time() + self.warm_s
        for part in self.parts():
            await part.tell(do="begin", at=zero)
        await asyncio.sleep(max(0.0, zero - 0.2 * bool(self.site.requests) - time.time()))
        before, use, began = await self.collect_counts(), self.use(), time.time()
        ends: list[dict[str, Any]] = []
        if self.site.requests:  # with a fixed number of requests, the run ends with the last answer
            ends = await asyncio.gather(*(part.ask(do="end") for part in (self.clients, *self.hollow)))
        else:
            await asyncio.sleep(seconds)
        after, used_then, ended = await self.collect_counts(), self.use(), time.time()
        span = ended - began
        if not ends:
            ends = await asyncio.gather(*(part.ask(do="end") for part in (self.clients, *self.hollow)))
        calls = await self.lists.ask(do="end")
        outcomes = [one for one in ends[0]["outcomes"] if one["at"] < began - zero + span]
        served = {
            k: v
            for part in await asyncio.gather(*(p.ask(do="end") for p in self.servers))
            for k, v in part.items()
        }
        figures = Figures(self.site, span, self.roles(before, after, use, used_then, span))
        for one in outcomes:
            figures.answers[one["answer"]] = figures.answers.get(one["answer"], 0) + 1
        added = sorted(
            one["took"] - served[one["id"]]
            for one in outcomes
            if one["answer"] == "served" and one["id"] in served
        )
        figures.added = percentile(added, 50), percentile(added, 99)
        for book in ends[1:]:
            for what, count in book.items():
                figures.hollow[what] = figures.hollow.get(what, 0) + count
        figures.worst, figures.worst_at = worst(
            [*calls["real"], *calls["hollow"]], began - zero, ended - zero
        )
        end = max((one.to_s for one in self.site.troubles), default=0.0)
        figures.back = worst([*calls["real"], *calls["hollow"]], end, end + 5.0)[0]
        figures.names = int(after["counter"][0]["names"])
        figures.per = self.per(before, after, span, len(outcomes))
        for role in figures.roles:
            if role.name in figures.per:
                row = figures.per[role.name]
                row["CPU ms/request"] = 1000.0 * role.cores / max(1e-9, row["requests/s"] * role.count)
        return figures

    def roles(
        self, before: dict[str, list[dict[str, Any]]], after: dict[str, list[dict[str, Any]]],
        use: dict[str, list[Use]], then: dict[str, list[Use]], span: float,
    ) -> list[Role]:  # fmt: skip
        """Returns the cost of each role, from the counts and use before and after."""
        counts = {"real": self.site.real, "hollow": self.site.hollow, "servers": self.site.servers}
        found = {}
        for name, rows in then.items():
            pairs = list(zip(rows, use[name], strict=True))
            cores = sum(now.cpu_s - was.cpu_s for now, was in pairs) / span
            waited = sum(now.waited_s - was.waited_s for now, was in pairs) / span / max(1, len(rows))
            memory = sum(row.memory for row in rows)
            found[name] = Role(name, counts.get(name, 1), len(rows), cores, waited, memory)
        for kind in ("real", "hollow"):
            for peer in ("lists", "counter"):
                was, now = before[peer][0][kind], after[peer][0][kind]
                calls, took, gave = ((now[key] - was[key]) / span for key in ("calls", "took", "gave"))
                found[kind].calls[peer] = calls
                found[kind].took, found[kind].gave = found[kind].took + gave, found[kind].gave + took
                found[peer].calls[kind] = calls
                found[peer].took, found[peer].gave = found[peer].took + took, found[peer].gave + gave
        books = list(zip(before["servers"], after["servers"], strict=True))
        found["servers"].calls["attempts"] = sum(now["calls"] - was["calls"] for was, now in books) / span
        found["servers"].took = sum(now["took"] - was["took"] for was, now in books) / span
        found["servers"].gave = sum(now["gave"] - was["gave"] for was, now in books) / span
        return list(found.values())

    def per(
        self,
        before: dict[str, list[dict[str, Any]]],
        after: dict[str, list[dict[str, Any]]],
        span: float,
        asked: int,
    ) -> dict[str, dict[str, float]]:
        """Returns the traffic of one gateway of each kind, to compare hollow and real ones."""
        hollow = sum(
            now.get("asked", 0) - was.get("asked", 0)
            for was, now in zip(before.get("hollow", []), after.get("hollow", []), strict=True)
        )
        found = {}
        for kind, count, requests in (("real", self.site.real, asked), ("hollow", self.site.hollow, hollow)):
            if not count:
                continue
            row: dict[str, float] = {"requests/s": requests / span / count}
            for peer in ("lists", "counter"):
                was, now = before[peer][0][kind], after[peer][0][kind]
                calls = now["calls"] - was["calls"]
                if peer == "lists":
                    row["list calls/min"] = 60.0 * calls / span / count
                    row["list bytes/call"] = (now["took"] - was["took"]) / max(1, calls)
                    row["list bytes/answer"] = (now["gave"] - was["gave"]) / max(1, calls)
                else:
                    row["counter calls/request"] = calls / max(1, requests)
                    row["pings/s"] = (now["pings"] - was["pings"]) / span / count
                    row["counter bytes/call"] = (now["took"] - was["took"]) / max(1, calls)
                row[f"{peer} B/s out"] = (now["took"] - was["took"]) / span / count
                row[f"{peer} B/s in"] = (now["gave"] - was["gave"]) / span / count
            found[kind] = row
        return found
