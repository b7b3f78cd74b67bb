"""HTTP client of workers."""

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
MAX_ANSWER_BYTES = 8 * 1024 * 1024

_encoder = msgspec.json.Encoder()
_answers = msgspec.json.Decoder(SyncResponse)
_descriptions = msgspec.json.Decoder(WorkerDescription)


class WorkerClient:
    """Asks workers; every failure is a ``WorkerError``."""

    def __init__(self, session: aiohttp.ClientSession, timeout_ms: int) -> None:
        """Give up on an answer after ``timeout_ms``."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_S)

    async def describe(self, vm: VmEntry) -> WorkerDescription:
        """Return what the worker offers."""
        body = await self._call('GET', vm, DESCRIPTION_PATH)
        return _decode(vm, _descriptions, body)

    async def sync(self, vm: VmEntry, request: SyncRequest) -> SyncResponse:
        """Send one round; a fenced one has ``accepted`` false.

        After an error the request may have taken effect, or may yet do so.
        """
        traceparent = _first_traceparent(request)
        if not traceparent:
            return await self._sync(vm, request)
        with span('control.worker', traceparent=traceparent, worker=vm.vm):
            return await self._sync(vm, request)

    async def _sync(self, vm: VmEntry, request: SyncRequest) -> SyncResponse:
        body = _encoder.encode(request)
        answer = await self._call('POST', vm, SYNC_PATH, body)
        return _decode(vm, _answers, answer)

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
            raise WorkerError(f'worker {vm.vm!r}: status {response.status}')
        length = response.content_length or 0
        if length > MAX_ANSWER_BYTES:
            raise WorkerError(f'worker {vm.vm!r}: answer of {length} bytes')
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
