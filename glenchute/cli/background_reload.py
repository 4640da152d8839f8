"""Reads the operator's file again in a thread beside the event loop: tomllib takes 0.2 s and more for
thousands of routes.

Both share one processor by the interpreter lock. Where both want it, it changes hands after
`SWITCH_INTERVAL_S`, so a turn of the loop waits about that long and not the default of 5 ms. Work in parts
calls `TimeSlices.yield_if_over` after each, and so leaves most of the processor to the loop. The cyclic
garbage collector is disabled meanwhile: it would traverse what is being read, some ms at a time, in which
nothing else runs. The thread touches nothing that the loop changes and writes no log, and ends with the
process.
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
WORK_SLICE_S = 0.0004  # of work in parts, between sleeps ...
SLEEP_S = 0.001  # ... of this length
THREAD_NAME = "operator-file-reload"

Result = TypeVar("Result")


class ReloadedFile(NamedTuple):
    """What a valid operator's file brought when it was read again."""

    routes: RouteTable
    started: tuple[Any, ...]  # the settings that take effect at a start only
    warnings: list[str]


class TimeSlices:
    """Limits the share of the processor that work in parts takes."""

    def __init__(self) -> None:
        self.slice_end = time.perf_counter() + WORK_SLICE_S

    def yield_if_over(self) -> None:
        """Sleeps if the slice is over, which releases the interpreter lock."""
        if time.perf_counter() >= self.slice_end:
            time.sleep(SLEEP_S)
            self.slice_end = time.perf_counter() + WORK_SLICE_S


class InterpreterSettings:
    """The switch interval and the garbage collector of the interpreter, changed while any thread is
    active."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.active = 0
        self.saved_interval_s = 0.0
        self.saved_gc_enabled = True

    def begin(self) -> None:
        """One more thread; the first changes both settings."""
        with self.lock:
            if not self.active:
                self.saved_interval_s, self.saved_gc_enabled = sys.getswitchinterval(), gc.isenabled()
                sys.setswitchinterval(SWITCH_INTERVAL_S)
                gc.disable()
            self.active += 1

    def end(self) -> None:
        """One thread less; the last restores both settings."""
        with self.lock:
            self.active -= 1
            if not self.active:
                sys.setswitchinterval(self.saved_interval_s)
                if self.saved_gc_enabled:
                    gc.enable()


interpreter_settings = InterpreterSettings()


class BackgroundReload(Generic[Result]):
    """Runs one piece of work at a time in a thread.

    `on_result` is called on the loop with each result, or with the exception. Of the work submitted while
    some is running only the latest is kept: it starts after that has ended, so its result is the last.
    Nothing is reported once the loop has been closed, and the end of the process does not wait for the
    thread.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_result: Callable[[Result | Exception], None]
    ) -> None:
        self.loop, self.on_result = loop, on_result
        self.pending: Callable[[], Result] | None = None
        self.is_busy = False

    def submit(self, work: Callable[[], Result]) -> None:
        """Starts the work now, or after what is running."""
        self.pending = work
        if not self.is_busy:
            self._start_next()

    def _start_next(self) -> None:
        """Starts the thread for the pending work, if any. If the system has no thread, that is the result."""
        work, self.pending = self.pending, None
        if work is None:
            return
        self.is_busy = True
        interpreter_settings.begin()
        try:
            threading.Thread(target=self._run, args=(work,), name=THREAD_NAME, daemon=True).start()
        except RuntimeError as error:
            self._finish(error)

    def _run(self, work: Callable[[], Result]) -> None:
        """In the thread."""
        result: Result | Exception
        try:
            result = work()
        except Exception as error:
            result = error
        with contextlib.suppress(RuntimeError):  # the loop is closed: nothing waits for the result
            self.loop.call_soon_threadsafe(self._finish, result)

    def _finish(self, result: Result | Exception) -> None:
        """On the loop: reports the result, and starts the work submitted meanwhile."""
        interpreter_settings.end()
        self.is_busy = False
        try:
            self.on_result(result)
        finally:
            if isinstance(result, Exception):
                result.__traceback__ = None  # its frames refer to the result: a reference cycle
            self._start_next()
