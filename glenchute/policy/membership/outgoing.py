"""A message that this process is to send to another member."""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

MessageT = TypeVar("MessageT")


class Outgoing(NamedTuple, Generic[MessageT]):
    """`message` goes to the member named `to`. Delivery is not guaranteed, nor is order."""

    to: str
    message: MessageT
