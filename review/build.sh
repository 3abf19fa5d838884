#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are in Python and need no build; this checks that the
# interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
python3 - kit.py [1-5]/case.py <<'PYTHON'
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
