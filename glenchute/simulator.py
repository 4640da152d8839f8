"""Adapter to the simulator: hosts decision engines and translates JSON lines on stdin and stdout.

Run as ``python -m glenchute.simulator``. The names that the wire format has for events, outcomes and actions
occur in this module only.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
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
    SendLimitShares,
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

OUTCOMES = {
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
# The number of arguments of each event. Missing ones at the end are taken as None.
ARGUMENT_COUNTS = {
    "create": 3,
    "shutdown": 1,
    "directory": 2,
    "topology": 4,
    "accept": 11,
    "streaming": 4,
    "ended": 10,
    "gone": 2,
    "alarm": 2,
    "echo": 5,
    "whisper": 3,
    "ledger_reply": 5,
}
ENDPOINT_COLUMNS = 7
EXCERPT_CHARACTERS = 200  # the part of a message that an error's text quotes
AnyEnum = TypeVar("AnyEnum", bound=Enum)
Row = list[Any]  # an event or an action in the wire format: its name and its arguments


class WireError(ValueError):
    """A message cannot be decoded; the text is the reason."""


def lookup(table: dict[str, AnyEnum], value: Any, what: str) -> AnyEnum:
    """Returns the enum member for a name of the wire format; raises WireError for an unknown one."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"unknown {what} {value!r}") from None


def reported_load(value: Any) -> float | None:
    """Returns a number of a load report, or None if the server sent none."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None


class SimulatorHost:
    """The decision engines of all gateways in one process, by gateway id. They share only the numbered
    endpoint lists of the wire format."""

    def __init__(self) -> None:
        self.engines: dict[int, DecisionEngine] = {}
        self.load_report_fields: dict[int, list[str]] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def answer(self, line: str) -> str:
        """Returns the reply to a line of events; raises WireError if the line cannot be decoded."""
        try:
            message = json.loads(line)
            now_ms, inbox = float(message["moment_ms"]), message["inbox"]
        except (ValueError, KeyError, TypeError) as error:
            raise WireError(f"not a batch of events ({error!r}): {line[:EXCERPT_CHARACTERS]!r}") from error
        if not isinstance(inbox, list):
            raise WireError(f"inbox is not a list: {line[:EXCERPT_CHARACTERS]!r}")
        actions: list[Row] = []
        for row in inbox:
            actions += self.handle_row(now_ms, row)
        return json.dumps({"actions": actions}, separators=(",", ":"))

    def handle_row(self, now_ms: float, row: Any) -> list[Row]:
        """Passes an event to its gateway's engine and returns the actions in the wire format."""
        try:
            call = self.prepare(now_ms, row)
        except WireError:
            raise
        except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
            excerpt = json.dumps(row)[:EXCERPT_CHARACTERS]
            raise WireError(f"event cannot be decoded ({error!r}): {excerpt}") from error
        if call is None:
            return []
        try:
            actions = call()
        except Exception as error:  # the simulator is sent the text of any failure of the engine
            return [["die", int(row[1]), f"{type(error).__name__}: {error}"]]
        return [encode(int(row[1]), action) for action in actions]

    def prepare(self, now_ms: float, row: Any) -> Callable[[], list[Action]] | None:
        """Decodes an event; returns the call of the engine that handles it, or None if it needs none."""
        kind, arguments = row[0], list(row[1:])
        count = ARGUMENT_COUNTS.get(kind)
        if count is None:
            raise WireError(f"unknown event {kind!r}")
        arguments += [None] * (count - len(arguments))
        if kind == "directory":
            # Of several rows with the same address the last one applies.
            endpoints = map(decode_endpoint, arguments[1])
            by_address = {endpoint.address: endpoint for endpoint in endpoints}
            self.endpoint_lists[int(arguments[0])] = tuple(by_address.values())
            return None
        gateway = int(arguments[0])
        if kind == "create":
            return self.prepare_creation(gateway, int(arguments[1]), arguments[2] or {})
        if kind == "shutdown":
            self.engines.pop(gateway, None)
            return None
        if gateway not in self.engines:
            raise WireError(f"event for gateway {gateway}, which was not created")
        event = self.decode(kind, gateway, arguments)
        if event is None:
            return None
        return lambda: self.engines[gateway].handle(now_ms, event)

    def prepare_creation(self, gateway: int, seed: int, raw: dict[str, Any]) -> Callable[[], list[Action]]:
        """Decodes the settings of a new gateway; returns the call that creates its engine."""
        settings = policy_settings(raw)
        self.load_report_fields[gateway] = list((raw.get("reporting") or {}).get("fields") or [])

        def create() -> list[Action]:
            self.engines[gateway] = DecisionEngine(settings, seed)
            return []

        return create

    def decode(self, kind: str, gateway: int, arguments: Row) -> Event | None:
        """Returns the engine's event; None for answers to probes and messages of peers, which the engine
        never requests."""
        match kind:
            case "accept":
                return decode_request(arguments)
            case "ended":
                return self.attempt_ended(gateway, arguments)
            case "topology":
                how = lookup(LISTS, arguments[1], "list kind")
                failed = how is EndpointListKind.FAILED
                return EndpointList(how, () if failed else self.endpoint_lists[int(arguments[3])])
            case "gone":
                return ClientDisconnected(str(arguments[1]))
            case "alarm":
                return TimerFired(int(arguments[1]))
            case "ledger_reply":
                outcome = lookup(OUTCOMES, arguments[4], "outcome")
                return CounterReply(int(arguments[2]), number(arguments[3]), outcome, number(arguments[1]))
            case "streaming":
                return ResponseStarted(str(arguments[1]), int(number(arguments[2])))
        return None

    def attempt_ended(self, gateway: int, arguments: Row) -> AttemptEnded:
        """Decodes the end of an attempt; the gateway's settings name the fields of the load report in it."""
        names = self.load_report_fields.get(gateway, [])
        report = dict(zip(names, arguments[9] or [], strict=False))
        return AttemptEnded(
            request_id=str(arguments[1]),
            attempt=int(number(arguments[2])),
            address=str(arguments[3]),
            outcome=lookup(OUTCOMES, arguments[4], "outcome"),
            duration_ms=number(arguments[5]),
            is_final=bool(arguments[6]),
            queued_requests=reported_load(report.get("waiting")),
            active_requests=reported_load(report.get("active")),
        )


