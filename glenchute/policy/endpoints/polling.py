"""When a gateway polls the discovery service: staggered starts, backoff, and the rate that all gateways
share. No I/O; seconds by one monotonic clock of this process.

Gateways exchange nothing for this. Each knows how many there are and its own index, and draws its phase
within a common period, so that the polls of all are spread over what the service can serve. The rate of the
whole fleet follows additive increase and multiplicative decrease (Chiu and Jain, 1989), each gateway by its
share; jitter keeps them out of step.

What a service sees of N gateways with a configured rate of R polls per second and a maximum list age of B:

- N that start at once: at most `max_first_polls_per_s` in any second, which is the larger of
  `POLL_RATE_SHARE` R and 4/3 N / (B - 2 s), plus one. These are first polls. A wrong N scales the bound by
  the same factor until the service has rejected polls: each rejection divides the rate by
  `RATE_DECREASE_FACTOR`.
- N that receive the same change at once: as many; on average, where they do not know their indexes.
- N that lose their watch or are rejected: the same, but each polls again within `notification.max_backoff_s`
  (4 s) whatever the service's Retry-After and the configuration say, as a change counts as notified by then.
  So the deadlines take precedence over the rate: R below N / (4 s) / `POLL_RATE_SHARE` does not serve them.
  While polls keep failing or being rejected, each gateway makes one in 3 to 4 s.
- N whose discovery address changes: within 2 s, for the same reason.
- A crash loop with a period shorter than the start delay makes no poll; a longer one makes one per start.
- Without a list: four times as many, if no gateway has one. Their starts take the first quarter of the
  period, which the others leave free.
- In steady state, the ends of waits: N / W, with W from 4 to 20 s, or longer if that is over a quarter of R.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from . import notification

MIN_WATCH_WAIT_S = 4.0
MAX_WATCH_WAIT_S = 20.0
WATCH_ENDS_PER_S = 3.0  # of all gateways: each ended wait costs the service a poll
MAX_OVERLOADED_WAIT_S = 55.0  # the longest wait at a service that rejects polls
URGENT_SHARE = 0.25  # the first part of a period is reserved for gateways without a list
POLL_RATE_SHARE = 0.8  # of the rate, for scheduled polls; the ends of waits need the rest
WATCH_RATE_SHARE = 0.25  # of the rate, at most, for the ends of waits
RATE_DECREASE_FACTOR = 4.0  # divides the rate at each rejected poll
RATE_INCREASE_SHARE = 0.1  # of the decreased rate, added at each answer
MAX_OVERLOADED_SPREAD_S = 60.0  # of simultaneous polls at a service that has rejected some
REPEATED_FAILURE_MIN_SHARE = 0.75  # of the longest backoff: the earliest retry after repeated failures
MIN_REJECTED_SHARE = 0.1  # of the spread: the earliest retry after a first rejection
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0


class PollingTerms(NamedTuple):
    """Who shares the discovery service, and what it can serve."""

    gateway_count: int
    gateway_index: int | None = None  # of this gateway, from 0; None: not known
    rate_per_s: float = 15.0  # polls of all gateways together that the service is taken to serve at first
    # A change counts as notified after this time, also for a gateway that starts. None: not configured; a
    # saved list may be of any age, and only polls that the service has rejected are delayed.
    max_list_age_s: float | None = None
    # The service is an agent on this machine that answers at once and at no cost. What it has counts as
    # notified whether or not a poll is in flight.
    is_pushed: bool = False


def max_first_polls_per_s(terms: PollingTerms, listed: bool = True) -> float:
    """The upper bound of first polls in a second by gateways that start at one moment and know their indexes.
    `listed`: they have a saved list to serve by."""
    if terms.max_list_age_s is None:
        return float(terms.gateway_count)
    spread_s = max(1e-9, terms.max_list_age_s - notification.ANSWER_ALLOWANCE_S)
    scheduled = max(POLL_RATE_SHARE * terms.rate_per_s, terms.gateway_count / (1.0 - URGENT_SHARE) / spread_s)
    density = 1.0 if listed else (1.0 - URGENT_SHARE) / URGENT_SHARE
    return min(float(terms.gateway_count), scheduled * density + 1.0)


class PollScheduler:
    """The delays between the polls of one gateway.

    The `record_...` methods follow the result of a poll; those that return a number return the delay in
    seconds before the next poll.
    """

    def __init__(self, terms: PollingTerms, rng: random.Random) -> None:
        self.terms, self.rng = terms, rng
        self.gateway_count = max(1, terms.gateway_count)
        self.rate_per_s = terms.rate_per_s
        self.rate_increment_per_s = 0.0
        self.is_overloaded = False  # polls were rejected, and the rate has not recovered yet
        self.backoff_s = MIN_BACKOFF_S
        self.last_poll_failed = False

    @property
    def spread_s(self) -> float:
        """The period over which simultaneous polls of all gateways are spread. No longer than the maximum
        list age, unless the service has shown that it can't answer all by then."""
        spread = self.gateway_count / (POLL_RATE_SHARE * self.rate_per_s)
        return min(spread, self.max_spread_s)

    @property
    def max_spread_s(self) -> float:
        """The upper bound of `spread_s`."""
        if self.is_overloaded:
            is_age_configured = self.terms.max_list_age_s is not None
            return MAX_OVERLOADED_SPREAD_S if is_age_configured else notification.max_backoff_s()
        return self.max_calm_spread_s

    @property
    def max_calm_spread_s(self) -> float:
        """The longest spread of polls that the service has not rejected: a change in the meantime is received
        within the maximum list age. Without one, no poll is delayed."""
        max_age = self.terms.max_list_age_s
        return 0.0 if max_age is None else max(0.0, max_age - notification.ANSWER_ALLOWANCE_S)

    def draw_phase(self) -> float:
        """This gateway's position within a period, from 0 to 1: by its index where known, otherwise
        random."""
        index, phase = self.terms.gateway_index, self.rng.random()
        if index is not None and 0 <= index < self.gateway_count:
            phase = (index + phase) / self.gateway_count
        return phase

    def first_poll_delay_s(self, listed: bool) -> float:
        """The delay before the first poll of a start. `listed`: there is a saved list to serve by."""
        phase = self.draw_phase()
        if self.gateway_count == 1:
            return 0.0
        # The urgent part is left free; where time allows, the polls of the others are no denser for that.
        spread = min(self.spread_s / (1.0 - URGENT_SHARE), self.max_spread_s)
        return spread * (URGENT_SHARE + (1.0 - URGENT_SHARE) * phase if listed else URGENT_SHARE * phase)

    def synchronized_delay_s(self) -> float:
        """The delay before a poll that all gateways would make now, as their watches returned the same
        change."""
        if self.gateway_count == 1:
            return 0.0
        return self.draw_phase() * min(self.spread_s, self.max_calm_spread_s)

    def reset_for_new_address(self) -> float:
        """Forgets what was learned of the service, for another address; the delay before the first poll
        there."""
        self.rate_per_s, self.is_overloaded, self.backoff_s = self.terms.rate_per_s, False, MIN_BACKOFF_S
        self.last_poll_failed = False
        return self.draw_phase() * min(
            self.spread_s, self.max_calm_spread_s, notification.max_backoff_s(moved=True)
        )

    def record_answer(self) -> None:
        """A valid answer was received."""
        self.backoff_s = MIN_BACKOFF_S
        self.last_poll_failed = False
        self.rate_per_s = min(self.terms.rate_per_s, self.rate_per_s + self.rate_increment_per_s)
        self.is_overloaded = self.is_overloaded and self.rate_per_s < self.terms.rate_per_s

    def record_rejection(self, retry_after_s: float | None, listed: bool) -> float:
        """A poll was rejected because of load; the delay before the next. `retry_after_s`: as the service
        asks, if it does; `listed`: this gateway has a list and leaves the urgent part to those without."""
        if self.terms.is_pushed:
            return self.record_failure()  # an agent has no other clients, and what it has counts at once
        failed_before, self.last_poll_failed, self.is_overloaded = self.last_poll_failed, True, True
        self._decrease_rate()
        # The service's Retry-After is followed as far as the deadlines allow, with time left to spread polls.
        longest = notification.max_backoff_s()
        earliest = max(MIN_BACKOFF_S, min(0.5 * longest, retry_after_s or 0.0))
        share = self._draw_rejected_share(failed_before, listed)
        return earliest + share * min(max(self.spread_s, MIN_BACKOFF_S), longest - earliest)

    def _decrease_rate(self) -> None:
        if self.terms.max_list_age_s is not None:
            floor = self.gateway_count / (POLL_RATE_SHARE * self.max_spread_s)
        else:
            floor = self.terms.rate_per_s / RATE_DECREASE_FACTOR
        self.rate_per_s = max(floor, self.rate_per_s / RATE_DECREASE_FACTOR)
        self.rate_increment_per_s = RATE_INCREASE_SHARE * self.rate_per_s

    def _draw_rejected_share(self, failed_before: bool, listed: bool) -> float:
        """The share of the spread that a rejected poll is delayed by."""
        is_age_configured = self.terms.max_list_age_s is not None
        if failed_before:  # spread by the failure before: retries come late, so that there are few
            least = REPEATED_FAILURE_MIN_SHARE
        elif is_age_configured and listed:
            least = URGENT_SHARE
        else:
            least = MIN_REJECTED_SHARE
        share = self.rng.uniform(least, 1.0)
        return share * URGENT_SHARE if is_age_configured and not listed else share

    def record_failure(self) -> float:
        """No connection, or no valid answer; the delay before the next poll. All gateways may have lost the
        service at this moment and wait for its return, so they must not come back in the same second."""
        failed_before, self.last_poll_failed = self.last_poll_failed, True
        spread = min(self.spread_s, self.max_calm_spread_s)
        if failed_before:  # as many polls as with delays drawn from the whole spread
            share = self.rng.uniform(REPEATED_FAILURE_MIN_SHARE, 1.0)
            period = 2.0 * spread / (1.0 + REPEATED_FAILURE_MIN_SHARE)
            delay = share * min(period, notification.max_backoff_s())
        else:
            delay = self.draw_phase() * min(spread, notification.max_backoff_s())
        delay = max(delay, self.backoff_s * self.rng.uniform(0.5, 1.0))
        if self.terms.is_pushed:
            self.backoff_s = MIN_BACKOFF_S
        else:
            self.backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * self.backoff_s)
        return delay

    def watch_wait_s(self) -> float:
        """How long the next watch waits for a change. Jittered, as gateways that began together must not end
        together."""
        wait = min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, self.gateway_count / WATCH_ENDS_PER_S))
        if self.terms.is_pushed:
            wait = notification.PUSHED_WATCH_WAIT_S
        if self.terms.max_list_age_s is not None:
            wait = max(
                wait, min(MAX_OVERLOADED_WAIT_S, self.gateway_count / (WATCH_RATE_SHARE * self.rate_per_s))
            )
        if self.last_poll_failed:
            wait = min(wait, notification.max_wait_after_failure_s())
        return wait * self.rng.uniform(0.75, 1.0)
