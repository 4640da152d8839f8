"""Client connection slots: how long idle client connections are kept, and which are evicted for new ones.

A listener has a fixed number of slots. The time that a connection may stay idle shrinks smoothly with the
fraction of free slots, to zero when none is left. Connections are evicted by what they have carried: first
those without any request, then those with a single one, then reused ones by their expected idle time. A PING
does not count as a request.

`ConnectionSlots` receives the events of each connection and returns the connections to close. It does no I/O;
the time is an argument, in seconds of a monotonic clock. Each event costs O(1): a connection is in one queue,
by state, and each queue is ordered by the time at which its connections entered the state.

Invariants:

- At most ``max_connections`` connections are not lingering, and at most ``max_connections + max_overflow``
  exist.
- A connection with a request in flight, or with a partially received command, is never evicted nor closed as
  idle. It is closed if the command takes longer than ``PARTIAL_COMMAND_TIMEOUT_S`` to arrive.
- A connection whose client does not read is aborted after ``WRITE_BLOCKED_TIMEOUT_S``. It may be evicted for
  a new connection after ``MIN_UNREAD_RESPONSE_S``, as its responses are lost then, or after
  ``MIN_WRITE_BLOCKED_S`` if it has carried no request; short responses before streamed ones.
- A connection that was reused after a response is kept longer than one with a single request that has been
  idle for the same time.
- A new connection is not evicted before ``MIN_FIRST_COMMAND_S``.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from enum import Enum
from typing import Generic, TypeVar

from ..record import record

MAX_IDLE_S = 5.0  # idle time allowed between requests while all slots are free
# For connections that were never reused, the idle time allowed is proportional to this power of the free
# fraction. Reused ones keep more (see `ConnectionSlots.time_limit_s`).
UNREUSED_IDLE_EXPONENT = 3
MAX_FIRST_COMMAND_S = 2.0  # time to complete the first command while all slots are free
MIN_FIRST_COMMAND_S = 0.1  # time for the first command while no slot is free: a round trip and some delay
PARTIAL_COMMAND_TIMEOUT_S = 2.4  # a slow client may take 2 s to complete a command
WRITE_BLOCKED_TIMEOUT_S = 30.0  # time without progress before the connection is aborted
MIN_WRITE_BLOCKED_S = 0.5  # time without progress before a connection without a request may be evicted
MIN_UNREAD_RESPONSE_S = 5.0  # the same with responses to requests: a slow client may take seconds to read
LINGER_TIMEOUT_S = 0.5  # time from the shutdown of the write side to the peer's close; input is discarded
GAP_SMOOTHING = 0.3  # weight of the newest idle gap in a connection's exponential moving average
GAP_BUCKETS = 14  # each is twice as wide as the one before; the last starts at 4 s
SWEEP_INTERVAL_S = 0.1
PRESSURED_SWEEP_INTERVAL_S = 0.02  # applies while less than `PRESSURED_FREE_FRACTION` is free
PRESSURED_FREE_FRACTION = 0.5

Key = TypeVar("Key", bound=Hashable)


class ConnectionState(Enum):
    """What a client connection is doing."""

    AWAITING_COMMAND = "fresh"  # no complete command has been received yet
    IDLE_UNUSED = "bare"  # idle; has carried no request, only PINGs and errors
    IDLE_USED_ONCE = "once"  # idle after its first request or pipelined batch
    IDLE_REUSED = "reused"  # idle; has sent a request after a response
    PARTIAL_COMMAND = "partial"  # part of a command was received, and no request is in flight
    ACTIVE = "busy"  # requests are in flight; their deadlines limit the time
    WRITE_BLOCKED = "stuck"  # the client does not read its replies
    STREAM_BLOCKED = "stuck stream"  # the client does not read its streamed response
    LINGERING = "leaving"  # all replies are written and the write side is shut down


BLOCKED_STATES = (ConnectionState.WRITE_BLOCKED, ConnectionState.STREAM_BLOCKED)
IDLE_STATES = (ConnectionState.IDLE_UNUSED, ConnectionState.IDLE_USED_ONCE, ConnectionState.IDLE_REUSED)


class CloseReason(Enum):
    """Why a connection is closed. The values appear in the log."""

    IDLE = "idle"  # idle between requests for longer than is allowed now
    NO_COMMAND = "silent"  # the first command was not complete in time
    PARTIAL_COMMAND = "partial"  # a later command was not complete in time
    WRITE_BLOCKED = "stuck"  # the client did not read its replies
    LINGER_TIMEOUT = "lingered"  # the peer did not close in time
    EVICTED = "room"  # its slot is needed for a new connection
    NO_SLOT = "full"  # the new connection itself, as no other could be evicted
    OVERFLOW = "flood"  # too many connections are lingering
    UNREAD = "unread"  # its client does not read, and its slot or memory is needed


# For these reasons a connection is aborted and its slot freed at once, without lingering.
ABORT_REASONS = (
    CloseReason.WRITE_BLOCKED,
    CloseReason.LINGER_TIMEOUT,
    CloseReason.OVERFLOW,
    CloseReason.UNREAD,
)


@record(frozen=True, slots=True)
class CloseConnection(Generic[Key]):
    """Close this connection: abort it for one of `ABORT_REASONS`, otherwise shut it down gracefully.

    After a graceful shutdown its slot counts as LINGERING until `ConnectionSlots.remove`.
    """

    key: Key
    reason: CloseReason


@record(slots=True)
class ClientSlot(Generic[Key]):
    """The state of one connection."""

    key: Key
    state: ConnectionState
    state_entered_s: float
    has_carried_request: bool = False
    idle_since_s: float | None = None  # when the last response was written; None while a request is pending
    reuse_count: int = 0  # requests that came after an idle gap
    mean_gap_s: float = 0.0  # moving average of the idle gaps before such requests
    gap_bucket: int = 0  # the bucket of `mean_gap_s` while IDLE_REUSED, otherwise 0


def idle_gap_bucket(gap_s: float) -> int:
    """Returns the bucket of a mean idle gap: 0 below 1 ms, n from 2^(n-1) ms on."""
    return min(GAP_BUCKETS - 1, int(gap_s * 1000.0).bit_length())


class ConnectionSlots(Generic[Key]):
    """The connection slots of one listener.

    `max_connections`: limit of connections that are not lingering. `max_requesting`: number of these that may
    have carried a request before idle ones are closed at once. `max_overflow`: connections allowed beyond
    `max_connections` while they are rejected or lingering. Raises `ValueError` unless both limits are
    positive and the overflow is not negative.
    """

    def __init__(self, max_connections: int, max_requesting: int, max_overflow: int) -> None:
        if max_connections < 1 or max_requesting < 1 or max_overflow < 0:
            raise ValueError("connection limits must be positive and the overflow not negative")
        self.max_connections = max_connections
        self.max_requesting = max_requesting
        self.max_overflow = max_overflow
        self.slots: dict[Key, ClientSlot[Key]] = {}
        self.requesting_count = 0  # connections that have carried a request and are not lingering
        # An OrderedDict, as removing the first entry of a dict again and again takes quadratic time.
        self.slots_by_state: dict[ConnectionState, OrderedDict[Key, ClientSlot[Key]]] = {
            state: OrderedDict() for state in ConnectionState
        }
        self.reused_by_gap: list[OrderedDict[Key, ClientSlot[Key]]] = [
            OrderedDict() for _ in range(GAP_BUCKETS)
        ]
        self.closed_counts: dict[CloseReason, int] = dict.fromkeys(CloseReason, 0)

    # --- limits ------------------------------------------------------------------------------------------

    def connected_count(self) -> int:
        """Returns the number of connections that are not lingering."""
        return len(self.slots) - len(self.slots_by_state[ConnectionState.LINGERING])

    def free_fraction(self) -> float:
        """Returns the free fraction of all slots, 0 to 1."""
        return max(0.0, 1.0 - self.connected_count() / self.max_connections)

    def free_requesting_fraction(self) -> float:
        """Returns the free fraction of the slots for connections that have carried a request, 0 to 1.

        Connections without a request are not counted: they are evicted first, so they must not shorten the
        idle time of those that send requests.
        """
        return max(0.0, 1.0 - self.requesting_count / min(self.max_connections, self.max_requesting))

    def time_limit_s(self, slot: ClientSlot[Key]) -> float:
        """Returns how long a connection may stay in its state at the current load; inf if not limited."""
        match slot.state:
            case ConnectionState.AWAITING_COMMAND:
                adjustable_s = MAX_FIRST_COMMAND_S - MIN_FIRST_COMMAND_S
                return MIN_FIRST_COMMAND_S + adjustable_s * self.free_fraction()
            case ConnectionState.IDLE_UNUSED:
                return MAX_IDLE_S * float(self.free_fraction() ** UNREUSED_IDLE_EXPONENT)
            case ConnectionState.IDLE_USED_ONCE:
                return MAX_IDLE_S * float(self.free_requesting_fraction() ** UNREUSED_IDLE_EXPONENT)
            case ConnectionState.IDLE_REUSED:
                # The expected time to the next request is the mean gap plus the time idle so far: a
                # connection that was used every few ms and has been idle for a second is probably done.
                free = self.free_requesting_fraction()
                return max(
                    MAX_IDLE_S * float(free**UNREUSED_IDLE_EXPONENT), MAX_IDLE_S * free - slot.mean_gap_s
                )
            case ConnectionState.PARTIAL_COMMAND:
                return PARTIAL_COMMAND_TIMEOUT_S
            case ConnectionState.WRITE_BLOCKED | ConnectionState.STREAM_BLOCKED:
                return WRITE_BLOCKED_TIMEOUT_S
            case ConnectionState.LINGERING:
                return LINGER_TIMEOUT_S
            case ConnectionState.ACTIVE:
                return float("inf")

    # --- events ------------------------------------------------------------------------------------------

    def add(self, now: float, key: Key) -> list[CloseConnection[Key]]:
        """Adds an accepted connection; returns the connections to close for it.

        The new connection itself is returned if no other can be evicted. Raises `ValueError` if `key` already
        has a slot.
        """
        if key in self.slots:
            raise ValueError("the connection already has a slot")
        state = ConnectionState.AWAITING_COMMAND
        self._enter_state(now, ClientSlot(key, state, now), state)
        return self.evict_excess(now, key)

    def evict_excess(self, now: float, new_key: Key) -> list[CloseConnection[Key]]:
        """Closes connections until the limits hold, and `new_key` itself if no other can be evicted.

        To be called again if an evicted connection was revived.
        """
        closes = []
        while self.connected_count() > self.max_connections:
            victim = self._choose_eviction(now)
            if victim is None:
                closes.append(self._close(now, self.slots[new_key], CloseReason.NO_SLOT))
                break
            reason = CloseReason.UNREAD if victim.state in BLOCKED_STATES else CloseReason.EVICTED
            closes.append(self._close(now, victim, reason))
        lingering = self.slots_by_state[ConnectionState.LINGERING]
        while len(self.slots) > self.max_connections + self.max_overflow and lingering:
            closes.append(self._close(now, self._oldest(ConnectionState.LINGERING), CloseReason.OVERFLOW))
        return closes

    def on_request(self, now: float, key: Key) -> None:
        """Records a request on the connection. Raises `ValueError` if the connection is lingering."""
        slot = self.slots[key]
        if slot.state is ConnectionState.LINGERING:
            raise ValueError("a request came on a connection that is lingering")
        if slot.idle_since_s is not None:
            gap_s = now - slot.idle_since_s
            slot.mean_gap_s += (GAP_SMOOTHING if slot.reuse_count else 1.0) * (gap_s - slot.mean_gap_s)
            slot.reuse_count += 1
            slot.idle_since_s = None
        if not slot.has_carried_request:
            slot.has_carried_request = True
            self.requesting_count += 1
        self._enter_state(now, slot, ConnectionState.ACTIVE)

    def set_state(self, now: float, key: Key, state: ConnectionState) -> None:
        """Sets the connection's state; setting the current state again does not restart its time.

        Any of `IDLE_STATES` stands for all three: the slot's history determines which one applies.
        """
        slot = self.slots.get(key)
        if slot is None or slot.state is ConnectionState.LINGERING:
            return
        if state in IDLE_STATES:
            if slot.has_carried_request and slot.idle_since_s is None:
                slot.idle_since_s = now
            state = self._idle_state(slot)
        if state is not slot.state:
            self._enter_state(now, slot, state)

    def blocked(self) -> list[Key]:
        """Returns the connections whose clients do not read, in the order in which to close them.

        Short responses come before streamed ones, and in each group the longest without progress comes first.
        """
        return [key for state in BLOCKED_STATES for key in self.slots_by_state[state]]

    def close_unread(self, now: float, key: Key) -> CloseConnection[Key]:
        """Closes one of the `blocked` connections because its memory is needed."""
        return self._close(now, self.slots[key], CloseReason.UNREAD)

    def remove(self, key: Key) -> None:
        """Removes a closed connection; unknown keys are ignored."""
        slot = self.slots.pop(key, None)
        if slot is not None:
            self._queue_of(slot).pop(key, None)
            if slot.has_carried_request and slot.state is not ConnectionState.LINGERING:
                self.requesting_count -= 1

    def revive(self, now: float, key: Key) -> None:
        """Keeps a connection that was to be closed but has unread input.

        It is ACTIVE until the input has been parsed.
        """
        slot = self.slots.get(key)
        if slot is not None and slot.state is ConnectionState.LINGERING:
            self._enter_state(now, slot, ConnectionState.ACTIVE)

    def close_expired(self, now: float) -> list[CloseConnection[Key]]:
        """Closes the connections that have exceeded the time limit of their state.

        Those least likely to be used again are closed first, and each close raises the time limits of the
        others, so that no more are closed than the load requires.
        """
        closes = []
        for state, reason in (
            (ConnectionState.LINGERING, CloseReason.LINGER_TIMEOUT),
            (ConnectionState.WRITE_BLOCKED, CloseReason.WRITE_BLOCKED),
            (ConnectionState.STREAM_BLOCKED, CloseReason.WRITE_BLOCKED),
            (ConnectionState.PARTIAL_COMMAND, CloseReason.PARTIAL_COMMAND),
            (ConnectionState.AWAITING_COMMAND, CloseReason.NO_COMMAND),
            (ConnectionState.IDLE_UNUSED, CloseReason.IDLE),
            (ConnectionState.IDLE_USED_ONCE, CloseReason.IDLE),
        ):
            queue = self.slots_by_state[state]
            while queue and self._is_expired(now, self._oldest(state)):
                closes.append(self._close(now, self._oldest(state), reason))
        while (slot := self._longest_idle_reused(now, min_overdue_s=0.0)) is not None:
            closes.append(self._close(now, slot, CloseReason.IDLE))
        return closes

    def next_sweep_s(self) -> float:
        """Returns the seconds after which `close_expired` is to be called again."""
        if min(self.free_fraction(), self.free_requesting_fraction()) < PRESSURED_FREE_FRACTION:
            return PRESSURED_SWEEP_INTERVAL_S
        return SWEEP_INTERVAL_S

    # --- internals ---------------------------------------------------------------------------------------

    @staticmethod
    def _idle_state(slot: ClientSlot[Key]) -> ConnectionState:
        """Returns the idle state according to the slot's history."""
        if slot.reuse_count:
            return ConnectionState.IDLE_REUSED
        if slot.has_carried_request:
            return ConnectionState.IDLE_USED_ONCE
        return ConnectionState.IDLE_UNUSED

    def _is_expired(self, now: float, slot: ClientSlot[Key]) -> bool:
        """Returns whether the slot has exceeded the time limit of its state."""
        return now - slot.state_entered_s > self.time_limit_s(slot)

    def _oldest(self, state: ConnectionState) -> ClientSlot[Key]:
        """Returns the slot that has been in this state the longest; the queue must not be empty."""
        return next(iter(self.slots_by_state[state].values()))

    def _longest_idle_reused(
        self, now: float, min_overdue_s: float = -float("inf")
    ) -> ClientSlot[Key] | None:
        """Returns the reused idle slot with the longest expected time to its next request.

        That time is the mean gap plus the idle time. Only slots that exceed their time limit by more than
        `min_overdue_s` are considered.
        """
        candidates = [next(iter(queue.values())) for queue in self.reused_by_gap if queue]
        candidates = [
            slot
            for slot in candidates
            if now - slot.state_entered_s - self.time_limit_s(slot) > min_overdue_s
        ]
        return max(candidates, key=lambda slot: slot.mean_gap_s + now - slot.state_entered_s, default=None)

    def _choose_eviction(self, now: float) -> ClientSlot[Key] | None:
        """Returns the slot to evict; None if all are in use.

        In order of preference: the oldest without a request, one whose client does not read, the oldest with
        a single request, and the reused one with the longest expected time to its next request.
        """
        return (
            self._oldest_of_age(now, ConnectionState.IDLE_UNUSED, 0.0)
            or self._oldest_of_age(now, ConnectionState.AWAITING_COMMAND, MIN_FIRST_COMMAND_S)
            or self._longest_blocked(now)
            or self._oldest_of_age(now, ConnectionState.IDLE_USED_ONCE, 0.0)
            or self._longest_idle_reused(now)
        )

    def _oldest_of_age(self, now: float, state: ConnectionState, min_age_s: float) -> ClientSlot[Key] | None:
        """Returns the slot that has been in this state the longest, if that is long enough."""
        if self.slots_by_state[state] and now - self._oldest(state).state_entered_s >= min_age_s:
            return self._oldest(state)
        return None

    def _longest_blocked(self, now: float) -> ClientSlot[Key] | None:
        """Returns the slot whose client has not read for longest, of those that may be evicted for it."""
        for state in BLOCKED_STATES:
            for slot in self.slots_by_state[state].values():
                age_s = now - slot.state_entered_s
                if age_s < MIN_WRITE_BLOCKED_S:
                    break
                if not slot.has_carried_request or age_s >= MIN_UNREAD_RESPONSE_S:
                    return slot
        return None

    def _close(self, now: float, slot: ClientSlot[Key], reason: CloseReason) -> CloseConnection[Key]:
        """Counts a close, and removes the slot or lets it linger."""
        self.closed_counts[reason] += 1
        if reason in ABORT_REASONS:
            self.remove(slot.key)
        else:
            self._enter_state(now, slot, ConnectionState.LINGERING)
        return CloseConnection(slot.key, reason)

    def _queue_of(self, slot: ClientSlot[Key]) -> OrderedDict[Key, ClientSlot[Key]]:
        """Returns the queue that the slot is in."""
        if slot.state is ConnectionState.IDLE_REUSED:
            return self.reused_by_gap[slot.gap_bucket]
        return self.slots_by_state[slot.state]

    def _enter_state(self, now: float, slot: ClientSlot[Key], state: ConnectionState) -> None:
        """Moves the slot to the end of the state's queue, which keeps queues ordered by `state_entered_s`."""
        self._queue_of(slot).pop(slot.key, None)
        if slot.has_carried_request:
            was_lingering = slot.state is ConnectionState.LINGERING
            is_lingering = state is ConnectionState.LINGERING
            self.requesting_count += was_lingering - is_lingering
        slot.state, slot.state_entered_s = state, now
        is_reused = state is ConnectionState.IDLE_REUSED
        slot.gap_bucket = idle_gap_bucket(slot.mean_gap_s) if is_reused else 0
        self._queue_of(slot)[slot.key] = slot
        self.slots[slot.key] = slot

    def __iter__(self) -> Iterator[Key]:
        """Iterates over a copy of the keys, so that slots may be removed meanwhile."""
        return iter(list(self.slots))

    def __len__(self) -> int:
        """Returns the number of connections, including lingering ones."""
        return len(self.slots)
