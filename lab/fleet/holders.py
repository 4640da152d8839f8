"""Simulates leases among hundreds of processes in simulated time.

Clocks drift; messages are lost, delayed and duplicated; links are cut; processes stop and restart. Each act
is recorded by the target of the act, with its fencing token, start and end, and not by the lease components.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, NamedTuple

from glenchute.policy.membership.leases import (
    ACCEPTOR_MESSAGE_KINDS,
    Acceptor,
    LeaseMessage,
    LeaseTerms,
    Proposer,
)
from glenchute.policy.membership.outgoing import Outgoing
from glenchute.policy.membership.task_candidates import TaskCandidate
from lab.fleet.simulated import apart

TICK_S = 0.05
ACT_S = 0.2  # longest duration of an act, as the task declares it


class Act(NamedTuple):
    """One act as its target records it, in seconds of real time."""

    task: str
    token: int
    by: str
    began: float
    ended: float


def overlaps(acts: Sequence[Act]) -> list[tuple[Act, Act]]:
    """Returns pairs of acts of a task that overlap at different processes or whose tokens decrease.

    A restarted process counts as a different one.
    """
    found = []
    for task in {act.task for act in acts}:
        rows = sorted((act for act in acts if act.task == task), key=lambda act: act.began)
        latest = rows[0]
        for act in rows[1:]:
            if (act.by != latest.by and act.began < latest.ended) or act.token < latest.token:
                found.append((latest, act))
            latest = act if act.ended >= latest.ended else latest._replace(token=act.token)
    return found


def longest_gap(acts: Sequence[Act], task: str, first: float, last: float) -> float:
    """Returns the longest time from `first` to `last` without a new act of a task."""
    times = sorted(act.began for act in acts if act.task == task and first <= act.began < last)
    return max(later - at for at, later in itertools.pairwise([first, *times, last]))


class Process:
    """One process with its clock, its acceptor if it is a voter, and its task candidates."""

    def __init__(self, name: str, boot: int, cluster: LeaseCluster, rate: float) -> None:
        self.name, self.boot, self.cluster, self.rate = name, boot, cluster, rate
        self.offset = cluster.rng.uniform(0.0, 1e6)  # clocks agree only in their approximate rate
        self.stopped = False
        self.buffer: list[
            tuple[str, LeaseMessage]
        ] = []  # messages that arrived while the process was stopped
        now = self.clock()
        self.acceptor = Acceptor(name, cluster.terms, now) if name in cluster.terms.acceptors else None
        self.candidates = {}
        for task in cluster.tasks:
            proposer = Proposer(name, boot, task, cluster.terms, cluster.terms.max_span_s)
            self.candidates[task] = TaskCandidate(proposer, random.Random(cluster.rng.getrandbits(60)), now)

    def clock(self) -> float:
        return self.offset + self.cluster.now * self.rate

    def receive(self, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        if message.kind in ACCEPTOR_MESSAGE_KINDS:
            return self.acceptor.receive(self.clock(), sender, message) if self.acceptor is not None else []
        return self.candidates[message.task].receive(self.clock(), sender, message)

    def tick(self) -> list[Outgoing[LeaseMessage]]:
        now = self.clock()
        outs = self.acceptor.tick(now) if self.acceptor is not None else []
        for candidate in self.candidates.values():
            outs += candidate.tick(now)
            token = candidate.fencing_token(now, ACT_S)
            if token is not None and self.cluster.rng.random() < 0.5:
                self.cluster.act(candidate.proposer.task, token, self)
        return outs


class LeaseCluster:
    """A cluster of `count` processes, of which the first `voters` are voters."""

    def __init__(
        self, count: int, seed: int, voters: int = 5, tasks: int = 1, longest: float = 3.0,
        drift: float = 0.01, lose: float = 0.0,
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.names = [f"g{n}" for n in range(count)]
        self.terms = LeaseTerms(tuple(self.names[:voters]), longest, drift)
        self.tasks = [f"task{n}" for n in range(tasks)]
        self.now, self.loss, self.sent, self.boots = 0.0, lose, 0, 0
        self.effects: list[Act] = []
        self.in_flight: list[tuple[float, int, str, str, LeaseMessage]] = []
        self.order = itertools.count()
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.down: set[str] = set()
        self.processes = {name: self.make_process(name) for name in self.names}
        for name in self.names:
            voter = self.processes[name].acceptor
            if voter is not None:  # as if they had run for a long time
                voter.has_recovered = True
        self.update_members()

    def make_process(self, name: str) -> Process:
        self.boots += 1
        drift = self.terms.max_clock_drift
        # Draws each bound of the drift as often as a rate between them.
        rate = self.rng.choice([1.0 - drift, 1.0 + drift, self.rng.uniform(1.0 - drift, 1.0 + drift)])
        return Process(name, self.boots, self, rate)

    def update_members(self) -> None:
        """Tells all candidates which members are down; stopped or cut off members are not reported."""
        there = [name for name in self.names if name not in self.down]
        for name, process in self.processes.items():
            for candidate in process.candidates.values():
                candidate.update_members(one for one in there if one != name)

    def act(self, task: str, token: int, by: Process) -> None:
        """Records an act that starts now, with a random duration."""
        took = self.rng.choice([0.0, 0.5, 1.0]) * ACT_S
        self.effects.append(Act(task, token, f"{by.name}#{by.boot}", self.now, self.now + took))

    def post(self, sender: str, outs: Sequence[Outgoing[LeaseMessage]]) -> None:
        for out in outs:
            self.sent += 1
            for _ in range(1 + (self.rng.random() < 0.02)):
                if self.rng.random() >= self.loss and not self.cut(sender, out.to):
                    late = self.rng.choice([0.001, 0.01, 0.01, 0.05, 0.01, 1.5])
                    row = (self.now + late * self.rng.random(), next(self.order), out.to, sender, out.message)
                    heapq.heappush(self.in_flight, row)

    def run(self, seconds: float) -> None:
        """Runs the simulation for `seconds`."""
        end = self.now + seconds
        while self.now < end:
            step = self.now + TICK_S
            while self.in_flight and self.in_flight[0][0] <= step:
                at, _, to, sender, message = heapq.heappop(self.in_flight)
                self.now = max(self.now, at)
                process = self.processes[to]
                if to in self.down:
                    continue
                if process.stopped:
                    process.buffer.append((sender, message))
                else:
                    self.post(to, process.receive(sender, message))
            self.now = step
            for name, process in self.processes.items():
                if name not in self.down and not process.stopped:
                    self.post(name, process.tick())

    # --- faults ------------------------------------------------------------------------------------------

    def stop(self, name: str) -> None:
        self.processes[name].stopped = True

    def resume(self, name: str) -> None:
        """Resumes a process, which handles its buffered messages before it reads its clock again."""
        process = self.processes[name]
        process.stopped, buffer, process.buffer = False, process.buffer, []
        for sender, message in buffer:
            self.post(name, process.receive(sender, message))

    def kill(self, name: str) -> None:
        self.down.add(name)
        self.update_members()

    def restart(self, name: str) -> None:
        self.down.discard(name)
        self.processes[name] = self.make_process(name)
        self.update_members()

    def holder(self, task: str) -> str | None:
        """Returns the process that acted last for a task, or None."""
        acts = [act for act in self.effects if act.task == task]
        return acts[-1].by.partition("#")[0] if acts else None

    def release(self, name: str) -> None:
        """Releases all leases of a process, as on SIGTERM."""
        process = self.processes[name]
        for candidate in process.candidates.values():
            self.post(name, candidate.release(process.clock()))


def run_with_faults(
    seed: int, count: int, voters: int, seconds: float = 60.0, tasks: int = 1
) -> LeaseCluster:
    """Runs a cluster with random faults, most of them at a lease holder, and then ends all faults."""
    rng = random.Random(seed)
    longest, lose = rng.choice([1.0, 3.0]), rng.choice([0.0, 0.1, 0.3])
    cluster = LeaseCluster(count, seed, voters, tasks, longest, lose=lose)
    undo: list[tuple[float, Callable[..., None], tuple[Any, ...]]] = []
    while cluster.now < seconds:
        cluster.run(rng.uniform(0.1, 2.0))
        for row in [row for row in undo if row[0] <= cluster.now]:
            undo.remove(row)
            row[1](*row[2])
        held = cluster.holder(rng.choice(cluster.tasks)) or "g0"
        name = held if rng.random() < 0.6 else rng.choice(cluster.names)
        kind = rng.choice(["stop", "restart", "kill", "release", "cut", "one way", "halves"])
        back = cluster.now + rng.uniform(0.2, 6.0)
        if name in cluster.down or cluster.processes[name].stopped or len(undo) > max(2, voters // 2):
            continue
        if kind == "stop":
            cluster.stop(name)
            undo.append((back, cluster.resume, (name,)))
        elif kind == "restart":
            cluster.restart(name)
        elif kind == "kill":
            cluster.kill(name)
            undo.append((back, cluster.restart, (name,)))
        elif kind == "release":
            cluster.release(name)
        else:
            half = set(rng.sample(cluster.names, len(cluster.names) // 2))
            cuts: dict[str, Callable[[str, str], bool]] = {
                "cut": lambda a, b, n=name: n in (a, b),  # type: ignore[misc]
                "one way": lambda a, b, n=name: a == n,  # type: ignore[misc]
                "halves": apart(half),
            }
            cluster.cut = cuts[kind]
            undo.append((back, setattr, (cluster, "cut", lambda a, b: False)))
    for _, act, args in undo:
        act(*args)
    cluster.loss = 0.0
    return cluster


def run_acceptor_changes(seed: int, sets: Sequence[Sequence[int]]) -> LeaseCluster:
    """Changes the set of voters in service, through each of `sets` in turn.

    For each set all processes are restarted in random order with pauses, among stops and cuts. Then a lease
    time passes before the next set.
    """
    rng = random.Random(seed)
    cluster = LeaseCluster(8, seed, len(sets[0]), longest=1.0, lose=rng.choice([0.0, 0.2]))
    for at, voters in enumerate(sets):
        cluster.terms = replace(cluster.terms, acceptors=tuple(cluster.names[n] for n in voters))
        if at == 0:
            for name in cluster.names:
                cluster.restart(name)
            cluster.run(4.0)
            continue
        for name in rng.sample(cluster.names, len(cluster.names)):
            stopped = rng.choice(cluster.names) if rng.random() < 0.4 else None
            half = set(rng.sample(cluster.names, 4))
            if rng.random() < 0.5:
                cluster.cut = apart(half)
            if stopped is not None:
                cluster.stop(stopped)
            cluster.run(rng.uniform(0.1, 1.5))
            cluster.restart(name)
            cluster.run(rng.uniform(0.1, 1.5))
            if stopped is not None and cluster.processes[stopped].stopped:
                cluster.resume(stopped)
            cluster.cut = lambda a, b: False
        cluster.run(cluster.terms.startup_silence_s + 1.0)
    cluster.loss = 0.0
    return cluster
