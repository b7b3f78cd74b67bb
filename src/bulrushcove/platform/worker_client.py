"""HTTP client of one worker: sends orders and fetches reports."""

import logging
import re
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from ..batch.ids import RunRef, TaskRef
from ..batch.orders import (
    OrderOutcome,
    OrderReply,
    StartOrder,
    WorkerCallError,
    WorkerFencedError,
    WorkerReplacedError,
)
from ..batch.workers import EndedTask, EndKind, RunningTask, WorkerReport
from ..decoding import DECODE_ERRORS, quote
from ..ids import Epoch, JobId, WorkerId
from ..logs import log_event
from .exceptions import (
    CallError,
    NoResponseError,
    NotSentError,
    UndecodableError,
    UnidentifiedError,
)
from .http_client import Reply, decode
from .numbers import MAX_NUMBER, WireInt
from .worker_connections import WorkerConnection, WorkerConnections

# The round trip to the farthest worker takes 60 ms, and opening a connection
# as long again; a healthy worker responds at once.
ORDER_TIMEOUT_S = 0.35
# Added to the time that a report is asked to wait for the end of a run.
REPORT_TIMEOUT_MARGIN_S = 0.4
# Holds the id of the expected worker; another one rejects the request.
INSTANCE_HEADER = 'X-Expect-Instance'
_REPORT_PATH = '/api/hold'

_OUTCOME_BY_REASON = MappingProxyType(
    {
        # The worker has seen a higher epoch.
        'fence': OrderOutcome.FENCED,
        'old': OrderOutcome.STALE_RUN,
        'late': OrderOutcome.TOO_LATE,
        'room': OrderOutcome.NO_CAPACITY,
        'ticket': OrderOutcome.NO_TICKET,
    }
)
_UNHEALTHY_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)

# A worker lists this many ends at most, the oldest first.
MAX_ENDS_PER_REPORT = 500
# ASCII digits only: ``int`` reads other digits, signs and spaces too.
_NUMBER_PATTERN = re.compile('[0-9]{1,9}')
logger = logging.getLogger(__name__)
_REPORT_ERRORS = (UndecodableError, *DECODE_ERRORS)
_Cell = str | int | float | None


class _Report(msgspec.Struct, rename='kebab'):
    clock_ms: WireInt
    # Rows of task, run, checkpoint, progress in percent and approximate load.
    running: list[list[_Cell]]
    # Rows of sequence number, task, run, end kind and checkpoint.
    ended: list[list[_Cell]]
    # Unix milliseconds at which the worker started.
    born: WireInt = 0


class _Identity(msgspec.Struct):
    # Unix milliseconds at which the worker started.
    born: WireInt = 0


class _OtherIncarnationError(NotSentError):
    """Another incarnation answers than the one that was called."""

    def __init__(self, reply: Reply) -> None:
        """Keep ``reply``, a report of that incarnation."""
        super().__init__('another incarnation of the worker answers')
        self.reply = reply


# The first one that an error is an instance of tells the outcome.
_OUTCOME_BY_ERROR = (
    (_OtherIncarnationError, OrderOutcome.OTHER_INCARNATION),
    (UnidentifiedError, OrderOutcome.UNREACHED),
    (NotSentError, OrderOutcome.NOT_SENT),
    (CallError, OrderOutcome.UNKNOWN),
)


class _Call(NamedTuple):
    path: str
    body: Mapping[str, object]
    timeout_s: float


class _OrderResponse(msgspec.Struct, rename='kebab'):
    clock_ms: WireInt = 0
    reason: str = ''


