"""Connections to one worker, each bound to one incarnation of it.

A worker may start again under its id and address, with a new clock and without
the epoch that it had seen. An order that reaches the wrong incarnation is
therefore not rejected. A connection ends with the process that accepted it, so
an order that names an incarnation is sent only on a connection on which that
incarnation has reported; nothing else tells the two apart.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import AbstractContextManager, asynccontextmanager, nullcontext

from .exceptions import NoResponseError, UnidentifiedError
from .http_client import IDLE_CONNECTION_TIMEOUT_S, Connection
from .identifications import Identifications


class WorkerConnection(Connection):
    """A connection to a worker."""

    # Start time of the incarnation that has reported on it, in Unix
    # milliseconds; None: none has.
    started_unix_ms: int | None = None
    # When it was last used, on the clock of the event loop.
    used_at_s: float = 0.0

    def bind(self, started_unix_ms: int) -> None:
        """Bind the connection to the incarnation that has reported on it."""
        self.started_unix_ms = started_unix_ms
        self.seal()


class WorkerConnections:
    """Idle connections to the address of one worker."""

    def __init__(self, address: str) -> None:
        """Connect to ``address``, given as host:port, on demand."""
        self.identifications = Identifications()
        self._address = address
        # The last one was used last.
        self._idle: list[WorkerConnection] = []
        # Connections of an earlier generation are not used again.
        self._generation = 0

    @asynccontextmanager
    async def borrow(
        self, started_unix_ms: int | None = None, *, may_wait: bool = True
    ) -> AsyncIterator[WorkerConnection]:
        """Lend a connection, to be used for one call after the other.

        It is bound to the incarnation ``started_unix_ms`` or to none yet; if
        that is None, it may be bound to any. If ``may_wait``, one that is to be
        identified is lent within the bound of identifications. Raises
        ``UnidentifiedError`` if one for which this call waits has failed.
        """
        await self._close(self._take_expired())
        connection = await self._acquire(started_unix_ms, may_wait=may_wait)
        generation = self._generation
        try:
            with self._count(connection, started_unix_ms):
                yield connection
        except (NoResponseError, UnidentifiedError):
            # The others may have stopped delivering data too.
            await self.close()
            raise
        finally:
            if connection.is_unusable or generation != self._generation:
                await connection.close()
            else:
                connection.used_at_s = _loop_time_s()
                self._idle.append(connection)
                self.identifications.wake_next()

    async def close(self) -> None:
        """Close the idle connections now, the others when they are returned."""
        self._generation += 1
        self.identifications.wake_all()
        idle = self._idle
        self._idle = []
        await self._close(idle)

    async def _acquire(
        self, started_unix_ms: int | None, *, may_wait: bool
    ) -> WorkerConnection:
        """Take an idle connection or make one, once it may be identified."""
        generation = self._generation
        connection = self._take_idle(started_unix_ms)
        while connection is None:
            if (
                started_unix_ms is None
                or not may_wait
                or self.identifications.may_begin
            ):
                return self._take_unbound()
            await self.identifications.wait()
            if generation != self._generation:
                raise UnidentifiedError(
                    f'connections to {self._address} were closed meanwhile'
                )
            connection = self._take_idle(started_unix_ms)
        return connection

    def _take_idle(
        self, started_unix_ms: int | None
    ) -> WorkerConnection | None:
        """Take an idle connection that needs no identification, if any."""
        for connection in reversed(self._idle):
            is_any = started_unix_ms is None
            if is_any or connection.started_unix_ms == started_unix_ms:
                self._idle.remove(connection)
                return connection
        return None

    def _take_unbound(self) -> WorkerConnection:
        for connection in reversed(self._idle):
            if connection.started_unix_ms is None:
                self._idle.remove(connection)
                return connection
        return WorkerConnection(self._address)

    def _count(
        self, connection: WorkerConnection, started_unix_ms: int | None
    ) -> AbstractContextManager[None]:
        """Count the identification of ``connection``, if it needs one."""
        if started_unix_ms is None or connection.started_unix_ms is not None:
            return nullcontext()
        return self.identifications.count()

    def _take_expired(self) -> list[WorkerConnection]:
        oldest_s = _loop_time_s() - IDLE_CONNECTION_TIMEOUT_S
        expired = [one for one in self._idle if one.used_at_s < oldest_s]
        for connection in expired:
            self._idle.remove(connection)
        return expired

    async def _close(self, connections: Iterable[WorkerConnection]) -> None:
        for connection in connections:
            await connection.close()


def _loop_time_s() -> float:
    return asyncio.get_running_loop().time()
