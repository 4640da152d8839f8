"""Work for a thread beside the loop: tomllib takes 0.2 s and more for thousands of routes.

The two share one processor by the interpreter's lock. It changes hands after `SWITCH_S` where both want it,
so that a turn of the loop waits about that long, and not 5 ms as by default. Work that has parts calls
`Pace.rest` after each, and so leaves most of the processor to the loop. The collector of cycles rests
meanwhile: it would look at what is being read, some ms at a time, in which nothing else runs. The thread
touches nothing that the loop changes and writes no log, and ends with the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import sys
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Generic, NamedTuple, TypeVar

if TYPE_CHECKING:
    from glenchute.policy.retries.route_limits import RouteTable

SWITCH_INTERVAL_S = 0.0001
WORK_SLICE_S, SLEEP_S = 0.0004, 0.001  # of work in parts: on so long, off so long

T = TypeVar("T")


class ReloadedFile(NamedTuple):
    """What a sound operator's file brought when it was read again."""

    routes: RouteTable
    started: tuple[Any, ...]  # what holds from a start on
    warnings: list[str]


class TimeSlices:
    """When a work in parts rests."""

    def __init__(self) -> None:
        self.slice_end = time.perf_counter() + WORK_SLICE_S

    def yield_if_over(self) -> None:
        """Sleeps where the slice is over: that gives the interpreter's lock away."""
        if time.perf_counter() >= self.slice_end:
            time.sleep(SLEEP_S)
            self.slice_end = time.perf_counter() + WORK_SLICE_S


class InterpreterSettings:
    """The interpreter while any work is aside: a short switch interval, no collection of cycles."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.active, self.saved_interval_s, self.saved_gc_enabled = 0, 0.0, True

    def begin(self) -> None:
        """One more."""
        with self.lock:
            if not self.active:
                self.saved_interval_s, self.saved_gc_enabled = sys.getswitchinterval(), gc.isenabled()
                sys.setswitchinterval(SWITCH_INTERVAL_S)
                gc.disable()
            self.active += 1

    def end(self) -> None:
        """One less; the last sets both back."""
        with self.lock:
            self.active -= 1
            if not self.active:
                sys.setswitchinterval(self.saved_interval_s)
                if self.saved_gc_enabled:
                    gc.enable()


interpreter_settings = InterpreterSettings()


class BackgroundReload(Generic[T]):
    """Does one work at a time aside. `done` is called on the loop with each result, or with the exception.

    Guarantees: of what is asked for while one is done, the latest is begun after that one has ended, and is
    the last to be told; no more than it is kept. Nothing is told once the loop has been closed, and no end of
    the process waits for the thread.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, done: Callable[[T | Exception], None]) -> None:
        self.loop, self.on_result = loop, done
        self.pending: Callable[[], T] | None = None
        self.is_busy = False

    def submit(self, work: Callable[[], T]) -> None:
        """Begins it, now or after what is being done."""
        self.pending = work
        if not self.is_busy:
            self.start_next()

    def start_next(self) -> None:
        """Starts the thread. Where the system gives none, that is the result."""
        work, self.pending = self.pending, None
        if work is None:
            return
        self.is_busy = True
        interpreter_settings.begin()
        try:
            threading.Thread(target=self.run, args=(work,), name="aside", daemon=True).start()
        except RuntimeError as error:
            self.finish(error)

    def run(self, work: Callable[[], T]) -> None:
        """The thread."""
        result: T | Exception
        try:
            result = work()
        except Exception as error:
            result = error
        with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits for it
            self.loop.call_soon_threadsafe(self.finish, result)

    def finish(self, result: T | Exception) -> None:
        """On the loop: tells, and begins what was asked for meanwhile."""
        interpreter_settings.end()
        self.is_busy = False
        try:
            self.on_result(result)
        finally:
            if isinstance(result, Exception):
                result.__traceback__ = None  # its frames hold the result: a cycle
            self.start_next()
