"""Messages are encoded to the same bytes, and decoded to the same values, as by an earlier version.

`tests/messages` holds the stored bytes and builds the same inputs again. Where the engine's decisions are
part of the input, the mends that have changed some since are undone, so that all bytes have to be equal.
"""

from __future__ import annotations

import asyncio
import json
import math
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from glenchute.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogMessage,
    Reject,
    SetTimer,
    StartAttempt,
    SubscribeToEndpoints,
)
from glenchute.policy.events import QuotaSnapshot
from glenchute.policy.lifecycle.handover import HandoverState, decode_handover
from glenchute.protocol import resp2 as resp
from glenchute.protocol.member_datagrams import VERSION, decode
from glenchute.simulator import ARGUMENT_COUNTS, LISTS, OUTCOMES, STATES
from glenchute.simulator import encode as encode_action
from tests.capture.mends import undo_mends
from tests.messages import control, counter, datagrams, handover, simulator
from tests.messages.files import HERE, hex_rows, text_rows

ROOT = Path(__file__).resolve().parents[2]


# --- the handover between two processes ------------------------------------------------------------------


def test_the_handover_is_written_as_it_was() -> None:
    assert handover.messages() == text_rows("handover.txt")
    assert handover.socket_names() == text_rows("handover_sockets.txt")


def test_the_handover_is_read_as_it_was() -> None:
    stored = dict(text_rows("handover.txt"))
    for label, share, quotas in handover.cases():
        assert decode_handover(handover.GATEWAY, stored[label]) == HandoverState(share, quotas)
    fields = json.loads(stored["every field"])["fields"]
    assert len(fields) == len(QuotaSnapshot.__match_args__) == 11
    assert len(handover.cases()[2][2]) >= 5 and any(
        quota.window_total_units < math.inf for quota in handover.cases()[2][2]
    )


def test_the_frames_of_the_handover_in_both_directions() -> None:
    ((_, frames),) = hex_rows("handover_frames.hex")
    assert asyncio.run(handover.from_predecessor()) == frames
    predecessor, sent_bytes = asyncio.run(handover.to_successor(frames))
    assert predecessor is not None and predecessor.state == HandoverState(
        handover.LIMIT_SHARE, handover.QUOTAS
    )
    assert sent_bytes == b""  # a successor requests the handover by connecting and sends nothing


# --- datagrams between members ---------------------------------------------------------------------------


def test_datagrams_are_written_as_they_were() -> None:
    assert datagrams.datagrams() == hex_rows("datagrams.hex")


def test_datagrams_are_read_as_they_were() -> None:
    stored = dict(hex_rows("datagrams.hex"))
    for label, body in datagrams.bodies():
        assert decode(datagrams.FLEET, stored[label]) == (datagrams.NAME, datagrams.BOOT, body), label


def test_every_form_of_datagram_is_there() -> None:
    packets = [msgspec.msgpack.decode(data) for _, data in hex_rows("datagrams.hex")]
    assert {packet[4] for packet in packets} == set(range(12))
    assert {packet[0] for packet in packets} == {VERSION} == {2}


# --- the shared counter ----------------------------------------------------------------------------------


def test_names_and_amounts_on_the_counter_are_what_they_were(monkeypatch: pytest.MonkeyPatch) -> None:
    undo_mends(monkeypatch)
    stored = text_rows("counter_calls.txt")
    assert counter.counter_call_rows() == stored
    amounts = [float(line.split()[1]) for _, line in stored]
    assert min(amounts) < 0.0 and max(amounts) > 100_000.0 and 0.0 in amounts
    assert any(100.0 <= amount < 200.0 for amount in amounts)  # an epoch marker of a smaller plan


def test_commands_to_the_counter_are_what_they_were(monkeypatch: pytest.MonkeyPatch) -> None:
    undo_mends(monkeypatch)
    stored = hex_rows("counter_commands.hex")
    assert counter.commands() == stored
    assert counter.connections_used() == [
        int(line) for line in (HERE / "counter_connections.txt").read_text().split()
    ]
    for (_, data), call in zip(stored[1:], counter.counter_calls(), strict=True):
        parser = resp.Parser()
        parser.feed(data)
        verb, name, amount, ttl = parser.next_message()
        assert (verb, int(name), float(amount), float(ttl)) == (
            b"INCRTTL", call.key, call.amount, call.ttl_ms,
        )  # fmt: skip


