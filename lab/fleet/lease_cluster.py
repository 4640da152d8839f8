"""Simulates leases among hundreds of processes in simulated time.

Clocks drift; messages are lost, delayed and duplicated; links are cut; processes stop and restart. Each
effect of a task is recorded by its target, with its fencing token, start and end, and not by the lease
components.
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
from lab.fleet.simulated_networks import cut_off

TICK_S = 0.05
MAX_EFFECT_S = 0.2  # longest duration of an effect, as the task declares it


class TaskEffect(NamedTuple):
    """An effect of a task as its target records it, in seconds of real time.

    `holder` is the process that caused it, as `name#incarnation`.
    """

    task: str
    token: int
    holder: str
    started_at: float
    ended_at: float


def overlaps(effects: Sequence[TaskEffect]) -> list[tuple[TaskEffect, TaskEffect]]:
    """Returns pairs of effects of a task that overlap at different processes or whose tokens decrease.

    A restarted process counts as a different one.
    """
    pairs = []
    for task in {effect.task for effect in effects}:
        of_task = [effect for effect in effects if effect.task == task]
        ordered = sorted(of_task, key=lambda effect: effect.started_at)
        latest = ordered[0]
        for effect in ordered[1:]:
            is_concurrent = effect.holder != latest.holder and effect.started_at < latest.ended_at
            if is_concurrent or effect.token < latest.token:
                pairs.append((latest, effect))
            # Keeps the effect that ends last, with the token of the effect that started last.
            latest = effect if effect.ended_at >= latest.ended_at else latest._replace(token=effect.token)
    return pairs


def longest_gap(effects: Sequence[TaskEffect], task: str, first: float, last: float) -> float:
    """Returns the longest time from `first` to `last` in which no effect of a task starts."""
    times = sorted(
        effect.started_at for effect in effects if effect.task == task and first <= effect.started_at < last
    )
    return max(later - at for at, later in itertools.pairwise([first, *times, last]))


class Process:
    """One process with its clock, its acceptor if it is a voter, and its task candidates."""

    def __init__(self, name: str, boot: int, cluster: LeaseCluster, rate: float) -> None:
        self.name, self.boot, self.cluster, self.clock_rate = name, boot, cluster, rate
        self.clock_offset = cluster.rng.uniform(0.0, 1e6)  # clocks agree only in their rate, approximately
        self.is_stopped = False
        # Messages that arrived while the process was stopped.
        self.buffer: list[tuple[str, LeaseMessage]] = []
        now = self.clock()
        self.acceptor = Acceptor(name, cluster.terms, now) if name in cluster.terms.acceptors else None
        self.candidates = {}
        for task in cluster.tasks:
            proposer = Proposer(name, boot, task, cluster.terms, cluster.terms.max_span_s)
            self.candidates[task] = TaskCandidate(proposer, random.Random(cluster.rng.getrandbits(60)), now)

    def clock(self) -> float:
        """Returns the time of this process's own clock in seconds."""
        return self.clock_offset + self.cluster.now * self.clock_rate

    def receive(self, sender: str, message: LeaseMessage) -> list[Outgoing[LeaseMessage]]:
        if message.kind in ACCEPTOR_MESSAGE_KINDS:
            return self.acceptor.receive(self.clock(), sender, message) if self.acceptor is not None else []
        return self.candidates[message.task].receive(self.clock(), sender, message)

    def tick(self) -> list[Outgoing[LeaseMessage]]:
        """Advances the acceptor and the candidates; at random, a holder causes an effect of its task."""
        now = self.clock()
        messages = self.acceptor.tick(now) if self.acceptor is not None else []
        for candidate in self.candidates.values():
            messages += candidate.tick(now)
            token = candidate.fencing_token(now, MAX_EFFECT_S)
            if token is not None and self.cluster.rng.random() < 0.5:
                self.cluster.record_effect(candidate.proposer.task, token, self)
        return messages


