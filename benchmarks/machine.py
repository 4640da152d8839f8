"""Describes the machine of a measurement, and reads the CPU time of a process."""

from __future__ import annotations

import os
import platform
from pathlib import Path


def cpu_s(pid: int) -> float:
    """Returns the CPU seconds of a process so far, user and system, with the resolution of a clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def machine() -> str:
    """Returns processor, cores and interpreter as text."""
    model = platform.processor() or platform.machine()
    try:
        with open("/proc/cpuinfo", encoding="ascii", errors="replace") as file:
            names = [line.split(":", 1)[1].strip() for line in file if line.startswith("model name")]
            model = names[0] if names else model
    except OSError:
        pass  # no /proc on this system: keeps the name that the platform module reports
    return f"{model}, {os.cpu_count()} cores, Python {platform.python_version()}"