class HttpWorkerClient:
    """Implements the protocol ``WorkerClient`` over HTTP."""

    def __init__(self, worker: WorkerId, address: str) -> None:
        """Use ``worker`` at ``address``; any other worker rejects calls."""
        self._worker = worker
        self._connections = WorkerConnections(address)
        self._headers = {INSTANCE_HEADER: worker}

    async def close(self) -> None:
        """Close all connections."""
        await self._connections.close()

    async def report(
        self,
        epoch: Epoch,
        *,
        started_unix_ms: int,
        stored_end: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Renew the lease and return what runs and what has ended.

        ``lease_end_ms`` is on the worker's clock; None renews nothing. The
        worker drops ended runs up to number ``stored_end``, and waits up to
        ``wait_ms`` for another run to end. Another incarnation than
        ``started_unix_ms`` reports, and neither renews nor drops anything.
        Raises ``WorkerCallError``, ``WorkerFencedError`` or
        ``WorkerReplacedError``.
        """
        body: dict[str, int] = {'fence': epoch, 'acked-through': stored_end}
        if lease_end_ms is not None:
            # Here the end of the lease, not a deadline as in a start order.
            body['deadline-ms'] = lease_end_ms
        if wait_ms:
            body['wait-ms'] = wait_ms
        timeout_s = wait_ms / 1000 + REPORT_TIMEOUT_MARGIN_S
        has_effect = stored_end > 0 or lease_end_ms is not None
        reply = await self._request_report(
            _Call(_REPORT_PATH, body, timeout_s),
            started_unix_ms if has_effect else None,
        )
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            raise WorkerReplacedError(
                f'another worker uses the address of {self._worker}'
            )
        if reply.status == HTTPStatus.CONFLICT:
            raise WorkerFencedError(
                f'worker {self._worker} has seen a higher epoch than {epoch}'
            )
        if reply.status != HTTPStatus.OK:
            raise WorkerCallError(
                f'report of worker {self._worker}: status {reply.status}'
            )
        return _decode_report(reply.body)

    async def start(self, epoch: Epoch, order: StartOrder) -> OrderReply:
        """Order one incarnation of the worker to start a run."""
        body: dict[str, object] = {
            'task': format_task_name(order.ref.task),
            'run': order.ref.run,
            'spec': order.payload,
            'deadline-ms': order.deadline_ms,
            'fence': epoch,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._send_order(
            '/api/run-start', body, order.started_unix_ms
        )

    async def stop(self, epoch: Epoch, ref: RunRef) -> OrderReply:
        """Order the worker to stop a run."""
        body: dict[str, object] = {
            'task': format_task_name(ref.task),
            'run': ref.run,
            'fence': epoch,
        }
        return await self._send_order('/api/run-stop', body)

    async def throttle(
        self, epoch: Epoch, ref: RunRef, percent: int
    ) -> OrderReply:
        """Order the worker to limit a run to ``percent`` of its full speed."""
        body: dict[str, object] = {
            'task': format_task_name(ref.task),
            'run': ref.run,
            'percent': percent,
            'fence': epoch,
        }
        return await self._send_order('/api/pace', body)

    async def _request_report(
        self, call: _Call, started_unix_ms: int | None
    ) -> Reply:
        try:
            return await self._call(call, started_unix_ms)
        except _OtherIncarnationError as exc:
            return exc.reply
        except CallError as exc:
            raise WorkerCallError(str(exc)) from exc

    async def _send_order(
        self,
        path: str,
        body: Mapping[str, object],
        started_unix_ms: int | None = None,
    ) -> OrderReply:
        """Send an order; None: any incarnation may carry it out."""
        call = _Call(path, body, ORDER_TIMEOUT_S)
        try:
            reply = await self._call(call, started_unix_ms)
        except CallError as exc:
            return OrderReply(_outcome_of(exc))
        return _decode_order_response(reply)

    async def _call(self, call: _Call, started_unix_ms: int | None) -> Reply:
        """Call the incarnation ``started_unix_ms``, or any if that is None.

        A connection that the worker has closed since its last use is replaced.
        A report, which may renew a lease, waits for no other call.
        """
        reply = None
        while reply is None:
            async with self._connections.borrow(
                started_unix_ms, may_wait=call.path != _REPORT_PATH
            ) as connection:
                if connection.is_sealed:
                    reply = await self._call_if_open(connection, call)
                else:
                    reply = await self._call_new(
                        connection, call, started_unix_ms
                    )
        return reply

    async def _call_if_open(
        self, connection: WorkerConnection, call: _Call
    ) -> Reply | None:
        """Return the response; None if ``connection`` was closed before."""
        try:
            return await self._call_on(connection, call)
        except NotSentError:
            return None

    async def _call_new(
        self,
        connection: WorkerConnection,
        call: _Call,
        started_unix_ms: int | None,
    ) -> Reply:
        """Identify the worker unless ``started_unix_ms`` is None, and call it.

        Returns the response, or the rejection of the report that was to
        identify it. Raises ``_OtherIncarnationError``.
        """
        if started_unix_ms is None:
            return await self._call_on(connection, call)
        reply = await self._identify(connection, call.body['fence'])
        if reply.status != HTTPStatus.OK:
            return reply
        if connection.started_unix_ms != started_unix_ms:
            raise _OtherIncarnationError(reply)
        return await self._call_on(connection, call)

    async def _identify(
        self, connection: WorkerConnection, epoch: Epoch
    ) -> Reply:
        """Ask for a report without effect; return it or its rejection.

        Raises ``UnidentifiedError`` if it does not tell the incarnation.
        """
        body = {'fence': epoch, 'acked-through': 0}
        call = _Call(_REPORT_PATH, body, REPORT_TIMEOUT_MARGIN_S)
        try:
            reply = await self._call_on(connection, call)
        except NoResponseError as exc:
            raise UnidentifiedError(str(exc)) from exc
        if reply.status == HTTPStatus.OK and not connection.is_sealed:
            raise UnidentifiedError(
                f'undecodable report of worker {self._worker}'
            )
        return reply

    async def _call_on(
        self, connection: WorkerConnection, call: _Call
    ) -> Reply:
        reply = await connection.call(
            call.path,
            body=call.body,
            headers=self._headers,
            timeout_s=call.timeout_s,
        )
        if call.path == _REPORT_PATH and reply.status == HTTPStatus.OK:
            _bind(connection, reply)
            self._connections.identifications.report_bytes = len(reply.body)
        return reply


def _outcome_of(exc: CallError) -> OrderOutcome:
    return next(
        outcome
        for error, outcome in _OUTCOME_BY_ERROR
        if isinstance(exc, error)
    )


def _bind(connection: WorkerConnection, reply: Reply) -> None:
    """Bind ``connection`` to the incarnation that has made a report."""
    try:
        started_unix_ms = decode(reply.body, _Identity).born
    except UndecodableError:
        return
    known_unix_ms = connection.started_unix_ms
    if known_unix_ms is None:
        connection.bind(started_unix_ms)
    elif known_unix_ms != started_unix_ms:
        # Something between the two keeps a connection for both.
        connection.is_unusable = True
        log_event(
            logger,
            'worker.connection_crossed',
            level=logging.ERROR,
            bound_to=known_unix_ms,
            incarnation=started_unix_ms,
        )


def format_task_name(task: TaskRef) -> str:
    """Return the wire name of a task: job, occurrence, step and index."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.index}'


def parse_task_name(name: str) -> TaskRef:
    """Parse a wire name of a task; raises ``UndecodableError``."""
    job, *numbers = name.split('.')
    is_valid = len(numbers) == 3 and all(
        map(_NUMBER_PATTERN.fullmatch, numbers)
    )
    if not is_valid:
        raise UndecodableError(f'invalid task name {quote(name)}')
    return TaskRef(JobId(job), *map(int, numbers))


def _decode_order_response(reply: Reply) -> OrderReply:
    if reply.status == HTTPStatus.OK:
        return OrderReply(OrderOutcome.DONE, _decode_clock_ms(reply))
    if reply.status == HTTPStatus.CONFLICT:
        return _decode_rejection(reply)
    if reply.status in _UNHEALTHY_STATUSES:
        return OrderReply(OrderOutcome.UNHEALTHY)
    if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
        return OrderReply(OrderOutcome.OTHER_WORKER)
    if reply.status == HTTPStatus.BAD_REQUEST:
        return OrderReply(OrderOutcome.INVALID)
    return OrderReply(OrderOutcome.UNKNOWN)


def _decode_rejection(reply: Reply) -> OrderReply:
    try:
        response = decode(reply.body, _OrderResponse)
    except UndecodableError:
        # Why the worker rejected the order, and whether it carried it out
        # before, is unknown.
        return OrderReply(OrderOutcome.UNKNOWN)
    outcome = _OUTCOME_BY_REASON.get(response.reason, OrderOutcome.INVALID)
    return OrderReply(outcome, response.clock_ms)


def _decode_clock_ms(reply: Reply) -> int:
    try:
        return decode(reply.body, _OrderResponse).clock_ms
    except UndecodableError:
        # The order was carried out; only the worker's clock is unknown.
        return 0


def _decode_report(body: bytes) -> WorkerReport:
    try:
        report = decode(body, _Report)
        running = tuple(_decode_running_task(row) for row in report.running)
        ended = tuple(_decode_ended_task(row) for row in report.ended)
    except _REPORT_ERRORS as exc:
        raise WorkerCallError(f'undecodable report: {exc}') from exc
    return WorkerReport(
        clock_ms=report.clock_ms,
        started_unix_ms=report.born,
        running=running,
        ended=ended,
        is_cut=len(ended) >= MAX_ENDS_PER_REPORT,
    )


def _to_number(cell: _Cell) -> int:
    number = int(cell)
    if abs(number) > MAX_NUMBER:
        raise UndecodableError(f'number {quote(cell)} is out of range')
    return number


def _decode_running_task(row: list[_Cell]) -> RunningTask:
    task, run, checkpoint, percent = row[:4]
    load = row[4] if len(row) > 4 else 0
    return RunningTask(
        RunRef(parse_task_name(str(task)), _to_number(run)),
        str(checkpoint or ''),
        _to_number(percent or 0),
        float(load or 0),
    )


def _decode_ended_task(row: list[_Cell]) -> EndedTask:
    number, task, run, end_kind, checkpoint = row[:5]
    return EndedTask(
        _to_number(number),
        RunRef(parse_task_name(str(task)), _to_number(run)),
        EndKind(end_kind),
        str(checkpoint or ''),
    )
