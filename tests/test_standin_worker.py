import msgspec
import pytest

from bulrushcove.clock import ManualClock
from bulrushcove.states import TaskState
from bulrushcove.worker_api import (
    SyncRequest,
    TaskReservation,
    WorkerDescription,
)
from dev.history.events import EventLog, TaskStep, read_events
from dev.standins.worker_tasks import WorkerTasks

DESCRIPTION = WorkerDescription(
    worker='worker-1',
    domain='Fray Bentos',
    rack='rack-1',
    accelerators=8,
    cores=32,
    memory_mb=65_536,
)


class Bench:
    """A simulated worker with a manual clock."""

    def __init__(self, path):
        self.clock = ManualClock()
        self.path = path
        self.tasks = WorkerTasks(DESCRIPTION, self.clock, EventLog(path))

    def sync(self, epoch=1, **instructions):
        return self.tasks.sync(
            SyncRequest(
                epoch=epoch,
                control='vm-1',
                lease_ms=8000,
                reservation_ms=2000,
                **instructions,
            )
        )

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.tasks.advance()

    def steps(self):
        return [event.step for event in read_events([self.path])]


@pytest.fixture
def bench(tmp_path):
    return Bench(tmp_path / 'worker.jsonl')


def reservation(attempt='a1', part=0, accelerators=8, **payload):
    return TaskReservation(
        attempt=attempt,
        job=f'job-{attempt}',
        part=part,
        organisation='planta',
        accelerators=accelerators,
        cores=1,
        memory_mb=512,
        payload=msgspec.json.encode(payload).decode(),
    )


def run(bench, **payload):
    bench.sync(reserve=(reservation(**payload),))
    return bench.sync(start=('a1',))


def test_task_runs_and_reports_its_result(bench):
    run(bench, run_ms=3000, result='done')
    bench.wait(3.1)
    (report,) = bench.sync().tasks
    assert report.state is TaskState.FINISHED
    assert report.result == 'done'
    assert bench.sync(forget=('a1',)).tasks == ()
    assert bench.steps() == [
        TaskStep.RESERVE,
        TaskStep.START,
        TaskStep.FINISH,
    ]


def test_request_with_a_lower_epoch_is_rejected(bench):
    bench.sync(epoch=5)
    response = bench.sync(epoch=4, reserve=(reservation(),))
    assert not response.accepted
    assert response.epoch == 5
    assert bench.steps() == []


def test_higher_epoch_keeps_running_tasks(bench):
    run(bench, run_ms=20_000)
    (report,) = bench.sync(epoch=9, renew=('a1',)).tasks
    assert report.state is TaskState.RUNNING


def test_lease_expires_without_renewal(bench):
    run(bench, run_ms=60_000)
    bench.wait(7)
    bench.sync(renew=('a1',))
    bench.wait(7.9)
    assert bench.steps()[-1] is TaskStep.START
    bench.wait(0.2)
    (report,) = bench.sync(renew=('a1',)).tasks
    assert report.state is TaskState.STOPPED
    lapse_event = read_events([bench.path])[-1]
    assert lapse_event.step is TaskStep.LAPSE
    assert lapse_event.at_s == pytest.approx(1015)


def test_start_after_the_reservation_expired_is_refused(bench):
    bench.sync(reserve=(reservation(),))
    bench.wait(2.1)
    assert 'a1' in bench.sync(start=('a1',)).refused
    assert bench.steps() == [TaskStep.RESERVE, TaskStep.DROP]


def test_reservation_beyond_free_capacity_is_refused(bench):
    bench.sync(reserve=(reservation('a1', accelerators=5),))
    response = bench.sync(reserve=(reservation('a2', accelerators=4),))
    assert response.refused == {'a2': 'accelerators: 4 needed, 3 free'}


def test_late_reservation_of_a_stopped_attempt_is_refused(bench):
    bench.sync(stop=('a1',))
    assert 'a1' in bench.sync(reserve=(reservation(),)).refused


def test_checkpoint_survives_a_stop(bench):
    run(bench, run_ms=10_000)
    bench.wait(4)
    bench.sync(checkpoint=('a1',))
    bench.wait(1)
    (report,) = bench.sync(stop=('a1',)).tasks
    assert report.state is TaskState.STOPPED
    assert report.checkpoint_run_ms == 4000
    assert report.run_ms == 5000
    resumed = msgspec.structs.replace(
        reservation('a2', run_ms=10_000), checkpoint=report.checkpoint
    )
    bench.sync(reserve=(resumed,))
    bench.sync(start=('a2',))
    bench.wait(6.1)
    assert bench.steps()[-1] is TaskStep.FINISH


def test_throttled_task_takes_twice_as_long(bench):
    run(bench, run_ms=4000)
    bench.sync(throttle=('a1',))
    bench.wait(7.9)
    assert bench.steps()[-1] is TaskStep.START
    bench.sync(renew=('a1',))
    bench.wait(0.2)
    assert bench.steps()[-1] is TaskStep.FINISH


def test_reported_usage_is_delayed(bench):
    run(bench, run_ms=60_000)
    bench.wait(0.1)
    assert bench.sync().used_millicores == 0
    bench.wait(2)
    assert bench.sync().used_millicores == 1000


def test_faulty_worker_fails_each_task(bench):
    bench.tasks.fails_everything = True
    (report,) = run(bench, run_ms=60_000).tasks
    assert report.state is TaskState.FAILED


def test_payload_requests_a_failure(bench):
    run(bench, run_ms=100, fail=True)
    bench.wait(0.2)
    assert bench.steps()[-1] is TaskStep.FAIL
