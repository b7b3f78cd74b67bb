"""Closes the connections that ``ConnectionBudget`` names, and reports them."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from mode import Service

from ..batch.policy import RequestLimits
from ..logs import log_event
from .connection_budget import BudgetLimits, ClientConnection, ConnectionBudget

# Late connections are looked for, and what was closed is logged, this often.
CHECK_INTERVAL_S = 1.0
# Part of the budget for connections that may be accepted before others close.
ACCEPT_BATCHES = 16
# A peer closes a stream itself on which nothing arrives for 8 s.
STREAM_IDLE_TIMEOUT_S = 20.0

logger = logging.getLogger(__name__)


class ConnectionGuard(Service):
    """Keeps all accepted connections of a process within one budget."""

    def __init__(
        self,
        budget_limits: BudgetLimits,
        get_request_limits: Callable[[], RequestLimits],
        record_refusal: Callable[[str], None],
    ) -> None:
        """Close connections beyond ``budget_limits``.

        ``get_request_limits`` returns the limits now in force;
        ``record_refusal`` gets the reason of each refused request or closed
        connection.
        """
        super().__init__()
        self.get_request_limits = get_request_limits
        # Connections accepted at a time, so that few exceed the budget.
        self.accept_batch = max(1, budget_limits.connections // ACCEPT_BATCHES)
        self._budget = ConnectionBudget(budget_limits)
        self._close_by_connection: dict[
            ClientConnection, Callable[[], None]
        ] = {}
        self._record_refusal = record_refusal
        # Not yet logged, by reason.
        self._refusals: Counter[str] = Counter()

    @property
    def held_bytes(self) -> int:
        """Return what all connections hold."""
        return self._budget.held_bytes

    def open(
        self, close: Callable[[], None], *, is_internal: bool = False
    ) -> ClientConnection:
        """Count an accepted connection that ``close`` closes at once.

        ``is_internal``: it is no caller's.
        """
        connection = ClientConnection(asyncio.get_running_loop().time())
        connection.is_internal = is_internal
        self._close_by_connection[connection] = close
        self._budget.add(connection)
        self._close_excess()
        return connection

    def admit_stream(self, close: Callable[[], None]) -> 'StreamAdmission':
        """Count a stream that a peer opened."""
        connection = self.open(close, is_internal=True)
        connection.idle_timeout_s = STREAM_IDLE_TIMEOUT_S
        return StreamAdmission(self, connection)

    def release(self, connection: ClientConnection) -> None:
        """Forget a connection that was closed."""
        self._budget.remove(connection)
        self._close_by_connection.pop(connection, None)

    def hold(self, connection: ClientConnection, held_bytes: int) -> None:
        """Set what a connection holds; may close it, or others."""
        self._budget.hold(connection, held_bytes)
        self._close_excess()

    def report_refusal(self, reason: str) -> None:
        """Count a refused request or closed connection by its reason."""
        self._refusals[reason] += 1
        self._record_refusal(reason)

    def close_overdue(self) -> None:
        """Close the connections whose next step took too long."""
        now_s = asyncio.get_running_loop().time()
        overdue = self._budget.choose_overdue(now_s, self.get_request_limits())
        for connection, reason in overdue:
            self._close(connection, reason.value)

    @Service.task
    async def _check(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            self.close_overdue()
            self._log_refusals()

    def _close_excess(self) -> None:
        if self._budget.is_exceeded:
            for connection, reason in self._budget.choose_excess():
                self._close(connection, reason.value)

    def _close(self, connection: ClientConnection, reason: str) -> None:
        close = self._close_by_connection.get(connection)
        self.release(connection)
        self.report_refusal(reason)
        if close is not None:
            close()

    def _log_refusals(self) -> None:
        for reason, count in self._refusals.items():
            log_event(
                logger,
                'clients.refused',
                level=logging.WARNING,
                reason=reason,
                count=count,
                connections=len(self._budget.connections),
                held_bytes=self._budget.held_bytes,
            )
        self._refusals.clear()


class StreamAdmission:
    """The frames of one stream, counted like the requests of a caller."""

    def __init__(
        self, guard: ConnectionGuard, connection: ClientConnection
    ) -> None:
        """Count what ``connection`` holds of a frame."""
        self._guard = guard
        self._connection = connection

    def set_arriving(self, kept_bytes: int) -> None:
        """Set how much is kept of a frame that is arriving."""
        connection = self._connection
        connection.heard_at_s = asyncio.get_running_loop().time()
        if kept_bytes:
            connection.begin_request(is_body=True)
        else:
            connection.complete_request()
        self._guard.hold(connection, kept_bytes)

    def release(self) -> None:
        """Forget the stream."""
        self._guard.release(self._connection)
