"""Orders to workers and their reports."""

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
from ..ids import Epoch, JobId, WorkerId
from .exceptions import CallError, NotSentError, UndecodableError
from .http_client import Endpoint, Reply, decode

# The farthest worker is 60 ms away and back, and as much for a connection; a
# healthy one answers at once.
ORDER_TIMEOUT_S = 0.35
# Beyond the time that a report was asked to wait for an end.
REPORT_MARGIN_S = 0.4
INSTANCE_HEADER = 'X-Expect-Instance'

_REFUSED = MappingProxyType(
    {
        'fence': OrderOutcome.FENCED,
        'old': OrderOutcome.STALE_RUN,
        'late': OrderOutcome.TOO_LATE,
        'room': OrderOutcome.NO_CAPACITY,
        'ticket': OrderOutcome.NO_TICKET,
    }
)
_UNHEALTHY = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


class _Report(msgspec.Struct, rename='kebab'):
    clock_ms: int
    # Rows of task, run, checkpoint, percent and a rough load figure.
    running: list[list[str | int | float | None]]
    # Rows of number, task, run, how it ended and checkpoint.
    ended: list[list[str | int | float | None]]
    # Unix milliseconds of the worker's start.
    born: int = 0


class _OrderAnswer(msgspec.Struct, rename='kebab'):
    clock_ms: int = 0
    reason: str = ''


class HttpWorkerClient:
    """Calls to one worker."""

    def __init__(self, worker: WorkerId, address: str) -> None:
        """Call ``worker`` at ``address``; other instances refuse."""
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
        """Renew the lease up to ``lease_end_ms`` of the worker's clock.

        Ends up to ``stored_end`` are forgotten there. Raises
        ``WorkerCallError``, ``WorkerFencedError`` or ``WorkerReplacedError``.
        """
        body: dict[str, int] = {'fence': epoch, 'acked-through': stored_end}
        if lease_end_ms is not None:
            body['deadline-ms'] = lease_end_ms
        if wait_ms:
            body['wait-ms'] = wait_ms
        timeout_s = wait_ms / 1000 + REPORT_MARGIN_S
        reply = await self._call('/api/hold', body, timeout_s)
        if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
            raise WorkerReplacedError(
                f'{self._worker}: another instance answers'
            )
        if reply.status == HTTPStatus.CONFLICT:
            raise WorkerFencedError(f'{self._worker}: a higher epoch was seen')
        if reply.status != HTTPStatus.OK:
            raise WorkerCallError(f'{self._worker}: status {reply.status}')
        return _decode_report(reply.body)

    async def start(self, epoch: Epoch, order: StartOrder) -> OrderReply:
        """Order the start of a run."""
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
        return await self._order('/api/run-start', body)

    async def stop(self, epoch: Epoch, ref: RunRef) -> OrderReply:
        """Order the stop of a run."""
        body: dict[str, object] = {
            'task': format_task_name(ref.task),
            'run': ref.run,
            'fence': epoch,
        }
        return await self._order('/api/run-stop', body)

    async def throttle(
        self, epoch: Epoch, ref: RunRef, percent: int
    ) -> OrderReply:
        """Order at which share of its speed a run works."""
        body: dict[str, object] = {
            'task': format_task_name(ref.task),
            'run': ref.run,
            'percent': percent,
            'fence': epoch,
        }
        return await self._order('/api/pace', body)

    async def _order(self, path: str, body: dict[str, object]) -> OrderReply:
        try:
            reply = await self._call(path, body, ORDER_TIMEOUT_S)
        except WorkerCallError as exc:
            sent = not isinstance(exc.__cause__, NotSentError)
            outcome = OrderOutcome.UNKNOWN if sent else OrderOutcome.NOT_SENT
            return OrderReply(outcome)
        return _decode_order(reply)

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
    """Return the task's name on the wire: job, occurrence, step, index."""
    return f'{task.job}.{task.occurrence}.{task.step}.{task.index}'


def parse_task_name(name: str) -> TaskRef:
    """Return the task of a name; raises ``UndecodableError``."""
    parts = name.split('.')
    try:
        job, occurrence, step, index = parts
        return TaskRef(JobId(job), int(occurrence), int(step), int(index))
    except ValueError as exc:
        raise UndecodableError(f'task name {name!r}') from exc


def _decode_order(reply: Reply) -> OrderReply:
    if reply.status == HTTPStatus.OK:
        return OrderReply(OrderOutcome.DONE, _clock_ms(reply))
    if reply.status == HTTPStatus.CONFLICT:
        answer = decode(reply.body, _OrderAnswer)
        outcome = _REFUSED.get(answer.reason, OrderOutcome.INVALID)
        return OrderReply(outcome, answer.clock_ms)
    if reply.status in _UNHEALTHY:
        return OrderReply(OrderOutcome.UNHEALTHY)
    if reply.status == HTTPStatus.MISDIRECTED_REQUEST:
        return OrderReply(OrderOutcome.OTHER_INCARNATION)
    if reply.status == HTTPStatus.BAD_REQUEST:
        return OrderReply(OrderOutcome.INVALID)
    return OrderReply(OrderOutcome.UNKNOWN)


def _clock_ms(reply: Reply) -> int:
    try:
        return decode(reply.body, _OrderAnswer).clock_ms
    except UndecodableError:
        # The order was carried out all the same; only its clock is missing.
        return 0


def _decode_report(body: bytes) -> WorkerReport:
    try:
        report = decode(body, _Report)
        running = tuple(_running(row) for row in report.running)
        ended = tuple(_ended(row) for row in report.ended)
    except (UndecodableError, ValueError, TypeError) as exc:
        raise WorkerCallError(f'report: {exc}') from exc
    return WorkerReport(
        clock_ms=report.clock_ms,
        started_unix_ms=report.born,
        running=running,
        ended=ended,
    )


def _running(row: list[str | int | float | None]) -> RunningTask:
    task, run, checkpoint, percent = row[:4]
    load = row[4] if len(row) > 4 else 0
    return RunningTask(
        RunRef(parse_task_name(str(task)), int(run)),
        str(checkpoint or ''),
        int(percent or 0),
        float(load or 0),
    )


def _ended(row: list[str | int | float | None]) -> EndedTask:
    number, task, run, how, checkpoint = row[:5]
    return EndedTask(
        int(number),
        RunRef(parse_task_name(str(task)), int(run)),
        EndKind(how),
        str(checkpoint or ''),
    )
