#!/bin/sh
# Checks that the scripts of this review compile, and that its stand-ins and
# those of the project that they use can be loaded with the packages of the
# deploy file. All are plain Python: there is nothing else to build.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:.:review/11/standins PYTHONDONTWRITEBYTECODE=1
exec python3 - <<'END'
from pathlib import Path

for number in range(11, 16):
    path = Path(f'review/{number}/case.py')
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')

import dev.platform_standin.deployment  # noqa: F401
import small  # noqa: F401
END
