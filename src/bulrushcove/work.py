"""One request on its way from a caller to a backend server."""

from collections.abc import AsyncIterator, Callable

import msgspec
from multidict import CIMultiDict

from .clock import MS_PER_S
from .exceptions import RefusedError
from .ids import BackendId
from .request_head import RequestHead
from .routing import NONE_AVOIDED
from .states import Outcome
from .tracing import TRACEPARENT

OCTETS = 'application/octet-stream'
GATEWAY_TIMEOUT = 504


class Work(msgspec.Struct, eq=False):
    """One request; ``body`` is bytes when it is kept for another try."""

    head: RequestHead
    body: bytes | AsyncIterator[bytes]
    # Whether the caller still waits for the answer.
    wanted: Callable[[], bool]
    content_type: str = OCTETS
    traceparent: str = ''
    attempts: int = 0
    # Bytes may have reached a server without a true "not run" from it.
    may_have_run: bool = False
    # Servers that were tried without success.
    avoid: frozenset[BackendId] = NONE_AVOIDED
    # Time from sending to the answer of the try that succeeded.
    service_s: float | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether the body is kept for another try."""
        return isinstance(self.body, bytes)


def backend_headers(work: Work, left_s: float) -> CIMultiDict[str]:
    """Return the headers for a backend server, ``left_s`` to the deadline."""
    head = work.head
    return CIMultiDict(
        {
            'X-Request-Id': head.request,
            'X-Organisation': head.contract.organisation,
            'X-Idempotent': 'true' if head.idempotent else 'false',
            'X-Deadline-Ms': str(max(1, int(left_s * MS_PER_S))),
            'Content-Type': work.content_type,
            TRACEPARENT: work.traceparent,
        }
    )


def refusal(work: Work, status: int, message: str) -> RefusedError:
    """Return a refusal that says only what is surely known."""
    outcome = Outcome.UNKNOWN if work.may_have_run else Outcome.NOT_RUN
    return RefusedError(status, message, outcome=outcome)


def deadline_passed(work: Work) -> RefusedError:
    """Return the refusal of ``work`` at its deadline."""
    return refusal(work, GATEWAY_TIMEOUT, 'the deadline has passed')
