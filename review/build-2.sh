#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard library, so
# that only their syntax is checked; the node comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in deployment.py memory_limit.py downloads.py [6-9]/play.py 10/play.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
test -x ../target/src/apps/bilberrytally-node
