"""Service time distributions by class, relative latencies by server, from replies on pipelined connections.

Each class has one histogram over all servers, with geometric buckets and forward decay (Cormode et al., ICDE
2009): new samples weigh more instead of old ones less, so that adding a sample does not touch all buckets.

A reply that comes right behind another was finished at some time before, so only an upper bound of its
service time is known. Such left-censored samples are spread over the lower buckets in proportion to their
weights (one step of Turnbull's estimator, 1976); dropping them would bias the histogram towards long times,
counting them as measured would charge an attempt with the time of the one ahead. All times are in
milliseconds.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable

FIRST_EDGE_MS = 0.1
BUCKET_RATIO = 1.25
BUCKETS = 64  # up to 127 s
UPPER_EDGES_MS = [FIRST_EDGE_MS * BUCKET_RATIO**i for i in range(BUCKETS)]
MIDPOINTS_MS = [edge / math.sqrt(BUCKET_RATIO) for edge in UPPER_EDGES_MS]
DECAY_MS = 20_000.0  # time constant
RESCALE_AFTER = 60.0  # time constants; e^60 is far from overflow
MIN_SAMPLES = 20.0  # below this effective number of samples a distribution is not relied on
MIN_RELATIVE_LATENCY, MAX_RELATIVE_LATENCY = 0.25, 4.0  # beyond, a server is stalled rather than slow
RELATIVE_LATENCY_SMOOTHING = 0.1
MAX_CACHED_SAMPLES = 32  # cumulative shares are recomputed after this many samples at the latest ...
CACHED_FRACTION = 50.0  # ... and after a fiftieth of the effective number of samples
MIN_TOTAL_WEIGHT = 1e-300
ALMOST_ONE = 1.0 - 1e-9


class LatencyHistogram:
    """A decaying distribution of service times."""

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
        self.weights = [0.0] * BUCKETS
        self.total_weight = 0.0
        self.epoch_ms = 0.0  # a sample at this time has weight 1
        self._cumulative: list[float] = [0.0] * BUCKETS
        self._mean = 0.0
        self._uncounted = self._recompute_after = 0  # samples
        self._last_weight = 1.0

    def sample_weight(self, now_ms: float) -> float:
        """The weight of a sample that is taken now. Moves the epoch when weights have grown too large."""
        age = (now_ms - self.epoch_ms) / DECAY_MS
        if age > RESCALE_AFTER:
            factor = math.exp(-age)
            self.weights = [weight * factor for weight in self.weights]
            self.total_weight = sum(self.weights)
            self.epoch_ms, age, self._recompute_after = now_ms, 0.0, 0
        self._last_weight = math.exp(age)
        return self._last_weight

    def effective_samples(self, now_ms: float) -> float:
        """The number of present samples that would have the same total weight."""
        return self.total_weight / self.sample_weight(now_ms)

    def add(self, now_ms: float, time_ms: float) -> None:
        """A service time that was measured."""
        bucket = self._bucket(time_ms)
        weight = self.sample_weight(now_ms)
        self.weights[bucket] += weight
        self.total_weight += weight
        self._uncounted += 1

    def add_upper_bound(self, now_ms: float, time_ms: float) -> None:
        """A service time that is only known to be at most `time_ms`."""
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

    def cumulative_shares(self) -> list[float]:
        """The share of samples up to each bucket's upper edge, as of some samples ago."""
        if self._uncounted and self._uncounted >= self._recompute_after:
            self.total_weight = total = max(sum(self.weights), MIN_TOTAL_WEIGHT)
            running = 0.0
            shares = []
            for weight in self.weights:
                running += weight
                shares.append(min(1.0, running / total))
            self._cumulative = shares
            products = (w * m for w, m in zip(self.weights, MIDPOINTS_MS, strict=True))
            self._mean = sum(products) / total
            self._recompute_after = min(MAX_CACHED_SAMPLES, int(total / self._last_weight / CACHED_FRACTION))
            self._uncounted = 0
        return self._cumulative

    def share_within(self, time_ms: float) -> float:
        """The cumulative distribution function, linear inside a bucket."""
        if time_ms <= 0.0 or not self.total_weight:
            return 0.0
        bucket = bisect_right(UPPER_EDGES_MS, time_ms)
        if bucket >= BUCKETS:
            return 1.0
        shares = self.cumulative_shares()
        low = shares[bucket - 1] if bucket else 0.0
        start = UPPER_EDGES_MS[bucket - 1] if bucket else 0.0
        return low + (shares[bucket] - low) * (time_ms - start) / (UPPER_EDGES_MS[bucket] - start)

    def quantile(self, share: float) -> float:
        """The upper edge of the bucket in which the quantile lies, up to 25 % too high; 0 without samples."""
        if not self.total_weight:
            return 0.0
        bucket = bisect_right(self.cumulative_shares(), max(0.0, share - 1e-12))
        return UPPER_EDGES_MS[min(BUCKETS - 1, bucket)]

    def mean(self) -> float:
        """The mean; 0 without samples."""
        self.cumulative_shares()
        return self._mean

    @staticmethod
    def _bucket(time_ms: float) -> int:
        """The bucket of a service time; out of range ones fall into the first or last."""
        return min(BUCKETS - 1, bisect_right(UPPER_EDGES_MS, max(0.0, time_ms)))


