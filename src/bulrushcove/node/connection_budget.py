"""Which connections are closed so that a process keeps within its machine.

Load: hundreds of clients at once that send large bodies, tiny chunks, endless
heads or nothing, stop short of the end and keep their connections open, beside
callers whose small requests arrive whole.

A connection whose request is being handled is never closed: its request is
whole and may take effect. No input or output here; the caller closes what is
chosen, and passes the time in.
"""

from bisect import bisect_left
from collections.abc import Iterable, Iterator
from enum import Enum
from operator import attrgetter

import msgspec

from ..batch.policy import RequestLimits
from ..clock import MS_PER_S
from ..wire import MAX_FRAME_BYTES

BYTES_PER_MB = 1024 * 1024
# Memory and descriptors of a machine whose settings do not name them.
DEFAULT_MEMORY_MB = 512
DEFAULT_DESCRIPTORS = 4096
# The platform reserves these for files.
FILE_DESCRIPTORS = 200
# The rest of the memory is for the scheduler, its peers and copies of what is
# held; that of the descriptors for workers, peers and the store.
HELD_MEMORY_SHARE = 0.125
CONNECTION_SHARE = 0.5
# Closes as many as leave this share, so that a crowd is rarely searched.
SHARE_AFTER_CLOSING = 0.875
# Kept for the served connections of peers, readiness and metrics: frames of
# two peers, at most this share of the memory, and this share of connections.
RESERVED_BYTES = 2 * MAX_FRAME_BYTES
RESERVED_HELD_SHARE = 0.5
RESERVED_CONNECTION_SHARE = 0.125
# A body of 256 KB takes 21 s at 100 kbit/s, the slowest link worth waiting for.
MAX_BODY_S = 30.0


class CloseReason(Enum):
    """Why a connection was closed."""

    # Its head, its body or its next request took too long.
    HEAD_LATE = 'head-late'
    BODY_LATE = 'body-late'
    IDLE = 'idle'
    # It was the furthest behind when memory or connections ran out.
    MEMORY = 'memory'
    CONNECTIONS = 'connections'


class ClientConnection:
    """What one connection holds, and how far it has got.

    Times are in seconds on one monotonic clock.
    """

    __slots__ = (
        'began_at_s',
        'decoding_since_s',
        'heard_at_s',
        'idle_timeout_s',
        'held_bytes',
        'is_body',
        'is_handled',
        'is_internal',
        'progressed_at_s',
        'served',
    )

    def __init__(self, now_s: float) -> None:
        """Describe a connection that was accepted at ``now_s``."""
        # Received bytes of requests that are unfinished or being handled.
        self.held_bytes = 0
        # When it was accepted or last completed a request.
        self.progressed_at_s = now_s
        # When a byte last arrived.
        self.heard_at_s = now_s
        # When the first byte of an unfinished request arrived; None: there is
        # no unfinished request.
        self.began_at_s: float | None = None
        # Whether the head of the unfinished request has arrived.
        self.is_body = False
        # Whether a complete request is being handled.
        self.is_handled = False
        # When its chunks began to wait for turns; None: they do not.
        self.decoding_since_s: float | None = None
        # Whether it has completed a request.
        self.served = False
        # Whether it is no caller's: a peer's, or one for readiness or metrics.
        self.is_internal = False
        # Longest silence between two requests; None: that of callers.
        self.idle_timeout_s: float | None = None

    @property
    def is_reserved(self) -> bool:
        """Return whether room is kept for it; a peer has sent its hello."""
        return self.is_internal and self.served

    @property
    def is_decoding(self) -> bool:
        """Return whether chunks that arrived wait to be decoded."""
        return self.decoding_since_s is not None

    def begin_decoding(self, now_s: float) -> None:
        """Note that chunks wait for turns, which is not the client's time."""
        self.decoding_since_s = now_s

    def end_decoding(self, now_s: float) -> None:
        """Note that all chunks that arrived are decoded."""
        if self.decoding_since_s is None:
            return
        waited_s = now_s - self.decoding_since_s
        self.decoding_since_s = None
        self.heard_at_s += waited_s
        if self.began_at_s is not None:
            self.began_at_s += waited_s

    def begin_request(self, *, is_body: bool) -> None:
        """Note that a part of a request has arrived, its head if ``is_body``.

        ``heard_at_s`` is when the newest part arrived.
        """
        self.is_body = is_body
        if self.began_at_s is None:
            self.began_at_s = self.heard_at_s

    def complete_request(self) -> None:
        """Note that a request is whole."""
        self.is_body = False
        self.served = True
        self.began_at_s = None
        self.progressed_at_s = self.heard_at_s


class BudgetLimits(msgspec.Struct, frozen=True):
    """What all connections together may use."""

    held_bytes: int
    connections: int


