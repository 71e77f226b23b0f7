#!/bin/sh
# The stand-ins are Python programs without a build; this compiles them once.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/*.py review/[0-9]*/*.py \
    tests/fake_platform.py tests/broken_bodies.py
