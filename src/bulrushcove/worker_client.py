"""HTTP client for requests from a control to workers."""

import aiohttp
import msgspec

from .clock import MS_PER_S
from .exceptions import WorkerError
from .tracing import TRACEPARENT, current_traceparent, span
from .vm_list import VmEntry
from .worker_api import (
    DESCRIPTION_PATH,
    SYNC_PATH,
    SyncRequest,
    SyncResponse,
    WorkerDescription,
)

HTTP_OK = 200
HTTP_FENCED = 409
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

_encoder = msgspec.json.Encoder()
_response_decoder = msgspec.json.Decoder(SyncResponse)
_description_decoder = msgspec.json.Decoder(WorkerDescription)


class WorkerClient:
    """Sends requests to workers; every failure is a ``WorkerError``."""

    def __init__(self, session: aiohttp.ClientSession, timeout_ms: int) -> None:
        """Time out each request after ``timeout_ms``."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_S)

    async def describe(self, vm: VmEntry) -> WorkerDescription:
        """Return the worker's description of itself."""
        body = await self._call('GET', vm, DESCRIPTION_PATH)
        return _decode(vm, _description_decoder, body)

    async def sync(self, vm: VmEntry, request: SyncRequest) -> SyncResponse:
        """Send the request of one round.

        If the worker has seen a higher epoch, the response has ``accepted``
        false. After an error the request may have taken effect, or may do so
        later.
        """
        traceparent = _first_traceparent(request)
        if not traceparent:
            return await self._sync(vm, request)
        with span('control.worker', traceparent=traceparent, worker=vm.vm):
            return await self._sync(vm, request)

    async def _sync(self, vm: VmEntry, request: SyncRequest) -> SyncResponse:
        body = _encoder.encode(request)
        response_body = await self._call('POST', vm, SYNC_PATH, body)
        return _decode(vm, _response_decoder, response_body)

    async def _call(
        self, method: str, vm: VmEntry, path: str, body: bytes = b''
    ) -> bytes:
        url = f'http://{vm.address}:{vm.port}{path}'
        headers = {TRACEPARENT: current_traceparent()}
        self.sent_bytes += len(body)
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=self._timeout
            ) as response:
                return await self._read(vm, response)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise WorkerError(
                f'worker {vm.vm!r}: {type(exc).__name__}: {exc}',
            ) from exc

    async def _read(
        self, vm: VmEntry, response: aiohttp.ClientResponse
    ) -> bytes:
        if response.status not in {HTTP_OK, HTTP_FENCED}:
            raise WorkerError(
                f'worker {vm.vm!r}: unexpected status {response.status}'
            )
        length = response.content_length or 0
        if length > MAX_RESPONSE_BYTES:
            raise WorkerError(
                f'worker {vm.vm!r}: response of {length} bytes is too large'
            )
        body = await response.read()
        self.received_bytes += len(body)
        return body


def _first_traceparent(request: SyncRequest) -> str:
    for reservation in request.reserve:
        if reservation.traceparent:
            return reservation.traceparent
    return ''


def _decode(vm: VmEntry, decoder: msgspec.json.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise WorkerError(f'worker {vm.vm!r}: {exc}') from exc
