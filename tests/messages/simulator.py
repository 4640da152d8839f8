"""A session with the adapter to the simulator: all kinds of events, and all actions that they can cause."""

from __future__ import annotations

import io
import json
import random
from typing import Any

from glenchute.simulator import OUTCOMES, SimulatorHost, serve

START = 1_700_000_000_000.0
SETTINGS: dict[str, Any] = {
    "my_zone": "a",
    "balancers": 2,
    "domain": {"counter": True, "counter_timeout_ms": 40.0},
    "limits": {"attempts_cap": 3, "retry_after": True, "max_retry_after_ms": 500.0, "max_open": 80,
               "second_copies": True},
    "membership_mode": "subscribe",
    "weight_kind": "nominal",
    "packages": [
        {"name": "basic", "per_second": 6.0, "most_at_once": 12.0, "price": 2.0},
        {"name": "hard", "per_second": 6.0, "most_at_once": 12.0, "ceiling_rate": 9.0, "hard_burst": 20.0,
         "ceiling_slack": 2.0, "excess_worth": 0.1, "beyond_costs": 0.5},
        {"name": "open", "max_out": 3},
        {"name": "wide"},
    ],
    "profiles": [
        {"name": "read", "repeat": "read_like", "aim_ms": 500.0, "importance": 1.0, "late_worth": 0.2},
        {"name": "order", "repeat": "idempotency_key", "group": "zone", "memory_span_ms": 900.0,
         "aim_ms": 500.0, "importance": 3.0},
        {"name": "bid", "repeat": "idempotency_key", "group": "all", "memory_span_ms": 900.0,
         "aim_ms": 500.0},
        {"name": "charge", "repeat": "non_idempotent", "hard_limit_ms": 1000.0},
    ],
    "reporting": {"fields": ["x0", "waiting", "active"], "how": "piggyback"},
    "safety": {"cold_from": 0.25, "warm_after_ms": 6000.0, "overload_factor": 2.0, "fall_ms": 1000.0},
    "prices": {"cross_zone": 0.02},
}  # fmt: skip


