#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are Python
# programs of the standard library; compiling them shows that this Python can run them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for folder in ("common3", *map(str, range(11, 16))):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(ast.parse(path.read_text(), str(path)), str(path), "exec")
        print("checked", path)
PYTHON
