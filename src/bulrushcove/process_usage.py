"""Resource usage of this process, for metrics."""

import os
import time
from pathlib import Path

_STATM = Path('/proc/self/statm')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    resident_pages = _STATM.read_text(encoding='ascii').split()[1]
    return int(resident_pages) * _PAGE_BYTES


def cpu_s() -> float:
    """Return the CPU time that this process has used, in seconds."""
    return time.process_time()
