"""State of one request while it is served."""

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
    """One request; ``body`` is bytes if kept for a retry, else a stream."""

    head: RequestHead
    body: bytes | AsyncIterator[bytes]
    # Returns whether the caller is still waiting for the response.
    is_caller_connected: Callable[[], bool]
    content_type: str = OCTET_STREAM
    traceparent: str = ''
    attempts: int = 0
    # Bytes may have reached a server that did not report "not run".
    may_have_run: bool = False
    # Servers whose attempts failed.
    tried_backends: frozenset[BackendId] = NO_BACKENDS
    # Duration of the successful attempt.
    service_s: float | None = None
    # Servers on which the request is counted; released at its end.
    acquired_servers: list[Server] = msgspec.field(default_factory=list)

    @property
    def is_replayable(self) -> bool:
        """Return whether the body is kept for a retry."""
        return isinstance(self.body, bytes)


def backend_headers(pending: PendingRequest, left_s: float) -> CIMultiDict[str]:
    """Return the headers for a backend server; ``left_s`` is the time left."""
    head = pending.head
    return CIMultiDict(
        {
            'X-Request-Id': head.request_id,
            'X-Organisation': head.contract.organisation,
            'X-Idempotent': 'true' if head.idempotent else 'false',
            'X-Deadline-Ms': str(max(1, int(left_s * MS_PER_S))),
            'Content-Type': pending.content_type,
        }
    )


def make_refusal(
    pending: PendingRequest, status: int, message: str
) -> RefusedError:
    """Return an error; its outcome says whether ``pending`` may have run."""
    outcome = Outcome.UNKNOWN if pending.may_have_run else Outcome.NOT_RUN
    return RefusedError(status, message, outcome=outcome)


def deadline_exceeded(pending: PendingRequest) -> RefusedError:
    """Return the error for ``pending`` at its deadline."""
    return make_refusal(pending, GATEWAY_TIMEOUT, 'the deadline has passed')
