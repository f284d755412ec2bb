#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/11 to review/15 start. All of them are in review/standins3.py, which
# runs as it is; this only checks that Python is there and reads it.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import ast, sys; ast.parse(open("standins3.py").read()); sys.exit(sys.version_info < (3, 9))'
