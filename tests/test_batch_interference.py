"""Images that slow each other down: learnt, forgotten, and kept apart."""

import random

import pytest
from batch_builders import Bench, entry, job_spec, step
from interference_model import REPORT_INTERVAL_S, World

from bulrushcove.batch.engine import Engine
from bulrushcove.batch.ids import UnitRef
from bulrushcove.batch.interference import MAX_PAIRS, InterferenceModel
from bulrushcove.batch.job_spec import StepSpec, TaskSize
from bulrushcove.batch.neighbour_changes import FULL_WORKER, ObservedChange
from bulrushcove.batch.pacing import speed_of, update_throttle
from bulrushcove.batch.workers import EndKind, Worker
from bulrushcove.ids import JobId, WorkerId

SERVICE_HARM = {('web', 'index'): 2.0}
TWO_HARMS = {('search', 'video'): 3.0, ('web', 'mail'): 2.0}
# Conditions under which runs are slow and nothing slows anything.
CONTROLS = (
    {'level': 0.2},
    {'level': 0.5},
    {'level': 0.7, 'noise': 0.3},
    {'cold_share': 1.0, 'warm_s': 8.0},
    {'service_images': (), 'batch_s': 30.0, 'batch_images': ('train', 'scan')},
    {'noise': 0.4, 'is_paced': False},
)
BATCH_WORLD = {
    'service_images': (),
    'filling_images': ('index', 'video'),
    'batch_images': ('train', 'train'),
    'batch_s': 30.0,
    'worker_count': 12,
}


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('harm', [SERVICE_HARM, TWO_HARMS])
def test_harmful_pairs_are_named_and_no_others(harm, seed):
    world = World(seed, harm=harm, level=0.2)
    world.run(60)
    assert world.named_ever == set(harm)


def test_images_that_slow_the_progress_of_others_are_named():
    """Whole percents of long tasks are noisy: not in every world."""
    harm = {('train', 'index'): 2.0}
    worlds = [World(seed, harm=harm, **BATCH_WORLD) for seed in range(6)]
    for world in worlds:
        world.run(90)
    assert sum(world.named_ever == set(harm) for world in worlds) >= 4
    assert all(world.named_ever <= set(harm) for world in worlds)


@pytest.mark.parametrize('control', CONTROLS)
@pytest.mark.parametrize('seed', range(5))
def test_no_pair_is_named_where_nothing_slows_anything(control, seed):
    """Slow and cold workers, long tasks, remote data and load are no pair."""
    world = World(seed, **control)
    world.run(90)
    assert not world.named_ever


def test_a_pair_is_forgotten_once_it_no_longer_harms():
    world = World(1, harm=SERVICE_HARM, level=0.2)
    world.run(40)
    assert world.model.named_pairs == set(SERVICE_HARM)
    world.harm = {}
    world.run(40)
    assert not world.model.named_pairs
    assert [change.is_named for change in world.changes][-1] is False


def observe(model, monkeypatch, changes, now_s):
    """Let ``model`` learn from ``changes`` instead of a report."""
    monkeypatch.setattr(model._changes, 'observe', lambda *_args: changes)
    return model.observe(Worker(entry=entry('w1')), now_s)


def change(number, *, has_arrived, worker=None, victim='web'):
    return ObservedChange(
        victim=victim,
        neighbour='index',
        has_arrived=has_arrived,
        worker=WorkerId(worker or f'w{number}'),
        unit=UnitRef(JobId(f'job-{number}'), 0, 0, 0),
        slowdown=0.7,
        weight=1.0,
    )


@pytest.mark.parametrize(
    ('directions', 'worker', 'is_named'),
    [
        ((True, False), None, True),
        ((True,), None, False),
        ((False,), None, False),
        ((True, False), 'w1', False),
    ],
)
def test_a_pair_needs_both_directions_and_several_workers(
    monkeypatch, directions, worker, is_named
):
    model = InterferenceModel()
    changes = [
        change(number, has_arrived=each, worker=worker)
        for number in range(6)
        for each in directions
    ]
    found = observe(model, monkeypatch, changes, 1.0)
    assert model.harms('web', 'index') is is_named
    assert len(found) == int(is_named)


def test_memory_is_bounded(monkeypatch):
    model = InterferenceModel()
    changes = [
        change(number, has_arrived=True, victim=f'image-{number}')
        for number in range(2 * MAX_PAIRS)
    ]
    observe(model, monkeypatch, changes, 1.0)
    assert len(model._evidence) == MAX_PAIRS
    # What is old makes room.
    observe(model, monkeypatch, [], 100.0)
    assert not model._evidence


