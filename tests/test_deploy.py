"""What the deploy file asks of the platform."""

import os
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
COUNT_CERTIFICATES = """
from aiohttp import connector
print(len(connector._SSL_CONTEXT_VERIFIED.get_ca_certs()))
"""


def test_a_starting_vm_reads_no_certificates():
    """A small VM needed 0.2 s for them, while callers found no listener."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    counted = subprocess.run(
        [sys.executable, '-c', COUNT_CERTIFICATES],
        env={**os.environ, **deploy['roles']['node']['env']},
        capture_output=True,
        text=True,
        check=True,
    )
    assert counted.stdout.strip() == '0'
