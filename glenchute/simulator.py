"""The wire adapter: hosts gateways for the simulator, translating JSON lines. It decides nothing.

Run as ``python -m glenchute.simulator``. Words of the wire are turned into those of the interface here.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from enum import Enum
from typing import Any, TextIO, TypeVar

from glenchute.policy.engine import Gateway

from .policy import interface as api

ENDINGS = {
    "pass": api.Ending.OK,
    "fault": api.Ending.ERROR,
    "no_room": api.Ending.FULL,
    "too_slow": api.Ending.TIMEOUT,
    "no_route": api.Ending.UNREACHABLE,
    "cut": api.Ending.RESET,
    "undone": api.Ending.CANCELLED,
    "stale_send": api.Ending.UNSENT,
}
REPEATS = {
    "read_like": api.Repeat.SAFE,
    "idempotency_key": api.Repeat.KEYED,
    "non_idempotent": api.Repeat.UNSAFE,
}
SCOPES = {"all": api.Scope.ALL, "zone": api.Scope.ZONE, "cell": api.Scope.CELL}
STATES = {
    "active": api.ServerState.ACTIVE,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.GONE,
}
LISTS = {
    "incr": api.ListKind.CHANGES,
    "total": api.ListKind.FULL,
    "warm_copy": api.ListKind.SAVED,
    "lost": api.ListKind.FAILED,
}
WIDTHS = {
    "create": 3, "shutdown": 1, "directory": 2, "topology": 4, "accept": 11, "streaming": 4, "ended": 10,
    "gone": 2, "alarm": 2, "echo": 5, "whisper": 3, "ledger_reply": 5,
}  # fmt: skip
E = TypeVar("E", bound=Enum)


class WireError(ValueError):
    """A message that this adapter can't read."""


def num(value: Any, default: float = 0.0) -> float:
    """A number, or the default where the wire holds none."""
    return default if value is None or isinstance(value, bool) else float(value)