def test_workers_that_report_no_more_are_dropped():
    world = World(1, harm=SERVICE_HARM)
    world.run(2)
    assert world.model._changes._states
    world.model.observe(Worker(entry=entry('w9')), world.now_s + 60)
    assert set(world.model._changes._states) == {'w9'}
    assert set(world.model._rates._workers) == {'w9'}


def test_jobs_without_images_cost_nothing():
    bench = Bench(entry('w1'))
    bench.submit(job_spec('serving', step(is_service=True, target_tail_ms=100)))
    bench.submit(job_spec('filling', step(2, fills_idle=True)))
    bench.start_all()
    assert not bench.engine.interference.sees_images
    assert not bench.engine.interference._changes._states


def name_pair(bench, victim, neighbour, slowdown=0.7):
    bench.engine.interference._named[victim, neighbour] = slowdown


def start_service(bench, name='web', label='r1'):
    service = step(
        is_service=True, target_tail_ms=100, image=name, required_label=label
    )
    bench.submit(job_spec(f'serving-{name}', service))
    bench.start_all()


def place(bench, count=1, image='index', **others):
    """Return the workers on which tasks of ``image`` are placed."""
    name = f'job-{image}-{bench.now_s}-{len(bench.engine.jobs)}'
    bench.submit(job_spec(name, step(count, image=image, **others)))
    return sorted(start.worker for start in bench.plan().starts)


def two_racks():
    return Bench(entry('w1', rack='r1'), entry('w2', rack='r2'))


@pytest.mark.parametrize('pair', [('web', 'index'), ('index', 'web')])
def test_tasks_go_to_workers_without_harmful_neighbours(pair):
    """Without evidence the fullest worker is the best fit."""
    bench = two_racks()
    start_service(bench)
    assert place(bench) == ['w1']
    name_pair(bench, *pair)
    assert place(bench) == ['w2']


def test_tasks_do_not_fill_a_worker_whose_tasks_suffer_from_it():
    bench = two_racks()
    start_service(bench)
    large = StepSpec(task_count=1, size=TaskSize(30_000, 100, 1))
    name_pair(bench, 'web', FULL_WORKER)
    assert place(bench, image='mail') == ['w1']
    bench.submit(job_spec('large', large))
    assert [start.worker for start in bench.plan().starts] == ['w2']


def test_a_task_starts_beside_a_harmful_neighbour_where_no_other_fits():
    bench = Bench(entry('w1'))
    start_service(bench)
    name_pair(bench, 'web', 'index')
    assert place(bench) == ['w1']


def test_tasks_of_an_image_that_slows_itself_are_spread():
    bench = Bench(entry('w1'), entry('w2'), entry('w3'))
    assert place(bench, 3) == ['w1', 'w1', 'w1']
    name_pair(bench, 'index', 'index')
    bench = Bench(entry('w1'), entry('w2'), entry('w3'))
    name_pair(bench, 'index', 'index')
    assert place(bench, 3) == ['w1', 'w2', 'w3']


def test_other_images_are_placed_as_before():
    bench = two_racks()
    start_service(bench)
    name_pair(bench, 'web', 'index')
    assert place(bench) == ['w2']
    assert place(bench, image='mail') == ['w1']
    assert place(bench, image='') == ['w1']


def test_a_new_leader_begins_without_pairs_and_learns_them_again():
    world = World(1, harm=SERVICE_HARM, level=0.2)
    world.run(40)
    assert world.model.named_pairs
    jobs = {
        allocation.unit.job
        for worker in world.workers
        for allocation in worker.allocations.values()
    }
    engine = Engine()
    engine.restore(jobs, leases_expire_at_s=0.0)
    assert engine.interference.sees_images
    assert not engine.interference.named_pairs
    world.model = engine.interference
    world.run(40)
    assert world.model.named_pairs == set(SERVICE_HARM)


