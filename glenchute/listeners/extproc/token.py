"""The token that goes into a request with its first decision and comes back with each of its attempts.

A processor that restarted knows nothing of what its forerunner let through. The token proves what was
decided, by whom and when; it is signed, so that a client can't make one, and it says no more than it must.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import os
import struct
from dataclasses import dataclass

HEAD = struct.Struct(">B8sQQB")  # version, boot, reference, first decision (Unix ms), length of the class
VERSION = 1
MAC = 16  # bytes kept of HMAC-SHA256 (RFC 2104, section 5)
MOST_TEXT = 256
KEY_BYTES = 32


@dataclass(frozen=True, slots=True)
class Token:
    """What a token says. `ref` names the entry in its process's table."""

    boot: bytes
    ref: int
    first_ms: int
    class_name: str


class Signer:
    """Makes and reads tokens. Without a key of the operators' each process has its own, and takes the tokens
    of its forerunner for forged, which closes all their attempts."""

    def __init__(self, key: bytes | None = None) -> None:
        self.key = key or os.urandom(KEY_BYTES)
        if len(self.key) < KEY_BYTES:
            raise ValueError(f"a key has {KEY_BYTES} bytes at least")
        self.boot = os.urandom(8)

    def issue(self, ref: int, first_ms: float, class_name: str) -> str:
        """The text of a token, at most 256 characters."""
        name = class_name.encode()[:100]
        body = HEAD.pack(VERSION, self.boot, ref, int(first_ms), len(name)) + name
        return base64.urlsafe_b64encode(body + self.mac(body)).decode().rstrip("=")

    def read(self, text: str) -> Token | None:
        """What it says; None for what nobody signed with this key."""
        if len(text) > MOST_TEXT:
            return None
        try:
            raw = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return None
        body, mac = raw[:-MAC], raw[-MAC:]
        if len(body) < HEAD.size or not hmac.compare_digest(mac, self.mac(body)):
            return None
        version, boot, ref, first, length = HEAD.unpack_from(body)
        if version != VERSION or len(body) != HEAD.size + length:
            return None
        return Token(boot, ref, first, body[HEAD.size :].decode("utf-8", "replace"))

    def mac(self, body: bytes) -> bytes:
        """The signature."""
        return hmac.new(self.key, body, hashlib.sha256).digest()[:MAC]
