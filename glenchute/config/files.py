"""Small files that a configuration names: keys, certificates."""

from __future__ import annotations

import os
import stat

from .platform import ConfigError

MAX_FILE_BYTES = 1024 * 1024
KEY_BYTES = 32


def read_file(path: str, what: str, secret: bool = False) -> bytes:
    """A small file; a secret one must be its owner's alone. ConfigError with `what` it was to be."""
    try:
        with open(path, "rb") as file:
            about = os.fstat(file.fileno())
            if secret and stat.S_IMODE(about.st_mode) & 0o077:
                raise ConfigError(f"{what} {path} can be read by others; chmod 600 it")
            return file.read(MAX_FILE_BYTES)
    except (OSError, ValueError) as error:
        raise ConfigError(f"can't read {what} {path}: {error}") from None


def secret_key(path: str, what: str) -> bytes:
    """A key of 32 bytes at least."""
    key = read_file(path, what, secret=True)
    if len(key) < KEY_BYTES:
        raise ConfigError(f"{what} has {len(key)} bytes; write {KEY_BYTES} random ones at least")
    return key
