"""The token that the first decision adds to a request and that comes back with each of its attempts.

A restarted processor has no record of the attempts that its predecessor allowed. The token proves what was
decided, by which process and when. It is signed, so a client can't forge one.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import os
import struct
from dataclasses import dataclass

# Version, process id, request number, time of the decision (Unix ms), bytes of the class name that follows.
HEADER = struct.Struct(">B8sQQB")
VERSION = 1
SIGNATURE_BYTES = 16  # HMAC-SHA256, truncated as in RFC 2104, section 5
MAX_TOKEN_CHARS = 256
MIN_KEY_BYTES = 32


@dataclass(frozen=True, slots=True)
class Token:
    """The content of a token. `request_number` identifies the request in the table of the process that issued
    the token; `decided_at_ms` is Unix time."""

    process_id: bytes
    request_number: int
    decided_at_ms: int
    class_name: str


class TokenSigner:
    """Issues and verifies tokens.

    Without the operators' key each process makes its own. It then rejects the tokens of its predecessor, so
    that attempts with these are refused.
    """

    def __init__(self, key: bytes | None = None) -> None:
        self.key = key or os.urandom(MIN_KEY_BYTES)
        if len(self.key) < MIN_KEY_BYTES:
            raise ValueError(f"a token key needs at least {MIN_KEY_BYTES} bytes")
        self.process_id = os.urandom(8)

    def issue(self, request_number: int, decided_at_ms: float, class_name: str) -> str:
        """Returns the text of a signed token, at most `MAX_TOKEN_CHARS` long. A class name is cut to 100
        bytes."""
        name = class_name.encode()[:100]
        body = HEADER.pack(VERSION, self.process_id, request_number, int(decided_at_ms), len(name)) + name
        return base64.urlsafe_b64encode(body + self.signature(body)).decode().rstrip("=")

    def verify(self, text: str) -> Token | None:
        """Returns the token; None for any text that was not signed with this key."""
        if len(text) > MAX_TOKEN_CHARS:
            return None
        try:
            raw = base64.b64decode(text + "=" * (-len(text) % 4), altchars=b"-_", validate=True)
        except (binascii.Error, ValueError):
            return None
        body, mac = raw[:-SIGNATURE_BYTES], raw[-SIGNATURE_BYTES:]
        if len(body) < HEADER.size or not hmac.compare_digest(mac, self.signature(body)):
            return None
        version, process_id, request_number, decided_at_ms, name_length = HEADER.unpack_from(body)
        if version != VERSION or len(body) != HEADER.size + name_length:
            return None
        return Token(
            process_id, request_number, decided_at_ms, body[HEADER.size :].decode("utf-8", "replace")
        )

    def signature(self, body: bytes) -> bytes:
        """Returns the truncated HMAC of a token's body."""
        return hmac.new(self.key, body, hashlib.sha256).digest()[:SIGNATURE_BYTES]
