"""Blocking HTTP calls of the launcher to admin and health ports."""

import time
import urllib.error
import urllib.request
from collections.abc import Callable

import msgspec

from dev.launch.ports import HOST

CALL_TIMEOUT_S = 2
RETRY_PERIOD_S = 0.05


class NotReadyError(Exception):
    """A condition was not met within its timeout."""


def put_json(port: int, path: str, body: object) -> None:
    """PUT ``body`` as JSON; raises ``OSError`` if that fails."""
    request = urllib.request.Request(
        f'http://{HOST}:{port}{path}',
        data=msgspec.json.encode(body),
        method='PUT',
    )
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as response:
        response.read()


def get_bytes(port: int, path: str) -> bytes:
    """GET ``path`` and return the body; raises ``OSError`` if that fails."""
    url = f'http://{HOST}:{port}{path}'
    with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as response:
        return bytes(response.read())


def responds_with(port: int, path: str, status: int = 200) -> bool:
    """Return whether a GET of ``path`` responds with ``status``."""
    try:
        get_bytes(port, path)
    except urllib.error.HTTPError as error:
        return error.code == status
    except OSError:
        return False
    return True


def wait_until(
    is_ready: Callable[[], bool], problem: str, timeout_s: float
) -> None:
    """Poll ``is_ready`` until it is true.

    Raises ``NotReadyError`` after ``timeout_s``; ``problem`` is its message.
    """
    end_s = time.monotonic() + timeout_s
    while not is_ready():
        if time.monotonic() > end_s:
            raise NotReadyError(f'{problem} after {timeout_s} s')
        time.sleep(RETRY_PERIOD_S)
