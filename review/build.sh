#!/bin/sh
# Builds what the scripts of the cases start beside the programs of the deploy
# file: the stand-ins are python3 programs (python3 is among the packages of the
# project's Makefile) that use its standard library alone, so they are only
# compiled.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null
python3 - <<'P'
import glob
for name in glob.glob("stand/*.py") + glob.glob("*/case.py"):
    with open(name) as f:
        compile(f.read(), name, "exec")
P
