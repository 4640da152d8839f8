"""heathglade: the decisions of a quota-keeping gateway for a shared API."""

from .policy import Gateway

__all__ = ["Gateway"]
