"""HTTP client of the placement adviser."""

from http import HTTPStatus

import msgspec

from ..batch.advice import Advice, AdviceRequest
from ..clock import MS_PER_S
from ..ids import WorkerId
from ..node.advice_requests import AdviserError
from .exceptions import CallError, UndecodableError
from .http_client import Endpoint, decode
from .numbers import WireInt

# Added to the duration that the adviser announces: covers the round trip and
# one earlier request that timed out but is still being processed.
TIMEOUT_MARGIN_S = 1.0


class _AdviceResponse(msgspec.Struct, rename='kebab'):
    # Rows of worker id and ticket.
    allowed: list[tuple[str, str]]
    validity_ms: WireInt = 0


class HttpAdviserClient:
    """Requests tickets from the placement adviser of the deployment."""

    def __init__(self, address: str) -> None:
        """Connect to ``address``; an empty one means there is no adviser."""
        self._endpoint = Endpoint(address) if address else None

    async def request_advice(self, request: AdviceRequest) -> Advice:
        """Return tickets for the workers that may run a step.

        Raises ``AdviserError`` if there is no adviser or it does not respond
        as expected.
        """
        if self._endpoint is None:
            raise AdviserError('no adviser address is configured')
        job, occurrence, step = request.step
        body = {
            'step': f'{job}.{occurrence}.{step}',
            'workers': request.workers,
        }
        try:
            reply = await self._endpoint.call(
                'POST',
                '/api/advise',
                body=body,
                timeout_s=request.expected_duration_s + TIMEOUT_MARGIN_S,
            )
            if reply.status != HTTPStatus.OK:
                raise AdviserError(f'adviser returned status {reply.status}')
            response = decode(reply.body, _AdviceResponse)
        except (CallError, UndecodableError) as exc:
            raise AdviserError(str(exc)) from exc
        return Advice(
            {WorkerId(worker): ticket for worker, ticket in response.allowed},
            response.validity_ms / MS_PER_S,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._endpoint is not None:
            await self._endpoint.close()
