#!/usr/bin/env bash
# Builds every stand-in that the scripts start: they are Python of the standard
# library, so this only checks that they compile. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("expected Python 3.11 or later")
for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
    print(f"compiles: {path}")
PYTHON
test -d ../target/deps || { echo "build the deploy file first" >&2; exit 1; }
