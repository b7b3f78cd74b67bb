"""One request on its way from a caller to a backend server."""

from collections.abc import AsyncIterator, Callable

import msgspec
from multidict import CIMultiDict

from .clock import MS_PER_S
from .exceptions import RefusedError
from .ids import BackendId
from .request_head import RequestHead
from .routing import NO_BACKENDS, Server
from .states import Outcome

OCTET_STREAM = 'application/octet-stream'
GATEWAY_TIMEOUT = 504


class PendingRequest(msgspec.Struct, eq=False):
    """One request; ``body`` is bytes when it is kept for another try."""

    head: RequestHead
    body: bytes | AsyncIterator[bytes]
    # Whether the caller still waits for the answer.
    is_caller_connected: Callable[[], bool]
    content_type: str = OCTET_STREAM
    traceparent: str = ''
    attempts: int = 0
    # Bytes may have reached a server without a true "not run" from it.
    may_have_run: bool = False
    # Servers that were tried without success.
    tried_backends: frozenset[BackendId] = NO_BACKENDS
    # Time from sending to the answer of the try that succeeded.
    service_s: float | None = None
    # Servers on which the request is counted.
    acquired_servers: list[Server] = msgspec.field(default_factory=list)

    @property
    def is_replayable(self) -> bool:
        """Return whether the body is kept for another try."""
        return isinstance(self.body, bytes)


def backend_headers(pending: PendingRequest, left_s: float) -> CIMultiDict[str]:
    """Return the headers for a backend server, ``left_s`` to the deadline."""
    head = pending.head
    return CIMultiDict(
        {
            'X-Request-Id': head.request,
            'X-Organisation': head.contract.organisation,
            'X-Idempotent': 'true' if head.idempotent else 'false',
            'X-Deadline-Ms': str(max(1, int(left_s * MS_PER_S))),
            'Content-Type': pending.content_type,
        }
    )


def refusal(pending: PendingRequest, status: int, message: str) -> RefusedError:
    """Return a refusal that says only what is surely known."""
    outcome = Outcome.UNKNOWN if pending.may_have_run else Outcome.NOT_RUN
    return RefusedError(status, message, outcome=outcome)


def deadline_exceeded(pending: PendingRequest) -> RefusedError:
    """Return the refusal of ``pending`` at its deadline."""
    return refusal(pending, GATEWAY_TIMEOUT, 'the deadline has passed')