class LeaseCluster:
    """A cluster of `count` processes, of which the first `voter_count` are voters.

    `drift` is the greatest deviation of a clock's rate from 1, `loss` the fraction of messages that are lost.
    """

    def __init__(
        self, count: int, seed: int, voter_count: int = 5, task_count: int = 1, lease_s: float = 3.0,
        drift: float = 0.01, loss: float = 0.0,
    ) -> None:  # fmt: skip
        self.rng = random.Random(seed)
        self.names = [f"g{n}" for n in range(count)]
        self.terms = LeaseTerms(tuple(self.names[:voter_count]), lease_s, drift)
        self.tasks = [f"task{n}" for n in range(task_count)]
        self.now, self.loss, self.sent_count, self.process_count = 0.0, loss, 0, 0
        self.effects: list[TaskEffect] = []
        self.in_flight: list[tuple[float, int, str, str, LeaseMessage]] = []
        self.send_order = itertools.count()
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.down: set[str] = set()  # killed processes
        self.processes = {name: self.make_process(name) for name in self.names}
        for name in self.names:
            voter = self.processes[name].acceptor
            if voter is not None:  # as if it had run for a long time
                voter.has_recovered = True
        self.update_members()

    def make_process(self, name: str) -> Process:
        """Creates a process without state, with a random clock rate within the bounds of the drift."""
        self.process_count += 1
        drift = self.terms.max_clock_drift
        # Draws each bound of the drift as often as a rate between them.
        rate = self.rng.choice([1.0 - drift, 1.0 + drift, self.rng.uniform(1.0 - drift, 1.0 + drift)])
        return Process(name, self.process_count, self, rate)

    def update_members(self) -> None:
        """Tells all candidates which members are down; stopped or cut off members are not reported."""
        running = [name for name in self.names if name not in self.down]
        for name, process in self.processes.items():
            for candidate in process.candidates.values():
                candidate.update_members(other for other in running if other != name)

    def record_effect(self, task: str, token: int, process: Process) -> None:
        """Records an effect that starts now, with a random duration."""
        duration_s = self.rng.choice([0.0, 0.5, 1.0]) * MAX_EFFECT_S
        holder = f"{process.name}#{process.boot}"
        self.effects.append(TaskEffect(task, token, holder, self.now, self.now + duration_s))

    def send(self, sender: str, messages: Sequence[Outgoing[LeaseMessage]]) -> None:
        """Puts messages in flight, subject to duplication, loss, delay and cuts."""
        for outgoing in messages:
            self.sent_count += 1
            for _ in range(1 + (self.rng.random() < 0.02)):
                if self.rng.random() >= self.loss and not self.cut(sender, outgoing.to):
                    max_delay_s = self.rng.choice([0.001, 0.01, 0.01, 0.05, 0.01, 1.5])
                    at, order = self.now + max_delay_s * self.rng.random(), next(self.send_order)
                    heapq.heappush(self.in_flight, (at, order, outgoing.to, sender, outgoing.message))

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
                if process.is_stopped:
                    process.buffer.append((sender, message))
                else:
                    self.send(to, process.receive(sender, message))
            self.now = step
            for name, process in self.processes.items():
                if name not in self.down and not process.is_stopped:
                    self.send(name, process.tick())

    # --- faults ------------------------------------------------------------------------------------------

    def stop(self, name: str) -> None:
        """Stops a process; messages to it are buffered, and its clock goes on."""
        self.processes[name].is_stopped = True

    def resume(self, name: str) -> None:
        """Resumes a process, which handles its buffered messages before it reads its clock again."""
        process = self.processes[name]
        process.is_stopped, buffer, process.buffer = False, process.buffer, []
        for sender, message in buffer:
            self.send(name, process.receive(sender, message))

    def kill(self, name: str) -> None:
        """Ends a process, of which membership informs the others at once; messages to it are lost."""
        self.down.add(name)
        self.update_members()

    def restart(self, name: str) -> None:
        """Replaces a process by a new one without state."""
        self.down.discard(name)
        self.processes[name] = self.make_process(name)
        self.update_members()

    def last_holder(self, task: str) -> str | None:
        """Returns the process that caused the last effect of a task, or None."""
        effects = [effect for effect in self.effects if effect.task == task]
        return effects[-1].holder.partition("#")[0] if effects else None

    def release(self, name: str) -> None:
        """Releases all leases of a process, as on SIGTERM."""
        process = self.processes[name]
        for candidate in process.candidates.values():
            self.send(name, candidate.release(process.clock()))


