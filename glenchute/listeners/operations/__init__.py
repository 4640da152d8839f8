"""The operations address: staff ask whether the process is ready, and start or cancel a drain.

`GLENCHUTE_OPERATOR` is unrelated: it names the operator's file.
"""

from .server import OperationsServer

__all__ = ["OperationsServer"]
