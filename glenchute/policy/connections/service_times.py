"""Service time distributions by class and relative latencies by server, for pipelined connections.

Each class has one histogram over all servers, with geometric buckets and forward decay (Cormode et al., ICDE
2009): instead of old samples losing weight, new ones get more, so that adding a sample changes one bucket
only.

A reply that comes right behind another may have been finished earlier, so only an upper bound of its service
time is known. Such left-censored samples are distributed over the buckets up to the bound in proportion to
their weights (one step of Turnbull's estimator, 1976). Dropping them would bias the histogram towards long
times; counting them as measured would charge an attempt with the time of the one ahead. All times are in
milliseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

FIRST_EDGE_MS = 0.1
BUCKET_RATIO = 1.25
BUCKET_COUNT = 64  # covers times up to 127 s
UPPER_EDGES_MS = [FIRST_EDGE_MS * BUCKET_RATIO**i for i in range(BUCKET_COUNT)]
MIDPOINTS_MS = [edge / math.sqrt(BUCKET_RATIO) for edge in UPPER_EDGES_MS]
DECAY_MS = 20_000.0  # time constant of the exponential decay
RESCALE_AFTER_DECAYS = 60.0  # in units of `DECAY_MS`; e^60 is far from overflow
MIN_SAMPLES = 20.0  # minimum effective number of samples for a distribution to be used
MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY = 0.25, 4.0  # ratios beyond these mean a stall, not a slow server
RELATIVE_LATENCY_SMOOTHING = 0.1
# The cumulative fractions are recomputed after as many new samples as the effective number of samples divided
# by `UPDATE_DIVISOR`, but after `MAX_SAMPLES_PER_UPDATE` at the latest.
MAX_SAMPLES_PER_UPDATE = 32
UPDATE_DIVISOR = 50.0
MIN_TOTAL_WEIGHT = 1e-300
ALMOST_ONE = 1.0 - 1e-9


class LatencyHistogram:
    """A distribution of service times in which old samples decay."""

    __slots__ = (
        "_cumulative",
        "_last_weight",
        "_mean",
        "_recompute_after",
        "_uncounted",
        "epoch_ms",
        "total_weight",
        "weights",
    )

    def __init__(self) -> None:
        self.weights = [0.0] * BUCKET_COUNT
        self.total_weight = 0.0
        self.epoch_ms = 0.0  # a sample at this time has weight 1
        self._cumulative: list[float] = [0.0] * BUCKET_COUNT
        self._mean = 0.0
        self._uncounted = self._recompute_after = 0  # both count samples
        self._last_weight = 1.0

    def sample_weight(self, now_ms: float) -> float:
        """Returns the weight of a sample taken now; first moves the epoch if weights have grown too large."""
        age = (now_ms - self.epoch_ms) / DECAY_MS
        if age > RESCALE_AFTER_DECAYS:
            factor = math.exp(-age)
            self.weights = [weight * factor for weight in self.weights]
            self.total_weight = sum(self.weights)
            self.epoch_ms, age, self._recompute_after = now_ms, 0.0, 0
        self._last_weight = math.exp(age)
        return self._last_weight

    def effective_samples(self, now_ms: float) -> float:
        """Returns the number of samples taken now that would have the same total weight."""
        return self.total_weight / self.sample_weight(now_ms)

    def add(self, now_ms: float, time_ms: float) -> None:
        """Adds a measured service time."""
        bucket = self._bucket(time_ms)
        weight = self.sample_weight(now_ms)
        self.weights[bucket] += weight
        self.total_weight += weight
        self._uncounted += 1

    def add_upper_bound(self, now_ms: float, time_ms: float) -> None:
        """Adds a service time that is only known to be at most `time_ms`."""
        bucket = self._bucket(time_ms)
        weight = self.sample_weight(now_ms)
        mass = sum(self.weights[: bucket + 1])
        if mass <= 0.0:
            self.weights[bucket] += weight
        else:
            factor = 1.0 + weight / mass
            for i in range(bucket + 1):
                self.weights[i] *= factor
        self.total_weight += weight
        self._uncounted += 1

    def cumulative_fractions(self) -> list[float]:
        """Returns the fraction of samples up to each bucket's upper edge, cached for up to `_recompute_after`
        samples."""
        if self._uncounted and self._uncounted >= self._recompute_after:
            self.total_weight = total = max(sum(self.weights), MIN_TOTAL_WEIGHT)
            running = 0.0
            fractions = []
            for weight in self.weights:
                running += weight
                fractions.append(min(1.0, running / total))
            self._cumulative = fractions
            products = (w * m for w, m in zip(self.weights, MIDPOINTS_MS, strict=True))
            self._mean = sum(products) / total
            self._recompute_after = min(
                MAX_SAMPLES_PER_UPDATE, int(total / self._last_weight / UPDATE_DIVISOR)
            )
            self._uncounted = 0
        return self._cumulative

    def fraction_within(self, time_ms: float) -> float:
        """Returns the fraction of samples up to `time_ms`, interpolated linearly inside a bucket."""
        if time_ms <= 0.0 or not self.total_weight:
            return 0.0
        bucket = bisect_right(UPPER_EDGES_MS, time_ms)
        if bucket >= BUCKET_COUNT:
            return 1.0
        fractions = self.cumulative_fractions()
        low = fractions[bucket - 1] if bucket else 0.0
        start = UPPER_EDGES_MS[bucket - 1] if bucket else 0.0
        return low + (fractions[bucket] - low) * (time_ms - start) / (UPPER_EDGES_MS[bucket] - start)

    def quantile(self, fraction: float) -> float:
        """Returns the upper edge of the quantile's bucket, up to 25 % too high; 0 without samples."""
        if not self.total_weight:
            return 0.0
        bucket = bisect_right(self.cumulative_fractions(), max(0.0, fraction - 1e-12))
        return UPPER_EDGES_MS[min(BUCKET_COUNT - 1, bucket)]

    def mean(self) -> float:
        """Returns the mean service time; 0 without samples."""
        self.cumulative_fractions()
        return self._mean

    @staticmethod
    def _bucket(time_ms: float) -> int:
        """Returns the bucket of a service time; times out of range fall into the first or last bucket."""
        return min(BUCKET_COUNT - 1, bisect_right(UPPER_EDGES_MS, max(0.0, time_ms)))


