#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
export PYTHONPATH="$here/../../target/deps:$here/../standins-2"
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$here/case.py"
