#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They are plain
# Python and need no package: building them means to compile them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins-3
for folder in 11 12 13 14 15; do
    if [ -f "$folder/run.py" ]; then
        python3 -m compileall -q "$folder"
    fi
done
