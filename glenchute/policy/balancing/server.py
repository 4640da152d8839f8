"""The state of one server at this gateway."""

from __future__ import annotations

from ..events import Endpoint
from ..record import record


@record(slots=True)
class Server:
    """What this gateway knows of one server."""

    entry: Endpoint
    size: float = 1.0  # as the list has it
    out: int = 0  # own attempts under way
    pace: float = 1.0  # time of answers against the fleet's mean for the same kind of request
    paced_at: float = 0.0  # as of then; what is old says less
    fails: float = 0.0  # recent share of failures, fading
    fails_at: float = 0.0
    refused: int = 0  # attempts in a row that did not connect
    look_at: float = 0.0  # until then nothing more is sent to one that did not connect
    avoid_to: float = 0.0  # the same by the words of others
    silent_since: float | None = None  # first sending since the last answer
    held: float = 0.0  # requests of other gateways there, by its last report
    held_at: float = -1e9
    turn: float = 0.0  # while it is cold: the part of a turn that has come up, by the moment ...
    turn_at: float = 0.0
    rate: float = 0.0  # answers a second, by the last one
    rated_at: float = 0.0
