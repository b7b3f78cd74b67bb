#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
export SSL_CERT_FILE=/dev/null SSL_CERT_DIR=/dev/null
timeout -k 5 118 python3 "$here/case.py"
code=$?
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
