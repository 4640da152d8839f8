#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python, the project's own among them, and need no library
# beyond those that the deploy file's build installs. Compiling shows at once whether any of them can't be read.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q lab review/common_2 review/[6-9] review/10
.venv/bin/python -c 'import h11, hiredis, uvloop, lab.services, lab.ports, lab.peers'
