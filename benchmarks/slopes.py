"""Fits costs by size to a line, with its spread, and checks the forecast of the line at a larger size."""

from __future__ import annotations

import gc
import math
import os
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

REFERENCE_MS = 7.5  # duration of the reference loop to which CPU figures are normalized
Measure = Callable[[int, int], float]  # takes a size and a seed


class FittedLine(NamedTuple):
    """Line through the medians of the repeats, and the least and greatest slope of a single repeat."""

    base: float
    min_slope: float
    slope: float
    max_slope: float

    def forecast(self, size: float) -> float:
        """Returns the value of the line at a size."""
        return self.base + self.slope * size

    def reaches(self, limit: float, power: int = 1) -> str:
        """Returns the size at which the line reaches a limit, as text."""
        if self.base >= limit:
            return "any size"
        return f"{((limit - self.base) / self.slope) ** (1.0 / power):,.0f}" if self.slope > 0.0 else "none"


def least_squares(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Returns base and slope by least squares."""
    slope, base = statistics.linear_regression(sizes, values)
    return base, slope


def fit_line(sizes: Sequence[float], repeats: Sequence[Sequence[float]]) -> FittedLine:
    """Fits a line through the medians at three sizes or more. Each row of `repeats` has one repeat's value at
    each size. The slope is 0 where the repeats disagree on its sign."""
    if len(sizes) < 3:
        raise ValueError("a slope needs at least three sizes")
    medians = [statistics.median(column) for column in zip(*repeats, strict=True)]
    base, slope = least_squares(sizes, medians)
    slopes = [least_squares(sizes, row)[1] for row in repeats]
    if min(slopes) < 0.0 < max(slopes):
        base, slope = statistics.median(medians), 0.0
    return FittedLine(base, min(slopes), slope, max(slopes))


class Probe(NamedTuple):
    """Quantity measured at several sizes."""

    quantity: str
    size_name: str  # what the size counts
    unit: str
    measure: Measure
    sizes: tuple[int, ...]  # to which the line is fitted
    check: int  # larger size at which the line's forecast is checked
    design: int  # size that the design has to carry
    limit: float = math.inf  # greatest value allowed, in `unit`
    power: int = 1  # the quantity is linear in size ** power


def print_table(role: str, probes: Sequence[Probe], repeats: int) -> None:
    """Measures the probes of a role and prints a row for each. A forecast is printed before its size is
    measured."""
    heads = ("what", "by", "range", "slope: least repeat, medians, most repeat", "base",
             "check point: forecast", "measured: least, median, most", "measured / forecast", "at the size",
             "limit: reached at")  # fmt: skip
    print(f"\n## {role} (load average {os.getloadavg()[0]:.0f}, reference loop {reference_ms():.1f} ms)")
    print(f"| {' | '.join(heads)} |\n{'| --- ' * len(heads)}|")
    for probe in probes:
        sizes = [float(size**probe.power) for size in probe.sizes]
        rows = [[probe.measure(size, seed) for size in probe.sizes] for seed in range(repeats)]
        line = fit_line(sizes, rows)
        forecast_value = line.forecast(probe.check**probe.power)
        size_name = probe.size_name + (f"^{probe.power}" if probe.power > 1 else "")
        print(f"| {probe.quantity}, {probe.unit} | {size_name} | {probe.sizes[0]:,} to {probe.sizes[-1]:,} | "
              f"{line.min_slope:.3g}, {line.slope:.3g}, {line.max_slope:.3g} | {line.base:.3g} | "
              f"{probe.check:,}: {forecast_value:.4g} | ", end="", flush=True)  # fmt: skip
        measured = sorted(probe.measure(probe.check, 100 + seed) for seed in range(repeats))
        limit = probe.limit
        reached = f"{limit:.4g}: {line.reaches(limit, probe.power)}" if limit < math.inf else "none stated"
        median, at_design = statistics.median(measured), line.forecast(probe.design**probe.power)
        print(f"{measured[0]:.4g}, {median:.4g}, {measured[-1]:.4g} | "
              f"{median / forecast_value if forecast_value else 1.0:.2f} | "
              f"{probe.design:,}: {at_design:.4g} | {reached} |", flush=True)  # fmt: skip


def cpu_ms(run: Callable[[], object], calls: int = 1) -> float:
    """Returns the mean CPU milliseconds of a call, normalized to a machine on which the reference loop takes
    `REFERENCE_MS`. The loop runs before and after, as logical cores that share a physical core make the same
    work cost up to twice as much."""
    gc.collect()
    reference_before_ms, started = reference_ms(), time.process_time()
    for _ in range(calls):
        run()
    spent_ms = 1e3 * (time.process_time() - started) / calls
    return spent_ms * REFERENCE_MS / (0.5 * (reference_before_ms + reference_ms()))


def reference_ms() -> float:
    """Returns the CPU milliseconds of a fixed loop, median of five."""
    times_ms = []
    for _ in range(5):
        started = time.process_time()
        sum(n * n for n in range(100_000))
        times_ms.append(1e3 * (time.process_time() - started))
    return statistics.median(times_ms)


def allocated_kib(make: Callable[[], object]) -> float:
    """Returns the KiB that the object returned by `make` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / 1024.0
