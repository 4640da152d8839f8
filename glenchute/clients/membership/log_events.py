"""The log events of the members' gossip: a catalogue of every event with its name, level and fields.

Nothing outside the catalogue is logged. Lines have the form `event key=value ...` and go through structlog to
the program's log.
"""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

import structlog


class Event(NamedTuple):
    """One kind of log line."""

    level: int
    fields: tuple[str, ...]
    description: str


CATALOGUE: dict[str, Event] = {
    "member.changed": Event(
        logging.INFO, ("member", "now", "was"), "a member is thought alive, suspect, dead or to have left"
    ),
    "member.doubled": Event(
        logging.WARNING, ("member",), "two processes run under one name at once; stop one of them"
    ),
    "numbers.foreign": Event(
        logging.WARNING,
        ("member", "platform", "here"),
        "the members' numbers are not the platform's, so use is told to all; state `number` for each",
    ),
    "address.taken": Event(
        logging.WARNING, ("address",), "another process has this one's address; tried on until it is free"
    ),
    "copies.differ": Event(
        logging.WARNING,
        ("kind", "key", "writer", "version", "kept", "other", "sender"),
        "two copies of one version differ; the safe one is kept and passed on",
    ),
    "word.denied": Event(
        logging.WARNING,
        ("server", "state", "version", "sender"),
        "discovery does not bear out what members said of a server; it is given back",
    ),
    "audit.apart": Event(
        logging.WARNING, ("member", "parts"), "a member's copy has differed from the auditor's for over 10 s"
    ),
    "audit.use": Event(
        logging.WARNING,
        ("account", "counter", "members", "holds"),
        "of an account the counter's total and what members let in differ, in windows that are over",
    ),
    "task.failed": Event(
        logging.WARNING, ("task", "error"), "a step raised, or took too long; another holder is to try"
    ),
    "task.parked": Event(
        logging.ERROR, ("task", "failures"), "holders failed in a row; nobody acts until `fleet unpark`"
    ),
}


def render(_: Any, __: str, event: Any) -> str:
    """Formats an event as `event key=value ...`. A value that contains a space is written as its `repr`."""
    name = event.pop("event")
    pairs = [f"{key}={value!r}" if " " in str(value) else f"{key}={value}" for key, value in event.items()]
    return " ".join([name, *pairs])


_log = structlog.wrap_logger(
    logging.getLogger("glenchute.fleet"), processors=[render], wrapper_class=structlog.BoundLogger
)


def log_event(name: str, **fields: Any) -> None:
    """Logs an event of the catalogue. Raises KeyError for an unknown event, ValueError for other fields."""
    known = CATALOGUE[name]
    if tuple(fields) != known.fields:
        raise ValueError(f"{name} has the fields {', '.join(known.fields)}")
    getattr(_log, logging.getLevelName(known.level).lower())(name, **fields)
