#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python modules that use the
# packages of the deploy file's build, so this only compiles and imports them.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q review
python3 -c "import review.common.engine_process"
