"""The operations address: operators ask whether the process is ready, and start or cancel a drain.

The environment variable `GLENCHUTE_OPERATOR` is unrelated: it names the operator's file.
"""

from .server import OperationsServer

__all__ = ["OperationsServer"]
