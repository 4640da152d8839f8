"""The second address: staff ask whether the process takes clients, and have it drain. (`GLENCHUTE_OPERATOR`
names another thing, the operator's file.)"""

from .server import OperationsServer

__all__ = ["OperationsServer"]
