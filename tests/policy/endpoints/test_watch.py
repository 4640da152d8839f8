"""The endpoint watch against simulated services: silent, late, failing and delegated polls."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.policy.endpoints import notification, polling, watch
from glenchute.policy.endpoints.polling import PollingSettings, PollScheduler
from glenchute.policy.endpoints.watch import CloseConnection, EndpointWatch, OpenAndPoll, Poll
from glenchute.policy.membership import endpoint_sharing
from glenchute.policy.membership.endpoint_sharing import SharedEndpointList


class SilentService:
    """A discovery service with a simulated clock. Polls that are sent before `silent_at` and not answered by
    then are never answered; the n-th poll sent later is answered with the change after `latencies_s[n]`."""

    def __init__(
        self, polling: PollingSettings, seed: int, silent_at: float, latencies_s: list[float]
    ) -> None:
        self.scheduler = PollScheduler(polling, random.Random(seed))
        self.watch = EndpointWatch(self.scheduler)
        self.silent_at, self.latencies_s = silent_at, latencies_s
        self.now = 0.0
        self.answers: dict[int, float] = {}  # time of the answer by connection
        self.polls: list[tuple[float, float]] = []  # time at which each was sent, and its wait
        self.max_in_flight = 0

    def execute(self, commands: list[watch.WatchCommand]) -> None:
        for command in commands:
            if isinstance(command, CloseConnection):
                self.answers.pop(command.connection_id, None)
                continue
            assert isinstance(command, OpenAndPoll | Poll)
            self.polls.append((self.now, command.wait_s))
            if self.now >= self.silent_at:
                latency_s = self.latencies_s[min(len(self.latencies_s) - 1, self.polls_since_silence() - 1)]
                self.answers[command.connection_id] = self.now + latency_s
            elif self.now + command.wait_s < self.silent_at:
                self.answers[command.connection_id] = self.now + command.wait_s
            self.max_in_flight = max(self.max_in_flight, len(self.watch.in_flight))

    def polls_since_silence(self) -> int:
        return sum(at >= self.silent_at for at, _ in self.polls)

    def received_at(self) -> float:
        """Runs the simulation; returns the time at which the change that the silent watch missed is in
        force."""
        self.watch.start(0.0, 0.0, False)
        for _ in range(10_000):
            connection_id, at = min(self.answers.items(), key=lambda item: item[1], default=(0, float("inf")))
            self.now = max(self.now, min(at, self.watch.next_poll_at))
            if at <= self.watch.next_poll_at:
                del self.answers[connection_id]
                if self.now >= self.silent_at:
                    return self.now
                self.execute(self.watch.record_answer(self.now, connection_id, 0.0))
            else:
                self.execute(self.watch.tick(self.now, True))
        raise AssertionError("the change was never received")


def notified_at(service: SilentService) -> float:
    """Returns the time at which a change missed by the silent poll counts as notified, by the deadlines of
    `notification`."""
    sent_at, wait_s = max(poll for poll in service.polls if poll[0] < service.silent_at)
    return max(
        service.silent_at + notification.NOTIFIED_AFTER_S,
        sent_at + wait_s + notification.NOTIFIED_AFTER_WAIT_S,
    )


@st.composite
def silences(draw: st.DrawFn) -> tuple[SilentService, float]:
    is_pushed, gateways = draw(st.booleans()), draw(st.sampled_from([1, 3, 40, 200, 2000]))
    silent_at = draw(st.floats(0.0, 60.0, exclude_min=True))
    timeout_s = 0.75 if is_pushed else 1.0  # least timeout of a poll of the watch; the test below checks it
    # Latencies of the polls after the silence; where two are drawn, the first is never answered.
    first, share = draw(st.sampled_from([0, 1] if is_pushed else [0])), draw(st.floats(0.0, 1.0))
    latencies_s = [1e9] * first + [share * timeout_s]
    return SilentService(
        PollingSettings(gateways, 0, is_pushed=is_pushed), draw(st.integers(0, 99)), silent_at, latencies_s
    ), timeout_s


@settings(max_examples=600, deadline=None)
@given(silences())
def test_a_change_missed_by_a_silent_watch_is_in_force_by_its_deadline(
    case: tuple[SilentService, float],
) -> None:
    service, timeout_s = case
    for wait_s in (
        (0.0, 2.25, 3.0) if service.scheduler.settings.is_pushed else (0.0, 3.0, 4.0, 9.0, 20.0, 55.0)
    ):
        assert service.watch.answer_timeout_s(wait_s) >= timeout_s  # stated in the doc comment of the watch
    received = service.received_at()
    assert received <= notified_at(service)
    assert service.max_in_flight <= watch.MAX_IN_FLIGHT
    is_pushed = service.scheduler.settings.is_pushed
    assert sum(at >= service.silent_at for at, _ in service.polls) <= (
        2 + watch.MAX_HEDGED_POLLS_PUSHED if is_pushed else 2
    )


def test_without_hedged_polls_the_deadline_is_missed(monkeypatch: pytest.MonkeyPatch) -> None:
    """With hedges only 3 s after a poll's wait the deadline is missed, which shows that the test above can
    fail."""
    monkeypatch.setattr(EndpointWatch, "answer_timeout_s", lambda self, wait_s: 3.0)
    service = SilentService(PollingSettings(200, 0), 1, 30.0, [0.0])
    assert service.received_at() > notified_at(service)


def test_a_service_that_answers_within_a_second_gets_no_hedged_polls() -> None:
    """Cost of hedging for 200 gateways: none at a service that answers within a second, one poll for each
    late answer, and a bounded rate if nothing is answered at all."""
    polls_per_s = {}
    for delay_s in (0.0, 0.9, 1.9, 1e9):
        polls = 0
        for number in range(200):
            endpoint_watch = EndpointWatch(PollScheduler(PollingSettings(200, number), random.Random(number)))
            now, answers = 0.0, dict[int, float]()
            endpoint_watch.start(0.0, number * 0.1, False)
            while now < 120.0:
                connection_id, at = min(answers.items(), key=lambda item: item[1], default=(0, 1e18))
                now = min(at, endpoint_watch.next_poll_at)
                if at <= endpoint_watch.next_poll_at:
                    answers.clear()
                    endpoint_watch.record_answer(now, connection_id, 0.0)
                    continue
                for command in endpoint_watch.tick(now, True):
                    if not isinstance(command, CloseConnection):
                        polls += 1
                        answers[command.connection_id] = now + command.wait_s + delay_s
                    else:
                        answers.pop(command.connection_id, None)
        polls_per_s[delay_s] = polls / 120.0
    assert polls_per_s[0.9] <= polls_per_s[0.0] <= 12.5 and polls_per_s[1.9] <= 2.0 * polls_per_s[0.0]
    assert polls_per_s[1e9] <= 200 / 1.5  # each gateway polls at a bounded rate


@pytest.mark.parametrize("wait_s", [0.0, 3.0, 4.0, 20.0, 55.0])
def test_the_recovery_budget_ends_by_the_deadline(wait_s: float) -> None:
    for silent in (0.0, 0.5 * wait_s, wait_s):
        deadline = max(silent + notification.NOTIFIED_AFTER_S, wait_s + notification.NOTIFIED_AFTER_WAIT_S)
        assert wait_s + notification.recovery_budget_s(wait_s) <= deadline


@pytest.mark.parametrize("gateways", [1, 40, 200, 2000])
@pytest.mark.parametrize("retry_after_s", [None, 0.0, 3.0, 60.0])
@pytest.mark.parametrize("age", [None, 2.5, 30.0, 3600.0])
@pytest.mark.parametrize("listed", [False, True])
def test_delays_after_rejections_keep_the_deadline(
    gateways: int, retry_after_s: float | None, age: float | None, listed: bool
) -> None:
    """A 503 does not delay a drain past its deadline: delay and answer fit into it, also after the tenth
    consecutive 503 and whatever the operators configure. Retries are spread, though Retry-After is the same
    for all gateways."""
    scheduler = PollScheduler(PollingSettings(gateways, 0, max_list_age_s=age), random.Random(1))
    delays = [scheduler.record_rejection(retry_after_s, listed) for _ in range(10)]
    assert (
        max(delays) + notification.ANSWER_ALLOWANCE_S <= notification.NOTIFIED_AFTER_S and min(delays) > 0.0
    )
    assert len(set(delays)) == 10
    delays = [scheduler.record_failure() for _ in range(10)] + [
        scheduler.reset_for_new_address() + notification.NOTIFIED_AFTER_S - notification.NOTIFIED_AFTER_MOVE_S
    ]
    assert max(delays) + notification.ANSWER_ALLOWANCE_S <= notification.NOTIFIED_AFTER_S


@pytest.mark.parametrize("retry_after_s", [None, 30.0])
def test_an_agent_that_answers_503_is_polled_again_at_once(retry_after_s: float | None) -> None:
    """Where an agent pushes lists, its changes count as notified at once, and polls affect no other
    client."""
    scheduler = PollScheduler(PollingSettings(200, 199, is_pushed=True), random.Random(1))
    assert max(scheduler.record_rejection(retry_after_s, True) for _ in range(10)) <= polling.MIN_BACKOFF_S


# Results of a poll of an unavailable service.
RESULTS = ("refused", "reset", "rejected", "invalid", "no answer")


class UnavailableService:
    """A service that is unavailable from `outage_start` to `outage_end`, and one gateway that polls it. Each
    poll in between, and the watch in flight at the start of the outage, gets a random result, reported at any
    time, possibly after the outage. From `outage_end` on polls are answered with the change after
    `latency_s`."""

    def __init__(
        self,
        polling: PollingSettings,
        rng: random.Random,
        outage_start: float,
        outage_end: float,
        latency_s: float,
    ) -> None:
        self.scheduler, self.rng = PollScheduler(polling, rng), rng
        self.watch = EndpointWatch(self.scheduler)
        self.outage_start, self.outage_end, self.latency_s = outage_start, outage_end, latency_s
        self.now = 0.0
        self.results: dict[int, tuple[float, str]] = {}  # time and result by connection
        self.last_served = (0.0, 0.0)  # time and wait of the last poll of the working service
        self.polls: list[float] = []

    def execute(self, commands: list[watch.WatchCommand]) -> None:
        for command in commands:
            if isinstance(command, CloseConnection):
                self.results.pop(command.connection_id, None)
                continue
            assert isinstance(command, OpenAndPoll | Poll)
            self.polls.append(self.now)
            result = self.rng.choice(RESULTS), self.rng.choice([0.0, 0.1, 1.0, 5.0, 60.0]) * self.rng.random()
            if self.now >= self.outage_end:
                self.results[command.connection_id] = self.now + self.latency_s, "change"
                continue
            if self.now < self.outage_start or len(self.polls) == 1:
                self.last_served = self.now, command.wait_s
                if self.now + command.wait_s < self.outage_start:
                    self.results[command.connection_id] = self.now + command.wait_s, "unchanged"
                    continue
            if result[0] != "no answer":
                self.results[command.connection_id] = max(self.now, self.outage_start) + result[1], result[0]

    def received_at(self, is_start_waiting: bool, retry_after_s: float | None) -> float:
        """Runs the simulation; returns the time at which the change is in force."""
        self.watch.start(0.0, 0.0, is_start_waiting)
        for _ in range(100_000):
            connection_id, (at, result) = min(
                self.results.items(), key=lambda item: item[1], default=(0, (float("inf"), ""))
            )
            self.now = max(self.now, min(at, self.watch.next_poll_at))
            if self.watch.next_poll_at < at:
                self.execute(self.watch.tick(self.now, True))
                continue
            del self.results[connection_id]
            if result == "change":
                return self.now
            if result == "unchanged":
                self.scheduler.record_answer()
                self.execute(self.watch.record_answer(self.now, connection_id, 0.0))
            elif result in ("rejected", "invalid"):
                delay = (
                    self.scheduler.record_rejection(retry_after_s, True)
                    if result == "rejected"
                    else self.scheduler.record_failure()
                )
                self.execute(self.watch.record_failure(self.now, connection_id, delay))
            else:
                self.watch.record_connection_lost(self.now, connection_id)
        raise AssertionError("the change was never received")


@settings(max_examples=500, deadline=None)
@given(
    st.sampled_from([1, 40, 200, 520, 2000]), st.sampled_from([0.5, 15.0, 500.0]),
    st.sampled_from([None, 2.5, 30.0, 3600.0]), st.sampled_from([None, 0.0, 1.0, 30.0, 99999.0]),
    st.booleans(), st.booleans(), st.floats(0.0, 60.0), st.floats(0.0, 120.0), st.floats(0.0, 1.0),
    st.integers(0, 10**6),
)  # fmt: skip
def test_a_change_during_an_outage_is_in_force_by_its_deadline(
    gateways: int, rate: float, age: float | None, retry_after_s: float | None,
    is_pushed: bool, is_start_waiting: bool, outage_start: float, outage_s: float, share: float, seed: int,
) -> None:  # fmt: skip
    """Holds whatever the results of earlier polls, and whenever they were reported. Only the watch that was
    in flight when the outage began (or the first poll, if it was sent later) extends the deadline, to 2 s
    after the end of its wait."""
    timeout_s = 0.75 if is_pushed else 1.0
    # No maximum list age applies to an agent.
    polling = PollingSettings(gateways, 0, rate, None if is_pushed else age, is_pushed)
    service = UnavailableService(
        polling, random.Random(seed), outage_start, outage_start + outage_s, share * timeout_s
    )
    received = service.received_at(is_start_waiting, retry_after_s)
    sent_at, wait_s = service.last_served
    deadline = max(
        service.outage_end + notification.NOTIFIED_AFTER_S,
        sent_at + wait_s + notification.NOTIFIED_AFTER_WAIT_S,
    )
    assert received <= deadline + 1e-6


@pytest.mark.parametrize("reported_after_s", [0.0, 1.0, 2.9, 7.0])
@pytest.mark.parametrize("how", ["failed", "lost"])
def test_the_delay_counts_from_the_poll_not_from_the_report_of_its_failure(
    how: str, reported_after_s: float
) -> None:
    """The service may have recovered right after the poll was sent, long before the failure is reported."""
    endpoint_watch = EndpointWatch(PollScheduler(PollingSettings(200, 199, 13.0, 30.0), random.Random(1)))
    endpoint_watch.start(0.0, 0.0, True)
    endpoint_watch.tick(0.0, True)
    _ = (
        endpoint_watch.record_failure(reported_after_s, 1, 4.0)
        if how == "failed"
        else endpoint_watch.record_connection_lost(reported_after_s, 1)
    )
    assert endpoint_watch.next_poll_at <= max(
        reported_after_s, notification.NOTIFIED_AFTER_S - notification.ANSWER_ALLOWANCE_S
    )


@pytest.mark.parametrize("count", [200, 520])
def test_an_unavailable_service_is_polled_at_a_bounded_rate(count: int) -> None:
    """Cost of the deadlines: one poll per gateway every 3 to 4 s."""
    polls: list[float] = []
    for number in range(count):
        polling = PollingSettings(count, number, count / 15.0, 30.0)
        service = UnavailableService(polling, random.Random(number), 0.0, 1e9, 0.0)
        service.rng = random.Random(0)
        service.watch.start(0.0, number * 4.0 / count, True)
        while service.now < 60.0:
            service.now = service.watch.next_poll_at
            commands = service.watch.tick(service.now, True)
            for command in commands:
                if not isinstance(command, CloseConnection):
                    polls.append(service.now)
                    service.watch.record_failure(
                        service.now, command.connection_id, service.scheduler.record_rejection(30.0, True)
                    )
    seconds = [sum(s <= at < s + 1.0 for at in polls) for s in range(10, 60)]
    assert sum(seconds) / 50.0 <= count / 3.5 and max(seconds) <= 1.5 * count / 3.5


def received_while_delegating(
    polling: PollingSettings, confirmations: list[tuple[float, float]], change: float, delay_s: float
) -> float:
    """Returns the time at which a gateway that delegates polling has a change in force that no member
    reports. `confirmations`: for each one the time at which it arrives, and the time, before the change, up
    to which it confirms the list in force."""
    shared_list = SharedEndpointList("m9", 0.0, random.Random(1))
    shared_list.version, shared_list.confirmed_at = 5, 0.0
    shared_list.is_lease_holder = False  # other members poll
    endpoint_watch = EndpointWatch(
        PollScheduler(polling, random.Random(1)), lambda: shared_list.poll_delay_s(now, ["m0"])
    )
    now, answers, confirmations = 0.0, dict[int, float](), sorted(confirmations, reverse=True)
    endpoint_watch.start(0.0, 0.0, False)
    while True:
        connection_id, at = min(answers.items(), key=lambda pair: pair[1], default=(0, math.inf))
        confirmed_at = confirmations[-1][0] if confirmations else math.inf
        now = max(now, min(at, endpoint_watch.next_poll_at, confirmed_at))
        if confirmed_at <= now:
            shared_list.confirmed_at = max(shared_list.confirmed_at, confirmations.pop()[1])
        elif endpoint_watch.next_poll_at <= now:
            for command in endpoint_watch.tick(now, True):
                if isinstance(command, CloseConnection):
                    answers.pop(command.connection_id, None)
                else:
                    answers[command.connection_id] = (
                        now + delay_s if now >= change else max(now + delay_s, change)
                    )
        elif now >= change:
            return now
        else:
            endpoint_watch.record_answer(now, connection_id, 0.0)
            answers.clear()


@settings(max_examples=300, deadline=None)
@given(
    st.sampled_from([1, 40, 520]), st.sampled_from([0.5, 15.0]), st.sampled_from([None, 2.5, 30.0, 3600.0]),
    st.lists(st.tuples(st.floats(0.0, 40.0), st.floats(0.0, 3.0))), st.floats(0.0, 40.0), st.floats(0.0, 1.0),
)  # fmt: skip
def test_a_gateway_that_delegates_polling_receives_changes_in_time(
    gateways: int, rate: float, age: float | None, confirmations: list[tuple[float, float]], change: float,
    share: float,
) -> None:  # fmt: skip
    """Confirmations by members may stop at any time; the maximum list age does not matter."""
    confirming = [(at, max(0.0, at - old)) for at, old in confirmations if at - old <= change]
    polling = PollingSettings(gateways, gateways - 1, rate, age)
    received = received_while_delegating(polling, confirming, change, share * notification.ANSWER_ALLOWANCE_S)
    assert received <= change + notification.NOTIFIED_AFTER_S + 1e-6


def test_confirmations_by_members_expire_within_the_terms() -> None:
    assert endpoint_sharing.FRESH_S <= notification.CONFIRMATION_TTL_S
