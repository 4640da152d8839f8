"""Declares the structure of `[fronts.extproc]` in the operator's file.

Its values are checked by `extproc.py`, which is imported only for a file that has this table.
"""

from __future__ import annotations

from .schema import Boolean, Number, String, Strings, Table, TableArray

MAX_OPERATIONS = 500
SOURCE = String("[a-z]{4,10}:[^\\x00-\\x1f]{0,200}", "a source, as header:x-account")
FILE = String("[^\\x00-\\x1f]{1,400}", "the path of a file")
HEADER = String("[!#$%&'*+.^_`|~0-9a-z-]{1,100}", "the name of a header in lower case")
NAMED = String("[^\\x00-\\x1f]{1,100}", "a name")
MAPPED_FIELDS = ("class", "account", "plan", "units", "spread", "id", "key", "deadline_ms")
MAP = Table(dict.fromkeys(MAPPED_FIELDS, SOURCE), ("account", "plan"))
OPERATION = Table(
    {
        "class": NAMED,
        "method": String("[A-Z]{1,20}", "a method in upper case"),
        "path": String("/[^\\x00-\\x20?#]{0,199}", "a path template, as /v1/checks/{account}"),
    },
    ("class", "path"),
)
EXTPROC = Table(
    {
        "listen": String(
            r"(127\.[0-9]{1,3}\.[0-9]{1,3}\.[0-9]{1,3}|localhost|\[::1\]):[0-9]{1,5}|unix:/[^\x00-\x1f]{1,100}",
            "a loopback address with its port, or unix: and the path of a socket",
        ),
        "token_key_file": FILE,
        "most_calls": Number(1, 1_000_000, is_integer=True),
        "most_streams": Number(1, 1_000_000, is_integer=True),
        "reopen_ms": Number(0, 10_000),
        "attempt_streams": Boolean(),
        "endpoint_header": HEADER,
        "load_header": HEADER,
        "full_status": Number(0, 599, is_integer=True),
        "restart_open": Strings(),
        "tls": Table({"certificate": FILE, "key": FILE, "client_ca": FILE}, ("certificate", "key")),
        "map": MAP,
        "operation": TableArray(OPERATION, MAX_OPERATIONS),
        "ratelimit": Table({"domain": NAMED, "map": MAP}, ("domain", "map")),
    },
    ("listen", "map"),
)
LISTENERS = Table({"extproc": EXTPROC})
