"""Questions to the placement adviser over HTTP."""

from http import HTTPStatus

import msgspec

from ..batch.advice import Advice, AdviceRequest
from ..clock import MS_PER_S
from ..ids import WorkerId
from ..node.advice_requests import AdviserError
from .exceptions import CallError, UndecodableError
from .http_client import Endpoint, decode

# Beyond what the adviser says that it takes: the way there and back, and one
# question before that was given up.
TIMEOUT_MARGIN_S = 1.0


class _AdviceResponse(msgspec.Struct, rename='kebab'):
    # Rows of worker and ticket.
    allowed: list[tuple[str, str]]
    validity_ms: int = 0


class HttpAdviserClient:
    """Calls to the adviser of this deployment."""

    def __init__(self, address: str) -> None:
        """Call ``address``; empty: there is no adviser."""
        self._endpoint = Endpoint(address) if address else None

    async def ask(self, question: AdviceRequest) -> Advice:
        """Return the tickets for a step; raises ``AdviserError``."""
        if self._endpoint is None:
            raise AdviserError('the settings name no adviser')
        job, occurrence, step = question.step
        body = {
            'step': f'{job}.{occurrence}.{step}',
            'workers': question.workers,
        }
        try:
            reply = await self._endpoint.call(
                'POST',
                '/api/advise',
                body=body,
                timeout_s=question.expected_duration_s + TIMEOUT_MARGIN_S,
            )
            if reply.status != HTTPStatus.OK:
                raise AdviserError(f'adviser: status {reply.status}')
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
