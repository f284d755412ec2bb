#!/usr/bin/env bash
# Checks the stand-ins of this review. They are Python programs without
# dependencies (python3 is among the packages of .ci/install), so there is
# nothing to compile; the routers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'PY'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
PY