def test_replies_of_the_counter_are_read_as_they_were() -> None:
    replies = hex_rows("counter_replies.hex")
    assert replies == counter.REPLIES
    assert counter.outcomes(replies) == text_rows("counter_outcomes.txt")


# --- the control socket ----------------------------------------------------------------------------------


def test_the_control_socket_is_answered_as_it_was() -> None:
    stored = text_rows("control_requests.txt")
    assert control.session(stored)[1] == text_rows("control_replies.txt")


def test_the_control_sockets_client_writes_and_reads_as_it_did() -> None:
    assert control.sample_requests() == text_rows("control_requests.txt")
    replies = text_rows("control_replies.txt")
    read_count = 0
    for label, reply in replies:
        rows = control.decode_rows(reply)
        if rows is not None:
            assert control.call_with_client("fleet members", reply)[1] == rows, label
            read_count += 1
    assert read_count == 2 * len(control.VERBS)


# --- the simulator's protocol ----------------------------------------------------------------------------


def stored_session() -> tuple[list[str], list[str]]:
    """Returns the lines of the stored session: requests and responses."""
    requests = (HERE / "simulator_in.txt").read_text().splitlines()
    return requests, (HERE / "simulator_out.txt").read_text().splitlines()


def test_a_session_on_the_simulators_wire_is_answered_as_it_was(monkeypatch: pytest.MonkeyPatch) -> None:
    undo_mends(monkeypatch)
    requests, responses = stored_session()
    assert simulator.serve_lines(requests) == responses
    assert simulator.session() == (requests, responses)


def test_the_simulators_program_answers_the_same_on_its_streams() -> None:
    """With the mends undone it answers with the stored bytes, and as it is with those of `serve`."""
    requests, responses = (HERE / name for name in ("simulator_in.txt", "simulator_out.txt"))
    answered_today = "".join(f"{line}\n" for line in simulator.serve_lines(stored_session()[0])).encode()
    programs = {"tests.capture.mends": responses.read_bytes(), "glenchute.simulator": answered_today}
    for program, expected in programs.items():
        completed = subprocess.run(
            [sys.executable, "-m", program], input=requests.read_bytes(), capture_output=True,
            cwd=ROOT, check=True, timeout=60.0,
        )  # fmt: skip
        assert completed.stdout == expected and completed.stderr == b""


def test_the_session_holds_every_event_and_action() -> None:
    requests, responses = stored_session()
    events = [event for line in requests for event in json.loads(line)["inbox"]]
    assert {event[0] for event in events} == set(ARGUMENT_COUNTS)
    assert {event[5] for event in events if event[0] == "ended"} == set(OUTCOMES)
    assert {event[2] for event in events if event[0] == "topology"} == set(LISTS)
    states = {row[6] for event in events if event[0] == "directory" for row in event[2]}
    assert states == set(STATES)
    actions = {action[0] for line in responses for action in json.loads(line)["actions"]}
    # "recall" cancels an attempt of a hedged request, which no message of this protocol can ask for.
    assert actions == {"hand_off", "bounce", "give_up", "remind", "incr", "tail", "say_log", "die"}


@pytest.mark.parametrize(
    ("action", "wire"),
    [
        (StartAttempt("r", "s:1", 5.5, 17.0), '["hand_off",3,"r",5.5,"s:1"]'),
        (Reject("r", 9.0), '["bounce",3,"r",9.0]'),
        (Fail("r"), '["give_up",3,"r"]'),
        (CancelAttempt("r", 2), '["recall",3,"r",2]'),
        (SetTimer(4, 8.0), '["remind",3,4,8.0]'),
        (IncrementCounter(6, 2.0, 60.0), '["incr",3,6,2.0,60.0]'),
        (SubscribeToEndpoints(), '["tail",3,true]'),
        (LogMessage("x"), '["say_log",3,"x"]'),
    ],
)
def test_actions_on_the_simulators_wire(action: Action, wire: str) -> None:
    assert json.dumps(encode_action(3, action), separators=(",", ":")) == wire
