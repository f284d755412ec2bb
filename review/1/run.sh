#!/usr/bin/env bash
# See claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 review/1/case.py review/1