def derive_budget(memory_mb: int, descriptors: int) -> BudgetLimits:
    """Return the limits for a machine; zero: its settings do not say."""
    memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
    sockets = max(0, (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS)
    return BudgetLimits(
        held_bytes=int(memory_bytes * HELD_MEMORY_SHARE),
        connections=max(1, int(sockets * CONNECTION_SHARE)),
    )


class ConnectionBudget:
    """Adds up what the open connections hold, and names those to close."""

    def __init__(self, limits: BudgetLimits) -> None:
        """Start without connections."""
        self.limits = limits
        self.held_bytes = 0
        self.connections: set[ClientConnection] = set()

    def add(self, connection: ClientConnection) -> None:
        """Count a connection that was accepted."""
        self.connections.add(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection and what it holds."""
        if connection in self.connections:
            self.connections.discard(connection)
            self.held_bytes -= connection.held_bytes

    def hold(self, connection: ClientConnection, held_bytes: int) -> None:
        """Set what ``connection`` holds; no effect once it was removed."""
        if connection in self.connections:
            self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes

    @property
    def is_exceeded(self) -> bool:
        """Return whether the connections use more than the limits."""
        return (
            self.held_bytes > self.limits.held_bytes
            or len(self.connections) > self.limits.connections
        )

    def choose_excess(
        self,
    ) -> list[tuple[ClientConnection, CloseReason]]:
        """Return the connections to close for the limits to hold again.

        Those that hold most are closed for memory, none that holds less than
        its even share. For connections those that have never completed a
        request go first, then those whose last one is the longest ago; the
        few that were accepted last go after them. Room that is reserved is
        exceeded only by the connections that it is kept for.
        """
        chosen = dict.fromkeys(self._choose_largest(), CloseReason.MEMORY)
        for connection in self._choose_silent():
            chosen.setdefault(connection, CloseReason.CONNECTIONS)
        return list(chosen.items())

    def choose_overdue(
        self, now_s: float, limits: RequestLimits
    ) -> list[tuple[ClientConnection, CloseReason]]:
        """Return the connections whose next step took too long."""
        overdue = []
        for connection in self.connections:
            reason = _find_overdue(connection, now_s, limits)
            if reason is not None:
                overdue.append((connection, reason))
        return overdue

    def _choose_largest(self) -> list[ClientConnection]:
        limit_bytes = self.limits.held_bytes
        excess_bytes = self.held_bytes - limit_bytes
        if excess_bytes <= 0:
            return []
        closable, reserved = self._group_closable()
        kept_bytes = min(RESERVED_BYTES, limit_bytes * RESERVED_HELD_SHARE)
        chosen = list(
            self._take_largest(reserved, _add_held(reserved) - kept_bytes)
        )
        excess_bytes -= _add_held(chosen)
        if excess_bytes > 0:
            spared_bytes = limit_bytes * (1 - SHARE_AFTER_CLOSING)
            chosen += self._take_largest(closable, excess_bytes + spared_bytes)
        return chosen

    def _take_largest(
        self, group: list[ClientConnection], to_free_bytes: float
    ) -> Iterator[ClientConnection]:
        """Yield the largest of ``group`` until ``to_free_bytes`` are free."""
        share_bytes = self.limits.held_bytes / self.limits.connections
        for connection in sorted(
            group, key=attrgetter('held_bytes'), reverse=True
        ):
            if to_free_bytes <= 0 or connection.held_bytes < share_bytes:
                return
            to_free_bytes -= connection.held_bytes
            yield connection

    def _group_closable(
        self,
    ) -> tuple[list[ClientConnection], list[ClientConnection]]:
        """Return those that may be closed, and those with reserved room."""
        groups: tuple[list[ClientConnection], list[ClientConnection]]
        groups = ([], [])
        for connection in self.connections:
            if not connection.is_handled:
                groups[connection.is_reserved].append(connection)
        return groups

    def _choose_silent(self) -> list[ClientConnection]:
        excess = len(self.connections) - self.limits.connections
        if excess <= 0:
            return []
        spared = int(self.limits.connections * (1 - SHARE_AFTER_CLOSING))
        closable, reserved = self._group_closable()
        reserved.sort(key=attrgetter('progressed_at_s'))
        kept = int(self.limits.connections * RESERVED_CONNECTION_SHARE)
        closable += reserved[: max(0, len(reserved) - kept)]
        closable.sort(key=attrgetter('served', 'progressed_at_s'))
        # Those accepted last have had no time for a request yet.
        end = bisect_left(closable, 1, key=attrgetter('served'))
        begin = max(0, end - max(1, spared))
        ranked = closable[:begin] + closable[end:] + closable[begin:end]
        return ranked[: excess + spared]


def _add_held(connections: Iterable[ClientConnection]) -> int:
    return sum(each.held_bytes for each in connections)


def _find_overdue(
    connection: ClientConnection, now_s: float, limits: RequestLimits
) -> CloseReason | None:
    if connection.is_handled or connection.is_decoding:
        return None
    idle_s = connection.idle_timeout_s or limits.idle_timeout_ms / MS_PER_S
    if connection.began_at_s is None:
        is_idle = now_s - connection.heard_at_s > idle_s
        return CloseReason.IDLE if is_idle else None
    arriving_s = now_s - connection.began_at_s
    if not connection.is_body:
        is_late = arriving_s > limits.header_timeout_ms / MS_PER_S
        return CloseReason.HEAD_LATE if is_late else None
    if arriving_s > MAX_BODY_S or now_s - connection.heard_at_s > idle_s:
        return CloseReason.BODY_LATE
    return None