class Session:
    """The simulator's side of a session with an adapter that hosts two gateways. The events that it writes
    depend on a seed and on the answers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.host = SimulatorHost()
        self.lines: list[str] = []
        self.answers: list[str] = []
        self.now = START
        self.due: list[tuple[float, int, list[Any]]] = []  # scheduled events: time, sequence number, event
        self.event_number = self.request_number = 0
        self.attempts: dict[str, int] = {}  # number of the last attempt by request id
        self.totals: dict[int, float] = {}  # the shared counter's totals by key

    def write(self, *events: list[Any]) -> None:
        """Writes events as one line, and handles the actions in the answer."""
        line = json.dumps({"moment_ms": self.now, "inbox": list(events)})
        answer = self.host.answer(line)
        self.lines.append(line)
        self.answers.append(answer)
        for action in json.loads(answer)["actions"]:
            self.handle_action(*action)

    def schedule(self, delay_ms: float, event: list[Any]) -> None:
        """Schedules an event after a delay."""
        self.event_number += 1
        self.due.append((self.now + delay_ms, self.event_number, event))

    def handle_action(self, kind: str, gateway: int, *args: Any) -> None:
        """Schedules the events that an action of a gateway causes."""
        if kind == "hand_off":
            request_id, _, server = args
            number = self.attempts[request_id] = self.attempts.get(request_id, -1) + 1
            outcome = self.rng.choice(["pass"] * 12 + list(OUTCOMES))
            duration_ms = round(self.rng.uniform(5.0, 200.0), 3)
            load_report = [0, self.rng.randrange(5), self.rng.choice([None, 3])]
            if self.rng.random() < 0.2:
                self.schedule(0.5 * duration_ms, ["streaming", gateway, request_id, number, server, 1.0])
            ended = [
                "ended",
                gateway,
                request_id,
                number,
                server,
                outcome,
                duration_ms,
                outcome == "pass",
                1,
                2,
                load_report,
            ]
            self.schedule(duration_ms, ended)
        elif kind == "remind":
            self.schedule(max(0.0, args[1] - self.now), ["alarm", gateway, args[0]])
        elif kind == "incr":
            key, amount, _ = args
            outcome = self.rng.choice(["pass"] * 9 + ["too_slow", "no_room", "no_route"])
            if outcome == "pass":
                self.totals[key] = self.totals.get(key, 0.0) + amount + 0.5
            self.schedule(3.0, ["ledger_reply", gateway, 3.0, key, self.totals.get(key, 0.0), outcome])

    def run(self, duration_ms: float) -> None:
        """Advances the time by a duration and writes the events that become due."""
        end = self.now + duration_ms
        while self.due and min(self.due)[0] <= end:
            next_due = min(self.due)
            self.due.remove(next_due)
            self.now = max(self.now, next_due[0])
            self.write(next_due[2])
        self.now = end

    def accept(self, gateway: int) -> None:
        """Writes a request with random properties, and for some of them that the client has disconnected."""
        self.request_number += 1
        request_id = f"r{self.request_number}"
        class_name = self.rng.choice(["read", "read", "order", "bid", "charge", "none"])
        plan = self.rng.choice(["basic", "hard", "open", "wide", "none"])
        time_left_ms = self.rng.choice([900.0, 300.0, 0.0, 2000.0, 2000.0])
        units = self.rng.choice([1, 1, 2.5, None])
        tenant = f"c{self.rng.randrange(3)}{plan}"
        event = ["accept", gateway, request_id, class_name, plan, tenant, time_left_ms, units]
        self.write([*event, 2, 0, False, False])
        if self.rng.random() < 0.1:
            self.write(["gone", gateway, request_id])


def entry(server: str, state: str = "active", started: float | None = None, weight: Any = 1) -> list[Any]:
    """Returns a row of an endpoint list."""
    return [weight, started, "ab"[int(server[1:]) % 2], 1, "std", server, state]


def session() -> tuple[list[str], list[str]]:
    """Plays a session; returns the simulator's lines and the answers to them."""
    recorded = Session(52)
    servers = [entry(f"s{n}") for n in range(4)]
    recorded.write(["create", 3, 7, SETTINGS], ["create", 5, 8, {}], ["directory", 0, servers])
    recorded.write(["topology", 3, "warm_copy", 1, 0], ["topology", 5, "total", 1, 0])
    for step in range(160):
        recorded.accept(3 if step % 8 else 5)
        recorded.run(recorded.rng.uniform(1.0, 25.0))
        if step == 40:
            recorded.write(["topology", 3, "lost", 0, 0])
            changed = [
                entry("s4", started=recorded.now),
                entry("s1", "leaving"),
                entry("s2", "left"),
                entry("s6", weight=None),
            ]
            recorded.write(["directory", 1, changed], ["topology", 3, "incr", 2, 1])
        if step == 90:
            recorded.write(["directory", 2, [*servers, entry("s5", started=recorded.now)]])
            recorded.write(["topology", 3, "total", 3, 2])
            recorded.write(["echo", 3, "s1", "pass", 1.0, [1, 2, 3]], ["whisper", 3, 1, "aGkgNw=="])
    # Infinite units raise an exception in the engine, so the answer holds a "die".
    recorded.write(["accept", 3, "huge", "read", "wide", "c9", 2000.0, float("inf"), 2, 0, False, False])
    recorded.write(["shutdown", 5])
    # Events for a gateway that was shut down are errors on the wire.
    recorded.due = [row for row in recorded.due if row[2][1] != 5]
    recorded.run(3000.0)
    return recorded.lines, recorded.answers


def serve_lines(lines: list[str]) -> list[str]:
    """Returns the adapter's answers to these lines, as it writes them to its output."""
    out = io.StringIO()
    assert serve(lines, out) == 0
    return out.getvalue().splitlines()
