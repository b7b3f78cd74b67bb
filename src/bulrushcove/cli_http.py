"""HTTP requests of the command line to one entry VM."""

import aiohttp
from yarl import URL

from .cli_client import (
    EntryOutcomeUnknownError,
    Exchange,
    NotHandledError,
    Reply,
)


def make_exchange(
    session: aiohttp.ClientSession,
    token: str,
    timeout_s: float,
) -> Exchange:
    """Return a function that sends a request to an entry VM.

    It raises ``NotHandledError`` if no connection could be made and
    ``EntryOutcomeUnknownError`` if no complete response arrived.
    """
    headers = {'Authorization': f'Bearer {token}'}
    timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def send_request(
        entry: str, method: str, path: str, body: bytes
    ) -> Reply:
        request_context = session.request(
            method,
            URL(f'{entry}{path}', encoded=True),
            data=body or None,
            headers=headers,
            timeout=timeout,
        )
        try:
            async with request_context as response:
                return Reply(response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as exc:
            raise NotHandledError(f'{entry}: {exc}') from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise EntryOutcomeUnknownError(
                f'{entry}: no response: {exc!r}'
            ) from exc

    return send_request
