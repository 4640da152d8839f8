"""Reads the operator's file again in a background thread: tomllib takes 0.2 s and more for thousands of
routes, which would block the event loop.

Both threads share the interpreter lock. While both contend for it, it is handed over every
`SWITCH_INTERVAL_S`, so an iteration of the loop waits about that long instead of the default of 5 ms. Work
done in parts calls `TimeSlices.yield_if_over` after each part, which leaves most of the processor to the
loop. The cyclic garbage collector is disabled in the meantime: its traversal of the objects being read takes
several ms at a time, during which nothing else runs. The thread accesses nothing that the loop modifies,
writes no log, and ends with the process.
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
WORK_SLICE_S = 0.0004  # length of a slice of work, after which the thread sleeps
SLEEP_S = 0.001  # length of the sleep between two slices
THREAD_NAME = "operator-file-reload"

Result = TypeVar("Result")


class ReloadedFile(NamedTuple):
    """The contents of a valid operator's file that was read again."""

    routes: RouteTable
    restart_tables: tuple[Any, ...]  # the settings that take effect only at a start
    warnings: list[str]


class TimeSlices:
    """Limits the share of the processor that work done in parts takes."""

    def __init__(self) -> None:
        self.slice_end = time.perf_counter() + WORK_SLICE_S

    def yield_if_over(self) -> None:
        """Sleeps, and so releases the interpreter lock, if the slice is over."""
        if time.perf_counter() >= self.slice_end:
            time.sleep(SLEEP_S)
            self.slice_end = time.perf_counter() + WORK_SLICE_S


class InterpreterSettings:
    """The switch interval and the garbage collector of the interpreter, changed while any background thread
    is active."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.active_threads = 0
        self.saved_interval_s = 0.0
        self.saved_gc_enabled = True

    def begin(self) -> None:
        """Registers a thread; the first one changes both settings."""
        with self.lock:
            if not self.active_threads:
                self.saved_interval_s, self.saved_gc_enabled = sys.getswitchinterval(), gc.isenabled()
                sys.setswitchinterval(SWITCH_INTERVAL_S)
                gc.disable()
            self.active_threads += 1

    def end(self) -> None:
        """Unregisters a thread; the last one restores both settings."""
        with self.lock:
            self.active_threads -= 1
            if not self.active_threads:
                sys.setswitchinterval(self.saved_interval_s)
                if self.saved_gc_enabled:
                    gc.enable()


interpreter_settings = InterpreterSettings()


class BackgroundReload(Generic[Result]):
    """Runs one task at a time in a thread.

    `on_result` is called on the event loop with each result or exception. Of the tasks submitted while one
    is running, only the latest is kept and runs next, so that its result is reported last. Nothing is
    reported once the loop is closed, and the process exits without waiting for the thread.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_result: Callable[[Result | Exception], None]
    ) -> None:
        self.loop, self.on_result = loop, on_result
        self.pending: Callable[[], Result] | None = None
        self.is_busy = False

    def submit(self, work: Callable[[], Result]) -> None:
        """Runs the work now, or after the running task."""
        self.pending = work
        if not self.is_busy:
            self._start_next()

    def _start_next(self) -> None:
        """Starts a thread for the pending work, if any. Reports the exception if no thread can be started."""
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
        """Runs the work in the thread, and passes the result to the loop."""
        result: Result | Exception
        try:
            result = work()
        except Exception as error:
            result = error
        with contextlib.suppress(RuntimeError):  # the loop is closed, so the result is dropped
            self.loop.call_soon_threadsafe(self._finish, result)

    def _finish(self, result: Result | Exception) -> None:
        """Reports the result on the loop, and starts the work submitted in the meantime."""
        interpreter_settings.end()
        self.is_busy = False
        try:
            self.on_result(result)
        finally:
            if isinstance(result, Exception):
                result.__traceback__ = None  # breaks the reference cycle through its frames
            self._start_next()
