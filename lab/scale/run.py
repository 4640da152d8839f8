"""Runs a site: starts the processes, lets them run, collects their figures and CPU, and ends all of them."""

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

WARM_UP_S = 4.0  # before the measurement
ANSWER_TIMEOUT_S = 240.0  # a worker may start hundreds of hollow gateways before it answers
HOLLOW_PER_WORKER = 90  # hollow gateways per process; more where MAX_HOLLOW_WORKERS processes are too few
MAX_HOLLOW_WORKERS = 6
AFTER_FAULTS_S = 5.0  # span after the last fault whose calls to the list service are also reported
ROOT = Path(__file__).resolve().parent.parent.parent
Counts = dict[str, list[dict[str, Any]]]  # by role, the counts of each of its processes


class ProcessUsage(NamedTuple):
    """CPU time of a process so far, and its resident memory now."""

    cpu_s: float
    waited_s: float  # time that it was runnable without a core
    memory_mb: float


def process_usage(pid: int) -> ProcessUsage:
    """Returns the usage of a process; zeros if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        waited_ns = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
    except OSError:
        return ProcessUsage(0.0, 0.0, 0.0)
    ticks_per_s, page_bytes = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
    cpu_s = (int(fields[11]) + int(fields[12])) / ticks_per_s
    return ProcessUsage(cpu_s, waited_ns / 1e9, int(fields[21]) * page_bytes / 1e6)


class WorkerProcess:
    """Process of `python -m lab.scale`, for one role."""

    def __init__(self, role: str) -> None:
        self.role = role
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, site: Site, **parameters: Any) -> dict[str, Any]:
        """Starts the process and waits until it is ready; returns its first answer."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lab.scale", self.role, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, limit=256 * 1024 * 1024, cwd=ROOT,
        )  # fmt: skip
        return await self.request(site=site.to_dict(), **parameters)

    async def send(self, **message: Any) -> None:
        """Sends a message to the process."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(json.dumps(message).encode() + b"\n")
        await self.process.stdin.drain()

    async def request(self, **message: Any) -> dict[str, Any]:
        """Sends a message and returns the answer; raises RuntimeError if the process has ended."""
        await self.send(**message)
        assert self.process is not None and self.process.stdout is not None
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            line = await self.process.stdout.readline()
        if not line:
            status = await self.process.wait()
            raise RuntimeError(f"the worker process {self.role!r} ended with exit status {status}")
        answer: dict[str, Any] = json.loads(line)
        return answer

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
class RoleCost:
    """Cost of one role in the measured time, of all its processes."""

    name: str
    count: int  # gateways, servers or services that the processes stand for
    processes: int
    cores: float  # CPU seconds per second
    waited_fraction: float  # fraction of the time that a process was runnable without a core, on average
    memory_mb: float
    calls_per_s: dict[str, float] = field(default_factory=dict)  # messages, by kind
    received_bytes_per_s: float = 0.0
    sent_bytes_per_s: float = 0.0


@dataclass
class Figures:
    """Figures of a run.

    Bytes of gateways are those of their calls to the list service and the counter, without requests.
    """

    site: Site
    duration_s: float
    roles: list[RoleCost]
    added_ms: tuple[float, float] = (0.0, 0.0)  # p50 and p99 of the latency that real gateways add
    real_outcomes: dict[str, int] = field(default_factory=dict)  # requests at real gateways, by outcome
    hollow_outcomes: dict[str, int] = field(default_factory=dict)  # requests at hollow gateways, by outcome
    # Traffic of one gateway, by kind of gateway.
    per_gateway: dict[str, dict[str, float]] = field(default_factory=dict)
    peak_list_calls: int = 0  # calls to the list service in the busiest second
    peak_start_s: float = 0.0  # start of that second
    # Calls to the list service in the busiest second within AFTER_FAULTS_S of the last fault's end.
    peak_list_calls_after_faults: int = 0
    peak_counter_keys: int = 0  # most keys held by the counter at once

    def lines(self) -> list[str]:
        """Returns the lines of the table."""
        site = self.site
        dominant = ", one asks half" if site.has_dominant_tenant else ""
        shares = f"Zipf {site.zipf}{dominant}, set {site.spread} at least"
        out = [
            f"{site.gateways} gateways ({site.real} real), {site.servers} servers of {site.services} services"
            f" in {site.zones} zones, {site.tenants} tenants ({shares}), {site.rate:g} requests a second at a"
            f" real one, {site.hollow_rate:.3g} at one of {site.hollow} hollow ones,"
            f" {site.changes:g} rows changed a second, seed {site.seed}, {self.duration_s:.1f} s",
            f"{'role':8} {'count':>6} {'proc':>5} {'cores':>7} {'waited':>7} {'MB':>8}"
            f" {'in B/s':>10} {'out B/s':>10}  messages a second",
        ]
        for role in self.roles:
            calls = ", ".join(f"{name} {rate:.1f}" for name, rate in role.calls_per_s.items())
            out.append(
                f"{role.name:8} {role.count:6} {role.processes:5} {role.cores:7.3f}"
                f" {role.waited_fraction:7.3f} {role.memory_mb:8.1f}"
                f" {role.received_bytes_per_s:10.0f} {role.sent_bytes_per_s:10.0f}  {calls}"
            )
        for kind, row in self.per_gateway.items():
            out.append(f"one {kind}: " + ", ".join(f"{name} {value:.4g}" for name, value in row.items()))
        outcomes = ", ".join(f"{k} {v}" for k, v in sorted(self.real_outcomes.items()))
        out.append(
            f"real: {sum(self.real_outcomes.values())} asked: {outcomes};"
            f" added p50 {self.added_ms[0]:.2f} ms, p99 {self.added_ms[1]:.2f} ms"
        )
        out.append("hollow: " + ", ".join(f"{k} {v}" for k, v in sorted(self.hollow_outcomes.items())))
        out.append(
            f"list service: {self.peak_list_calls} calls in the worst second,"
            f" from second {self.peak_start_s:.1f} on;"
            f" counter held {self.peak_counter_keys} names at most"
        )
        for fault in site.faults:
            out.append(
                f"{fault.kind} from second {fault.start_s:g} to {fault.end_s:g}:"
                f" {self.peak_list_calls_after_faults} calls to the list service in the worst of the five"
                " seconds after it"
            )
        return out


def busiest_second_between(times_s: list[float], first_s: float, last_s: float) -> tuple[int, float]:
    """Returns the most calls in a second between two times, and the start of that second."""
    return busiest_second(at for at in times_s if first_s <= at < last_s)


class ScaleRun:
    """Run of a site, whose files are in a folder. As a context manager, starts and ends its processes."""

    def __init__(self, site: Site, folder: Path, warm_up_s: float = WARM_UP_S) -> None:
        self.site, self.folder, self.warm_up_s = site, folder, warm_up_s
        self.lists, self.counter = WorkerProcess("lists"), WorkerProcess("counter")
        self.clients = WorkerProcess("clients")
        self.servers: list[WorkerProcess] = []
        self.hollow: list[WorkerProcess] = []
        self.gateways: dict[int, GatewayProcess] = {}

    async def __aenter__(self) -> ScaleRun:
        try:
            await self.start_processes()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *failure: object) -> None:
        await self.stop()

    def workers(self) -> list[WorkerProcess]:
        """Returns all processes but the real gateways."""
        return [self.lists, self.counter, *self.servers, *self.hollow, self.clients]

    async def start_processes(self) -> None:
        """Starts all processes."""
        site = self.site
        racks = [(zone, rack) for zone in range(site.zones) for rack in range(site.racks)]
        count = 2 if site.real * site.rate > 200 else 1
        self.servers = [WorkerProcess("servers") for _ in range(count)]
        *server_answers, counter_answer = await asyncio.gather(
            *(worker.start(site, racks=racks[i::count]) for i, worker in enumerate(self.servers)),
            self.counter.start(site),
        )
        ports = {(zone, rack): port for answer in server_answers for zone, rack, port in answer["ports"]}
        rows = [site.list_row(n, ports[site.zone_of(n), site.rack_of(n)]) for n in range(site.servers)]
        list_ports = (await self.lists.start(site, rows=rows))["ports"]
        counter_ports = counter_answer["ports"]
        saved_list = {"version": 1, "full": True, "servers": rows}

        def platform(number: int, kind: str) -> dict[str, Any]:
            return {
                "name": f"g{number}", "listen": "127.0.0.1:1",
                "discovery": f"127.0.0.1:{list_ports[kind]}", "counter": f"127.0.0.1:{counter_ports[kind]}",
                "seed": f"{7919 * number + 17:x}", "settings": site.settings(number), "known": saved_list,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            }  # fmt: skip

        hollow_platform = self.folder / "hollow.json"
        hollow_platform.write_text(json.dumps(platform(0, "hollow")))
        operator = site.operator()
        operator_path = None
        if operator is not None:
            operator_path = str(self.folder / "hollow.toml")
            Path(operator_path).write_text(operator)
        numbers = [n for n in range(site.gateways) if not site.is_real(n)][: site.hollow]
        count = min(MAX_HOLLOW_WORKERS, -(-len(numbers) // HOLLOW_PER_WORKER))
        self.hollow = [WorkerProcess("hollow") for _ in range(count)]
        for number in site.real_numbers():
            gateway_folder = self.folder / f"g{number}"
            gateway_folder.mkdir()
            gateway_platform = platform(number, "real") | {"listen": f"127.0.0.1:{free_port()}"}
            self.gateways[number] = GatewayProcess(gateway_folder, gateway_platform, operator)
        await self.clients.start(site, ports={n: g.port for n, g in self.gateways.items()})
        groups: list[int] = []
        for gateway in self.gateways.values():
            gateway.start()
            assert gateway.process is not None
            # Each gateway leads a process group, which the clients' process kills when this one ends.
            groups.append(gateway.process.pid)
            await self.clients.send(command="kill_at_exit", groups=groups)
        await asyncio.gather(
            *(worker.start(site, numbers=numbers[i::count], platform=str(hollow_platform),
                           operator=operator_path)
              for i, worker in enumerate(self.hollow)),
            *(gateway.ready(ANSWER_TIMEOUT_S) for gateway in self.gateways.values()),
        )  # fmt: skip

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for gateway in self.gateways.values():
            gateway.send_signal(signal.SIGKILL)
        await asyncio.gather(*(worker.stop() for worker in self.workers()))
        for gateway in self.gateways.values():
            if gateway.process is not None:
                gateway.process.wait()

    def usage(self) -> dict[str, list[ProcessUsage]]:
        """Returns the usage of each process, by role."""
        real = [g.process.pid for g in self.gateways.values() if g.process is not None]
        return {
            "real": [process_usage(pid) for pid in real],
            "hollow": [process_usage(worker.pid) for worker in self.hollow],
            "lists": [process_usage(self.lists.pid)], "counter": [process_usage(self.counter.pid)],
            "servers": [process_usage(worker.pid) for worker in self.servers],
            "clients": [process_usage(self.clients.pid)],
        }  # fmt: skip

    async def collect_counts(self) -> Counts:
        """Returns the counts of all processes at one moment."""
        workers = [self.lists, self.counter, *self.servers, *self.hollow]
        answers = await asyncio.gather(*(worker.request(command="count") for worker in workers))
        by_role: Counts = {}
        for worker, counts in zip(workers, answers, strict=True):
            by_role.setdefault(worker.role, []).append(counts)
        return by_role

    async def run(self, seconds: float) -> Figures:
        """Warms up, measures for a time, and ends the load; returns the figures."""
        zero_s = time.time() + self.warm_up_s
        for worker in self.workers():
            await worker.send(command="begin", unix_s=zero_s)
        # A fixed number of requests starts at `zero_s`, so that the first counts are collected before it.
        await asyncio.sleep(max(0.0, zero_s - 0.2 * bool(self.site.requests) - time.time()))
        before, usage_before, started_s = await self.collect_counts(), self.usage(), time.time()
        final: list[dict[str, Any]] = []
        if self.site.requests:  # with a fixed number of requests, the run ends with the last answer
            final = await self.end_load()
        else:
            await asyncio.sleep(seconds)
        after, usage_after, ended_s = await self.collect_counts(), self.usage(), time.time()
        duration_s = ended_s - started_s
        if not final:
            final = await self.end_load()
        client_figures, *hollow_figures = final
        call_times = await self.lists.request(command="end")
        server_figures = await asyncio.gather(*(worker.request(command="end") for worker in self.servers))
        attempt_ms = {request: ms for figures in server_figures for request, ms in figures.items()}
        outcomes = [
            outcome for outcome in client_figures["outcomes"]
            if outcome["at_s"] < started_s - zero_s + duration_s
        ]  # fmt: skip
        costs = self.role_costs(before, after, usage_before, usage_after, duration_s)
        figures = Figures(self.site, duration_s, costs)
        for outcome in outcomes:
            answer = outcome["answer"]
            figures.real_outcomes[answer] = figures.real_outcomes.get(answer, 0) + 1
        added_ms = sorted(
            outcome["latency_ms"] - attempt_ms[outcome["id"]]
            for outcome in outcomes
            if outcome["answer"] == "served" and outcome["id"] in attempt_ms
        )
        figures.added_ms = percentile(added_ms, 50), percentile(added_ms, 99)
        for hollow_outcomes in hollow_figures:
            for name, count in hollow_outcomes.items():
                figures.hollow_outcomes[name] = figures.hollow_outcomes.get(name, 0) + count
        list_calls_s = [*call_times["real"], *call_times["hollow"]]
        figures.peak_list_calls, figures.peak_start_s = busiest_second_between(
            list_calls_s, started_s - zero_s, ended_s - zero_s
        )
        faults_end_s = max((fault.end_s for fault in self.site.faults), default=0.0)
        figures.peak_list_calls_after_faults, _ = busiest_second_between(
            list_calls_s, faults_end_s, faults_end_s + AFTER_FAULTS_S
        )
        figures.peak_counter_keys = int(after["counter"][0]["peak_keys"])
        figures.per_gateway = self.gateway_traffic(before, after, duration_s, len(outcomes))
        for cost in figures.roles:
            if cost.name in figures.per_gateway:
                row = figures.per_gateway[cost.name]
                row["CPU ms/request"] = 1000.0 * cost.cores / max(1e-9, row["requests/s"] * cost.count)
        return figures

    async def end_load(self) -> list[dict[str, Any]]:
        """Ends the load; returns the final figures of the clients and of each process of hollow gateways."""
        workers = (self.clients, *self.hollow)
        return await asyncio.gather(*(worker.request(command="end") for worker in workers))

    def role_costs(
        self,
        before: Counts,
        after: Counts,
        usage_before: dict[str, list[ProcessUsage]],
        usage_after: dict[str, list[ProcessUsage]],
        duration_s: float,
    ) -> list[RoleCost]:
        """Returns the cost of each role, from the counts and usage before and after the measurement."""
        gateway_or_server_counts = {
            "real": self.site.real, "hollow": self.site.hollow, "servers": self.site.servers
        }  # fmt: skip
        costs = {}
        for name, usages in usage_after.items():
            pairs = list(zip(usages, usage_before[name], strict=True))
            cores = sum(now.cpu_s - was.cpu_s for now, was in pairs) / duration_s
            waited_s = sum(now.waited_s - was.waited_s for now, was in pairs)
            costs[name] = RoleCost(
                name,
                gateway_or_server_counts.get(name, 1),
                len(usages),
                cores,
                waited_s / duration_s / max(1, len(usages)),
                sum(usage.memory_mb for usage in usages),
            )
        for kind in ("real", "hollow"):
            gateway = costs[kind]
            for peer in ("lists", "counter"):
                was, now = before[peer][0][kind], after[peer][0][kind]
                calls, received, sent = (
                    (now[key] - was[key]) / duration_s for key in ("calls", "received_bytes", "sent_bytes")
                )
                gateway.calls_per_s[peer] = calls
                gateway.received_bytes_per_s += sent
                gateway.sent_bytes_per_s += received
                costs[peer].calls_per_s[kind] = calls
                costs[peer].received_bytes_per_s += received
                costs[peer].sent_bytes_per_s += sent
        servers = costs["servers"]
        server_counts = list(zip(before["servers"], after["servers"], strict=True))
        calls, received, sent = (
            sum(now[key] - was[key] for was, now in server_counts) / duration_s
            for key in ("calls", "received_bytes", "sent_bytes")
        )
        servers.calls_per_s["attempts"] = calls
        servers.received_bytes_per_s, servers.sent_bytes_per_s = received, sent
        return list(costs.values())

    def gateway_traffic(
        self, before: Counts, after: Counts, duration_s: float, real_requests: int
    ) -> dict[str, dict[str, float]]:
        """Returns the traffic of one gateway of each kind, to compare hollow and real ones."""
        hollow_requests = sum(
            now.get("asked", 0) - was.get("asked", 0)
            for was, now in zip(before.get("hollow", []), after.get("hollow", []), strict=True)
        )
        rows = {}
        for kind, count, requests in (
            ("real", self.site.real, real_requests),
            ("hollow", self.site.hollow, hollow_requests),
        ):
            if not count:
                continue
            row: dict[str, float] = {"requests/s": requests / duration_s / count}
            for peer in ("lists", "counter"):
                was, now = before[peer][0][kind], after[peer][0][kind]
                calls = now["calls"] - was["calls"]
                from_gateways = now["received_bytes"] - was["received_bytes"]
                to_gateways = now["sent_bytes"] - was["sent_bytes"]
                if peer == "lists":
                    row["list calls/min"] = 60.0 * calls / duration_s / count
                    row["list bytes/call"] = from_gateways / max(1, calls)
                    row["list bytes/answer"] = to_gateways / max(1, calls)
                else:
                    row["counter calls/request"] = calls / max(1, requests)
                    row["pings/s"] = (now["pings"] - was["pings"]) / duration_s / count
                    row["counter bytes/call"] = from_gateways / max(1, calls)
                row[f"{peer} B/s out"] = from_gateways / duration_s / count
                row[f"{peer} B/s in"] = to_gateways / duration_s / count
            rows[kind] = row
        return rows
