#!/bin/sh
# Builds the stand-ins of the third review: Python sources of the standard library.
set -e
cd "$(dirname "$0")"
python3 -m py_compile stand_ins_3.py 1[1-5]/case.py
