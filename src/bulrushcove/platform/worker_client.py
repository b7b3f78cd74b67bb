"""HTTP client of one worker: sends orders and fetches reports."""

import re
from http import HTTPStatus
from types import MappingProxyType

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
from .exceptions import CallError, NotSentError, UndecodableError
from .http_client import Endpoint, Reply, decode
from .numbers import MAX_NUMBER, WireInt

# The round trip to the farthest worker takes 60 ms, and opening a connection
# as long again; a healthy worker responds at once.
ORDER_TIMEOUT_S = 0.35
# Added to the time that a report is asked to wait for the end of a run.
REPORT_TIMEOUT_MARGIN_S = 0.4
# Holds the id of the expected worker; another one rejects the request.
INSTANCE_HEADER = 'X-Expect-Instance'

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


class _OrderResponse(msgspec.Struct, rename='kebab'):
    clock_ms: WireInt = 0
    reason: str = ''


class HttpWorkerClient:
    """Implements the protocol ``WorkerClient`` over HTTP."""

    def __init__(self, worker: WorkerId, address: str) -> None:
        """Use ``worker`` at ``address``; any other worker rejects calls."""
        self._worker = worker
        self._endpoint = Endpoint(address)
        self._headers = {INSTANCE_HEADER: worker}

    async def close(self) -> None:
        """Close all connections."""
        await self._endpoint.close()

    async def report(
        self,
        epoch: Epoch,
        *,
        stored_end: int,
        lease_end_ms: int | None,
        wait_ms: int,
    ) -> WorkerReport:
        """Renew the lease and return what runs and what has ended.

        ``lease_end_ms`` is on the worker's clock; None renews nothing. The
        worker drops ended runs up to number ``stored_end``, and waits up to
        ``wait_ms`` for another run to end. Raises ``WorkerCallError``,
        ``WorkerFencedError`` or ``WorkerReplacedError``.
        """
        body: dict[str, int] = {'fence': epoch, 'acked-through': stored_end}
        if lease_end_ms is not None:
            # Here the end of the lease, not a deadline as in a start order.
            body['deadline-ms'] = lease_end_ms
        if wait_ms:
            body['wait-ms'] = wait_ms
        timeout_s = wait_ms / 1000 + REPORT_TIMEOUT_MARGIN_S
        reply = await self._call('/api/hold', body, timeout_s)
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
        """Order the worker to start a run."""
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
        return await self._send_order('/api/run-start', body)

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

    async def _send_order(
        self, path: str, body: dict[str, object]
    ) -> OrderReply:
        try:
            reply = await self._call(path, body, ORDER_TIMEOUT_S)
        except WorkerCallError as exc:
            was_sent = not isinstance(exc.__cause__, NotSentError)
            outcome = (
                OrderOutcome.UNKNOWN if was_sent else OrderOutcome.NOT_SENT
            )
            return OrderReply(outcome)
        return _decode_order_response(reply)

    async def _call(self, path: str, body: object, timeout_s: float) -> Reply:
        try:
            return await self._endpoint.call(
                'POST',
                path,
                body=body,
                headers=self._headers,
                timeout_s=timeout_s,
            )
        except CallError as exc:
            raise WorkerCallError(str(exc)) from exc


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
