#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.  They are Python
# without dependencies of their own: compiling them shows that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q \
  review/second tests/__init__.py tests/relay.py tests/replica_paths.py
python3 -c 'import review.second.engine, review.second.fronts, review.second.replica
import review.second.clients, review.second.record, tests.replica_paths'