def decode_endpoint(row: Row) -> Endpoint:
    """Decodes a row of an endpoint list."""
    columns = (list(row) + [None] * ENDPOINT_COLUMNS)[:ENDPOINT_COLUMNS]
    weight, started_ms, zone, cell, _kind, address, state = columns
    return Endpoint(
        address=str(address),
        zone=str(zone),
        cell=int(number(cell)),
        weight=number(weight, 1.0),
        started_ms=number(started_ms),
        state=lookup(STATES, state, "server state"),
    )


def decode_request(arguments: Row) -> Request:
    """Decodes a client's request."""
    return Request(
        request_id=str(arguments[1]),
        class_name=str(arguments[2]),
        plan=str(arguments[3]),
        tenant=str(arguments[4]),
        time_left_ms=number(arguments[5]),
        units=number(arguments[6], 1.0),
        gateway_spread=max(1, int(number(arguments[7], 1))),
    )


def encode(gateway: int, action: Action) -> Row:
    """Encodes an action in the wire format."""
    match action:
        case StartAttempt(request_id, address, timeout_ms):
            return ["hand_off", gateway, request_id, timeout_ms, address]
        case Reject(request_id, retry_after_ms):
            return ["bounce", gateway, request_id, retry_after_ms]
        case Fail(request_id):
            return ["give_up", gateway, request_id]
        case CancelAttempt(request_id, attempt):
            return ["recall", gateway, request_id, attempt]
        case SetTimer(token, at_ms):
            return ["remind", gateway, token, at_ms]
        case IncrementCounter(key, amount, ttl_ms):
            return ["incr", gateway, key, amount, ttl_ms]
        case SubscribeToEndpoints():
            return ["tail", gateway, True]
        case LogMessage(message):
            return ["say_log", gateway, message]
        case SendState() | SendLimitShares():
            raise WireError("no successor process in the simulator to send the state to")


def serve(lines: Iterable[str], out: TextIO) -> int:
    """Answers every line until the input ends; returns the exit status: 1 if a line cannot be decoded."""
    host = SimulatorHost()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.answer(line)
        except WireError as error:
            print(f"glenchute.simulator: {error}", file=sys.stderr)
            return 1
        out.write(reply + "\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