class RemainingTime:
    """The distribution of the time that an unfinished attempt still takes; a negative age: starts later."""

    __slots__ = ("age_ms", "histogram", "relative_latency", "share_before")

    def __init__(self, histogram: LatencyHistogram, relative_latency: float, age_ms: float) -> None:
        self.histogram = histogram
        self.relative_latency = relative_latency
        self.age_ms = age_ms
        self.share_before = histogram.share_within(age_ms / relative_latency)

    def probability_within(self, time_ms: float) -> float:
        """The probability that the attempt is finished `time_ms` from now."""
        if self.share_before >= ALMOST_ONE:
            # Older than all samples, it may take forever. That it takes as long again as it has taken
            # (Lindy's law) is the guess that fits any scale.
            return time_ms / (time_ms + self.age_ms) if time_ms > 0 else 0.0
        share = self.histogram.share_within((self.age_ms + time_ms) / self.relative_latency)
        return max(0.0, (share - self.share_before) / (1.0 - self.share_before))


class ServiceTimes:
    """Histograms by class, relative latencies by server.

    Bounded: the classes are those of the settings, and a server is forgotten when it leaves the endpoint
    list. Methods raise `KeyError` for an unknown class.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.histograms = {name: LatencyHistogram() for name in classes}
        self.relative_latencies: dict[str, float] = {}

    def relative_latency(self, server: str) -> float:
        """The server's mean service time over that of all servers."""
        latency = self.relative_latencies.get(server, 1.0)
        return min(MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, latency))

    def has_samples(self, now_ms: float, class_name: str) -> bool:
        """Whether there are enough samples of a class to rely on."""
        return self.histograms[class_name].effective_samples(now_ms) >= MIN_SAMPLES

    def mean(self, class_name: str, server: str) -> float:
        """The mean service time at a server; 0 without samples."""
        return self.histograms[class_name].mean() * self.relative_latency(server)

    def quantile(self, class_name: str, server: str, share: float) -> float:
        """A quantile of the service time at a server; 0 without samples."""
        return self.histograms[class_name].quantile(share) * self.relative_latency(server)

    def remaining(self, class_name: str, server: str, age_ms: float = 0.0) -> RemainingTime:
        """The remaining time of an unfinished attempt of this age."""
        return RemainingTime(self.histograms[class_name], self.relative_latency(server), age_ms)

    def probability_within(self, class_name: str, server: str, time_ms: float, age_ms: float = 0.0) -> float:
        """The probability that an unfinished attempt of this age is finished `time_ms` from now."""
        return self.remaining(class_name, server, age_ms).probability_within(time_ms)

    def add(self, now_ms: float, class_name: str, server: str, time_ms: float, is_censored: bool) -> None:
        """A reply came `time_ms` after its attempt was sent; `is_censored`: it may have been finished
        before."""
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
        """The server left the list or was replaced by a new process."""
        self.relative_latencies.pop(server, None)
