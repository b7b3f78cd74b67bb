#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain Python and use the
# libraries that the build of the deploy file has put under target/deps, so
# that there is only to see that they compile and find these.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review/6/standins"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path('review').glob('6/standins/*.py')) + sorted(
    pathlib.Path('review').glob('*/case.py')
):
    compile(path.read_text(), str(path), 'exec')
import minion  # noqa: F401
import play  # noqa: F401
import store  # noqa: F401
END
echo "stand-ins of the cases 6 to 10: built"
