#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python 3 with its standard library, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PY
