#!/bin/sh
# Builds every stand-in that the scripts start. They are plain Python and use
# the libraries that the deploy file has put into target/deps; this compiles
# them, so that a missing one shows here and not in a case.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c 'import aiohttp, dev.platform_standin.store, review.standins'
python3 -m compileall -q review dev/platform_standin
