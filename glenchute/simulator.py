"""The wire adapter: hosts gateways for the simulator, translating JSON lines. It decides nothing.

Run as ``python -m glenchute.simulator``. Words of the wire are turned into those of the interface here.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from enum import Enum
from typing import Any, TextIO, TypeVar

from glenchute.config.policy_settings import number, policy_settings
from glenchute.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogMessage,
    Reject,
    SendState,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    Outcome,
    Request,
    ResponseStarted,
    TimerFired,
)

ENDINGS = {
    "pass": Outcome.OK,
    "fault": Outcome.ERROR,
    "no_room": Outcome.REJECTED,
    "too_slow": Outcome.TIMEOUT,
    "no_route": Outcome.UNREACHABLE,
    "cut": Outcome.RESET,
    "undone": Outcome.CANCELLED,
    "stale_send": Outcome.NOT_SENT,
}
STATES = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
LISTS = {
    "incr": EndpointListKind.CHANGES,
    "total": EndpointListKind.FULL,
    "warm_copy": EndpointListKind.CACHED,
    "lost": EndpointListKind.FAILED,
}
WIDTHS = {
    "create": 3, "shutdown": 1, "directory": 2, "topology": 4, "accept": 11, "streaming": 4, "ended": 10,
    "gone": 2, "alarm": 2, "echo": 5, "whisper": 3, "ledger_reply": 5,
}  # fmt: skip
E = TypeVar("E", bound=Enum)


class WireError(ValueError):
    """A message that this adapter can't read."""


def word(table: dict[str, E], value: Any, what: str) -> E:
    """One word of the wire in the interface's terms."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"unknown {what} {value!r}") from None


class Host:
    """All gateways of one process, by their ids. They share the numbered lists of the wire, nothing else."""

    def __init__(self) -> None:
        self.gateways: dict[int, DecisionEngine] = {}
        self.fields: dict[int, list[str]] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}

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
                made, seed = policy_settings(given), int(args[1])
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
                self.gateways[gid] = DecisionEngine(made, seed)
                return []
            actions = self.gateways[gid].handle(now, event) if event is not None else []
        except Exception as error:  # the wire wants the text of any failure of the decisions
            return [["die", gid, f"{type(error).__name__}: {error}"]]
        return [encode(gid, action) for action in actions]

    def entry(self, row: list[Any]) -> Endpoint:
        """One server of a list."""
        hint, started, zone, cell, _kind, server, state = (list(row) + [None] * 7)[:7]
        return Endpoint(
            address=str(server),
            zone=str(zone),
            cell=int(number(cell)),
            weight=number(hint, 1.0),
            started_ms=number(started),
            state=word(STATES, state, "server state"),
        )

    def decode(self, kind: str, gid: int, args: list[Any]) -> Event | None:
        """An event in the interface's terms; None for what no decision needs."""
        if kind == "accept":
            return Request(
                request_id=str(args[1]),
                class_name=str(args[2]),
                plan=str(args[3]),
                tenant=str(args[4]),
                time_left_ms=number(args[5]),
                units=number(args[6], 1.0),
                gateway_spread=max(1, int(number(args[7], 1))),
            )
        if kind == "ended":
            report = dict(zip(self.fields.get(gid, []), args[9] or [], strict=False))
            return AttemptEnded(
                request_id=str(args[1]),
                attempt=int(number(args[2])),
                address=str(args[3]),
                outcome=word(ENDINGS, args[4], "outcome"),
                duration_ms=number(args[5]),
                is_final=bool(args[6]),
                queued_requests=optional(report.get("waiting")),
                active_requests=optional(report.get("active")),
            )
        if kind == "topology":
            how = word(LISTS, args[1], "list kind")
            return EndpointList(how, () if how is EndpointListKind.FAILED else self.lists[int(args[3])])
        if kind == "gone":
            return ClientDisconnected(str(args[1]))
        if kind == "alarm":
            return TimerFired(int(args[1]))
        if kind == "ledger_reply":
            ending = word(ENDINGS, args[4], "outcome")
            return CounterReply(int(args[2]), number(args[3]), ending, number(args[1]))
        if kind == "streaming":
            return ResponseStarted(str(args[1]), int(number(args[2])))
        return None  # probes and messages to peers are never asked for


def optional(value: Any) -> float | None:
    """A reported figure, or None."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None


def encode(gid: int, action: Action) -> list[Any]:
    """An action in the wire's form."""
    match action:
        case StartAttempt(request_id, server, timeout_ms):
            return ["hand_off", gid, request_id, timeout_ms, server]
        case Reject(request_id, retry_after_ms):
            return ["bounce", gid, request_id, retry_after_ms]
        case Fail(request_id):
            return ["give_up", gid, request_id]
        case CancelAttempt(request_id, attempt):
            return ["recall", gid, request_id, attempt]
        case SetTimer(token, at_ms):
            return ["remind", gid, token, at_ms]
        case IncrementCounter(name, amount, ttl_ms):
            return ["incr", gid, name, amount, ttl_ms]
        case SubscribeToEndpoints():
            return ["tail", gid, True]
        case LogMessage(message):
            return ["say_log", gid, message]
        case SendState():
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