class RemainingTime:
    """The distribution of the remaining time of an unfinished attempt. A negative age means a later start."""

    __slots__ = ("age_ms", "histogram", "relative_latency", "shorter_fraction")

    def __init__(self, histogram: LatencyHistogram, relative_latency: float, age_ms: float) -> None:
        self.histogram = histogram
        self.relative_latency = relative_latency
        self.age_ms = age_ms
        self.shorter_fraction = histogram.fraction_within(age_ms / relative_latency)

    def probability_within(self, time_ms: float) -> float:
        """Returns the probability that the attempt is finished `time_ms` from now."""
        if self.shorter_fraction >= ALMOST_ONE:
            # The attempt is older than all samples, so they say nothing about its remaining time. Lindy's law
            # (the remaining time is about as long as the age) is an estimate that holds at any scale.
            return time_ms / (time_ms + self.age_ms) if time_ms > 0 else 0.0
        fraction = self.histogram.fraction_within((self.age_ms + time_ms) / self.relative_latency)
        return max(0.0, (fraction - self.shorter_fraction) / (1.0 - self.shorter_fraction))


class ServiceTimes:
    """Service time histograms by class and relative latencies by server.

    Memory is bounded: the classes are those of the settings, and a server is forgotten when it leaves the
    endpoint list. Methods raise `KeyError` for an unknown class.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.histograms = {name: LatencyHistogram() for name in classes}
        self.relative_latencies: dict[str, float] = {}

    def relative_latency(self, server: str) -> float:
        """Returns the clamped ratio of the server's service time to that of all servers; 1 if unknown."""
        latency = self.relative_latencies.get(server, 1.0)
        return min(MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, latency))

    def has_samples(self, now_ms: float, class_name: str) -> bool:
        """Returns whether a class has enough recent samples for its distribution to be used."""
        return self.histograms[class_name].effective_samples(now_ms) >= MIN_SAMPLES

    def mean(self, class_name: str, server: str) -> float:
        """Returns the mean service time at a server; 0 without samples."""
        return self.histograms[class_name].mean() * self.relative_latency(server)

    def quantile(self, class_name: str, server: str, fraction: float) -> float:
        """Returns a quantile of the service time at a server; 0 without samples."""
        return self.histograms[class_name].quantile(fraction) * self.relative_latency(server)

    def remaining(self, class_name: str, server: str, age_ms: float = 0.0) -> RemainingTime:
        """Returns the remaining time of an unfinished attempt of this age."""
        return RemainingTime(self.histograms[class_name], self.relative_latency(server), age_ms)

    def probability_within(self, class_name: str, server: str, time_ms: float, age_ms: float = 0.0) -> float:
        """Returns the probability that an unfinished attempt of this age is finished `time_ms` from now."""
        return self.remaining(class_name, server, age_ms).probability_within(time_ms)

    def add(self, now_ms: float, class_name: str, server: str, time_ms: float, is_censored: bool) -> None:
        """Adds the service time of a reply that came `time_ms` after its attempt was sent.

        `is_censored`: the reply may have been finished earlier, so the time is only an upper bound.
        """
        histogram = self.histograms[class_name]
        if is_censored:
            histogram.add_upper_bound(now_ms, time_ms)
            return
        mean = histogram.mean()
        histogram.add(now_ms, time_ms)
        if mean > 0:
            latency = self.relative_latencies.get(server, 1.0)
            sample = min(MAX_RELATIVE_LATENCY, time_ms / mean)
            self.relative_latencies[server] = latency + RELATIVE_LATENCY_SMOOTHING * (sample - latency)

    def forget_server(self, server: str) -> None:
        """Forgets a server that left the endpoint list or was replaced by a new process."""
        self.relative_latencies.pop(server, None)
