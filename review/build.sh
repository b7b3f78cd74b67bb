#!/bin/sh
# Builds every stand-in that the scripts start. They are plain Python and use
# the libraries that the deploy file has put into target/deps; this loads
# them, so that a missing one shows here and not in a case.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -B -c 'import aiohttp, dev.platform_standin.store, review.standins'
for case in review/*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
