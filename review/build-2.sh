#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8: they are Python programs of the standard library, so that they are
# only checked here.
set -e
cd "$(dirname "$0")"
python3 --version
for file in standins-2/standins.py [4-8]/case.py; do
    [ -e "$file" ] || continue
    python3 - "$file" <<'P'
import sys
with open(sys.argv[1], encoding="utf-8") as f:
    compile(f.read(), sys.argv[1], "exec")
P
done
