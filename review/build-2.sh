#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: Python files, which run as they are and need
# only what the build of the deploy file has put under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build first"; exit 1; }
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 - review/second/*.py review/*/case.py <<'END'
import sys

import aiohttp
import yaml

for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
print(f"{len(sys.argv) - 1} files can be run; aiohttp {aiohttp.__version__}")
END