def run_with_faults(
    seed: int, count: int, voter_count: int, seconds: float = 60.0, task_count: int = 1
) -> LeaseCluster:
    """Runs a cluster with random faults, most of them at a lease holder, and then ends all faults."""
    rng = random.Random(seed)
    lease_s, loss = rng.choice([1.0, 3.0]), rng.choice([0.0, 0.1, 0.3])
    cluster = LeaseCluster(count, seed, voter_count, task_count, lease_s, loss=loss)
    undo: list[tuple[float, Callable[..., None], tuple[Any, ...]]] = []
    while cluster.now < seconds:
        cluster.run(rng.uniform(0.1, 2.0))
        for row in [row for row in undo if row[0] <= cluster.now]:
            undo.remove(row)
            row[1](*row[2])
        holder = cluster.last_holder(rng.choice(cluster.tasks)) or "g0"
        name = holder if rng.random() < 0.6 else rng.choice(cluster.names)
        kind = rng.choice(["stop", "restart", "kill", "release", "cut", "one way", "halves"])
        undo_at = cluster.now + rng.uniform(0.2, 6.0)
        if name in cluster.down or cluster.processes[name].is_stopped or len(undo) > max(2, voter_count // 2):
            continue
        if kind == "stop":
            cluster.stop(name)
            undo.append((undo_at, cluster.resume, (name,)))
        elif kind == "restart":
            cluster.restart(name)
        elif kind == "kill":
            cluster.kill(name)
            undo.append((undo_at, cluster.restart, (name,)))
        elif kind == "release":
            cluster.release(name)
        else:
            half = set(rng.sample(cluster.names, len(cluster.names) // 2))
            cuts: dict[str, Callable[[str, str], bool]] = {
                "cut": lambda a, b, n=name: n in (a, b),  # type: ignore[misc]
                "one way": lambda a, b, n=name: a == n,  # type: ignore[misc]
                "halves": cut_off(half),
            }
            cluster.cut = cuts[kind]
            undo.append((undo_at, setattr, (cluster, "cut", lambda a, b: False)))
    for _, undo_fault, args in undo:
        undo_fault(*args)
    cluster.loss = 0.0
    return cluster


def run_acceptor_changes(seed: int, voter_sets: Sequence[Sequence[int]]) -> LeaseCluster:
    """Changes the set of voters in service, through each of `voter_sets` in turn.

    For each set all processes are restarted in random order with pauses, while others are stopped and links
    are cut. Then a lease time passes before the next set.
    """
    rng = random.Random(seed)
    cluster = LeaseCluster(8, seed, len(voter_sets[0]), lease_s=1.0, loss=rng.choice([0.0, 0.2]))
    for index, voters in enumerate(voter_sets):
        cluster.terms = replace(cluster.terms, acceptors=tuple(cluster.names[n] for n in voters))
        if index == 0:
            for name in cluster.names:
                cluster.restart(name)
            cluster.run(4.0)
            continue
        for name in rng.sample(cluster.names, len(cluster.names)):
            stopped = rng.choice(cluster.names) if rng.random() < 0.4 else None
            half = set(rng.sample(cluster.names, 4))
            if rng.random() < 0.5:
                cluster.cut = cut_off(half)
            if stopped is not None:
                cluster.stop(stopped)
            cluster.run(rng.uniform(0.1, 1.5))
            cluster.restart(name)
            cluster.run(rng.uniform(0.1, 1.5))
            if stopped is not None and cluster.processes[stopped].is_stopped:
                cluster.resume(stopped)
            cluster.cut = lambda a, b: False
        cluster.run(cluster.terms.startup_silence_s + 1.0)
    cluster.loss = 0.0
    return cluster
