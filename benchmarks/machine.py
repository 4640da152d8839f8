"""What a measurement was taken on."""

from __future__ import annotations

import os
import platform


def machine() -> str:
    """Processor, cores, interpreter."""
    model = platform.processor() or platform.machine()
    try:
        with open("/proc/cpuinfo", encoding="ascii", errors="replace") as file:
            names = [line.split(":", 1)[1].strip() for line in file if line.startswith("model name")]
            model = names[0] if names else model
    except OSError:
        pass  # another system: the module's word has to do
    return f"{model}, {os.cpu_count()} cores, Python {platform.python_version()}"
