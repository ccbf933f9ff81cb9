#!/bin/sh
# Builds every stand-in that a case starts. They are Python of the standard library: all there is to do is to compile.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins.py review/[0-9]/*.py review/seen/*.py
