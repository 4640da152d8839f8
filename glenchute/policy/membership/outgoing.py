"""A message that this process is to send to another member."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

MessageT = TypeVar("MessageT")


class Outgoing(NamedTuple, Generic[MessageT]):
    """A message for the member named `to`. Neither delivery nor order is guaranteed."""

    to: str
    message: MessageT
