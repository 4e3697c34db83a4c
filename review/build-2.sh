#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, which need only Python's standard library.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -m compileall -q "$here/stand_ins_2.py" \
  "$here/6" "$here/7" "$here/8" "$here/9"
