#!/bin/sh
# Stand-ins of review 3: fleet3.py, limit_after_restart.py and the case.py of each case. They need
# Python 3.11 and nothing else, and are not compiled; the node itself comes from the build of
# deploy/system.toml.
cd "$(dirname "$0")" || exit 2
python3 -c 'import asyncio, tomllib' || exit 2
for file in fleet3.py limit_after_restart.py 1[1-5]/case.py; do
    [ -f "$file" ] || continue
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" || exit 2
done
