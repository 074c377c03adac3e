#!/usr/bin/env bash
# Checks the stand-ins of the cases 7 to 10. They need Python 3.11 or later and
# its standard library only, so nothing is built or installed. The nodes come
# from the `build` line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/harness_2"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path().glob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print(f"{path}: ok")
PYTHON
