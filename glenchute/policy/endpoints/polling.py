"""Schedules the polls of the discovery service: staggered starts, backoff, and the rate that all gateways
share. No I/O; times in seconds of one monotonic clock of this process.

Gateways exchange no messages for this. Each knows the number of gateways and its own index, and draws its
phase within a common period, so that the polls of all gateways are spread over what the service can serve.
The rate of all gateways follows additive increase and multiplicative decrease (Chiu and Jain, 1989), each
gateway taking its share; jitter keeps gateways from synchronizing.

Load on the service by N gateways with a configured rate of R polls per second and a maximum list age of B:

- N gateways that start at once send at most `max_first_polls_per_s` first polls in any second: the larger of
  `POLL_RATE_SHARE` R and 4/3 N / (B - 2 s), plus one. A wrong N scales this bound by the same factor until
  the service has rejected polls: each rejection divides the rate by `RATE_DECREASE_FACTOR`.
- N gateways that receive the same change at once send as many; if they do not know their indexes, this holds
  on average.
- N gateways that lose their watch or are rejected send as many, but each polls again within
  `notification.max_backoff_s` (4 s), whatever the service's Retry-After and the configuration say: later
  ones would miss the notification deadline. So the deadlines take precedence over the rate: an R below
  N / (4 s) / `POLL_RATE_SHARE` is exceeded. While polls keep failing or being rejected, each gateway sends
  one every 3 to 4 s.
- N gateways whose discovery address changes poll within 2 s, for the same reason.
- A crash loop with a period shorter than the start delay sends no polls; with a longer one, one per start.
- Gateways that start without a list send three times as many if no gateway has a list: their first polls are
  sent in the first quarter of the period, which gateways with a list leave free.
- In steady state, the ends of waits cause N / W polls per second, with a mean wait W from 3.5 to 17.5 s, or
  longer if that rate is over `WATCH_RATE_SHARE` R: with the scheduled polls they stay within R, unless that
  needs waits of over `MAX_OVERLOADED_WAIT_S`.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from . import notification

MIN_WATCH_WAIT_S = 4.0  # before jitter, which shortens a wait by up to a quarter
MAX_WATCH_WAIT_S = 20.0
WATCH_ENDS_PER_S = 3.0  # ended waits of all gateways; each costs the service a poll
MAX_OVERLOADED_WAIT_S = 55.0  # longest wait where the poll rate is low, as after rejections
URGENT_SHARE = 0.25  # first part of a period, reserved for gateways without a list
POLL_RATE_SHARE = 0.8  # share of the rate for scheduled polls
WATCH_RATE_SHARE = 1.0 - POLL_RATE_SHARE  # largest share of the rate for the ends of waits
MIN_WAIT_SHARE = 0.75  # shortest wait of a watch, as a share of the longest; drawn evenly in between
MEAN_WAIT_SHARE = (1.0 + MIN_WAIT_SHARE) / 2.0
RATE_DECREASE_FACTOR = 4.0  # divides the rate at each rejected poll
RATE_INCREASE_SHARE = 0.1  # share of the decreased rate that each answer adds
MAX_OVERLOADED_SPREAD_S = 60.0  # longest spread of polls at a service that has rejected some
REPEATED_FAILURE_MIN_SHARE = 0.75  # earliest retry after repeated failures, as a share of the longest delay
MIN_REJECTED_SHARE = 0.1  # earliest retry after a first rejection, as a share of the spread
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 2.0


class PollingSettings(NamedTuple):
    """The gateways that share the discovery service, and what that can serve."""

    gateway_count: int
    gateway_index: int | None = None  # index of this gateway, from 0; None: not known
    rate_per_s: float = 15.0  # initial assumption: polls of all gateways that the service can serve
    # A change counts as notified after this time, also to a gateway that starts (`notification` defines
    # "counts as notified"). None: not configured; a saved list may have any age, and only polls that the
    # service has rejected are delayed.
    max_list_age_s: float | None = None
    # Whether the service is an agent on this machine that answers at once and at no cost. Its changes count
    # as notified whether or not a poll is in flight.
    is_pushed: bool = False


def max_first_polls_per_s(settings: PollingSettings, has_list: bool = True) -> float:
    """Returns the upper bound of first polls per second by gateways that start at the same moment and know
    their indexes. `has_list`: whether they have a saved list of endpoints."""
    if settings.max_list_age_s is None:
        return float(settings.gateway_count)
    spread_s = max(1e-9, settings.max_list_age_s - notification.ANSWER_ALLOWANCE_S)
    scheduled = max(
        POLL_RATE_SHARE * settings.rate_per_s, settings.gateway_count / (1.0 - URGENT_SHARE) / spread_s
    )
    density = 1.0 if has_list else (1.0 - URGENT_SHARE) / URGENT_SHARE
    return min(float(settings.gateway_count), scheduled * density + 1.0)


class PollScheduler:
    """Computes the delays between the polls of one gateway.

    The `record_...` methods record the result of a poll; those that return a number return the delay in
    seconds before the next poll.
    """

    def __init__(self, settings: PollingSettings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.gateway_count = max(1, settings.gateway_count)
        self.rate_per_s = settings.rate_per_s
        self.rate_increment_per_s = 0.0
        self.is_overloaded = False  # whether polls were rejected and the rate has not recovered yet
        self.backoff_s = MIN_BACKOFF_S
        self.last_poll_failed = False

    @property
    def spread_s(self) -> float:
        """The period over which simultaneous polls of all gateways are spread. It is no longer than the
        maximum list age, unless the service has rejected polls."""
        spread = self.gateway_count / (POLL_RATE_SHARE * self.rate_per_s)
        return min(spread, self.max_spread_s)

    @property
    def max_spread_s(self) -> float:
        """The upper bound of `spread_s`."""
        if self.is_overloaded:
            is_age_configured = self.settings.max_list_age_s is not None
            return MAX_OVERLOADED_SPREAD_S if is_age_configured else notification.max_backoff_s()
        return self.max_normal_spread_s

    @property
    def max_normal_spread_s(self) -> float:
        """The longest spread of polls at a service that has not rejected any: a change in the meantime is
        received within the maximum list age. If that is not configured, no poll is delayed."""
        max_age = self.settings.max_list_age_s
        return 0.0 if max_age is None else max(0.0, max_age - notification.ANSWER_ALLOWANCE_S)

    def draw_phase(self) -> float:
        """Returns this gateway's position within a period, from 0 to 1: by its index if known, otherwise
        random."""
        index, phase = self.settings.gateway_index, self.rng.random()
        if index is not None and 0 <= index < self.gateway_count:
            phase = (index + phase) / self.gateway_count
        return phase

    def first_poll_delay_s(self, has_list: bool) -> float:
        """Returns the delay before the first poll of a process. `has_list`: whether there is a saved list."""
        phase = self.draw_phase()
        if self.gateway_count == 1:
            return 0.0
        # The urgent part is left free; if time allows, the period is longer, so that the rest is no denser.
        spread = min(self.spread_s / (1.0 - URGENT_SHARE), self.max_spread_s)
        return spread * (URGENT_SHARE + (1.0 - URGENT_SHARE) * phase if has_list else URGENT_SHARE * phase)

    def synchronized_delay_s(self) -> float:
        """Returns the delay before a poll that all gateways would send now, as their watches returned the
        same change."""
        if self.gateway_count == 1:
            return 0.0
        return self.draw_phase() * min(self.spread_s, self.max_normal_spread_s)

    def reset_for_new_address(self) -> float:
        """Discards what was learned about the service, as its address has changed; returns the delay before
        the first poll at the new address."""
        self.rate_per_s, self.is_overloaded, self.backoff_s = self.settings.rate_per_s, False, MIN_BACKOFF_S
        self.last_poll_failed = False
        return self.draw_phase() * min(
            self.spread_s, self.max_normal_spread_s, notification.max_backoff_s(at_new_address=True)
        )

    def record_answer(self) -> None:
        """Records a valid answer: resets the backoff and increases the rate."""
        self.backoff_s = MIN_BACKOFF_S
        self.last_poll_failed = False
        self.rate_per_s = min(self.settings.rate_per_s, self.rate_per_s + self.rate_increment_per_s)
        self.is_overloaded = self.is_overloaded and self.rate_per_s < self.settings.rate_per_s

    def record_rejection(self, retry_after_s: float | None, has_list: bool) -> float:
        """Records a poll that was rejected because of load; returns the delay before the next one.
        `retry_after_s`: the service's Retry-After, if any; `has_list`: whether this gateway has a list, and
        so leaves the urgent part of the period to gateways without one."""
        if self.settings.is_pushed:
            return self.record_failure()  # no other clients share an agent, and its changes are due at once
        failed_before, self.last_poll_failed, self.is_overloaded = self.last_poll_failed, True, True
        self._decrease_rate()
        # Retry-After is followed as far as the deadlines allow with time left to spread polls.
        longest = notification.max_backoff_s()
        earliest = max(MIN_BACKOFF_S, min(0.5 * longest, retry_after_s or 0.0))
        share = self._draw_rejected_share(failed_before, has_list)
        return earliest + share * min(max(self.spread_s, MIN_BACKOFF_S), longest - earliest)

    def _decrease_rate(self) -> None:
        if self.settings.max_list_age_s is not None:
            floor = self.gateway_count / (POLL_RATE_SHARE * self.max_spread_s)
        else:
            floor = self.settings.rate_per_s / RATE_DECREASE_FACTOR
        self.rate_per_s = max(floor, self.rate_per_s / RATE_DECREASE_FACTOR)
        self.rate_increment_per_s = RATE_INCREASE_SHARE * self.rate_per_s

    def _draw_rejected_share(self, failed_before: bool, has_list: bool) -> float:
        """Draws the share of the spread by which a poll after a rejection is delayed."""
        is_age_configured = self.settings.max_list_age_s is not None
        if failed_before:  # polls are spread since the first failure; late retries keep their rate low
            least = REPEATED_FAILURE_MIN_SHARE
        elif is_age_configured and has_list:
            least = URGENT_SHARE
        else:
            least = MIN_REJECTED_SHARE
        share = self.rng.uniform(least, 1.0)
        return share * URGENT_SHARE if is_age_configured and not has_list else share

    def record_failure(self) -> float:
        """Records that a poll got no connection or no valid answer; returns the delay before the next one.
        All gateways may have lost the service at this moment, so they must not all poll in the same
        second."""
        failed_before, self.last_poll_failed = self.last_poll_failed, True
        spread = min(self.spread_s, self.max_normal_spread_s)
        if failed_before:
            # The mean delay is the spread, or less where the longest backoff is shorter, so that all gateways
            # together keep to the rate as far as the deadlines allow.
            share = self.rng.uniform(REPEATED_FAILURE_MIN_SHARE, 1.0)
            period = 2.0 * spread / (1.0 + REPEATED_FAILURE_MIN_SHARE)
            delay = share * min(period, notification.max_backoff_s())
        else:
            delay = self.draw_phase() * min(spread, notification.max_backoff_s())
        delay = max(delay, self.backoff_s * self.rng.uniform(0.5, 1.0))
        if self.settings.is_pushed:
            self.backoff_s = MIN_BACKOFF_S
        else:
            self.backoff_s = min(MAX_BACKOFF_S, BACKOFF_FACTOR * self.backoff_s)
        return delay

    def watch_wait_s(self) -> float:
        """Returns how long the next watch waits for a change. Jittered, as the waits of gateways that began
        at the same time must not end at the same time."""
        wait = min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, self.gateway_count / WATCH_ENDS_PER_S))
        if self.settings.is_pushed:
            wait = notification.PUSHED_WATCH_WAIT_S
        if self.settings.max_list_age_s is not None:
            mean_wait = self.gateway_count / (WATCH_RATE_SHARE * self.rate_per_s)
            wait = max(wait, min(MAX_OVERLOADED_WAIT_S, mean_wait / MEAN_WAIT_SHARE))
        if self.last_poll_failed:
            wait = min(wait, notification.max_wait_after_failure_s())
        return wait * self.rng.uniform(MIN_WAIT_SHARE, 1.0)