class ClosedLoop:
    """An engine that places and slows filling tasks beside services."""

    def __init__(self, harm, *, learns, seed):
        self.harm = harm
        self.rng = random.Random(seed)
        self.bench = Bench(*(entry(f'w{number}') for number in range(12)))
        self.learns = learns
        self.over_target_s = 0.0
        self.worked_s = 0.0
        self.done = 0
        # Services on half of the workers.
        for number in range(6):
            service = step(
                accelerators=5,
                is_service=True,
                target_tail_ms=100,
                image='web',
            )
            self.bench.submit(job_spec(f'serving-{number}', service))
        self.bench.start_all()
        self.percents = {}

    def run(self, seconds):
        for number in range(round(seconds / REPORT_INTERVAL_S)):
            self.bench.advance(REPORT_INTERVAL_S)
            if self.rng.random() < 0.6:
                image = self.rng.choice(('index', 'mail'))
                spec = step(image=image, fills_idle=True, accelerators=1)
                name = f'filling-{self.bench.now_s}-{number}'
                self.bench.submit(job_spec(name, spec, priority=2))
            self.bench.engine.interference.sees_images = self.learns
            for start in self.bench.plan().starts:
                start.is_start_sent = True
                start.start_deadline_ms = self.bench.clock_ms + 1500
            for name in self.bench.engine.workers:
                self.tick(name)

    def tick(self, name):
        worker = self.bench.engine.workers[name]
        allocations = list(worker.allocations.values())
        slowdown = 1.0
        for allocation in allocations:
            if allocation.unit.spec.image == 'index':
                slowdown += (self.harm - 1) * allocation.speed_percent / 100
        rows, ended = [], []
        for allocation in allocations:
            if allocation.unit.spec.is_service:
                tail_ms = 32 * slowdown * self.rng.lognormvariate(0, 0.1)
                self.over_target_s += REPORT_INTERVAL_S * (tail_ms > 100)
                rows.append((allocation.ref, '', 100, tail_ms))
                continue
            worked_s = REPORT_INTERVAL_S * allocation.speed_percent / 100
            self.worked_s += worked_s
            percent = self.percents.get(allocation.ref, 0) + 15 * worked_s
            self.percents[allocation.ref] = percent
            if percent < 100:
                rows.append((allocation.ref, '', int(percent), 1))
            else:
                ended.append(allocation.ref)
        self.report(name, rows, ended)
        harms = self.bench.engine.interference.harms
        for allocation in update_throttle(worker, self.bench.now_s, harms):
            allocation.speed_percent = speed_of(worker, allocation)

    def report(self, name, rows, ended):
        worker = self.bench.engine.workers[name]
        number = worker.ends.processed
        self.done += len(ended)
        self.bench.report(
            name,
            running=rows,
            ended=[
                (number + 1 + index, ref, EndKind.DONE, '')
                for index, ref in enumerate(ended)
            ],
        )


@pytest.mark.parametrize('harm', [2.0, 3.5])
def test_services_and_filling_tasks_gain_by_what_was_learnt(harm):
    """Summed over worlds, as one of them is moved by chance."""
    without, learnt = (
        [ClosedLoop(harm, learns=learns, seed=seed) for seed in range(4)]
        for learns in (False, True)
    )
    for loop in without + learnt:
        loop.run(120)
    over_s = [
        sum(loop.over_target_s for loop in loops) for loops in (without, learnt)
    ]
    assert over_s[1] < 0.75 * over_s[0]
    done = [sum(loop.done for loop in loops) for loops in (without, learnt)]
    assert done[1] >= 0.98 * done[0]


@pytest.mark.parametrize(
    ('speed_percent', 'is_observed'), [(0, False), (20, False), (100, True)]
)
def test_a_neighbour_that_hardly_works_tells_nothing(
    speed_percent, is_observed
):
    world = World(0, pause_s=1e9, is_paced=False)
    world.run(3)
    added = world.add(world.workers[0], 'index', fills_idle=True)
    added.speed_percent = speed_percent
    # Runs are observed for 4 s; the task lasts 3.5 s or more.
    world.ends_at_s[added.ref] += 10
    world.run(5)
    assert bool(world.model._evidence) is is_observed


class WavesOfShortTasks(World):
    """A long task of an image on each worker, short ones of it in waves."""

    def come_and_go(self, worker):
        for ref in tuple(worker.allocations):
            if self.now_s >= self.ends_at_s[ref]:
                worker.allocations.pop(ref)
        if not worker.allocations:
            self.add_task(worker, 10, 1e9)
        if (self.now_s - 100) % 14 == 2 + 0.5 * (int(worker.id[1:]) % 2):
            self.add_task(worker, 0.5, 5.5)

    def add_task(self, worker, factor, lasts_s):
        added = self.add(worker, 'train')
        self.factors[added.ref] = factor
        self.ends_at_s[added.ref] = self.now_s + lasts_s


def test_short_tasks_of_an_image_do_not_make_its_long_ones_slow():
    world = WavesOfShortTasks(
        0, service_images=(), filling_images=(), cold_share=0
    )
    world.slowness = dict.fromkeys(world.slowness, 0)
    world.run(90)
    assert not world.named_ever
