"""Confirmation of unusual lists (`doubt` in the operator's file): an unconfirmed list withdraws endpoints at
once, and a confirmed one is in force by its deadline."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from glenchute.policy.endpoints import notification, polling
from glenchute.policy.endpoints.list_confirmation import ListConfirmation
from glenchute.policy.endpoints.polling import PollingSettings, PollScheduler
from glenchute.policy.endpoints.watch import CloseConnection, EndpointWatch, OpenAndPoll, Poll
from glenchute.policy.events import Endpoint, EndpointList, EndpointListKind, EndpointState

TEN = [f"s{n}" for n in range(10)]
ACTIVE, DRAINING, REMOVED = EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED


def full_list(*names: str, **others: EndpointState) -> EndpointList:
    """Returns a complete list: `names` are active, the others in the given state."""
    rows = [Endpoint(name, "a") for name in names]
    return EndpointList(
        EndpointListKind.FULL, (*rows, *(Endpoint(n, "b", state=s) for n, s in others.items()))
    )


class WithdrawalCase(NamedTuple):
    """An unconfirmed list, and the endpoints that it withdraws."""

    version: int
    received_list: EndpointList
    withdrawn: set[str]


WITHDRAWAL_CASES: dict[str, WithdrawalCase] = {
    "a drain in an older list": WithdrawalCase(4, full_list(*TEN[1:], s0=DRAINING), {"s0"}),
    "one removed in an older list": WithdrawalCase(4, full_list(*TEN[1:], s0=REMOVED), {"s0"}),
    "drains in a list of few": WithdrawalCase(6, full_list("s3", s0=DRAINING, s1=DRAINING), {"s0", "s1"}),
    "half of all": WithdrawalCase(4, full_list(*TEN[5:], **dict.fromkeys(TEN[:5], DRAINING)), set(TEN[:5])),
    "more than half": WithdrawalCase(4, full_list(*TEN[6:], **dict.fromkeys(TEN[:6], DRAINING)), set()),
    "all of them": WithdrawalCase(4, full_list(**dict.fromkeys(TEN, REMOVED)), set()),
    "few, and all absent": WithdrawalCase(6, full_list("s3"), set()),
    "nobody": WithdrawalCase(6, full_list(), set()),
    "a stranger": WithdrawalCase(4, full_list(*TEN, new=DRAINING), set()),
}


@pytest.mark.parametrize("name", WITHDRAWAL_CASES)
def test_an_unconfirmed_list_withdraws_endpoints_at_once_and_adds_none(name: str) -> None:
    """A wrong list cannot end the service: half of the active endpoints remain, however many lists arrive."""
    confirmation, (version, received_list, withdrawn) = ListConfirmation(), WITHDRAWAL_CASES[name]
    confirmation.apply(5, full_list(*TEN))
    assert not confirmation.accepts(version, received_list, True)
    withdrawn_endpoints = confirmation.withdraw_endpoints(received_list)
    assert {endpoint.address for endpoint in withdrawn_endpoints} == withdrawn
    assert all(endpoint.state is DRAINING and endpoint.zone == "a" for endpoint in withdrawn_endpoints)
    assert confirmation.withdraw_endpoints(received_list) == ()  # each endpoint is reported once
    for group in range(3):
        confirmation.withdraw_endpoints(full_list(**dict.fromkeys(TEN[3 * group : 3 * group + 3], DRAINING)))
    assert sum(endpoint.state is ACTIVE for endpoint in confirmation.endpoints.values()) >= 5


def test_a_known_drain_stays_whatever_an_unconfirmed_list_says() -> None:
    confirmation = ListConfirmation()
    confirmation.apply(5, full_list(*TEN[1:], s0=DRAINING))
    assert not confirmation.accepts(4, full_list(*TEN), True)
    assert (
        confirmation.withdraw_endpoints(full_list(*TEN)) == ()
        and confirmation.endpoints["s0"].state is DRAINING
    )


ANSWERS: dict[str, list[tuple[int, list[str], bool]]] = {
    # consecutive answers: version, names, whether it is accepted
    "the same": [(6, TEN[:4], False), (6, TEN[:4], True)],
    "versions go on meanwhile": [(6, TEN[:4], False), (7, TEN[:4], True)],
    "servers come meanwhile": [(6, TEN[:4], False), (8, [*TEN[:4], "new"], True)],
    "... and go": [(6, TEN[:4], False), (8, ["new", *TEN[1:4]], True)],
    "another half": [(6, TEN[:4], False), (6, TEN[6:], False)],
    "another half, twice": [(6, TEN[:4], False), (6, TEN[6:], False), (7, TEN[6:], True)],
    "something else each time": [(6, [f"{n}"], False) for n in range(6)],
    "a version that falls again": [(4, TEN, False), (3, TEN, False)],
    "nobody, then few": [(6, [], False), (6, TEN[:1], False)],
    "nobody, while servers answer": [(6, [], False), (7, [], False), (8, [], False)],
}


@pytest.mark.parametrize("name", ANSWERS)
def test_a_confirming_list_need_not_equal_the_first(name: str) -> None:
    """While endpoints come and go, each answer has a different version."""
    confirmation = ListConfirmation()
    confirmation.apply(5, full_list(*TEN))
    assert [
        confirmation.accepts(version, full_list(*names), True) for version, names, _ in ANSWERS[name]
    ] == [is_accepted for *_, is_accepted in ANSWERS[name]]


def test_a_service_that_answers_differently_each_time_gets_two_polls_per_delay() -> None:
    scheduler = PollScheduler(PollingSettings(200, 199, 15.0, 30.0), random.Random(1))
    endpoint_watch, polls, now = (
        EndpointWatch(scheduler, answers_needed=ListConfirmation.ANSWERS_NEEDED),
        0,
        0.0,
    )
    endpoint_watch.start(0.0, 0.0, True)
    while (now := endpoint_watch.next_poll_at) < 60.0:
        for command in endpoint_watch.tick(now, False):
            polls += 1
            now += 0.01
            endpoint_watch.record_unconfirmed(now, command.connection_id, scheduler.record_failure())
    min_delay_s = polling.REPEATED_FAILURE_MIN_SHARE * notification.max_backoff_s()
    assert 60.0 / notification.NOTIFIED_AFTER_S <= polls <= 2 * 60.0 / min_delay_s + 4


# --- in force by the deadline -----------------------------------------------------------------------------

RESULTS = ("refused", "rejected", "invalid", "no answer", "false")


class UnreliableService:
    """A service that is unavailable or gives wrong answers until `outage_end`. From then on each answer
    arrives after `latency_s`: a list that lacks most of the endpoints in force, of a new version each time.
    One gateway polls it and needs confirmations."""

    def __init__(
        self,
        polling: PollingSettings,
        rng: random.Random,
        outage_end: float,
        latency_s: float,
        first_answer_at: float | None,
    ) -> None:
        """`first_answer_at`: when the first poll gets a wrong answer; None: never."""
        self.scheduler, self.rng, self.outage_end, self.latency_s = (
            PollScheduler(polling, rng),
            rng,
            outage_end,
            latency_s,
        )
        self.first_answer_at: float | None = first_answer_at
        self.watch, self.confirmation = (
            EndpointWatch(self.scheduler, answers_needed=ListConfirmation.ANSWERS_NEEDED),
            ListConfirmation(),
        )
        self.confirmation.apply(5, full_list(*TEN))
        self.results: dict[int, tuple[float, str]] = {}
        self.wait_s = -1.0  # wait of the first poll; below 0 before that poll
        self.now, self.version, self.listed = 0.0, 6, True

    def execute(self, commands: list[OpenAndPoll | Poll | CloseConnection]) -> None:
        for command in commands:
            if isinstance(command, CloseConnection):
                self.results.pop(command.connection_id, None)
            elif self.wait_s < 0.0:
                self.wait_s = command.wait_s
                if self.first_answer_at is not None:
                    self.results[command.connection_id] = self.first_answer_at, "false"
            elif self.now >= self.outage_end:
                self.results[command.connection_id] = self.now + self.latency_s, "true"
            else:
                result = self.rng.choice(RESULTS)
                if result != "no answer":
                    delay_s = self.rng.random() * self.rng.choice([0.0, 1.0, 9.0])
                    self.results[command.connection_id] = self.now + delay_s, result

    def answer(self, connection_id: int, names: list[str]) -> bool:
        """Answers with a complete list; returns whether it is accepted."""
        self.version += 1
        if self.confirmation.accepts(self.version, full_list(*names), True):
            return True
        self.execute(self.watch.record_unconfirmed(self.now, connection_id, self.scheduler.record_failure()))
        return False

    def received_at(self) -> float:
        """Runs the simulation; returns the time at which the correct list is in force."""
        self.watch.start(0.0, 0.0, self.first_answer_at is not None)
        for _ in range(100_000):
            connection_id, (at, result) = min(
                self.results.items(), key=lambda item: item[1], default=(0, (float("inf"), ""))
            )
            self.now = max(self.now, min(at, self.watch.next_poll_at))
            if self.watch.next_poll_at < at:
                self.execute(self.watch.tick(self.now, self.listed))
                continue
            del self.results[connection_id]
            if result == "true":
                self.listed = False
                if self.answer(connection_id, ["s1", "s2", "new"]):
                    return self.now
            elif result == "false":
                self.listed = False
                if self.answer(connection_id, [f"x{self.rng.random()}"]):
                    raise AssertionError("a wrong list was accepted")
            elif result == "refused":
                self.watch.record_connection_lost(self.now, connection_id)
            else:
                delay = (
                    self.scheduler.record_rejection(30.0, self.listed)
                    if result == "rejected"
                    else self.scheduler.record_failure()
                )
                self.execute(self.watch.record_failure(self.now, connection_id, delay))
        raise AssertionError("the list was never received")


@settings(max_examples=500, deadline=None)
@given(
    st.sampled_from([1, 40, 200, 2000]), st.sampled_from([0.5, 15.0, 500.0]),
    st.sampled_from([None, 2.5, 30.0, 3600.0]), st.floats(0.001, 60.0),
    st.one_of(st.none(), st.floats(0.0, 9.0)), st.floats(0.0, 1.0), st.integers(0, 10**6),
)  # fmt: skip
@example(200, 0.5, 30.0, 0.001, 1.9, 1.0, 1)  # the wrong answer arrives after the end of the outage
@example(200, 15.0, None, 0.001, None, 1.0, 1)
def test_an_unusual_list_that_is_true_is_in_force_by_its_deadline(
    gateways: int,
    rate: float,
    age: float | None,
    outage_end: float,
    first_answer_at: float | None,
    share: float,
    seed: int,
) -> None:
    """Holds whatever the results of earlier polls, wrong answers included, if both answers arrive within
    their part of the recovery budget: a third of the least budget. Without `first_answer_at` the first poll
    is a watch that is silent from its start and has a wait."""
    timeout_s = notification.NOTIFIED_AFTER_WAIT_S / 3.0
    service = UnreliableService(
        PollingSettings(gateways, 0, rate, age),
        random.Random(seed),
        outage_end,
        share * timeout_s,
        first_answer_at,
    )
    received = service.received_at()
    assert (
        received
        <= max(
            outage_end + notification.NOTIFIED_AFTER_S, service.wait_s + notification.NOTIFIED_AFTER_WAIT_S
        )
        + 1e-6
    )
