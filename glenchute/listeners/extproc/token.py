"""The token that goes into a request with its first decision and comes back with each of its attempts.

A processor that restarted knows nothing of what its predecessor allowed. The token proves what was decided,
by which process and when; it is signed, so that a client can't forge one.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import os
import struct
from dataclasses import dataclass

HEADER = struct.Struct(">B8sQQB")  # version, process, request, decision (Unix ms), length of the class
VERSION = 1
SIGNATURE_BYTES = 16  # of HMAC-SHA256, truncated (RFC 2104, section 5)
MAX_TOKEN_CHARS = 256
MIN_KEY_BYTES = 32


@dataclass(frozen=True, slots=True)
class Token:
    """What a token says. `request_number` names the request in its process's table; `decided_at_ms` is Unix
    time."""

    process_id: bytes
    request_number: int
    decided_at_ms: int
    class_name: str


class TokenSigner:
    """Issues and verifies tokens. Without a key of the operators each process has its own, and rejects the
    tokens of its predecessor, so that all their attempts are refused."""

    def __init__(self, key: bytes | None = None) -> None:
        self.key = key or os.urandom(MIN_KEY_BYTES)
        if len(self.key) < MIN_KEY_BYTES:
            raise ValueError(f"a key has {MIN_KEY_BYTES} bytes at least")
        self.process_id = os.urandom(8)

    def issue(self, ref: int, first_ms: float, class_name: str) -> str:
        """The text of a token, at most `MAX_TOKEN_CHARS` long."""
        name = class_name.encode()[:100]
        body = HEADER.pack(VERSION, self.process_id, ref, int(first_ms), len(name)) + name
        return base64.urlsafe_b64encode(body + self.signature(body)).decode().rstrip("=")

    def verify(self, text: str) -> Token | None:
        """The token; None for anything that was not signed with this key."""
        if len(text) > MAX_TOKEN_CHARS:
            return None
        try:
            raw = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return None
        body, mac = raw[:-SIGNATURE_BYTES], raw[-SIGNATURE_BYTES:]
        if len(body) < HEADER.size or not hmac.compare_digest(mac, self.signature(body)):
            return None
        version, boot, ref, first, length = HEADER.unpack_from(body)
        if version != VERSION or len(body) != HEADER.size + length:
            return None
        return Token(boot, ref, first, body[HEADER.size :].decode("utf-8", "replace"))

    def signature(self, body: bytes) -> bytes:
        """The truncated HMAC of a token's body."""
        return hmac.new(self.key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]
