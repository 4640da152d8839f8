"""Client connection slots: how long an idle client connection is kept, and which is evicted for a new one.

A listener has a fixed number of slots. The time that a connection may stay idle shrinks smoothly with the
fraction of free slots, to zero when none is left. Eviction ranks connections by what they have carried: those
without any request first, then those that sent one request, then reused ones by their expected idle time. A
PING earns nothing.

`ConnectionSlots` receives each connection's events and returns the connections to close. It does no I/O; time
is an argument, in seconds of a monotonic clock. Each event costs O(1): a connection is in one queue, by
state, and each queue is ordered by the time at which its connections entered the state.

Invariants, each with a property test:

- At most ``max_connections`` connections are not lingering, and at most ``max_connections + max_overflow``
  exist.
- A connection with a request in flight, or whose next command may be arriving, is never evicted, nor closed
  as idle. It is closed where its command takes longer than ``PARTIAL_COMMAND_TIMEOUT_S`` to arrive.
- A connection whose client does not read is aborted after ``WRITE_BLOCKED_TIMEOUT_S``; for a new connection
  after ``MIN_WRITE_BLOCKED_S``, short responses before streamed ones.
- A connection that was reused after a response outlives one with a single request that is idle for as long.
- A new connection is not evicted before ``MIN_FIRST_COMMAND_S``.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from enum import Enum
from typing import Generic, TypeVar

from ..record import record

MAX_IDLE_S = 5.0  # between requests, with every slot free
UNPROVEN_EXPONENT = 3  # of the free fraction, for connections that were never reused; others: 1
MAX_FIRST_COMMAND_S = 2.0  # until the first command is complete, with every slot free
MIN_FIRST_COMMAND_S = 0.1  # the same, with no slot free: a round trip and some delay
PARTIAL_COMMAND_TIMEOUT_S = 2.4  # a slow client may take 2 s to complete a command
WRITE_BLOCKED_TIMEOUT_S = 30.0
MIN_WRITE_BLOCKED_S = 0.5  # without progress, before the slot is given to a new connection
LINGER_TIMEOUT_S = 0.5  # from the shutdown of the write side to the peer's close; input is discarded
GAP_SMOOTHING = 0.3  # weight of the newest idle gap in a connection's exponential moving average
GAP_BUCKETS = 14  # each twice as wide as the one before; the last begins at 4 s
SWEEP_INTERVAL_S = 0.1
PRESSURED_SWEEP_INTERVAL_S = 0.02
PRESSURED_FREE_FRACTION = 0.5

Key = TypeVar("Key", bound=Hashable)


class ConnectionState(Enum):
    """What a client connection is doing."""

    AWAITING_COMMAND = "fresh"  # no complete command has been received yet
    IDLE_UNUSED = "bare"  # idle; has carried no request, only PINGs and errors
    IDLE_USED_ONCE = "once"  # idle after its first request or pipelined batch
    IDLE_REUSED = "reused"  # idle; has sent a request after a response
    PARTIAL_COMMAND = "partial"  # a command has begun, and no request is in flight
    ACTIVE = "busy"  # requests are in flight; their deadlines bound the wait
    WRITE_BLOCKED = "stuck"  # the client does not read its replies
    STREAM_BLOCKED = "stuck stream"  # the client does not read its streamed response
    LINGERING = "leaving"  # all replies are written and the write side is shut down


BLOCKED_STATES = (ConnectionState.WRITE_BLOCKED, ConnectionState.STREAM_BLOCKED)
IDLE_STATES = (ConnectionState.IDLE_UNUSED, ConnectionState.IDLE_USED_ONCE, ConnectionState.IDLE_REUSED)


class CloseReason(Enum):
    """Why a connection is closed. The values appear in the log."""

    IDLE = "idle"  # between requests for longer than is allowed now
    NO_COMMAND = "silent"  # the first command did not complete in time
    PARTIAL_COMMAND = "partial"  # a later command did not complete in time
    WRITE_BLOCKED = "stuck"  # the client did not read its replies
    LINGER_TIMEOUT = "lingered"  # the peer did not close in time
    EVICTED = "room"  # gives its slot to a new connection
    NO_SLOT = "full"  # a new connection, with nothing to evict
    OVERFLOW = "flood"  # too many connections are lingering
    UNREAD = "unread"  # does not read its replies, and its slot or its memory is needed


# The connection is aborted and its record dropped at once, instead of lingering.
ABORT_REASONS = (
    CloseReason.WRITE_BLOCKED,
    CloseReason.LINGER_TIMEOUT,
    CloseReason.OVERFLOW,
    CloseReason.UNREAD,
)


@record(frozen=True, slots=True)
class CloseConnection(Generic[Key]):
    """Close this connection: abort it for one of `ABORT_REASONS`, otherwise shut it down gracefully; its slot
    then counts as LINGERING until `ConnectionSlots.remove`."""

    key: Key
    reason: CloseReason


@record(slots=True)
class ClientSlot(Generic[Key]):
    """The record of one connection."""

    key: Key
    state: ConnectionState
    state_entered_s: float
    has_carried_request: bool = False
    idle_since_s: float | None = (
        None  # when its last response had been written; None from the next request on
    )
    reuse_count: int = 0  # requests that came after an idle gap
    mean_gap_s: float = 0.0  # moving average of the idle gaps before such requests
    gap_bucket: int = 0  # of `mean_gap_s`, while IDLE_REUSED


def idle_gap_bucket(gap_s: float) -> int:
    """The bucket of a mean idle gap: 0 below 1 ms, n from 2^(n-1) ms on."""
    return min(GAP_BUCKETS - 1, int(gap_s * 1000.0).bit_length())


class ConnectionSlots(Generic[Key]):
    """The connection slots of one listener.

    `max_connections`: connections that are not lingering. `max_requesting`: of these, how many may have
    carried a request before no idle one is tolerated. `max_overflow`: connections beyond `max_connections`
    that may exist while they are rejected or lingering. Raises `ValueError` where there would be no slot.
    """

    def __init__(self, max_connections: int, max_requesting: int, max_overflow: int) -> None:
        if max_connections < 1 or max_requesting < 1 or max_overflow < 0:
            raise ValueError("a listener needs connection slots")
        self.max_connections = max_connections
        self.max_requesting = max_requesting
        self.max_overflow = max_overflow
        self.slots: dict[Key, ClientSlot[Key]] = {}
        self.requesting_count = 0  # slots that have carried a request and are not lingering
        # OrderedDict, not dict: taking many first entries from a dict is quadratic.
        self.slots_by_state: dict[ConnectionState, OrderedDict[Key, ClientSlot[Key]]] = {
            state: OrderedDict() for state in ConnectionState
        }
        self.reused_by_gap: list[OrderedDict[Key, ClientSlot[Key]]] = [
            OrderedDict() for _ in range(GAP_BUCKETS)
        ]
        self.closed_counts: dict[CloseReason, int] = dict.fromkeys(CloseReason, 0)

    # --- limits ------------------------------------------------------------------------------------------

    def connected_count(self) -> int:
        """Connections that are not lingering."""
        return len(self.slots) - len(self.slots_by_state[ConnectionState.LINGERING])

    def free_fraction(self) -> float:
        """The free fraction of all slots, 0 to 1."""
        return max(0.0, 1.0 - self.connected_count() / self.max_connections)

    def free_requesting_fraction(self) -> float:
        """The free fraction of the slots for requests, 0 to 1.

        Connections without a request don't count: they are evicted first, so many of them must not shorten
        the idle time of those that send requests.
        """
        return max(0.0, 1.0 - self.requesting_count / min(self.max_connections, self.max_requesting))

    def allowance_s(self, slot: ClientSlot[Key]) -> float:
        """Seconds that a connection may remain in its state at the present load; inf: not limited here."""
        match slot.state:
            case ConnectionState.AWAITING_COMMAND:
                adjustable_s = MAX_FIRST_COMMAND_S - MIN_FIRST_COMMAND_S
                return MIN_FIRST_COMMAND_S + adjustable_s * self.free_fraction()
            case ConnectionState.IDLE_UNUSED:
                return MAX_IDLE_S * float(self.free_fraction() ** UNPROVEN_EXPONENT)
            case ConnectionState.IDLE_USED_ONCE:
                return MAX_IDLE_S * float(self.free_requesting_fraction() ** UNPROVEN_EXPONENT)
            case ConnectionState.IDLE_REUSED:
                # The expected time to the next request is the mean gap plus the time idle so far: a
                # connection that is used every few ms and has been quiet for a second has probably finished.
                free = self.free_requesting_fraction()
                return max(MAX_IDLE_S * float(free**UNPROVEN_EXPONENT), MAX_IDLE_S * free - slot.mean_gap_s)
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
        """A connection was accepted. Returns what is closed for it, itself where nothing else can be.

        Raises `ValueError` where `key` has a slot already.
        """
        if key in self.slots:
            raise ValueError("accepted twice")
        state = ConnectionState.AWAITING_COMMAND
        self._enter_state(now, ClientSlot(key, state, now), state)
        return self.evict_excess(now, key)

    def evict_excess(self, now: float, newcomer: Key) -> list[CloseConnection[Key]]:
        """Closes connections until the limits hold, `newcomer` where nothing else can be evicted.

        To be called again where an evicted connection was revived.
        """
        closes = []
        while self.connected_count() > self.max_connections:
            victim = self._choose_eviction(now)
            if victim is None:
                closes.append(self._close(now, self.slots[newcomer], CloseReason.NO_SLOT))
                break
            reason = CloseReason.UNREAD if victim.state in BLOCKED_STATES else CloseReason.EVICTED
            closes.append(self._close(now, victim, reason))
        lingering = self.slots_by_state[ConnectionState.LINGERING]
        while len(self.slots) > self.max_connections + self.max_overflow and lingering:
            closes.append(self._close(now, self._oldest(ConnectionState.LINGERING), CloseReason.OVERFLOW))
        return closes

    def on_request(self, now: float, key: Key) -> None:
        """A request was accepted on the connection. Raises `ValueError` where it is lingering."""
        slot = self.slots[key]
        if slot.state is ConnectionState.LINGERING:
            raise ValueError("a request on a connection that is closing")
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
        """The connection's state has changed. Any of `IDLE_STATES` stands for all three: the slot's history
        tells which applies. Reporting the current state again does not restart its time."""
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
        """The connections whose clients do not read: first those with short responses, then those with
        streamed ones, and of each kind the longest without progress first."""
        return [key for state in BLOCKED_STATES for key in self.slots_by_state[state]]

    def close_unread(self, now: float, key: Key) -> CloseConnection[Key]:
        """Gives up a connection of `blocked`, as its memory is needed."""
        return self._close(now, self.slots[key], CloseReason.UNREAD)

    def remove(self, key: Key) -> None:
        """The connection is closed; unknown keys are ignored."""
        slot = self.slots.pop(key, None)
        if slot is not None:
            self._queue_of(slot).pop(key, None)
            if slot.has_carried_request and slot.state is not ConnectionState.LINGERING:
                self.requesting_count -= 1

    def revive(self, now: float, key: Key) -> None:
        """A connection that was to be closed turned out to have unread input: it stays, as ACTIVE, until the
        input has been parsed."""
        slot = self.slots.get(key)
        if slot is not None and slot.state is ConnectionState.LINGERING:
            self._enter_state(now, slot, ConnectionState.ACTIVE)

    def close_expired(self, now: float) -> list[CloseConnection[Key]]:
        """Closes the connections that have outstayed their allowance.

        The least likely to be used again go first, and each close lengthens the allowance of the rest, so
        that no more are closed than the load requires.
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
        """Seconds after which `close_expired` is to be called again."""
        if min(self.free_fraction(), self.free_requesting_fraction()) < PRESSURED_FREE_FRACTION:
            return PRESSURED_SWEEP_INTERVAL_S
        return SWEEP_INTERVAL_S

    # --- internals ---------------------------------------------------------------------------------------

    @staticmethod
    def _idle_state(slot: ClientSlot[Key]) -> ConnectionState:
        """The idle state that fits the slot's history."""
        if slot.reuse_count:
            return ConnectionState.IDLE_REUSED
        if slot.has_carried_request:
            return ConnectionState.IDLE_USED_ONCE
        return ConnectionState.IDLE_UNUSED

    def _is_expired(self, now: float, slot: ClientSlot[Key]) -> bool:
        """Whether the slot has outstayed its allowance."""
        return now - slot.state_entered_s > self.allowance_s(slot)

    def _oldest(self, state: ConnectionState) -> ClientSlot[Key]:
        """The slot that has been in this state for longest; the queue must not be empty."""
        return next(iter(self.slots_by_state[state].values()))

    def _longest_idle_reused(
        self, now: float, min_overdue_s: float = -float("inf")
    ) -> ClientSlot[Key] | None:
        """The reused idle slot with the longest expected time to its next request: mean gap plus idle time.

        Only slots that are past their allowance by more than `min_overdue_s` are considered.
        """
        heads = [next(iter(queue.values())) for queue in self.reused_by_gap if queue]
        heads = [
            slot for slot in heads if now - slot.state_entered_s - self.allowance_s(slot) > min_overdue_s
        ]
        return max(heads, key=lambda slot: slot.mean_gap_s + now - slot.state_entered_s, default=None)

    def _choose_eviction(self, now: float) -> ClientSlot[Key] | None:
        """The slot to evict: the oldest without a request, then one whose client does not read, then the
        oldest with one request, then the reused one that is expected to stay idle for longest; None where
        all are in use."""
        for state, min_age_s in (
            (ConnectionState.IDLE_UNUSED, 0.0),
            (ConnectionState.AWAITING_COMMAND, MIN_FIRST_COMMAND_S),
            (ConnectionState.WRITE_BLOCKED, MIN_WRITE_BLOCKED_S),
            (ConnectionState.STREAM_BLOCKED, MIN_WRITE_BLOCKED_S),
            (ConnectionState.IDLE_USED_ONCE, 0.0),
        ):
            if self.slots_by_state[state] and now - self._oldest(state).state_entered_s >= min_age_s:
                return self._oldest(state)
        return self._longest_idle_reused(now)

    def _close(self, now: float, slot: ClientSlot[Key], reason: CloseReason) -> CloseConnection[Key]:
        """Counts a close and drops the slot or lets it linger."""
        self.closed_counts[reason] += 1
        if reason in ABORT_REASONS:
            self.remove(slot.key)
        else:
            self._enter_state(now, slot, ConnectionState.LINGERING)
        return CloseConnection(slot.key, reason)

    def _queue_of(self, slot: ClientSlot[Key]) -> OrderedDict[Key, ClientSlot[Key]]:
        """The queue that the slot is in."""
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
        """Goes over all of them."""
        return iter(list(self.slots))

    def __len__(self) -> int:
        """How many there are."""
        return len(self.slots)
