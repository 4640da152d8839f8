"""Schedules of soak runs, each drawn from its seed alone so that a run can be repeated."""

from __future__ import annotations

import random
from enum import Enum
from typing import NamedTuple

from lab.faults import Fault, FaultKind

LONGEST_DEADLINES_MS = (150, 300, 900, 3000)  # a run uses one of these as its longest deadline
KILL_DELAY_S = 0.7  # from the longest deadline to the platform's earliest SIGKILL
PLATFORM_MAX_DEADLINE_S = 3.0  # longer deadlines do not delay the platform's SIGKILL further
SERVERS = 5


class Ending(Enum):
    """How a run ends: the signals in the order in which they are sent."""

    TERM = "SIGTERM"
    TERM_TWICE = "SIGTERM twice"
    TERM_FIVE_TIMES = "SIGTERM five times"
    RELOAD_BEFORE = "SIGHUP right before SIGTERM"
    RELOAD_AFTER = "SIGHUP right after SIGTERM"
    BROKEN_FILE = "SIGHUP with a broken file, then SIGTERM"
    DISCOVERY_MOVES = "SIGHUP that moves discovery, then SIGTERM"
    STOPPED = "SIGSTOP and SIGCONT, then SIGTERM"
    DURING_START = "SIGTERM while the process starts"
    REPLACED = "another process takes the passed socket, then SIGTERM"
    REPLACED_TWICE = "two replacements, one after the other"


class ServerChange(NamedTuple):
    """A change of one server in discovery's list."""

    at_s: float
    server: int
    states: tuple[str, ...]  # one row for each, all in a single answer of discovery


class Schedule(NamedTuple):
    """Schedule of one run.

    Points in time are seconds after the load began; SIGTERM is sent at `terminate_at_s`.
    """

    seed: int
    ending: Ending
    longest_deadline_ms: int
    terminate_at_s: float
    connects_after_s: float  # for which clients open new connections after SIGTERM
    stopped_s: float  # between SIGSTOP and SIGCONT
    client_count: int
    rate_per_s: float
    pipelined_share: float  # of the batches, those with several requests
    split_share: float  # of the batches, those that are written in several pieces
    disconnecting_share: float  # of the batches, those whose client disconnects without waiting
    idle_clients: int  # each holds a connection and sends one PING on it
    slow_readers: int
    service_ms: float
    server_faults: tuple[tuple[Fault, ...], ...]  # by server
    counter_faults: tuple[Fault, ...]
    counter_reset_at_s: float | None
    changes: tuple[ServerChange, ...]
    discovery_outage_s: tuple[float, float] | None  # its begin and end

    @property
    def kill_after_s(self) -> float:
        """Seconds from SIGTERM to the platform's earliest SIGKILL."""
        return min(self.longest_deadline_ms / 1000.0, PLATFORM_MAX_DEADLINE_S) + KILL_DELAY_S

    def describe(self) -> str:
        """Describes the run in one line of the report."""
        faults = sorted({fault.kind.value for faults in self.server_faults for fault in faults})
        counter = sorted({fault.kind.value for fault in self.counter_faults})
        changes = [f"{'+'.join(change.states)}@{change.at_s:.1f}" for change in self.changes]
        return (
            f"{self.ending.value}; deadlines to {self.longest_deadline_ms} ms; {self.client_count} clients,"
            f" {self.rate_per_s:.0f}/s, {self.idle_clients} idle clients, {self.slow_readers} slow readers;"
            f" server faults {faults or 'none'}; counter faults {counter or 'none'}"
            f"{', counter reset' if self.counter_reset_at_s is not None else ''};"
            f" list changes {changes or 'none'}"
            f"{', discovery outage' if self.discovery_outage_s else ''}"
        )


SERVER_FAULT_KINDS = (
    FaultKind.VANISH,
    FaultKind.RESET,
    FaultKind.DELAY,
    FaultKind.FAIL,
    FaultKind.REFUSE,
    FaultKind.STALL,
    FaultKind.DOWN,
)
COUNTER_FAULT_KINDS = (FaultKind.VANISH, FaultKind.DELAY, FaultKind.REFUSE)


def draw_server_faults(rng: random.Random, end_s: float) -> tuple[tuple[Fault, ...], ...]:
    """Draws faults of some servers, many of which last beyond SIGTERM."""
    faults: list[tuple[Fault, ...]] = []
    for _ in range(SERVERS):
        if rng.random() > 0.3:
            faults.append(())
            continue
        from_s = rng.uniform(0.0, end_s)
        until_s = from_s + rng.uniform(0.3, 4.0)
        share = rng.choice((0.1, 0.5, 1.0))
        faults.append(
            (Fault(rng.choice(SERVER_FAULT_KINDS), from_s, until_s, share, rng.uniform(0.05, 0.6)),)
        )
    return tuple(faults)


def draw_changes(rng: random.Random, end_s: float) -> tuple[ServerChange, ...]:
    """Draws drains, some of them of servers that one discovery answer names twice."""
    changes = []
    for server in rng.sample(range(SERVERS), rng.choice((0, 0, 1, 2))):
        states = ("Ready", "Terminating") if rng.random() < 0.3 else ("Terminating",)
        changes.append(ServerChange(rng.uniform(0.2, end_s + 0.3), server, states))
    return tuple(sorted(changes))


def draw(seed: int) -> Schedule:
    """Draws the schedule of a seed."""
    rng = random.Random(f"soak {seed}")
    end_s = rng.uniform(0.8, 2.0)
    idle_clients = rng.choice((150, 300, 800)) if rng.random() < 0.2 else 0
    counter_faults: tuple[Fault, ...] = ()
    if rng.random() < 0.4:
        from_s = rng.uniform(0.0, end_s)
        fault = Fault(
            rng.choice(COUNTER_FAULT_KINDS),
            from_s,
            from_s + rng.uniform(0.3, 3.0),
            rng.choice((0.3, 1.0)),
            0.2,
        )
        counter_faults = (fault,)
    outage_at_s = rng.uniform(0.2, end_s)
    return Schedule(
        seed=seed,
        ending=rng.choice(list(Ending)),
        longest_deadline_ms=rng.choice(LONGEST_DEADLINES_MS),
        terminate_at_s=end_s,
        connects_after_s=rng.uniform(0.2, 0.4),
        stopped_s=rng.uniform(0.1, 1.0),
        client_count=rng.randint(6, 30),
        rate_per_s=rng.choice((60.0, 150.0, 300.0)),
        pipelined_share=rng.choice((0.0, 0.3, 0.7)),
        split_share=rng.choice((0.0, 0.2, 0.5)),
        disconnecting_share=rng.choice((0.0, 0.1, 0.3)),
        idle_clients=idle_clients,
        slow_readers=rng.choice((5, 40)) if rng.random() < 0.25 else 0,
        service_ms=rng.choice((5.0, 20.0, 60.0)),
        server_faults=draw_server_faults(rng, end_s),
        counter_faults=counter_faults,
        counter_reset_at_s=rng.uniform(0.2, end_s) if rng.random() < 0.2 else None,
        changes=draw_changes(rng, end_s),
        discovery_outage_s=(outage_at_s, outage_at_s + rng.uniform(0.2, 1.5)) if rng.random() < 0.2 else None,
    )
