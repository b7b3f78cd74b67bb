"""What a worker's report says about the runs that were ordered there.

A report lists everything that runs and every end that is not confirmed. A run
in neither list is over when it was known to run before the report was asked
for, or when its start can no longer be carried out.
"""

import msgspec

from .ids import RunRef
from .progress import Seat, SeatPhase
from .workers import EndedTask, EndKind, RunningTask, Worker, WorkerReport


class SeatEnd(msgspec.Struct, frozen=True):
    """A seat that is over."""

    seat: Seat
    kind: EndKind
    checkpoint: str = ''


class Findings(msgspec.Struct):
    """What follows from one report."""

    ends: list[SeatEnd] = msgspec.field(default_factory=list)
    # Runs that no seat stands for: to be stopped.
    strays: list[RunRef] = msgspec.field(default_factory=list)
    # Seats known to run since this report.
    confirmed: list[Seat] = msgspec.field(default_factory=list)


def apply_report(
    worker: Worker, report: WorkerReport, *, sent_s: float, now_s: float
) -> Findings:
    """Bring ``worker`` up to ``report``, which was asked for at ``sent_s``."""
    findings = Findings()
    is_reborn = report.born_unix_ms != worker.entry.born_unix_ms
    if is_reborn:
        _start_new_life(worker, report, findings, sent_s)
    worker.note_clock(report.clock_ms, now_s)
    for ended in report.ended:
        _apply_end(worker, ended, findings)
    listed = set()
    for running in report.running:
        listed.add(running.ref)
        _apply_running(worker, running, findings, now_s)
    is_first = not worker.is_adopted
    for seat in tuple(worker.seats.values()):
        if seat.ref in listed:
            continue
        if is_first or _is_over(seat, report.clock_ms, sent_s):
            _end_seat(worker, SeatEnd(seat, _missing_kind(seat)), findings)
    worker.strays &= listed
    worker.is_adopted = True
    return findings


def _start_new_life(
    worker: Worker, report: WorkerReport, findings: Findings, sent_s: float
) -> None:
    """End what ran in the life before; its counts start anew."""
    worker.entry = msgspec.structs.replace(
        worker.entry, born_unix_ms=report.born_unix_ms
    )
    worker.seen_end = 0
    worker.stored_end = 0
    worker.granted_ms = 0
    worker.strays.clear()
    listed = {running.ref for running in report.running}
    listed.update(ended.ref for ended in report.ended)
    for seat in tuple(worker.seats.values()):
        was_before = seat.confirmed_s is not None and seat.confirmed_s < sent_s
        if seat.ref not in listed and was_before:
            _end_seat(worker, SeatEnd(seat, EndKind.LOST), findings)


def _apply_end(worker: Worker, ended: EndedTask, findings: Findings) -> None:
    if ended.number <= worker.seen_end:
        return
    worker.seen_end = ended.number
    worker.strays.discard(ended.ref)
    seat = worker.seats.get(ended.ref)
    if seat is not None:
        _end_seat(worker, SeatEnd(seat, ended.kind, ended.checkpoint), findings)


def _apply_running(
    worker: Worker, running: RunningTask, findings: Findings, now_s: float
) -> None:
    seat = worker.seats.get(running.ref)
    if seat is None:
        worker.strays.add(running.ref)
        findings.strays.append(running.ref)
        return
    if seat.confirmed_s is None:
        findings.confirmed.append(seat)
    confirm_seat(seat, now_s)
    seat.load = running.load
    if running.percent > seat.percent:
        seat.percent = running.percent
        seat.progress_s = now_s
    if running.checkpoint:
        seat.unit.checkpoint = running.checkpoint


def confirm_seat(seat: Seat, now_s: float) -> None:
    """Take note that the run on ``seat`` was known to go on at ``now_s``."""
    if seat.confirmed_s is None:
        seat.confirmed_s = now_s
        seat.progress_s = now_s
    if seat.phase is SeatPhase.ORDERED:
        seat.phase = SeatPhase.LIVE


def _is_over(seat: Seat, clock_ms: int, sent_s: float) -> bool:
    if seat.confirmed_s is not None and seat.confirmed_s < sent_s:
        return True
    if seat.stop_confirmed_s is not None and seat.stop_confirmed_s < sent_s:
        return True
    deadline_ms = seat.start_deadline_ms
    return deadline_ms is not None and clock_ms > deadline_ms


def _missing_kind(seat: Seat) -> EndKind:
    if seat.confirmed_s is None:
        return EndKind.NEVER_STARTED
    return EndKind.LOST


def _end_seat(worker: Worker, end: SeatEnd, findings: Findings) -> None:
    worker.seats.pop(end.seat.ref, None)
    findings.ends.append(end)
