"""Runs the program as ``python -m pollenfold``."""

import sys

from .cli.main import main

sys.exit(main())