def word(table: dict[str, E], value: Any, what: str) -> E:
    """One word of the wire in the interface's terms."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"unknown {what} {value!r}") from None


def settings(raw: dict[str, Any]) -> api.Settings:
    """The settings of one gateway; unknown keys are passed over, missing ones get the safest reading."""

    def part(key: str) -> dict[str, Any]:
        found = raw.get(key)
        return found if isinstance(found, dict) else {}

    def rows(key: str) -> list[dict[str, Any]]:
        found = raw.get(key)
        return [row for row in found if isinstance(row, dict)] if isinstance(found, list) else []

    limits, safety, family, prices = part("limits"), part("safety"), part("domain"), part("prices")
    classes = tuple(
        api.RequestClass(
            name=str(row.get("name")),
            aim_ms=num(row.get("aim_ms"), num(row.get("hard_limit_ms"), 1000.0)),
            worth=num(row.get("importance"), 1.0),
            repeat=REPEATS.get(str(row.get("repeat")), api.Repeat.UNSAFE),
            scope=SCOPES.get(str(row.get("group")), api.Scope.CELL),
            memory_ms=num(row.get("memory_span_ms")),
            late_worth=num(row.get("late_worth")),
        )
        for row in rows("profiles")
    )
    plans = tuple(
        api.Plan(
            name=str(row.get("name")),
            price=num(row.get("price"), 1.0),
            rate=num(row.get("per_second")),
            burst=num(row.get("most_at_once")),
            max_open=int(num(row.get("max_out"))),
            ceiling_rate=num(row.get("ceiling_rate")),
            ceiling_burst=num(row.get("hard_burst")),
            ceiling_slack=num(row.get("ceiling_slack")),
            beyond_worth=num(row.get("excess_worth")),
            beyond_cost=num(row.get("beyond_costs")),
        )
        for row in rows("packages")
    )
    rules = api.Safety()
    return api.Settings(
        zone=str(raw.get("my_zone")),
        gateways=max(1, int(num(raw.get("balancers"), 1))),
        classes=classes,
        plans=plans,
        safety=api.Safety(
            cold_share=num(safety.get("cold_from"), rules.cold_share),
            warm_ms=num(safety.get("warm_after_ms"), rules.warm_ms),
            overload_factor=num(safety.get("overload_factor"), rules.overload_factor),
            overload_ms=num(safety.get("fall_ms"), rules.overload_ms),
        ),
        max_attempts=int(num(limits.get("attempts_cap"), 1)),
        max_requests=int(num(limits.get("max_open"), 20000)),
        max_retry_after_ms=num(limits.get("max_retry_after_ms")) if limits.get("retry_after") else 0.0,
        counter=bool(family.get("counter")),
        counter_timeout_ms=num(family.get("counter_timeout_ms"), 50.0),
        subscribe=raw.get("membership_mode") == "subscribe",
        sizes_known=raw.get("weight_kind") in ("nominal", "rough"),
        cross_zone_price=num(prices.get("cross_zone")),
        overlap=limits.get("second_copies") is True,
    )


class Host:
    """All gateways of one process, by their ids. They share the numbered lists of the wire, nothing else."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.fields: dict[int, list[str]] = {}
        self.lists: dict[int, tuple[api.ServerEntry, ...]] = {}

    def batch(self, text: str) -> str:
        """Answers one line of the wire."""
        try:
            message = json.loads(text)
            now, inbox = float(message["moment_ms"]), message["inbox"]
        except (ValueError, KeyError, TypeError) as error:
            raise WireError(f"not a batch ({error!r}): {text[:200]!r}") from error
        if not isinstance(inbox, list):
            raise WireError(f"inbox is not a list: {text[:200]!r}")
        out: list[list[Any]] = []
        for raw in inbox:
            out += self.event(now, raw)
        return json.dumps({"actions": out}, separators=(",", ":"))

    def event(self, now: float, raw: Any) -> list[list[Any]]:
        """Hands one event to its gateway and returns the actions in the wire's form."""
        try:
            kind, args = raw[0], list(raw[1:])
            width = WIDTHS.get(kind)
            if width is None:
                raise WireError(f"unknown event {kind!r}")
            args += [None] * (width - len(args))
            if kind == "directory":
                self.lists[int(args[0])] = tuple(self.entry(row) for row in args[1])
                return []
            gid = int(args[0])
            if kind == "create":
                given = args[2] or {}
                made, seed = settings(given), int(args[1])
                self.fields[gid] = list((given.get("reporting") or {}).get("fields") or [])
            elif kind == "shutdown":
                self.gateways.pop(gid, None)
                return []
            elif gid not in self.gateways:
                raise WireError(f"event for gateway {gid}, which was not created")
            else:
                event = self.decode(kind, gid, args)
        except WireError:
            raise
        except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
            raise WireError(f"can't read event ({error!r}): {json.dumps(raw)[:200]}") from error
        try:
            if kind == "create":
                self.gateways[gid] = Gateway(made, seed)
                return []
            actions = self.gateways[gid].handle(now, event) if event is not None else []
        except Exception as error:  # the wire wants the text of any failure of the decisions
            return [["die", gid, f"{type(error).__name__}: {error}"]]
        return [encode(gid, action) for action in actions]

    def entry(self, row: list[Any]) -> api.ServerEntry:
        """One server of a list."""
        hint, started, zone, cell, _kind, server, state = (list(row) + [None] * 7)[:7]
        return api.ServerEntry(
            server=str(server),
            zone=str(zone),
            cell=int(num(cell)),
            size=num(hint, 1.0),
            started_ms=num(started),
            state=word(STATES, state, "server state"),
        )

    def decode(self, kind: str, gid: int, args: list[Any]) -> api.Event | None:
        """An event in the interface's terms; None for what no decision needs."""
        if kind == "accept":
            return api.Request(
                request_id=str(args[1]),
                class_name=str(args[2]),
                plan=str(args[3]),
                customer=str(args[4]),
                time_left_ms=num(args[5]),
                units=num(args[6], 1.0),
                spread=max(1, int(num(args[7], 1))),
            )
        if kind == "ended":
            report = dict(zip(self.fields.get(gid, []), args[9] or [], strict=False))
            return api.AttemptEnded(
                request_id=str(args[1]),
                attempt=int(num(args[2])),
                server=str(args[3]),
                ending=word(ENDINGS, args[4], "outcome"),
                took_ms=num(args[5]),
                final=bool(args[6]),
                queue=optional(report.get("waiting")),
                active=optional(report.get("active")),
            )
        if kind == "topology":
            how = word(LISTS, args[1], "list kind")
            return api.ServerList(how, () if how is api.ListKind.FAILED else self.lists[int(args[3])])
        if kind == "gone":
            return api.RequestGone(str(args[1]))
        if kind == "alarm":
            return api.TimerFired(int(args[1]))
        if kind == "ledger_reply":
            ending = word(ENDINGS, args[4], "outcome")
            return api.CountReply(int(args[2]), num(args[3]), ending, num(args[1]))
        if kind == "streaming":
            return api.AnswerBegan(str(args[1]), int(num(args[2])))
        return None  # probes and messages to peers are never asked for


def optional(value: Any) -> float | None:
    """A reported figure, or None."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None


def encode(gid: int, action: api.Action) -> list[Any]:
    """An action in the wire's form."""
    match action:
        case api.Send(request_id, server, timeout_ms):
            return ["hand_off", gid, request_id, timeout_ms, server]
        case api.Refuse(request_id, retry_after_ms):
            return ["bounce", gid, request_id, retry_after_ms]
        case api.Fail(request_id):
            return ["give_up", gid, request_id]
        case api.Cancel(request_id, attempt):
            return ["recall", gid, request_id, attempt]
        case api.SetTimer(token, at_ms):
            return ["remind", gid, token, at_ms]
        case api.Count(name, amount, ttl_ms):
            return ["incr", gid, name, amount, ttl_ms]
        case api.Subscribe():
            return ["tail", gid, True]
        case api.Log(message):
            return ["say_log", gid, message]
        case api.HandOver():
            raise WireError("the simulator's gateways have no second process")


def serve(lines: Iterable[str], out: TextIO) -> int:
    """Answers every line until the input ends; returns the exit status."""
    host = Host()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.batch(line)
        except WireError as error:
            print(f"glenchute.simulator: {error}", file=sys.stderr)
            return 1
        out.write(reply + "\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
