"""A session with the simulator's wire: every kind of event, and each action that can come of them."""

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
    """Two gateways at the wire. What is written depends on a seed and on the answers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.host = SimulatorHost()
        self.lines: list[str] = []
        self.answers: list[str] = []
        self.now = START
        self.due: list[tuple[float, int, list[Any]]] = []
        self.order = self.serial = 0
        self.attempts: dict[str, int] = {}
        self.totals: dict[int, float] = {}

    def write(self, *events: list[Any]) -> None:
        """A line for the wire, and what its answer brings about."""
        line = json.dumps({"moment_ms": self.now, "inbox": list(events)})
        answer = self.host.answer(line)
        self.lines.append(line)
        self.answers.append(answer)
        for action in json.loads(answer)["actions"]:
            self.follow(*action)

    def later(self, ms: float, event: list[Any]) -> None:
        """An event that comes so much later."""
        self.order += 1
        self.due.append((self.now + ms, self.order, event))

    def follow(self, kind: str, gid: int, *args: Any) -> None:
        """An action of the gateway's."""
        if kind == "hand_off":
            ref, _, server = args
            number = self.attempts[ref] = self.attempts.get(ref, -1) + 1
            word = self.rng.choice(["pass"] * 12 + list(OUTCOMES))
            took = round(self.rng.uniform(5.0, 200.0), 3)
            report = [0, self.rng.randrange(5), self.rng.choice([None, 3])]
            if self.rng.random() < 0.2:
                self.later(0.5 * took, ["streaming", gid, ref, number, server, 1.0])
            ended = ["ended", gid, ref, number, server, word, took, word == "pass", 1, 2, report]
            self.later(took, ended)
        elif kind == "remind":
            self.later(max(0.0, args[1] - self.now), ["alarm", gid, args[0]])
        elif kind == "incr":
            name, amount, _ = args
            word = self.rng.choice(["pass"] * 9 + ["too_slow", "no_room", "no_route"])
            if word == "pass":
                self.totals[name] = self.totals.get(name, 0.0) + amount + 0.5
            self.later(3.0, ["ledger_reply", gid, 3.0, name, self.totals.get(name, 0.0), word])

    def run(self, ms: float) -> None:
        """Lets time pass."""
        end = self.now + ms
        while self.due and min(self.due)[0] <= end:
            first = min(self.due)
            self.due.remove(first)
            self.now = max(self.now, first[0])
            self.write(first[2])
        self.now = end

    def accept(self, gid: int) -> None:
        """A request."""
        self.serial += 1
        ref = f"r{self.serial}"
        cls = self.rng.choice(["read", "read", "order", "bid", "charge", "none"])
        plan = self.rng.choice(["basic", "hard", "open", "wide", "none"])
        left = self.rng.choice([900.0, 300.0, 0.0, 2000.0, 2000.0])
        units = self.rng.choice([1, 1, 2.5, None])
        customer = f"c{self.rng.randrange(3)}{plan}"
        self.write(["accept", gid, ref, cls, plan, customer, left, units, 2, 0, False, False])
        if self.rng.random() < 0.1:
            self.write(["gone", gid, ref])


def entry(server: str, state: str = "active", started: float | None = None, hint: Any = 1) -> list[Any]:
    """A server of a list."""
    return [hint, started, "ab"[int(server[1:]) % 2], 1, "std", server, state]


def session() -> tuple[list[str], list[str]]:
    """The lines written and the lines answered."""
    made = Session(52)
    first = [entry(f"s{n}") for n in range(4)]
    made.write(["create", 3, 7, SETTINGS], ["create", 5, 8, {}], ["directory", 0, first])
    made.write(["topology", 3, "warm_copy", 1, 0], ["topology", 5, "total", 1, 0])
    for step in range(160):
        made.accept(3 if step % 8 else 5)
        made.run(made.rng.uniform(1.0, 25.0))
        if step == 40:
            made.write(["topology", 3, "lost", 0, 0])
            changed = [
                entry("s4", started=made.now),
                entry("s1", "leaving"),
                entry("s2", "left"),
                entry("s6", hint=None),
            ]
            made.write(["directory", 1, changed], ["topology", 3, "incr", 2, 1])
        if step == 90:
            made.write(["directory", 2, [*first, entry("s5", started=made.now)]])
            made.write(["topology", 3, "total", 3, 2])
            made.write(["echo", 3, "s1", "pass", 1.0, [1, 2, 3]], ["whisper", 3, 1, "aGkgNw=="])
    made.write(["accept", 3, "huge", "read", "wide", "c9", 2000.0, float("inf"), 2, 0, False, False])
    made.write(["shutdown", 5])
    made.due = [row for row in made.due if row[2][1] != 5]
    made.run(3000.0)
    return made.lines, made.answers


def answered(lines: list[str]) -> list[str]:
    """What the program answers to these lines."""
    out = io.StringIO()
    assert serve(lines, out) == 0
    return out.getvalue().splitlines()
