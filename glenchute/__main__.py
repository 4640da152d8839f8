"""Runs the command line interface: ``python -m glenchute``."""

from __future__ import annotations

import sys

from glenchute.cli.main import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
