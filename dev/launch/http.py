"""Small blocking HTTP calls of the launcher to admin and health ports."""

import time
import urllib.error
import urllib.request
from collections.abc import Callable

import msgspec

from dev.launch.ports import HOST

CALL_TIMEOUT_S = 2
RETRY_PERIOD_S = 0.05


class NotReadyError(Exception):
    """Something did not become ready in time."""


def put_json(port: int, path: str, body: object) -> None:
    """Send ``body`` as JSON; raises ``OSError`` unless it was taken."""
    request = urllib.request.Request(
        f'http://{HOST}:{port}{path}',
        data=msgspec.json.encode(body),
        method='PUT',
    )
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
        answer.read()


def get_bytes(port: int, path: str) -> bytes:
    """Return the body at ``path``; raises ``OSError`` without one."""
    url = f'http://{HOST}:{port}{path}'
    with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as answer:
        return bytes(answer.read())


def responds_with(port: int, path: str, status: int = 200) -> bool:
    """Return whether a GET is answered with ``status``."""
    try:
        get_bytes(port, path)
    except urllib.error.HTTPError as error:
        return error.code == status
    except OSError:
        return False
    return True


def wait_until(
    is_ready: Callable[[], bool], what: str, timeout_s: float
) -> None:
    """Wait for ``is_ready``; raises ``NotReadyError`` naming ``what``."""
    end_s = time.monotonic() + timeout_s
    while not is_ready():
        if time.monotonic() > end_s:
            raise NotReadyError(f'{what} after {timeout_s} s')
        time.sleep(RETRY_PERIOD_S)
