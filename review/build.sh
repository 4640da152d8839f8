#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file: compiles them for the same interpreter.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -m compileall -q review
