"""Reads small files that a configuration names, such as keys and certificates."""

from __future__ import annotations

import os
import stat

from .platform import ConfigError

MAX_FILE_BYTES = 1024 * 1024
KEY_BYTES = 32


def read_file(path: str, what: str, secret: bool = False) -> bytes:
    """Reads a small file, described as `what` in errors. Raises ConfigError if it is unreadable, or if it is
    secret and accessible to others."""
    try:
        with open(path, "rb") as file:
            status = os.fstat(file.fileno())
            if secret and stat.S_IMODE(status.st_mode) & 0o077:
                raise ConfigError(f"{what} {path} can be read by others; chmod 600 it")
            return file.read(MAX_FILE_BYTES)
    except (OSError, ValueError) as error:
        raise ConfigError(f"can't read {what} {path}: {error}") from None


def secret_key(path: str, what: str) -> bytes:
    """Reads a key of at least `KEY_BYTES`. Raises ConfigError if it is shorter."""
    key = read_file(path, what, secret=True)
    if len(key) < KEY_BYTES:
        raise ConfigError(f"{what} has {len(key)} bytes; write at least {KEY_BYTES} random ones")
    return key
